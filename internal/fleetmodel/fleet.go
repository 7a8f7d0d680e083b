// Package fleetmodel is a small fleet without sockets: servers, proxies and a relay as rates and delays, driven by the
// decision module's orders on a clock of its own. It owns what a manager would hear and what its orders do; the same
// seed gives the same run. It must never decide anything, nor be imported by the daemon.
package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tamarindshore/balancer"
)

// Shape says how large a fleet is and what happens to it.
type Scenario struct {
	Name                         string
	Zones                        int
	Servers, Proxies             int
	RequestRate                  float64       // flows a second at each proxy, of all groups
	ServerCapacity               float64       // flows a second that a warm server serves
	DrainFraction                float64       // part of the servers that drain and come back cold, one after another
	SlowFraction                 float64       // part of the servers that run five times slower from a third of the run on
	SurgeFactor                  float64       // factor on all flows from a third of the run on; 0: none
	ChurnInterval                time.Duration // between two proxies that leave and join again; 0: none
	RemovedMayServe, AdmitByRate bool          // gone does not bind; levels are rates
	MaxMessages                  int           // to one proxy within 10 s; 0: no limit
}

// Terms are those of a site of this shape.
func (s Scenario) Settings() balancer.Settings {
	t := balancer.Settings{
		Classes: []balancer.TrafficClass{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
		},
		HealthChecks: true, AdmissionUnit: balancer.AdmitShare, DefaultRetryPolicy: balancer.RetryIfNotExecuted, ColdCapacity: 0.15,
		WarmUpDuration: 16 * time.Second, Proxies: s.Proxies, IdleTimeout: 4 * time.Second, RemovedMayServe: s.RemovedMayServe,
		QueueCapacity: max(8600, 8*float64(s.Proxies)), CommandsPerSecond: max(8600, 8*float64(s.Proxies)), MessageOverhead: 4,
		CommandPrice: 0.02, MaxMessages: s.MaxMessages, MessageWindow: 10 * time.Second,
	}
	if s.AdmitByRate {
		t.AdmissionUnit = balancer.AdmitRate
	}
	for z := range s.Zones {
		t.Zones = append(t.Zones, zone(z))
	}
	return t
}

func zone(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprint("z", z)) }

type server struct {
	id      balancer.ServerID
	zone    int
	started time.Duration
	state   balancer.ServerState
	slow    bool
	pulled  bool
	at      []float64 // flows a second by zone of proxies
}

type proxy struct {
	zone  int
	table balancer.TableID
	bound bool
	away  bool
}

type later struct {
	at time.Duration
	do func(time.Duration) balancer.Commands
}

// Decider is what the fleet hears of its manager: the decision module, or a way of dividing it.
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

// Tally sums flows over all seconds played.
type Tally struct{ Offered, Shed, Failed, CrossZone float64 }

// Fleet is one run. Each input of the manager goes through Say, so that a caller may look at it.
type Fleet struct {
	Scenario    Scenario
	Manager     Balancer
	Tally       Tally
	OnCommands  func(now time.Duration, o balancer.Commands) // all that was ordered
	InputCount  int
	ManagerTime time.Duration // by the manager, on the wall clock

	now     time.Duration
	chance  *rand.Rand
	servers []*server
	named   map[balancer.ServerID]*server
	proxies []*proxy
	tables  map[balancer.TableID]map[balancer.ServerID]float64
	levels  map[balancer.TableID]map[uint]float64
	wake    time.Duration
	waits   []later // by time
}

// New makes a fleet at rest; the seed settles its chance and the manager's.
func New(s Scenario, seed uint64) *Fleet {
	f := &Fleet{Scenario: s, Manager: balancer.New(seed, s.Settings()), chance: rand.New(rand.NewPCG(seed, 7)),
		named: map[balancer.ServerID]*server{}, tables: map[balancer.TableID]map[balancer.ServerID]float64{},
		levels: map[balancer.TableID]map[uint]float64{}, OnCommands: func(time.Duration, balancer.Commands) {}}
	for i := range s.Servers {
		one := &server{id: balancer.ServerID(fmt.Sprintf("s-%05x", (i*2654435761)&0xfffff)), zone: i % s.Zones, started: -time.Hour,
			at: make([]float64, s.Zones)}
		f.servers, f.named[one.id] = append(f.servers, one), one
	}
	for i := range s.Proxies {
		f.proxies = append(f.proxies, &proxy{zone: i % s.Zones})
	}
	return f
}

