package balancer

// This file computes properties of the tables; it makes no decisions. A table's usable endpoints are those with a
// weight above 0 that are not withdrawn.

// isZoneLocal reports whether a server belongs to a table's zone-local part: there are zone-local classes, and the
// server is in the table's zone.
func (m *Manager) isZoneLocal(id TableID, s *server) bool {
	return m.hasZoneLocalClasses() && s.zone == m.zoneOf(id)
}

// zoneLocalShare returns the part of a table's target shares that goes to servers in its zone-local part.
func (m *Manager) zoneLocalShare(t *table) float64 {
	share := 0.0
	for _, s := range m.tableServers(t) {
		if m.isZoneLocal(t.id, s) {
			share += t.targetShares[s.id]
		}
	}
	return share
}

// isLastZoneLocal reports whether a server is in a table's zone-local part and no other usable endpoint is.
func (m *Manager) isLastZoneLocal(t *table, last *server) bool {
	if !m.isZoneLocal(t.id, last) {
		return false
	}
	for id, weight := range t.publishedWeights {
		s := m.server(id)
		if s != nil && s != last && weight > 0 && !s.withdrawn && m.isZoneLocal(t.id, s) {
			return false
		}
	}
	return true
}

// hasNoLocalEndpoint reports whether a table's zone-local part has no usable endpoint although its target
// shares include one.
func (m *Manager) hasNoLocalEndpoint(t *table) bool {
	if !m.hasZoneLocalClasses() { // early exit, since each withdrawal calls this for all tables
		return false
	}
	hasTarget := false
	for id, share := range t.targetShares {
		s := m.server(id)
		if s == nil || !m.isZoneLocal(t.id, s) {
			continue
		}
		if t.publishedWeights[id] > 0 && !s.withdrawn {
			return false
		}
		hasTarget = hasTarget || share > 0
	}
	return hasTarget
}

// isEmptyTable reports whether a table has no usable endpoint.
func (m *Manager) isEmptyTable(t *table) bool {
	for id, weight := range t.publishedWeights {
		if s := m.server(id); s != nil && weight > 0 && !s.withdrawn {
			return false
		}
	}
	return true
}

// needsEndpoint reports whether a table, or its zone-local part, has no usable endpoint.
func (m *Manager) needsEndpoint(t *table) bool { return m.isEmptyTable(t) || m.hasNoLocalEndpoint(t) }

// otherUsableWeight returns the total weight of a table's usable endpoints, not counting one server.
func (m *Manager) otherUsableWeight(t *table, excluded *server) float64 {
	total := 0.0
	for id, weight := range t.publishedWeights {
		if s := m.server(id); s != nil && s != excluded && !s.withdrawn {
			total += weight
		}
	}
	return total
}

// warmingAndTotalWeight returns the total weights of a table's usable endpoints: of those in their warm-up, and of all.
func (m *Manager) warmingAndTotalWeight(t *table) (warming, all float64) {
	for id, weight := range t.publishedWeights {
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

// hasWarmEndpoint reports whether some usable endpoint of a table is not in its warm-up.
func (m *Manager) hasWarmEndpoint(t *table) bool {
	warming, all := m.warmingAndTotalWeight(t)
	return warming < all
}

// tableWarmingShare returns the share of a table's requests that goes to servers in their warm-up.
func (m *Manager) tableWarmingShare(t *table) float64 {
	warming, all := m.warmingAndTotalWeight(t)
	return warming / max(all, 1e-9)
}

// warmingShareRise returns the ratio of a table's tableWarmingShare to the share of warming servers in its target
// shares. Withdrawals of other servers raise it above 1.
func (m *Manager) warmingShareRise(t *table) float64 {
	warming, all := m.warmingAndTotalWeight(t)
	if warming == 0 {
		return 0
	}
	target := 0.0
	targetWarming := 0.0
	for id, share := range t.targetShares {
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
