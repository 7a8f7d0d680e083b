package balancer

import (
	"cmp"
	"slices"
)

// checkEmptyTables records which tables, and zone-local parts of tables, have no usable endpoint, and makes the publication
// urgent if there are any. The changes of such a table may use the channel limits of drains.
func (m *Manager) checkEmptyTables() {
	for _, t := range m.tables {
		t.lacksEndpoint = m.isEmptyTable(t)
		t.lacksLocalEndpoint = m.hasNoLocalEndpoint(t)
		if t.lacksEndpoint || t.lacksLocalEndpoint {
			m.publication.urgent = true
		}
	}
}

// restoresEndpoint reports whether a withdrawn server should get requests of a table that has no usable endpoint, or of a
// zone-local part that has none.
func (m *Manager) restoresEndpoint(s *server) bool {
	return slices.ContainsFunc(s.tables, func(id TableID) bool {
		t := m.tables[id]
		lacksEndpoint := t.lacksEndpoint || t.lacksLocalEndpoint && m.isZoneLocal(id, s)
		return lacksEndpoint && t.targetShares[s.id] > 0
	})
}

// isFirstEndpoint reports whether a withdrawn server is in its warm-up and named in a table that has no usable endpoint.
func (m *Manager) isFirstEndpoint(s *server) bool {
	return s.warmingUp && slices.ContainsFunc(s.tables, func(id TableID) bool { return m.tables[id].lacksEndpoint })
}

// isTooCold reports whether a server would be the first endpoint of a table that may not send its requests to warming
// servers.
func (m *Manager) isTooCold(s *server) bool {
	return slices.ContainsFunc(s.tables, func(id TableID) bool {
		return m.tables[id].lacksEndpoint && !m.mayServeFirst(m.tables[id])
	})
}

// emptyTableCause is the reason why a table that needs an endpoint has none.
type emptyTableCause string

const (
	emptyWithoutTargets   emptyTableCause = "no_server"     // no server gets requests of the table
	emptyUntilRestore     emptyTableCause = "restore"       // the table names such servers, but they are withdrawn
	emptyByMessageLimit   emptyTableCause = "message_limit" // of a proxy that uses the table
	emptyByQueue          emptyTableCause = "queue"         // the channel has no capacity
	emptyUntilServersWarm emptyTableCause = "warm_up"       // all such servers are in their warm-up
	emptyUntilPublished   emptyTableCause = "publication"   // the changes are not published for another reason
)

// logEmptyTables logs each table whose proxies have had no endpoint since before the last tick, in the whole table or in
// its zone-local part.
func (m *Manager) logEmptyTables() {
	m.updateTableIndex()
	for _, t := range m.tables {
		if len(t.proxies) == 0 || !m.needsEndpoint(t) {
			t.emptySince = 0
			continue
		}
		if t.emptySince > 0 {
			m.logEmptyTable(t)
		}
		t.emptySince = cmp.Or(t.emptySince, m.now)
	}
}

func (m *Manager) logEmptyTable(t *table) {
	targets := m.endpointTargets(t)
	m.log(EventEmptyTable,
		countField("table", int(t.id)),
		boolField("zone_local", !m.isEmptyTable(t)),
		numberField("waited_seconds", (m.now-t.emptySince).Seconds(), 1),
		textField("cause", string(m.emptyTableCause(t, targets))),
		countField("targets", len(targets)),
		countField("warming_up", count(targets, m.isWarmingUp)))
}

// endpointTargets returns the servers that should get requests of a table without a usable endpoint. If only the table's
// zone-local part has none, it returns those of the zone-local part.
func (m *Manager) endpointTargets(t *table) []*server {
	wholeTable := m.isEmptyTable(t)
	var targets []*server
	for _, s := range m.tableServers(t) {
		if t.targetShares[s.id] > 0 && (wholeTable || m.isZoneLocal(t.id, s)) {
			targets = append(targets, s)
		}
	}
	return targets
}

// emptyTableCause returns why a table, or its zone-local part, has no usable endpoint.
func (m *Manager) emptyTableCause(t *table, targets []*server) emptyTableCause {
	published := func(s *server) bool { return t.publishedWeights[s.id] > 0 }
	switch {
	case len(targets) == 0:
		return emptyWithoutTargets
	case slices.ContainsFunc(targets, published):
		return emptyUntilRestore
	case m.publication.messageLimited:
		return emptyByMessageLimit
	case m.publication.smallestBlocked.proxies > 0:
		return emptyByQueue
	case count(targets, m.isWarmingUp) == len(targets):
		return emptyUntilServersWarm
	default:
		return emptyUntilPublished
	}
}
