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

// scaleProgram is the command as a process of its own.
func scaleProgram(arguments ...string) (*exec.Cmd, *bytes.Buffer) {
	cmd := exec.Command(os.Args[0], append([]string{"scale"}, arguments...)...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	said := &bytes.Buffer{}
	cmd.Stderr = said
	return cmd, said
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

func TestScaleRefusesInvalidOptionsInOneLine(t *testing.T) {
	for _, one := range []struct {
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
		cmd, said := scaleProgram(one.arguments...)
		err := cmd.Run()
		lines := strings.Split(strings.TrimSpace(said.String()), "\n")
		if exitCode(err) != exitFailed || len(lines) != 1 || !strings.Contains(lines[0], one.want) {
			t.Errorf("%v: exit %d, %q", one.arguments, exitCode(err), said)
		}
	}
}

func TestScaleWritesSlopesAndPlots(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "slopes.json")
	cmd, said := scaleProgram("--axis", "servers", "--sizes", "30,60", "--runs", "1", "--json", path, "--plots", dir)
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v: %s", err, said)
	}
	report, err := scale.ReadReport(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, found := report.Find(scale.HeapBytes, scale.Servers); !found {
		t.Error("no slope of memory")
	}
	if _, err := os.Stat(filepath.Join(dir, "heap-bytes-by-servers.svg")); err != nil {
		t.Error(err)
	}
}

// firstLine is a buffer that says when something was written to it.
type firstLine struct {
	text    bytes.Buffer
	once    sync.Once
	written chan struct{}
}

func (f *firstLine) Write(text []byte) (int, error) {
	f.once.Do(func() { close(f.written) })
	return f.text.Write(text)
}

// String is all that was written, once the writer has ended.
func (f *firstLine) String() string { return f.text.String() }

// childProcesses counts the running processes that a process started, from any of its threads.
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
			continue // the thread has ended
		}
		children += len(strings.Fields(string(text)))
	}
	return children
}

// awaitMeasuring waits until a started command has shown its first progress, or where children are expected, until that
// many processes run.
func awaitMeasuring(t *testing.T, cmd *exec.Cmd, progress *firstLine, children int) {
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
			t.Errorf("%v: fewer than %d processes within %v", cmd.Args, children, timeout)
			return
		}
	}
}

// Guards against processes that go on after the one that started them was interrupted.
func TestInterruptEndsAllScaleProcesses(t *testing.T) {
	for _, one := range []struct {
		arguments []string
		children  int // processes that must run before the interrupt; 0: a first size must be measured
	}{
		{arguments: []string{"--axis", "servers", "--sizes", "30,6000", "--runs", "3"}},
		{arguments: []string{"--axis", "opening-list-size", "--sizes", "30,24000", "--runs", "3"}},
		{arguments: []string{"--axis", "managers", "--runs", "100"}, children: 1},
		{arguments: []string{"--axis", "real-processes", "--sizes", "30", "--runs", "100"}, children: 30},
	} {
		cmd, _ := scaleProgram(one.arguments...)
		said := &firstLine{written: make(chan struct{})}
		cmd.Stderr = said
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		awaitMeasuring(t, cmd, said, one.children)
		began := time.Now()
		cmd.Process.Signal(os.Interrupt)
		err := cmd.Wait()
		if took := time.Since(began); took > time.Second || exitCode(err) != exitFailed || !strings.Contains(said.String(), "interrupted") {
			t.Errorf("%v: after %v: exit %d, %s", one.arguments, took, exitCode(err), said)
		}
		if syscall.Kill(-cmd.Process.Pid, 0) == nil {
			t.Errorf("%v: a process that was started goes on", one.arguments)
		}
	}
}

// runScale gives the report of a run of the command.
func runScale(t *testing.T, arguments ...string) scale.Report {
	t.Helper()
	path := filepath.Join(t.TempDir(), "slopes.json")
	cmd, said := scaleProgram(append(arguments, "--json", path)...)
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v: %s", err, said)
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
			t.Errorf("%s: %+v", cost, slope.Points)
		}
	}
}

func TestScaleMeasuresTheMemoryOfConnections(t *testing.T) {
	report := runScale(t, "--axis", "connections", "--sizes", "1,240", "--runs", "1")
	slope, found := report.Find(scale.ConnectionsMemory, scale.Connections)
	if !found || len(slope.Points) != 2 || slope.Points[1].Runs[0] < slope.Points[0].Runs[0] || slope.Points[1].Runs[0] < 240<<10 {
		t.Errorf("%+v: under 1 KB a connection", slope.Points)
	}
}
