package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

// server is a simulated server of the fleet.
type server struct {
	id            balancer.ServerID
	zone          int
	running       bool
	unresponsive  bool
	slowdown      float64 // factor on its service time
	errorFraction float64 // fraction of its requests that fail
	startedAt     time.Duration
	rateByZone    []float64 // requests per second, by the zone of the proxies
}

// proxy is a simulated proxy of the fleet. It keeps its table while it is disconnected.
type proxy struct {
	id          balancer.ProxyID
	zone        int
	session     int // number of streams opened so far
	connected   bool
	connectedAt time.Duration
	assigned    bool // whether it was assigned a table in this session
	table       balancer.TableID
	weights     map[balancer.ServerID]float64
	shed        shedFractions
	withdrawn   map[balancer.ServerID]bool
	lastArrival time.Duration   // arrival time of the last message, which may be in the future
	lastQueued  time.Duration   // when the last message was put into the channel's queue
	recentSends []time.Duration // times of the messages sent within messageWindow
}

// hasServer reports whether the proxy's table has a server that is not withdrawn.
func (p *proxy) hasServer() bool {
	for server := range p.weights {
		if !p.withdrawn[server] {
			return true
		}
	}
	return false
}

// connect opens a proxy's stream. The proxy keeps its old table until it receives a new one.
func (s *Simulation) connect(p *proxy) {
	if p.connected {
		return
	}
	p.connected = true
	p.connectedAt = s.now
	p.assigned = false
	p.session++
	p.lastArrival = s.now
	p.recentSends = nil
	if p.weights == nil {
		p.weights = map[balancer.ServerID]float64{}
		p.withdrawn = map[balancer.ServerID]bool{}
	}
	s.deliver(func(now time.Duration) balancer.Commands {
		return s.manager.balancer.HandleProxyConnected(now, p.id, fleetmodel.ZoneID(p.zone), s.scenario.RequestRate)
	})
}

// disconnect ends a proxy's stream. The manager is informed only if notifyManager is set.
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

// stopServer ends a server's process and announces the server as removed.
func (s *Simulation) stopServer(server *server) {
	server.running = false
	server.unresponsive = false
	s.announce(server, balancer.Removed)
}

// startServer starts a new process for a server that is not running, and announces it as ready.
func (s *Simulation) startServer(server *server) {
	if server.running {
		return
	}
	server.running = true
	server.startedAt = max(s.now, 1)
	s.announce(server, balancer.Ready)
}

// announce updates a server's state in the endpoint list, after the delay of the list.
func (s *Simulation) announce(server *server, state balancer.ServerState) {
	startedAt := longAgo
	if server.startedAt > 0 {
		startedAt = server.startedAt
	}
	delay := s.scenario.ListDelay.draw(s.rng) + s.faults.extraListDelay
	s.scheduleAfter(delay, func() {
		if startedAt < s.manager.endpoints[server.id].startedAt {
			return // the list already shows a newer process
		}
		s.record("list %s %d", server.id, state)
		s.whenNotStalled(func() { s.updateEndpoint(server, state, startedAt) })
	})
}

// updateEndpoint delivers a changed entry of the endpoint list to the manager.
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

// endpoint returns a server's entry of the endpoint list, with its start time on the manager's clock.
func (s *Simulation) endpoint(server *server, listed listedServer) balancer.Endpoint {
	e := balancer.Endpoint{Server: server.id, Zone: fleetmodel.ZoneID(server.zone), Weight: 1, State: listed.state}
	if listed.startedAt > 0 {
		e.Started = listed.startedAt - s.manager.startedAt
		e.RecentlyStarted = true
	}
	return e
}
