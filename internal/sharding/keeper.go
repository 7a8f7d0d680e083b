// How to call: NewKeeper makes a keeper from its terms; then one method for each thing it learns (Opened, Closed,
// Held, Taken, Worked, Looked, Failed), with the time since the start. Each returns Acts, to be carried out in the
// order of their fields. A connection moves in four steps: its owner holds it, what it left is carried as it is, the
// new owner takes over under the next epoch, and the old one lets go. A lane that is lost skips the first step: what
// it still brings has an older epoch. The logic is the list `rules`, gone through after every input until none fires.

package sharding

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	gapMost    = 0.2  // of a core, between the busiest lane and the idlest, before work is spread
	gapLess    = 0.15 // part of that gap that a move must close
	unmeasured = 0.01 // of a core, that a connection counts for before it is measured, and at least
	windows    = 3    // whose work is kept of a connection
	restMost   = 8    // times that the rest of a failing lane is doubled at most
	spoilsMost = 2    // times that a connection brings its lane down before it is closed
)

type step int

const (
	settled step = iota
	holding      // the owner was told to hold it
	taking       // a new owner was named, and has not begun
)

type conn struct {
	id      ConnID
	owner   Owner
	was     Owner // while it is taken over
	step    step
	to      ShardID // while it is held
	since   time.Duration
	movedAt time.Duration
	moved   bool
	work    []float64 // cores, by window, the last ones
	spoilt  int
}

type lane struct {
	conns   map[ConnID]*conn
	sum     float64         // cores that they take
	busy    int             // looks in a row at which one piece of work took too long
	fails   []time.Duration // lately
	rests   time.Duration   // until then it gets no connections; 0: it works
	restFor time.Duration
}

// Keeper owns who owns what.
type Assigner struct {
	t        Settings
	now      time.Duration
	a        Actions
	conns    map[ConnID]*conn
	lanes    []*lane
	lost     []ShardID // failed, and not dealt with
	moves    []time.Duration
	measured bool // a window is over
	lookedAt time.Duration
	held     []*conn // that are held, oldest first
}

// NewKeeper makes a keeper whose lanes own nothing.
func NewAssigner(t Settings) *Assigner {
	k := &Assigner{t: t, conns: map[ConnID]*conn{}, lookedAt: -1}
	for range t.Shards {
		k.lanes = append(k.lanes, &lane{conns: map[ConnID]*conn{}, restFor: t.QuarantineDuration})
	}
	return k
}

type rule struct {
	when func(*Assigner) bool
	then func(*Assigner)
}

// rules are gone through in this order after every input; each effect makes its condition false.
var rules = []rule{
	{(*Assigner).laneLost, (*Assigner).dealAnew},
	{(*Assigner).holdOverdue, (*Assigner).callOff},
	{(*Assigner).rested, (*Assigner).wakeLane},
	{(*Assigner).uneven, (*Assigner).spread},
}

func (k *Assigner) decide() Actions {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(k) {
			rules[i].then(k)
			i = -1
		}
	}
	a := k.a
	k.a = Actions{}
	return a
}

func (k *Assigner) note(format string, figures ...any) {
	k.a.LogRecords = append(k.a.LogRecords, fmt.Sprintf(format, figures...))
}

// Opened gives a connection its first owner: the lane that has least to do.
func (k *Assigner) HandleConnOpened(now time.Duration, id ConnID) Actions {
	k.now = now
	if _, known := k.conns[id]; !known {
		c := &conn{id: id, since: now}
		k.conns[id] = c
		k.give(c, k.idlest(-1))
	}
	return k.decide()
}

// give makes a lane the owner of a connection, under the next epoch.
func (k *Assigner) give(c *conn, to ShardID) {
	if c.owner.Epoch > 0 {
		k.lanes[c.owner.Shard].drop(c)
		c.was, c.step = c.owner, taking
	}
	k.unhold(c)
	c.owner = Owner{to, c.owner.Epoch + 1}
	k.lanes[to].add(c)
	k.a.Assign = append(k.a.Assign, Assignment{c.id, c.owner})
}

func (k *Assigner) unhold(c *conn) {
	if i := slices.Index(k.held, c); i >= 0 {
		k.held = slices.Delete(k.held, i, i+1)
	}
}

