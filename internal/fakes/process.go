package fakes

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is a manager that runs by itself.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Process starts a program as the manager, with its log in a file.
func ProcessStarter(program, log string, args ...string) StartFunc {
	return func(start, settings string) (Manager, error) {
		out, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		cmd := exec.Command(program, append(args, "serve", "--settings", settings)...)
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+start)
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		p := &process{cmd: cmd, ended: make(chan struct{})}
		go func() {
			cmd.Wait()
			close(p.ended)
		}()
		return p, nil
	}
}

func (p *process) Done() <-chan struct{}    { return p.ended }
func (p *process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

func (p *process) Stop(kill bool) error {
	s := syscall.SIGTERM
	if kill {
		s = syscall.SIGKILL
	}
	p.cmd.Process.Signal(s)
	select {
	case <-p.ended:
		return nil
	case <-time.After(3 * time.Second):
		p.cmd.Process.Kill()
		<-p.ended
		return errors.New("the manager did not end within 3 s")
	}
}

// Use is what a process has used: seconds of CPU, and the most memory in MB. Zero where it can't be told.
func ResourceUsage(d Manager) (cpu, memory float64) {
	p, ok := d.(*process)
	if !ok {
		return 0, 0
	}
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	if text, err := os.ReadFile(dir + "stat"); err == nil {
		if _, rest, ok := strings.Cut(string(text), ") "); ok {
			if f := strings.Fields(rest); len(f) > 13 {
				user, _ := strconv.ParseFloat(f[11], 64)
				system, _ := strconv.ParseFloat(f[12], 64)
				cpu = (user + system) / 100
			}
		}
	}
	return cpu, p.statusMB("VmHWM:")
}

// Resident is the memory in MB that a process holds now. Zero where it can't be told.
func ResidentMemoryMB(d Manager) float64 {
	p, ok := d.(*process)
	if !ok {
		return 0
	}
	return p.statusMB("VmRSS:")
}

// statusMB is a size that the kernel tells of the process; zero where it tells none.
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
