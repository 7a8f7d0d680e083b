package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

// server is a server of the fleet.
type server struct {
	id            balancer.ServerID
	zone          int
	running       bool
	unresponsive  bool
	slowdown      float64 // factor on its service time
	errorFraction float64 // of its requests
	startedAt     time.Duration
	rateByZone    []float64 // requests a second, by the zone of the proxies
}

// proxy is a proxy of the fleet. It keeps its table while it is disconnected.
type proxy struct {
	id          balancer.ProxyID
	zone        int
	session     int // counts its streams; 0 before the first
	connected   bool
	connectedAt time.Duration
	assigned    bool // to a table, in this session
	table       balancer.TableID
	weights     map[balancer.ServerID]float64
	withdrawn   map[balancer.ServerID]bool
	receivedAt  time.Duration   // when the last message arrives
	sentAt      time.Duration   // when the last message was sent
	recentSends []time.Duration // those within messageWindow
}

// hasServer reports whether a proxy has a server to send requests to.
func (p *proxy) hasServer() bool {
	for server := range p.weights {
		if !p.withdrawn[server] {
			return true
		}
	}
	return false
}

// connect opens a proxy's stream. The proxy keeps its table until it receives another.
func (s *Simulation) connect(p *proxy) {
	if p.connected {
		return
	}
	p.connected = true
	p.connectedAt = s.now
	p.assigned = false
	p.session++
	p.receivedAt = s.now
	p.recentSends = nil
	if p.weights == nil {
		p.weights = map[balancer.ServerID]float64{}
		p.withdrawn = map[balancer.ServerID]bool{}
	}
	s.deliver(func(now time.Duration) balancer.Commands {
		return s.manager.balancer.HandleProxyConnected(now, p.id, fleetmodel.ZoneID(p.zone), s.scenario.RequestRate)
	})
}

// disconnect ends a proxy's stream, and notifies the manager or not.
func (s *Simulation) disconnect(p *proxy, notifyManager bool) {
	if !p.connected {
		return
	}
	p.connected = false
	p.assigned = false
	if notifyManager {
		s.deliver(func(now time.Duration) balancer.Commands {
			return s.manager.balancer.HandleProxyDisconnected(now, p.id)
		})
	}
}

// stopServer ends a server's process.
func (s *Simulation) stopServer(server *server) {
	server.running = false
	server.unresponsive = false
	s.announce(server, balancer.Removed)
}

// startServer starts a fresh process of a server, unless one runs.
func (s *Simulation) startServer(server *server) {
	if server.running {
		return
	}
	server.running = true
	server.startedAt = max(s.now, 1)
	s.announce(server, balancer.Ready)
}

// announce lets the endpoint list show a server in a state, after the list's delay.
func (s *Simulation) announce(server *server, state balancer.ServerState) {
	startedAt := longAgo
	if server.startedAt > 0 {
		startedAt = server.startedAt
	}
	delay := s.scenario.ListDelay.draw(s.rng) + s.faults.extraListDelay
	s.scheduleAfter(delay, func() {
		if startedAt < s.manager.endpoints[server.id].startedAt {
			return // the list shows a later process already
		}
		s.record("list %s %d", server.id, state)
		s.whenNotStalled(func() { s.updateEndpoint(server, state, startedAt) })
	})
}

// updateEndpoint delivers a changed entry of the endpoint list.
func (s *Simulation) updateEndpoint(server *server, state balancer.ServerState, startedAt time.Duration) {
	before := s.manager.endpoints[server.id]
	entry := listedServer{state: state, notifiedAt: s.now, startedAt: startedAt}
	if before.state != balancer.Ready && state != balancer.Ready {
		entry.notifiedAt = before.notifiedAt
	}
	s.manager.endpoints[server.id] = entry
	s.deliver(func(now time.Duration) balancer.Commands {
		endpoints := []balancer.Endpoint{s.endpoint(server, entry)}
		return s.manager.balancer.HandleEndpointList(now, false, endpoints)
	})
}

// endpoint is a server's entry of the endpoint list, its start on the manager's clock.
func (s *Simulation) endpoint(server *server, listed listedServer) balancer.Endpoint {
	e := balancer.Endpoint{Server: server.id, Zone: fleetmodel.ZoneID(server.zone), Weight: 1, State: listed.state}
	if listed.startedAt > 0 {
		e.Started = listed.startedAt - s.manager.startedAt
		e.RecentlyStarted = true
	}
	return e
}
