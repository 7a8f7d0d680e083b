package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// commandLine lists the commands below a node, with their arguments and flags and the defaults and environment variables
// of these flags, as kong parses them.
func commandLine(node *kong.Node, path string) (lines []string) {
	for _, flag := range node.Flags {
		if flag.Name == "help" {
			continue
		}
		line := fmt.Sprintf("%s --%s", path, flag.Name)
		if flag.HasDefault {
			line += " default " + flag.Default
		}
		if len(flag.Envs) > 0 {
			line += " env " + strings.Join(flag.Envs, ",")
		}
		if flag.Required {
			line += " required"
		}
		lines = append(lines, line)
	}
	for _, argument := range node.Positional {
		lines = append(lines, path+" "+argument.Summary())
	}
	for _, child := range node.Children {
		name := strings.TrimSpace(path + " " + child.Name)
		lines = append(lines, name)
		lines = append(lines, commandLine(child, name)...)
	}
	return lines
}

// testdata/commands.txt lists the commands and flags of version 0.9. Scripts and documentation depend on them.
func TestCommandsAndFlagsKeepTheirNames(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("tamarindshore"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/commands.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := commandLine(parser.Model.Node, "")
	for _, line := range strings.Split(strings.TrimSpace(string(want)), "\n") {
		if !slices.Contains(got, line) {
			t.Errorf("%q is missing in:\n%s", line, strings.Join(got, "\n"))
		}
	}
}

// invalidFiles writes files that the check command rejects, and returns their paths.
func invalidFiles(t *testing.T) (empty, badOperator, badPlatform string) {
	t.Helper()
	dir := t.TempDir()
	empty = filepath.Join(dir, "empty")
	badOperator = filepath.Join(dir, "operator.sexp")
	badPlatform = filepath.Join(dir, "platform.json")
	for path, text := range map[string]string{
		empty:       " \n",
		badOperator: "(tamarindshore\n (cores 0))",
		badPlatform: "{\n\"name\": 7}",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return empty, badOperator, badPlatform
}

// failingCommand is a command line that fails, with the expected exit code and error.
type failingCommand struct {
	arguments string
	exit      int
	want      string // expected end of standard error
}

// failingCommands returns command lines that are invalid or whose command fails.
func failingCommands(t *testing.T) []failingCommand {
	t.Helper()
	empty, badOperator, badPlatform := invalidFiles(t)
	return []failingCommand{
		{"fly", exitUsage, "tamarindshore: unexpected argument fly; see tamarindshore --help"},
		{"search --seed 7", exitUsage, "tamarindshore: unknown flag --seed, did you mean \"--seeds\"?; see tamarindshore --help"},
		{"check", exitUsage, `tamarindshore: expected "<files> ..."; see tamarindshore --help`},
		{"tables rollback --id a", exitUsage, "tamarindshore: missing flags: --to=STRING; see tamarindshore --help"},
		{"load --servers many", exitUsage, `tamarindshore: --servers: expected a valid 64 bit int but got "many"; see tamarindshore --help`},
		{"load --servers 0", exitFailed, "tamarindshore: --servers: 0 is not between 1 and 5000"},
		{"load --faults 0.6", exitFailed, "tamarindshore: --faults: 0.6 is not between 0 and 0.5"},
		{"load --cores 1,65", exitFailed, "tamarindshore: --cores: 65 is not between 1 and 64"},
		{"search --seeds 7", exitFailed, `tamarindshore: --seeds: "7" is not FIRST-LAST with LAST between FIRST and FIRST+100000000`},
		{"search --seeds 9-1", exitFailed, `tamarindshore: --seeds: "9-1" is not FIRST-LAST with LAST between FIRST and FIRST+100000000`},
		{"search --seeds 1-200000000", exitFailed,
			`tamarindshore: --seeds: "1-200000000" is not FIRST-LAST with LAST between FIRST and FIRST+100000000`},
		{"search --scenario none", exitFailed, "tamarindshore: open none: no such file or directory"},
		{"replay none", exitFailed, "tamarindshore: open none: no such file or directory"},
		{"tables log", exitFailed, `tamarindshore: --socket: is missing; the manager's settings name it: (admin (socket "PATH"))`},
		{"tables --socket none log", exitFailed, "tamarindshore: dial unix none: connect: no such file or directory"},
		{"check " + empty, exitFailed, empty + ": is empty\ntamarindshore: 1 of 1 files are invalid"},
		{"check " + badOperator + " none", exitFailed, badOperator + ":2: cores: 0 is not an integer between 1 and 64\n" +
			"open none: no such file or directory\ntamarindshore: 2 of 2 files are invalid"},
		{"check " + badPlatform, exitFailed,
			badPlatform + ": name: found number, expected string (line 2)\ntamarindshore: 1 of 1 files are invalid"},
		{"serve", exitFailed, "tamarindshore: PROXY_CONFIG: is missing"},
		{"serve --settings " + badOperator, exitFailed, "tamarindshore: operator.sexp:2: cores: 0 is not an integer between 1 and 64"},
	}
}

// An invalid command line exits with code 2 and a failed command with code 1. In both cases the last line of standard
// error gives the reason.
func TestCommandLineErrors(t *testing.T) {
	for _, test := range failingCommands(t) {
		cmd := exec.Command(os.Args[0], strings.Fields(test.arguments)...)
		cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "PROXY_CONFIG=", "TAMARINDSHORE_SOCKET=", "TAMARINDSHORE_SETTINGS=")
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		if exitCode(err) != test.exit || !strings.HasSuffix(strings.TrimSpace(stderr.String()), test.want) {
			t.Errorf("%s: got exit code %d, errors %q, want %d, %q", test.arguments, exitCode(err), stderr.String(), test.exit, test.want)
		}
	}
}

func TestCheckSummarizesEachKindOfFile(t *testing.T) {
	for path, want := range map[string]string{
		"../../internal/config/testdata/platform.json": "platform configuration: 2 zones, 2 traffic classes, up to 9 proxies",
		"../../internal/config/testdata/operator.sexp": "operator's settings: 3 cores, log debug as json",
	} {
		if got, err := checkFile(path); err != nil || got != want {
			t.Errorf("%s: got summary %q, error %v, want %q", path, got, err, want)
		}
	}
}
