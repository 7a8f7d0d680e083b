package balancer

import (
	"slices"
	"time"
)

const (
	// slowChannelFactor is how many times slower than Settings.CommandsPerSecond the channel is assumed to be until
	// barriers are acknowledged.
	slowChannelFactor = 8.0

	// queueShareNormal, queueShareUrgent and queueShareDrain are the shares of Settings.QueueCapacity that commands may
	// fill, by priority.
	queueShareNormal = 0.5
	queueShareUrgent = 0.75
	queueShareDrain  = 0.9
	// defaultDrainGrace is the grace of a drain if the settings have none.
	defaultDrainGrace = 2 * time.Second
	// sendSecondsNormal and sendSecondsUrgent limit the commands that may wait to what the channel sends in this many
	// seconds. They apply only where the queue could hold more.
	sendSecondsNormal = 1.0
	sendSecondsUrgent = 2.0
	// resendWithDrainsShare is the share of the normal sendTimeLimits up to which the queue may be filled for a further
	// command to be resent together with withdrawals.
	resendWithDrainsShare = 0.5

	// maxBarrier is the largest barrier number, since the protocol has 16 bits for it. Numbering then restarts at 1.
	maxBarrier = 1<<16 - 1
)

// priority determines how much of the channel's capacity commands may use.
type priority int

const (
	normalPriority priority = iota
	urgentPriority
	drainPriority
	priorityCount
)

// channel tracks an upper bound on the commands that wait in the channel to the proxies. Until barriers are
// acknowledged, the channel is assumed to send at assumedSendRate only.
type channel struct {
	pending     []pendingBatch // ordered by time
	lastBarrier BarrierID
	barrierAt   time.Duration // time of the last barrier

	departed   float64       // commands of sent batches that had left the channel by departedAt
	departedAt time.Duration // time from which commands leave at assumedSendRate

	totalsValid    bool
	sentCommands   float64 // commands in the pending batches that entered the channel
	unsentCommands float64 // commands in the other pending batches
}

// pendingBatch holds the commands decided at one time that are not known to have left the channel: no later barrier has
// been acknowledged, and the batch's own barrier has not been acknowledged by all of its proxies.
type pendingBatch struct {
	barrier  BarrierID
	at       time.Duration       // when the commands were decided
	sent     bool                // the commands entered the channel
	commands float64             // number of commands, including the cost of messages
	byProxy  map[ProxyID]float64 // the same for each proxy that has not acknowledged the barrier
}

// indexOf returns the index of a barrier's batch, or -1 if there is none.
func (c *channel) indexOf(barrier BarrierID) int {
	return slices.IndexFunc(c.pending, func(b pendingBatch) bool { return b.barrier == barrier })
}

// queuedCommands returns an upper bound on the commands that wait in the channel. Commands count in full until they are
// known to have entered the channel, because calls to the relay may be delayed and then arrive together. After that
// they are assumed to leave at assumedSendRate; acknowledged barriers show that more have left.
func (m *Manager) queuedCommands() float64 {
	c := &m.channel
	if !c.totalsValid {
		c.totalsValid = true
		c.sentCommands = 0
		c.unsentCommands = 0
		for _, batch := range c.pending {
			if batch.sent {
				c.sentCommands += batch.commands
			} else {
				c.unsentCommands += batch.commands
			}
		}
	}
	return m.queuedAfterSend() + c.unsentCommands
}

// queuedAfterSend returns an upper bound on the commands that entered the channel and still wait there.
func (m *Manager) queuedAfterSend() float64 {
	c := &m.channel
	return max(0, c.sentCommands-c.departed-m.assumedSendRate*(m.now-c.departedAt).Seconds())
}

// availableCapacity returns the number of commands of a priority for which the channel has capacity.
func (m *Manager) availableCapacity(priority priority) float64 {
	return max(0, min(m.sendTimeLimits[priority], m.queueLimits[priority])-m.queuedCommands())
}

// fits reports whether the given number of commands for each proxy fits into the queue and into the proxies' message
// limits.
func (m *Manager) fits(proxies []*proxy, commands float64, priority priority) bool {
	return m.withinMessageLimit(proxies, priority) && m.fitsQueue(proxies, commands, priority)
}

// fitsQueue reports whether the given number of commands for each proxy fits into the queue.
func (m *Manager) fitsQueue(proxies []*proxy, commands float64, priority priority) bool {
	cost := 0.0
	for _, p := range proxies {
		cost += commands
		if !p.hasMessageAt(m.now) {
			cost += m.messageCost()
		}
	}
	// Commands that cost more than sendTimeLimits would never fit, so while nothing waits they may use up to queueLimits.
	return cost <= m.availableCapacity(priority) || cost <= m.queueLimits[priority] && m.queuedCommands() == 0
}

