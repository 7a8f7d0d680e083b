package balancer

import "time"

// publication is the state of publishing the tables: idle, due, or blocked. A blocked publication is due, but the
// channel has no room for changes that restore an invariant (see invariantChange).
type publication struct {
	due             bool
	urgent          bool          // must not wait until the next tick
	outdated        bool          // the endpoint list, the pin or the contents of the tables changed after the last distribution
	blockedAt       time.Duration // when the publication was last blocked
	smallestBlocked blockedChange // smallest change without room; no proxies: not blocked by the queue
	messageLimited  bool          // blocked by the message limit of a proxy
}

// blockedChange is the size of a change that restores an invariant and found no room in the channel.
type blockedChange struct {
	proxies  int     // number of recipients
	commands float64 // number of commands for each of them
}

func (c blockedChange) total() float64 { return float64(c.proxies) * c.commands }

// markDue makes the publication due. A blocked publication is tried again.
func (p *publication) markDue() {
	p.due = true
	p.clearBlocked()
}

func (p *publication) clearBlocked() {
	p.smallestBlocked = blockedChange{}
	p.messageLimited = false
}

// begin clears the due and blocked states; invariant changes that find no room during the publication block it again.
func (p *publication) begin() {
	p.due = false
	p.clearBlocked()
}

// block keeps the publication due until the smallest change without room fits, the next retry if a message limit blocks
// it, or the next tick.
func (p *publication) block(now time.Duration) {
	p.due = true
	p.blockedAt = now
}

// end finishes the publication, which stays urgent only if it is blocked.
func (p *publication) end() { p.urgent = p.urgent && p.due }

// noteBlocked records a change that found no room, and whether a message limit is the cause.
func (p *publication) noteBlocked(change blockedChange, messageLimited bool) {
	p.messageLimited = p.messageLimited || messageLimited
	if p.smallestBlocked.proxies == 0 || change.total() < p.smallestBlocked.total() {
		p.smallestBlocked = change
	}
}
