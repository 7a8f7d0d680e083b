package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how a server answers.
type Behaviour int32

// The behaviours of a server.
const (
	Healthy      Behaviour = iota // answers as a live server does
	Overloaded                    // answers 503
	Unresponsive                  // takes connections and says nothing
	Down                          // refuses connections
)

// loadPath is where a server tells its load.
const loadPath = "/metrics/load"

const (
	serverHeaderTimeout = 2 * time.Second
	serverIdleTimeout   = time.Second
)

// Server answers health checks at an address of its own.
type Server struct {
	ID           string
	Zone         string
	Address      string
	HealthChecks atomic.Int64
	InFlight     atomic.Int64 // requests that it reports

	behaviour atomic.Int32
	mu        sync.Mutex
	listener  net.Listener
	started   time.Time // zero: long ago
}

// NewServers starts the servers of a site, each with a port of its own. They are on a loopback address of this
// process's own where the system has several, so that no other process takes the port of a server that is down.
func NewServers(site Site) ([]*Server, error) {
	var servers []*Server
	for n := range site.Servers {
		server := &Server{ID: ServerID(n), Zone: site.Zone(n)}
		listener, err := listenOnOwnLoopback(serversNet)
		if err != nil {
			return servers, fmt.Errorf("start server %s: %w", server.ID, err)
		}
		server.serve(listener)
		servers = append(servers, server)
	}
	return servers, nil
}

// serve answers at a listener until that is closed.
func (s *Server) serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.Address = listener.Addr().String()
	s.mu.Unlock()
	server := &http.Server{
		Handler:           http.HandlerFunc(s.answer),
		ReadHeaderTimeout: serverHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
	go func() {
		server.Serve(listener)
		server.Close()
	}()
}

func (s *Server) answer(w http.ResponseWriter, request *http.Request) {
	s.HealthChecks.Add(1)
	switch s.Behaviour() {
	case Overloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Unresponsive:
		<-request.Context().Done()
		return
	}
	if request.URL.Path == loadPath {
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0, util=0.50", s.InFlight.Load())
	}
}

// Behaviour returns how the server answers.
func (s *Server) Behaviour() Behaviour { return Behaviour(s.behaviour.Load()) }

// SetBehaviour changes how the server answers. One that comes up from Down is a fresh process at the same address.
func (s *Server) SetBehaviour(behaviour Behaviour) error {
	before := Behaviour(s.behaviour.Swap(int32(behaviour)))
	switch {
	case behaviour == Down && before != Down:
		return s.stop()
	case behaviour != Down && before == Down:
		return s.restart()
	}
	return nil
}

// stop closes the listener.
func (s *Server) stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("stop server %s: %w", s.ID, err)
	}
	return nil
}

// restart listens again at the server's address.
func (s *Server) restart() error {
	s.mu.Lock()
	address := s.Address
	s.started = time.Now()
	s.mu.Unlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("restart server %s: %w", s.ID, err)
	}
	s.serve(listener)
	return nil
}

// Entry is the server's entry of the endpoint list in a state: up, draining or removed.
func (s *Server) Entry(lifecycle string) Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := Endpoint{ID: s.ID, HostPort: s.Address, Zone: s.Zone, Lifecycle: lifecycle, Weight: 1}
	if !s.started.IsZero() {
		endpoint.Started = s.started.UnixMilli()
	}
	return endpoint
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
}
