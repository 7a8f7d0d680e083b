package faultsim

import (
	"container/heap"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"time"

	"github.com/zeebo/blake3"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/versions"
)

// World is one run.
type Simulation struct {
	sc      Scenario
	script  Script
	chance  *rand.Rand
	now     time.Duration
	seq     int
	todo    events
	steps   int
	turn    int // of the channel
	sum     hash.Hash
	OnTrace func(line string) // nil: nobody reads it

	servers []*server
	byID    map[balancer.ServerID]*server
	proxies []*proxy

	manager *balancer.Manager
	chain   *versions.Chain
	gen     int // of the manager
	born    time.Duration
	last    time.Duration // of the manager's clock
	stalled time.Duration // until then
	list    map[balancer.ServerID]told
	backlog []balancer.Commands
	calling bool
	wake    time.Duration

	tables  map[balancer.TableID]map[balancer.ServerID]float64
	pulled  map[balancer.ServerID]bool
	tries   map[uint]balancer.RetryPolicy
	repeats map[string]bool
	channel []message     // that wait, the first of them is being sent
	waits   float64       // lines of them, of the first what is left
	since   time.Duration // what left of it until then is counted
	pace    float64

	deaf, unreachable, lost, doubled int // how many faults of a kind stand
	cut                              []int
	late                             time.Duration
	outage                           time.Duration // the relay or its channel was not as stated, in all
	hurt                             bool          // it is not now
	hurts                            []mark        // from and until when it was not
	looked                           time.Duration
	rules                            *rules
}

// Run plays a script and tells what broke first; nil where all was kept.
func Run(s Scenario, script Script, trace func(string)) (*Violation, *Simulation) {
	w := &Simulation{sc: s, script: script, chance: rand.New(rand.NewPCG(script.Seed, 0xc4a9ce)), sum: blake3.New(), OnTrace: trace,
		byID: map[balancer.ServerID]*server{}, tables: map[balancer.TableID]map[balancer.ServerID]float64{}, pulled: map[balancer.ServerID]bool{},
		tries: map[uint]balancer.RetryPolicy{}, repeats: map[string]bool{}, pace: 1, cut: make([]int, s.Zones), list: map[balancer.ServerID]told{}}
	w.rules = &rules{w: w, bare: map[balancer.ProxyID]mark{}, over: map[balancer.ServerID]mark{}}
	for i := range s.Servers {
		one := &server{id: balancer.ServerID(fmt.Sprintf("s-%03d", i)), zone: i % s.Zones, up: true, slow: 1, started: -time.Hour, gets: make([]float64, s.Zones)}
		w.servers, w.byID[one.id] = append(w.servers, one), one
		w.list[one.id] = told{balancer.Ready, -time.Hour, -time.Hour}
	}
	for i := range s.Proxies {
		w.proxies = append(w.proxies, &proxy{id: balancer.ProxyID(i), zone: i % s.Zones})
	}
	w.begin()
	for _, f := range script.Faults {
		w.at(f.At, func() { w.befall(f) })
	}
	end := s.FaultPhase + s.SettlePhase
	w.at(100*time.Millisecond, w.look)
	w.at(time.Second, w.second)
	for len(w.todo) > 0 && w.rules.broken == nil {
		e := heap.Pop(&w.todo).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		e.do()
		if w.steps++; w.steps > 5_000_000 {
			w.rules.fail("bounded", "", "%d steps, and no end", w.steps)
		}
	}
	if w.rules.broken == nil {
		w.now = end
		w.rules.progress()
	}
	return w.rules.broken, w
}

// Digest is that of all that happened.
func (w *Simulation) Digest() string { return hex.EncodeToString(w.sum.Sum(nil)[:16]) }

// Steps is how many events were played.
func (w *Simulation) Steps() int { return w.steps }

func (w *Simulation) say(format string, values ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(format, values...)
	w.sum.Write(append([]byte(line), '\n'))
	if w.OnTrace != nil {
		w.OnTrace(line)
	}
}

