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

// pagesKept are the pages that name what the program is today. Journal, incident pages, results and old entries of the
// changelog stay as they were written.
var pagesKept = []string{"README.md", "CONTRIBUTING.md", "docs/*.md", "docs/design/*.md", "docs/operators/*.md"}

// pagesLeftOut are not checked: results are history.
var pagesLeftOut = []string{"docs/results.md"}

// filesAtTimes are named on pages and need not exist.
var filesAtTimes = []string{"KNOWN-RED.txt"} // only while tests are known to fail

var (
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	pathForm     = regexp.MustCompile(`^[A-Za-z0-9_.*-]+(/[A-Za-z0-9_.*-]+)*/?$`)
	fileForm     = regexp.MustCompile(`\.(go|md|sexp|toml|txt|sh)$`)
	eventForm    = regexp.MustCompile(`\bevent=([a-z_]+)`)
	functionForm = regexp.MustCompile(`^([A-Za-z_]+\.)?([A-Za-z_]+)\(\)$`)
	testForm     = regexp.MustCompile(`^((Test|Benchmark|Fuzz)[A-Za-z0-9_]+)(\.\.\.)?$`)
	flagForm     = regexp.MustCompile(`--[a-z][a-z-]*`)
	suffixForm   = regexp.MustCompile(`^(_[a-z]+)+$`)
	helpCommand  = regexp.MustCompile(`^  ([a-z]+( [a-z]+)?)  `)
)

// docCheck finds what a page names and the repository does not have.
type docCheck struct {
	commands  map[string][]string // flags by command, as in "tables log"
	functions map[string]bool     // "Name", "package.Name" and "Receiver.Name"
	tests     []string            // names of tests and benchmarks
	literals  map[string]bool     // string literals of the program
	suffixes  map[string]bool     // literals that are appended to others, as to the name of a stream
	files     map[string]bool     // base names
	declared  map[string]bool     // names of packages, types, fields, constants, variables and functions
}

// glossaryHeader begins a table whose second column has names of the code.
const glossaryHeader = "| wire | code"

// codeNames gives the parts of the names in the second column of a row of the glossary; paths are checked as such.
func codeNames(ofGlossary bool, line string) (names []string) {
	columns := strings.Split(line, "|")
	if !ofGlossary || len(columns) < 4 {
		return nil
	}
	for _, span := range codeSpan.FindAllStringSubmatch(columns[2], -1) {
		if pathForm.MatchString(span[1]) && strings.Contains(span[1], "/") {
			continue
		}
		names = append(names, strings.Split(strings.TrimSuffix(span[1], "()"), ".")...)
	}
	return names
}

// Headings under which a page names counters and log events in a column of a table, without event= before them.
const (
	countersHeading = "## Counters"
	namesHeading    = "## Old and new names"
)

// page checks the text of a page and returns one line for each fault.
func (c *docCheck) page(path, text string) (faults []string) {
	heading := ""
	ofGlossary := false // in a table of names on the wire and in the code
	for number, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "## ") {
			heading = line
		}
		ofGlossary = strings.HasPrefix(line, glossaryHeader) || ofGlossary && strings.HasPrefix(line, "|")
		for _, name := range codeNames(ofGlossary, line) {
			if !c.declared[name] {
				faults = append(faults, fmt.Sprintf("%s:%d: no name %s in the code", path, number+1, name))
			}
		}
		for _, name := range logNames(heading, line) {
			if !c.isLogName(name) {
				faults = append(faults, fmt.Sprintf("%s:%d: no counter or log event %s", path, number+1, name))
			}
		}
		for _, code := range codeOf(line) {
			for _, fault := range c.code(filepath.Dir(path), code) {
				faults = append(faults, fmt.Sprintf("%s:%d: %s", path, number+1, fault))
			}
		}
	}
	return faults
}

// isLogName tells whether the program has the name of a counter or log event, in one literal or as the sum of two.
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

// logNames gives the counters of a row in the table of counters, and the new name of a row in a table of names.
func logNames(heading, line string) (names []string) {
	columns := strings.Split(line, "|")
	if len(columns) < 4 {
		return nil
	}
	switch heading {
	case countersHeading:
		for _, span := range codeSpan.FindAllStringSubmatch(columns[1], -1) {
			names = append(names, span[1])
		}
	case namesHeading:
		for _, span := range codeSpan.FindAllStringSubmatch(columns[2], -1) {
			first, _, _ := strings.Cut(strings.TrimPrefix(span[1], "event="), " ")
			if !strings.Contains(first, "=") { // a field of the event before
				names = append(names, first)
			}
		}
	}
	return names
}