// call gives the manager one input and carries out what it orders.
func (f *Fleet) call(input func(time.Duration) balancer.Commands) {
	began := time.Now()
	o := input(f.now)
	f.ManagerTime += time.Since(began)
	f.InputCount++
	f.OnCommands(f.now, o)
	for _, s := range o.Withdraw {
		f.named[s].pulled = true
	}
	for _, l := range o.Weights {
		if f.tables[l.Table] == nil {
			f.tables[l.Table] = map[balancer.ServerID]float64{}
		}
		if f.tables[l.Table][l.Server] = l.Weight; l.Weight == 0 {
			delete(f.tables[l.Table], l.Server)
		}
	}
	for _, l := range o.AdmissionLevels {
		if f.levels[l.Table] == nil {
			f.levels[l.Table] = map[uint]float64{}
		}
		f.levels[l.Table][l.Classes] = l.Amount
	}
	for _, s := range o.Restore {
		f.named[s].pulled = false
	}
	for _, b := range o.Assign {
		f.proxies[b.Proxy].bound, f.proxies[b.Proxy].table = true, b.Table
	}
	if o.Barrier > 0 {
		f.Manager.HandleCommandsSent(f.now, o.Barrier)
		for _, p := range f.concerned(o) {
			f.after(100*time.Millisecond+f.spread(200*time.Millisecond), func(now time.Duration) balancer.Commands {
				return f.Manager.HandleBarrierAck(now, p, o.Barrier)
			})
		}
	}
	for _, id := range o.HealthCheck {
		s, answer, took := f.named[id], balancer.HealthCheckPassed, 2*time.Millisecond+f.spread(10*time.Millisecond)
		if s.state == balancer.Removed {
			answer = balancer.HealthCheckTimedOut
		}
		f.after(took, func(now time.Duration) balancer.Commands {
			return f.Manager.HandleHealthCheck(now, id, answer, took, -1)
		})
	}
	if o.NextTimer > 0 && (f.wake <= f.now || o.NextTimer < f.wake) {
		f.wake = o.NextTimer
	}
}

// concerned are up to four of the proxies that a message went to; that many answer the mark.
func (f *Fleet) concerned(o balancer.Commands) (some []balancer.ProxyID) {
	for _, b := range o.Assign {
		if some = append(some, b.Proxy); len(some) == 4 {
			return some
		}
	}
	for i := 0; i < len(f.proxies) && len(some) < 4; i++ {
		if p := f.proxies[i]; p.bound && !p.away && len(o.Weights) > 0 && o.Weights[0].Table == p.table {
			some = append(some, balancer.ProxyID(i))
		}
	}
	return some
}

func (f *Fleet) spread(most time.Duration) time.Duration {
	return time.Duration(f.chance.Float64() * float64(most))
}

func (f *Fleet) after(wait time.Duration, do func(time.Duration) balancer.Commands) {
	l := later{f.now + wait, do}
	i, _ := slices.BinarySearchFunc(f.waits, l, func(a, b later) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	f.waits = slices.Insert(f.waits, i, l)
}

// until plays what falls due before a time.
func (f *Fleet) until(end time.Duration) {
	for {
		due, what := end, 0
		if len(f.waits) > 0 && f.waits[0].at < due {
			due, what = f.waits[0].at, 1
		}
		if f.wake > f.now && f.wake < due {
			due, what = f.wake, 2
		}
		f.now = max(f.now, due)
		switch what {
		case 0:
			return
		case 1:
			l := f.waits[0]
			f.waits = f.waits[1:]
			f.call(l.do)
		case 2:
			f.wake = 0
			f.call(f.Manager.HandleTimer)
		}
	}
}

func (f *Fleet) entry(s *server) balancer.Endpoint {
	return balancer.Endpoint{Server: s.id, Zone: zone(s.zone), Weight: 1, Started: s.started, RecentlyStarted: s.started > 0, State: s.state}
}

func (f *Fleet) list(s *server, state balancer.ServerState) {
	s.state = state
	if state == balancer.Ready {
		s.started = f.now
	}
	f.call(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleEndpointList(now, false, []balancer.Endpoint{f.entry(s)})
	})
}

// Open tells the manager the whole list, and then all proxies, one by one.
func (f *Fleet) Start() {
	var all []balancer.Endpoint
	for _, s := range f.servers {
		all = append(all, f.entry(s))
	}
	f.now = time.Millisecond
	f.call(func(now time.Duration) balancer.Commands { return f.Manager.HandleEndpointList(now, true, all) })
	for i := range f.proxies {
		f.now += time.Microsecond
		f.join(i)
	}
}

func (f *Fleet) join(i int) {
	f.proxies[i].bound = false
	f.call(func(now time.Duration) balancer.Commands {
		return f.Manager.HandleProxyConnected(now, balancer.ProxyID(i), zone(f.proxies[i].zone), f.Scenario.RequestRate)
	})
}

