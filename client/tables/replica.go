package tables

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is the result of receiving a delta. Its numeric value is part of the protocol.
type Outcome int

// Outcomes of Replica.Receive. A delta with any outcome other than Applied leaves the replica unchanged.
const (
	Applied         Outcome = iota // the replica now runs the delta's version
	AlreadyApplied                 // the replica already runs this version or a later one of the same epoch
	Malformed                      // the delta can't be decoded
	Unauthenticated                // the delta is not signed by a valid key
	OlderEpoch                     // the delta's epoch is older: another manager has taken over
	Gap                            // the replica has missed versions that precede the delta
	UnknownBase                    // the delta's base is not the replica's state
	WrongDigest                    // the delta's operations don't result in the state that its digest identifies
	Conflict                       // the replica has different content under the same version ID: two managers are writing
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

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// VersionRef identifies a version by its ID and the digest of its content.
type VersionRef struct {
	ID     ID
	Digest Digest
}

// Replica holds the last valid version of the tables. It applies each delta completely or not at all: a rejected delta
// changes neither its version nor its state. It is not safe for concurrent use.
type Replica struct {
	keys     Keys
	version  VersionRef
	state    *State
	request  snapshotRequest
	outcomes [len(outcomeNames)]int
}

// NewReplica returns a replica that has no version yet. The settings determine the intervals between its snapshot
// requests. The seed determines their jitter: replicas with different seeds don't all send their requests at once.
func NewReplica(keys Keys, settings RetrySettings, seed uint64) *Replica {
	const stream = 11 // second seed of the random number generator
	state := EmptyState()
	return &Replica{
		keys:    keys,
		version: VersionRef{Digest: state.Digest()},
		state:   state,
		request: snapshotRequest{settings: settings, rng: rand.New(rand.NewPCG(seed, stream))},
	}
}

// SetKeys replaces the valid keys, for example during key rotation.
func (r *Replica) SetKeys(keys Keys) { r.keys = keys }

// Version returns the version that the replica runs. Its ID is zero until the first version has been applied.
func (r *Replica) Version() VersionRef { return r.version }

// State returns the state of the version that the replica runs.
func (r *Replica) State() *State { return r.state }

// OutcomeCount returns how many received deltas had the given outcome.
func (r *Replica) OutcomeCount(outcome Outcome) int { return r.outcomes[outcome] }

// Receive decodes and verifies a delta and applies it if it follows the replica's version. If it rejects the delta, err
// is the reason and the version stays; for AlreadyApplied, err is nil. now is the time since the replica's start. After an
// outcome from which only a snapshot can recover, NextSnapshotRequest returns when to request one.
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
		return WrongDigest, fmt.Errorf("applying version %v gives digest %v, expected %v", delta.ID, next.Digest(), delta.Digest)
	}
	r.state = next
	r.version = VersionRef{ID: delta.ID, Digest: delta.Digest}
	return Applied, nil
}

// checkOrder checks whether a delta can be applied to the replica's version. If so, it returns Applied.
func (r *Replica) checkOrder(delta *Delta) (Outcome, error) {
	current := r.version
	switch {
	case delta.ID.Epoch < current.ID.Epoch:
		return OlderEpoch, fmt.Errorf("version %v has an older epoch than the current version %v", delta.ID, current.ID)
	case delta.ID == current.ID && delta.Digest != current.Digest:
		return Conflict, fmt.Errorf("version %v has digest %v in this replica, but %v in the delta", delta.ID, current.Digest, delta.Digest)
	case delta.ID == current.ID || delta.ID.Before(current.ID):
		return AlreadyApplied, nil
	case delta.IsSnapshot() || delta.BaseDigest == current.Digest:
		return Applied, nil
	case delta.ID.Epoch == current.ID.Epoch && current.ID.Before(delta.Base):
		return Gap, fmt.Errorf("version %v has base version %v, but the replica runs version %v", delta.ID, delta.Base, current.ID)
	}
	return UnknownBase, fmt.Errorf("version %v has base digest %v, but the replica has digest %v", delta.ID, delta.BaseDigest, current.Digest)
}

// NextSnapshotRequest returns when to request a snapshot, as the time since the replica's start, and whether one is
// scheduled.
func (r *Replica) NextSnapshotRequest() (at time.Duration, scheduled bool) {
	return r.request.at, r.request.scheduled
}

// SnapshotRequestDue reports whether the caller must request a snapshot now. If so, it also schedules the next request,
// in case this one is not answered; the intervals grow with each request until a version is applied.
func (r *Replica) SnapshotRequestDue(now time.Duration) bool {
	if !r.request.scheduled || now < r.request.at {
		return false
	}
	r.request.scheduled = false
	r.request.schedule(now)
	return true
}

// snapshotRequest schedules the snapshot requests of a replica.
type snapshotRequest struct {
	settings  RetrySettings
	rng       *rand.Rand
	scheduled bool
	at        time.Duration // since the replica's start; valid while scheduled is true
	attempts  int           // requests scheduled since the last applied version
}

// schedule sets the time of the next request unless one is already scheduled.
func (r *snapshotRequest) schedule(now time.Duration) {
	if r.scheduled {
		return
	}
	r.scheduled = true
	r.at = now + r.settings.Delay(r.attempts, r.rng.Float64())
	r.attempts++
}

func (r *snapshotRequest) cancel() {
	r.scheduled = false
	r.attempts = 0
}
