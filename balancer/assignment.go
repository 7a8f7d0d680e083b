package balancer

func (m *Manager) proxyConnected() bool { return m.newProxyTable != nil }

// awaitDistribution makes a newly connected proxy wait for its table until the next distribution if servers are warming
// up. No table accounts for the proxy's requests yet, and the table of a partition without proxies may name warming
// servers only. Hundreds of proxies connect one by one after a restart, so each keeps its previous table and waits for
// the next tick instead of causing a distribution of its own. While servers are draining, a previous table from another
// manager may still name them; the proxy then waits only if the share of warming servers in its new table is more than
// maxWarmingShareIncrease times their share in the whole fleet.
func (m *Manager) awaitDistribution() {
	t := m.newProxyTable
	m.newProxyTable = nil
	if !m.anyWarmingUp() {
		return
	}
	m.redistribution = proxyAwaitsTable
	m.cheapestAssignCost = 0
	warmingShareTooHigh := m.tableWarmingShare(t) > maxWarmingShareIncrease*m.fleetWarmingShare
	if m.currentServerSets().withdrawnUnusable == 0 || warmingShareTooHigh {
		t.awaitsDistribution = true
	}
}

// endDistributionWait allows assignments to tables that awaited a distribution.
func (m *Manager) endDistributionWait() {
	for _, t := range m.tables {
		t.awaitsDistribution = false
	}
	m.cheapestAssignCost = 0
}

// nextAssignment returns the next proxy to assign to its partition's table, in order of connection, or nil if no proxy
// is unassigned or no assignment fits into the channel.
func (m *Manager) nextAssignment() *proxy {
	priority := urgentPriority
	if m.assignsBeforeDrains() {
		priority = drainPriority
	}
	for _, p := range m.assignableProxies(m.availableCapacity(priority)) {
		t := m.tables[p.partition]
		if m.assignable(t) && m.fits([]*proxy{p}, m.assignmentCost(t), priority) {
			return p
		}
	}
	return nil
}

// assignable reports whether proxies may be assigned to a table.
func (m *Manager) assignable(t *table) bool { return !t.awaitsDistribution && !m.isEmptyTable(t) }

func (m *Manager) assignmentReady() bool { return m.partitioned && m.nextAssignment() != nil }

func (m *Manager) assignProxy() {
	p := m.nextAssignment()
	m.recordAssignment(p)
	m.reserve([]*proxy{p}, m.assignmentCost(m.tables[p.partition]))
}

// recordAssignment adds the commands that assign a proxy to its partition's table, and to the table's zone-local part
// for zone-local classes.
func (m *Manager) recordAssignment(p *proxy) {
	m.updateTableIndex()
	m.removeUnassigned(p, m.tables[p.partition])
	p.assigned = true
	p.mayUseOldTable = false
	id := TableID(p.partition)
	if !m.hasZoneLocalClasses() {
		m.commands.Assign = append(m.commands.Assign, TableAssignment{Proxy: p.id, Table: id})
		return
	}
	if m.crossZoneClasses != 0 {
		m.commands.Assign = append(m.commands.Assign, TableAssignment{p.id, id, m.crossZoneClasses})
	}
	m.commands.Assign = append(m.commands.Assign, TableAssignment{p.id, ZoneLocalTables + id, m.zoneLocalClasses})
}

// assignableProxies returns the unassigned proxies, or nil if even the cheapest assignment costs more commands than are
// available. Thousands of proxies may be unassigned after a restart, and each input would otherwise iterate over them.
func (m *Manager) assignableProxies(available float64) []*proxy {
	if m.cheapestAssignment() > available {
		return nil
	}
	return m.unassigned
}
