package balancer

import (
	"slices"
	"time"
)

// The ledger bounds what waits in the channel, at the slowest that a channel is taken to be until marks
// are answered, and counts the messages that each proxy was sent. What goes out by it is decided in choice.go.

// room tells whether lines for each of these proxies fit into the queue and the messages they may get.
func (m *Manager) fits(to []*proxy, lines float64, u priority) bool {
	if !m.mayMessage(to, u) {
		return false
	}
	cost := 0.0
	for _, p := range to {
		cost += lines
		if !p.hasMessage(m.now) {
			cost += m.messageOverhead + 1
		}
	}
	// what is more than ever leaves soon goes when nothing waits
	return cost <= m.available(u) || cost <= m.queueLimits[u] && m.queuedCommands() == 0
}

// fresh is what a line costs for so many proxies, that get a message for it alone if none was written yet.
func (m *Manager) singleCommandCost(proxies int) float64 {
	return float64(proxies) * (1 + either(m.barrierAt == m.now, 0, m.messageOverhead+1))
}

// spare is how many lines there is room for.
func (m *Manager) available(u priority) float64 {
	return max(0, min(m.sendableSoon[u], m.queueLimits[u])-m.queuedCommands())
}

// written tells whether a proxy gets a message at this time anyway.
func (p *proxy) hasMessage(now time.Duration) bool {
	return len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == now
}

// mayWrite tells whether each of these proxies may get a further message.
func (m *Manager) mayMessage(to []*proxy, u priority) bool {
	for _, p := range to {
		p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Duration) bool { return m.now-at > m.messageWindow })
		if most := m.messageLimits[u]; most > 0 && len(p.messageTimes) >= most && !p.hasMessage(m.now) {
			return false
		}
	}
	return true
}

// waiting bounds what waits in the channel, whatever becomes of the orders on their way. What was ordered waits whole
// until it is known to have entered the channel: guards against calls that come late and then together. From then on
// it leaves as the slowest channel sends, and as marks are answered.
func (m *Manager) queuedCommands() float64 {
	if !m.queueSummed {
		m.sentCommands, m.unsentCommands, m.queueSummed = 0, 0, true
		for _, q := range m.pending {
			if q.sent {
				m.sentCommands += q.commands
			} else {
				m.unsentCommands += q.commands
			}
		}
	}
	return m.queuedAfterSend() + m.unsentCommands
}

// left bounds what waits of what entered.
func (m *Manager) queuedAfterSend() float64 {
	return max(0, m.sentCommands-m.leftSince-m.slowestRate*(m.now-m.leftFrom).Seconds())
}

// post books lines for each proxy concerned, and a message and a mark for those that have none yet.
func (m *Manager) reserve(to []*proxy, lines float64) {
	if len(to) == 0 {
		return
	}
	if m.queuedCommands() == 0 {
		m.pending, m.leftSince = nil, 0
	}
	m.queueSummed = false
	if m.barrierAt != m.now {
		m.lastBarrier, m.barrierAt = m.lastBarrier%65535+1, m.now
		m.commands.Barrier = m.lastBarrier
		m.pending = append(m.pending, pendingBatch{barrier: m.lastBarrier, at: m.now, byProxy: map[ProxyID]float64{}})
	}
	q := &m.pending[len(m.pending)-1]
	for _, p := range to {
		cost := lines
		if !p.hasMessage(m.now) {
			p.messageTimes, cost = append(p.messageTimes, m.now), cost+m.messageOverhead+1
		}
		q.commands, q.byProxy[p.id] = q.commands+cost, q.byProxy[p.id]+cost
	}
}

// Entered notes that what was ordered up to a mark is in the channel.
func (m *Manager) HandleCommandsSent(now time.Duration, mark BarrierID) {
	m.now = now
	m.markSent(slices.IndexFunc(m.pending, func(q pendingBatch) bool { return q.barrier == mark }))
}

// enters lets the queue up to its i-th part leave from now on; what left of the parts before it stays off the books.
func (m *Manager) markSent(i int) {
	m.queuedCommands()
	m.leftSince, m.leftFrom, m.queueSummed = m.sentCommands-m.queuedAfterSend(), m.now, false
	for i = min(i, len(m.pending)-1); i >= 0 && !m.pending[i].sent; i-- {
		m.pending[i].sent = true
	}
}

// answered takes off the books what an answered mark shows to have left: all before its part, and of that the message
// to who answers. Messages differ in length: guards against short ones that are answered first and count for long ones.
func (m *Manager) acknowledge(id ProxyID, mark BarrierID) {
	i := slices.IndexFunc(m.pending, func(q pendingBatch) bool { return q.barrier == mark })
	if i < 0 {
		return
	}
	m.markSent(i)
	m.pending = slices.Delete(m.pending, 0, i)
	q := &m.pending[0]
	q.commands -= q.byProxy[id]
	delete(q.byProxy, id)
	m.leftSince, m.leftFrom = 0, m.now
}

// unbook takes off the books what has not entered the channel, but for what was ordered before a mark, and under it if
// that may have been carried out, wholly or in part. All else goes out anew: guards against orders that wait for ever
// for the room that they themselves are booked in.
func (m *Manager) releaseUnsent(from BarrierID, carried bool) {
	i := slices.IndexFunc(m.pending, func(q pendingBatch) bool { return q.barrier == from })
	m.markSent(either(carried, i, i-1))
	for _, q := range m.pending {
		for _, p := range m.proxies {
			p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Duration) bool { return !q.sent && at == q.at })
		}
	}
	m.pending, m.queueSummed = slices.DeleteFunc(m.pending, func(q pendingBatch) bool { return !q.sent }), false
}

// concerned are the proxies that get the n-th order, counted in the order of the fields, and its lines at each.
func (m *Manager) recipients(o Commands, n int) (to []*proxy, lines float64) {
	servers := slices.Concat(o.Withdraw, o.Restore)
	if n >= len(o.Withdraw) {
		switch n -= len(o.Withdraw); {
		case n < len(o.Weights):
			return m.tableProxies(int(o.Weights[n].Table &^ ZoneLocalTables)), 1
		case n < len(o.Weights)+len(o.AdmissionLevels):
			return m.tableProxies(int(o.AdmissionLevels[n-len(o.Weights)].Table &^ ZoneLocalTables)), 1
		case n >= len(o.Weights)+len(o.AdmissionLevels)+len(o.Restore):
			b := o.Assign[n-len(o.Weights)-len(o.AdmissionLevels)-len(o.Restore)]
			if p := m.proxy(b.Proxy); p != nil {
				to = []*proxy{p}
			}
			return to, m.assignmentCost(m.tables[b.Table&^ZoneLocalTables])
		}
		n += len(o.Withdraw) - len(o.Weights) - len(o.AdmissionLevels)
	}
	if s := m.server(servers[n]); s != nil {
		to = m.holders(s)
	}
	return to, 1
}
