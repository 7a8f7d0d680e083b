package sharding

import (
	"math"
	"slices"
	"time"
)

const (
	minLoadGap     = 0.2  // nothing moves while the loads of the most and the least loaded shard differ by fewer cores
	minGapDecrease = 0.15 // a move must reduce that gap by more than this fraction
)

// needsRebalance reports whether a load window has ended since the last rebalance. Rebalancing only once per window limits
// its cost, since it iterates over connections.
func (a *Assigner) needsRebalance() bool { return a.loadUpdated }

// rebalance starts to move one connection from the most loaded shard to the least loaded one if that reduces the gap
// between their loads by enough. To prevent oscillation, a connection that moved has a cooldown, the moves within a
// window are bounded, and a single connection that makes up all of a shard's load stays where it is.
func (a *Assigner) rebalance() {
	a.loadUpdated = false
	isExpired := func(at time.Duration) bool { return a.now-at >= a.settings.MoveWindow }
	a.moveTimes = slices.DeleteFunc(a.moveTimes, isExpired)
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
		coresField("conn_cores", c.load()), coresField("from_cores", sourceLoad), coresField("to_cores", targetLoad))
}

// connToMove returns the connection whose move leaves the smallest gap, or nil if no move reduces the gap by enough.
func (a *Assigner) connToMove(from ShardID, gap float64) (best *connection) {
	smallestGap := gap * (1 - minGapDecrease)
	for _, c := range a.shards[from].sortedConns() {
		if !a.mayMove(c) {
			continue
		}
		if remainingGap := math.Abs(gap - 2*c.load()); remainingGap < smallestGap {
			best = c
			smallestGap = remainingGap
		}
	}
	return best
}

// mayMove reports whether a connection has enough measured windows, is not moving and is not in its cooldown.
func (a *Assigner) mayMove(c *connection) bool {
	inCooldown := c.hasMoved && a.now-c.movedAt < a.settings.MoveCooldown
	return c.ownership == owned && len(c.recentLoad) >= loadWindows && !inCooldown
}
