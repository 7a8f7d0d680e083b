package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tamarindshore/internal/scale"
)

// newScaleProcess returns the scale command as a process that is not started yet, and the buffer of its standard error.
func newScaleProcess(arguments ...string) (*exec.Cmd, *bytes.Buffer) {
	cmd := exec.Command(os.Args[0], append([]string{"scale"}, arguments...)...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr := &bytes.Buffer{}
	cmd.Stderr = stderr
	return cmd, stderr
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

func TestScaleRejectsInvalidOptionsInOneLine(t *testing.T) {
	for _, test := range []struct {
		arguments []string
		want      string
	}{
		{[]string{"--axis", "height"}, "--axis"},
		{[]string{"--runs", "0"}, "--runs"},
		{[]string{"--sizes", "60"}, "--sizes"},
		{[]string{"--axis", "servers", "--sizes", "1e8"}, " fit"},
		{[]string{"--axis", "managers", "--sizes", "1e6"}, " fit"},
		{[]string{"--axis", "real-processes", "--sizes", "1000"}, "300 fit"},
		{[]string{"--axis", "connections", "--sizes", "1000"}, "240 fit"},
	} {
		cmd, stderr := newScaleProcess(test.arguments...)
		err := cmd.Run()
		lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
		if exitCode(err) != exitFailed || len(lines) != 1 || !strings.Contains(lines[0], test.want) {
			t.Errorf("%v: got exit code %d, errors %q", test.arguments, exitCode(err), stderr)
		}
	}
}

func TestScaleWritesSlopesAndPlots(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "slopes.json")
	cmd, stderr := newScaleProcess("--axis", "servers", "--sizes", "30,60", "--runs", "1", "--json", path, "--plots", dir)
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v: %s", err, stderr)
	}
	report, err := scale.ReadReport(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, found := report.Find(scale.HeapBytes, scale.Servers); !found {
		t.Error("the report has no slope of heap bytes by servers")
	}
	if _, err := os.Stat(filepath.Join(dir, "heap-bytes-by-servers.svg")); err != nil {
		t.Error(err)
	}
}

// notifyingBuffer is a buffer that closes a channel at its first write.
type notifyingBuffer struct {
	text    bytes.Buffer
	once    sync.Once
	written chan struct{}
}

func (b *notifyingBuffer) Write(text []byte) (int, error) {
	b.once.Do(func() { close(b.written) })
	return b.text.Write(text)
}

// String returns everything written. It must not be called before the writing process has exited.
func (b *notifyingBuffer) String() string { return b.text.String() }

// childProcesses returns the number of running child processes of a process, started by any of its threads.
func childProcesses(t *testing.T, pid int) int {
	t.Helper()
	lists, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	if err != nil {
		t.Fatal(err)
	}
	children := 0
	for _, list := range lists {
		text, err := os.ReadFile(list)
		if err != nil {
			continue // the thread has exited
		}
		children += len(strings.Fields(string(text)))
	}
	return children
}

// waitUntilMeasuring waits until a started command has printed its first progress message or, if children is not 0, until
// it runs that many child processes.
func waitUntilMeasuring(t *testing.T, cmd *exec.Cmd, progress *notifyingBuffer, children int) {
	t.Helper()
	const timeout = 20 * time.Second
	if children == 0 {
		select {
		case <-progress.written:
		case <-time.After(timeout):
			t.Errorf("%v: no progress within %v", cmd.Args, timeout)
		}
		return
	}
	for deadline := time.Now().Add(timeout); childProcesses(t, cmd.Process.Pid) < children; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("%v: fewer than %d child processes within %v", cmd.Args, children, timeout)
			return
		}
	}
}

// An interrupt must end the command within a second, and must not leave any process that it started running.
func TestInterruptEndsAllScaleProcesses(t *testing.T) {
	for _, test := range []struct {
		arguments []string
		children  int // child processes to wait for before the interrupt; 0 waits for the first progress message instead
	}{
		{arguments: []string{"--axis", "servers", "--sizes", "30,6000", "--runs", "3"}},
		{arguments: []string{"--axis", "opening-list-size", "--sizes", "30,24000", "--runs", "3"}},
		{arguments: []string{"--axis", "managers", "--runs", "100"}, children: 1},
		{arguments: []string{"--axis", "real-processes", "--sizes", "30", "--runs", "100"}, children: 30},
	} {
		cmd, _ := newScaleProcess(test.arguments...)
		stderr := &notifyingBuffer{written: make(chan struct{})}
		cmd.Stderr = stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntilMeasuring(t, cmd, stderr, test.children)
		began := time.Now()
		cmd.Process.Signal(os.Interrupt)
		err := cmd.Wait()
		if took := time.Since(began); took > time.Second || exitCode(err) != exitFailed || !strings.Contains(stderr.String(), "interrupted") {
			t.Errorf("%v: ended after %v with exit code %d, errors %s", test.arguments, took, exitCode(err), stderr)
		}
		if syscall.Kill(-cmd.Process.Pid, 0) == nil {
			t.Errorf("%v: a process that it started is still running", test.arguments)
		}
	}
}

// runScale runs the scale command and returns its report.
func runScale(t *testing.T, arguments ...string) scale.Report {
	t.Helper()
	path := filepath.Join(t.TempDir(), "slopes.json")
	cmd, stderr := newScaleProcess(append(arguments, "--json", path)...)
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v: %s", err, stderr)
	}
	report, err := scale.ReadReport(path)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestScaleMeasuresRealProcesses(t *testing.T) {
	report := runScale(t, "--axis", "real-processes", "--sizes", "2,5", "--runs", "1")
	for _, cost := range []scale.Cost{scale.ProcessPropagationLast, scale.ProcessReadyLast, scale.ProcessPropagationDuringOpeningsLast, scale.ProcessMemory,
		scale.HollowPropagationLast} {
		slope, found := report.Find(cost, scale.Processes)
		if !found || len(slope.Points) != 2 || slope.Points[0].Runs[0] <= 0 || slope.Points[1].Runs[0] <= 0 {
			t.Errorf("%s: got points %+v, want 2 with positive costs", cost, slope.Points)
		}
	}
}

func TestScaleMeasuresTheMemoryOfConnections(t *testing.T) {
	report := runScale(t, "--axis", "connections", "--sizes", "1,240", "--runs", "1")
	slope, found := report.Find(scale.ConnectionsMemory, scale.Connections)
	if !found || len(slope.Points) != 2 || slope.Points[1].Runs[0] < slope.Points[0].Runs[0] || slope.Points[1].Runs[0] < 240<<10 {
		t.Errorf("got points %+v, want 2 with at least 1 KB per connection", slope.Points)
	}
}
