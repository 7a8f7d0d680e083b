package balancer

import "slices"

// nextDrain is the next server to be withdrawn, nil without any or without room. It never goes along with an
// assignment: the withdrawal would be sent before that.
func (m *Manager) nextDrain() *server {
	for _, s := range m.sets().leaving {
		if m.commands.Assign == nil && m.fits(m.holders(s), 1, drainPriority) {
			return s
		}
	}
	return nil
}

func (m *Manager) drainReady() bool {
	return m.drainPending && !m.assignsBeforeDrains() && m.nextDrain() != nil
}

// assignsBeforeDrains tells whether proxies are put on their tables before servers are withdrawn. A withdrawal costs
// each unassigned proxy a command and a message, as after another manager was lost during a release; a table without
// the leaving servers settles all of them. Drains go first where the assignments take longer than the drains' grace.
func (m *Manager) assignsBeforeDrains() bool {
	return len(m.sets().leaving) > 0 &&
		m.cheapestAssignment() <= m.queueLimits[drainPriority] &&
		m.allAssignmentsCost() <= m.drainGraceCommands
}

// withdraw takes a leaving server out of all tables that proxies hold.
func (m *Manager) withdraw() {
	s := m.nextDrain()
	m.commands.Withdraw = append(m.commands.Withdraw, s.id)
	m.setWithdrawn(s, true)
	m.reserve(m.holders(s), 1)
	m.checkEmptyTables()
	if slices.ContainsFunc(s.tables, m.wouldOverloadWarmingServers) {
		m.publication.urgent = true
	}
}

// checkEmptyTables has tables without any endpoint published at once, with the room of drains.
func (m *Manager) checkEmptyTables() {
	m.publication.emptyTable = slices.ContainsFunc(m.tables, m.isEmptyTable)
	m.drainPending = m.nextDrain() != nil
	if m.publication.emptyTable || slices.ContainsFunc(m.tables, m.hasNoLocalEndpoint) {
		m.publication.urgent = true
	}
}

// nextRestore is the next withdrawn server that may get requests again. A server whose weight is still to be lowered
// in some table waits, since it would get requests by its old weight.
func (m *Manager) nextRestore() *server {
	if m.publication.due || m.publication.listChanged || m.pinned != nil && !m.publication.emptyTable {
		return nil
	}
	priority := urgentPriority
	if m.publication.emptyTable {
		priority = drainPriority
	}
	for _, s := range m.sets().returning {
		waits := s.decreasePending || m.slowStartPaused(s) || s.ejected && m.anyUsable()
		if !waits && m.fits(m.holders(s), 1, priority) {
			return s
		}
	}
	return nil
}

func (m *Manager) restoreReady() bool { return m.nextRestore() != nil }

// restore lets a withdrawn server get requests again in all tables that name it.
func (m *Manager) restore() {
	s := m.nextRestore()
	m.commands.Restore = append(m.commands.Restore, s.id)
	m.setWithdrawn(s, false)
	m.reserve(m.holders(s), 1)
}
