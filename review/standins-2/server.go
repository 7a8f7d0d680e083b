package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a worker: it answers probes with its load, unless it is down.
type server struct {
	endpoint endpoint

	mu       sync.Mutex
	down     bool // its process is dead: connections are refused
	inflight float64
	http     *http.Server
}

func newServer(id, zone string, cell int) (*server, error) {
	listener, err := listenOwn(serverNetwork)
	if err != nil {
		return nil, err
	}
	s := &server{endpoint: endpoint{ID: id, HostPort: listener.Addr().String(), Zone: zone, Kind: "fast", Cell: cell,
		Lifecycle: up, Weight: 1}}
	s.serve(listener)
	return s, nil
}

func (s *server) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /alive", s.answer)
	mux.HandleFunc("GET /metrics/load", s.answer)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(listener)
}

func (s *server) answer(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	inflight := s.inflight
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	fmt.Fprintf(w, "TEXT inflight=%.0f", inflight)
}

// kill ends the process: its connections are reset and new ones refused.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.http.Close()
}

// start starts the process again, at the same address.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.endpoint.HostPort)
	for tries := 0; err != nil && tries < 30; tries++ {
		time.Sleep(100 * time.Millisecond)
		listener, err = net.Listen("tcp", s.endpoint.HostPort)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.endpoint.StartedAt = time.Now().UnixMilli()
	s.serve(listener)
	return nil
}

// works reports whether the server answers requests.
func (s *server) works() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down
}

func (s *server) setLoad(inflight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight = inflight
}

// as returns the server's entry with a lifecycle.
func (s *server) as(lifecycle string) endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoint
	e.Lifecycle = lifecycle
	return e
}
