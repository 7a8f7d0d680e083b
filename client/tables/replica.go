package tables

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is what became of a delta that a replica received. Its number is part of the protocol.
type Outcome int

// Outcomes of a delta.
const (
	Applied         Outcome = iota
	AlreadyApplied          // nothing changes
	Malformed               // it can't be read
	Unauthenticated         // no valid key signed it
	OlderEpoch              // another manager has taken over
	Gap                     // versions before it are missing
	UnknownBase             // it leads from another state than the replica's
	WrongDigest             // its operations lead to another state than the one that it names
	Conflict                // the replica has another version of the same ID: two managers write
)

var outcomeNames = [...]string{
	Applied:         "applied",
	AlreadyApplied:  "already applied",
	Malformed:       "malformed",
	Unauthenticated: "unauthenticated",
	OlderEpoch:      "older epoch",
	Gap:             "gap",
	UnknownBase:     "unknown base",
	WrongDigest:     "wrong digest",
	Conflict:        "conflict",
}

// String returns the name of an outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// VersionRef names a version by its ID and content.
type VersionRef struct {
	ID     ID
	Digest Digest
}

// Replica holds the last valid version of the tables. It applies a delta completely or not at all; what it rejects changes
// nothing. It is not safe for use by several goroutines.
type Replica struct {
	keys     Keys
	version  VersionRef
	state    *State
	request  snapshotRequest
	outcomes [len(outcomeNames)]int
}

// NewReplica returns a replica without a version. The settings say how often it requests a snapshot, the seed spreads the
// requests of many replicas.
func NewReplica(keys Keys, settings RetrySettings, seed uint64) *Replica {
	const stream = 11
	state := EmptyState()
	return &Replica{
		keys:    keys,
		version: VersionRef{Digest: state.Digest()},
		state:   state,
		request: snapshotRequest{settings: settings, rng: rand.New(rand.NewPCG(seed, stream))},
	}
}

// SetKeys replaces the valid keys, as while one key replaces another.
func (r *Replica) SetKeys(keys Keys) { r.keys = keys }

// Version returns the version that the replica runs; its ID is zero before the first.
func (r *Replica) Version() VersionRef { return r.version }

// State returns the state of that version.
func (r *Replica) State() *State { return r.state }

// OutcomeCount returns how many deltas had an outcome.
func (r *Replica) OutcomeCount(outcome Outcome) int { return r.outcomes[outcome] }

// Receive applies an encoded delta, unless it must be rejected; then err says why, and the version stays. now is the time
// since the replica's start. Where only a snapshot helps, NextSnapshotRequest says when to request one.
func (r *Replica) Receive(now time.Duration, encoded []byte) (Outcome, error) {
	outcome, err := r.apply(encoded)
	r.outcomes[outcome]++
	switch outcome {
	case Applied:
		r.request.cancel()
	case Gap, UnknownBase, WrongDigest, Conflict, Malformed:
		r.request.schedule(now)
	}
	return outcome, err
}

func (r *Replica) apply(encoded []byte) (Outcome, error) {
	delta, err := Decode(encoded, r.keys)
	if errors.Is(err, ErrUnauthenticated) {
		return Unauthenticated, err
	}
	if err != nil {
		return Malformed, err
	}
	outcome, err := r.checkOrder(delta)
	if outcome != Applied {
		return outcome, err
	}
	base := r.state
	if delta.IsSnapshot() {
		base = EmptyState()
	}
	next, err := base.Apply(delta.Ops)
	if err != nil {
		return WrongDigest, err
	}
	if next.Digest() != delta.Digest {
		return WrongDigest, fmt.Errorf("version %v leads to %v, not to %v", delta.ID, next.Digest(), delta.Digest)
	}
	r.state = next
	r.version = VersionRef{ID: delta.ID, Digest: delta.Digest}
	return Applied, nil
}

// checkOrder tells whether a delta follows the replica's version: then the outcome is Applied.
func (r *Replica) checkOrder(delta *Delta) (Outcome, error) {
	current := r.version
	switch {
	case delta.ID.Epoch < current.ID.Epoch:
		return OlderEpoch, fmt.Errorf("version %v is of an older epoch than %v", delta.ID, current.ID)
	case delta.ID == current.ID && delta.Digest != current.Digest:
		return Conflict, fmt.Errorf("version %v is %v here and %v there", delta.ID, current.Digest, delta.Digest)
	case delta.ID == current.ID || delta.ID.Before(current.ID):
		return AlreadyApplied, nil
	case delta.IsSnapshot() || delta.BaseDigest == current.Digest:
		return Applied, nil
	case delta.ID.Epoch == current.ID.Epoch && current.ID.Before(delta.Base):
		return Gap, fmt.Errorf("version %v leads from %v, the replica runs %v", delta.ID, delta.Base, current.ID)
	}
	return UnknownBase, fmt.Errorf("version %v leads from %v, the replica runs %v", delta.ID, delta.BaseDigest, current.Digest)
}

// NextSnapshotRequest returns when to request a snapshot, as the time since the replica's start; false: none is wanted.
func (r *Replica) NextSnapshotRequest() (at time.Duration, wanted bool) {
	return r.request.at, r.request.wanted
}

// SnapshotRequestDue tells whether a snapshot is to be requested now. The next request, should this one bring nothing,
// then comes later, with growing intervals.
func (r *Replica) SnapshotRequestDue(now time.Duration) bool {
	if !r.request.wanted || now < r.request.at {
		return false
	}
	r.request.wanted = false
	r.request.schedule(now)
	return true
}

// snapshotRequest is when a replica requests a snapshot.
type snapshotRequest struct {
	settings RetrySettings
	rng      *rand.Rand
	wanted   bool
	at       time.Duration // while wanted
	attempts int           // since the last version that was applied
}

// schedule sets the time of a request unless one is wanted already.
func (r *snapshotRequest) schedule(now time.Duration) {
	if r.wanted {
		return
	}
	r.wanted = true
	r.at = now + r.settings.Delay(r.attempts, r.rng.Float64())
	r.attempts++
}

func (r *snapshotRequest) cancel() {
	r.wanted = false
	r.attempts = 0
}
