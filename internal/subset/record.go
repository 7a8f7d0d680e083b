package subset

import (
	"time"

	"tamarindshore/balancer"
)

// phase is the form in which a server was last published to the balancer.
type phase uint8

const (
	phaseUnpublished phase = iota // not published, or forgotten by the balancer since
	phaseMember                   // published with its state on the list
	phaseDraining                 // published as draining, because the list marks it so or it is no longer a member
	phaseReleased                 // published as removed, until the balancer forgets it
)

// record holds the state of one server. There is one for each server of the fleet, so the fields are ordered to
// avoid padding.
type record struct {
	server     Server // its latest entry on the list
	distance   uint64 // distance from the manager on the ring
	phaseSince time.Duration
	// The balancer applies slow start to a new server from its start time. A server that was already warm when it became
	// a member is published without its start time, as long as it has not restarted since startedAtAdmission.
	startedAtAdmission time.Duration
	warmAtAdmission    bool
	phase              phase
	onRing             bool
	recentlyListed     bool // listed now, or listed before the last change to its entry
	queued             bool // already part of the pending update
}

// setPhase records a change of the phase and its time.
func (r *record) setPhase(next phase, now time.Duration) {
	r.phase = next
	r.phaseSince = now
}

// recordWarmAtAdmission records whether a server is already warm when it becomes a member.
func (r *record) recordWarmAtAdmission(now, warmUpDuration time.Duration) {
	r.warmAtAdmission = r.server.RecentlyStarted && now-r.server.Started >= warmUpDuration
	r.startedAtAdmission = r.server.Started
}

// publishedEntry returns the entry to publish to the balancer.
func (r *record) publishedEntry() Server {
	entry := r.server
	if r.warmAtAdmission && entry.Started <= r.startedAtAdmission {
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

// isUnused reports whether neither the list nor the balancer has the server.
func (r *record) isUnused() bool {
	return r.phase == phaseUnpublished && r.server.State == balancer.Removed
}
