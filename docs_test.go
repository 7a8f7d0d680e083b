package tamarindshore_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// checkedPages are patterns of the pages that describe the current program. The journal, incident pages, results and old
// changelog entries are not checked, because they are kept as they were written.
var checkedPages = []string{"README.md", "CONTRIBUTING.md", "docs/*.md", "docs/design/*.md", "docs/operators/*.md"}

// excludedPages match checkedPages, but are not checked: results describe past versions.
var excludedPages = []string{"docs/results.md"}

// optionalFiles may be named on pages even if they do not exist.
var optionalFiles = []string{"KNOWN-RED.txt"} // exists only while tests are known to fail

var (
	codeSpanPattern    = regexp.MustCompile("`([^`]+)`")
	pathPattern        = regexp.MustCompile(`^[A-Za-z0-9_.*-]+(/[A-Za-z0-9_.*-]+)*/?$`)
	filePattern        = regexp.MustCompile(`\.(go|md|sexp|toml|txt|sh)$`)
	eventPattern       = regexp.MustCompile(`\bevent=([a-z_]+)`)
	functionPattern    = regexp.MustCompile(`^([A-Za-z_]+\.)?([A-Za-z_]+)\(\)$`)
	testPattern        = regexp.MustCompile(`^((Test|Benchmark|Fuzz)[A-Za-z0-9_]+)(\.\.\.)?$`)
	flagPattern        = regexp.MustCompile(`--[a-z][a-z-]*`)
	suffixPattern      = regexp.MustCompile(`^(_[a-z]+)+$`)
	helpCommandPattern = regexp.MustCompile(`^  ([a-z]+( [a-z]+)?)  `)
)

// docCheck finds names on a page that do not exist in the repository.
type docCheck struct {
	commands  map[string][]string // flags of each command; a subcommand is keyed as "tables log"
	functions map[string]bool     // "Name", "package.Name" and "Receiver.Name"
	tests     []string            // functions declared in test files, with tests and benchmarks
	literals  map[string]bool     // string literals outside test files
	suffixes  map[string]bool     // literals such as "_closed" that the code appends to another string
	files     map[string]bool     // base names of all files
	declared  map[string]bool     // names of packages, types, fields, constants, variables and functions
}

// glossaryHeader begins a glossary table, whose second column contains names from the code.
const glossaryHeader = "| wire | code"

// glossaryNames returns the dot-separated parts of the names in the second column of a glossary row. Paths are left out, as
// pathFault checks them.
func glossaryNames(inGlossary bool, line string) (names []string) {
	columns := strings.Split(line, "|")
	if !inGlossary || len(columns) < 4 {
		return nil
	}
	for _, span := range codeSpanPattern.FindAllStringSubmatch(columns[2], -1) {
		if pathPattern.MatchString(span[1]) && strings.Contains(span[1], "/") {
			continue
		}
		names = append(names, strings.Split(strings.TrimSuffix(span[1], "()"), ".")...)
	}
	return names
}

// Headings of sections whose tables list counters and log events in a column, without the prefix event=.
const (
	countersHeading = "## Counters"
	namesHeading    = "## Old and new names"
)

// page checks the text of a page and returns one message for each fault.
func (c *docCheck) page(path, text string) (faults []string) {
	heading := ""
	inGlossary := false // whether the line belongs to a glossary table
	for number, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "## ") {
			heading = line
		}
		inGlossary = strings.HasPrefix(line, glossaryHeader) || inGlossary && strings.HasPrefix(line, "|")
		for _, name := range glossaryNames(inGlossary, line) {
			if !c.declared[name] {
				faults = append(faults, fmt.Sprintf("%s:%d: no name %s in the code", path, number+1, name))
			}
		}
		for _, name := range logNames(heading, line) {
			if !c.isLogName(name) {
				faults = append(faults, fmt.Sprintf("%s:%d: no counter or log event %s", path, number+1, name))
			}
		}
		for _, code := range codeInLine(line) {
			for _, fault := range c.checkCode(filepath.Dir(path), code) {
				faults = append(faults, fmt.Sprintf("%s:%d: %s", path, number+1, fault))
			}
		}
	}
	return faults
}

// isLogName reports whether the program contains the name of a counter or log event, as one literal or as a literal with
// an appended suffix.
func (c *docCheck) isLogName(name string) bool {
	if c.literals[name] {
		return true
	}
	for suffix := range c.suffixes {
		if stem, found := strings.CutSuffix(name, suffix); found && c.literals[stem] {
			return true
		}
	}
	return false
}

// logNames returns the counters in a row of the counters table, or the new name in a row of the table of renamed log
// events and fields.
func logNames(heading, line string) (names []string) {
	columns := strings.Split(line, "|")
	if len(columns) < 4 {
		return nil
	}
	switch heading {
	case countersHeading:
		for _, span := range codeSpanPattern.FindAllStringSubmatch(columns[1], -1) {
			names = append(names, span[1])
		}
	case namesHeading:
		for _, span := range codeSpanPattern.FindAllStringSubmatch(columns[2], -1) {
			first, _, _ := strings.Cut(strings.TrimPrefix(span[1], "event="), " ")
			if !strings.Contains(first, "=") { // otherwise it is a field of the preceding event
				names = append(names, first)
			}
		}
	}
	return names
}

