package fakes

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Daemon is a manager that a rig runs.
type Manager interface {
	Stop(kill bool) error // SIGTERM, or SIGKILL
	Signal(s os.Signal) error
	Done() <-chan struct{}
}

// Begin starts a manager with the files of a rig: the platform's JSON and the operator's settings.
type StartFunc func(start, settings string) (Manager, error)

// How is what a manager is started with.
type ManagerOptions struct {
	Cores            int
	MemoryMB         float64
	MaxDescriptors   int
	Seed             uint64
	OperatorSettings string // further forms of the operator's
}

// ManagerStart is what one manager of a site is told at its start.
type ManagerConfig struct {
	Dir                            string // of its files
	Name                           string
	ListenAddress, StatusAddress   string // its addresses
	DiscoveryAddress, RelayAddress string
	Endpoints                      EndpointList
	Options                        ManagerOptions
}

// StartManager writes a manager's files and starts it.
func (s Site) StartManager(m ManagerConfig, begin StartFunc) (Manager, error) {
	start, settings := filepath.Join(m.Dir, "start.json"), filepath.Join(m.Dir, "operator.sexp")
	text := s.Start(m.Name, m.ListenAddress, m.DiscoveryAddress, m.RelayAddress, m.Endpoints, m.Options.Seed, float64(m.Options.Cores), m.Options.MemoryMB, m.Options.MaxDescriptors)
	if err := os.WriteFile(start, text, 0o600); err != nil {
		return nil, err
	}
	operator := fmt.Sprintf("(tamarindshore (cores %d) (listen (status %q)) %s)\n", m.Options.Cores, m.StatusAddress, m.Options.OperatorSettings)
	if err := os.WriteFile(settings, []byte(operator), 0o600); err != nil {
		return nil, err
	}
	return begin(start, settings)
}

// readyMost is how long a rig waits for its manager.
const readyMost = 10 * time.Second

// AwaitReady waits until a manager answers a ping.
func AwaitReady(daemon Manager, address string, within time.Duration) error {
	for late := time.Now().Add(within); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		select {
		case <-daemon.Done():
			return fmt.Errorf("the manager ended before it was ready; its log says why%s", causeOf(daemon))
		default:
		}
		if answersPing(address) {
			return nil
		}
	}
	return fmt.Errorf("the manager was not ready within %v", within)
}

// causeOf is why a manager within this process ended, where it tells that.
func causeOf(daemon Manager) string {
	if told, ok := daemon.(interface{ Err() error }); ok && told.Err() != nil {
		return ": " + told.Err().Error()
	}
	return ""
}

func answersPing(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(200 * time.Millisecond))
	fmt.Fprint(connection, "ping\r\n")
	line, err := bufio.NewReader(connection).ReadString('\n')
	return err == nil && line == "pong\r\n"
}
