package sharding

import (
	"slices"
	"time"
)

const (
	minLoad         = 0.01 // minimum load of a connection in cores, and its load before the first measurement
	loadWindows     = 3    // number of recent windows that the load of a connection is averaged over
	maxConnFailures = 2    // a connection is closed once it has caused this many shard failures
)

// ownership is the step of a move that a connection is in, or owned if it is not moving.
type ownership int

const (
	owned     ownership = iota
	draining            // the owner was told to drain the connection
	acquiring           // a new owner was assigned, but does not serve the connection yet
)

// connection holds the state of one connection.
type connection struct {
	id            ConnID
	owner         Owner
	previousOwner Owner // set while ownership is acquiring
	ownership     ownership
	target        ShardID       // shard to move to; set while ownership is draining
	drainSince    time.Duration // start of the drain; set while ownership is draining
	movedAt       time.Duration
	hasMoved      bool
	recentLoad    []float64 // cores used in each of the last loadWindows windows
	failures      int       // failures of shards while they processed the connection
}

// load returns how many cores the connection uses: the average of the recent windows, but at least minLoad.
func (c *connection) load() float64 {
	sum := 0.0
	for _, cores := range c.recentLoad {
		sum += cores
	}
	return max(minLoad, sum/float64(max(1, len(c.recentLoad))))
}

// addLoad records the load of one window and drops the oldest if there are more than loadWindows.
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

// startDraining starts a move to the target shard.
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

// cancelDrain cancels the longest-running drain, whose owner did not answer in time. If the owner drains the connection
// later, HandleConnDrained assigns it again.
func (a *Assigner) cancelDrain() {
	c := a.draining[0]
	a.draining = a.draining[1:]
	c.ownership = owned
	a.log(EventConnMoveCancelled, connField(c.id), shardField(c.owner.Shard), secondsField("timeout_seconds", a.settings.DrainTimeout, 2))
}
