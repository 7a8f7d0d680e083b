package sharding

import (
	"slices"
	"time"
)

const (
	stalledChecksToFail = 2 // consecutive checks that find a shard stalled before it counts as failed
	maxQuarantineFactor = 8 // longest quarantine as a multiple of the first one
)

// checkStalls counts the consecutive checks at which a shard's task had run for at least the stall timeout, and marks the
// shard as failed at stalledChecksToFail. A check that is late itself counts against no shard, because then the whole
// process was stalled.
func (a *Assigner) checkStalls(taskTimes []time.Duration, isLate bool) {
	for i, s := range a.shards {
		switch {
		case taskTimes[i] < a.settings.StallTimeout:
			s.stalledChecks = 0
		case !isLate:
			s.stalledChecks++
		}
		if s.stalledChecks >= stalledChecksToFail {
			a.log(EventShardStalled, shardField(ShardID(i)), secondsField("task_seconds", taskTimes[i], 2))
			a.failedShards = append(a.failedShards, ShardID(i))
			s.stalledChecks = 0
		}
	}
}

func (a *Assigner) hasFailedShard() bool { return len(a.failedShards) > 0 }

// restartFailedShard replaces the worker of a failed shard and reassigns its connections, each under its next epoch: to the
// other available shards, or to the same shard if there is none.
func (a *Assigner) restartFailedShard() {
	id := a.failedShards[0]
	a.failedShards = a.failedShards[1:]
	s := a.shards[id]
	a.quarantineIfRepeated(id)
	a.actions.RestartWorkers = append(a.actions.RestartWorkers, id)
	conns := s.sortedConns()
	for _, c := range conns {
		a.assign(c, a.leastLoaded(id))
	}
	a.log(EventShardRestarted, shardField(id), field("conns", len(conns)))
}

// quarantineIfRepeated quarantines a shard that failed too often, so that it gets no connections. The last shard that is
// not in quarantine is never quarantined.
func (a *Assigner) quarantineIfRepeated(id ShardID) {
	s := a.shards[id]
	isExpired := func(at time.Duration) bool { return a.now-at > a.settings.FailureWindow }
	s.failures = slices.DeleteFunc(append(s.failures, a.now), isExpired)
	otherNotQuarantined := slices.ContainsFunc(a.shards, func(other *shard) bool { return other != s && other.quarantinedUntil == 0 })
	if len(s.failures) < a.settings.MaxFailures || !otherNotQuarantined {
		return
	}
	s.quarantinedUntil = a.now + s.nextQuarantine
	s.failures = nil
	a.log(EventShardQuarantined, shardField(id), secondsField("seconds", s.nextQuarantine, 0), field("failures", a.settings.MaxFailures))
	s.nextQuarantine = min(2*s.nextQuarantine, maxQuarantineFactor*a.settings.QuarantineDuration)
}

func (a *Assigner) isQuarantineExpired(s *shard) bool {
	return s.quarantinedUntil > 0 && a.now >= s.quarantinedUntil
}

func (a *Assigner) hasExpiredQuarantine() bool {
	return slices.ContainsFunc(a.shards, a.isQuarantineExpired)
}

// endExpiredQuarantines makes shards available again once their quarantine has expired.
func (a *Assigner) endExpiredQuarantines() {
	for i, s := range a.shards {
		if a.isQuarantineExpired(s) {
			s.quarantinedUntil = 0
			a.log(EventShardRestored, shardField(ShardID(i)))
		}
	}
}
