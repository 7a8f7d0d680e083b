package tables

import (
	"bytes"
	"testing"
	"time"
)

func newTestReplica(t testing.TB, seed uint64) *Replica {
	t.Helper()
	settings := RetrySettings{InitialInterval: 100 * time.Millisecond, MaxInterval: time.Second}
	return NewReplica(testKeys(t), settings, seed)
}

// newExampleReplica returns a replica that runs the example state as version 3.5, and that state.
func newExampleReplica(t testing.TB) (*Replica, *State) {
	t.Helper()
	replica := newTestReplica(t, 1)
	state := exampleState(t)
	expectOutcome(t, replica, encodeSnapshot(t, ID{3, 5}, state, testKeys(t)), Applied)
	return replica, state
}

func expectOutcome(t testing.TB, replica *Replica, encoded []byte, want Outcome) {
	t.Helper()
	if got, err := replica.Receive(0, encoded); got != want {
		t.Errorf("outcome %v (error %v), want %v", got, err, want)
	}
}

func TestReplicaKeepsLastValidVersion(t *testing.T) {
	keys := testKeys(t)
	replica, state := newExampleReplica(t)
	next := apply(t, state, Op{Kind: SetWeight, Table: 0, Server: "s-1", Weight: 50})
	other := apply(t, state, Op{Kind: SetWeight, Table: 0, Server: "s-9", Weight: 50})
	valid := encodeDiff(t, ID{3, 6}, ID{3, 5}, state, next, keys)
	wrongDigest := Delta{ID: ID{3, 6}, Base: ID{3, 5}, BaseDigest: state.Digest(), Digest: other.Digest(), Ops: Diff(state, next)}
	wrongSignature := bytes.Clone(valid)
	wrongSignature[len(wrongSignature)-1] ^= 1
	for name, test := range map[string]struct {
		encoded []byte
		want    Outcome
	}{
		"wrong signature": {wrongSignature, Unauthenticated},
		"unknown key":     {encodeDiff(t, ID{3, 6}, ID{3, 5}, state, next, Keys{testKey(t, 8)}), Unauthenticated},
		"first half":      {valid[:len(valid)/2], Malformed},
		"last byte cut":   {valid[:len(valid)-1], Unauthenticated},
		"nothing":         {nil, Malformed},
		"wrong digest":    {encode(t, keys, wrongDigest), WrongDigest},
		"gap":             {encodeDiff(t, ID{3, 8}, ID{3, 7}, next, state, keys), Gap},
		"unknown base":    {encodeDiff(t, ID{3, 6}, ID{3, 5}, other, next, keys), UnknownBase},
		"older epoch":     {encodeSnapshot(t, ID{2, 99}, next, keys), OlderEpoch},
		"older number":    {encodeSnapshot(t, ID{3, 4}, next, keys), AlreadyApplied},
		"two managers":    {encodeDiff(t, ID{3, 5}, ID{3, 4}, state, other, keys), Conflict},
		"twice":           {encodeSnapshot(t, ID{3, 5}, state, keys), AlreadyApplied},
	} {
		outcome, err := replica.Receive(0, test.encoded)
		if outcome != test.want || (err == nil) != (outcome == AlreadyApplied) {
			t.Errorf("%s: outcome %v, error %v, want %v", name, outcome, err, test.want)
		}
		if replica.Version() != (VersionRef{ID{3, 5}, state.Digest()}) || replica.State().Digest() != state.Digest() {
			t.Fatalf("%s: the replica changed to version %v", name, replica.Version())
		}
	}
	expectOutcome(t, replica, valid, Applied)
	if replica.State().Digest() != next.Digest() {
		t.Errorf("state %v, want %v", replica.State().Digest(), next.Digest())
	}
	expectOutcome(t, replica, valid, AlreadyApplied)
	if applied, repeated := replica.OutcomeCount(Applied), replica.OutcomeCount(AlreadyApplied); applied != 2 || repeated != 3 {
		t.Errorf("%d deltas applied and %d already applied, want 2 and 3", applied, repeated)
	}
}

