package subset

import (
	"cmp"

	"tamarindshore/balancer"
)

// upsert adds or updates the record of a listed server. An entry without an address keeps the known address.
func (s *Subset) upsert(server Server) *record {
	r := s.records[server.Server]
	wasListed := r != nil && r.server.State != balancer.Removed
	if r == nil {
		r = &record{distance: s.ring.distance(server.Server)}
		s.records[server.Server] = r
	} else {
		s.adjustZoneCount(r, -1)
		server.Address = cmp.Or(server.Address, r.server.Address)
	}
	r.recentlyListed = wasListed || server.State != balancer.Removed
	r.server = server
	s.adjustZoneCount(r, 1)
	return r
}

// adjustZoneCount adds delta (1 or -1) to the listed servers of the record's zone unless the server is marked as removed.
func (s *Subset) adjustZoneCount(r *record, delta int) {
	if r.server.State != balancer.Removed {
		s.zone(r.server.Zone).listedServers += delta
	}
}

// replaceAll applies a complete list. Servers that are not in it become removed.
func (s *Subset) replaceAll(servers []Server) {
	listed := make(map[balancer.ServerID]bool, len(servers))
	for _, server := range servers {
		listed[server.Server] = true
		s.upsert(server)
	}
	for id, r := range s.records {
		if !listed[id] {
			s.adjustZoneCount(r, -1)
			r.server.State = balancer.Removed
		}
		if r.isUnused() {
			delete(s.records, id)
		}
	}
	s.ring.rebuild(s.records)
}

// dropIfUnused deletes the record of a server that neither the list nor the balancer has.
func (s *Subset) dropIfUnused(r *record) {
	if r.isUnused() {
		s.ring.remove(r)
		delete(s.records, r.server.Server)
	}
}
