package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Mood is how a stand-in server answers.
type Behaviour int32

const (
	// Well answers as a live server does.
	Healthy      Behaviour = iota
	Overloaded             // answers 503
	Unresponsive           // takes connections and says nothing
	Down                   // refuses connections
)

// Server answers probes at an address of its own.
type Server struct {
	ID, Zone, Address string
	HealthChecks      atomic.Int64
	InFlight          atomic.Int64 // flows that it says it holds

	mood    atomic.Int32
	mu      sync.Mutex
	at      net.Listener
	started time.Time // zero: long ago
}

// NewServers raises so many servers, each with a port of its own, on a loopback address of this process's own where
// there are several. Guards against another process that takes the port of one that is down.
func NewServers(site Site) ([]*Server, error) {
	var all []*Server
	for n := range site.Servers {
		s := &Server{ID: ServerID(n), Zone: site.Zone(n)}
		listener, err := listenOnOwnLoopback(serversNet)
		if err != nil {
			return all, err
		}
		s.serve(listener)
		all = append(all, s)
	}
	return all, nil
}

// serve answers at a listener until that is closed.
func (s *Server) serve(at net.Listener) {
	s.mu.Lock()
	s.at, s.Address = at, at.Addr().String()
	s.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(s.answer), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Second}
	go func() {
		server.Serve(at)
		server.Close()
	}()
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	s.HealthChecks.Add(1)
	switch Behaviour(s.mood.Load()) {
	case Overloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Unresponsive:
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/metrics/load" {
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0, util=0.50", s.InFlight.Load())
	}
}

// Mood tells how it answers.
func (s *Server) Behaviour() Behaviour { return Behaviour(s.mood.Load()) }

// Turn changes how it answers. One that comes up from Down is a fresh process.
func (s *Server) SetBehaviour(m Behaviour) error {
	was := Behaviour(s.mood.Swap(int32(m)))
	s.mu.Lock()
	at, address := s.at, s.Address
	s.mu.Unlock()
	switch {
	case m == Down && was != Down:
		return at.Close()
	case m != Down && was == Down:
		s.mu.Lock()
		s.started = time.Now()
		s.mu.Unlock()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		s.serve(listener)
	}
	return nil
}

// Entry is its line of the list in a state.
func (s *Server) Entry(lifecycle string) Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Endpoint{ID: s.ID, HostPort: s.Address, Zone: s.Zone, Lifecycle: lifecycle, Weight: 1}
	if !s.started.IsZero() {
		e.Started = s.started.UnixMilli()
	}
	return e
}

// Close ends it.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Close()
}
