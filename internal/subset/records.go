package subset

import (
	"cmp"
	"slices"
	"time"

	"tamarindshore/balancer"
)

// phase says what the decision module was told of a server.
type phase uint8

const (
	outside  phase = iota // nothing
	member                // what the list says
	leaving               // that it drains, since the list says so or it is no member any more
	released              // that it is gone, until the module forgets it
)

// record is what is kept of a listed server.
type record struct {
	server   Server
	distance uint64 // from the manager on the ring
	since    time.Duration
	phase    phase
	onRing   bool
	listed   bool // the list did not call it gone before its last change
	told     bool // in the update under way
	warm     bool // it was warm when it became a member, as the process that started at warmStart
	// warmStart guards against a climb of a server that is warm: a server new to the module climbs by its start.
	warmStart time.Duration
}

// enter begins a phase.
func (r *record) enter(p phase, now time.Duration) { r.phase, r.since = p, now }

// markWarm notes whether a server that becomes a member is warm already.
func (r *record) markWarm(now, warmAfter time.Duration) {
	r.warm = r.server.RecentlyStarted && now-r.server.Started >= warmAfter
	r.warmStart = r.server.Started
}

// handOn is the entry as the decision module has to see it.
func (r *record) handOn() Server {
	out := r.server
	if r.warm && out.Started <= r.warmStart {
		out.RecentlyStarted, out.Started = false, 0
	}
	switch {
	case r.phase == released:
		out.State = balancer.Removed
	case r.phase == leaving:
		out.State = balancer.Draining
	}
	return out
}

// store takes over an entry of the list.
func (s *Subset) store(server Server) *record {
	r := s.records[server.Server]
	if r == nil {
		r = &record{distance: s.ring.distance(server.Server)}
		s.records[server.Server] = r
	} else {
		s.count(r, -1)
		server.Address = cmp.Or(server.Address, r.server.Address)
	}
	r.listed = server.State != balancer.Removed || r.server.Server != "" && r.server.State != balancer.Removed
	r.server = server
	s.count(r, 1)
	return r
}

// count adds a server to the sizes of its zone, or takes it off.
func (s *Subset) count(r *record, by int) {
	if r.server.State != balancer.Removed {
		s.zone(r.server.Zone).listed += by
	}
}

// replaceAll takes over a whole list. Servers that are not in it are gone.
func (s *Subset) replaceAll(servers []Server) {
	listed := make(map[balancer.ServerID]bool, len(servers))
	for _, server := range servers {
		listed[server.Server] = true
		s.store(server)
	}
	for id, r := range s.records {
		if !listed[id] {
			s.count(r, -1)
			r.server.State = balancer.Removed
		}
		if r.unused() {
			delete(s.records, id)
		}
	}
	s.ring.rebuild(s.records)
}

// unused tells whether neither the list nor the decision module has a server.
func (r *record) unused() bool { return r.phase == outside && r.server.State == balancer.Removed }

func (s *Subset) dropIfUnused(r *record) {
	if r.unused() {
		s.ring.remove(r)
		delete(s.records, r.server.Server)
	}
}

// retireHomes ends the membership of zones that have had no proxy for a while.
func (s *Subset) retireHomes(now time.Duration) {
	for _, z := range s.zones {
		if z.home && z.proxies == 0 && now-z.emptyAt >= homeHeld {
			z.home = false
		}
	}
}

// startLeaving lets servers leave that are no members any more, the farthest first and few at a time.
func (s *Subset) startLeaving(now time.Duration) {
	members := 0
	var surplus []*record
	for _, r := range s.handed {
		if r.phase != member {
			continue
		}
		members++
		if r.server.State != balancer.Removed && !s.selects(r) {
			surplus = append(surplus, r)
		}
	}
	slices.SortFunc(surplus, func(a, b *record) int { return b.compare(a) })
	most := max(leaveAtLeast, int(leavePart*float64(members)))
	for _, r := range surplus[:min(most, len(surplus))] {
		s.leave(now, r)
	}
}

// finishLeaving hands on as gone what has drained for long enough, and drops what the decision module has forgotten.
func (s *Subset) finishLeaving(now time.Duration, fleet Fleet) {
	for id, r := range s.handed {
		if r.phase == leaving && r.server.State != balancer.Draining && now-r.since >= drainGrace {
			r.enter(released, now)
			s.tell(r)
			continue
		}
		ended := r.phase == released || r.server.State == balancer.Removed
		if !ended || now == r.since {
			continue
		}
		if known, _, _ := fleet.ServerStatus(id); known {
			s.returnKnown(now, r)
		} else {
			s.forget(now, r)
		}
	}
	slices.Sort(s.update.Restore)
}

// returnKnown makes a released server a member again where it is selected anew before it is forgotten.
func (s *Subset) returnKnown(now time.Duration, r *record) {
	if r.phase == released && r.server.State == balancer.Ready && s.selects(r) {
		s.admit(now, r)
	}
}

// forget drops a server that the decision module has dropped. Guards against a server that comes back later and stays
// withdrawn at the proxies: the module does not know of the withdrawal any more, so it is lifted. That of one that drains
// or is gone stays.
func (s *Subset) forget(now time.Duration, r *record) {
	delete(s.handed, r.server.Server)
	if r.server.State == balancer.Ready {
		s.update.Restore = append(s.update.Restore, r.server.Server)
	}
	r.enter(outside, now)
	r.listed = r.server.State != balancer.Removed
	s.settle(now, r)
	s.dropIfUnused(r)
}
