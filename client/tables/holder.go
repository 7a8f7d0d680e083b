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
	Applied     Outcome = iota
	Again               // it is held already; nothing changed
	Spoilt              // its form can't be read
	Unauthentic         // no valid key signed it
	OlderEpoch          // another writer has taken over
	Gap                 // versions before it are missing
	UnknownBase         // it leads from a state that is not held
	WrongDigest         // its ops do not lead to the state that it names
	Conflict            // another version of the same place is held: two write
)

var outcomes = []string{"applied", "again", "spoilt", "unauthentic", "older epoch", "gap", "unknown base", "wrong digest", "conflict"}

// String is the name of an outcome.
func (o Outcome) String() string { return outcomes[o] }

// Held is the version that a holder runs.
type Held struct {
	ID     ID
	Digest Digest
}

// Patience says how often a holder asks for a whole table.
type Patience struct {
	First, Most time.Duration // between two asks; doubled each time, spread by chance between a half and all of it
}

// Holder keeps the last good version of the tables. It applies a delta whole or not at all; what it refuses changes
// nothing. It is not safe for use by several goroutines.
type Holder struct {
	keys     Keys
	patience Patience
	chance   *rand.Rand
	held     Held
	state    *State
	asks     int
	askAt    time.Duration
	asking   bool
	counts   [kinds]int
}

const kinds = int(Conflict) + 1 // of outcomes

// NewHolder makes a holder of nothing. The seed spreads its asks.
func NewHolder(keys Keys, p Patience, seed uint64) *Holder {
	s := Empty()
	return &Holder{keys: keys, patience: p, chance: rand.New(rand.NewPCG(seed, 11)), state: s, held: Held{Digest: s.Digest()}}
}

// Turn takes other keys from now on, as while one is turned over.
func (h *Holder) Turn(keys Keys) { h.keys = keys }

// Held is the version that it runs; the zero ID before the first.
func (h *Holder) Held() Held { return h.held }

// State is the last good state. It never changes; a later version is another one.
func (h *Holder) State() *State { return h.state }

// Count is how many deltas had an outcome.
func (h *Holder) Count(o Outcome) int { return h.counts[o] }

// Receive takes an encoded delta at a time since the holder's start. Where it is refused, err says why, and the state
// is as before. Where it can't go on without a whole table, Ask says when to ask for one.
func (h *Holder) Receive(now time.Duration, b []byte) (o Outcome, err error) {
	o, err = h.receive(b)
	h.counts[o]++
	switch o {
	case Applied:
		h.asking, h.asks = false, 0
	case Gap, UnknownBase, WrongDigest, Conflict, Spoilt:
		h.want(now)
	}
	return o, err
}

func (h *Holder) receive(b []byte) (Outcome, error) {
	d, err := Decode(b, h.keys)
	switch {
	case errors.Is(err, ErrUnauthentic):
		return Unauthentic, err
	case err != nil:
		return Spoilt, err
	case d.ID.Epoch < h.held.ID.Epoch:
		return OlderEpoch, fmt.Errorf("version %v is of an older epoch than %v", d.ID, h.held.ID)
	case d.ID == h.held.ID && d.To != h.held.Digest:
		return Conflict, fmt.Errorf("version %v is %v here and %v there", d.ID, h.held.Digest, d.To)
	case d.ID == h.held.ID || d.ID.Before(h.held.ID):
		return Again, nil
	case !d.Whole() && d.From != h.held.Digest && d.ID.Epoch == h.held.ID.Epoch && h.held.ID.Before(d.Base):
		return Gap, fmt.Errorf("version %v leads from %v, and %v is held", d.ID, d.Base, h.held.ID)
	case !d.Whole() && d.From != h.held.Digest:
		return UnknownBase, fmt.Errorf("version %v leads from %v, and %v is held", d.ID, d.From, h.held.Digest)
	}
	from := h.state
	if d.Whole() {
		from = Empty()
	}
	next, err := from.Apply(d.Ops)
	if err != nil {
		return WrongDigest, err
	}
	if next.Digest() != d.To {
		return WrongDigest, fmt.Errorf("version %v leads to %v, not to %v", d.ID, next.Digest(), d.To)
	}
	h.state, h.held = next, Held{d.ID, d.To}
	return Applied, nil
}

// want sets when to ask for a whole table, unless that is set.
func (h *Holder) want(now time.Duration) {
	if h.asking {
		return
	}
	wait := h.patience.First << min(h.asks, 20)
	if wait > h.patience.Most || wait <= 0 {
		wait = h.patience.Most
	}
	h.asking, h.asks = true, h.asks+1
	h.askAt = now + wait/2 + time.Duration(h.chance.Float64()*float64(wait)/2)
}

// Ask tells whether a whole table is to be asked for now, or else when; false, 0 where it isn't wanted. An ask that
// brings nothing is followed by others, ever more slowly.
func (h *Holder) Ask(now time.Duration) (due bool, at time.Duration) {
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
