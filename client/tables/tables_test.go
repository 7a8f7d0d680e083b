package tables

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func key(t testing.TB, b byte) Key {
	k, err := NewKey(bytes.Repeat([]byte{b}, 32))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

var first = []Op{
	{Kind: SetWeight, Table: 0, Server: "s-1", Weight: 100}, {Kind: SetWeight, Table: 0, Server: "s-2", Weight: 62.5},
	{Kind: SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: AdmissionLevel{0.75, 1}}, {Kind: SetWeight, Table: 300, Server: "s-1", Weight: 1}, {Kind: Withdraw, Server: "s-3"},
}

func apply(t testing.TB, s *State, ops ...Op) *State {
	next, err := s.Apply(ops)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// encoded is the delta between two states.
func encoded(t testing.TB, id, base ID, from, to *State, keys Keys) []byte {
	d := Delta{ID: id, Base: base, BaseDigest: from.Digest(), Digest: to.Digest(), CreatedAtMs: 1_790_000_000_000, Cause: "list", Ops: Diff(from, to)}
	b, err := d.Encode(keys)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The vectors of docs/tables-format.md.
func TestVectors(t *testing.T) {
	s := apply(t, EmptyState(), first...)
	for what, pair := range map[string][2]string{
		"empty state": {hexOf(EmptyState().Digest()), "c296e466d3a3c04967adaefc7f3585e50555b18e960678bdc1fc3c921c68e2f2"},
		"state":       {hexOf(s.Digest()), "829320f60405661aa54ec2a155fa64ea8b842c451118548d044d68ea36394535"},
		"table 0":     {hex.EncodeToString(s.Table(0).canonical([]byte("TSTb1"))), "54535462310203732d31405900000000000003732d32404f40000000000001023fe800000000000001"},
		"key":         {hex.EncodeToString(func() []byte { id := key(t, 7).ID; return id[:] }()), "01e90df8"},
		"delta": {hex.EncodeToString(encoded(t, ID{3, 1}, ID{}, EmptyState(), s, Keys{key(t, 7)})), "545344310301000080d8c1a28c34c296e466d3a3c04967adaefc7f3585e50555b18e960678bdc1fc3c921c68e2f2" +
			"829320f60405661aa54ec2a155fa64ea8b842c451118548d044d68ea36394535046c697374050303732d33010003732d3140590000" +
			"00000000010003732d32404f4000000000000200023fe80000000000000101ac0203732d313ff000000000000001e90df8d191ced5" +
			"1563ef110805014a5b9c9fb837e6ec5e98867b1af510c4a31a04fd75"},
	} {
		if pair[0] != pair[1] {
			t.Errorf("%s: %s", what, pair[0])
		}
	}
}

func hexOf(d Digest) string { return hex.EncodeToString(d[:]) }

func TestTheDigestIsThatOfTheContent(t *testing.T) {
	a := apply(t, EmptyState(), first...)
	b := apply(t, EmptyState(), first[4], first[3], first[2], first[1], first[0], Op{Kind: SetWeight, Table: 9, Server: "x", Weight: 1},
		Op{Kind: ClearTable, Table: 9})
	if a.Digest() != b.Digest() {
		t.Error("the order of ops, or a table without anything, shows")
	}
	if c := apply(t, a, Op{Kind: SetWeight, Table: 0, Server: "s-1", Weight: math.Nextafter(100, 101)}); c.Digest() == a.Digest() {
		t.Error("a weight does not show")
	}
	if a.Table(0).Weights["s-1"] != 100 {
		t.Error("a state changed")
	}
}

func TestApplyTakesAllOpsOrNone(t *testing.T) {
	a := apply(t, EmptyState(), first...)
	for _, bad := range []Op{{Kind: SetWeight, Server: "x", Weight: math.NaN()}, {Kind: SetWeight, Server: "x", Weight: -1},
		{Kind: SetWeight, Server: "x", Weight: math.Inf(1)}, {Kind: SetWeight, Weight: 1}, {Kind: Withdraw}, {Kind: 9},
		{Kind: SetAdmissionLevel, AdmissionLevel: AdmissionLevel{Amount: -1}}, {Kind: Restore, Server: strings.Repeat("x", 256)}} {
		if next, err := a.Apply([]Op{{Kind: ClearTable, Table: 0}, bad}); err == nil || next != nil {
			t.Errorf("%+v is taken", bad)
		}
	}
	if a.Digest() != apply(t, EmptyState(), first...).Digest() {
		t.Error("a state changed")
	}
}

func holder(t testing.TB) (*Replica, *State) {
	h, s := NewReplica(Keys{key(t, 7)}, RetrySettings{100 * time.Millisecond, time.Second}, 1), apply(t, EmptyState(), first...)
	if o, err := h.Receive(0, encoded(t, ID{3, 5}, ID{}, EmptyState(), s, Keys{key(t, 7)})); o != Applied {
		t.Fatal(o, err)
	}
	return h, s
}

func TestAHolderKeepsItsLastGoodVersion(t *testing.T) {
	k := Keys{key(t, 7)}
	h, s := holder(t)
	next := apply(t, s, Op{Kind: SetWeight, Table: 0, Server: "s-1", Weight: 50})
	other := apply(t, s, Op{Kind: SetWeight, Table: 0, Server: "s-9", Weight: 50})
	good := encoded(t, ID{3, 6}, ID{3, 5}, s, next, k)
	lies := Delta{ID: ID{3, 6}, Base: ID{3, 5}, BaseDigest: s.Digest(), Digest: other.Digest(), Ops: Diff(s, next)}
	wrong, _ := lies.Encode(k)
	flipped := bytes.Clone(good)
	flipped[len(flipped)-1] ^= 1
	for name, one := range map[string]struct {
		b    []byte
		want Outcome
	}{
		"bad sum, right digest": {flipped, Unauthenticated},
		"unknown key":           {encoded(t, ID{3, 6}, ID{3, 5}, s, next, Keys{key(t, 8)}), Unauthenticated},
		"cut in the middle":     {good[:len(good)/2], Malformed},
		"a byte short":          {good[:len(good)-1], Unauthenticated},
		"nothing":               {nil, Malformed},
		"wrong digest":          {wrong, WrongDigest},
		"gap":                   {encoded(t, ID{3, 8}, ID{3, 7}, next, s, k), Gap},
		"unknown base":          {encoded(t, ID{3, 6}, ID{3, 5}, other, next, k), UnknownBase},
		"older epoch":           {encoded(t, ID{2, 99}, ID{}, EmptyState(), next, k), OlderEpoch},
		"older number":          {encoded(t, ID{3, 4}, ID{}, EmptyState(), next, k), AlreadyApplied},
		"two writers":           {encoded(t, ID{3, 5}, ID{3, 4}, s, other, k), Conflict},
		"twice":                 {encoded(t, ID{3, 5}, ID{}, EmptyState(), s, k), AlreadyApplied},
	} {
		if o, err := h.Receive(0, one.b); o != one.want || (err == nil) != (o == AlreadyApplied) {
			t.Errorf("%s: %v %v", name, o, err)
		}
		if h.Version() != (VersionRef{ID{3, 5}, s.Digest()}) || h.State().Digest() != s.Digest() {
			t.Fatalf("%s: %v is held", name, h.Version())
		}
	}
	if o, err := h.Receive(0, good); o != Applied || h.State().Digest() != next.Digest() {
		t.Error(o, err)
	}
	if o, _ := h.Receive(0, good); o != AlreadyApplied {
		t.Errorf("applied twice: %v", o)
	}
}

func TestALaterEpochGoesOnFromTheSameContent(t *testing.T) {
	h, s := holder(t)
	next := apply(t, s, Op{Kind: Withdraw, Server: "s-1"})
	if o, err := h.Receive(0, encoded(t, ID{4, 1}, ID{3, 2}, s, next, Keys{key(t, 7)})); o != Applied {
		t.Error(o, err)
	}
	if o, _ := h.Receive(0, encoded(t, ID{3, 6}, ID{3, 5}, s, next, Keys{key(t, 7)})); o != OlderEpoch {
		t.Error(o)
	}
}

func TestKeysAreTurnedOverWithBothValid(t *testing.T) {
	h, s := holder(t)
	next := apply(t, s, Op{Kind: Withdraw, Server: "s-1"})
	h.SetKeys(Keys{key(t, 8), key(t, 7)})
	if o, err := h.Receive(0, encoded(t, ID{3, 6}, ID{3, 5}, s, next, Keys{key(t, 8), key(t, 7)})); o != Applied {
		t.Error(o, err)
	}
	if o, err := h.Receive(0, encoded(t, ID{3, 7}, ID{3, 6}, next, s, Keys{key(t, 7)})); o != Applied {
		t.Error(o, err)
	}
	h.SetKeys(Keys{key(t, 8)})
	if o, _ := h.Receive(0, encoded(t, ID{3, 8}, ID{3, 7}, s, next, Keys{key(t, 7)})); o != Unauthenticated {
		t.Error(o)
	}
}

func TestAsksAreBoundedAndSpread(t *testing.T) {
	at := map[time.Duration]bool{}
	for seed := range uint64(50) {
		h := NewReplica(Keys{key(t, 7)}, RetrySettings{100 * time.Millisecond, time.Second}, seed)
		h.Receive(0, nil)
		_, first := h.Ask(0)
		at[first] = true
		asks := 0
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if due, _ := h.Ask(now); due {
				asks++
			}
			h.Receive(now, nil) // refused again and again: no further ask for that
		}
		if asks < 60 || asks > 130 {
			t.Fatalf("%d asks in a minute", asks)
		}
	}
	if len(at) < 40 {
		t.Errorf("50 holders ask at %d times", len(at))
	}
}

func TestDiffLeadsFromAnyStateToAnyOther(t *testing.T) {
	op := rapid.Custom(func(t *rapid.T) Op {
		return Op{Kind: OpKind(rapid.IntRange(1, 5).Draw(t, "kind")), Table: uint32(rapid.IntRange(0, 3).Draw(t, "table")),
			Server: string(rune('a' + rapid.IntRange(0, 4).Draw(t, "server"))), Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
			Classes: uint64(rapid.IntRange(1, 3).Draw(t, "mask")), AdmissionLevel: AdmissionLevel{float64(rapid.IntRange(0, 2).Draw(t, "amount")), 1}}
	})
	rapid.Check(t, func(rt *rapid.T) {
		a := apply(t, EmptyState(), rapid.SliceOfN(op, 0, 30).Draw(rt, "a")...)
		b := apply(t, EmptyState(), rapid.SliceOfN(op, 0, 30).Draw(rt, "b")...)
		if got := apply(t, a, Diff(a, b)...); got.Digest() != b.Digest() {
			rt.Fatalf("%v leads to %v", Diff(a, b), got)
		}
	})
}

func FuzzDecode(f *testing.F) {
	k := Keys{key(f, 7)}
	s := apply(f, EmptyState(), first...)
	f.Add(encoded(f, ID{3, 1}, ID{}, EmptyState(), s, k)[4:])
	f.Fuzz(func(t *testing.T, body []byte) {
		// what is signed is read to its end, whatever it holds: the sum is put right
		b := append(append([]byte(magic), body...), k[0].ID[:]...)
		sum := k[0].mac(b)
		d, err := Decode(append(b, sum[:]...), k)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Error(err)
			}
			return
		}
		again, err := d.Encode(k)
		if err != nil || !bytes.Equal(again, append(b, sum[:]...)) {
			t.Errorf("%v: two forms of one delta", err)
		}
	})
}

