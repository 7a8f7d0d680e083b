package balancer

import (
	"cmp"
	"math"
	"slices"
)

// index is what conditions look things up by, so that an input costs what it changes and not what there is. All of it
// follows from the servers, proxies and tables; it is counted anew where a flag says so, and decides nothing.
type indexes struct {
	serverByID      map[ServerID]*server
	proxyByID       map[ProxyID]*proxy
	serverSetsValid bool // the sets of servers are as the servers are
	serverSets      serverSets
	placementValid  bool     // proxies are dealt to their tables, and servers know the tables that name them
	unassigned      []*proxy // without a table, by when they joined
	cheapestAssign  float64  // lines of the cheapest table that they can be put on; 0: to be counted anew
	sentCommands    float64  // lines of the queue that entered the channel, as marks show it,
	unsentCommands  float64  // and that have not
	queueSummed     bool     // they are counted
}

// sets are the servers that some condition asks for, by id where nothing else is said.
type serverSets struct {
	leaving           []*server // to be withdrawn, those told first before others
	returning         []*server // withdrawn, and may get flows
	warmingUp         int       // may get flows, and climb
	withdrawnUnusable int       // withdrawn, and may get none
}

func (m *Manager) sets() *serverSets {
	if !m.serverSetsValid {
		m.serverSetsValid, m.serverSets = true, serverSets{leaving: m.serverSets.leaving[:0], returning: m.serverSets.returning[:0]}
		for _, s := range m.servers {
			switch open := m.mayServe(s); {
			case !s.withdrawn && (s.state == Draining || s.state == Removed && !m.removedMayServe):
				m.serverSets.leaving = append(m.serverSets.leaving, s)
			case s.withdrawn && open:
				m.serverSets.returning = append(m.serverSets.returning, s)
			case s.withdrawn:
				m.serverSets.withdrawnUnusable++
			}
			if m.isWarmingUp(s) {
				m.serverSets.warmingUp++
			}
		}
		slices.SortStableFunc(m.serverSets.leaving, func(a, b *server) int { return cmp.Compare(a.leavingSince, b.leavingSince) })
	}
	return &m.serverSets
}

// climbs tells whether a server that may get flows climbs.
func (m *Manager) anyWarmingUp() bool { return m.sets().warmingUp > 0 }

func (m *Manager) server(id ServerID) *server {
	if m.serverByID == nil || len(m.serverByID) != len(m.servers) {
		m.serverByID = map[ServerID]*server{}
		for _, s := range m.servers {
			m.serverByID[s.id] = s
		}
	}
	return m.serverByID[id]
}

func (m *Manager) proxy(id ProxyID) *proxy {
	if m.proxyByID == nil || len(m.proxyByID) != len(m.proxies) {
		m.proxyByID = map[ProxyID]*proxy{}
		for _, p := range m.proxies {
			m.proxyByID[p.id] = p
		}
	}
	return m.proxyByID[id]
}

// forget drops servers for good.
func (m *Manager) forget(is func(*server) bool) {
	m.cheapestAssign = 0
	n := len(m.servers)
	if m.servers = slices.DeleteFunc(m.servers, is); len(m.servers) < n {
		m.serverByID, m.serverSetsValid = nil, false
	}
}

// pull notes that a server was withdrawn or let back in.
func (m *Manager) setWithdrawn(s *server, away bool) {
	m.updatePlacement()
	s.withdrawn, m.serverSetsValid, m.cheapestAssign = away, false, 0
	for _, t := range s.tables {
		m.tables[t].assignCost = 0
	}
}

// place deals the proxies to the tables of their blocks, and tells servers which tables name them.
func (m *Manager) updatePlacement() {
	if m.placementValid {
		return
	}
	m.placementValid, m.unassigned, m.cheapestAssign = true, nil, 0
	for _, s := range m.servers {
		s.tables = nil
	}
	for id, t := range m.tables {
		t.proxies, t.announcedRate, t.assignCost, t.unassigned = nil, 0, 0, 0
		for s, w := range t.published {
			if one := m.server(s); one != nil && w != 0 {
				one.tables = append(one.tables, TableID(id))
			}
		}
	}
	for _, p := range m.proxies {
		t := m.tables[p.partition]
		t.proxies, t.announcedRate = append(t.proxies, p), t.announcedRate+p.announcedRate
		if !p.assigned {
			m.unassigned, t.unassigned = append(m.unassigned, p), t.unassigned+1
		}
	}
	slices.SortFunc(m.unassigned, compareConnectTimes)
}

func compareProxyIDs(p, q *proxy) int { return cmp.Compare(p.id, q.id) }

func compareConnectTimes(p, q *proxy) int {
	return cmp.Or(cmp.Compare(p.connectedAt, q.connectedAt), cmp.Compare(p.id, q.id))
}

func insertProxy(x []*proxy, p *proxy, order func(p, q *proxy) int) []*proxy {
	i, _ := slices.BinarySearchFunc(x, p, order)
	return slices.Insert(x, i, p)
}

func deleteProxy(x []*proxy, p *proxy, order func(p, q *proxy) int) []*proxy {
	if i, ok := slices.BinarySearchFunc(x, p, order); ok {
		return slices.Delete(x, i, i+1)
	}
	return x
}

