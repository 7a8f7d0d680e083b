package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minPinnedShare is the share of a pinned table's weight that warm servers must have. With less, the pin is ignored.
const minPinnedShare = 0.5

// pinnedTables holds the weights and admission levels at which operators pinned the tables.
type pinnedTables struct {
	weights map[TableID]map[ServerID]float64
	levels  map[TableID]map[uint]AdmissionLevel
}

// HandlePin pins the tables to the given weights and admission levels, or ends the pin if weights is nil. Pinned tables
// change only where the rules require it: for withdrawals, for slow start, and for proxies left without an endpoint.
func (m *Manager) HandlePin(now time.Duration, weights map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel) Commands {
	m.now = now
	m.redistribution = pinChanged
	m.publication.outdated = true
	m.pinned = nil
	if weights != nil {
		m.pinned = &pinnedTables{weights, levels}
		m.publication.urgent = true
	}
	return m.decide()
}

// HandleTablesReset replaces the recorded contents of the tables by the given ones, which are the actual contents. They
// differ from what this manager commanded if commands were held back. withdrawn reports whether a server is withdrawn.
func (m *Manager) HandleTablesReset(now time.Duration, weights map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel, withdrawn func(ServerID) bool) {
	m.now = now
	for i, t := range m.tables {
		id := TableID(i)
		clear(t.publishedWeights)
		clear(t.publishedLevels)
		maps.Copy(t.publishedWeights, weights[id])
		maps.Copy(t.publishedLevels, levels[id])
		maps.Copy(t.publishedLevels, levels[ZoneLocalTables+id])
	}
	for _, s := range m.servers {
		s.withdrawn = withdrawn(s.id)
	}
	m.tableIndexValid = false
	m.serverSetsValid = false
	m.drainPending = true
	m.redistribution = tablesReset
	m.publication.outdated = true
}

// applyPinnedWeights makes a table's target shares proportional to the pinned weights of the servers that may get
// requests. The weight of a warming server is scaled by its warm-up progress. If warm servers have too little of the
// pinned weight, the target shares stay as they are, so that a pin neither leaves proxies without an endpoint nor gives
// warming servers the requests of their lost peers.
func (m *Manager) applyPinnedWeights(t *table, anyUsable bool) {
	weights := map[ServerID]float64{}
	usable := 0.0
	warm := 0.0
	total := 0.0
	for _, s := range m.pinnedServers(t.id) {
		pinned := m.pinned.weights[t.id][s.id]
		total += pinned
		if !m.mayServe(s) || s.ejected && anyUsable || s.withdrawn {
			continue
		}
		weights[s.id] = pinned * m.warmUpProgress(s)
		usable += weights[s.id]
		if !s.warmingUp {
			warm += weights[s.id]
		}
	}
	t.pinnedWeight = 0
	if warm >= minPinnedShare*total {
		t.pinnedWeight = usable
	}
	if t.pinnedWeight == 0 {
		return
	}
	clear(t.targetShares)
	for id, weight := range weights {
		t.targetShares[id] = weight / usable
	}
}

// pinnedServers returns the known servers that a table's pin names, sorted by ID.
func (m *Manager) pinnedServers(id TableID) []*server {
	if m.pinned == nil {
		return nil
	}
	var servers []*server
	for serverID := range m.pinned.weights[id] {
		if s := m.server(serverID); s != nil {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return servers
}

// pinnedLevelChanges returns changes for the pinned admission levels that a table does not have yet.
func (m *Manager) pinnedLevelChanges(id TableID) []tableChange {
	var changes []tableChange
	for _, classes := range slices.Sorted(maps.Keys(m.pinned.levels[id])) {
		level := m.pinned.levels[id][classes]
		if m.tables[id].publishedLevels[classes] != level {
			change := levelChange(level, ordinaryChange, 0)
			change.Table = id
			changes = append(changes, change)
		}
	}
	return changes
}
