// Package tamarindshore_test holds the tests of the repository as a whole: what CI decides, doc comments and pages.
package tamarindshore_test

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRedEntry is a valid entry of KNOWN-RED.txt.
func knownRedEntry(test string) string {
	return test + " | go test -run " + test + " ., seed 3 | 2 of 9 | issue 7\n"
}

// knownRedCases are texts of KNOWN-RED.txt, with the pattern that .ci/known-red prints for them, or a part of the error.
var knownRedCases = []struct {
	name    string
	text    string
	pattern string
	fault   string
}{
	{name: "empty", text: ""},
	{name: "one", text: knownRedEntry("TestA"), pattern: "^(TestA)$"},
	{name: "without a last line break", text: strings.TrimSpace(knownRedEntry("TestA")), pattern: "^(TestA)$"},
	{
		name:    "three",
		text:    knownRedEntry("TestA") + knownRedEntry("TestB") + knownRedEntry("TestC"),
		pattern: "^(TestA|TestB|TestC)$",
	},
	{
		name:  "four",
		text:  knownRedEntry("TestA") + knownRedEntry("TestB") + knownRedEntry("TestC") + knownRedEntry("TestD"),
		fault: "three at most",
	},
	{name: "no such test", text: knownRedEntry("TestE"), fault: "there is no test TestE"},
	{name: "name alone", text: "TestA\n", fault: "is not"},
	{name: "no issue", text: "TestA | go test, seed 3 | 2 of 9\n", fault: "is not"},
	{name: "no command", text: "TestA | 2 of 9 | issue 7\n", fault: "is not"},
	{name: "nothing seen", text: "TestA | go test, seed 3 | issue 7\n", fault: "is not"},
	{name: "blank command", text: "TestA | | 2 of 9 | issue 7\n", fault: "is not"},
	{name: "command of a space", text: "TestA |  | 2 of 9 | issue 7\n", fault: "is not"},
	{name: "blank seen", text: "TestA | go test, seed 3 | | issue 7\n", fault: "is not"},
	{name: "seen of a space", text: "TestA | go test, seed 3 |  | issue 7\n", fault: "is not"},
	{name: "no word issue", text: "TestA | go test, seed 3 | 2 of 9 | 7\n", fault: "is not"},
	{name: "no number of the issue", text: "TestA | go test | 2 of 9 | issue\n", fault: "is not"},
	{name: "letter in the number", text: "TestA | go test | 2 of 9 | issue 7b\n", fault: "is not"},
	{name: "fifth field", text: "TestA | go test | 2 of 9 | issue 7 | 8\n", fault: "is not"},
	{name: "no spaces", text: "TestA|go test|2 of 9|issue 7\n", fault: "is not"},
	{name: "blank name", text: " | go test | 2 of 9 | issue 7\n", fault: "is not"},
	{name: "name of no test", text: "A | go test | 2 of 9 | issue 7\n", fault: "is not"},
	{name: "pattern as a name", text: "Test.* | go test | all | issue 7", fault: "is not"},
	{name: "blank line behind", text: knownRedEntry("TestA") + "\n", fault: "is not"},
	{name: "blank line", text: "\n", fault: "is not"},
}

// Guards against tests that are passed over without a command, what was seen, an issue or an end to their number, or
// that do not exist.
func TestKnownRed(t *testing.T) {
	dir := t.TempDir()
	tests := "package x\n"
	for _, name := range []string{"A", "B", "C", "D"} {
		tests += "func Test" + name + "(t *testing.T) {}\n"
	}
	if err := os.WriteFile(filepath.Join(dir, "x_test.go"), []byte(tests), 0o600); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "KNOWN-RED.txt")
	for _, one := range knownRedCases {
		t.Run(one.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(one.text), 0o600); err != nil {
				t.Fatal(err)
			}
			checkKnownRed(t, file, one.pattern, one.fault)
		})
	}
	t.Run("no file", func(t *testing.T) {
		if err := os.Remove(file); err != nil && !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
		checkKnownRed(t, file, "", "")
	})
}

// checkKnownRed runs .ci/known-red on a file, in the file's directory. It must print the pattern, or fail over the fault.
func checkKnownRed(t *testing.T, file, pattern, fault string) {
	t.Helper()
	script, err := filepath.Abs(".ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("bash", script, file)
	cmd.Dir = filepath.Dir(file)
	output, err := cmd.CombinedOutput()
	got := strings.TrimSpace(string(output))
	switch {
	case fault == "" && (err != nil || got != pattern):
		t.Errorf("printed %q, %v; want %q", got, err, pattern)
	case fault != "" && (err == nil || !strings.Contains(got, fault)):
		t.Errorf("printed %q, %v; want an error with %q", got, err, fault)
	}
}
