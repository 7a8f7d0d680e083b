package tables

import (
	"errors"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestDigestDependsOnlyOnContent(t *testing.T) {
	ops := exampleOps()
	state := exampleState(t)
	reordered := apply(t, EmptyState(), ops[4], ops[3], ops[2], ops[1], ops[0],
		Op{Kind: SetWeight, Table: 9, Server: "x", Weight: 1}, Op{Kind: ClearTable, Table: 9})
	if state.Digest() != reordered.Digest() {
		t.Error("the digest depends on the order of the operations or on an empty table")
	}
	nextWeight := Op{Kind: SetWeight, Table: 0, Server: "s-1", Weight: math.Nextafter(100, 101)}
	if apply(t, state, nextWeight).Digest() == state.Digest() {
		t.Error("the digest does not change with a weight")
	}
	if state.Table(0).Weights["s-1"] != 100 {
		t.Error("Apply changed the state that it was called on")
	}
}

func TestApplyIsAtomic(t *testing.T) {
	state := exampleState(t)
	for name, op := range map[string]Op{
		"weight is not a number":    {Kind: SetWeight, Server: "x", Weight: math.NaN()},
		"negative weight":           {Kind: SetWeight, Server: "x", Weight: -1},
		"infinite weight":           {Kind: SetWeight, Server: "x", Weight: math.Inf(1)},
		"weight without server":     {Kind: SetWeight, Weight: 1},
		"withdrawal without server": {Kind: Withdraw},
		"unknown kind":              {Kind: 9},
		"zero kind":                 {},
		"negative level":            {Kind: SetAdmissionLevel, AdmissionLevel: AdmissionLevel{Amount: -1}},
		"long server ID":            {Kind: Restore, Server: strings.Repeat("x", 256)},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := state.Apply([]Op{{Kind: ClearTable, Table: 0}, op})
			var invalid *InvalidOpError
			if next != nil || !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), "op 1: ") {
				t.Errorf("state %v, error %v, want no state and an *InvalidOpError for op 1", next, err)
			}
		})
	}
	if state.Digest() != exampleState(t).Digest() {
		t.Error("Apply changed the state that it was called on")
	}
}

func TestDiffChangesAnyStateIntoAnyOther(t *testing.T) {
	op := rapid.Custom(func(t *rapid.T) Op {
		return Op{
			Kind:    OpKind(rapid.IntRange(1, 5).Draw(t, "kind")),
			Table:   uint32(rapid.IntRange(0, 3).Draw(t, "table")),
			Server:  string(rune('a' + rapid.IntRange(0, 4).Draw(t, "server"))),
			Weight:  float64(rapid.IntRange(0, 3).Draw(t, "weight")),
			Classes: uint64(rapid.IntRange(1, 3).Draw(t, "classes")),
			AdmissionLevel: AdmissionLevel{
				Amount: float64(rapid.IntRange(0, 2).Draw(t, "amount")),
				Retry:  1,
			},
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		from := apply(t, EmptyState(), rapid.SliceOfN(op, 0, 30).Draw(rt, "from")...)
		to := apply(t, EmptyState(), rapid.SliceOfN(op, 0, 30).Draw(rt, "to")...)
		if got := apply(t, from, Diff(from, to)...); got.Digest() != to.Digest() {
			rt.Fatalf("the operations %v give the state %v, want %v", Diff(from, to), got, to)
		}
	})
}

func TestWeightCountIncludesAllTables(t *testing.T) {
	if got := exampleState(t).WeightCount(); got != 3 {
		t.Errorf("%d weights, want 3", got)
	}
}
