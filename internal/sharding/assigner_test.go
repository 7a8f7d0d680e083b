package sharding

import (
	"slices"
	"testing"
	"time"
)

// newLoadedAssigner returns an assigner whose shards have conns connections each, none of them moving. Those of shard 0 use
// busy cores each.
func newLoadedAssigner(shards, conns int, busy float64) *Assigner {
	a := NewAssigner(DefaultSettings(shards))
	id := ConnID(0)
	for i, s := range a.shards {
		for range conns {
			id++
			c := &connection{id: id, owner: Owner{ShardID(i), 1}, recentLoad: []float64{0, 0, 0}}
			if i == 0 {
				c.recentLoad = []float64{busy, busy, busy}
			}
			a.conns[id] = c
			s.add(c)
		}
	}
	return a
}

// repeatLastLoad ends a window with the same load of each connection as before.
func (a *Assigner) repeatLastLoad(now time.Duration) Actions {
	cores := map[ConnID]float64{}
	for id, c := range a.conns {
		cores[id] = c.load()
	}
	return a.HandleLoad(now, cores)
}

func TestConnectionMovesInFourSteps(t *testing.T) {
	a := newLoadedAssigner(2, 2, 0.3)
	actions := a.repeatLastLoad(time.Second)
	if len(actions.Drain) != 1 || actions.Drain[0].Owner != (Owner{0, 1}) || len(actions.Assign) != 0 {
		t.Fatalf("after the load: %+v, want one drain by the owner {0 1} and no assignment", actions)
	}
	id := actions.Drain[0].Conn
	actions = a.HandleConnDrained(time.Second, id, 1)
	if len(actions.Assign) != 1 || actions.Assign[0].Owner != (Owner{1, 2}) || len(actions.Release) != 0 {
		t.Fatalf("after the drain: %+v, want one assignment to {1 2} and no release", actions)
	}
	actions = a.HandleConnAcquired(time.Second, id, 2)
	if len(actions.Release) != 1 || actions.Release[0].Owner != (Owner{0, 1}) {
		t.Fatalf("after the acquisition: %+v, want one release by the owner {0 1}", actions)
	}
	if actions = a.HandleConnAcquired(time.Second, id, 2); len(actions.Release) != 0 {
		t.Errorf("released twice: %+v", actions)
	}
}

func TestUndrainedMoveIsCancelledAndConnectionKeepsOwner(t *testing.T) {
	a := newLoadedAssigner(2, 2, 0.3)
	id := a.repeatLastLoad(time.Second).Drain[0].Conn
	a.HandleWorkerCheck(time.Second+a.settings.DrainTimeout, []time.Duration{-1, -1})
	if c := a.conns[id]; c.ownership != owned {
		t.Fatalf("after DrainTimeout: %+v, want ownership owned", c)
	}
	actions := a.HandleConnDrained(2*time.Second, id, 1)
	if len(actions.Assign) != 1 || actions.Assign[0].Owner != (Owner{0, 2}) {
		t.Errorf("after a late drain: %+v, want one assignment to {0 2}; otherwise no shard serves the connection", actions)
	}
}

func TestConnectionsOfFailedShardGetTheNextEpoch(t *testing.T) {
	a := newLoadedAssigner(3, 2, 0.1)
	actions := a.HandleWorkerFailed(time.Second, 0, 1)
	if !slices.Equal(actions.RestartWorkers, []ShardID{0}) || len(actions.Assign) != 2 {
		t.Fatalf("after the failure: %+v, want a restart of shard 0 and 2 assignments", actions)
	}
	for _, assignment := range actions.Assign {
		if assignment.Owner.Shard == 0 || assignment.Owner.Epoch != 2 {
			t.Errorf("assignment %+v, want another shard than 0 and epoch 2", assignment)
		}
	}
	if actions := a.HandleConnDrained(time.Second, 1, 1); len(actions.Assign) > 0 {
		t.Errorf("a drain that the former owner reports is accepted: %+v", actions)
	}
}

