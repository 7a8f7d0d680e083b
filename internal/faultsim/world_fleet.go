package faultsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindshore/balancer"
)

type server struct {
	id      balancer.ServerID
	zone    int
	up      bool
	silent  bool
	slow    float64 // times its service takes
	fails   float64 // part of its flows
	started time.Duration
	gets    []float64 // flows a second by zone
}

type proxy struct {
	id      balancer.ProxyID
	zone    int
	session int // of its stream; 0 before the first
	joined  bool
	since   time.Duration // it joined
	bound   bool
	table   balancer.TableID
	lines   map[balancer.ServerID]float64
	pulled  map[balancer.ServerID]bool
	at      time.Duration // the last message reached it
	told    time.Duration // the last was ordered
	sent    []time.Duration
}

type told struct {
	state balancer.ServerState
	at    time.Duration // the manager was told
	since time.Duration // of the server's start, as listed
}

// join gives a proxy a stream; it goes on with what it holds until it is told.
func (w *Simulation) join(p *proxy) {
	if p.joined {
		return
	}
	p.joined, p.bound, p.since, p.session, p.at, p.sent = true, false, w.now, p.session+1, w.now, nil
	if p.lines == nil {
		p.lines, p.pulled = map[balancer.ServerID]float64{}, map[balancer.ServerID]bool{}
	}
	w.input(func(now time.Duration) balancer.Commands {
		return w.manager.HandleProxyConnected(now, p.id, w.zone(p.zone), w.sc.RequestRate)
	})
}

func (w *Simulation) leave(p *proxy, told bool) {
	if !p.joined {
		return
	}
	p.joined, p.bound = false, false
	if told {
		w.input(func(now time.Duration) balancer.Commands { return w.manager.HandleProxyDisconnected(now, p.id) })
	}
}

// tell lets discovery tell a server's state, late.
func (w *Simulation) tell(s *server, c balancer.ServerState) {
	since := time.Duration(-time.Hour)
	if s.started > 0 {
		since = s.started
	}
	w.after(w.between(w.sc.ListDelay)+w.late, func() {
		if t := w.list[s.id]; since < t.since {
			return // overtaken by a later start
		}
		w.say("list %s %d", s.id, c)
		deliver := func() {}
		gen := w.gen
		deliver = func() {
			if w.gen != gen {
				return
			}
			if w.now < w.stalled {
				w.at(w.stalled, deliver)
				return
			}
			t := told{c, w.now, since}
			if was := w.list[s.id]; was.state != balancer.Ready && c != balancer.Ready {
				t.at = was.at
			}
			w.list[s.id] = t
			w.input(func(now time.Duration) balancer.Commands {
				return w.manager.HandleEndpointList(now, false, []balancer.Endpoint{w.entry(s, t)})
			})
		}
		deliver()
	})
}

// some are a part of the servers, at least one, by a fault's own chance.
func (w *Simulation) some(f Fault) (all []*server) {
	order := rand.New(rand.NewPCG(f.TargetSeed, 1)).Perm(len(w.servers))
	for _, i := range order[:max(1, int(f.Fraction*float64(len(order))))] {
		all = append(all, w.servers[i])
	}
	return all
}

func (w *Simulation) down(s *server) {
	s.up, s.silent = false, false
	w.tell(s, balancer.Removed)
}

func (w *Simulation) back(s *server) {
	if !s.up {
		s.up, s.started = true, max(w.now, 1)
		w.tell(s, balancer.Ready)
	}
}

// befall lets a fault begin, and sets its end.
func (w *Simulation) befall(f Fault) {
	w.say("fault %s for %v part %.2f", f.Kind, f.Duration, f.Fraction)
	hold := func(n *int) {
		*n++
		w.after(f.Duration, func() { *n-- })
	}
	each := func(begin, end func(s *server)) {
		for _, s := range w.some(f) {
			begin(s)
			w.after(f.Duration, func() { end(s) })
		}
	}
	switch f.Kind {
	case Crash:
		each(w.down, w.back)
	case Unresponsive:
		each(func(s *server) { s.silent = true }, func(s *server) { s.silent = false })
	case SlowServers:
		each(func(s *server) { s.slow *= 5 }, func(s *server) { s.slow /= 5 })
	case ServerErrors:
		each(func(s *server) { s.fails = 0.7 }, func(s *server) { s.fails = 0 })
	case Drain:
		each(func(s *server) {
			w.tell(s, balancer.Draining)
			w.after(5*time.Second, func() { w.down(s) })
		}, func(s *server) { w.after(6*time.Second, func() { w.back(s) }) })
	case ZoneOutage:
		for _, s := range w.servers {
			if s.zone == int(f.TargetSeed)%w.sc.Zones {
				w.down(s)
				w.after(f.Duration, func() { w.back(s) })
			}
		}
	case ZonePartition:
		hold(&w.cut[int(f.TargetSeed)%w.sc.Zones])
	case ReportsLost:
		hold(&w.deaf)
	case RelayUnreachable:
		hold(&w.unreachable)
	case ResponsesLost:
		hold(&w.lost)
	case DuplicateReports:
		hold(&w.doubled)
	case SlowChannel:
		w.sends(w.pace / 3)
		w.after(f.Duration, func() { w.sends(w.pace * 3) })
	case ManagerRestart:
		w.begin()
	case ManagerStall:
		w.stalled = max(w.stalled, w.now+min(f.Duration, 2*time.Second))
	case ProxyReconnect:
		chance := rand.New(rand.NewPCG(f.TargetSeed, 2))
		for _, p := range w.proxies {
			if chance.Float64() < f.Fraction*2 {
				w.leave(p, true)
				w.after(time.Duration(200+chance.IntN(1500))*time.Millisecond, func() { w.join(p) })
			}
		}
	case WrongEndpointList:
		each(func(s *server) { w.tell(s, balancer.Removed) }, func(s *server) {
			if s.up {
				w.tell(s, balancer.Ready)
			}
		})
	case DelayedEndpointList:
		w.late += 4 * time.Second
		w.after(f.Duration, func() { w.late -= 4 * time.Second })
	case Rollback:
		if all := w.chain.Versions(); len(all) > 0 && w.now >= w.stalled {
			_, _, err := w.chain.RollBack(w.last, all[len(all)/2].ID, fmt.Sprint(f.TargetSeed), f.Duration+time.Second, fleetView{w.manager})
			w.say("rollback %v", err)
			w.pin()
		}
	}
}
