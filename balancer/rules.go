package balancer

import "time"

const (
	// tickInterval is the time between two looks at all servers, zones and the load.
	tickInterval = time.Second
	// tickAfterReport is how long after the time of the next load reports a tick begins.
	tickAfterReport = 10 * time.Millisecond
	// firstTickDelay is the time from the first proxy's connection to the first tick.
	firstTickDelay = 50 * time.Millisecond
)

// rule is an effect and the condition under which it is due.
type rule struct {
	condition func(*Manager) bool
	effect    func(*Manager)
}

// rules are gone through in this order after every input, from the first again after each effect, until no condition
// holds; each effect makes its condition false.
var rules = []rule{
	{(*Manager).pollDue, (*Manager).subscribe},
	{(*Manager).drainReady, (*Manager).withdraw},
	{(*Manager).zoneSuspected, (*Manager).checkSuspectedZone},
	{(*Manager).firstTickUnscheduled, (*Manager).scheduleFirstTick},
	{(*Manager).tickDue, (*Manager).tick},
	{(*Manager).proxyConnected, (*Manager).awaitDistribution},
	{(*Manager).redistributionDue, (*Manager).redistribute},
	{(*Manager).publishReady, (*Manager).publish},
	{(*Manager).restoreReady, (*Manager).restore},
	{(*Manager).assignmentReady, (*Manager).assignProxy},
	{(*Manager).timerUnset, (*Manager).setTimer},
}

// decide ends every input: it goes through the rules and hands over what they command.
func (m *Manager) decide() Commands {
	for i := 0; i < len(rules); i++ {
		if rules[i].condition(m) {
			rules[i].effect(m)
			i = -1
		}
	}
	commands := m.commands
	m.commands = Commands{}
	return commands
}

func (m *Manager) pollDue() bool { return m.pollsEndpoints && !m.subscribed && m.now >= m.pollAfter }

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

// tick updates all that is judged once an interval.
func (m *Manager) tick() {
	m.scheduleNextTick()
	m.publication.open()
	if !m.partitioned && len(m.proxies) > 0 && len(m.servers) > 0 && !m.sliced {
		m.partitionZones()
	}
	m.forgetServers(func(s *server) bool { return m.forgettable(s) && !m.isPublished(s) })
	m.checkEmptyTables()
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

// scheduleNextTick follows the load reports, so that they are judged while they are fresh.
func (m *Manager) scheduleNextTick() {
	m.nextTick = m.now + tickInterval
	afterReports := m.lastReportAt + tickInterval + tickAfterReport
	if m.lastReportAt > 0 && afterReports > m.now+tickInterval/2 {
		m.nextTick = min(afterReports, m.nextTick+tickInterval/2)
	}
}

func (m *Manager) timerUnset() bool { return m.timerAt <= m.now }

func (m *Manager) setTimer() {
	m.timerAt = max(m.nextTick, m.now+time.Millisecond)
	m.commands.NextTimer = m.timerAt
}
