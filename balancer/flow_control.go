package balancer

import (
	"slices"
	"time"
)

const (
	// slowChannelFactor is how many times slower than stated the channel is taken to be until barriers are
	// acknowledged.
	slowChannelFactor = 8.0

	// queueShareNormal, queueShareUrgent and queueShareDrain are the parts of the queue that commands may use, by
	// priority.
	queueShareNormal = 0.5
	queueShareUrgent = 0.75
	queueShareDrain  = 0.9
	// messageShareNormal and messageShareUrgent are the parts of a proxy's messages that they may use; drains leave
	// one message.
	messageShareNormal = 0.6
	messageShareUrgent = 0.8
	// sendSecondsNormal and sendSecondsUrgent are the seconds of sending that may wait, in a queue that holds more.
	sendSecondsNormal = 1.0
	sendSecondsUrgent = 2.0
	// besideDrainsShare is the part of the normal commands that may go along with drains that go out late.
	besideDrainsShare = 0.5

	// maxBarrier is the largest number of a barrier; the next is 1.
	maxBarrier = 1<<16 - 1
)

// priority says how much of the channel commands may use.
type priority int

const (
	normalPriority priority = iota
	urgentPriority
	drainPriority
	priorityCount
)

// channel bounds what waits in the channel to the proxies, at the slowest that it is taken to be until barriers are
// acknowledged.
type channel struct {
	pending     []pendingBatch // by the time of the commands
	lastBarrier BarrierID
	barrierAt   time.Duration // of the last barrier

	leftSince float64       // commands that left of those sent, until leftFrom
	leftFrom  time.Duration // from then on they leave at the slowest rate

	totalsValid bool
	sent        float64 // commands of the batches that entered the channel
	unsent      float64 // commands of the others
}

// pendingBatch are the commands of one time that no acknowledged barrier shows to have left the channel.
type pendingBatch struct {
	barrier  BarrierID
	at       time.Duration // of the commands
	sent     bool          // they entered the channel
	commands float64
	byProxy  map[ProxyID]float64 // commands, of the proxies that did not acknowledge the barrier
}

// indexOf is the batch of a barrier, below 0 where there is none.
func (c *channel) indexOf(barrier BarrierID) int {
	return slices.IndexFunc(c.pending, func(b pendingBatch) bool { return b.barrier == barrier })
}

// queuedCommands bounds what waits in the channel, whatever becomes of the commands on their way. Commands wait whole
// until they are known to have entered the channel, since calls may come late and then together. From then on they
// leave at the slowest rate, and as barriers are acknowledged.
func (m *Manager) queuedCommands() float64 {
	c := &m.channel
	if !c.totalsValid {
		c.totalsValid = true
		c.sent = 0
		c.unsent = 0
		for _, batch := range c.pending {
			if batch.sent {
				c.sent += batch.commands
			} else {
				c.unsent += batch.commands
			}
		}
	}
	return m.queuedAfterSend() + c.unsent
}

// queuedAfterSend bounds what waits of the commands that entered the channel.
func (m *Manager) queuedAfterSend() float64 {
	c := &m.channel
	return max(0, c.sent-c.leftSince-m.slowestRate*(m.now-c.leftFrom).Seconds())
}

// available is how many commands of a priority there is room for.
func (m *Manager) available(priority priority) float64 {
	return max(0, min(m.sendableSoon[priority], m.queueLimits[priority])-m.queuedCommands())
}

// fits tells whether commands for each of these proxies fit into the queue and the messages that they may get.
func (m *Manager) fits(proxies []*proxy, commands float64, priority priority) bool {
	if !m.mayMessage(proxies, priority) {
		return false
	}
	cost := 0.0
	for _, p := range proxies {
		cost += commands
		if !p.hasMessage(m.now) {
			cost += m.messageCost()
		}
	}
	// what is too much to be sent soon at any time goes when nothing waits
	return cost <= m.available(priority) || cost <= m.queueLimits[priority] && m.queuedCommands() == 0
}

// messageCost is what a message costs besides its commands: its overhead and its barrier.
func (m *Manager) messageCost() float64 { return m.messageOverhead + 1 }

// newMessageCost is the same for a message that may have to be written for one command alone.
func (m *Manager) newMessageCost() float64 {
	if m.channel.barrierAt == m.now {
		return 0
	}
	return m.messageCost()
}

// singleCommandCost is what one command costs for so many proxies.
func (m *Manager) singleCommandCost(proxies int) float64 {
	return float64(proxies) * (1 + m.newMessageCost())
}

// hasMessage tells whether a proxy gets a message at this time anyway.
func (p *proxy) hasMessage(now time.Duration) bool {
	return len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == now
}

// mayMessage tells whether each of these proxies may get a further message.
func (m *Manager) mayMessage(proxies []*proxy, priority priority) bool {
	limit := m.messageLimits[priority]
	for _, p := range proxies {
		p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Duration) bool { return m.now-at > m.messageWindow })
		if limit > 0 && len(p.messageTimes) >= limit && !p.hasMessage(m.now) {
			return false
		}
	}
	return true
}

// reserve counts commands for each of these proxies, and a message and a barrier for those that have none yet.
func (m *Manager) reserve(proxies []*proxy, commands float64) {
	if len(proxies) == 0 {
		return
	}
	c := &m.channel
	if m.queuedCommands() == 0 {
		c.pending = nil
		c.leftSince = 0
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
		if !p.hasMessage(m.now) {
			p.messageTimes = append(p.messageTimes, m.now)
			cost += m.messageCost()
		}
		batch.commands += cost
		batch.byProxy[p.id] += cost
	}
}

