package subset

import (
	"cmp"

	"tamarindshore/balancer"
)

// upsert takes over an entry of the list.
func (s *Subset) upsert(server Server) *record {
	r := s.records[server.Server]
	wasListed := r != nil && r.server.State != balancer.Removed
	if r == nil {
		r = &record{distance: s.ring.distance(server.Server)}
		s.records[server.Server] = r
	} else {
		s.countInZone(r, -1)
		server.Address = cmp.Or(server.Address, r.server.Address)
	}
	r.recentlyListed = wasListed || server.State != balancer.Removed
	r.server = server
	s.countInZone(r, 1)
	return r
}

// countInZone adds a server to the size of its zone, or takes it off.
func (s *Subset) countInZone(r *record, by int) {
	if r.server.State != balancer.Removed {
		s.zone(r.server.Zone).listedServers += by
	}
}

// replaceAll takes over a whole list. Servers that are not in it are removed.
func (s *Subset) replaceAll(servers []Server) {
	listed := make(map[balancer.ServerID]bool, len(servers))
	for _, server := range servers {
		listed[server.Server] = true
		s.upsert(server)
	}
	for id, r := range s.records {
		if !listed[id] {
			s.countInZone(r, -1)
			r.server.State = balancer.Removed
		}
		if r.isUnused() {
			delete(s.records, id)
		}
	}
	s.ring.rebuild(s.records)
}

// dropIfUnused drops a server that neither the list nor the balancer has.
func (s *Subset) dropIfUnused(r *record) {
	if r.isUnused() {
		s.ring.remove(r)
		delete(s.records, r.server.Server)
	}
}