func TestShardFailsAfterTwoTimelyStalledChecks(t *testing.T) {
	a := newLoadedAssigner(2, 1, 0.1)
	stalled := []time.Duration{time.Second, -1}
	interval := a.settings.CheckInterval
	a.HandleWorkerCheck(0, stalled)
	if actions := a.HandleWorkerCheck(2*time.Second, stalled); len(actions.RestartWorkers) > 0 {
		t.Errorf("a late check counts as a stall of the shard, but the whole process was stalled: %+v", actions)
	}
	a.HandleWorkerCheck(2*time.Second+interval, stalled)
	if actions := a.HandleWorkerCheck(2*time.Second+2*interval, stalled); !slices.Equal(actions.RestartWorkers, []ShardID{0}) {
		t.Errorf("after two timely stalled checks: %+v, want a restart of shard 0", actions)
	}
	if actions := a.HandleWorkerCheck(2*time.Second+3*interval, []time.Duration{0, -1}); len(actions.RestartWorkers) > 0 {
		t.Errorf("after a check without a stall: %+v, want no restart", actions)
	}
}

func TestFailingShardIsQuarantinedUnlessItIsTheLast(t *testing.T) {
	a := newLoadedAssigner(2, 1, 0.1)
	for i := range 3 {
		a.HandleWorkerFailed(time.Duration(i)*time.Second, 0, 99)
		a.HandleWorkerFailed(time.Duration(i)*time.Second, 1, 99)
	}
	quarantined := 0
	for _, s := range a.shards {
		if s.quarantinedUntil > 0 {
			quarantined++
		}
	}
	if quarantined != 1 {
		t.Fatalf("%d of 2 shards are quarantined, want 1", quarantined)
	}
	a.HandleWorkerCheck(time.Hour, []time.Duration{-1, -1})
	if a.shards[0].quarantinedUntil != 0 || a.shards[1].quarantinedUntil != 0 {
		t.Error("a shard is still quarantined after an hour")
	}
}

// Each quarantine of a shard is twice as long as the previous one, up to eight times the first.
func TestQuarantineDoublesUpToABound(t *testing.T) {
	a := newLoadedAssigner(2, 1, 0.1)
	now := time.Duration(0)
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		for range a.settings.MaxFailures {
			a.HandleWorkerFailed(now, 0, 99)
		}
		if duration := a.shards[0].quarantinedUntil - now; duration != want*a.settings.QuarantineDuration {
			t.Errorf("quarantined for %v, want %v", duration, want*a.settings.QuarantineDuration)
		}
		now = a.shards[0].quarantinedUntil
		a.HandleWorkerCheck(now, []time.Duration{-1, -1})
	}
}

func TestConnectionThatFailsTwoShardsIsClosed(t *testing.T) {
	a := newLoadedAssigner(3, 1, 0.1)
	if actions := a.HandleWorkerFailed(0, 0, 1); len(actions.Close) > 0 {
		t.Errorf("closed after the first failure: %+v", actions)
	}
	if actions := a.HandleWorkerFailed(0, 1, 1); !slices.Equal(actions.Close, []ConnID{1}) {
		t.Errorf("after the second failure: %+v, want connection 1 closed", actions)
	}
}

func TestRebalancesWithoutOscillation(t *testing.T) {
	a := newLoadedAssigner(4, 6, 0.15)
	var moves []time.Duration
	for second := 1; second <= 120; second++ {
		now := time.Duration(second) * time.Second
		cores := map[ConnID]float64{}
		for id := range a.conns {
			if (int(id)+second/3)%5 == 0 { // every three seconds, the load moves to other connections
				cores[id] = 0.3
			}
		}
		for _, drained := range a.HandleLoad(now, cores).Drain {
			moves = append(moves, now)
			a.HandleConnDrained(now, drained.Conn, drained.Owner.Epoch)
			a.HandleConnAcquired(now, drained.Conn, drained.Owner.Epoch+1)
		}
	}
	for i, at := range moves {
		if j := i + a.settings.MaxMoves; j < len(moves) && moves[j]-at < a.settings.MoveWindow {
			t.Fatalf("more than %d moves within %v from %v", a.settings.MaxMoves, a.settings.MoveWindow, at)
		}
	}
	if len(moves) == 0 {
		t.Error("no connection was moved")
	}
}