func BenchmarkDelta(b *testing.B) {
	k := Keys{key(b, 7)}
	for _, lines := range []int{50, 500, 5000} {
		var ops, moved []Op
		for i := range lines {
			name := "s-" + hex.EncodeToString([]byte{byte(i >> 8), byte(i), 3})
			ops = append(ops, Op{Kind: SetWeight, Table: uint32(i / 50), Server: name, Weight: 100 + float64(i%9)})
			if i%100 == 7 {
				moved = append(moved, Op{Kind: SetWeight, Table: uint32(i / 50), Server: name, Weight: 50})
			}
		}
		s := apply(b, EmptyState(), ops...)
		next := apply(b, s, moved...)
		whole, delta := encoded(b, ID{1, 2}, ID{}, EmptyState(), next, k), encoded(b, ID{1, 2}, ID{1, 1}, s, next, k)
		for name, text := range map[string][]byte{"whole": whole, "delta": delta} {
			b.Run(fmt.Sprintf("%s/%d", name, lines), func(b *testing.B) {
				for b.Loop() {
					h := &Replica{keys: k, state: s, held: VersionRef{ID{1, 1}, s.Digest()}}
					if o, err := h.Receive(0, text); o != Applied {
						b.Fatal(o, err)
					}
				}
				b.ReportMetric(float64(len(text)), "bytes")
			})
		}
	}
}