// share is what a zone's proxies send a server a second, by the tables.
func (f *Fleet) shares(flows float64) {
	for _, s := range f.servers {
		clear(s.at)
	}
	for _, p := range f.proxies {
		if !p.bound || p.away {
			continue
		}
		sum := 0.0
		ids := f.sorted(p.table)
		for _, id := range ids {
			if !f.named[id].pulled {
				sum += f.tables[p.table][id]
			}
		}
		f.Tally.Offered += flows
		let := 1.0
		if l := f.levels[p.table][1]; l > 0 && !f.Scenario.AdmitByRate {
			let = min(1, l)
		}
		for _, id := range ids {
			if s := f.named[id]; !s.pulled {
				x := flows * let * f.tables[p.table][id] / max(sum, 1e-9)
				if s.at[p.zone] += x; s.zone != p.zone {
					f.Tally.CrossZone += x
				}
			}
		}
		f.Tally.Shed += flows * (1 - let)
	}
}

func (f *Fleet) sorted(t balancer.TableID) []balancer.ServerID {
	ids := make([]balancer.ServerID, 0, len(f.tables[t]))
	for id := range f.tables[t] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// meets is what one server does with what comes to it: how long an answer takes, and the part that is dropped.
func (f *Fleet) meets(s *server) (latency time.Duration, drops float64) {
	capacity, comes := f.Scenario.ServerCapacity, 0.0
	if warm := f.now - s.started; warm < 16*time.Second {
		capacity *= 0.15 + 0.85*warm.Seconds()/16
	}
	if s.slow {
		capacity /= 5
	}
	for _, x := range s.at {
		comes += x
	}
	use := comes / capacity
	if s.state == balancer.Removed {
		return 0, 1
	}
	base := 120 * time.Millisecond
	if s.slow {
		base *= 5
	}
	return min(time.Duration(float64(base)/max(0.05, 1-use)), 3*time.Second), max(0, 1-1/max(use, 1e-9))
}

// Second plays one second: what happens to the fleet, then reports and usages spread over the second as they come,
// late, from each zone.
func (f *Fleet) PlaySecond(n, of int) {
	s, flows := f.Scenario, f.Scenario.RequestRate
	if s.SurgeFactor > 0 && n > of/3 {
		flows *= s.SurgeFactor
	}
	if most := int(s.DrainFraction * float64(s.Servers)); most > 0 && n > 2 {
		f.rollOn(n, most)
	}
	if s.SlowFraction > 0 && n == of/3 {
		for i := range int(s.SlowFraction * float64(s.Servers)) {
			f.servers[i*7%s.Servers].slow = true
		}
	}
	f.shares(flows)
	start, inputs := f.now, s.Servers*s.Zones+s.Proxies*2
	step, i := time.Second/time.Duration(inputs+1), 0
	next := func() {
		i++
		f.until(start + time.Duration(i)*step)
	}
	for _, one := range f.servers {
		latency, drops := f.meets(one)
		for z, x := range one.at {
			f.Tally.Failed += x * drops
			if next(); x <= 0 {
				continue
			}
			tries := f.draw(x)
			r := balancer.LoadReport{Server: one.id, Zone: zone(z), Attempts: tries, Failed: f.draw(float64(tries) * drops), Interval: time.Second, InFlight: -1}
			r.Failed = min(r.Failed, r.Attempts)
			if r.Failed < r.Attempts {
				r.Latency = time.Duration(float64(latency) * (0.9 + 0.2*f.chance.Float64()))
			}
			f.call(func(now time.Duration) balancer.Commands { return f.Manager.HandleLoadReport(now, r) })
		}
	}
	for p, one := range f.proxies {
		for g, part := range []float64{0.8, 0.2} {
			if next(); !one.away {
				f.call(func(now time.Duration) balancer.Commands {
					return f.Manager.HandleUsageReport(now, balancer.UsageReport{Proxy: balancer.ProxyID(p), Class: balancer.ClassID(g), Requests: f.draw(flows * part), Interval: time.Second})
				})
			}
		}
	}
	if s.ChurnInterval > 0 {
		for range int(time.Second / s.ChurnInterval) {
			i := f.chance.IntN(len(f.proxies))
			if p := f.proxies[i]; p.away {
				p.away = false
				f.join(i)
			} else {
				p.away, p.bound = true, false
				f.call(func(now time.Duration) balancer.Commands {
					return f.Manager.HandleProxyDisconnected(now, balancer.ProxyID(i))
				})
			}
		}
	}
	f.until(start + time.Second)
}

// rollOn drains one server after another; a drained one goes, and comes back as a fresh process.
func (f *Fleet) rollOn(n, most int) {
	for i := range max(1, most/5) {
		one := f.servers[(n*7+i*13)%f.Scenario.Servers]
		switch one.state {
		case balancer.Ready:
			f.list(one, balancer.Draining)
		case balancer.Draining:
			f.list(one, balancer.Removed)
		case balancer.Removed:
			f.list(one, balancer.Ready)
		}
	}
	for _, one := range f.servers {
		if one.state != balancer.Ready && f.chance.Float64() < 0.3 {
			f.list(one, balancer.ServerState((int(one.state)+1)%3))
		}
	}
}

// draw is a whole number with the given mean.
func (f *Fleet) draw(mean float64) int { return int(mean + f.chance.Float64()) }