// codeInLine returns the code in a line: the whole line in an indented block, otherwise its code spans.
func codeInLine(line string) (code []string) {
	if strings.HasPrefix(line, "    ") {
		return []string{strings.TrimSpace(line)}
	}
	for _, span := range codeSpanPattern.FindAllStringSubmatch(line, -1) {
		code = append(code, span[1])
	}
	return code
}

// checkCode checks one piece of code on a page in the directory dir.
func (c *docCheck) checkCode(dir, code string) (faults []string) {
	for _, event := range eventPattern.FindAllStringSubmatch(code, -1) {
		if !c.isLogName(event[1]) {
			faults = append(faults, "no log event "+event[1])
		}
	}
	if function := functionPattern.FindStringSubmatch(code); function != nil && !c.functions[function[1]+function[2]] {
		faults = append(faults, "no function "+code)
	}
	code, _, _ = strings.Cut(code, " #")
	words := strings.Fields(code)
	switch {
	case len(words) == 0:
	case strings.HasPrefix(code, "--"):
		faults = append(faults, c.flagFaults(code)...)
	case testPattern.MatchString(code):
		faults = append(faults, c.testFault(testPattern.FindStringSubmatch(code))...)
	case len(words) == 1 && pathPattern.MatchString(code):
		faults = append(faults, c.pathFault(dir, code)...)
	case words[0] == "tamarindshore" || words[0] == "bin/tamarindshore":
		faults = append(faults, c.commandFaults(words[1:])...)
	case c.isCommand(words[0]) && strings.Contains(code, " --"):
		faults = append(faults, c.commandFaults(words)...)
	case words[0] == "go" && words[1] == "test":
		faults = append(faults, c.goTestFaults(words[2:])...)
	}
	return faults
}

// pathFault checks a path, which may be relative to the root or to the page's directory. A file name without a directory
// may be that of any file in the repository.
func (c *docCheck) pathFault(dir, path string) []string {
	first, rest, nested := strings.Cut(strings.TrimSuffix(path, "/"), "/")
	isFile := filePattern.MatchString(path)
	switch {
	case slices.Contains(optionalFiles, path):
		return nil
	case first == "bin" && nested: // programs in bin are built from cmd
		return c.pathFault(dir, "cmd/"+rest)
	case !nested && !isFile:
		return nil
	case !nested && c.files[path]:
		return nil
	case nested && !isFile && !exists(first) && !exists(filepath.Join(dir, first)):
		return nil // a unit or a type, not a path
	case exists(path) || exists(filepath.Join(dir, path)):
		return nil
	}
	return []string{"no file " + path}
}

// testFault checks the name of a test, or a prefix of test names if it ends in "...".
func (c *docCheck) testFault(parts []string) []string {
	name, isPrefix := parts[1], parts[3] != ""
	for _, test := range c.tests {
		if test == name || isPrefix && strings.HasPrefix(test, name) {
			return nil
		}
	}
	return []string{"no test " + name}
}

// exists reports whether a file or directory matches the pattern.
func exists(pattern string) bool {
	found, err := filepath.Glob(pattern)
	return err == nil && len(found) > 0
}

// isCommand reports whether a word is a command or the first word of a subcommand.
func (c *docCheck) isCommand(word string) bool {
	for command := range c.commands {
		if command == word || strings.HasPrefix(command, word+" ") {
			return true
		}
	}
	return false
}

// commandFaults checks a command line of the program: its command, or a list of commands separated by "," or "|", and
// its flags.
func (c *docCheck) commandFaults(words []string) (faults []string) {
	var names []string
	for _, word := range words {
		if strings.Trim(word, "abcdefghijklmnopqrstuvwxyz,|") != "" {
			break
		}
		if word != "|" {
			names = append(names, strings.TrimRight(word, ","))
		}
	}
	var flags []string
	for i, name := range names {
		command := name
		if _, single := c.commands[name]; !single && i > 0 {
			command = names[0] + " " + name
		}
		known, found := c.commands[command]
		isGroup := i == 0 && len(names) > 1 && c.isCommand(name)
		if !found && !isGroup {
			faults = append(faults, "no command "+command)
		}
		flags = append(flags, known...)
	}
	for _, flag := range flagPattern.FindAllString(strings.Join(words, " "), -1) {
		if len(names) > 0 && !slices.Contains(flags, flag) {
			faults = append(faults, fmt.Sprintf("%s has no flag %s", strings.Join(names, " "), flag))
		}
	}
	return faults
}

