package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindshore/balancer"
)

// Balancer handles the inputs of a fleet's manager. It is implemented by *balancer.Manager and by variants under test.
type Balancer interface {
	HandleEndpointList(now time.Duration, complete bool, entries []balancer.Endpoint) balancer.Commands
	HandleProxyConnected(now time.Duration, id balancer.ProxyID, zone balancer.ZoneID, rate float64) balancer.Commands
	HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands
	HandleLoadReport(now time.Duration, report balancer.LoadReport) balancer.Commands
	HandleUsageReport(now time.Duration, report balancer.UsageReport) balancer.Commands
	HandleHealthCheck(
		now time.Duration, id balancer.ServerID, result balancer.HealthCheckResult, latency time.Duration, load float64,
	) balancer.Commands
	HandleBarrierAck(now time.Duration, id balancer.ProxyID, barrier balancer.BarrierID) balancer.Commands
	HandleCommandsSent(now time.Duration, barrier balancer.BarrierID)
	HandleTimer(now time.Duration) balancer.Commands
}

// Tally holds numbers of requests, summed over all seconds played.
type Tally struct {
	Offered   float64
	Shed      float64 // rejected by the proxies' admission limits
	Failed    float64 // failed at a server
	CrossZone float64 // sent to a server of another zone
}

// Fleet is a simulated fleet with its manager. It is not safe for concurrent use.
type Fleet struct {
	Scenario    Scenario
	Manager     Balancer
	Tally       Tally
	OnCommands  func(now time.Duration, commands balancer.Commands) // called with the result of each input
	InputCount  int
	ManagerTime time.Duration // wall-clock time spent in the manager's methods

	clock
	rng        *rand.Rand
	servers    []*server
	serverByID map[balancer.ServerID]*server
	proxies    []*proxy
	weights    map[balancer.TableID]map[balancer.ServerID]float64
	admission  map[balancer.TableID]map[uint]float64 // admission limits, by mask of traffic classes
}

// server is a simulated server of the fleet.
type server struct {
	id         balancer.ServerID
	zone       int
	startedAt  time.Duration
	state      balancer.ServerState
	slow       bool
	withdrawn  bool
	rateByZone []float64 // requests per second, by the zone of the proxies
}

// proxy is a simulated proxy of the fleet.
type proxy struct {
	zone         int
	table        balancer.TableID
	assigned     bool
	disconnected bool
}

const (
	longAgo     = -time.Hour // start time of the initial servers
	fleetStream = 7          // identifier of the fleet's random number stream
)

// New returns a fleet that has not been started. The seed determines all random numbers of the fleet and its manager.
func New(s Scenario, seed uint64) *Fleet {
	f := &Fleet{
		Scenario:   s,
		Manager:    balancer.New(seed, s.Settings()),
		OnCommands: func(time.Duration, balancer.Commands) {},
		rng:        rand.New(rand.NewPCG(seed, fleetStream)),
		serverByID: map[balancer.ServerID]*server{},
		weights:    map[balancer.TableID]map[balancer.ServerID]float64{},
		admission:  map[balancer.TableID]map[uint]float64{},
	}
	for i := range s.Servers {
		f.addServer(i)
	}
	for i := range s.Proxies {
		f.proxies = append(f.proxies, &proxy{zone: i % s.Zones})
	}
	return f
}

// addServer adds a warm server.
func (f *Fleet) addServer(index int) {
	const idFactor, idMask = 2654435761, 0xfffff // make the order of the identifiers differ from that of the servers
	added := &server{
		id:         balancer.ServerID(fmt.Sprintf("s-%05x", (index*idFactor)&idMask)),
		zone:       index % f.Scenario.Zones,
		startedAt:  longAgo,
		rateByZone: make([]float64, f.Scenario.Zones),
	}
	f.servers = append(f.servers, added)
	f.serverByID[added.id] = added
}

// Start delivers the complete endpoint list, then connects all proxies one after another.
func (f *Fleet) Start() {
	var endpoints []balancer.Endpoint
	for _, s := range f.servers {
		endpoints = append(endpoints, s.endpoint())
	}
	f.now = time.Millisecond
	f.deliver(func(now time.Duration) balancer.Commands { return f.Manager.HandleEndpointList(now, true, endpoints) })
	for i := range f.proxies {
		f.now += time.Microsecond
		f.connect(i)
	}
}

// endpoint returns the server's entry of the endpoint list.
func (s *server) endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		Server:          s.id,
		Zone:            ZoneID(s.zone),
		Weight:          1,
		Started:         s.startedAt,
		RecentlyStarted: s.startedAt > 0,
		State:           s.state,
	}
}

// setState changes a server's state, and delivers its new entry of the endpoint list.
func (f *Fleet) setState(s *server, state balancer.ServerState) {
	s.state = state
	if state == balancer.Ready {
		s.startedAt = f.now
	}
	f.deliver(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleEndpointList(now, false, []balancer.Endpoint{s.endpoint()})
	})
}

// connect connects a proxy. It has no table until the manager assigns one.
func (f *Fleet) connect(index int) {
	p := f.proxies[index]
	p.disconnected = false
	p.assigned = false
	f.deliver(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleProxyConnected(now, balancer.ProxyID(index), ZoneID(p.zone), f.Scenario.RequestRate)
	})
}

// disconnect disconnects a proxy, which loses its assignment.
func (f *Fleet) disconnect(index int) {
	p := f.proxies[index]
	p.disconnected = true
	p.assigned = false
	f.deliver(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleProxyDisconnected(now, balancer.ProxyID(index))
	})
}
