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

// stopTimeout is how long a manager may take to end after SIGTERM.
const stopTimeout = 3 * time.Second

// process is a manager that runs as a process of its own.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// ProcessStarter starts a program as the manager and appends what it logs to a file.
func ProcessStarter(program, logFile string, args ...string) StartFunc {
	return func(configFile, settingsFile string) (Manager, error) {
		output, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open the manager's log: %w", err)
		}
		defer output.Close()
		cmd := exec.Command(program, append(args, "serve", "--settings", settingsFile)...)
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+configFile)
		cmd.Stdout = output
		cmd.Stderr = output
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("start the manager: %w", err)
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

// Stop ends the process and waits for it. One that does not end after SIGTERM is killed, and an error says so.
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
		return fmt.Errorf("the manager did not end within %v", stopTimeout)
	}
}

// Fields of /proc/PID/stat after the program's name, and the unit of the times in it.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	ticksPerSecond  = 100
)

// ResourceUsage returns the seconds of CPU that a process has used, and the most memory that it held, in MB. Both are
// zero where that is not known: for a manager within this process, and on other systems.
func ResourceUsage(manager Manager) (cpuSeconds, peakMemoryMB float64) {
	p, ok := manager.(*process)
	if !ok {
		return 0, 0
	}
	return p.cpuSeconds(), p.statusMB("VmHWM:")
}

// ResidentMemoryMB returns the memory in MB that a process holds now, zero where that is not known.
func ResidentMemoryMB(manager Manager) float64 {
	p, ok := manager.(*process)
	if !ok {
		return 0
	}
	return p.statusMB("VmRSS:")
}

// cpuSeconds reads the CPU time of the process; zero where the kernel does not tell it.
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

// statusMB reads a size of the process in MB; zero where the kernel does not tell it.
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