// flagFaults checks flags that are named without a command.
func (c *docCheck) flagFaults(code string) (faults []string) {
	for _, flag := range flagPattern.FindAllString(code, -1) {
		found := false
		for _, flags := range c.commands {
			found = found || slices.Contains(flags, flag)
		}
		if !found {
			faults = append(faults, "no flag "+flag)
		}
	}
	return faults
}

// goTestFaults checks the packages and the patterns of tests and benchmarks in the arguments of go test.
func (c *docCheck) goTestFaults(words []string) (faults []string) {
	for i, word := range words {
		switch {
		case strings.HasPrefix(word, "./") && !strings.HasSuffix(word, "...") && !exists(word):
			faults = append(faults, "no package "+word)
		case (word == "-run" || word == "-bench") && i+1 < len(words):
			pattern, err := regexp.Compile(words[i+1])
			matchesNothing := words[i+1] == "xx" // the usual pattern to run benchmarks without tests
			if err != nil || !matchesNothing && !slices.ContainsFunc(c.tests, pattern.MatchString) {
				faults = append(faults, "no test or benchmark "+words[i+1])
			}
		}
	}
	return faults
}

// Pages must not name a path, command, flag, log event, function or test that does not exist. The check itself must report
// such names.
func TestPagesNameWhatExists(t *testing.T) {
	check := newDocCheck(t)
	t.Run("pages", func(t *testing.T) { checkPages(t, check) })
	t.Run("faults are found", func(t *testing.T) { checkFaultsAreFound(t, check) })
}

// checkPages reports each fault on the checked pages.
func checkPages(t *testing.T, check *docCheck) {
	pages := 0
	for _, pattern := range checkedPages {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			t.Errorf("no page matches %s (error: %v)", pattern, err)
		}
		for _, path := range paths {
			if slices.Contains(excludedPages, path) {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			pages++
			for _, fault := range check.page(path, string(text)) {
				t.Error(fault)
			}
		}
	}
	t.Logf("%d pages checked", pages)
}

// checkFaultsAreFound checks that each kind of fault is found in example texts, and that valid names are accepted.
func checkFaultsAreFound(t *testing.T, check *docCheck) {
	for text, want := range map[string]string{
		"see `docs/architecture.md`, `ci_test.go` and `internal/node`": "",
		"see `architecture.md`": "",
		"`docs/design/*.md`, `docs/`, `bin/tamarindshore`, `KNOWN-RED.txt`": "",
		"`internal/nowhere`": "no file internal/nowhere",
		"`docs/none.md`":     "no file docs/none.md",
		"`none.go`":          "no file none.go",
		"`bin/none`":         "no file cmd/none",
		"`docs/none/*.md`":   "no file docs/none/*.md",
		"`messages/s`":       "",
		"`tamarindshore serve [--settings FILE]`":                                    "",
		"`tamarindshore tables log, show, diff`":                                     "",
		"`tamarindshore sing`":                                                       "no command sing",
		"`tamarindshore tables`":                                                     "no command tables",
		"`tamarindshore tables log, sing`":                                           "no command tables sing",
		"`tamarindshore serve --sing`":                                               "serve has no flag --sing",
		"    tamarindshore search --seeds 1-9 --sing a.sexp  # `--none` is a remark": "search has no flag --sing",
		"`tables rollback --to V --sing`":                                            "tables rollback has no flag --sing",
		"`--sing`, `--seeds 3`":                                                      "no flag --sing",
		"`event=start`":                                                              "",
		"`event=sing why=none`":                                                      "no log event sing",
		"## Counters\n| `pings` | |":                                                 "",
		"## Counters\n| `sings` | |":                                                 "no counter or log event sings",
		"## Old and new names\n| `sing` | `event=start name` |":                      "",
		"## Old and new names\n| `sing` | `event=sing name` |":                       "no counter or log event sing; docs/x.md:2: no log event sing",
		"| wire | code |\n| `x` | `balancer.Commands`, `errBusy` |":                  "",
		"| wire | code |\n| `x` | `balancer.Sing` |":                                 "no name Sing in the code",
		"| wire | code |\n\n| `x` | `Sing` |":                                        "",
		"`docCheck.page()`, `newDocCheck()`":                                         "",
		"`docCheck.sing()`":                                                          "no function docCheck.sing()",
		"`sing()`":                                                                   "no function sing()",
		"`TestKnownRed`, `TestKnown...`":                                             "",
		"`TestKnown`":                                                                "no test TestKnown",
		"`go test -run TestKnownRed ./balancer`":                                     "",
		"`go test -run TestSing ./balancer`":                                         "no test or benchmark TestSing",
		"`go test -bench . ./nowhere`":                                               "no package ./nowhere",
	} {
		got := check.page("docs/x.md", text)
		if want != "" {
			want = fmt.Sprintf("docs/x.md:%d: %s", strings.Count(text, "\n")+1, want)
		}
		if strings.Join(got, "; ") != want {
			t.Errorf("page with the text %q: faults %q, want %q", text, got, want)
		}
	}
}