func TestLoneHeavyConnectionIsNotMoved(t *testing.T) {
	a := newLoadedAssigner(2, 1, 0.9)
	if actions := a.repeatLastLoad(time.Second); len(actions.Drain) > 0 {
		t.Errorf("the only connection of a shard is moved: %+v", actions)
	}
}

// Each log record has the event and field names that are documented for operators.
func TestLogRecords(t *testing.T) {
	for want, input := range map[string]func() Actions{
		"event=conn_moving conn=1 from=0 to=1 conn_cores=0.30 from_cores=0.60 to_cores=0.02": func() Actions {
			return newLoadedAssigner(2, 2, 0.3).repeatLastLoad(time.Second)
		},
		"event=conn_move_cancelled conn=1 shard=0 timeout_seconds=0.20": func() Actions {
			a := newLoadedAssigner(2, 2, 0.3)
			a.repeatLastLoad(time.Second)
			return a.HandleWorkerCheck(time.Second+a.settings.DrainTimeout, []time.Duration{-1, -1})
		},
		"event=shard_restarted shard=0 conns=2": func() Actions {
			return newLoadedAssigner(2, 2, 0.3).HandleWorkerFailed(0, 0, 99)
		},
		"event=conn_closed conn=1 failures=2": func() Actions {
			a := newLoadedAssigner(3, 1, 0.1)
			a.HandleWorkerFailed(0, 0, 1)
			return a.HandleWorkerFailed(0, 1, 1)
		},
		"event=shard_quarantined shard=0 seconds=60 failures=3": func() Actions {
			a := newLoadedAssigner(2, 1, 0.1)
			a.HandleWorkerFailed(0, 0, 99)
			a.HandleWorkerFailed(0, 0, 99)
			return a.HandleWorkerFailed(0, 0, 99)
		},
		"event=shard_restored shard=1": func() Actions {
			a := newLoadedAssigner(2, 1, 0.1)
			a.shards[1].quarantinedUntil = time.Second
			return a.HandleWorkerCheck(time.Second, []time.Duration{-1, -1})
		},
		"event=shard_stalled shard=0 task_seconds=0.75": func() Actions {
			a := newLoadedAssigner(2, 1, 0.1)
			stalled := []time.Duration{750 * time.Millisecond, -1}
			for check := range 2 {
				a.HandleWorkerCheck(time.Duration(check)*a.settings.CheckInterval, stalled)
			}
			return a.HandleWorkerCheck(2*a.settings.CheckInterval, stalled)
		},
	} {
		var got []string
		for _, record := range input().LogRecords {
			got = append(got, record.String())
		}
		if !slices.Contains(got, want) {
			t.Errorf("log records %q, want %q among them", got, want)
		}
	}
}

func TestOwnerAndLoadByShard(t *testing.T) {
	a := newLoadedAssigner(2, 2, 0.3)
	if owner, known := a.Owner(1); !known || owner != (Owner{0, 1}) {
		t.Errorf("Owner(1) = %+v, %v, want {0 1}, true", owner, known)
	}
	if owner, known := a.Owner(99); known {
		t.Errorf("Owner(99) = %+v, %v, want the connection to be unknown", owner, known)
	}
	cores, conns := a.LoadByShard()
	if !slices.Equal(cores, []float64{0.6, 2 * minLoad}) || !slices.Equal(conns, []int{2, 2}) {
		t.Errorf("LoadByShard() = %v, %v, want [0.6 %v], [2 2]", cores, conns, 2*minLoad)
	}
}
