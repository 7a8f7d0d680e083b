package tables

import (
	"fmt"
	"maps"
	"math"

	"github.com/zeebo/blake3"
)

// OpKind is what an operation does.
type OpKind uint8

// Kinds of operations. Their numbers are part of the format.
const (
	SetWeight         OpKind = 1 + iota // of a server in a table; 0 removes it
	SetAdmissionLevel                   // of a mask of traffic classes in a table
	Withdraw                            // a server from all tables
	Restore                             // a withdrawn server
	ClearTable                          // its weights and admission levels
)

// Op is one change of a state. Fields that its kind does not use are zero.
type Op struct {
	Kind           OpKind         `json:"Kind"`
	Table          uint32         `json:"Table"`
	Server         string         `json:"Server"`
	Weight         float64        `json:"Weight"`
	Classes        uint64         `json:"Mask"` // mask of traffic classes
	AdmissionLevel AdmissionLevel `json:"Level"`
}

// maxServerLen is the most bytes of a server's ID.
const maxServerLen = 255

func (o *Op) changesWithdrawn() bool { return o.Kind == Withdraw || o.Kind == Restore }

func (o *Op) namesServer() bool { return o.Kind == SetWeight || o.changesWithdrawn() }

// InvalidOpError reports an operation that no state can apply.
type InvalidOpError struct {
	Op     Op
	Reason string
}

// Error returns the reason.
func (e *InvalidOpError) Error() string { return e.Reason }

// validate returns an *InvalidOpError where an operation is wrong by itself.
func (o *Op) validate() error {
	switch {
	case o.Kind < SetWeight || o.Kind > ClearTable:
		return o.invalid("kind %d of an operation is unknown, expected %d to %d", o.Kind, SetWeight, ClearTable)
	case o.namesServer() && (o.Server == "" || len(o.Server) > maxServerLen):
		return o.invalid("a server's ID has %d bytes, expected 1 to %d", len(o.Server), maxServerLen)
	case o.Kind == SetWeight && !isValidNumber(o.Weight):
		return o.invalid("weight %v of %s is not finite and at least 0", o.Weight, o.Server)
	case o.Kind == SetAdmissionLevel && !isValidNumber(o.AdmissionLevel.Amount):
		return o.invalid("admission level %v of table %d is not finite and at least 0", o.AdmissionLevel.Amount, o.Table)
	}
	return nil
}

func (o *Op) invalid(format string, values ...any) error {
	return &InvalidOpError{Op: *o, Reason: fmt.Sprintf(format, values...)}
}

// isValidNumber tells whether a weight or level is finite and at least 0.
func isValidNumber(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// Apply returns the state that operations lead to, one after another: all of them, or an error and nothing. The error
// wraps an *InvalidOpError.
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
	changed := tableCopies{}
	for i := range ops {
		next.apply(&ops[i], changed)
	}
	changed.finish(next)
	next.digest = next.computeDigest()
	return next, nil
}

// apply changes a state that is not complete yet; its withdrawn servers are its own.
func (s *State) apply(op *Op, changed tableCopies) {
	switch op.Kind {
	case SetWeight:
		weights := changed.of(s, op.Table).Weights
		if op.Weight == 0 {
			delete(weights, op.Server)
		} else {
			weights[op.Server] = op.Weight
		}
	case SetAdmissionLevel:
		const positiveZero = 0 // a negative zero plus it is a positive one
		changed.of(s, op.Table).AdmissionLevels[op.Classes] = AdmissionLevel{
			Amount: op.AdmissionLevel.Amount + positiveZero,
			Retry:  op.AdmissionLevel.Retry,
		}
	case Withdraw:
		s.withdrawn[op.Server] = true
	case Restore:
		delete(s.withdrawn, op.Server)
	case ClearTable:
		table := changed.of(s, op.Table)
		clear(table.Weights)
		clear(table.AdmissionLevels)
	}
}

// tableCopies are the tables of a state that is not complete yet which are its own and may be changed, by number. The
// others are shared with the state before it.
type tableCopies map[uint32]*Table

// of returns the copy of a table, and puts it into the state where there is none yet.
func (c tableCopies) of(state *State, id uint32) *Table {
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

// finish computes the digests of the copies, and removes from the state those that hold nothing any more.
func (c tableCopies) finish(state *State) {
	for id, table := range c {
		if table.isEmpty() {
			delete(state.tables, id)
			continue
		}
		table.digest = blake3.Sum256(table.appendCanonical([]byte(tableDomain)))
	}
}
