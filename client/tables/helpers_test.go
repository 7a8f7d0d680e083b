package tables

import (
	"bytes"
	"encoding/hex"
	"testing"
)

func testKey(t testing.TB, secret byte) Key {
	t.Helper()
	key, err := NewKey(bytes.Repeat([]byte{secret}, secretLen))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func testKeys(t testing.TB) Keys {
	t.Helper()
	return Keys{testKey(t, 7)}
}

// exampleOps returns the operations that make the example state of docs/tables-format.md.
func exampleOps() []Op {
	return []Op{
		{Kind: SetWeight, Table: 0, Server: "s-1", Weight: 100},
		{Kind: SetWeight, Table: 0, Server: "s-2", Weight: 62.5},
		{Kind: SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: AdmissionLevel{Amount: 0.75, Retry: 1}},
		{Kind: SetWeight, Table: 300, Server: "s-1", Weight: 1},
		{Kind: Withdraw, Server: "s-3"},
	}
}

func exampleState(t testing.TB) *State {
	t.Helper()
	return apply(t, EmptyState(), exampleOps()...)
}

func apply(t testing.TB, state *State, ops ...Op) *State {
	t.Helper()
	next, err := state.Apply(ops)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// encodeDiff encodes the delta between two states.
func encodeDiff(t testing.TB, id, base ID, from, to *State, keys Keys) []byte {
	t.Helper()
	return encode(t, keys, Delta{
		ID:          id,
		Base:        base,
		BaseDigest:  from.Digest(),
		Digest:      to.Digest(),
		CreatedAtMs: 1_790_000_000_000,
		Cause:       "list",
		Ops:         Diff(from, to),
	})
}

func encode(t testing.TB, keys Keys, delta Delta) []byte {
	t.Helper()
	encoded, err := delta.Encode(keys)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// encodeSnapshot encodes a state as a snapshot.
func encodeSnapshot(t testing.TB, id ID, state *State, keys Keys) []byte {
	t.Helper()
	return encodeDiff(t, id, ID{}, EmptyState(), state, keys)
}

func toHex(digest Digest) string { return hex.EncodeToString(digest[:]) }
