package faultsim

import (
	"fmt"
	"time"

	"tamarindshore/balancer"
)

// Break is the first rule that was broken.
type Violation struct {
	Rule    string
	At      time.Duration
	Subject string
	Details string
}

// String says which rule was broken, when, by whom and how.
func (b *Violation) String() string {
	return fmt.Sprintf("%s: broken at %.3fs by %s: %s", b.Rule, b.At.Seconds(), b.Subject, b.Details)
}

// mark is since when something is so, and how long the relay was not as stated by then.
type mark struct {
	since, outage time.Duration
}

// rules judges a run. The times of rules stand still while the relay, its channel or the manager does.
type rules struct {
	w      *Simulation
	broken *Violation
	bare   map[balancer.ProxyID]mark
	over   map[balancer.ServerID]mark
}

func (r *rules) fail(rule, whom, format string, values ...any) {
	if r.broken == nil {
		r.broken = &Violation{rule, r.w.now, whom, fmt.Sprintf(format, values...)}
		r.w.say("BROKEN %v", r.broken)
	}
}

func (r *rules) begin() mark { return mark{r.w.now, r.w.outage} }

// passed is the time since a mark in which all was as stated.
func (r *rules) passed(m mark) time.Duration { return r.w.now - m.since - (r.w.outage - m.outage) }

// ready tells whether some server is listed ready, by what the manager was told, and warm.
func (r *rules) ready() bool {
	for _, s := range r.w.servers {
		if t := r.w.list[s.id]; t.state == balancer.Ready && r.w.now-t.since >= r.w.sc.WarmUpDuration {
			return true
		}
	}
	return false
}

// usable tells whether a proxy has a line to pick.
func usable(p *proxy) bool {
	for s := range p.lines {
		if !p.pulled[s] {
			return true
		}
	}
	return false
}

// held is a proxy that took over a message.
func (r *rules) held(p *proxy) {
	if usable(p) {
		delete(r.bare, p.id)
	}
}

// look judges what stands.
func (r *rules) look() {
	w := r.w
	ready := r.ready()
	for _, p := range w.proxies {
		if !p.joined || usable(p) || !ready {
			delete(r.bare, p.id)
		} else if m, before := r.bare[p.id]; !before {
			r.bare[p.id] = r.begin()
		} else if d := r.passed(m); d > w.sc.MaxTimeWithoutServer {
			r.fail("no proxy without a server", fmt.Sprint("proxy ", p.id), "none to pick for %.2fs", d.Seconds())
		}
		if !p.joined {
			continue
		}
		for s, weight := range p.lines {
			if t := w.list[s]; t.state == balancer.Ready || weight == 0 || p.pulled[s] {
				continue
			} else if since := max(t.at, p.since); w.now-since > w.sc.DrainGracePeriod && r.quiet(since) > w.sc.DrainGracePeriod {
				r.fail("drains kept", fmt.Sprint("proxy ", p.id), "sends to %s, told to drain or gone %.2fs ago", s, (w.now - since).Seconds())
			}
		}
	}
	for _, s := range w.servers {
		// what comes before the start is told, by tables of before, is nobody's fault
		if !s.up || w.now-s.started >= w.sc.WarmUpDuration || w.list[s.id].since < s.started {
			delete(r.over, s.id)
			continue
		}
		gets := 0.0
		for _, x := range s.gets {
			gets += x
		}
		if can := w.can(s); gets <= w.sc.OverloadFactor*can {
			delete(r.over, s.id)
		} else if m, before := r.over[s.id]; !before {
			r.over[s.id] = r.begin()
		} else if r.passed(m) >= w.sc.MaxOverloadTime {
			r.fail("no cold server pushed over", string(s.id), "gets %.1f of %.1f flows/s for %.1fs", gets, can, r.passed(m).Seconds())
		}
	}
}

// quiet is the time since then in which all was as stated; hurts are remembered by the world as they end.
func (r *rules) quiet(since time.Duration) time.Duration {
	return r.w.now - since - r.w.hurtSince(since)
}

func (r *rules) queue(lines float64) {
	if lines > r.w.sc.QueueCapacity {
		r.fail("queue and messages short", "channel", "%.0f lines wait, %.0f at most", lines, r.w.sc.QueueCapacity)
	}
}

func (r *rules) messages(p *proxy) {
	if most := r.w.sc.MaxMessages; most > 0 && len(p.sent) > most {
		r.fail("queue and messages short", fmt.Sprint("proxy ", p.id), "%d messages in 10s, %d at most", len(p.sent), most)
	}
}

// reaches is how long a message may take, through the channel too, once all is well.
const reaches = 5 * time.Second

// progress judges the end: nothing waits, all that are joined are bound and hold what stands.
func (r *rules) progress() {
	w := r.w
	if w.calling || len(w.backlog) > 0 {
		r.fail("progress", "relay", "orders still wait %.0fs after the last fault", w.sc.SettlePhase.Seconds())
	}
	for _, p := range w.proxies {
		switch {
		case !p.joined:
		case !p.bound:
			r.fail("progress", fmt.Sprint("proxy ", p.id), "joined at %.1fs, and not bound", p.since.Seconds())
		default:
			for s, weight := range w.tables[p.table] {
				if p.lines[s] != weight && w.now-p.told > reaches {
					r.fail("progress", fmt.Sprint("proxy ", p.id), "holds %v for %s, and %v stands", p.lines[s], s, weight)
				}
			}
		}
	}
	state := w.chain.State()
	for _, id := range state.TableIDs() {
		for s, weight := range state.Table(id).Weights {
			if w.tables[balancer.TableID(id)][balancer.ServerID(s)] != weight {
				r.fail("progress", "relay", "table %d has %v for %s, and the chain %v", id, w.tables[balancer.TableID(id)][balancer.ServerID(s)], s, weight)
			}
		}
	}
}
