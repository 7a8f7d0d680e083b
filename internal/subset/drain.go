package subset

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

const (
	drainDuration    = 30 * time.Second // for which a server that left is published as draining
	maxDrainFraction = 0.03             // of the members, that may begin to drain in one tick
	minDrainPerTick  = 1                // may, however few members there are
)

// startDraining publishes a server as draining.
func (s *Subset) startDraining(now time.Duration, r *record) {
	r.enter(phaseDraining, now)
	s.published[r.server.Server] = r
	s.queueUpdate(r)
}

// drainSurplus drains members that are no longer selected, the farthest first and few at a time.
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
	most := max(minDrainPerTick, int(maxDrainFraction*float64(members)))
	for _, r := range surplus[:min(most, len(surplus))] {
		s.startDraining(now, r)
	}
}

// finishDraining publishes as removed what has drained for long enough, and drops what the balancer has forgotten.
func (s *Subset) finishDraining(now time.Duration, fleet Fleet) {
	for id, r := range s.published {
		if r.phase == phaseDraining && r.server.State != balancer.Draining && now-r.phaseSince >= drainDuration {
			r.enter(phaseReleased, now)
			s.queueUpdate(r)
			continue
		}
		hasEnded := r.phase == phaseReleased || r.server.State == balancer.Removed
		if !hasEnded || now == r.phaseSince {
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

// readmitReleased makes a released server a member again where it is selected anew before it is forgotten.
func (s *Subset) readmitReleased(now time.Duration, r *record) {
	if r.phase == phaseReleased && r.server.State == balancer.Ready && s.selects(r) {
		s.admit(now, r)
	}
}

// forget drops a server that the balancer has dropped. Guards against a server that comes back later and stays withdrawn
// at the proxies: the balancer does not know of the withdrawal any more, so it is lifted. That of one that drains or is
// removed stays.
func (s *Subset) forget(now time.Duration, r *record) {
	delete(s.published, r.server.Server)
	if r.server.State == balancer.Ready {
		s.pending.Restore = append(s.pending.Restore, r.server.Server)
	}
	r.enter(phaseOutside, now)
	r.recentlyListed = r.server.State != balancer.Removed
	s.reconcile(now, r)
	s.dropIfUnused(r)
}