// messageCost returns the cost of a message in addition to its commands: its overhead and its barrier.
func (m *Manager) messageCost() float64 { return m.messageOverhead + 1 }

// newMessageCost returns the minimum cost of a message for a single further command: 0 if messages are already being
// written at this time, since the command may be added to one of them.
func (m *Manager) newMessageCost() float64 {
	if m.channel.barrierAt == m.now {
		return 0
	}
	return m.messageCost()
}

// minCost returns the minimum cost of sending a number of commands to each of the given number of proxies.
func (m *Manager) minCost(proxies int, commands float64) float64 {
	return float64(proxies) * (commands + m.newMessageCost())
}

// reserve adds the given number of commands for each proxy to the pending batch of the current time. It also counts a
// message for each proxy that has none at this time yet, and starts the batch with a new barrier if there is none.
func (m *Manager) reserve(proxies []*proxy, commands float64) {
	if len(proxies) == 0 {
		return
	}
	c := &m.channel
	if m.queuedCommands() == 0 {
		c.pending = nil
		c.departed = 0
	}
	c.totalsValid = false
	if c.barrierAt != m.now {
		c.lastBarrier = c.lastBarrier%maxBarrier + 1
		c.barrierAt = m.now
		m.commands.Barrier = c.lastBarrier
		c.pending = append(c.pending, pendingBatch{barrier: c.lastBarrier, at: m.now, byProxy: map[ProxyID]float64{}})
	}
	batch := &c.pending[len(c.pending)-1]
	for _, p := range proxies {
		cost := commands
		if !p.hasMessageAt(m.now) {
			p.messageTimes = append(p.messageTimes, m.now)
			cost += m.messageCost()
		}
		batch.commands += cost
		batch.byProxy[p.id] += cost
	}
}

// HandleCommandsSent records that the commands up to a barrier entered the channel.
func (m *Manager) HandleCommandsSent(now time.Duration, barrier BarrierID) {
	m.now = now
	m.markSent(m.channel.indexOf(barrier))
}

// markSent marks the batches up to an index as sent, so that their commands are assumed to leave the channel from now
// on. Commands of earlier batches that are assumed to have left so far remain counted as departed.
func (m *Manager) markSent(index int) {
	m.queuedCommands() // recomputes sentCommands if it is out of date
	c := &m.channel
	c.departed = c.sentCommands - m.queuedAfterSend()
	c.departedAt = m.now
	c.totalsValid = false
	for i := min(index, len(c.pending)-1); i >= 0 && !c.pending[i].sent; i-- {
		c.pending[i].sent = true
	}
}

// acknowledge releases what an acknowledged barrier shows to have left the channel: all batches before the barrier's
// own, and from that batch the message to this proxy. Messages differ in length, so the acknowledgement of a short
// message must not release the longer messages of the same batch.
func (m *Manager) acknowledge(id ProxyID, barrier BarrierID) {
	c := &m.channel
	index := c.indexOf(barrier)
	if index < 0 {
		return
	}
	m.markSent(index)
	c.pending = slices.Delete(c.pending, 0, index)
	batch := &c.pending[0]
	batch.commands -= batch.byProxy[id]
	delete(batch.byProxy, id)
	c.departed = 0
	c.departedAt = m.now
}

// releaseUnsent releases the batches that have not entered the channel. It keeps, and marks as sent, the batches before
// a barrier, and the barrier's own batch if its commands may have been carried out. The released commands will be
// resent; without the release they would wait for capacity, and for messages, that they occupy themselves.
func (m *Manager) releaseUnsent(from BarrierID, mayBeCarriedOut bool) {
	c := &m.channel
	index := c.indexOf(from)
	if !mayBeCarriedOut {
		index--
	}
	m.markSent(index)
	for _, batch := range c.pending {
		if !batch.sent {
			m.releaseMessages(batch.at)
		}
	}
	c.pending = slices.DeleteFunc(c.pending, func(b pendingBatch) bool { return !b.sent })
	c.totalsValid = false
}

