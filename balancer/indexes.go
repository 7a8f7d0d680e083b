package balancer

import (
	"cmp"
	"slices"
)

// indexes are what conditions look things up by, so that an input costs what it changes and not what there is. They
// follow from the servers, proxies and tables, and are built anew where a flag says that they are not valid.
type indexes struct {
	serverByID map[ServerID]*server
	proxyByID  map[ProxyID]*proxy

	serverSetsValid bool
	serverSets      serverSets

	placementValid bool     // tables know their proxies, and servers the tables that name them
	unassigned     []*proxy // by the time of their connection
	cheapestAssign float64  // commands of the cheapest table that unassigned proxies can be put on; 0: to be counted
}

// serverSets are the servers that some condition asks for.
type serverSets struct {
	leaving           []*server // to be withdrawn, in the order in which the list named them
	returning         []*server // withdrawn, and may serve; by id
	warmingUp         int       // may serve, and are in their warm-up
	withdrawnUnusable int       // withdrawn, and may not serve
}

func (m *Manager) sets() *serverSets {
	if m.serverSetsValid {
		return &m.serverSets
	}
	m.serverSetsValid = true
	sets := serverSets{leaving: m.serverSets.leaving[:0], returning: m.serverSets.returning[:0]}
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
	}
	slices.SortStableFunc(sets.leaving, func(a, b *server) int { return cmp.Compare(a.leavingSince, b.leavingSince) })
	m.serverSets = sets
	return &m.serverSets
}

// anyWarmingUp tells whether some server that may serve is in its warm-up.
func (m *Manager) anyWarmingUp() bool { return m.sets().warmingUp > 0 }

// server is the server of an id, nil if it is not known.
func (m *Manager) server(id ServerID) *server {
	if m.serverByID == nil || len(m.serverByID) != len(m.servers) {
		m.serverByID = map[ServerID]*server{}
		for _, s := range m.servers {
			m.serverByID[s.id] = s
		}
	}
	return m.serverByID[id]
}

// proxy is the proxy of a number, nil if it is not connected.
func (m *Manager) proxy(id ProxyID) *proxy {
	if m.proxyByID == nil || len(m.proxyByID) != len(m.proxies) {
		m.proxyByID = map[ProxyID]*proxy{}
		for _, p := range m.proxies {
			m.proxyByID[p.id] = p
		}
	}
	return m.proxyByID[id]
}

// forgetServers drops all that is known of some servers.
func (m *Manager) forgetServers(drop func(*server) bool) {
	m.cheapestAssign = 0
	before := len(m.servers)
	m.servers = slices.DeleteFunc(m.servers, drop)
	if len(m.servers) < before {
		m.serverByID = nil
		m.serverSetsValid = false
	}
}

// setWithdrawn takes that a server was withdrawn or restored.
func (m *Manager) setWithdrawn(s *server, withdrawn bool) {
	m.updatePlacement()
	s.withdrawn = withdrawn
	m.serverSetsValid = false
	m.cheapestAssign = 0
	for _, id := range s.tables {
		m.tables[id].assignCost = 0
	}
}

// updatePlacement finds the proxies of each table, and the tables that name each server.
func (m *Manager) updatePlacement() {
	if m.placementValid {
		return
	}
	m.placementValid = true
	m.unassigned = nil
	m.cheapestAssign = 0
	for _, s := range m.servers {
		s.tables = nil
	}
	for _, t := range m.tables {
		t.proxies = nil
		t.announcedRate = 0
		t.assignCost = 0
		t.unassigned = 0
	}
	m.placeServers()
	m.placeProxies()
}

func (m *Manager) placeServers() {
	for i, t := range m.tables {
		for id, weight := range t.published {
			if s := m.server(id); s != nil && weight != 0 {
				s.tables = append(s.tables, TableID(i))
			}
		}
	}
}

func (m *Manager) placeProxies() {
	for _, p := range m.proxies {
		t := m.tables[p.partition]
		t.proxies = append(t.proxies, p)
		t.announcedRate += p.announcedRate
		if !p.assigned {
			m.unassigned = append(m.unassigned, p)
			t.unassigned++
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

// addProxy takes in a proxy that is on no table.
func (m *Manager) addProxy(p *proxy) {
	m.updatePlacement()
	m.proxies = insertProxy(m.proxies, p, compareProxyIDs)
	m.proxyByID[p.id] = p
	t := m.tables[p.partition]
	t.proxies = insertProxy(t.proxies, p, compareProxyIDs)
	t.unassigned++
	m.unassigned = insertProxy(m.unassigned, p, compareConnectTimes)
	m.sumAnnouncedRates(t)
	if m.cheapestAssign > 0 && m.assignable(t) {
		m.cheapestAssign = min(m.cheapestAssign, m.assignmentCost(t))
	}
}

func (m *Manager) removeProxy(p *proxy) {
	m.updatePlacement()
	m.proxies = deleteProxy(m.proxies, p, compareProxyIDs)
	delete(m.proxyByID, p.id)
	t := m.tables[p.partition]
	t.proxies = deleteProxy(t.proxies, p, compareProxyIDs)
	m.stopWaiting(p, t)
	m.sumAnnouncedRates(t)
}

// stopWaiting takes a proxy that is put on its table, or disconnects, off those that wait for one.
func (m *Manager) stopWaiting(p *proxy, t *table) {
	if p.assigned {
		return
	}
	m.unassigned = deleteProxy(m.unassigned, p, compareConnectTimes)
	t.unassigned--
	if t.unassigned == 0 {
		m.cheapestAssign = 0
	}
	if len(m.unassigned) == 0 {
		m.drainPending = true
	}
}

// sumAnnouncedRates sums the rates of a partition's proxies in the order of their numbers. Only partitions are chosen
// by it.
func (m *Manager) sumAnnouncedRates(t *table) {
	if m.partitionsPerZone == 1 {
		return
	}
	t.announcedRate = 0
	for _, p := range t.proxies {
		t.announcedRate += p.announcedRate
	}
}

// isPublished tells whether some table names a server.
func (m *Manager) isPublished(s *server) bool {
	m.updatePlacement()
	return len(s.tables) > 0
}

// holders are the proxies whose table names a server, and those that may hold any table, by number.
func (m *Manager) holders(s *server) []*proxy {
	m.updatePlacement()
	proxies := slices.Clone(m.unassigned)
	if len(s.tables) == 0 {
		return proxies
	}
	for _, id := range s.tables {
		proxies = append(proxies, m.tableProxies(id)...)
	}
	slices.SortFunc(proxies, compareProxyIDs)
	return slices.Compact(proxies) // an unassigned proxy may hold a table still
}

// tableProxies are the proxies that are, or may be, on a table, by number.
func (m *Manager) tableProxies(id TableID) []*proxy {
	m.updatePlacement()
	var proxies []*proxy
	for _, p := range m.tables[id].proxies {
		if p.assigned || p.mayHoldTable {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// tableServers are the servers that a table names or should name, by id.
func (m *Manager) tableServers(t *table) []*server {
	var servers []*server
	add := func(id ServerID) {
		if s := m.server(id); s != nil {
			servers = append(servers, s)
		}
	}
	for id := range t.published {
		add(id)
	}
	for id := range t.target {
		if _, published := t.published[id]; !published {
			add(id)
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return servers
}
