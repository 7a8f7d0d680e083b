package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindshore/balancer"
)

// Balancer takes the inputs of a fleet's manager: *balancer.Manager, or what replaces it.
type Balancer interface {
	HandleEndpointList(now time.Duration, whole bool, entries []balancer.Endpoint) balancer.Commands
	HandleProxyConnected(now time.Duration, id balancer.ProxyID, zone balancer.ZoneID, rate float64) balancer.Commands
	HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands
	HandleLoadReport(now time.Duration, r balancer.LoadReport) balancer.Commands
	HandleUsageReport(now time.Duration, u balancer.UsageReport) balancer.Commands
	HandleHealthCheck(now time.Duration, id balancer.ServerID, a balancer.HealthCheckResult, took time.Duration, load float64) balancer.Commands
	HandleBarrierAck(now time.Duration, id balancer.ProxyID, mark balancer.BarrierID) balancer.Commands
	HandleCommandsSent(now time.Duration, mark balancer.BarrierID)
	HandleTimer(now time.Duration) balancer.Commands
}

// Tally sums requests over all seconds played.
type Tally struct {
	Offered   float64
	Shed      float64 // by the proxies' admission limits
	Failed    float64 // at servers
	CrossZone float64 // sent to a server of another zone
}

// Fleet is one run. It is not safe for concurrent use.
type Fleet struct {
	Scenario    Scenario
	Manager     Balancer
	Tally       Tally
	OnCommands  func(now time.Duration, commands balancer.Commands) // called with the result of each input
	InputCount  int
	ManagerTime time.Duration // that inputs took, on the wall clock

	clock
	rng        *rand.Rand
	servers    []*server
	serverByID map[balancer.ServerID]*server
	proxies    []*proxy
	weights    map[balancer.TableID]map[balancer.ServerID]float64
	admission  map[balancer.TableID]map[uint]float64 // limits by mask of classes
}

// server is a server of the fleet.
type server struct {
	id         balancer.ServerID
	zone       int
	startedAt  time.Duration
	state      balancer.ServerState
	slow       bool
	withdrawn  bool
	rateByZone []float64 // requests a second, by the zone of the proxies
}

// proxy is a proxy of the fleet.
type proxy struct {
	zone     int
	table    balancer.TableID
	assigned bool
	disconnected     bool
}

const (
	longAgo     = -time.Hour // when the servers started that are there from the beginning
	fleetStream = 7          // of the seed's random numbers
)

// New makes a fleet at rest. The seed settles all that is drawn, in the fleet and in its manager.
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
	const idFactor, idMask = 2654435761, 0xfffff // spread the order of identifiers
	added := &server{
		id:         balancer.ServerID(fmt.Sprintf("s-%05x", (index*idFactor)&idMask)),
		zone:       index % f.Scenario.Zones,
		startedAt:  longAgo,
		rateByZone: make([]float64, f.Scenario.Zones),
	}
	f.servers = append(f.servers, added)
	f.serverByID[added.id] = added
}

// Start delivers the complete endpoint list, then connects all proxies, one by one.
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

// endpoint is the server's entry of the endpoint list.
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

// setState changes a server's state, and its entry of the endpoint list.
func (f *Fleet) setState(s *server, state balancer.ServerState) {
	s.state = state
	if state == balancer.Ready {
		s.startedAt = f.now
	}
	f.deliver(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleEndpointList(now, false, []balancer.Endpoint{s.endpoint()})
	})
}

// connect connects a proxy, which is not assigned yet.
func (f *Fleet) connect(index int) {
	p := f.proxies[index]
	p.disconnected = false
	p.assigned = false
	f.deliver(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleProxyConnected(now, balancer.ProxyID(index), ZoneID(p.zone), f.Scenario.RequestRate)
	})
}

// disconnect disconnects a proxy.
func (f *Fleet) disconnect(index int) {
	p := f.proxies[index]
	p.disconnected = true
	p.assigned = false
	f.deliver(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleProxyDisconnected(now, balancer.ProxyID(index))
	})
}
