package main

// Tests of how the process handles signals. The test binary runs itself as the program.

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

// runAsProgramEnv is the environment variable that makes the test binary run as the program.
const runAsProgramEnv = "TAMARINDSHORE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// deployment is a fake discovery and a fake relay on loopback, and the configuration file of a manager that uses them.
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

// startManager runs the manager as a process, with a shell command line in which $0 is the path of the program.
func (d deployment) startManager(t *testing.T, line string, log *os.File) *exec.Cmd {
	t.Helper()
	cmd := exec.Command("/bin/sh", "-c", line, os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "PROXY_CONFIG="+d.configPath)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd
}

// waitUntilReady waits until the manager answers a ping.
func (d deployment) waitUntilReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
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
	t.Fatal("the manager is not ready within 10 s")
}

// requireCleanExit sends SIGTERM and fails the test unless the process exits with code 0 within 5 s.
func requireCleanExit(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	cmd.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the process did not exit within 5 s of SIGTERM")
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

// A SIGHUP that arrives before the program handles it must not end the process. The shell command, like the one in the
// deployment file, makes the process ignore SIGHUP until then. Nothing is lost, because the program reads its configuration
// afterwards. A later SIGHUP must reload the configuration.
func TestASignalBeforeTheStart(t *testing.T) {
	d := newDeployment(t)
	read, write := newPipe(t)
	cmd := d.startManager(t, `trap '' HUP; kill -HUP $$; exec "$0"`, write)
	d.waitUntilReady(t)
	cmd.Process.Signal(syscall.SIGHUP)
	lines := bufio.NewReader(read)
	read.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatalf("no reload event in the log: %v", err)
		}
		if strings.Contains(line, "event=reload ") {
			break
		}
	}
	requireCleanExit(t, cmd)
}

// Signals that arrive while the configuration file is being read must not end the process abnormally. The file is a named
// pipe, of which only a part is written when the signals arrive.
func TestSignalsDuringTheStart(t *testing.T) {
	d := newDeployment(t)
	os.Remove(d.configPath)
	if err := syscall.Mkfifo(d.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	read, write := newPipe(t)
	cmd := d.startManager(t, `exec "$0"`, write)
	write.Close()
	file, err := os.OpenFile(d.configPath, os.O_WRONLY, 0) // blocks until the program opens the pipe
	if err != nil {
		t.Fatal(err)
	}
	// This exceeds the pipe's capacity, so the program must be reading by the time that Write returns.
	if _, err := file.Write(bytes.Repeat([]byte{' '}, 1<<18)); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		cmd.Process.Signal(syscall.SIGHUP)
		cmd.Process.Signal(syscall.SIGUSR1)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	file.Write(d.configText)
	file.Close()
	requireCleanExit(t, cmd)
	if log, _ := io.ReadAll(read); bytes.Contains(log, []byte("panic")) {
		t.Errorf("the process panicked: %s", log)
	}
}

// The process must exit on SIGTERM even if the reader of its log is stalled. The log goes to a full pipe that nobody
// reads.
func TestAnEndWithTheLogStuck(t *testing.T) {
	d := newDeployment(t)
	_, write := newPipe(t)
	fd := int(write.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	for chunk := make([]byte, 4096); ; { // fill the pipe
		if _, err := syscall.Write(fd, chunk); err != nil {
			break
		}
	}
	if err := syscall.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
	cmd := d.startManager(t, `exec "$0"`, write)
	d.waitUntilReady(t)
	began := time.Now()
	requireCleanExit(t, cmd)
	t.Logf("exited after %v", time.Since(began))
}

// The manager must keep running when the reader of its log exits, although writes to the log then raise SIGPIPE.
func TestALogWithoutAReader(t *testing.T) {
	d := newDeployment(t)
	read, write := newPipe(t)
	cmd := d.startManager(t, `exec "$0"`, write)
	read.Close()
	write.Close()
	d.waitUntilReady(t)
	cmd.Process.Signal(syscall.SIGUSR1)
	d.waitUntilReady(t)
	requireCleanExit(t, cmd)
}
