package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Daemon is a manager that a rig runs.
type Daemon interface {
	Stop(kill bool) error // SIGTERM, or SIGKILL
	Signal(s os.Signal) error
	Ended() <-chan struct{}
}

// Begin starts a manager with the files of a rig: the platform's JSON and the operator's settings.
type Begin func(start, settings string) (Daemon, error)

// Rig is a whole deployment on loopback: servers, discovery, a relay, and a manager.
type Rig struct {
	Site      Site
	Servers   []*Server
	Discovery *Discovery
	Relay     *Relay
	Manager   string // its address
	Status    string // of its status listener
	Daemon    Daemon

	dir      string
	begin    Begin
	restarts uint64
	how      How
}

// How is what a manager is started with.
type How struct {
	Cores    int
	MemoryMB float64
	Sockets  int
	Seed     uint64
	Settings string // further forms of the operator's
}

// Raise starts all of a rig and waits until the manager is fit to serve. What was started is closed where it fails.
func Raise(site Site, how How, begin Begin) (r *Rig, err error) {
	r = &Rig{Site: site, begin: begin, how: how}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.dir, err = os.MkdirTemp("", "tamarindshore-rig-"); err != nil {
		return r, err
	}
	if r.Servers, err = NewServers(site); err != nil {
		return r, err
	}
	var entries []Entry
	for _, s := range r.Servers {
		entries = append(entries, s.Entry("up"))
	}
	if r.Relay, err = NewRelay("127.0.0.1:0", site); err != nil {
		return r, err
	}
	r.Relay.Knows(entries...)
	if r.Discovery, err = NewDiscovery("127.0.0.1:0", entries); err != nil {
		return r, err
	}
	r.Discovery.Told = func(at time.Time, e Entry) { r.Relay.Rules.Told(at, e) }
	if r.Manager, err = Free(); err != nil {
		return r, err
	}
	if r.Status, err = Free(); err != nil {
		return r, err
	}
	return r, r.Begin()
}

// Free is an address that nothing listens at, on a loopback address of this process's own where there are several.
// Guards against another process that takes the port before the manager does.
func Free() (string, error) {
	id := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+id>>16&63, id>>8&255, 1+id&127))
	if err != nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Begin starts the manager, with the list as it stands, and waits until it is fit.
func (r *Rig) Begin() (err error) {
	r.restarts++
	list := r.Discovery.Whole()
	start, settings := filepath.Join(r.dir, "start.json"), filepath.Join(r.dir, "operator.sexp")
	text := r.Site.Start("n1", r.Manager, r.Discovery.Address, r.Relay.Address, list, r.how.Seed+r.restarts, float64(r.how.Cores), r.how.MemoryMB, r.how.Sockets)
	if err = os.WriteFile(start, text, 0o600); err != nil {
		return err
	}
	operator := fmt.Sprintf("(tamarindshore (cores %d) (listen (status %q)) %s)\n", r.how.Cores, r.Status, r.how.Settings)
	if err = os.WriteFile(settings, []byte(operator), 0o600); err != nil {
		return err
	}
	if r.Daemon, err = r.begin(start, settings); err != nil {
		return err
	}
	return r.fit(10 * time.Second)
}

// fit waits until the manager answers a ping.
func (r *Rig) fit(within time.Duration) error {
	for late := time.Now().Add(within); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		select {
		case <-r.Daemon.Ended():
			return errors.New("the manager ended before it was fit; its log says why")
		default:
		}
		c, err := net.Dial("tcp", r.Manager)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		fmt.Fprint(c, "ping\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if err == nil && line == "pong\r\n" {
			return nil
		}
	}
	return fmt.Errorf("the manager was not fit within %v", within)
}

// Counters are the manager's, by its status listener.
func (r *Rig) Counters() (map[string]int64, error) {
	c := http.Client{Timeout: 2 * time.Second}
	answer, err := c.Get("http://" + r.Status + "/status")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var told struct {
		Counters map[string]int64 `json:"counters"`
	}
	err = json.NewDecoder(answer.Body).Decode(&told)
	return told.Counters, err
}

// Close ends all that was started and removes its files.
func (r *Rig) Close() {
	if r.Daemon != nil {
		r.Daemon.Stop(true)
	}
	if r.Discovery != nil {
		r.Discovery.Close()
	}
	if r.Relay != nil {
		r.Relay.Close()
	}
	for _, s := range r.Servers {
		s.Close()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// process is a manager that runs by itself.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Process starts a program as the manager, with its log in a file.
func Process(program, log string, args ...string) Begin {
	return func(start, settings string) (Daemon, error) {
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

func (p *process) Ended() <-chan struct{}   { return p.ended }
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
func Use(d Daemon) (cpu, memory float64) {
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
	if text, err := os.ReadFile(dir + "status"); err == nil {
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				memory = kb / 1024
			}
		}
	}
	return cpu, memory
}
