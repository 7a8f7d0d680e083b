package balancer

import "time"

const (
	// tickInterval is the time between two evaluations of all servers, zones and the load.
	tickInterval = time.Second
	// tickDelayAfterReports is how long after the expected arrival of the next load reports a tick runs.
	tickDelayAfterReports = 10 * time.Millisecond
	// firstTickDelay is the maximum time from the first proxy's connection to the tick after it.
	firstTickDelay = 50 * time.Millisecond
	// retryInterval is the time between two attempts to send commands that are waiting for room in the channel.
	retryInterval = 100 * time.Millisecond
)

// rule is an action and the condition under which it runs.
type rule struct {
	condition func(*Manager) bool
	action    func(*Manager)
}

// rules are evaluated in this order after every input. After each action, evaluation restarts at the first rule; it
// ends when no condition holds. Each action makes its own condition false.
var rules = []rule{
	{(*Manager).subscriptionDue, (*Manager).subscribe},
	{(*Manager).drainReady, (*Manager).withdraw},
	{(*Manager).zoneSuspected, (*Manager).checkSuspectedZone},
	{(*Manager).firstTickUnscheduled, (*Manager).scheduleFirstTick},
	{(*Manager).tickDue, (*Manager).tick},
	{(*Manager).proxyConnected, (*Manager).awaitDistribution},
	{(*Manager).redistributionDue, (*Manager).redistribute},
	{(*Manager).publishReady, (*Manager).publish},
	{(*Manager).restoreReady, (*Manager).restore},
	{(*Manager).assignmentReady, (*Manager).assignProxy},
	{(*Manager).retryDue, (*Manager).scheduleRetry},
	{(*Manager).timerUnset, (*Manager).setTimer},
}

// decide completes the handling of an input: it applies the rules and returns the commands that they produced.
func (m *Manager) decide() Commands {
	for i := 0; i < len(rules); i++ {
		if rules[i].condition(m) {
			rules[i].action(m)
			i = -1
		}
	}
	commands := m.commands
	m.commands = Commands{}
	return commands
}

func (m *Manager) subscriptionDue() bool {
	return m.pollsEndpoints && !m.subscribed && m.now >= m.subscribeAfter
}

func (m *Manager) subscribe() {
	m.subscribed = true
	m.commands.Subscribe = true
}

func (m *Manager) firstTickUnscheduled() bool {
	return !m.partitioned && len(m.proxies) > 0 && m.nextTick > m.now+firstTickDelay
}

func (m *Manager) scheduleFirstTick() {
	m.nextTick = m.now + firstTickDelay
	m.timerAt = 0
}

func (m *Manager) tickDue() bool { return m.now >= m.nextTick }

// tick updates everything that is evaluated once per tickInterval.
func (m *Manager) tick() {
	m.scheduleNextTick()
	m.publication.markDue()
	if !m.partitioned && len(m.proxies) > 0 && len(m.servers) > 0 && !m.sliced {
		m.partitionZones()
	}
	m.deleteServers(func(s *server) bool { return m.removalExpired(s) && !m.isPublished(s) })
	m.updateDrainPending()
	m.checkEmptyTables()
	m.logDelayedDrain()
	m.logEmptyTables()
	m.updateSlowStart()
	m.detectZoneOutage()
	m.updateServerHealth()
	m.checkUnresponsive()
	m.updateZonePairs()
	m.updateAdmissionLimit()
	if m.demandDiffers(rateTolerance) {
		m.redistribution = demandChanged
	}
}

// scheduleNextTick schedules the next tick shortly after the next load reports, so that they are evaluated while they
// are fresh.
func (m *Manager) scheduleNextTick() {
	m.nextTick = m.now + tickInterval
	afterReports := m.lastReportAt + tickInterval + tickDelayAfterReports
	if m.lastReportAt > 0 && afterReports > m.now+tickInterval/2 {
		m.nextTick = min(afterReports, m.nextTick+tickInterval/2)
	}
}

// retryNeeded reports whether withdrawals, or changes that a message limit blocks, are waiting for room in the channel.
func (m *Manager) retryNeeded() bool {
	return m.publication.messageLimited || len(m.currentServerSets().leaving) > 0
}

func (m *Manager) retryDue() bool { return m.now >= m.retryAt && m.retryNeeded() }

func (m *Manager) scheduleRetry() {
	m.retryAt = m.now + retryInterval
	m.timerAt = 0
}

func (m *Manager) timerUnset() bool { return m.timerAt <= m.now }

func (m *Manager) setTimer() {
	m.timerAt = m.nextTick
	if m.retryNeeded() {
		m.timerAt = min(m.timerAt, m.retryAt)
	}
	m.timerAt = max(m.timerAt, m.now+time.Millisecond)
	m.commands.NextTimer = m.timerAt
}
