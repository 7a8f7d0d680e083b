package main

// Tests of what a process does at its signals: the test binary runs itself as the program.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
)

const asProgram = "TAMARINDSHORE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// deployment is discovery and a relay on loopback, and the file of a manager that they serve.
type deployment struct {
	configPath     string
	configText     []byte
	managerAddress string
}

func newDeployment(t *testing.T) deployment {
	t.Helper()
	site := fakes.DefaultSite(3, 4)
	relay, err := fakes.NewRelay("127.0.0.1:0", site)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	discovery, err := fakes.NewDiscovery("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	address, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	d := deployment{
		configPath:     filepath.Join(t.TempDir(), "config.json"),
		managerAddress: address,
		configText: site.ConfigFile(fakes.ManagerConfig{
			Name:             "n1",
			ListenAddress:    address,
			DiscoveryAddress: discovery.Address,
			RelayAddress:     relay.Address,
			Endpoints:        discovery.Snapshot(),
			Options:          fakes.ManagerOptions{Seed: 1, Cores: 1, MemoryMB: 192, MaxDescriptors: 1024},
		}),
	}
	if err := os.WriteFile(d.configPath, d.configText, 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

// start runs the manager as a process, by a shell line in which $0 is the program.
func (d deployment) start(t *testing.T, line string, log *os.File) *exec.Cmd {
	t.Helper()
	cmd := exec.Command("/bin/sh", "-c", line, os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "PROXY_CONFIG="+d.configPath)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd
}

// waitUntilReady waits for the first pong.
func (d deployment) waitUntilReady(t *testing.T) {
	t.Helper()
	for late := time.Now().Add(10 * time.Second); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", d.managerAddress)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "ping\r\n")
		text, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if text == "pong\r\n" {
			return
		}
	}
	t.Fatal("not ready within 10 s")
}

// requireCleanEnd sends SIGTERM and looks at how the process ends.
func requireCleanEnd(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("no end within 5 s of SIGTERM")
	}
}

func newPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { read.Close(); write.Close() })
	return read, write
}

// Guards against a SIGHUP that comes before the program takes it and ends the process: the deploy file's line has it
// ignored until then, and the file is read after that.
func TestASignalBeforeTheStart(t *testing.T) {
	d := newDeployment(t)
	read, write := newPipe(t)
	cmd := d.start(t, `trap '' HUP; kill -HUP $$; exec "$0"`, write)
	d.waitUntilReady(t)
	cmd.Process.Signal(syscall.SIGHUP)
	lines := bufio.NewReader(read)
	read.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatalf("no reload: %v", err)
		}
		if strings.Contains(line, "event=reload ") {
			break
		}
	}
	requireCleanEnd(t, cmd)
}

// Guards against signals that end the process while its file is being read: the file is a pipe, half written.
func TestSignalsDuringTheStart(t *testing.T) {
	d := newDeployment(t)
	os.Remove(d.configPath)
	if err := syscall.Mkfifo(d.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	read, write := newPipe(t)
	cmd := d.start(t, `exec "$0"`, write)
	write.Close()
	file, err := os.OpenFile(d.configPath, os.O_WRONLY, 0) // goes on once the program opens it
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(bytes.Repeat([]byte{' '}, 1<<18)); err != nil { // more than a pipe holds: it is being read
		t.Fatal(err)
	}
	for range 100 {
		cmd.Process.Signal(syscall.SIGHUP)
		cmd.Process.Signal(syscall.SIGUSR1)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	file.Write(d.configText)
	file.Close()
	requireCleanEnd(t, cmd)
	if log, _ := io.ReadAll(read); bytes.Contains(log, []byte("panic")) {
		t.Errorf("%s", log)
	}
}

// Guards against an end that waits for a reader of the log that is stalled.
func TestAnEndWithTheLogStuck(t *testing.T) {
	d := newDeployment(t)
	_, write := newPipe(t)
	fd := int(write.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	for chunk := make([]byte, 4096); ; { // until the pipe is full
		if _, err := syscall.Write(fd, chunk); err != nil {
			break
		}
	}
	if err := syscall.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
	cmd := d.start(t, `exec "$0"`, write)
	d.waitUntilReady(t)
	began := time.Now()
	requireCleanEnd(t, cmd)
	t.Logf("ended in %v", time.Since(began))
}

// Guards against a manager that ends because the reader of its log went away.
func TestALogWithoutAReader(t *testing.T) {
	d := newDeployment(t)
	read, write := newPipe(t)
	cmd := d.start(t, `exec "$0"`, write)
	read.Close()
	write.Close()
	d.waitUntilReady(t)
	cmd.Process.Signal(syscall.SIGUSR1)
	d.waitUntilReady(t)
	requireCleanEnd(t, cmd)
}
