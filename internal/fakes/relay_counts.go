package fakes

import "time"

// Flows is what the joined proxies send a server a second, by the tables that they are bound to.
func (r *Relay) RequestRate(server string) (flows float64) {
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
func (r *Relay) CheckState() {
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
	Calls            int            `json:"calls"`
	CommandsAccepted int            `json:"orders_taken"`
	CommandsRejected int            `json:"orders_refused"`
	StateChanges     int            `json:"effects"`
	ConnectedProxies int            `json:"proxies"`
	AssignedProxies  int            `json:"bound"`
	Tables           int            `json:"tables"`
	TableLines       int            `json:"lines"`
	Withdrawn        int            `json:"withdrawn"`
	Faults           map[string]int `json:"faults,omitempty"`
}

// Counts tells what came so far and what stands.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{Calls: r.calls, CommandsAccepted: r.taken, CommandsRejected: r.refused, StateChanges: r.effects, ConnectedProxies: len(r.proxies), Tables: len(r.tables),
		Faults: map[string]int{}}
	for _, p := range r.proxies {
		if p.table >= 0 && p.applied > 0 {
			c.AssignedProxies++
		}
	}
	for _, t := range r.tables {
		c.TableLines += len(t.lines)
	}
	for _, on := range r.pulled {
		if on {
			c.Withdrawn++
		}
	}
	for f, n := range r.faults {
		if n > 0 && Fault(f) != NoFault {
			c.Faults[Fault(f).String()] = n
		}
	}
	return c
}

// Pulled tells whether a server is withdrawn.
func (r *Relay) Withdrawn(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pulled[server]
}
