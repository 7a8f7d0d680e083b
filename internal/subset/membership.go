package subset

import (
	"time"

	"tamarindshore/balancer"
)

// homeZoneTimeout is how long a zone stays home after its last proxy left.
const homeZoneTimeout = time.Minute

// selects tells whether a server belongs to the subset, whatever its state is.
func (s *Subset) selects(r *record) bool {
	return s.zone(r.server.Zone).isHome || s.limit.covers(r.distance)
}

// newLimit is what the list, the home zones and the width ask for.
func (s *Subset) newLimit() limit {
	wanted := s.width.factor * float64(s.settings.Spill)
	return s.ring.limitFor(wanted, s.foreignServers(), func(r *record) bool {
		return r.server.State != balancer.Removed && !s.zone(r.server.Zone).isHome
	})
}

// applyLimit moves the limit to what the list and the width ask for, and admits the servers that it covers now.
func (s *Subset) applyLimit(now time.Duration) {
	before := s.limit
	s.limit = s.newLimit()
	for _, record := range s.ring.between(before, s.limit) {
		s.reconcile(now, record)
	}
}

// reconcileAll looks at every server, after a change that may concern all.
func (s *Subset) reconcileAll(now time.Duration) {
	s.limit = s.newLimit()
	for _, record := range s.ring.records {
		s.reconcile(now, record)
	}
}

// reconcile publishes a server where the balancer needs it now. One that the balancer is about to forget waits for the
// next tick, which tells whether it has.
func (s *Subset) reconcile(now time.Duration, r *record) {
	if !s.active {
		return
	}
	isReady := r.server.State == balancer.Ready
	switch {
	case isReady && r.phase == phaseDraining && s.selects(r):
		s.admit(now, r)
	case isReady && r.phase == phaseOutside && s.selects(r):
		r.noteWarmth(now, s.settings.WarmUpDuration)
		s.admit(now, r)
	case !isReady && r.phase == phaseOutside && r.recentlyListed:
		s.startDraining(now, r)
	}
}

// admit makes a server a member.
func (s *Subset) admit(now time.Duration, r *record) {
	r.enter(phaseMember, now)
	s.published[r.server.Server] = r
	s.queueUpdate(r)
}

// expireHomeZones ends the membership of zones that have had no proxy for a while.
func (s *Subset) expireHomeZones(now time.Duration) {
	for _, zone := range s.zones {
		if zone.isHome && zone.proxies == 0 && now-zone.lastProxyLeftAt >= homeZoneTimeout {
			zone.isHome = false
		}
	}
}
