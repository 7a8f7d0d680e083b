package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is the way in which a server responds.
type Behaviour int32

// The behaviours of a server.
const (
	Healthy      Behaviour = iota // answers 200
	Overloaded                    // answers 503
	Unresponsive                  // accepts connections but never answers
	Down                          // refuses connections
)

// loadPath is the path at which a server reports its load.
const loadPath = "/metrics/load"

const (
	serverHeaderTimeout = 2 * time.Second
	serverIdleTimeout   = time.Second
)

// Server is a fake server that answers health checks and load requests at its own address.
type Server struct {
	ID           string
	Zone         string
	Address      string
	HealthChecks atomic.Int64 // number of requests received: health checks and load requests
	InFlight     atomic.Int64 // in-flight requests that it reports

	behaviour atomic.Int32
	mu        sync.Mutex
	listener  net.Listener
	started   time.Time // time of the last restart; zero if it was never restarted
}

// NewServers starts the servers of a site, each on its own port. Where the system has several loopback addresses, they
// are on one that is specific to this process, so that no other process takes the port of a server that is down.
func NewServers(site Site) ([]*Server, error) {
	var servers []*Server
	for n := range site.Servers {
		server := &Server{ID: ServerID(n), Zone: site.Zone(n)}
		listener, err := listenOnProcessLoopback(serverNetwork)
		if err != nil {
			return servers, fmt.Errorf("start server %s: %w", server.ID, err)
		}
		server.serve(listener)
		servers = append(servers, server)
	}
	return servers, nil
}

// serve serves requests from a listener until it is closed.
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

// Behaviour returns the current behaviour of the server.
func (s *Server) Behaviour() Behaviour { return Behaviour(s.behaviour.Load()) }

// SetBehaviour changes the behaviour of the server. A server that was Down restarts at the same address with a new start
// time.
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

// restart listens on the server's address again.
func (s *Server) restart() error {
	s.mu.Lock()
	address := s.Address
	s.started = time.Now()
	s.mu.Unlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("restart server %s on %s: %w", s.ID, address, err)
	}
	s.serve(listener)
	return nil
}

// Entry returns the server's entry of the endpoint list with a lifecycle state: up, draining or removed.
func (s *Server) Entry(lifecycle string) Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := Endpoint{ID: s.ID, HostPort: s.Address, Zone: s.Zone, Lifecycle: lifecycle, Weight: 1}
	if !s.started.IsZero() {
		endpoint.StartedAtMs = s.started.UnixMilli()
	}
	return endpoint
}

// Close closes the server's listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
}