// codeOf gives a line's code: all of an indented block, or the spans in it.
func codeOf(line string) (code []string) {
	if strings.HasPrefix(line, "    ") {
		return []string{strings.TrimSpace(line)}
	}
	for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
		code = append(code, span[1])
	}
	return code
}

// code checks one piece of code of a page in a directory.
func (c *docCheck) code(dir, code string) (faults []string) {
	for _, event := range eventForm.FindAllStringSubmatch(code, -1) {
		if !c.isLogName(event[1]) {
			faults = append(faults, "no log event "+event[1])
		}
	}
	if function := functionForm.FindStringSubmatch(code); function != nil && !c.functions[function[1]+function[2]] {
		faults = append(faults, "no function "+code)
	}
	code, _, _ = strings.Cut(code, " #")
	words := strings.Fields(code)
	switch {
	case len(words) == 0:
	case strings.HasPrefix(code, "--"):
		faults = append(faults, c.flagFaults(code)...)
	case testForm.MatchString(code):
		faults = append(faults, c.testFault(testForm.FindStringSubmatch(code))...)
	case len(words) == 1 && pathForm.MatchString(code):
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

// pathFault checks a path from the root or the page's directory, and a file's name alone anywhere.
func (c *docCheck) pathFault(dir, path string) []string {
	first, rest, nested := strings.Cut(strings.TrimSuffix(path, "/"), "/")
	isFile := fileForm.MatchString(path)
	switch {
	case slices.Contains(filesAtTimes, path):
		return nil
	case first == "bin" && nested: // built from cmd
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

// testFault checks the name of a test, or its beginning where dots follow.
func (c *docCheck) testFault(parts []string) []string {
	name, isPrefix := parts[1], parts[3] != ""
	for _, test := range c.tests {
		if test == name || isPrefix && strings.HasPrefix(test, name) {
			return nil
		}
	}
	return []string{"no test " + name}
}

func exists(pattern string) bool {
	found, err := filepath.Glob(pattern)
	return err == nil && len(found) > 0
}

func (c *docCheck) isCommand(word string) bool {
	for command := range c.commands {
		if command == word || strings.HasPrefix(command, word+" ") {
			return true
		}
	}
	return false
}

// commandFaults checks a command line of the program: its command or list of commands, and its flags.
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
	for _, flag := range flagForm.FindAllString(strings.Join(words, " "), -1) {
		if len(names) > 0 && !slices.Contains(flags, flag) {
			faults = append(faults, fmt.Sprintf("%s has no flag %s", strings.Join(names, " "), flag))
		}
	}
	return faults
}

// flagFaults checks flags that stand without their command.
func (c *docCheck) flagFaults(code string) (faults []string) {
	for _, flag := range flagForm.FindAllString(code, -1) {
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

// goTestFaults checks the packages and the names of tests and benchmarks in the arguments of go test.
func (c *docCheck) goTestFaults(words []string) (faults []string) {
	for i, word := range words {
		switch {
		case strings.HasPrefix(word, "./") && !strings.HasSuffix(word, "...") && !exists(word):
			faults = append(faults, "no package "+word)
		case (word == "-run" || word == "-bench") && i+1 < len(words):
			pattern, err := regexp.Compile(words[i+1])
			isNone := words[i+1] == "xx" // no test, benchmarks alone
			if err != nil || !isNone && !slices.ContainsFunc(c.tests, pattern.MatchString) {
				faults = append(faults, "no test or benchmark "+words[i+1])
			}
		}
	}
	return faults
}

// Guards against pages that name a path, command, flag, log event, function or test that does not exist, and against a
// check that passes whatever it reads.
func TestPagesNameWhatExists(t *testing.T) {
	check := newDocCheck(t)
	t.Run("pages", func(t *testing.T) { checkPages(t, check) })
	t.Run("faults are found", func(t *testing.T) { checkFaultsAreFound(t, check) })
}

func checkPages(t *testing.T, check *docCheck) {
	pages := 0
	for _, pattern := range pagesKept {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			t.Errorf("%s: no page, %v", pattern, err)
		}
		for _, path := range paths {
			if slices.Contains(pagesLeftOut, path) {
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
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}
