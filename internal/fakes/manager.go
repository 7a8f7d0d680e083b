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

// Manager is a running manager, either in a process of its own or within this process.
type Manager interface {
	// Stop ends the manager with SIGKILL if kill is set, otherwise with SIGTERM, and waits until it has ended.
	Stop(kill bool) error
	// Signal sends a signal to the manager.
	Signal(signal os.Signal) error
	// Done returns a channel that is closed once the manager has ended.
	Done() <-chan struct{}
}

// StartFunc starts a manager from the platform's configuration file (JSON) and the operator's settings file.
type StartFunc func(configFile, settingsFile string) (Manager, error)

// ManagerOptions are the resource limits, the random seed and the extra settings that a manager starts with.
type ManagerOptions struct {
	Cores            int
	MemoryMB         float64
	MaxDescriptors   int
	Seed             uint64
	OperatorSettings string // forms that are added to the operator's settings file
}

// ManagerConfig holds the names, addresses and options of one manager of a site.
type ManagerConfig struct {
	Dir              string // directory for the files that the manager starts from
	Name             string
	ListenAddress    string
	StatusAddress    string
	DiscoveryAddress string
	RelayAddress     string
	Endpoints        EndpointList // the list that the manager starts with
	Options          ManagerOptions
}

// StartManager writes the files of a manager and starts it.
func (s Site) StartManager(config ManagerConfig, start StartFunc) (Manager, error) {
	configFile := filepath.Join(config.Dir, "start.json")
	if err := os.WriteFile(configFile, s.ConfigFile(config), 0o600); err != nil {
		return nil, fmt.Errorf("write the manager's configuration file: %w", err)
	}
	settings := fmt.Sprintf("(tamarindshore (cores %d) (listen (status %q)) %s)\n",
		config.Options.Cores, config.StatusAddress, config.Options.OperatorSettings)
	settingsFile := filepath.Join(config.Dir, "operator.sexp")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write the operator's settings file: %w", err)
	}
	return start(configFile, settingsFile)
}

const (
	readyTimeout  = 10 * time.Second // for a manager that is started by a deployment
	readyInterval = 5 * time.Millisecond
	pingTimeout   = 200 * time.Millisecond
)

// AwaitReady waits until a manager answers a ping. It fails after the timeout or if the manager ends first.
func AwaitReady(manager Manager, address string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		select {
		case <-manager.Done():
			return endedEarlyError(manager)
		default:
		}
		if answersPing(address) {
			return nil
		}
	}
	return fmt.Errorf("the manager at %s was not ready within %v", address, timeout)
}

// errEndedEarly reports that a manager ended before it was ready.
var errEndedEarly = errors.New("the manager ended before it was ready; see its log for the cause")

// endedEarlyError returns errEndedEarly, together with the cause if the manager ran within this process.
func endedEarlyError(manager Manager) error {
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
