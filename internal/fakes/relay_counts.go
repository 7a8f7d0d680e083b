package fakes

import "time"

// Flows is what the joined proxies send a server a second, by the tables that they are bound to.
func (r *Relay) Flows(server string) (flows float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows(server)
}

func (r *Relay) flows(server string) (flows float64) {
	if r.pulled[server] {
		return 0
	}
	for _, t := range r.tables {
		w := t.lines[server]
		if w == 0 {
			continue
		}
		sum, rate := 0.0, 0.0
		for s, x := range t.lines {
			if !r.pulled[s] {
				sum += x
			}
		}
		for _, p := range t.users {
			rate += p.rate
		}
		flows += rate * w / sum
	}
	return flows
}

// Look judges what stands at this time: proxies without a server, and what cold servers get.
func (r *Relay) Look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, p := range r.proxies {
		if !p.bareAt.IsZero() {
			r.Rules.bare(now, p.id, now.Sub(p.bareAt))
		}
	}
	r.Rules.cold(now, r.flows)
}

// Counts are what came to a relay.
type Counts struct {
	Calls   int            `json:"calls"`
	Taken   int            `json:"orders_taken"`
	Refused int            `json:"orders_refused"`
	Effects int            `json:"effects"`
	Joined  int            `json:"proxies"`
	Bound   int            `json:"bound"`
	Tables  int            `json:"tables"`
	Lines   int            `json:"lines"`
	Pulled  int            `json:"withdrawn"`
	Faults  map[string]int `json:"faults,omitempty"`
}

// Counts tells what came so far and what stands.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{Calls: r.calls, Taken: r.taken, Refused: r.refused, Effects: r.effects, Joined: len(r.proxies), Tables: len(r.tables),
		Faults: map[string]int{}}
	for _, p := range r.proxies {
		if p.table >= 0 && p.applied > 0 {
			c.Bound++
		}
	}
	for _, t := range r.tables {
		c.Lines += len(t.lines)
	}
	for _, on := range r.pulled {
		if on {
			c.Pulled++
		}
	}
	for f, n := range r.faults {
		if n > 0 && Fault(f) != None {
			c.Faults[Fault(f).String()] = n
		}
	}
	return c
}

// Pulled tells whether a server is withdrawn.
func (r *Relay) Pulled(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pulled[server]
}
