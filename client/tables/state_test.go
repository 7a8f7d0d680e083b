package tables

import (
	"errors"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestADigestDependsOnContentAlone(t *testing.T) {
	ops := exampleOps()
	state := exampleState(t)
	reordered := apply(t, EmptyState(), ops[4], ops[3], ops[2], ops[1], ops[0],
		Op{Kind: SetWeight, Table: 9, Server: "x", Weight: 1}, Op{Kind: ClearTable, Table: 9})
	if state.Digest() != reordered.Digest() {
		t.Error("the order of operations, or an empty table, changes the digest")
	}
	nextWeight := Op{Kind: SetWeight, Table: 0, Server: "s-1", Weight: math.Nextafter(100, 101)}
	if apply(t, state, nextWeight).Digest() == state.Digest() {
		t.Error("a weight does not change the digest")
	}
	if state.Table(0).Weights["s-1"] != 100 {
		t.Error("a state changed")
	}
}

func TestApplyTakesAllOperationsOrNone(t *testing.T) {
	state := exampleState(t)
	for name, op := range map[string]Op{
		"weight is not a number": {Kind: SetWeight, Server: "x", Weight: math.NaN()},
		"negative weight":        {Kind: SetWeight, Server: "x", Weight: -1},
		"infinite weight":        {Kind: SetWeight, Server: "x", Weight: math.Inf(1)},
		"weight of no server":    {Kind: SetWeight, Weight: 1},
		"withdrawal of none":     {Kind: Withdraw},
		"unknown kind":           {Kind: 9},
		"no kind":                {},
		"negative level":         {Kind: SetAdmissionLevel, AdmissionLevel: AdmissionLevel{Amount: -1}},
		"long server":            {Kind: Restore, Server: strings.Repeat("x", 256)},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := state.Apply([]Op{{Kind: ClearTable, Table: 0}, op})
			var invalid *InvalidOpError
			if next != nil || !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), "op 1: ") {
				t.Errorf("state %v, error %v", next, err)
			}
		})
	}
	if state.Digest() != exampleState(t).Digest() {
		t.Error("a state changed")
	}
}

func TestDiffLeadsFromAnyStateToAnyOther(t *testing.T) {
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
			rt.Fatalf("%v leads to %v", Diff(from, to), got)
		}
	})
}

func TestWeightCountIsThatOfAllTables(t *testing.T) {
	if got := exampleState(t).WeightCount(); got != 3 {
		t.Errorf("%d weights, want 3", got)
	}
}
