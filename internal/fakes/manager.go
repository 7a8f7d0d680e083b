package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Manager is a running manager: a process, or one within this process.
type Manager interface {
	// Stop ends it, by SIGTERM or SIGKILL, and waits for its end.
	Stop(kill bool) error
	Signal(signal os.Signal) error
	// Done is closed once it has ended.
	Done() <-chan struct{}
}

// StartFunc starts a manager with its two files: the platform's JSON and the operator's settings.
type StartFunc func(configFile, settingsFile string) (Manager, error)

// ManagerOptions are the limits, the seed and the settings that a manager starts with.
type ManagerOptions struct {
	Cores            int
	MemoryMB         float64
	MaxDescriptors   int
	Seed             uint64
	OperatorSettings string // further forms of the operator's settings
}

// ManagerConfig is what one manager of a site starts with.
type ManagerConfig struct {
	Dir              string // where its files are written
	Name             string
	ListenAddress    string
	StatusAddress    string
	DiscoveryAddress string
	RelayAddress     string
	Endpoints        EndpointList // as last held
	Options          ManagerOptions
}

// StartManager writes a manager's files and starts it.
func (s Site) StartManager(config ManagerConfig, start StartFunc) (Manager, error) {
	configFile := filepath.Join(config.Dir, "start.json")
	if err := os.WriteFile(configFile, s.ConfigFile(config), 0o600); err != nil {
		return nil, fmt.Errorf("write the manager's configuration: %w", err)
	}
	settings := fmt.Sprintf("(tamarindshore (cores %d) (listen (status %q)) %s)\n",
		config.Options.Cores, config.StatusAddress, config.Options.OperatorSettings)
	settingsFile := filepath.Join(config.Dir, "operator.sexp")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write the operator's settings: %w", err)
	}
	return start(configFile, settingsFile)
}

const (
	readyTimeout  = 10 * time.Second // of a manager that a deployment starts
	readyInterval = 5 * time.Millisecond
	pingTimeout   = 200 * time.Millisecond
)

// AwaitReady waits until a manager answers a ping.
func AwaitReady(manager Manager, address string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		select {
		case <-manager.Done():
			return endedEarly(manager)
		default:
		}
		if answersPing(address) {
			return nil
		}
	}
	return fmt.Errorf("the manager was not ready within %v", timeout)
}

// errEndedEarly is that a manager ended before it was ready.
var errEndedEarly = errors.New("the manager ended before it was ready; its log says why")

// endedEarly is errEndedEarly, with the cause where the manager runs in this process.
func endedEarly(manager Manager) error {
	if inProcess, ok := manager.(interface{ Err() error }); ok && inProcess.Err() != nil {
		return fmt.Errorf("%w: %w", errEndedEarly, inProcess.Err())
	}
	return errEndedEarly
}

func answersPing(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(pingTimeout))
	fmt.Fprint(connection, "ping\r\n")
	line, err := bufio.NewReader(connection).ReadString('\n')
	return err == nil && line == "pong\r\n"
}
