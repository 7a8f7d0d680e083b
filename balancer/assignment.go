package balancer

func (m *Manager) proxyConnected() bool { return m.connectedTable != nil }

// awaitDistribution has a proxy that has just connected wait for its table while servers warm up. No table counts its
// requests yet, and that of a partition that had no proxies may name servers in their warm-up only. It waits for the
// next tick with the table that it holds, since hundreds connect one by one after a restart. While servers drain, which
// the tables of other managers may name, it waits only where its table is colder than the fleet.
func (m *Manager) awaitDistribution() {
	t := m.connectedTable
	m.connectedTable = nil
	if !m.anyWarmingUp() {
		return
	}
	m.redistribution = proxyAwaitsTable
	m.cheapestAssign = 0
	colderThanFleet := m.warmingShareOf(t) > maxWarmingRise*m.warmingShare
	if m.sets().withdrawnUnusable == 0 || colderThanFleet {
		t.awaitsDistribution = true
	}
}

// endDistributionWait lets proxies be put on tables that awaited a distribution.
func (m *Manager) endDistributionWait() {
	for _, t := range m.tables {
		t.awaitsDistribution = false
	}
	m.cheapestAssign = 0
}

// nextAssignment is the next proxy to be put on its partition's table, the first connected first; nil without any or
// without room.
func (m *Manager) nextAssignment() *proxy {
	priority := urgentPriority
	if m.assignsBeforeDrains() {
		priority = drainPriority
	}
	for _, p := range m.assignableWithin(m.available(priority)) {
		t := m.tables[p.partition]
		if m.assignable(t) && m.fits([]*proxy{p}, m.assignmentCost(t), priority) {
			return p
		}
	}
	return nil
}

// assignable tells whether proxies may be put on a table.
func (m *Manager) assignable(t *table) bool { return !t.awaitsDistribution && !m.isEmptyTable(t) }

func (m *Manager) assignmentReady() bool { return m.partitioned && m.nextAssignment() != nil }

func (m *Manager) assignProxy() {
	p := m.nextAssignment()
	m.recordAssignment(p)
	m.reserve([]*proxy{p}, m.assignmentCost(m.tables[p.partition]))
}

// recordAssignment commands that a proxy is put on its partition's table, and on its zone-local part for the classes
// that stay in their zone.
func (m *Manager) recordAssignment(p *proxy) {
	m.updatePlacement()
	m.stopWaiting(p, m.tables[p.partition])
	p.assigned = true
	p.mayHoldTable = false
	id := TableID(p.partition)
	if !m.hasZoneLocalClasses() {
		m.commands.Assign = append(m.commands.Assign, TableAssignment{Proxy: p.id, Table: id})
		return
	}
	if m.crossZone != 0 {
		m.commands.Assign = append(m.commands.Assign, TableAssignment{p.id, id, m.crossZone})
	}
	m.commands.Assign = append(m.commands.Assign, TableAssignment{p.id, ZoneLocalTables + id, m.zoneLocal})
}

// assignableWithin are the proxies without a table, none where no table that they wait for costs so little: thousands
// may wait after a restart, and each input would go through them.
func (m *Manager) assignableWithin(available float64) []*proxy {
	if m.cheapestAssignment() > available {
		return nil
	}
	return m.unassigned
}
