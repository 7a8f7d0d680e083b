// Package tamarindshore_test holds the tests of what CI itself decides.
package tamarindshore_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against tests that are passed over without a command, what was seen, an issue or an end to their number, or that do not exist.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(".ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	tests := "package x\n"
	for _, name := range []string{"A", "B", "C", "D"} {
		tests += "func Test" + name + "(t *testing.T) {}\n"
	}
	if err := os.WriteFile(filepath.Join(dir, "x_test.go"), []byte(tests), 0o600); err != nil {
		t.Fatal(err)
	}
	line := func(name string) string { return name + " | go test -run " + name + " ., seed 3 | 2 of 9 | issue 7\n" }
	for text, want := range map[string]string{
		"-":                              "",
		"":                               "",
		line("TestA"):                    "^(TestA)$",
		strings.TrimSpace(line("TestA")): "^(TestA)$",
		line("TestA") + line("TestB") + line("TestC"):                 "^(TestA|TestB|TestC)$",
		line("TestA") + line("TestB") + line("TestC") + line("TestD"): "error: three at most",
		line("TestE"):                              "error: there is no test TestE",
		"TestA\n":                                  "error: is not",
		"TestA | go test, seed 3 | 2 of 9\n":       "error: is not", // no issue
		"TestA | 2 of 9 | issue 7\n":               "error: is not", // no command
		"TestA | go test, seed 3 | issue 7\n":      "error: is not", // not what was seen
		"TestA | | 2 of 9 | issue 7\n":             "error: is not",
		"TestA |  | 2 of 9 | issue 7\n":            "error: is not",
		"TestA | go test, seed 3 | | issue 7\n":    "error: is not",
		"TestA | go test, seed 3 |  | issue 7\n":   "error: is not",
		"TestA | go test, seed 3 | 2 of 9 | 7\n":   "error: is not",
		"TestA | go test | 2 of 9 | issue\n":       "error: is not",
		"TestA | go test | 2 of 9 | issue 7b\n":    "error: is not",
		"TestA | go test | 2 of 9 | issue 7 | 8\n": "error: is not",
		"TestA|go test|2 of 9|issue 7\n":           "error: is not",
		" | go test | 2 of 9 | issue 7\n":          "error: is not",
		"A | go test | 2 of 9 | issue 7\n":         "error: is not",
		"Test.* | go test | all | issue 7":         "error: is not",
		line("TestA") + "\n":                       "error: is not",
		"\n":                                       "error: is not",
	} {
		file := filepath.Join(dir, "KNOWN-RED.txt")
		os.Remove(file)
		if text != "-" {
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cmd := exec.Command("bash", script, file)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		wrong, fails := strings.CutPrefix(want, "error: ")
		if fails != (err != nil) || !strings.Contains(string(out), wrong) || !fails && strings.TrimSpace(string(out)) != want {
			t.Errorf("%q: %q %v", text, out, err)
		}
	}
}
