package fakes

import "time"

// RequestRate returns the requests per second that the connected proxies send to a server, according to their tables.
func (r *Relay) RequestRate(server string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestRate(server)
}

// requestRate is RequestRate for callers that hold the lock.
func (r *Relay) requestRate(server string) (rate float64) {
	if r.withdrawn[server] {
		return 0
	}
	for _, t := range r.tables {
		if weight := t.weights[server]; weight != 0 {
			rate += t.offeredRate() * weight / t.usableWeight(r.withdrawn)
		}
	}
	return rate
}

// offeredRate returns the total requests per second of the proxies on a table.
func (t *table) offeredRate() (rate float64) {
	for _, p := range t.proxies {
		rate += p.requestRate
	}
	return rate
}

// usableWeight returns the total weight of the servers of a table that are not withdrawn.
func (t *table) usableWeight(withdrawn map[string]bool) (sum float64) {
	for server, weight := range t.weights {
		if !withdrawn[server] {
			sum += weight
		}
	}
	return sum
}

// CheckState checks the current state: how long proxies have had no usable server, and the load of warming servers.
func (r *Relay) CheckState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, p := range r.proxies {
		if !p.emptySince.IsZero() {
			r.Rules.checkEmptyPeriod(now, p.id, now.Sub(p.emptySince))
		}
	}
	r.Rules.checkWarmingServers(now, r.requestRate)
}

// Counts holds the totals of a relay so far and the size of its current state.
type Counts struct {
	Calls            int            `json:"calls"`
	CommandsAccepted int            `json:"orders_taken"`
	CommandsRejected int            `json:"orders_refused"`
	StateChanges     int            `json:"effects"`
	ConnectedProxies int            `json:"proxies"`
	AssignedProxies  int            `json:"bound"` // proxies with a table that have applied at least one message
	Tables           int            `json:"tables"`
	TableWeights     int            `json:"lines"`     // total number of weights in all tables
	Withdrawn        int            `json:"withdrawn"` // number of withdrawn servers
	Faults           map[string]int `json:"faults,omitempty"`
}

// Counts returns the totals so far and the size of the current state.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := Counts{
		Calls:            r.calls,
		CommandsAccepted: r.accepted,
		CommandsRejected: r.rejected,
		StateChanges:     r.stateChanges,
		ConnectedProxies: len(r.proxies),
		Tables:           len(r.tables),
		Faults:           map[string]int{},
	}
	for _, p := range r.proxies {
		if p.table != noTable && p.messagesApplied > 0 {
			counts.AssignedProxies++
		}
	}
	for _, t := range r.tables {
		counts.TableWeights += len(t.weights)
	}
	for _, withdrawn := range r.withdrawn {
		if withdrawn {
			counts.Withdrawn++
		}
	}
	for fault, count := range r.faults {
		if count > 0 && Fault(fault) != NoFault {
			counts.Faults[Fault(fault).String()] = count
		}
	}
	return counts
}

// Withdrawn reports whether a server is withdrawn.
func (r *Relay) Withdrawn(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withdrawn[server]
}
