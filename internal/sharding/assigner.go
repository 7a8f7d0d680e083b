package sharding

import (
	"time"
)

// Assigner decides which shard owns which connection.
type Assigner struct {
	settings    Settings
	now         time.Duration
	actions     Actions // of the input under way
	conns       map[ConnID]*connection
	shards      []*shard
	failed      []ShardID       // not dealt with
	draining    []*connection   // longest first
	moveTimes   []time.Duration // of the moves within the window
	loadUpdated bool            // a window is over
	lastCheckAt time.Duration
}

// neverChecked is the time of the last check before the first.
const neverChecked time.Duration = -1

// NewAssigner makes an assigner whose shards own nothing.
func NewAssigner(settings Settings) *Assigner {
	a := &Assigner{settings: settings, conns: map[ConnID]*connection{}, lastCheckAt: neverChecked}
	for range settings.Shards {
		a.shards = append(a.shards, &shard{conns: map[ConnID]*connection{}, nextQuarantine: settings.QuarantineDuration})
	}
	return a
}

// rule is a decision and when it is due. The decision makes its condition false.
type rule struct {
	isDue  func(*Assigner) bool
	decide func(*Assigner)
}

// rules are gone through in this order after every input until none is due.
var rules = []rule{
	{(*Assigner).hasFailedShard, (*Assigner).restartFailedShard},
	{(*Assigner).isDrainOverdue, (*Assigner).cancelDrain},
	{(*Assigner).hasQuarantineOver, (*Assigner).endQuarantines},
	{(*Assigner).needsRebalance, (*Assigner).rebalance},
}

// decide ends an input.
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

// HandleConnOpened gives a connection its first owner: the shard that has least to do.
func (a *Assigner) HandleConnOpened(now time.Duration, id ConnID) Actions {
	a.now = now
	if _, known := a.conns[id]; !known {
		c := &connection{id: id}
		a.conns[id] = c
		a.assign(c, a.leastLoaded(noShard))
	}
	return a.decide()
}

// HandleConnClosed forgets a connection, in whatever step it is.
func (a *Assigner) HandleConnClosed(now time.Duration, id ConnID) Actions {
	a.now = now
	if c := a.conns[id]; c != nil {
		a.stopDraining(c)
		a.shards[c.owner.Shard].remove(c)
		delete(a.conns, id)
	}
	return a.decide()
}

// HandleConnDrained says that an owner has stopped. Where the move was cancelled meanwhile, the same shard goes on under
// the next epoch: guards against a connection that nobody serves.
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

// HandleConnAcquired says that a new owner has begun: the one before may forget the connection.
func (a *Assigner) HandleConnAcquired(now time.Duration, id ConnID, epoch Epoch) Actions {
	a.now = now
	if c := a.conns[id]; c != nil && c.owner.Epoch == epoch && c.ownership == acquiring {
		c.ownership = owned
		a.actions.Release = append(a.actions.Release, Assignment{id, c.previousOwner})
	}
	return a.decide()
}

// HandleLoad takes how many cores each connection took in the window that is over. Those that are not told took none.
func (a *Assigner) HandleLoad(now time.Duration, cores map[ConnID]float64) Actions {
	a.now = now
	for id, c := range a.conns {
		c.addLoad(cores[id])
	}
	for _, s := range a.shards {
		s.load = 0
		for _, c := range s.sortedConns() { // in one order: sums of floats depend on it
			s.load += c.load()
		}
	}
	a.loadUpdated = true
	return a.decide()
}

// HandleWorkerCheck takes for how long each shard has been at one task; below 0: it waits for some. Guards against a
// shard that stalls.
func (a *Assigner) HandleWorkerCheck(now time.Duration, taskTimes []time.Duration) Actions {
	a.now = now
	isLate := a.lastCheckAt == neverChecked || now-a.lastCheckAt > 2*a.settings.CheckInterval
	a.lastCheckAt = now
	a.checkStalls(taskTimes, isLate)
	return a.decide()
}

// HandleWorkerFailed takes the end of a shard's worker by a fault, while it worked for a connection. One over which
// shards fail again is closed: guards against a connection that takes one shard after another with it.
func (a *Assigner) HandleWorkerFailed(now time.Duration, id ShardID, by ConnID) Actions {
	a.now = now
	if c := a.conns[by]; c != nil {
		c.failures++
		if c.failures >= maxConnFailures {
			a.actions.Close = append(a.actions.Close, by)
			a.log(EventConnClosed, connField(by), field("failures", c.failures))
		}
	}
	a.failed = append(a.failed, id)
	return a.decide()
}

// Owner names who owns a connection; false where it is not known.
func (a *Assigner) Owner(id ConnID) (Owner, bool) {
	c := a.conns[id]
	if c == nil {
		return Owner{}, false
	}
	return c.owner, true
}

// LoadByShard is how many cores each shard's connections take, and how many connections it has.
func (a *Assigner) LoadByShard() (cores []float64, conns []int) {
	for _, s := range a.shards {
		cores = append(cores, s.load)
		conns = append(conns, len(s.conns))
	}
	return cores, conns
}
