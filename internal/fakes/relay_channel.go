package fakes

import "time"

const (
	channelInterval = 2 * time.Millisecond // interval between two checks of the queue
	burstsPerSecond = 20                   // a burst has at most 1/20 of the commands that the channel may send per second
)

// checkEmptyTable starts the empty period of each proxy on a table if the table has no usable server. Otherwise it ends the
// period, except for proxies that have applied no message yet.
func (r *Relay) checkEmptyTable(t *table) {
	now := time.Now()
	empty := !t.hasUsableServer(r.withdrawn)
	for _, p := range t.proxies {
		switch {
		case empty && p.emptySince.IsZero():
			p.emptySince = now
		case !empty && p.messagesApplied > 0:
			r.endEmptyPeriod(p, now)
		}
	}
}

// endEmptyPeriod ends the time in which a proxy had no usable server and checks its duration.
func (r *Relay) endEmptyPeriod(p *proxy, now time.Time) {
	if p.emptySince.IsZero() {
		return
	}
	r.Rules.checkEmptyPeriod(now, p.id, now.Sub(p.emptySince))
	p.emptySince = time.Time{}
}

// runChannel sends queued messages at the rate of the site's channel until the relay is closed.
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

// sendQueued adds the credit for the elapsed time and sends as many queued messages as the credit covers.
func (r *Relay) sendQueued(now time.Time, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	commandsPerSecond := r.site.CommandsPerSecond
	r.credit = min(r.credit+commandsPerSecond*r.speed*elapsed.Seconds(), commandsPerSecond/burstsPerSecond)
	for len(r.queue) > 0 && r.credit >= r.queue[0].size {
		m := r.queue[0]
		r.queue = r.queue[1:]
		r.credit -= m.size
		r.queuedCommands -= m.size
		r.apply(now, m)
	}
	if len(r.queue) == 0 {
		r.queue = nil
		r.queuedCommands = 0
	}
}

// apply applies the assignment, the withdrawals and the barriers of a message at its proxy.
func (r *Relay) apply(now time.Time, m message) {
	p := m.to
	p.messagesApplied++
	if t := r.tables[p.table]; m.assigns && t != nil && t.hasUsableServer(r.withdrawn) {
		r.endEmptyPeriod(p, now)
	}
	r.Rules.withdrawalsApplied(now, m.withdrawn)
	for _, barrier := range m.barriers {
		r.publish(applied(p.id, barrier, float64(now.Sub(m.sentAt).Microseconds())/1000))
	}
}
