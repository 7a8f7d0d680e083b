package balancer

import "slices"

// nextDrain returns the next server to withdraw, or nil if no server is leaving or no withdrawal fits into the channel.
// An input that assigned a proxy withdraws no server: Commands are carried out with withdrawals first, so the withdrawal
// would overtake the assignment.
func (m *Manager) nextDrain() *server {
	for _, s := range m.currentServerSets().leaving {
		if m.commands.Assign == nil && m.drainFits(s) {
			return s
		}
	}
	return nil
}

// drainFits reports whether the withdrawal of a leaving server fits into the channel.
func (m *Manager) drainFits(s *server) bool {
	proxies := m.proxiesUsing(s)
	return m.drainWithinMessageLimit(s, proxies) && m.fitsQueue(proxies, 1, drainPriority)
}

func (m *Manager) drainReady() bool {
	return (m.drainPending || m.retryDue()) && !m.assignsBeforeDrains() && m.nextDrain() != nil
}

// assignsBeforeDrains reports whether proxies are assigned to their tables before servers are withdrawn. Proxies are
// unassigned during a release when they come from a lost manager, for example. Each withdrawal costs every unassigned
// proxy a command and a message, whereas one assignment to a table without the leaving servers replaces all of these
// withdrawals. Drains go first if the assignments would take longer than the drain grace.
func (m *Manager) assignsBeforeDrains() bool {
	return len(m.currentServerSets().leaving) > 0 &&
		m.cheapestAssignment() <= m.queueLimits[drainPriority] &&
		m.allAssignmentsCost() <= m.drainGraceCommands
}

// withdraw stops requests to a leaving server in all tables that proxies use.
func (m *Manager) withdraw() {
	s := m.nextDrain()
	m.commands.Withdraw = append(m.commands.Withdraw, s.id)
	m.setWithdrawn(s, true)
	m.reserve(m.proxiesUsing(s), 1)
	m.updateDrainPending()
	m.checkEmptyTables()
	if slices.ContainsFunc(s.tables, m.overloadsWarmingServers) {
		m.publication.urgent = true
	}
}

// drainDelayCause is the reason why a leaving server is not withdrawn yet.
type drainDelayCause string

const (
	notDelayed            drainDelayCause = ""
	delayedByAssignments  drainDelayCause = "assignments"   // proxies are assigned to their tables first
	delayedByMessageLimit drainDelayCause = "message_limit" // of a proxy that uses the server
	delayedByQueue        drainDelayCause = "queue"         // the channel has no capacity
)

// logDelayedDrain logs the server that has waited longest to be withdrawn, if it has waited since before the last tick.
func (m *Manager) logDelayedDrain() {
	leaving := m.currentServerSets().leaving
	if len(leaving) == 0 || m.now-leaving[0].leavingSince < tickInterval {
		return
	}
	s := leaving[0]
	cause := m.drainDelayCause(s)
	if cause == notDelayed {
		return
	}
	mostMessages := 0
	for _, p := range m.proxiesUsing(s) {
		mostMessages = max(mostMessages, len(m.messagesInWindow(p)))
	}
	m.log(EventDrainDelayed,
		textField("server", string(s.id)),
		numberField("waited_seconds", (m.now-s.leavingSince).Seconds(), 1),
		countField("waiting", len(leaving)),
		textField("cause", string(cause)),
		countField("messages", mostMessages))
}

// drainDelayCause returns why a leaving server cannot be withdrawn now.
func (m *Manager) drainDelayCause(s *server) drainDelayCause {
	switch {
	case m.assignsBeforeDrains():
		return delayedByAssignments
	case !m.drainWithinMessageLimit(s, m.proxiesUsing(s)):
		return delayedByMessageLimit
	case !m.drainFits(s):
		return delayedByQueue
	default:
		return notDelayed
	}
}

// updateDrainPending sets drainPending by whether some server can be withdrawn now.
func (m *Manager) updateDrainPending() { m.drainPending = m.nextDrain() != nil }

// nextRestore returns the next withdrawn server that may get requests again, or nil if there is none. All servers wait
// while the tables are outdated, because only proxies whose table names a server get its restore.
func (m *Manager) nextRestore() *server {
	if m.publication.due || m.publication.outdated {
		return nil
	}
	m.updateTableIndex()
	returning := m.currentServerSets().returning
	for _, s := range returning {
		needed := m.restoresEndpoint(s)
		if m.mayRestore(s, needed) && m.restoreFits(s, needed, len(returning)) {
			return s
		}
	}
	return nil
}

// restoreFits reports whether the channel has room for a restore. The first endpoint of a table needs room for the restores
// of all returning servers, unless nothing is queued: alone, it would get all requests of the table.
func (m *Manager) restoreFits(s *server, needed bool, returning int) bool {
	priority := urgentPriority
	if needed {
		priority = drainPriority
	}
	commands := 1.0
	if m.isFirstEndpoint(s) && m.queuedCommands() > 0 {
		commands = float64(returning)
	}
	return m.fits(m.proxiesUsing(s), commands, priority)
}

// mayRestore reports whether a withdrawn server may get requests again. A server whose weight must first be lowered in some
// table has to wait, because it would get requests by its old weight. A pin and a pause of slow start do not hold back a
// server that is needed because a table has no endpoint.
func (m *Manager) mayRestore(s *server, needed bool) bool {
	mustWait := s.decreasePending || m.isTooCold(s) || s.ejected && m.anyUsable() && !m.isLastResort(s)
	held := m.pinned != nil || m.slowStartPaused(s)
	return !mustWait && (needed || !held)
}

func (m *Manager) restoreReady() bool { return m.nextRestore() != nil }

// restore resumes requests to a withdrawn server in all tables that name it.
func (m *Manager) restore() {
	s := m.nextRestore()
	m.commands.Restore = append(m.commands.Restore, s.id)
	m.setWithdrawn(s, false)
	m.reserve(m.proxiesUsing(s), 1)
}