// begin starts a manager, with the list as last told; the proxies join it one after another.
func (w *Simulation) begin() {
	w.gen++
	w.born, w.last, w.stalled, w.wake, w.calling, w.backlog = w.now, 0, 0, 0, false, nil
	w.manager = balancer.New(w.script.Seed+uint64(w.gen)*7919, w.sc.Settings())
	t := versions.DefaultSettings(uint64(w.gen))
	t.StartedAt = time.Unix(1_790_000_000, 0).Add(w.now)
	w.chain = versions.New(t)
	clear(w.tables)
	clear(w.pulled)
	clear(w.tries)
	clear(w.repeats)
	w.channel, w.waits, w.since = nil, 0, w.now
	var all []balancer.Endpoint
	for _, s := range w.servers {
		all = append(all, w.entry(s, w.list[s.id]))
	}
	w.say("manager %d starts", w.gen)
	w.input(func(now time.Duration) balancer.Commands { return w.manager.HandleEndpointList(now, true, all) })
	for _, p := range w.proxies {
		w.leave(p, false)
		w.after(w.between([2]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}), func() { w.join(p) })
	}
}

func (w *Simulation) entry(s *server, t told) balancer.Endpoint {
	e := balancer.Endpoint{Server: s.id, Zone: w.zone(s.zone), Weight: 1, State: t.state}
	if t.since > 0 {
		e.Started, e.RecentlyStarted = t.since-w.born, true
	}
	return e
}

func (w *Simulation) zone(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprint("z", z)) }

// input gives the manager one thing it learns, once it does not stand still; what is for one that is gone is lost.
func (w *Simulation) input(learn func(now time.Duration) balancer.Commands) {
	gen := w.gen
	if w.now < w.stalled {
		w.at(w.stalled, func() {
			if w.gen == gen {
				w.input(learn)
			}
		})
		return
	}
	w.last = max(w.last+1, w.now-w.born)
	w.decided(learn(w.last))
}

func (w *Simulation) decided(o balancer.Commands) {
	gen := w.gen
	for _, n := range o.LogRecords {
		w.say("note %s", n)
	}
	for _, id := range o.HealthCheck {
		s := w.byID[id]
		answer, took := balancer.HealthCheckPassed, w.between([2]time.Duration{time.Millisecond, 20 * time.Millisecond})
		switch {
		case s.silent:
			answer, took = balancer.HealthCheckTimedOut, 600*time.Millisecond
		case !s.up:
			answer = balancer.HealthCheckUnreachable
		}
		w.after(took, func() {
			if w.gen == gen {
				w.input(func(now time.Duration) balancer.Commands {
					return w.manager.HandleHealthCheck(now, id, answer, took, -1)
				})
			}
		})
	}
	if o.NextTimer > 0 {
		due := w.born + o.NextTimer
		if w.wake <= w.now || due < w.wake {
			w.wake = due
			w.at(due, func() {
				if w.gen == gen && w.wake == due {
					w.wake = 0
					w.input(w.manager.HandleTimer)
				}
			})
		}
	}
	if commands.IsEmpty(o) {
		return
	}
	res := w.chain.Propose(w.last, o, "", fleetView{w.manager})
	for _, n := range res.Notes {
		w.say("version %s", n)
	}
	if res.Modified {
		pin, state := w.chain.CurrentTables(), w.chain.State()
		w.manager.HandleTablesReset(w.last, pin.Weights, pin.AdmissionLevels, func(s balancer.ServerID) bool { return state.IsWithdrawn(string(s)) })
	}
	if !commands.IsEmpty(res.Commands) {
		w.backlog = append(w.backlog, res.Commands)
		if len(w.backlog) > 8 {
			w.backlog = []balancer.Commands{commands.Merge(w.backlog...)}
		}
		w.next()
	}
}

type fleetView struct{ m *balancer.Manager }

func (s fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, open, climbed := s.m.ServerStatus(id)
	return versions.ServerStatus{Known: known, Available: open, WarmFraction: climbed}
}
func (s fleetView) RequestRate(id balancer.TableID) float64 { return s.m.RequestRate(id) }
func (s fleetView) ReadyServers() (all, warm int)           { return s.m.ReadyServers() }
