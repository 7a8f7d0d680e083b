package subset

import (
	"time"

	"tamarindshore/balancer"
)

// homeZoneTimeout is how long a zone stays a home zone after its last proxy disconnected.
const homeZoneTimeout = time.Minute

// selects reports whether a server belongs to the subset, whatever its state.
func (s *Subset) selects(r *record) bool {
	return s.zone(r.server.Zone).isHome || s.limit.covers(r.distance)
}

// computeLimit returns the limit for the current list, home zones and width.
func (s *Subset) computeLimit() limit {
	desired := s.width.factor * float64(s.settings.Spill)
	return s.ring.limitFor(desired, s.foreignServers(), func(r *record) bool {
		return r.server.State != balancer.Removed && !s.zone(r.server.Zone).isHome
	})
}

// applyLimit updates the limit and reconciles the servers between the old and the new limit, so that newly covered
// servers are admitted.
func (s *Subset) applyLimit(now time.Duration) {
	before := s.limit
	s.limit = s.computeLimit()
	for _, record := range s.ring.between(before, s.limit) {
		s.reconcile(now, record)
	}
}

// reconcileAll updates the limit and reconciles every server, after a change that may affect all of them.
func (s *Subset) reconcileAll(now time.Duration) {
	s.limit = s.computeLimit()
	for _, record := range s.ring.records {
		s.reconcile(now, record)
	}
}

// reconcile admits a ready server that is selected, and publishes a draining or removed server that the balancer has not
// been told about. A released server is left to finishDraining, which checks at each tick whether the balancer has
// forgotten it.
func (s *Subset) reconcile(now time.Duration, r *record) {
	if !s.active {
		return
	}
	isReady := r.server.State == balancer.Ready
	switch {
	case isReady && r.phase == phaseDraining && s.selects(r):
		s.admit(now, r)
	case isReady && r.phase == phaseUnpublished && s.selects(r):
		r.recordWarmAtAdmission(now, s.settings.WarmUpDuration)
		s.admit(now, r)
	case !isReady && r.phase == phaseUnpublished && r.recentlyListed:
		s.startDraining(now, r)
	}
}

// admit makes a server a member and publishes it.
func (s *Subset) admit(now time.Duration, r *record) {
	r.setPhase(phaseMember, now)
	s.published[r.server.Server] = r
	s.queueUpdate(r)
}

// expireHomeZones clears the home status of zones that have had no proxy for homeZoneTimeout.
func (s *Subset) expireHomeZones(now time.Duration) {
	for _, zone := range s.zones {
		if zone.isHome && zone.proxies == 0 && now-zone.lastProxyLeftAt >= homeZoneTimeout {
			zone.isHome = false
		}
	}
}
