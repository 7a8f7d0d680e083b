package faultsim

import (
	"fmt"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

// change is one line of a message to a proxy.
type change struct {
	line   balancer.EndpointWeight
	pull   balancer.ServerID
	away   bool
	whole  map[balancer.ServerID]float64
	pulled map[balancer.ServerID]bool
	table  balancer.TableID
}

// message is what one call sends one proxy.
type message struct {
	lines   float64 // that are left of it
	arrives func()  // once the last has left
}

// next begins the next call to the relay; they go one after another.
func (w *Simulation) next() {
	if w.calling || len(w.backlog) == 0 {
		return
	}
	o := w.backlog[0]
	w.backlog = w.backlog[1:]
	w.call(o, balancer.Commands{})
}

func (w *Simulation) call(o, wait balancer.Commands) {
	w.calling = true
	gen, rest := w.gen, w.between([2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond})
	later := func(d time.Duration, do func()) {
		w.after(d, func() {
			if w.gen == gen {
				do()
			}
		})
	}
	switch {
	case w.unreachable > 0:
		later(rest, func() { w.again(o, wait, false) })
	case w.lost > 0 && w.chance.Float64() < 0.6:
		if w.chance.Float64() < 0.5 {
			w.carryOut(o, true)
		}
		later(60*time.Millisecond, func() { w.again(o, wait, true) })
	default:
		w.carryOut(o, false)
		later(3*time.Millisecond, func() {
			w.manager.HandleCommandsSent(w.last, o.Barrier)
			w.chain.HandleBarrierAck(w.last, o.Barrier)
			if wait.Count() > 0 {
				later(rest, func() { w.again(balancer.Commands{}, wait, false) })
				return
			}
			w.calling = false
			w.next()
		})
	}
}

// again asks the module what of the orders may go out once more, or late, with all that waits by then.
func (w *Simulation) again(rest, wait balancer.Commands, carried bool) {
	gen := w.gen
	if w.now < w.stalled {
		w.at(w.stalled, func() {
			if w.gen == gen {
				w.again(rest, wait, carried)
			}
		})
		return
	}
	all := commands.Merge(append([]balancer.Commands{commands.Merge(rest, wait)}, w.backlog...)...)
	w.backlog = nil
	all.Assign = slices.DeleteFunc(slices.Clone(all.Assign), func(b balancer.TableAssignment) bool { return !w.proxies[b.Proxy].joined })
	w.last = max(w.last+1, w.now-w.born)
	n, mark := w.manager.Resend(w.last, rest.Barrier, carried, all)
	w.call(commands.KeepFirst(all, n, mark), commands.SkipFirst(all, n))
}

// carryOut is the relay's: it changes what stands and sends each proxy concerned a message.
func (w *Simulation) carryOut(o balancer.Commands, unanswered bool) {
	out := map[*proxy][]change{}
	cost := map[*proxy]float64{}
	put := func(p *proxy, c change, lines float64) { out[p], cost[p] = append(out[p], c), cost[p]+lines }
	users := func(t balancer.TableID) (all []*proxy) {
		for _, p := range w.proxies {
			if p.joined && p.bound && p.table == t {
				all = append(all, p)
			}
		}
		return all
	}
	was := w.repeats
	w.repeats = map[string]bool{}
	one := func(what string, changes bool) {
		if was[what] && changes {
			w.rules.fail("no effect twice", what, "carried out again after a call without an answer, and it changed something")
		}
		if unanswered {
			w.repeats[what] = true
		}
		w.say("order %s", what)
	}
	pull := func(s balancer.ServerID, away bool) {
		one(fmt.Sprint("pull ", s, " ", away), w.pulled[s] != away)
		w.pulled[s] = away
		for _, p := range w.proxies { // it binds all that are joined; it costs those whose table names the server
			if p.joined && p.bound {
				lines := 0.0
				if w.tables[p.table][s] > 0 {
					lines = 1
				}
				put(p, change{pull: s, away: away}, lines)
			}
		}
	}
	for _, s := range o.Withdraw {
		pull(s, true)
	}
	for _, l := range o.Weights {
		one(fmt.Sprint("line ", l.Table, " ", l.Server, " ", l.Weight), w.tables[l.Table][l.Server] != l.Weight)
		if w.tables[l.Table] == nil {
			w.tables[l.Table] = map[balancer.ServerID]float64{}
		}
		if w.tables[l.Table][l.Server] = l.Weight; l.Weight == 0 {
			delete(w.tables[l.Table], l.Server)
		}
		for _, p := range users(l.Table) {
			put(p, change{line: l}, 1)
		}
	}
	for _, l := range o.AdmissionLevels {
		one(fmt.Sprint("level ", l), false)
		w.tries[l.Classes] = l.Retry
		if l.Classes&2 != 0 && l.Retry > balancer.RetryIfNotExecuted {
			w.rules.fail("no effect twice", fmt.Sprint(l), "further tries for a group that must not run twice")
		}
		for _, p := range users(l.Table) {
			put(p, change{}, 1)
		}
	}
	for _, s := range o.Restore {
		pull(s, false)
	}
	for _, b := range o.Assign {
		p := w.proxies[b.Proxy]
		if !p.joined {
			continue
		}
		one(fmt.Sprint("bind ", b), false)
		p.bound, p.table = true, b.Table
		c := change{whole: map[balancer.ServerID]float64{}, pulled: map[balancer.ServerID]bool{}, table: b.Table}
		lines := 1
		for s, weight := range w.tables[b.Table] {
			if c.whole[s], lines = weight, lines+1; w.pulled[s] {
				lines++
			}
		}
		for s, away := range w.pulled {
			if away {
				c.pulled[s] = true
			}
		}
		put(p, c, float64(lines))
	}
	for _, p := range w.proxies {
		switch {
		case cost[p] > 0:
			w.send(p, out[p], cost[p]+5, o.Barrier)
		case len(out[p]) > 0:
			w.send(p, out[p], 0, 0)
		}
	}
	w.rules.queue(w.waits)
}

// sends moves the channel on to now. The first message leaves in its turn, unless the channel has changed by then.
func (w *Simulation) sends(pace float64) {
	left := (w.now - w.since).Seconds() * w.sc.CommandsPerSecond * w.pace
	w.since, w.pace = w.now, pace
	for len(w.channel) > 0 && left >= w.channel[0].lines-1e-6 {
		m := w.channel[0]
		left, w.waits, w.channel = left-m.lines, w.waits-m.lines, w.channel[1:]
		m.arrives()
	}
	if len(w.channel) == 0 {
		w.waits = 0
		return
	}
	w.channel[0].lines, w.waits = w.channel[0].lines-left, w.waits-left
	w.turn++
	turn := w.turn
	w.after(time.Duration(w.channel[0].lines/(w.sc.CommandsPerSecond*w.pace)*float64(time.Second))+1, func() {
		if w.turn == turn {
			w.sends(w.pace)
		}
	})
}

// send puts a message into the channel; it reaches the proxy in its turn, if that still has the same stream.
func (w *Simulation) send(p *proxy, changes []change, lines float64, mark balancer.BarrierID) {
	if lines > 0 {
		p.sent = append(slices.DeleteFunc(p.sent, func(at time.Duration) bool { return w.now-at > 10*time.Second }), w.now)
		w.rules.messages(p)
	}
	session, gen, transit := p.session, w.gen, w.between(w.sc.MessageDelay)
	p.told = w.now
	reaches := func() {
		if p.session != session || !p.joined {
			return
		}
		for _, c := range changes {
			switch {
			case c.whole != nil:
				p.lines, p.pulled = c.whole, c.pulled
			case c.pull != "":
				if p.pulled[c.pull] = c.away; !c.away {
					delete(p.pulled, c.pull)
				}
			case c.line.Server != "":
				if p.lines[c.line.Server] = c.line.Weight; c.line.Weight == 0 {
					delete(p.lines, c.line.Server)
				}
			}
		}
		w.rules.held(p)
		if mark > 0 && w.gen == gen {
			w.input(func(now time.Duration) balancer.Commands { return w.manager.HandleBarrierAck(now, p.id, mark) })
		}
	}
	w.sends(w.pace)
	w.channel, w.waits = append(w.channel, message{lines, func() {
		p.at = max(p.at+1, w.now+transit)
		w.at(p.at, reaches)
	}}), w.waits+lines
	if len(w.channel) == 1 {
		w.sends(w.pace)
	}
}
