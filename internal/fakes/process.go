package fakes

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// stopTimeout is how long a manager may take to end after a signal.
const stopTimeout = 3 * time.Second

// process is a manager that runs in a process of its own.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// ProcessStarter returns a StartFunc that runs a program as the manager and appends the program's output to a log file.
func ProcessStarter(program, logFile string, args ...string) StartFunc {
	return func(configFile, settingsFile string) (Manager, error) {
		output, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open the manager's log file: %w", err)
		}
		defer output.Close()
		cmd := exec.Command(program, append(args, "serve", "--settings", settingsFile)...)
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+configFile)
		cmd.Stdout = output
		cmd.Stderr = output
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("start the manager %s: %w", program, err)
		}
		p := &process{cmd: cmd, done: make(chan struct{})}
		go func() {
			cmd.Wait()
			close(p.done)
		}()
		return p, nil
	}
}

// Done is closed once the process has ended.
func (p *process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process.
func (p *process) Signal(signal os.Signal) error { return p.cmd.Process.Signal(signal) }

// Stop ends the process and waits for it. If the process does not end within stopTimeout, Stop kills it and returns an
// error.
func (p *process) Stop(kill bool) error {
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	p.cmd.Process.Signal(signal)
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("the manager did not end within %v after signal %q and was killed", stopTimeout, signal)
	}
}

// Indexes of the CPU times among the fields that follow the program name in /proc/PID/stat, and the unit of these times.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	ticksPerSecond  = 100
)

// ResourceUsage returns the CPU seconds that a manager's process has used and its peak resident memory in MB. Both are
// zero if unknown: for a manager within this process, and on systems without /proc.
func ResourceUsage(manager Manager) (cpuSeconds, peakMemoryMB float64) {
	p, ok := manager.(*process)
	if !ok {
		return 0, 0
	}
	return p.cpuSeconds(), p.statusMB("VmHWM:")
}

// ResidentMemoryMB returns the current resident memory of a manager's process in MB, or zero if unknown.
func ResidentMemoryMB(manager Manager) float64 {
	p, ok := manager.(*process)
	if !ok {
		return 0
	}
	return p.statusMB("VmRSS:")
}

// cpuSeconds returns the user and system CPU time of the process, or zero if it can't be read.
func (p *process) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, afterName, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if !found || len(fields) <= statSystemTicks {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[statUserTicks], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTicks], 64)
	return (user + system) / ticksPerSecond
}

// statusMB returns a size from /proc/PID/status in MB, or zero if it can't be read.
func (p *process) statusMB(key string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, key); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
