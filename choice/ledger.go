package choice

import (
	"slices"
	"time"
)

// The ledger counts what waits in the channel, at the slowest that a channel is taken to be until marks
// are answered, and the messages that each proxy was sent. What goes out by it is decided in choice.go.

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
	return cost <= m.spare(u)
}

// fresh is what a line costs for so many proxies, that get a message for it alone if none was written yet.
func (m *Manager) fresh(proxies int) float64 {
	return float64(proxies) * (1 + either(m.markedAt == m.now, 0, m.head+1))
}

// spare is how many lines there is room for.
func (m *Manager) spare(u urgency) float64 { return max(0, m.rooms[u]-m.waiting()) }

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

// waiting is what the ledger takes to wait in the channel: of the oldest batch, the part whose marks are
// not answered, less what the slowest channel has sent since the last answer.
func (m *Manager) waiting() float64 {
	if len(m.queue) == 0 {
		return 0
	}
	if !m.summed {
		m.sum, m.summed = 0, true
		for _, q := range m.queue {
			m.sum += q.lines * (1 - q.answered/max(q.sent, 1))
		}
	}
	return max(0, m.sum-m.slowPace*(m.now-m.queue[0].at).Seconds())
}

// post books lines for each proxy concerned, and a message and a mark for those that have none yet.
func (m *Manager) post(to []*proxy, lines float64) {
	if len(to) == 0 {
		return
	}
	if m.waiting() == 0 {
		m.queue = nil
	}
	m.summed = false
	if m.markedAt != m.now {
		m.mark, m.markedAt = m.mark%65535+1, m.now
		m.o.Mark = m.mark
		m.queue = append(m.queue, owed{mark: m.mark, at: m.now})
	}
	q := &m.queue[len(m.queue)-1]
	for _, p := range to {
		q.lines += lines
		if !p.written(m.now) {
			p.sent, q.lines, q.sent = append(p.sent, m.now), q.lines+m.head+1, q.sent+1
		}
	}
}

// unbook takes off the books what was ordered from a mark on, but for the first of it if that may have been
// carried out.
func (m *Manager) unbook(from MarkID, carried bool) {
	i := slices.IndexFunc(m.queue, func(q owed) bool { return q.mark == from })
	if i < 0 {
		return
	}
	if carried {
		i++
	}
	for _, q := range m.queue[i:] {
		for _, p := range m.proxies {
			p.sent = slices.DeleteFunc(p.sent, func(at time.Duration) bool { return at == q.at })
		}
	}
	m.queue, m.summed = m.queue[:i], false
}

// concerned are the proxies that get the n-th order, counted in the order of the fields, and its lines at each.
func (m *Manager) concerned(o Orders, n int) (to []*proxy, lines float64) {
	servers := slices.Concat(o.Withdraw, o.Readmit)
	if n >= len(o.Withdraw) {
		switch n -= len(o.Withdraw); {
		case n < len(o.Lines):
			return m.users(int(o.Lines[n].Table)), 1
		case n < len(o.Lines)+len(o.Levels):
			return m.users(int(o.Levels[n-len(o.Lines)].Table)), 1
		case n >= len(o.Lines)+len(o.Levels)+len(o.Readmit):
			b := o.Bind[n-len(o.Lines)-len(o.Levels)-len(o.Readmit)]
			if p := m.proxy(b.Proxy); p != nil {
				to = []*proxy{p}
			}
			return to, m.whole(m.tables[b.Table])
		}
		n += len(o.Withdraw) - len(o.Lines) - len(o.Levels)
	}
	if s := m.server(servers[n]); s != nil {
		to = m.holders(s)
	}
	return to, 1
}
