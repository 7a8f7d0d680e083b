// Package tamarindshore_test holds the tests of the repository as a whole: the CI scripts, doc comments and documentation
// pages.
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

// knownRedCases are contents of KNOWN-RED.txt, each with the pattern that .ci/known-red must print or, for invalid
// contents, a part of its error message.
var knownRedCases = []struct {
	name    string
	text    string
	pattern string
	fault   string
}{
	{name: "empty", text: ""},
	{name: "one", text: knownRedEntry("TestA"), pattern: "^(TestA)$"},
	{name: "no trailing newline", text: strings.TrimSpace(knownRedEntry("TestA")), pattern: "^(TestA)$"},
	{
		name:    "three",
		text:    knownRedEntry("TestA") + knownRedEntry("TestB") + knownRedEntry("TestC"),
		pattern: "^(TestA|TestB|TestC)$",
	},
	{
		name:  "four",
		text:  knownRedEntry("TestA") + knownRedEntry("TestB") + knownRedEntry("TestC") + knownRedEntry("TestD"),
		fault: "4 entries; at most three are allowed",
	},
	{name: "test does not exist", text: knownRedEntry("TestE"), fault: "there is no test TestE"},
	{name: "only a name", text: "TestA\n", fault: "does not have the form"},
	{name: "no issue", text: "TestA | go test, seed 3 | 2 of 9\n", fault: "does not have the form"},
	{name: "no command", text: "TestA | 2 of 9 | issue 7\n", fault: "does not have the form"},
	{name: "no result", text: "TestA | go test, seed 3 | issue 7\n", fault: "does not have the form"},
	{name: "blank command", text: "TestA | | 2 of 9 | issue 7\n", fault: "does not have the form"},
	{name: "command is a space", text: "TestA |  | 2 of 9 | issue 7\n", fault: "does not have the form"},
	{name: "blank result", text: "TestA | go test, seed 3 | | issue 7\n", fault: "does not have the form"},
	{name: "result is a space", text: "TestA | go test, seed 3 |  | issue 7\n", fault: "does not have the form"},
	{name: "issue number without the word issue", text: "TestA | go test, seed 3 | 2 of 9 | 7\n", fault: "does not have the form"},
	{name: "no issue number", text: "TestA | go test | 2 of 9 | issue\n", fault: "does not have the form"},
	{name: "letter in the issue number", text: "TestA | go test | 2 of 9 | issue 7b\n", fault: "does not have the form"},
	{name: "fifth field", text: "TestA | go test | 2 of 9 | issue 7 | 8\n", fault: "does not have the form"},
	{name: "no spaces around the separators", text: "TestA|go test|2 of 9|issue 7\n", fault: "does not have the form"},
	{name: "blank name", text: " | go test | 2 of 9 | issue 7\n", fault: "does not have the form"},
	{name: "name without the prefix Test", text: "A | go test | 2 of 9 | issue 7\n", fault: "does not have the form"},
	{name: "pattern instead of a name", text: "Test.* | go test | all | issue 7", fault: "does not have the form"},
	{name: "blank line at the end", text: knownRedEntry("TestA") + "\n", fault: "does not have the form"},
	{name: "only a blank line", text: "\n", fault: "does not have the form"},
}

// CI must not skip a test without a complete entry in KNOWN-RED.txt: an existing test, a command, the observed result and
// an issue. It must not skip more than three tests either.
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
	for _, test := range knownRedCases {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			checkKnownRed(t, file, test.pattern, test.fault)
		})
	}
	t.Run("no file", func(t *testing.T) {
		if err := os.Remove(file); err != nil && !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
		checkKnownRed(t, file, "", "")
	})
}

// checkKnownRed runs .ci/known-red on a file, in the file's directory. The script must print the pattern or, if fault is
// not empty, fail with a message that contains it.
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
		t.Errorf(".ci/known-red printed %q (error: %v), want %q and no error", got, err, pattern)
	case fault != "" && (err == nil || !strings.Contains(got, fault)):
		t.Errorf(".ci/known-red printed %q (error: %v), want an error that contains %q", got, err, fault)
	}
}
