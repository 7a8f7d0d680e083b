package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minPinnedShare is the part of a pinned table's weight that warm servers must have: with less, the pin gives way.
const minPinnedShare = 0.5

// pinnedTables are the weights and admission levels that staff hold the tables at.
type pinnedTables struct {
	weights map[TableID]map[ServerID]float64
	levels  map[TableID]map[uint]AdmissionLevel
}

// HandlePin holds the tables at the weights and admission levels given, or ends the pin where weights is nil. While
// tables are pinned, only what the rules demand changes them: withdrawals, slow start, proxies without an endpoint.
func (m *Manager) HandlePin(now time.Duration, weights map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel) Commands {
	m.now = now
	m.redistribution = pinChanged
	m.pinned = nil
	if weights != nil {
		m.pinned = &pinnedTables{weights, levels}
		m.publication.urgent = true
	}
	return m.decide()
}

// HandleTablesReset takes over what the tables hold, where that is not what was commanded because commands were held
// back on their way. withdrawn tells which servers are withdrawn.
func (m *Manager) HandleTablesReset(now time.Duration, weights map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel, withdrawn func(ServerID) bool) {
	m.now = now
	for i, t := range m.tables {
		id := TableID(i)
		clear(t.published)
		clear(t.publishedLevels)
		maps.Copy(t.published, weights[id])
		maps.Copy(t.publishedLevels, levels[id])
		maps.Copy(t.publishedLevels, levels[ZoneLocalTables+id])
	}
	for _, s := range m.servers {
		s.withdrawn = withdrawn(s.id)
	}
	m.placementValid = false
	m.serverSetsValid = false
	m.drainPending = true
	m.redistribution = tablesReset
}

// applyPinned replaces a table's target by its pinned weights, of the servers that may get requests; a server in its
// warm-up gets its progress's part. Where too little of the weight is warm the target stays, so that a pin leaves no
// proxy without an endpoint and no warming server with the requests of its lost peers.
func (m *Manager) applyPinned(t *table, anyUsable bool) {
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
	clear(t.target)
	for id, weight := range weights {
		t.target[id] = weight / usable
	}
}

// pinnedServers are the known servers of a table's pin, by id.
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

// pinnedLevelChanges are the pinned admission levels that a table does not have yet.
func (m *Manager) pinnedLevelChanges(id TableID) []tableChange {
	var changes []tableChange
	for _, classes := range slices.Sorted(maps.Keys(m.pinned.levels[id])) {
		level := m.pinned.levels[id][classes]
		if m.tables[id].publishedLevels[classes] != level {
			change := levelChange(level, 0)
			change.Table = id
			changes = append(changes, change)
		}
	}
	return changes
}