// Closed forgets a connection, in whatever step it is.
func (k *Assigner) HandleConnClosed(now time.Duration, id ConnID) Actions {
	k.now = now
	if c := k.conns[id]; c != nil {
		k.unhold(c)
		k.lanes[c.owner.Shard].drop(c)
		delete(k.conns, id)
	}
	return k.decide()
}

// Held says that an owner has stopped. Where the move was called off meanwhile, the same lane goes on under the next
// epoch: guards against a connection that nobody serves.
func (k *Assigner) HandleConnDrained(now time.Duration, id ConnID, e Epoch) Actions {
	k.now = now
	if c := k.conns[id]; c != nil && c.owner.Epoch == e {
		to := c.owner.Shard
		if c.step == holding && k.works(c.to) {
			to = c.to
		}
		c.movedAt, c.moved = now, c.moved || to != c.owner.Shard
		k.give(c, to)
	}
	return k.decide()
}

// Taken says that a new owner has begun: the one before may forget the connection.
func (k *Assigner) HandleConnAcquired(now time.Duration, id ConnID, e Epoch) Actions {
	k.now = now
	if c := k.conns[id]; c != nil && c.owner.Epoch == e && c.step == taking {
		c.step = settled
		k.a.Release = append(k.a.Release, Assignment{id, c.was})
	}
	return k.decide()
}

// Worked tells how many cores each connection's work took in the window that is over. All that are not told did
// nothing.
func (k *Assigner) HandleLoad(now time.Duration, cores map[ConnID]float64) Actions {
	k.now = now
	for id, c := range k.conns {
		c.work = append(c.work, cores[id])
		c.work = c.work[max(0, len(c.work)-windows):]
	}
	for i, l := range k.lanes {
		l.sum = 0
		for _, c := range k.owned(ShardID(i)) {
			l.sum += c.load()
		}
	}
	k.measured = true
	return k.decide()
}

// Looked tells for how long each lane has been at one piece of work; below 0: it waits for some. Guards against a
// lane that stands still; a look that comes late itself says nothing, for then all stood still.
func (k *Assigner) HandleWorkerCheck(now time.Duration, at []time.Duration) Actions {
	k.now = now
	late := k.lookedAt < 0 || now-k.lookedAt > 2*k.t.CheckInterval
	k.lookedAt = now
	for i, l := range k.lanes {
		switch {
		case at[i] < k.t.StallTimeout:
			l.busy = 0
		case !late:
			l.busy++
		}
		if l.busy >= 2 {
			k.note("lane %d stands still: %.2fs at one piece of work", i, at[i].Seconds())
			k.lost, l.busy = append(k.lost, ShardID(i)), 0
		}
	}
	return k.decide()
}

// Failed tells that a lane's worker ended by a fault, while it worked for a connection. One that brings its lane down
// again is closed: guards against a connection that takes one lane after another with it.
func (k *Assigner) HandleWorkerFailed(now time.Duration, id ShardID, by ConnID) Actions {
	k.now = now
	if c := k.conns[by]; c != nil {
		if c.spoilt++; c.spoilt >= spoilsMost {
			k.a.Close = append(k.a.Close, by)
			k.note("connection %d closed: lanes failed over it %d times", by, c.spoilt)
		}
	}
	k.lost = append(k.lost, id)
	return k.decide()
}

func (k *Assigner) works(id ShardID) bool {
	return k.lanes[id].rests == 0 && !slices.Contains(k.lost, id)
}

func (c *conn) load() float64 {
	sum := 0.0
	for _, w := range c.work {
		sum += w
	}
	return max(unmeasured, sum/float64(max(1, len(c.work))))
}

func (l *lane) add(c *conn) {
	l.conns[c.id] = c
	l.sum += c.load()
}

func (l *lane) drop(c *conn) {
	delete(l.conns, c.id)
	l.sum -= c.load()
}

// idlest is the lane with least to do of those that work, another one than that named if there is any.
func (k *Assigner) idlest(but ShardID) ShardID {
	best, least := max(but, 0), math.Inf(1)
	for i, l := range k.lanes {
		if id := ShardID(i); id != but && k.works(id) && l.sum < least {
			best, least = id, l.sum
		}
	}
	return best
}

func (k *Assigner) laneLost() bool { return len(k.lost) > 0 }

