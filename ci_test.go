// Package tamarindshore_test holds the tests of what CI itself decides.
package tamarindshore_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against tests that are passed over without a cause, an issue or an end to their number, or that do not exist.
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
	line := func(name string) string { return name + " | a cause | issue 7\n" }
	for text, want := range map[string]string{
		"-":                              "",
		"":                               "",
		line("TestA"):                    "^(TestA)$",
		strings.TrimSpace(line("TestA")): "^(TestA)$",
		line("TestA") + line("TestB") + line("TestC"):                 "^(TestA|TestB|TestC)$",
		line("TestA") + line("TestB") + line("TestC") + line("TestD"): "error: three at most",
		line("TestE"):            "error: there is no test TestE",
		"TestA\n":                "error: is not",
		"TestA | | issue 7\n":    "error: is not",
		"TestA | a cause\n":      "error: is not",
		"TestA | a cause | 7\n":  "error: is not",
		"Test.* | all | issue 7": "error: is not",
		"\n":                     "error: is not",
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
