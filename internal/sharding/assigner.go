package sharding

import (
	"time"
)

// Assigner assigns connections to shards.
type Assigner struct {
	settings     Settings
	now          time.Duration
	actions      Actions // of the current input
	conns        map[ConnID]*connection
	shards       []*shard
	failedShards []ShardID       // failed shards that are not restarted yet
	draining     []*connection   // connections being drained, the longest-draining first
	moveTimes    []time.Duration // start times of the moves within MoveWindow
	loadUpdated  bool            // a load window has ended and rebalance has not run yet
	lastCheckAt  time.Duration
}

// neverChecked is the value of lastCheckAt before the first check.
const neverChecked time.Duration = -1

// NewAssigner returns an assigner whose shards own no connections.
func NewAssigner(settings Settings) *Assigner {
	a := &Assigner{settings: settings, conns: map[ConnID]*connection{}, lastCheckAt: neverChecked}
	for range settings.Shards {
		a.shards = append(a.shards, &shard{conns: map[ConnID]*connection{}, nextQuarantine: settings.QuarantineDuration})
	}
	return a
}

// rule is a decision with the condition under which it is due. The decision must make the condition false.
type rule struct {
	isDue  func(*Assigner) bool
	decide func(*Assigner)
}

// rules are applied after every input, the first one that is due at a time, until none is due.
var rules = []rule{
	{(*Assigner).hasFailedShard, (*Assigner).restartFailedShard},
	{(*Assigner).isDrainOverdue, (*Assigner).cancelDrain},
	{(*Assigner).hasExpiredQuarantine, (*Assigner).endExpiredQuarantines},
	{(*Assigner).needsRebalance, (*Assigner).rebalance},
}

// decide applies the rules at the end of an input and returns the resulting actions.
func (a *Assigner) decide() Actions {
	for a.applyFirstDueRule() {
	}
	actions := a.actions
	a.actions = Actions{}
	return actions
}

func (a *Assigner) applyFirstDueRule() bool {
	for _, rule := range rules {
		if rule.isDue(a) {
			rule.decide(a)
			return true
		}
	}
	return false
}

// HandleConnOpened assigns a new connection to the least loaded shard.
func (a *Assigner) HandleConnOpened(now time.Duration, id ConnID) Actions {
	a.now = now
	if _, known := a.conns[id]; !known {
		c := &connection{id: id}
		a.conns[id] = c
		a.assign(c, a.leastLoaded(noShard))
	}
	return a.decide()
}

// HandleConnClosed forgets a connection, whatever step of a move it is in.
func (a *Assigner) HandleConnClosed(now time.Duration, id ConnID) Actions {
	a.now = now
	if c := a.conns[id]; c != nil {
		a.stopDraining(c)
		a.shards[c.owner.Shard].remove(c)
		delete(a.conns, id)
	}
	return a.decide()
}

// HandleConnDrained records that the owner of a connection has drained it. If the move was cancelled in the meantime, the
// same shard continues under the next epoch, since otherwise no shard would serve the connection.
func (a *Assigner) HandleConnDrained(now time.Duration, id ConnID, epoch Epoch) Actions {
	a.now = now
	if c := a.conns[id]; c != nil && c.owner.Epoch == epoch {
		to := c.owner.Shard
		if c.ownership == draining && a.isAvailable(c.target) {
			to = c.target
		}
		c.hasMoved = c.hasMoved || to != c.owner.Shard
		c.movedAt = now
		a.assign(c, to)
	}
	return a.decide()
}

// HandleConnAcquired records that the new owner serves the connection, so that the previous owner may forget it.
func (a *Assigner) HandleConnAcquired(now time.Duration, id ConnID, epoch Epoch) Actions {
	a.now = now
	if c := a.conns[id]; c != nil && c.owner.Epoch == epoch && c.ownership == acquiring {
		c.ownership = owned
		a.actions.Release = append(a.actions.Release, Assignment{id, c.previousOwner})
	}
	return a.decide()
}

// HandleLoad records how many cores each connection used in the window that just ended. A connection that is not in cores
// used none.
func (a *Assigner) HandleLoad(now time.Duration, cores map[ConnID]float64) Actions {
	a.now = now
	for id, c := range a.conns {
		c.addLoad(cores[id])
	}
	for _, s := range a.shards {
		s.load = 0
		for _, c := range s.sortedConns() { // in a fixed order, because the sum of floats depends on it
			s.load += c.load()
		}
	}
	a.loadUpdated = true
	return a.decide()
}

// HandleWorkerCheck records how long each shard has been running its current task, to detect a shard that stalls. A
// negative time means that the shard is idle.
func (a *Assigner) HandleWorkerCheck(now time.Duration, taskTimes []time.Duration) Actions {
	a.now = now
	isLate := a.lastCheckAt == neverChecked || now-a.lastCheckAt > 2*a.settings.CheckInterval
	a.lastCheckAt = now
	a.checkStalls(taskTimes, isLate)
	return a.decide()
}

// HandleWorkerFailed records that a shard's worker ended with a fault while it processed a connection. A connection that
// causes maxConnFailures failures is closed, so that it cannot make one shard after another fail.
func (a *Assigner) HandleWorkerFailed(now time.Duration, id ShardID, conn ConnID) Actions {
	a.now = now
	if c := a.conns[conn]; c != nil {
		c.failures++
		if c.failures >= maxConnFailures {
			a.actions.Close = append(a.actions.Close, conn)
			a.log(EventConnClosed, connField(conn), field("failures", c.failures))
		}
	}
	a.failedShards = append(a.failedShards, id)
	return a.decide()
}

// Owner returns the owner of a connection, and false if the connection is not known.
func (a *Assigner) Owner(id ConnID) (Owner, bool) {
	c := a.conns[id]
	if c == nil {
		return Owner{}, false
	}
	return c.owner, true
}

// LoadByShard returns how many cores the connections of each shard use, and how many connections each shard has.
func (a *Assigner) LoadByShard() (cores []float64, conns []int) {
	for _, s := range a.shards {
		cores = append(cores, s.load)
		conns = append(conns, len(s.conns))
	}
	return cores, conns
}
