package balancer

import (
	"cmp"
	"slices"
)

// indexes are lookup structures for the conditions of the rules. They keep the cost of an input proportional to what it
// changes, not to the size of the fleet. They are derived from the servers, proxies and tables, and are rebuilt when
// the corresponding flag says that they are no longer valid.
type indexes struct {
	serverByID map[ServerID]*server
	proxyByID  map[ProxyID]*proxy

	serverSetsValid bool
	serverSets      serverSets

	tableIndexValid    bool     // the proxies of each table and the tables of each server are up to date
	unassigned         []*proxy // ordered by connection time
	cheapestAssignCost float64  // cached minimum of assignmentCost over the tables that proxies wait for; 0: not computed
}

// serverSets are sets of servers, or their sizes, that conditions depend on.
type serverSets struct {
	leaving           []*server // to be withdrawn, in the order in which the list reported their drain or removal
	returning         []*server // withdrawn servers that may serve, ordered by id
	warmingUp         int       // number of servers in their warm-up that may serve
	withdrawnUnusable int       // number of withdrawn servers that may not serve
	usableByZone      []int     // numbers of servers that may serve and are not ejected
}

// currentServerSets returns the server sets, which it recomputes if they are out of date.
func (m *Manager) currentServerSets() *serverSets {
	if m.serverSetsValid {
		return &m.serverSets
	}
	m.serverSetsValid = true
	sets := serverSets{leaving: m.serverSets.leaving[:0], returning: m.serverSets.returning[:0], usableByZone: make([]int, len(m.zones))}
	for _, s := range m.servers {
		mayServe := m.mayServe(s)
		leaves := s.state == Draining || s.state == Removed && !m.removedMayServe
		switch {
		case !s.withdrawn && leaves:
			sets.leaving = append(sets.leaving, s)
		case s.withdrawn && mayServe:
			sets.returning = append(sets.returning, s)
		case s.withdrawn:
			sets.withdrawnUnusable++
		}
		if m.isWarmingUp(s) {
			sets.warmingUp++
		}
		if mayServe && !s.ejected {
			sets.usableByZone[s.zone]++
		}
	}
	slices.SortStableFunc(sets.leaving, func(a, b *server) int { return cmp.Compare(a.leavingSince, b.leavingSince) })
	m.serverSets = sets
	return &m.serverSets
}

// anyWarmingUp reports whether some server that may serve is in its warm-up.
func (m *Manager) anyWarmingUp() bool { return m.currentServerSets().warmingUp > 0 }

// server returns the server with an id, or nil if it is unknown.
func (m *Manager) server(id ServerID) *server {
	if m.serverByID == nil || len(m.serverByID) != len(m.servers) {
		m.serverByID = map[ServerID]*server{}
		for _, s := range m.servers {
			m.serverByID[s.id] = s
		}
	}
	return m.serverByID[id]
}

// proxy returns the proxy with a number, or nil if it is not connected.
func (m *Manager) proxy(id ProxyID) *proxy {
	if m.proxyByID == nil || len(m.proxyByID) != len(m.proxies) {
		m.proxyByID = map[ProxyID]*proxy{}
		for _, p := range m.proxies {
			m.proxyByID[p.id] = p
		}
	}
	return m.proxyByID[id]
}

// deleteServers deletes the state of the servers for which drop returns true, but keeps the ids of those that are withdrawn.
func (m *Manager) deleteServers(drop func(*server) bool) {
	m.cheapestAssignCost = 0
	before := len(m.servers)
	m.servers = slices.DeleteFunc(m.servers, func(s *server) bool {
		dropped := drop(s)
		if dropped && s.withdrawn {
			m.deletedWithdrawn.add(s.id)
		}
		return dropped
	})
	if len(m.servers) < before {
		m.serverByID = nil
		m.serverSetsValid = false
	}
}

// setWithdrawn records that a server was withdrawn or restored.
func (m *Manager) setWithdrawn(s *server, withdrawn bool) {
	m.updateTableIndex()
	s.withdrawn = withdrawn
	m.serverSetsValid = false
	m.cheapestAssignCost = 0
	for _, id := range s.tables {
		m.tables[id].assignCost = 0
	}
}

// updateTableIndex recomputes the proxies of each table and the tables that name each server, if they are out of date.
func (m *Manager) updateTableIndex() {
	if m.tableIndexValid {
		return
	}
	m.tableIndexValid = true
	m.unassigned = nil
	m.cheapestAssignCost = 0
	for _, s := range m.servers {
		s.tables = nil
	}
	for _, t := range m.tables {
		t.proxies = nil
		t.announcedRate = 0
		t.assignCost = 0
		t.unassignedCount = 0
	}
	m.indexTableServers()
	m.indexTableProxies()
}

func (m *Manager) indexTableServers() {
	for i, t := range m.tables {
		for id, weight := range t.publishedWeights {
			if s := m.server(id); s != nil && weight != 0 {
				s.tables = append(s.tables, TableID(i))
			}
		}
	}
}

