package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// runAsProgramEnv is the environment variable that makes the test binary run as the program.
const runAsProgramEnv = "SIMULATOR_ADAPTER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestAdapterExitsAtEndOfInputOrOnError(t *testing.T) {
	for _, test := range []struct {
		in, stdout, stderr string
		exit               int
	}{
		{"", "", "", 0},
		{"BATCH\t8412250\nEOF_BATCH\n", "FINISHED\n", "", 0},
		{"BATCH\t8412250\nEOF_BATCH\nBATCH\t8412251\nSING\t3\n", "FINISHED\n", "simulator-adapter: line 4: SING: instance 3 is not known\n", 1},
		{"BATCH\tnow\n", "", "simulator-adapter: line 1: BATCH: clock: \"now\" is not a whole number\n", 1},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
		cmd.Stdin = strings.NewReader(test.in)
		var stdout, stderr bytes.Buffer
		cmd.Stdout = &stdout
		cmd.Stderr = &stderr
		exit := 0
		var failed *exec.ExitError
		if err := cmd.Run(); errors.As(err, &failed) {
			exit = failed.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if exit != test.exit || stdout.String() != test.stdout || stderr.String() != test.stderr {
			t.Errorf("%q: got exit code %d, output %q, errors %q", test.in, exit, stdout.String(), stderr.String())
		}
	}
}