// enter takes in a proxy that has no table.
func (m *Manager) addProxy(p *proxy) {
	m.updatePlacement()
	m.proxies, m.proxyByID[p.id] = insertProxy(m.proxies, p, compareProxyIDs), p
	t := m.tables[p.partition]
	t.proxies, m.unassigned, t.unassigned = insertProxy(t.proxies, p, compareProxyIDs), insertProxy(m.unassigned, p, compareConnectTimes), t.unassigned+1
	m.sumAnnouncedRates(t)
	if m.cheapestAssign > 0 && !t.awaitsDistribution && !m.isEmptyTable(t) {
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

// stopWaiting takes a proxy that is put on its table, or leaves, off those that wait for one.
func (m *Manager) stopWaiting(p *proxy, t *table) {
	if p.assigned {
		return
	}
	m.unassigned, t.unassigned = deleteProxy(m.unassigned, p, compareConnectTimes), t.unassigned-1
	if t.unassigned == 0 {
		m.cheapestAssign = 0
	}
	m.drainPending = m.drainPending || len(m.unassigned) == 0
}

// endSolveWait lets proxies that wait until their tables are solved be put on them.
func (m *Manager) endDistributionWait() {
	for _, t := range m.tables {
		t.awaitsDistribution = false
	}
	m.cheapestAssign = 0
}

// weighLoad sums what a block's proxies told, in their order. Only blocks are chosen by it.
func (m *Manager) sumAnnouncedRates(t *table) {
	if m.partitionsPerZone > 1 {
		t.announcedRate = 0
		for _, p := range t.proxies {
			t.announcedRate += p.announcedRate
		}
	}
}

// put notes that a proxy was bound to its block's table, and to its part for the groups that keep to their zone.
func (m *Manager) recordAssignment(p *proxy) {
	m.updatePlacement()
	m.stopWaiting(p, m.tables[p.partition])
	p.assigned, p.mayHoldTable = true, false
	if m.zoneLocal == 0 || m.crossZone != 0 {
		m.commands.Assign = append(m.commands.Assign, TableAssignment{p.id, TableID(p.partition), either(m.zoneLocal == 0, 0, m.crossZone)})
	}
	if m.zoneLocal != 0 {
		m.commands.Assign = append(m.commands.Assign, TableAssignment{p.id, ZoneLocalTables + TableID(p.partition), m.zoneLocal})
	}
}

// setLevel notes that a level was ordered.
func (m *Manager) recordLevel(t *table, l AdmissionLevel) {
	t.publishedLevels[l.Classes], t.assignCost, m.cheapestAssign = l, 0, 0
	l.Table += either(l.Classes&m.zoneLocal != 0, ZoneLocalTables, 0)
	m.commands.AdmissionLevels = append(m.commands.AdmissionLevels, l)
}

// stands tells whether a table names a server.
func (m *Manager) isPublished(s *server) bool {
	m.updatePlacement()
	return len(s.tables) > 0
}

// holders are the proxies whose table names a server, and those that hold tables of others, by number.
func (m *Manager) holders(s *server) []*proxy {
	m.updatePlacement()
	to := slices.Clone(m.unassigned)
	for _, t := range s.tables {
		to = append(to, m.tableProxies(int(t))...)
	}
	if len(s.tables) > 0 {
		slices.SortFunc(to, compareProxyIDs)
		to = slices.Compact(to) // who waits may hold a table still
	}
	return to
}

// users are the proxies bound to a table, or that may be, by number.
func (m *Manager) tableProxies(z int) (to []*proxy) {
	m.updatePlacement()
	for _, p := range m.tables[z].proxies {
		if p.assigned || p.mayHoldTable {
			to = append(to, p)
		}
	}
	return to
}

// named are the servers that a table names or should name, by id.
func (m *Manager) tableServers(t *table) (all []*server) {
	add := func(id ServerID) {
		if s := m.server(id); s != nil {
			all = append(all, s)
		}
	}
	for id := range t.published {
		add(id)
	}
	for id := range t.target {
		if _, both := t.published[id]; !both {
			add(id)
		}
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return all
}

// unboundWithin are the proxies without a table, none where no table that they wait for has room. Guards against
// a walk over thousands that wait after a restart with each input that comes.
func (m *Manager) assignableWithin(spare float64) []*proxy {
	if m.cheapestAssignment() > spare {
		return nil
	}
	return m.unassigned
}

// leastToBind is what the cheapest binding costs of a proxy that waits; infinite where none can be bound.
func (m *Manager) cheapestAssignment() float64 {
	if m.updatePlacement(); len(m.unassigned) == 0 {
		return math.Inf(1)
	}
	if m.cheapestAssign == 0 {
		m.cheapestAssign = math.Inf(1)
		for _, t := range m.tables {
			if t.unassigned > 0 && !t.awaitsDistribution && !m.isEmptyTable(t) {
				m.cheapestAssign = min(m.cheapestAssign, m.assignmentCost(t))
			}
		}
	}
	return m.cheapestAssign + either(m.barrierAt == m.now, 0, m.messageOverhead+1)
}

// allToBind is what the bindings of all proxies that wait cost.
func (m *Manager) allAssignmentsCost() (lines float64) {
	for _, t := range m.tables {
		if t.unassigned > 0 {
			lines += float64(t.unassigned) * (m.assignmentCost(t) + m.messageOverhead + 1)
		}
	}
	return lines
}