func (m *Manager) indexTableProxies() {
	for _, p := range m.proxies {
		t := m.tables[p.partition]
		t.proxies = append(t.proxies, p)
		t.announcedRate += p.announcedRate
		if !p.assigned {
			m.unassigned = append(m.unassigned, p)
			t.unassignedCount++
		}
	}
	slices.SortFunc(m.unassigned, compareConnectTimes)
}

func compareProxyIDs(p, q *proxy) int { return cmp.Compare(p.id, q.id) }

func compareConnectTimes(p, q *proxy) int {
	return cmp.Or(cmp.Compare(p.connectedAt, q.connectedAt), cmp.Compare(p.id, q.id))
}

func insertProxy(proxies []*proxy, p *proxy, compare func(p, q *proxy) int) []*proxy {
	i, _ := slices.BinarySearchFunc(proxies, p, compare)
	return slices.Insert(proxies, i, p)
}

func deleteProxy(proxies []*proxy, p *proxy, compare func(p, q *proxy) int) []*proxy {
	i, found := slices.BinarySearchFunc(proxies, p, compare)
	if !found {
		return proxies
	}
	return slices.Delete(proxies, i, i+1)
}

// addProxy adds a proxy that is not yet assigned to a table.
func (m *Manager) addProxy(p *proxy) {
	m.updateTableIndex()
	m.proxies = insertProxy(m.proxies, p, compareProxyIDs)
	m.proxyByID[p.id] = p
	t := m.tables[p.partition]
	t.proxies = insertProxy(t.proxies, p, compareProxyIDs)
	t.unassignedCount++
	m.unassigned = insertProxy(m.unassigned, p, compareConnectTimes)
	m.sumAnnouncedRates(t)
	if m.cheapestAssignCost > 0 && m.assignable(t) {
		m.cheapestAssignCost = min(m.cheapestAssignCost, m.assignmentCost(t))
	}
}

func (m *Manager) removeProxy(p *proxy) {
	m.updateTableIndex()
	m.proxies = deleteProxy(m.proxies, p, compareProxyIDs)
	delete(m.proxyByID, p.id)
	t := m.tables[p.partition]
	t.proxies = deleteProxy(t.proxies, p, compareProxyIDs)
	m.removeUnassigned(p, t)
	m.sumAnnouncedRates(t)
}

// removeUnassigned removes a proxy that is being assigned or has disconnected from the unassigned proxies.
func (m *Manager) removeUnassigned(p *proxy, t *table) {
	if p.assigned {
		return
	}
	m.unassigned = deleteProxy(m.unassigned, p, compareConnectTimes)
	t.unassignedCount--
	if t.unassignedCount == 0 {
		m.cheapestAssignCost = 0
	}
	if len(m.unassigned) == 0 {
		m.drainPending = true
	}
}

// sumAnnouncedRates recomputes the announced rate of a table, always adding in the order of the proxies' numbers. The
// rate only serves to choose a partition for a proxy, so it is not needed where a zone has one partition.
func (m *Manager) sumAnnouncedRates(t *table) {
	if m.partitionsPerZone == 1 {
		return
	}
	t.announcedRate = 0
	for _, p := range t.proxies {
		t.announcedRate += p.announcedRate
	}
}

// isPublished reports whether some table names a server.
func (m *Manager) isPublished(s *server) bool {
	m.updateTableIndex()
	return len(s.tables) > 0
}

// proxiesUsing returns the proxies whose table names a server, and all unassigned proxies, since they may still use any
// table. They are ordered by number, unless no table names the server: then they are ordered by connection time.
func (m *Manager) proxiesUsing(s *server) []*proxy {
	m.updateTableIndex()
	proxies := slices.Clone(m.unassigned)
	if len(s.tables) == 0 {
		return proxies
	}
	for _, id := range s.tables {
		proxies = append(proxies, m.tableProxies(id)...)
	}
	slices.SortFunc(proxies, compareProxyIDs)
	return slices.Compact(proxies) // an unassigned proxy with mayUseOldTable may be in both lists
}

// tableProxies returns the proxies that use, or may still use, a table, ordered by number.
func (m *Manager) tableProxies(id TableID) []*proxy {
	m.updateTableIndex()
	var proxies []*proxy
	for _, p := range m.tables[id].proxies {
		if p.assigned || p.mayUseOldTable {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// tableServers returns the servers that a table names or should name, ordered by id.
func (m *Manager) tableServers(t *table) []*server {
	var servers []*server
	add := func(id ServerID) {
		if s := m.server(id); s != nil {
			servers = append(servers, s)
		}
	}
	for id := range t.publishedWeights {
		add(id)
	}
	for id := range t.targetShares {
		if _, published := t.publishedWeights[id]; !published {
			add(id)
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return servers
}
