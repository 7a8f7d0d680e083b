package subset

import (
	"time"

	"tamarindshore/balancer"
)

// phase says what the balancer was told of a server.
type phase uint8

const (
	phaseOutside  phase = iota // nothing
	phaseMember                // what the list says
	phaseDraining              // that it drains, since the list says so or it is no member any more
	phaseReleased              // that it is removed, until the balancer forgets it
)

// record is what is kept of a listed server. There is one for each server of the fleet, so its fields are packed.
type record struct {
	server     Server // as the list last told it
	distance   uint64 // from the manager on the ring
	phaseSince time.Duration
	// A server that is new to the balancer warms up from its start. One that was warm already when it became a member
	// is published without its start, as long as it is the process that started at admittedProcess.
	admittedProcess time.Duration
	warmAtAdmission bool
	phase           phase
	onRing          bool
	recentlyListed  bool // the list has it, or had it before its last change
	queued          bool // for the update under way
}

// enter begins a phase.
func (r *record) enter(next phase, now time.Duration) {
	r.phase = next
	r.phaseSince = now
}

// noteWarmth remembers whether a server that becomes a member is warm already.
func (r *record) noteWarmth(now, warmUpDuration time.Duration) {
	r.warmAtAdmission = r.server.RecentlyStarted && now-r.server.Started >= warmUpDuration
	r.admittedProcess = r.server.Started
}

// entry is the server as the balancer has to see it.
func (r *record) entry() Server {
	entry := r.server
	if r.warmAtAdmission && entry.Started <= r.admittedProcess {
		entry.RecentlyStarted = false
		entry.Started = 0
	}
	switch r.phase {
	case phaseReleased:
		entry.State = balancer.Removed
	case phaseDraining:
		entry.State = balancer.Draining
	}
	return entry
}

// isUnused tells whether neither the list nor the balancer has the server.
func (r *record) isUnused() bool {
	return r.phase == phaseOutside && r.server.State == balancer.Removed
}
