package tables

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is what became of a delta that a holder received.
type Outcome int

const (
	// Applied: the holder runs the version.
	Applied         Outcome = iota
	AlreadyApplied          // it is held already; nothing changed
	Malformed               // its form can't be read
	Unauthenticated         // no valid key signed it
	OlderEpoch              // another writer has taken over
	Gap                     // versions before it are missing
	UnknownBase             // it leads from a state that is not held
	WrongDigest             // its ops do not lead to the state that it names
	Conflict                // another version of the same place is held: two write
)

var outcomes = []string{"applied", "again", "spoilt", "unauthentic", "older epoch", "gap", "unknown base", "wrong digest", "conflict"}

// String is the name of an outcome.
func (o Outcome) String() string { return outcomes[o] }

// Held is the version that a holder runs.
type VersionRef struct {
	ID     ID
	Digest Digest
}

// Patience says how often a holder asks for a whole table.
type RetrySettings struct {
	InitialInterval, MaxInterval time.Duration // between two asks; doubled each time, spread by chance between a half and all of it
}

// Holder keeps the last good version of the tables. It applies a delta whole or not at all; what it refuses changes
// nothing. It is not safe for use by several goroutines.
type Replica struct {
	keys     Keys
	patience RetrySettings
	chance   *rand.Rand
	held     VersionRef
	state    *State
	asks     int
	askAt    time.Duration
	asking   bool
	counts   [kinds]int
}

const kinds = int(Conflict) + 1 // of outcomes

// NewHolder makes a holder of nothing. The seed spreads its asks.
func NewReplica(keys Keys, p RetrySettings, seed uint64) *Replica {
	s := EmptyState()
	return &Replica{keys: keys, patience: p, chance: rand.New(rand.NewPCG(seed, 11)), state: s, held: VersionRef{Digest: s.Digest()}}
}

// Turn takes other keys from now on, as while one is turned over.
func (h *Replica) SetKeys(keys Keys) { h.keys = keys }

// Held is the version that it runs; the zero ID before the first.
func (h *Replica) Version() VersionRef { return h.held }

// State is the last good state. It never changes; a later version is another one.
func (h *Replica) State() *State { return h.state }

// Count is how many deltas had an outcome.
func (h *Replica) OutcomeCount(o Outcome) int { return h.counts[o] }

// Receive takes an encoded delta at a time since the holder's start. Where it is refused, err says why, and the state
// is as before. Where it can't go on without a whole table, Ask says when to ask for one.
func (h *Replica) Receive(now time.Duration, b []byte) (o Outcome, err error) {
	o, err = h.receive(b)
	h.counts[o]++
	switch o {
	case Applied:
		h.asking, h.asks = false, 0
	case Gap, UnknownBase, WrongDigest, Conflict, Malformed:
		h.want(now)
	}
	return o, err
}

func (h *Replica) receive(b []byte) (Outcome, error) {
	d, err := Decode(b, h.keys)
	switch {
	case errors.Is(err, ErrUnauthenticated):
		return Unauthenticated, err
	case err != nil:
		return Malformed, err
	case d.ID.Epoch < h.held.ID.Epoch:
		return OlderEpoch, fmt.Errorf("version %v is of an older epoch than %v", d.ID, h.held.ID)
	case d.ID == h.held.ID && d.Digest != h.held.Digest:
		return Conflict, fmt.Errorf("version %v is %v here and %v there", d.ID, h.held.Digest, d.Digest)
	case d.ID == h.held.ID || d.ID.Before(h.held.ID):
		return AlreadyApplied, nil
	case !d.IsSnapshot() && d.BaseDigest != h.held.Digest && d.ID.Epoch == h.held.ID.Epoch && h.held.ID.Before(d.Base):
		return Gap, fmt.Errorf("version %v leads from %v, and %v is held", d.ID, d.Base, h.held.ID)
	case !d.IsSnapshot() && d.BaseDigest != h.held.Digest:
		return UnknownBase, fmt.Errorf("version %v leads from %v, and %v is held", d.ID, d.BaseDigest, h.held.Digest)
	}
	from := h.state
	if d.IsSnapshot() {
		from = EmptyState()
	}
	next, err := from.Apply(d.Ops)
	if err != nil {
		return WrongDigest, err
	}
	if next.Digest() != d.Digest {
		return WrongDigest, fmt.Errorf("version %v leads to %v, not to %v", d.ID, next.Digest(), d.Digest)
	}
	h.state, h.held = next, VersionRef{d.ID, d.Digest}
	return Applied, nil
}

// want sets when to ask for a whole table, unless that is set.
func (h *Replica) want(now time.Duration) {
	if h.asking {
		return
	}
	wait := h.patience.InitialInterval << min(h.asks, 20)
	if wait > h.patience.MaxInterval || wait <= 0 {
		wait = h.patience.MaxInterval
	}
	h.asking, h.asks = true, h.asks+1
	h.askAt = now + wait/2 + time.Duration(h.chance.Float64()*float64(wait)/2)
}

// Ask tells whether a whole table is to be asked for now, or else when; false, 0 where it isn't wanted. An ask that
// brings nothing is followed by others, ever more slowly.
func (h *Replica) Ask(now time.Duration) (due bool, at time.Duration) {
	switch {
	case !h.asking:
		return false, 0
	case now < 0 || now < h.askAt: // below 0: it is only asked when
		return false, h.askAt
	}
	h.asking = false
	h.want(now)
	return true, h.askAt
}
