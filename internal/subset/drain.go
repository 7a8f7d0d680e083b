package subset

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

const (
	drainDuration    = 30 * time.Second // how long a server that left the subset is published as draining
	maxDrainFraction = 0.03             // fraction of the members that may start to drain in one tick
	minDrainPerTick  = 1                // members that may start to drain in one tick, however few there are
)

// startDraining publishes a server as draining.
func (s *Subset) startDraining(now time.Duration, r *record) {
	r.setPhase(phaseDraining, now)
	s.published[r.server.Server] = r
	s.queueUpdate(r)
}

// drainSurplus starts to drain a few of the members that are no longer selected, the most distant ones first.
func (s *Subset) drainSurplus(now time.Duration) {
	members := 0
	var surplus []*record
	for _, r := range s.published {
		if r.phase != phaseMember {
			continue
		}
		members++
		if r.server.State != balancer.Removed && !s.selects(r) {
			surplus = append(surplus, r)
		}
	}
	slices.SortFunc(surplus, func(a, b *record) int { return b.compare(a) })
	maxDrains := max(minDrainPerTick, int(maxDrainFraction*float64(members)))
	for _, r := range surplus[:min(maxDrains, len(surplus))] {
		s.startDraining(now, r)
	}
}

// finishDraining publishes servers as removed once they have drained long enough, and drops those that the balancer has
// forgotten.
func (s *Subset) finishDraining(now time.Duration, fleet Fleet) {
	for id, r := range s.published {
		if r.phase == phaseDraining && r.server.State != balancer.Draining && now-r.phaseSince >= drainDuration {
			r.setPhase(phaseReleased, now)
			s.queueUpdate(r)
			continue
		}
		mayBeForgotten := r.phase == phaseReleased || r.server.State == balancer.Removed
		if !mayBeForgotten || now == r.phaseSince {
			continue
		}
		if known, _, _ := fleet.ServerStatus(id); known {
			s.readmitReleased(now, r)
		} else {
			s.forget(now, r)
		}
	}
	slices.Sort(s.pending.Restore)
}

// readmitReleased makes a released server a member again if it is selected before the balancer has forgotten it.
func (s *Subset) readmitReleased(now time.Duration, r *record) {
	if r.phase == phaseReleased && r.server.State == balancer.Ready && s.selects(r) {
		s.admit(now, r)
	}
}

// forget handles a server that the balancer has forgotten. The balancer no longer knows of the server's withdrawal, so
// the withdrawal of a ready server is lifted here; otherwise the server would stay withdrawn at the proxies if it became
// a member again. The withdrawal of a draining or removed server stays.
func (s *Subset) forget(now time.Duration, r *record) {
	delete(s.published, r.server.Server)
	if r.server.State == balancer.Ready {
		s.pending.Restore = append(s.pending.Restore, r.server.Server)
	}
	r.setPhase(phaseUnpublished, now)
	r.recentlyListed = r.server.State != balancer.Removed
	s.reconcile(now, r)
	s.dropIfUnused(r)
}
