package sharding

import (
	"slices"
	"time"
)

const (
	minLoad         = 0.01 // cores that a connection counts for at least, and before it is measured
	loadWindows     = 3    // whose load is kept of a connection
	maxConnFailures = 2    // shards that may fail over a connection before it is closed
)

// ownership is the step of a move that a connection is in.
type ownership int

const (
	owned     ownership = iota
	draining            // the owner was told to drain it
	acquiring           // a new owner was named, and has not begun
)

// connection is what is kept of a connection.
type connection struct {
	id            ConnID
	owner         Owner
	previousOwner Owner // while it is acquired
	ownership     ownership
	target        ShardID       // while it is drained
	drainSince    time.Duration // while it is drained
	movedAt       time.Duration
	hasMoved      bool
	recentLoad    []float64 // cores, by window, the last ones
	failures      int       // of shards that worked for it
}

// load is how many cores the connection takes.
func (c *connection) load() float64 {
	sum := 0.0
	for _, cores := range c.recentLoad {
		sum += cores
	}
	return max(minLoad, sum/float64(max(1, len(c.recentLoad))))
}

// addLoad takes the load of one window.
func (c *connection) addLoad(cores float64) {
	c.recentLoad = append(c.recentLoad, cores)
	c.recentLoad = c.recentLoad[max(0, len(c.recentLoad)-loadWindows):]
}

// assign makes a shard the owner of a connection, under the next epoch.
func (a *Assigner) assign(c *connection, to ShardID) {
	if c.owner.Epoch > 0 {
		a.shards[c.owner.Shard].remove(c)
		c.previousOwner = c.owner
		c.ownership = acquiring
	}
	a.stopDraining(c)
	c.owner = Owner{Shard: to, Epoch: c.owner.Epoch + 1}
	a.shards[to].add(c)
	a.actions.Assign = append(a.actions.Assign, Assignment{c.id, c.owner})
}

// startDraining begins a move.
func (a *Assigner) startDraining(c *connection, target ShardID) {
	c.ownership = draining
	c.target = target
	c.drainSince = a.now
	a.draining = append(a.draining, c)
	a.moveTimes = append(a.moveTimes, a.now)
	a.actions.Drain = append(a.actions.Drain, Assignment{c.id, c.owner})
}

func (a *Assigner) stopDraining(c *connection) {
	if i := slices.Index(a.draining, c); i >= 0 {
		a.draining = slices.Delete(a.draining, i, i+1)
	}
}

func (a *Assigner) isDrainOverdue() bool {
	return len(a.draining) > 0 && a.now-a.draining[0].drainSince >= a.settings.DrainTimeout
}

// cancelDrain ends a move whose owner does not answer. If it still does, HandleConnDrained names an owner.
func (a *Assigner) cancelDrain() {
	c := a.draining[0]
	a.draining = a.draining[1:]
	c.ownership = owned
	a.log(EventConnMoveCancelled, connField(c.id), shardField(c.owner.Shard), seconds("timeout_seconds", a.settings.DrainTimeout, 2))
}
