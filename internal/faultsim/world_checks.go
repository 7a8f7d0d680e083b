package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/versions"
)

func (w *Simulation) pin() {
	pin, held := w.chain.Pinned()
	if !held {
		pin = versions.PinnedTables{}
	}
	w.input(func(now time.Duration) balancer.Commands {
		return w.manager.HandlePin(now, pin.Weights, pin.AdmissionLevels)
	})
}

// look judges what stands, ten times a second.
func (w *Simulation) look() {
	w.hurt = w.unreachable > 0 || w.lost > 0 || w.pace < 1 || w.now < w.stalled
	if w.hurt {
		w.outage += w.now - w.looked
		w.hurts = append(w.hurts, mark{w.looked, w.now})
	}
	w.looked = w.now
	w.flows()
	w.rules.look()
	w.after(100*time.Millisecond, w.look)
}

// hurtSince is for how long the relay, its channel or the manager was not as stated since a time.
func (w *Simulation) hurtSince(since time.Duration) (all time.Duration) {
	for i := len(w.hurts) - 1; i >= 0 && w.hurts[i].outage > since; i-- {
		all += w.hurts[i].outage - max(since, w.hurts[i].since)
	}
	return all
}

// flows are what each server gets, by what the proxies hold.
func (w *Simulation) flows() {
	for _, s := range w.servers {
		clear(s.gets)
	}
	for _, p := range w.proxies {
		sum := 0.0
		for _, s := range w.servers {
			if !p.pulled[s.id] {
				sum += p.lines[s.id]
			}
		}
		for _, s := range w.servers {
			if x := p.lines[s.id]; x > 0 && !p.pulled[s.id] {
				s.gets[p.zone] += w.sc.RequestRate * x / sum
			}
		}
	}
}

// can is how many flows a second a server serves.
func (w *Simulation) can(s *server) float64 {
	warm := min(1, max(0, (w.now-s.started).Seconds()/w.sc.WarmUpDuration.Seconds()))
	return w.sc.ServerCapacity * (w.sc.ColdCapacity + (1-w.sc.ColdCapacity)*warm) / s.slow
}

// second sends the sums of a second, late; and lets a hold end that is over.
func (w *Simulation) second() {
	w.after(time.Second, w.second)
	if ended, _ := w.chain.ExpireHold(w.last, fleetView{w.manager}); ended && w.now >= w.stalled {
		w.pin()
	}
	gen := w.gen
	hear := func(learn func(now time.Duration) balancer.Commands) {
		for range 1 + min(1, w.doubled) {
			w.after(w.between(w.sc.ReportDelay), func() {
				if w.gen == gen && w.deaf == 0 {
					w.input(learn)
				}
			})
		}
	}
	for _, s := range w.servers {
		use := 0.0
		for _, x := range s.gets {
			use += x / w.can(s)
		}
		for z, x := range s.gets {
			if x < 0.05 {
				continue
			}
			r := balancer.LoadReport{Server: s.id, Zone: w.zone(z), Attempts: int(x + w.chance.Float64()), Interval: time.Second, InFlight: -1}
			fails := max(s.fails, 1-1/max(use, 1e-9))
			if !s.up || s.silent || z != s.zone && w.cut[z]+w.cut[s.zone] > 0 {
				fails = 1
			}
			for range r.Attempts {
				if w.chance.Float64() < fails {
					r.Failed++
				}
			}
			if r.Failed < r.Attempts {
				r.Latency = min(3*time.Second, time.Duration(float64(w.sc.ServiceTime)*s.slow/max(0.05, 1-use)*(0.9+0.2*w.chance.Float64())))
			}
			if r.Attempts > 0 {
				hear(func(now time.Duration) balancer.Commands { return w.manager.HandleLoadReport(now, r) })
			}
		}
	}
	for _, p := range w.proxies {
		if !p.joined {
			continue
		}
		for g, part := range []float64{0.8, 0.2} {
			u := balancer.UsageReport{Proxy: p.id, Class: balancer.ClassID(g), Requests: int(w.sc.RequestRate*part + w.chance.Float64()), Interval: time.Second}
			hear(func(now time.Duration) balancer.Commands { return w.manager.HandleUsageReport(now, u) })
		}
	}
}
