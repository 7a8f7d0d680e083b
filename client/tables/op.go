package tables

import (
	"fmt"
	"maps"
	"math"

	"github.com/zeebo/blake3"
)

// OpKind is the kind of an operation.
type OpKind uint8

// Operation kinds. The encoding of deltas contains these numbers, so they must not change.
const (
	SetWeight         OpKind = 1 + iota // sets the weight of a server in a table; weight 0 removes the server
	SetAdmissionLevel                   // sets the admission level of a set of traffic classes in a table
	Withdraw                            // withdraws a server from all tables
	Restore                             // ends the withdrawal of a server
	ClearTable                          // removes all weights and admission levels of a table
)

// Op is a single change to a State. Fields that its kind does not use are zero.
type Op struct {
	Kind           OpKind         `json:"Kind"`
	Table          uint32         `json:"Table"`
	Server         string         `json:"Server"`
	Weight         float64        `json:"Weight"`
	Classes        uint64         `json:"Mask"` // bit mask of traffic classes
	AdmissionLevel AdmissionLevel `json:"Level"`
}

// maxServerLen is the maximum length of a server ID in bytes.
const maxServerLen = 255

func (o *Op) changesWithdrawn() bool { return o.Kind == Withdraw || o.Kind == Restore }

func (o *Op) hasServer() bool { return o.Kind == SetWeight || o.changesWithdrawn() }

// InvalidOpError reports an operation that is invalid for every state.
type InvalidOpError struct {
	Op     Op
	Reason string
}

// Error returns the reason why the operation is invalid.
func (e *InvalidOpError) Error() string { return e.Reason }

// validate returns an *InvalidOpError if the operation is invalid for every state.
func (o *Op) validate() error {
	switch {
	case o.Kind < SetWeight || o.Kind > ClearTable:
		return o.invalid("unknown operation kind %d, expected %d to %d", o.Kind, SetWeight, ClearTable)
	case o.hasServer() && (o.Server == "" || len(o.Server) > maxServerLen):
		return o.invalid("server ID of %d bytes, expected 1 to %d bytes", len(o.Server), maxServerLen)
	case o.Kind == SetWeight && !isFiniteNonNegative(o.Weight):
		return o.invalid("weight %v of server %q, expected a finite number of at least 0", o.Weight, o.Server)
	case o.Kind == SetAdmissionLevel && !isFiniteNonNegative(o.AdmissionLevel.Amount):
		return o.invalid("admission level %v of table %d, expected a finite number of at least 0", o.AdmissionLevel.Amount, o.Table)
	}
	return nil
}

func (o *Op) invalid(format string, values ...any) error {
	return &InvalidOpError{Op: *o, Reason: fmt.Sprintf(format, values...)}
}

// isFiniteNonNegative reports whether a weight or an admission level is finite and at least 0.
func isFiniteNonNegative(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// Apply returns the state that results from applying the operations in order; s itself does not change. If any operation
// is invalid, it applies none of them and returns an error that wraps an *InvalidOpError.
func (s *State) Apply(ops []Op) (*State, error) {
	changesWithdrawn := false
	for i := range ops {
		if err := ops[i].validate(); err != nil {
			return nil, fmt.Errorf("op %d: %w", i, err)
		}
		changesWithdrawn = changesWithdrawn || ops[i].changesWithdrawn()
	}
	next := &State{tables: maps.Clone(s.tables), withdrawn: s.withdrawn}
	if changesWithdrawn {
		next.withdrawn = maps.Clone(s.withdrawn)
	}
	copies := tableCopies{}
	for i := range ops {
		next.apply(&ops[i], copies)
	}
	copies.finalize(next)
	next.digest = next.computeDigest()
	return next, nil
}

// apply applies one operation to a state under construction. The caller has copied s.withdrawn if any of the operations
// changes it; copies holds the tables that have been copied so far.
func (s *State) apply(op *Op, copies tableCopies) {
	switch op.Kind {
	case SetWeight:
		weights := copies.copyOf(s, op.Table).Weights
		if op.Weight == 0 {
			delete(weights, op.Server)
		} else {
			weights[op.Server] = op.Weight
		}
	case SetAdmissionLevel:
		const positiveZero = 0 // -0 + 0 is +0, so both zeros get the same canonical form
		copies.copyOf(s, op.Table).AdmissionLevels[op.Classes] = AdmissionLevel{
			Amount: op.AdmissionLevel.Amount + positiveZero,
			Retry:  op.AdmissionLevel.Retry,
		}
	case Withdraw:
		s.withdrawn[op.Server] = true
	case Restore:
		delete(s.withdrawn, op.Server)
	case ClearTable:
		table := copies.copyOf(s, op.Table)
		clear(table.Weights)
		clear(table.AdmissionLevels)
	}
}

// tableCopies holds, by table ID, the tables that a state under construction has copied and may change. Its other tables
// are shared with the previous state.
type tableCopies map[uint32]*Table

// copyOf returns the state's own copy of a table. On first use it makes the copy and stores it in the state.
func (c tableCopies) copyOf(state *State, id uint32) *Table {
	if table := c[id]; table != nil {
		return table
	}
	table := &Table{Weights: map[string]float64{}, AdmissionLevels: map[uint64]AdmissionLevel{}}
	if shared := state.tables[id]; shared != nil {
		maps.Copy(table.Weights, shared.Weights)
		maps.Copy(table.AdmissionLevels, shared.AdmissionLevels)
	}
	c[id] = table
	state.tables[id] = table
	return table
}

// finalize computes the digests of the copied tables and removes the empty ones from the state.
func (c tableCopies) finalize(state *State) {
	for id, table := range c {
		if table.isEmpty() {
			delete(state.tables, id)
			continue
		}
		table.digest = blake3.Sum256(table.appendCanonical([]byte(tableDomain)))
	}
}