// Resend returns how many of the commands in c, which are resent or sent late, may be sent now, and their barrier (0
// for none). They need capacity like all others, so that the queue does not overflow when the relay becomes reachable
// again. The commands under the barrier from may have been carried out if mayBeCarriedOut is set; if so, they remain
// reserved.
func (m *Manager) Resend(now time.Duration, from BarrierID, mayBeCarriedOut bool, c Commands) (n int, barrier BarrierID) {
	m.now = now
	m.releaseUnsent(from, mayBeCarriedOut)
	for n < c.Count() {
		proxies, commands := m.recipients(c, n)
		priority := urgentPriority
		if n < len(c.Withdraw) {
			priority = drainPriority
		}
		if !m.mayResendWithDrains(c, n) || !m.fits(proxies, commands, priority) {
			break
		}
		m.reserve(proxies, commands)
		n++
	}
	barrier = m.commands.Barrier
	m.commands = Commands{}
	return n, barrier
}

// mayResendWithDrains reports whether the n-th command may be resent together with the withdrawals before it. A
// withdrawal takes effect only when all of the message that contains it has been sent, so few other commands may be
// added.
func (m *Manager) mayResendWithDrains(c Commands, n int) bool {
	if n < len(c.Withdraw) || len(c.Withdraw) == 0 {
		return true
	}
	return m.queuedCommands() <= resendWithDrainsShare*m.sendTimeLimits[normalPriority]
}

// recipients returns the proxies that get the n-th command of c, counted in the order of the fields, and how many
// commands it costs for each of them.
func (m *Manager) recipients(c Commands, n int) (proxies []*proxy, commands float64) {
	if n < len(c.Withdraw) {
		return m.proxiesMayUse(c.Withdraw[n], c.Weights), 1
	}
	n -= len(c.Withdraw)
	if n < len(c.Weights) {
		return m.tableProxies(c.Weights[n].Table &^ ZoneLocalTables), 1
	}
	n -= len(c.Weights)
	if n < len(c.AdmissionLevels) {
		return m.tableProxies(c.AdmissionLevels[n].Table &^ ZoneLocalTables), 1
	}
	n -= len(c.AdmissionLevels)
	if n < len(c.Restore) {
		return m.proxiesMayUse(c.Restore[n], c.Weights), 1
	}
	n -= len(c.Restore)
	assignment := c.Assign[n]
	if p := m.proxy(assignment.Proxy); p != nil {
		proxies = []*proxy{p}
	}
	return proxies, m.assignmentCost(m.tables[assignment.Table&^ZoneLocalTables])
}

// proxiesMayUse returns the proxies that may use a server while some weights are not executed yet: those whose table names
// the server now, and those whose table is only about to change its weight.
func (m *Manager) proxiesMayUse(id ServerID, unexecuted []EndpointWeight) []*proxy {
	var proxies []*proxy
	if s := m.server(id); s != nil {
		proxies = m.proxiesUsing(s)
	}
	for _, weight := range unexecuted {
		if weight.Server == id {
			proxies = append(proxies, m.tableProxies(weight.Table&^ZoneLocalTables)...)
		}
	}
	slices.SortFunc(proxies, compareProxyIDs)
	return slices.Compact(proxies)
}

// assignmentCost returns the number of commands that a proxy gets when it is put on a table: the assignment, the
// table's weights and admission levels, and the withdrawals in force.
func (m *Manager) assignmentCost(t *table) float64 {
	if t.assignCost > 0 {
		return t.assignCost
	}
	cost := 1 + len(t.publishedWeights) + len(t.publishedLevels)
	if m.hasZoneLocalClasses() {
		cost++ // the assignment to the zone-local part
	}
	for id := range t.publishedWeights {
		s := m.server(id)
		if s == nil {
			continue
		}
		weights := 1
		if m.isZoneLocal(t.id, s) {
			weights = 2
			cost++
		}
		if s.withdrawn {
			cost += weights
		}
	}
	t.assignCost = float64(cost)
	return t.assignCost
}

// cheapestAssignment returns the minimum cost of assigning an unassigned proxy, or infinity if none can be assigned.
func (m *Manager) cheapestAssignment() float64 {
	m.updateTableIndex()
	if len(m.unassigned) == 0 {
		return unlimited
	}
	if m.cheapestAssignCost == 0 {
		m.cheapestAssignCost = unlimited
		for _, t := range m.tables {
			if t.unassignedCount > 0 && m.assignable(t) {
				m.cheapestAssignCost = min(m.cheapestAssignCost, m.assignmentCost(t))
			}
		}
	}
	return m.cheapestAssignCost + m.newMessageCost()
}

// allAssignmentsCost returns the cost of assigning all unassigned proxies.
func (m *Manager) allAssignmentsCost() float64 {
	cost := 0.0
	for _, t := range m.tables {
		if t.unassignedCount > 0 {
			cost += float64(t.unassignedCount) * (m.assignmentCost(t) + m.messageCost())
		}
	}
	return cost
}
