package fakes

import (
	"fmt"
	"time"
)

// lookForBare notes since when the proxies of a table have no server to pick, and that they have one again.
func (r *Relay) lookForBare(n int) {
	t, now := r.tables[n], time.Now()
	bare := true
	for s := range t.lines {
		bare = bare && r.pulled[s]
	}
	for _, p := range t.users {
		switch {
		case bare && p.bareAt.IsZero():
			p.bareAt = now
		case !bare && !p.bareAt.IsZero() && p.applied > 0:
			r.Rules.bare(now, p.id, now.Sub(p.bareAt))
			p.bareAt = time.Time{}
		}
	}
}

// channel sends what waits, at the site's pace.
func (r *Relay) channel() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-r.over:
			return
		case <-tick.C:
		}
		now := time.Now()
		r.mu.Lock()
		r.credit = min(r.credit+r.site.ChannelLinesPerSecond*r.pace*now.Sub(last).Seconds(), r.site.ChannelLinesPerSecond/20)
		last = now
		for len(r.queue) > 0 && r.credit >= r.queue[0].lines {
			m := r.queue[0]
			r.queue = r.queue[1:]
			r.credit -= m.lines
			r.waiting -= m.lines
			r.apply(now, m)
		}
		if len(r.queue) == 0 {
			r.queue, r.waiting = nil, 0
		}
		r.mu.Unlock()
	}
}

// apply is a proxy's taking over of a message.
func (r *Relay) apply(now time.Time, m message) {
	p := m.to
	p.applied++
	if t := r.tables[p.table]; m.binds && t != nil && !p.bareAt.IsZero() {
		bare := true
		for s := range t.lines {
			bare = bare && r.pulled[s]
		}
		if !bare {
			r.Rules.bare(now, p.id, now.Sub(p.bareAt))
			p.bareAt = time.Time{}
		}
	}
	r.Rules.applied(now, p.id, m.pulls)
	for _, mark := range m.marks {
		r.tell(fmt.Sprintf("event: applied\ndata: id=%d&seq=%d&ms=%.1f\n\n", p.id, mark, float64(now.Sub(m.at).Microseconds())/1000))
	}
}
