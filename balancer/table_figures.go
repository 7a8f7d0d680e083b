package balancer

// This file works figures out from the tables; it decides nothing.

// isZoneLocal tells whether a server is in a table's zone-local part: classes stay in their zone, and it is of that one.
func (m *Manager) isZoneLocal(id TableID, s *server) bool {
	return m.hasZoneLocalClasses() && s.zone == m.zoneOf(id)
}

// zoneLocalShare is the part of its target that a table has in its own zone.
func (m *Manager) zoneLocalShare(t *table) float64 {
	share := 0.0
	for _, s := range m.tableServers(t) {
		if m.isZoneLocal(t.id, s) {
			share += t.target[s.id]
		}
	}
	return share
}

// isLastZoneLocal tells whether a server is the last one of its table's zone-local part that may be picked.
func (m *Manager) isLastZoneLocal(t *table, last *server) bool {
	if !m.isZoneLocal(t.id, last) {
		return false
	}
	for id, weight := range t.published {
		s := m.server(id)
		if s != nil && s != last && weight > 0 && !s.withdrawn && m.isZoneLocal(t.id, s) {
			return false
		}
	}
	return true
}

// hasNoLocalEndpoint tells whether no server of a table's zone-local part may be picked although one should be in it.
func (m *Manager) hasNoLocalEndpoint(t *table) bool {
	if !m.hasZoneLocalClasses() { // each withdrawal looks at all tables
		return false
	}
	wanted := false
	for id, share := range t.target {
		s := m.server(id)
		if s == nil || !m.isZoneLocal(t.id, s) {
			continue
		}
		if t.published[id] > 0 && !s.withdrawn {
			return false
		}
		wanted = wanted || share > 0
	}
	return wanted
}

// isEmptyTable tells whether no endpoint of a table may be picked.
func (m *Manager) isEmptyTable(t *table) bool {
	for id, weight := range t.published {
		if s := m.server(id); s != nil && weight > 0 && !s.withdrawn {
			return false
		}
	}
	return true
}

// otherUsableWeight is the weight of a table's endpoints that may be picked, without one server's.
func (m *Manager) otherUsableWeight(t *table, without *server) float64 {
	total := 0.0
	for id, weight := range t.published {
		if s := m.server(id); s != nil && s != without && !s.withdrawn {
			total += weight
		}
	}
	return total
}

// publishedWeights sums the weights of a table's endpoints that may be picked: of those in their warm-up, and of all.
func (m *Manager) publishedWeights(t *table) (warming, all float64) {
	for id, weight := range t.published {
		s := m.server(id)
		if s == nil || s.withdrawn {
			continue
		}
		all += weight
		if s.warmingUp {
			warming += weight
		}
	}
	return warming, all
}

// warmingShareOf is the part of a table's requests that servers in their warm-up get.
func (m *Manager) warmingShareOf(t *table) float64 {
	warming, all := m.publishedWeights(t)
	return warming / max(all, 1e-9)
}

// warmingShareRise is by how much withdrawals raise that part over what it was to be.
func (m *Manager) warmingShareRise(t *table) float64 {
	warming, all := m.publishedWeights(t)
	if warming == 0 {
		return 0
	}
	target := 0.0
	targetWarming := 0.0
	for id, share := range t.target {
		s := m.server(id)
		if s == nil {
			continue
		}
		target += share
		if s.warmingUp {
			targetWarming += share
		}
	}
	return warming / all * target / max(targetWarming, minWeightShare*target)
}
