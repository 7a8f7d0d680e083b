package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// asProgram makes the test binary run as the program.
const asProgram = "SIMULATOR_ADAPTER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestAdapterEndsWithTheInputOrByAnError(t *testing.T) {
	for _, one := range []struct {
		in, out, said string
		exit          int
	}{
		{"", "", "", 0},
		{"BATCH\t8412250\nEOF_BATCH\n", "FINISHED\n", "", 0},
		{"BATCH\t8412250\nEOF_BATCH\nBATCH\t8412251\nSING\t3\n", "FINISHED\n", "simulator-adapter: line 4: SING: instance 3 is not known\n", 1},
		{"BATCH\tnow\n", "", "simulator-adapter: line 1: BATCH: clock: \"now\" is not a whole number\n", 1},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), asProgram+"=1")
		cmd.Stdin = strings.NewReader(one.in)
		var out, said bytes.Buffer
		cmd.Stdout = &out
		cmd.Stderr = &said
		exit := 0
		var failed *exec.ExitError
		if err := cmd.Run(); errors.As(err, &failed) {
			exit = failed.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if exit != one.exit || out.String() != one.out || said.String() != one.said {
			t.Errorf("%q: exit %d, %q, %q", one.in, exit, out.String(), said.String())
		}
	}
}