func TestLaterEpochAppliesToSameBaseDigest(t *testing.T) {
	replica, state := newExampleReplica(t)
	next := apply(t, state, Op{Kind: Withdraw, Server: "s-1"})
	expectOutcome(t, replica, encodeDiff(t, ID{4, 1}, ID{3, 2}, state, next, testKeys(t)), Applied)
	expectOutcome(t, replica, encodeDiff(t, ID{3, 6}, ID{3, 5}, state, next, testKeys(t)), OlderEpoch)
}

func TestBothKeysAreValidDuringKeyRotation(t *testing.T) {
	oldKey, newKey := testKey(t, 7), testKey(t, 8)
	replica, state := newExampleReplica(t)
	next := apply(t, state, Op{Kind: Withdraw, Server: "s-1"})
	replica.SetKeys(Keys{newKey, oldKey})
	expectOutcome(t, replica, encodeDiff(t, ID{3, 6}, ID{3, 5}, state, next, Keys{newKey, oldKey}), Applied)
	expectOutcome(t, replica, encodeDiff(t, ID{3, 7}, ID{3, 6}, next, state, Keys{oldKey}), Applied)
	replica.SetKeys(Keys{newKey})
	expectOutcome(t, replica, encodeDiff(t, ID{3, 8}, ID{3, 7}, state, next, Keys{oldKey}), Unauthenticated)
}

func TestSnapshotRequestsAreLimitedAndJittered(t *testing.T) {
	firstTimes := map[time.Duration]bool{}
	for seed := range uint64(50) {
		replica := newTestReplica(t, seed)
		if _, scheduled := replica.NextSnapshotRequest(); scheduled {
			t.Fatal("a snapshot request is scheduled before any delta was rejected")
		}
		replica.Receive(0, nil)
		first, scheduled := replica.NextSnapshotRequest()
		if !scheduled {
			t.Fatal("no snapshot request is scheduled after a rejected delta")
		}
		firstTimes[first] = true
		requests := 0
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if replica.SnapshotRequestDue(now) {
				requests++
			}
			replica.Receive(now, nil) // further rejected deltas must not cause additional requests
		}
		if requests < 60 || requests > 130 {
			t.Fatalf("%d requests in a minute, want 60 to 130", requests)
		}
	}
	if len(firstTimes) < 40 {
		t.Errorf("50 replicas send their first request at only %d different times, want at least 40", len(firstTimes))
	}
}

func TestAppliedVersionCancelsSnapshotRequest(t *testing.T) {
	replica := newTestReplica(t, 1)
	replica.Receive(0, nil)
	expectOutcome(t, replica, encodeSnapshot(t, ID{3, 5}, exampleState(t), testKeys(t)), Applied)
	if _, scheduled := replica.NextSnapshotRequest(); scheduled || replica.SnapshotRequestDue(time.Hour) {
		t.Error("a snapshot request is still scheduled after a version was applied")
	}
}

func TestDelayDoublesUpToMaxInterval(t *testing.T) {
	settings := RetrySettings{InitialInterval: 100 * time.Millisecond, MaxInterval: time.Second}
	for _, test := range []struct {
		failures int
		random   float64
		want     time.Duration
	}{
		{0, 0, 50 * time.Millisecond},
		{0, 0.5, 75 * time.Millisecond},
		{2, 0, 200 * time.Millisecond},
		{4, 0, 500 * time.Millisecond},
		{1000, 0, 500 * time.Millisecond},
	} {
		if got := settings.Delay(test.failures, test.random); got != test.want {
			t.Errorf("delay after %d failures with random number %v: %v, want %v", test.failures, test.random, got, test.want)
		}
	}
	overflowing := RetrySettings{InitialInterval: 1 << 45, MaxInterval: time.Minute}
	if got := overflowing.Delay(1000, 0); got != 30*time.Second {
		t.Errorf("delay %v, want 30s", got)
	}
}

func TestOutcomeNumbersAreFixed(t *testing.T) {
	names := []string{"applied", "already applied", "malformed", "unauthenticated", "older epoch", "gap", "unknown base",
		"wrong digest", "conflict", "outcome 9"}
	for number, want := range names {
		if got := Outcome(number).String(); got != want {
			t.Errorf("outcome %d is %q, want %q", number, got, want)
		}
	}
}
