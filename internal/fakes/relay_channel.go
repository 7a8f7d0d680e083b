package fakes

import "time"

const (
	channelInterval = 2 * time.Millisecond // between two looks at the queue
	burstsPerSecond = 20                   // the channel sends at most so large a part of a second's lines at once
)

// checkEmptyTable notes since when the users of a table have no server to pick, and that they have one again.
func (r *Relay) checkEmptyTable(t *table) {
	now := time.Now()
	empty := !t.hasUsableServer(r.withdrawn)
	for _, p := range t.users {
		switch {
		case empty && p.emptySince.IsZero():
			p.emptySince = now
		case !empty && p.messagesApplied > 0:
			r.endEmptyTime(p, now)
		}
	}
}

// endEmptyTime notes that a proxy has a server to pick, and judges how long it had none.
func (r *Relay) endEmptyTime(p *proxy, now time.Time) {
	if p.emptySince.IsZero() {
		return
	}
	r.Rules.checkEmptyTime(now, p.id, now.Sub(p.emptySince))
	p.emptySince = time.Time{}
}

// runChannel sends what waits, at the site's pace, until the relay is closed.
func (r *Relay) runChannel() {
	ticker := time.NewTicker(channelInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-r.closed:
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.sendQueued(now, now.Sub(last))
		last = now
	}
}

// sendQueued sends as many messages as the channel has lines for after a span of time.
func (r *Relay) sendQueued(now time.Time, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pace := r.site.ChannelLinesPerSecond
	r.credit = min(r.credit+pace*r.speed*elapsed.Seconds(), pace/burstsPerSecond)
	for len(r.queue) > 0 && r.credit >= r.queue[0].lines {
		m := r.queue[0]
		r.queue = r.queue[1:]
		r.credit -= m.lines
		r.queuedLines -= m.lines
		r.apply(now, m)
	}
	if len(r.queue) == 0 {
		r.queue = nil
		r.queuedLines = 0
	}
}

// apply has a proxy apply a message: its assignment, its withdrawals and its barriers.
func (r *Relay) apply(now time.Time, m message) {
	p := m.to
	p.messagesApplied++
	if t := r.tables[p.table]; m.assigns && t != nil && t.hasUsableServer(r.withdrawn) {
		r.endEmptyTime(p, now)
	}
	r.Rules.withdrawalsApplied(now, m.withdrawn)
	for _, barrier := range m.barriers {
		r.publish(applied(p.id, barrier, float64(now.Sub(m.sentAt).Microseconds())/1000))
	}
}
