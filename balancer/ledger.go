package balancer

import (
	"slices"
	"time"
)

// The ledger bounds what waits in the channel, at the slowest that a channel is taken to be until marks
// are answered, and counts the messages that each proxy was sent. What goes out by it is decided in choice.go.

// room tells whether lines for each of these proxies fit into the queue and the messages they may get.
func (m *Manager) room(to []*proxy, lines float64, u urgency) bool {
	if !m.mayWrite(to, u) {
		return false
	}
	cost := 0.0
	for _, p := range to {
		cost += lines
		if !p.written(m.now) {
			cost += m.head + 1
		}
	}
	// what is more than ever leaves soon goes when nothing waits
	return cost <= m.spare(u) || cost <= m.rooms[u] && m.waiting() == 0
}

// fresh is what a line costs for so many proxies, that get a message for it alone if none was written yet.
func (m *Manager) fresh(proxies int) float64 {
	return float64(proxies) * (1 + either(m.markedAt == m.now, 0, m.head+1))
}

// spare is how many lines there is room for.
func (m *Manager) spare(u urgency) float64 { return max(0, min(m.soon[u], m.rooms[u])-m.waiting()) }

// written tells whether a proxy gets a message at this time anyway.
func (p *proxy) written(now time.Duration) bool {
	return len(p.sent) > 0 && p.sent[len(p.sent)-1] == now
}

// mayWrite tells whether each of these proxies may get a further message.
func (m *Manager) mayWrite(to []*proxy, u urgency) bool {
	for _, p := range to {
		p.sent = slices.DeleteFunc(p.sent, func(at time.Duration) bool { return m.now-at > m.span })
		if most := m.perProxy[u]; most > 0 && len(p.sent) >= most && !p.written(m.now) {
			return false
		}
	}
	return true
}

// waiting bounds what waits in the channel, whatever becomes of the orders on their way. What was ordered waits whole
// until it is known to have entered the channel: guards against calls that come late and then together. From then on
// it leaves as the slowest channel sends, and as marks are answered.
func (m *Manager) waiting() float64 {
	if !m.summed {
		m.inside, m.outside, m.summed = 0, 0, true
		for _, q := range m.queue {
			if q.entered {
				m.inside += q.lines
			} else {
				m.outside += q.lines
			}
		}
	}
	return m.left() + m.outside
}

// left bounds what waits of what entered.
func (m *Manager) left() float64 {
	return max(0, m.inside-m.sent-m.slowPace*(m.now-m.sentFrom).Seconds())
}

// post books lines for each proxy concerned, and a message and a mark for those that have none yet.
func (m *Manager) post(to []*proxy, lines float64) {
	if len(to) == 0 {
		return
	}
	if m.waiting() == 0 {
		m.queue, m.sent = nil, 0
	}
	m.summed = false
	if m.markedAt != m.now {
		m.mark, m.markedAt = m.mark%65535+1, m.now
		m.o.Barrier = m.mark
		m.queue = append(m.queue, owed{mark: m.mark, at: m.now, of: map[ProxyID]float64{}})
	}
	q := &m.queue[len(m.queue)-1]
	for _, p := range to {
		cost := lines
		if !p.written(m.now) {
			p.sent, cost = append(p.sent, m.now), cost+m.head+1
		}
		q.lines, q.of[p.id] = q.lines+cost, q.of[p.id]+cost
	}
}

// Entered notes that what was ordered up to a mark is in the channel.
func (m *Manager) HandleCommandsSent(now time.Duration, mark BarrierID) {
	m.now = now
	m.enters(slices.IndexFunc(m.queue, func(q owed) bool { return q.mark == mark }))
}

// enters lets the queue up to its i-th part leave from now on; what left of the parts before it stays off the books.
func (m *Manager) enters(i int) {
	m.waiting()
	m.sent, m.sentFrom, m.summed = m.inside-m.left(), m.now, false
	for i = min(i, len(m.queue)-1); i >= 0 && !m.queue[i].entered; i-- {
		m.queue[i].entered = true
	}
}

// answered takes off the books what an answered mark shows to have left: all before its part, and of that the message
// to who answers. Messages differ in length: guards against short ones that are answered first and count for long ones.
func (m *Manager) answered(id ProxyID, mark BarrierID) {
	i := slices.IndexFunc(m.queue, func(q owed) bool { return q.mark == mark })
	if i < 0 {
		return
	}
	m.enters(i)
	m.queue = slices.Delete(m.queue, 0, i)
	q := &m.queue[0]
	q.lines -= q.of[id]
	delete(q.of, id)
	m.sent, m.sentFrom = 0, m.now
}

// unbook takes off the books what has not entered the channel, but for what was ordered before a mark, and under it if
// that may have been carried out, wholly or in part. All else goes out anew: guards against orders that wait for ever
// for the room that they themselves are booked in.
func (m *Manager) unbook(from BarrierID, carried bool) {
	i := slices.IndexFunc(m.queue, func(q owed) bool { return q.mark == from })
	m.enters(either(carried, i, i-1))
	for _, q := range m.queue {
		for _, p := range m.proxies {
			p.sent = slices.DeleteFunc(p.sent, func(at time.Duration) bool { return !q.entered && at == q.at })
		}
	}
	m.queue, m.summed = slices.DeleteFunc(m.queue, func(q owed) bool { return !q.entered }), false
}

// concerned are the proxies that get the n-th order, counted in the order of the fields, and its lines at each.
func (m *Manager) concerned(o Commands, n int) (to []*proxy, lines float64) {
	servers := slices.Concat(o.Withdraw, o.Restore)
	if n >= len(o.Withdraw) {
		switch n -= len(o.Withdraw); {
		case n < len(o.Weights):
			return m.users(int(o.Weights[n].Table &^ ZoneLocalTables)), 1
		case n < len(o.Weights)+len(o.AdmissionLevels):
			return m.users(int(o.AdmissionLevels[n-len(o.Weights)].Table &^ ZoneLocalTables)), 1
		case n >= len(o.Weights)+len(o.AdmissionLevels)+len(o.Restore):
			b := o.Assign[n-len(o.Weights)-len(o.AdmissionLevels)-len(o.Restore)]
			if p := m.proxy(b.Proxy); p != nil {
				to = []*proxy{p}
			}
			return to, m.whole(m.tables[b.Table&^ZoneLocalTables])
		}
		n += len(o.Withdraw) - len(o.Weights) - len(o.AdmissionLevels)
	}
	if s := m.server(servers[n]); s != nil {
		to = m.holders(s)
	}
	return to, 1
}
