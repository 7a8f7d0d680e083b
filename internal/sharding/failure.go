package sharding

import (
	"slices"
	"time"
)

const (
	stalledChecksToFail = 2 // in a row, until a shard that stalls has failed
	maxQuarantineFactor = 8 // times the first quarantine of a shard
)

// checkStalls takes for how long each shard has been at one task. A check that comes late itself counts for nothing: then
// the whole process was stalled.
func (a *Assigner) checkStalls(taskTimes []time.Duration, isLate bool) {
	for i, s := range a.shards {
		switch {
		case taskTimes[i] < a.settings.StallTimeout:
			s.stalledChecks = 0
		case !isLate:
			s.stalledChecks++
		}
		if s.stalledChecks >= stalledChecksToFail {
			a.log(EventShardStalled, shardField(ShardID(i)), seconds("task_seconds", taskTimes[i], 2))
			a.failed = append(a.failed, ShardID(i))
			s.stalledChecks = 0
		}
	}
}

func (a *Assigner) hasFailedShard() bool { return len(a.failed) > 0 }

// restartFailedShard gives a shard another worker, and its connections to the others, each under its next epoch.
func (a *Assigner) restartFailedShard() {
	id := a.failed[0]
	a.failed = a.failed[1:]
	s := a.shards[id]
	a.quarantineIfRepeated(id)
	a.actions.RestartWorkers = append(a.actions.RestartWorkers, id)
	conns := s.sortedConns()
	for _, c := range conns {
		a.assign(c, a.leastLoaded(id))
	}
	a.log(EventShardRestarted, shardField(id), field("conns", len(conns)))
}

// quarantineIfRepeated keeps connections from a shard that fails often, unless no other works.
func (a *Assigner) quarantineIfRepeated(id ShardID) {
	s := a.shards[id]
	isOld := func(at time.Duration) bool { return a.now-at > a.settings.FailureWindow }
	s.failures = slices.DeleteFunc(append(s.failures, a.now), isOld)
	otherWorks := slices.ContainsFunc(a.shards, func(other *shard) bool { return other != s && other.quarantinedUntil == 0 })
	if len(s.failures) < a.settings.MaxFailures || !otherWorks {
		return
	}
	s.quarantinedUntil = a.now + s.nextQuarantine
	s.failures = nil
	a.log(EventShardQuarantined, shardField(id), seconds("seconds", s.nextQuarantine, 0), field("failures", a.settings.MaxFailures))
	s.nextQuarantine = min(2*s.nextQuarantine, maxQuarantineFactor*a.settings.QuarantineDuration)
}

func (a *Assigner) isQuarantineOver(s *shard) bool {
	return s.quarantinedUntil > 0 && a.now >= s.quarantinedUntil
}

func (a *Assigner) hasQuarantineOver() bool { return slices.ContainsFunc(a.shards, a.isQuarantineOver) }

// endQuarantines lets shards get connections again.
func (a *Assigner) endQuarantines() {
	for i, s := range a.shards {
		if a.isQuarantineOver(s) {
			s.quarantinedUntil = 0
			a.log(EventShardRestored, shardField(ShardID(i)))
		}
	}
}