// dealAnew gives a lane another worker, and its connections to the others, each under its next epoch. A lane that
// fails often rests, unless no other works.
func (k *Assigner) dealAnew() {
	id := k.lost[0]
	k.lost = k.lost[1:]
	l := k.lanes[id]
	l.fails = slices.DeleteFunc(append(l.fails, k.now), func(at time.Duration) bool { return k.now-at > k.t.FailureWindow })
	others := slices.ContainsFunc(k.lanes, func(o *lane) bool { return o != l && o.rests == 0 })
	if len(l.fails) >= k.t.MaxFailures && others {
		l.rests, l.fails = k.now+l.restFor, nil
		k.note("lane %d rests for %.0fs after %d failures", id, l.restFor.Seconds(), k.t.MaxFailures)
		l.restFor = min(2*l.restFor, restMost*k.t.QuarantineDuration)
	}
	k.a.RestartWorkers = append(k.a.RestartWorkers, id)
	n := len(l.conns)
	for _, c := range k.owned(id) {
		k.give(c, k.idlest(id))
	}
	k.note("lane %d begins anew: %d connections go to others", id, n)
}

// owned are a lane's connections by number.
func (k *Assigner) owned(id ShardID) (all []*conn) {
	for _, c := range k.lanes[id].conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return all
}

func (k *Assigner) holdOverdue() bool {
	return len(k.held) > 0 && k.now-k.held[0].since >= k.t.DrainTimeout
}

// callOff ends a move whose owner does not answer. If it still does, Held names an owner.
func (k *Assigner) callOff() {
	c := k.held[0]
	k.held = k.held[1:]
	c.step = settled
	k.note("connection %d stays with lane %d: not held within %.2fs", c.id, c.owner.Shard, k.t.DrainTimeout.Seconds())
}

func (k *Assigner) rested() bool {
	return slices.ContainsFunc(k.lanes, func(l *lane) bool { return l.rests > 0 && k.now >= l.rests })
}

func (k *Assigner) wakeLane() {
	for i, l := range k.lanes {
		if l.rests > 0 && k.now >= l.rests {
			l.rests = 0
			k.note("lane %d works again", i)
		}
	}
}

// uneven is looked at once for each window: connections are gone through.
func (k *Assigner) uneven() bool { return k.measured }

// spread moves one connection from the busiest lane to the idlest where that evens them by enough. Guards against
// swinging to and fro: a connection that moved rests, moves within a span are bounded, and one connection that is
// all of a lane's work stays where it is.
func (k *Assigner) spread() {
	k.measured = false
	k.moves = slices.DeleteFunc(k.moves, func(at time.Duration) bool { return k.now-at >= k.t.MoveWindow })
	if len(k.moves) >= k.t.MaxMoves || len(k.held) > 0 {
		return
	}
	busiest, most := ShardID(-1), 0.0
	for i, l := range k.lanes {
		if k.works(ShardID(i)) && l.sum > most {
			busiest, most = ShardID(i), l.sum
		}
	}
	if busiest < 0 {
		return
	}
	to := k.idlest(busiest)
	gap := most - k.lanes[to].sum
	if to == busiest || gap < gapMost {
		return
	}
	var best *conn
	left := gap * (1 - gapLess)
	for _, c := range k.owned(busiest) {
		fits := c.step == settled && len(c.work) >= windows && !(c.moved && k.now-c.movedAt < k.t.MoveCooldown)
		if after := gap - 2*c.load(); fits && max(after, -after) < left {
			best, left = c, max(after, -after)
		}
	}
	if best == nil {
		return
	}
	best.step, best.to, best.since = holding, to, k.now
	k.held, k.moves = append(k.held, best), append(k.moves, k.now)
	k.a.Drain = append(k.a.Drain, Assignment{best.id, best.owner})
	k.note("connection %d goes from lane %d to %d: %.2f of %.2f cores, %.2f there",
		best.id, busiest, to, best.load(), most, most-gap)
}

// Owner names who owns a connection; false where it is not known.
func (k *Assigner) Owner(id ConnID) (Owner, bool) {
	c := k.conns[id]
	if c == nil {
		return Owner{}, false
	}
	return c.owner, true
}

// Spread is how many cores each lane's connections take, and how many connections it has.
func (k *Assigner) LoadByShard() (cores []float64, conns []int) {
	for _, l := range k.lanes {
		cores, conns = append(cores, l.sum), append(conns, len(l.conns))
	}
	return cores, conns
}
