package versions

import (
	"slices"
	"time"

	"tamarindshore/client/tables"
)

// Trying says how often something is sent to a holder that does not answer or refuses.
type RetrySettings struct {
	AckTimeout                 time.Duration // from a version sent until it counts as lost
	InitialBackoff, MaxBackoff time.Duration // between two tries; doubled each time, spread by chance between a half and all of it
}

// UsualTrying is that of holders on a network of ours.
func DefaultRetrySettings() RetrySettings {
	return RetrySettings{AckTimeout: 2 * time.Second, InitialBackoff: 250 * time.Millisecond, MaxBackoff: 30 * time.Second}
}

// Peer decides what one holder is sent: the newest version, as a delta where what it holds is kept, else whole; one at
// a time; again with growing waits where it refuses or does not answer; nothing more where another writer has taken
// over.
type Peer struct {
	t      RetrySettings
	chance uint64
	held   tables.VersionRef
	sent   *Version // that waits for its answer
	sentAt time.Duration
	again  time.Duration // nothing is sent before
	tries  int           // without success
	whole  bool          // it asked for a whole one, or refused a delta
	over   bool          // another writer has taken over
	reason tables.Outcome
}

// View is what a chain has kept at one time. It never changes, so that others may read it.
type View struct {
	kept []*Version
	head *Version
}

// View is what is kept now.
func (c *Chain) View() View { return View{slices.Clone(c.versions), c.Head()} }

// Head is the newest version; nil before the first.
func (c View) Head() *Version { return c.head }

// NewPeer begins with what a holder says it holds.
func NewPeer(t RetrySettings, held tables.VersionRef, seed uint64) *Peer {
	return &Peer{t: t, held: held, chance: seed*2862933555777941757 + 3037000493}
}

// Held is what it last said it holds.
func (p *Peer) Version() tables.VersionRef { return p.held }

// Over tells that another writer has taken over its holder.
func (p *Peer) Superseded() bool { return p.over }

// Tries is how often it was tried since the last success, and the last refusal.
func (p *Peer) FailedAttempts() (int, tables.Outcome) { return p.tries, p.reason }

// Next gives what is to be sent now, or else when to ask again; 0 means once there is a newer version or an answer.
func (p *Peer) NextDelta(now time.Duration, c View) (d *tables.Delta, wake time.Duration) {
	head := c.Head()
	switch {
	case head == nil || p.over || p.held == (tables.VersionRef{ID: head.ID, Digest: head.Digest}):
		return nil, 0
	case p.sent != nil && now-p.sentAt < p.t.AckTimeout:
		return nil, p.sentAt + p.t.AckTimeout
	case p.sent != nil: // lost on its way, or the answer was
		p.fail(now)
		p.whole = true
	}
	if now < p.again {
		return nil, p.again
	}
	p.sent, p.sentAt = head, now
	return c.lead(p.held, p.whole), now + p.t.AckTimeout
}

// lead makes what brings a holder to the newest version: from what it holds if that is kept, else from nothing.
func (c View) lead(held tables.VersionRef, whole bool) *tables.Delta {
	head := c.Head()
	d := &tables.Delta{ID: head.ID, BaseDigest: tables.EmptyState().Digest(), Digest: head.Digest, CreatedAtMs: uint64(head.CreatedAt.UnixMilli()), Cause: head.Cause}
	from := tables.EmptyState()
	for _, v := range c.kept {
		if !whole && v.ID == held.ID && v.Digest == held.Digest {
			d.Base, d.BaseDigest, from = v.ID, v.Digest, v.State
		}
	}
	d.Ops = tables.Diff(from, head.State)
	return d
}

// fail puts off the next try.
func (p *Peer) fail(now time.Duration) {
	p.sent, p.tries = nil, p.tries+1
	wait := p.t.InitialBackoff << min(p.tries-1, 20)
	if wait <= 0 || wait > p.t.MaxBackoff {
		wait = p.t.MaxBackoff
	}
	p.chance = p.chance*6364136223846793005 + 1442695040888963407
	p.again = now + wait/2 + time.Duration(float64(wait/2)*float64(p.chance>>11)/(1<<53))
}

// Acked says that the holder runs a version.
func (p *Peer) HandleAck(held tables.VersionRef) {
	p.held, p.reason = held, tables.Applied
	if p.sent != nil && held.ID == p.sent.ID {
		p.sent, p.tries, p.whole, p.again = nil, 0, false, 0
	}
}

// Refused says that the holder refused what it was sent, and what it runs.
func (p *Peer) HandleRejection(now time.Duration, why tables.Outcome, held tables.VersionRef) {
	p.held, p.reason = held, why
	switch why {
	case tables.AlreadyApplied:
		p.sent = nil
		return
	case tables.OlderEpoch:
		p.over = true
	case tables.Gap, tables.UnknownBase, tables.WrongDigest, tables.Conflict:
		p.whole = true
	}
	p.fail(now)
}

// AskedWhole says that the holder wants a whole table. What is under way is given up.
func (p *Peer) HandleSnapshotRequest(held tables.VersionRef) {
	p.held, p.whole, p.sent = held, true, nil
}