// HandleCommandsSent takes that the commands up to a barrier entered the channel.
func (m *Manager) HandleCommandsSent(now time.Duration, barrier BarrierID) {
	m.now = now
	m.markSent(m.channel.indexOf(barrier))
}

// markSent lets the batches up to the one at an index leave from now on; what left of the batches before it stays
// released.
func (m *Manager) markSent(index int) {
	m.queuedCommands()
	c := &m.channel
	c.leftSince = c.sent - m.queuedAfterSend()
	c.leftFrom = m.now
	c.totalsValid = false
	for i := min(index, len(c.pending)-1); i >= 0 && !c.pending[i].sent; i-- {
		c.pending[i].sent = true
	}
}

// acknowledge releases what an acknowledged barrier shows to have left: all batches before its own, and of that one
// the message to the proxy. Messages differ in length, so that a short one does not release the long ones beside it.
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
	c.leftSince = 0
	c.leftFrom = m.now
}

// releaseUnsent releases what has not entered the channel but for the commands before a barrier, and those under it
// if they may have been carried out. All else is sent anew, and must not wait for the room that it holds itself.
func (m *Manager) releaseUnsent(from BarrierID, mayBeCarriedOut bool) {
	c := &m.channel
	index := c.indexOf(from)
	if !mayBeCarriedOut {
		index--
	}
	m.markSent(index)
	for _, batch := range c.pending {
		if batch.sent {
			continue
		}
		for _, p := range m.proxies {
			p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Duration) bool { return at == batch.at })
		}
	}
	c.pending = slices.DeleteFunc(c.pending, func(b pendingBatch) bool { return !b.sent })
	c.totalsValid = false
}

// Resend tells how many of the commands that are sent again, or late, may go now, and their barrier. They need room
// like all others, so that nothing overruns the queue once the relay is back. The commands under the barrier given may
// have been carried out.
func (m *Manager) Resend(now time.Duration, from BarrierID, mayBeCarriedOut bool, c Commands) (n int, barrier BarrierID) {
	m.now = now
	m.releaseUnsent(from, mayBeCarriedOut)
	for n < c.Count() {
		proxies, commands := m.recipients(c, n)
		priority := urgentPriority
		if n < len(c.Withdraw) {
			priority = drainPriority
		}
		if !m.mayGoBesideDrains(c, n) || !m.fits(proxies, commands, priority) {
			break
		}
		m.reserve(proxies, commands)
		n++
	}
	barrier = m.commands.Barrier
	m.commands = Commands{}
	return n, barrier
}

// mayGoBesideDrains tells whether the n-th command may go along with the drains before it, which are as late as all of
// a proxy's message.
func (m *Manager) mayGoBesideDrains(c Commands, n int) bool {
	if n < len(c.Withdraw) || len(c.Withdraw) == 0 {
		return true
	}
	return m.queuedCommands() <= besideDrainsShare*m.sendableSoon[normalPriority]
}

// recipients are the proxies that get the n-th command, counted in the order of the fields, and what it costs at each.
func (m *Manager) recipients(c Commands, n int) (proxies []*proxy, commands float64) {
	if n < len(c.Withdraw) {
		return m.holdersOf(c.Withdraw[n]), 1
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
		return m.holdersOf(c.Restore[n]), 1
	}
	n -= len(c.Restore)
	assignment := c.Assign[n]
	if p := m.proxy(assignment.Proxy); p != nil {
		proxies = []*proxy{p}
	}
	return proxies, m.assignmentCost(m.tables[assignment.Table&^ZoneLocalTables])
}

// holdersOf are the proxies whose tables name a server, none if it is not known.
func (m *Manager) holdersOf(id ServerID) []*proxy {
	if s := m.server(id); s != nil {
		return m.holders(s)
	}
	return nil
}

// assignmentCost is how many commands a proxy gets that is put on a table.
func (m *Manager) assignmentCost(t *table) float64 {
	if t.assignCost > 0 {
		return t.assignCost
	}
	cost := 1 + len(t.published) + len(t.publishedLevels)
	if m.hasZoneLocalClasses() {
		cost++ // the assignment to the zone-local part
	}
	for id := range t.published {
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

// cheapestAssignment is what the cheapest assignment of an unassigned proxy costs; infinite where none can be assigned.
func (m *Manager) cheapestAssignment() float64 {
	m.updatePlacement()
	if len(m.unassigned) == 0 {
		return unlimited
	}
	if m.cheapestAssign == 0 {
		m.cheapestAssign = unlimited
		for _, t := range m.tables {
			if t.unassigned > 0 && m.assignable(t) {
				m.cheapestAssign = min(m.cheapestAssign, m.assignmentCost(t))
			}
		}
	}
	return m.cheapestAssign + m.newMessageCost()
}

// allAssignmentsCost is what the assignments of all unassigned proxies cost.
func (m *Manager) allAssignmentsCost() float64 {
	cost := 0.0
	for _, t := range m.tables {
		if t.unassigned > 0 {
			cost += float64(t.unassigned) * (m.assignmentCost(t) + m.messageCost())
		}
	}
	return cost
}
