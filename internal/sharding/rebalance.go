package sharding

import (
	"math"
	"slices"
	"time"
)

const (
	minLoadGap     = 0.2  // of a core, between the most and the least loaded shard, before work is spread
	minGapDecrease = 0.15 // part of that gap that a move must close
)

// needsRebalance holds once for each window: connections are gone through.
func (a *Assigner) needsRebalance() bool { return a.loadUpdated }

// rebalance moves one connection from the most loaded shard to the least loaded where that evens them by enough. Guards
// against oscillation: a connection that moved has a cooldown, moves within a window are bounded, and one connection
// that is all of a shard's work stays where it is.
func (a *Assigner) rebalance() {
	a.loadUpdated = false
	isOld := func(at time.Duration) bool { return a.now-at >= a.settings.MoveWindow }
	a.moveTimes = slices.DeleteFunc(a.moveTimes, isOld)
	if len(a.moveTimes) >= a.settings.MaxMoves || len(a.draining) > 0 {
		return
	}
	from := a.mostLoaded()
	if from == noShard {
		return
	}
	to := a.leastLoaded(from)
	sourceLoad := a.shards[from].load
	targetLoad := a.shards[to].load
	gap := sourceLoad - targetLoad
	if to == from || gap < minLoadGap {
		return
	}
	c := a.connToMove(from, gap)
	if c == nil {
		return
	}
	a.startDraining(c, to)
	a.log(EventConnMoving, connField(c.id), field("from", from), field("to", to),
		cores("conn_cores", c.load()), cores("from_cores", sourceLoad), cores("to_cores", targetLoad))
}

// connToMove is the connection of a shard whose move leaves the smallest gap; nil where none closes enough of it.
func (a *Assigner) connToMove(from ShardID, gap float64) (best *connection) {
	smallest := gap * (1 - minGapDecrease)
	for _, c := range a.shards[from].sortedConns() {
		if !a.mayMove(c) {
			continue
		}
		if left := math.Abs(gap - 2*c.load()); left < smallest {
			best = c
			smallest = left
		}
	}
	return best
}

// mayMove tells whether a connection is measured, at rest and out of its cooldown.
func (a *Assigner) mayMove(c *connection) bool {
	inCooldown := c.hasMoved && a.now-c.movedAt < a.settings.MoveCooldown
	return c.ownership == owned && len(c.recentLoad) >= loadWindows && !inCooldown
}
