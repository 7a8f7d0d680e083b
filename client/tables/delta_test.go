package tables

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

// Checks the test vectors of docs/tables-format.md.
func TestVectors(t *testing.T) {
	state := exampleState(t)
	keyID := testKey(t, 7).ID
	for name, gotAndWant := range map[string][2]string{
		"empty state": {toHex(EmptyState().Digest()), "c296e466d3a3c04967adaefc7f3585e50555b18e960678bdc1fc3c921c68e2f2"},
		"state":       {toHex(state.Digest()), "829320f60405661aa54ec2a155fa64ea8b842c451118548d044d68ea36394535"},
		"table 0": {hex.EncodeToString(state.Table(0).appendCanonical([]byte(tableDomain))),
			"54535462310203732d31405900000000000003732d32404f40000000000001023fe800000000000001"},
		"key": {hex.EncodeToString(keyID[:]), "01e90df8"},
		"delta": {hex.EncodeToString(encodeSnapshot(t, ID{3, 1}, state, testKeys(t))),
			"545344310301000080d8c1a28c34c296e466d3a3c04967adaefc7f3585e50555b18e960678bdc1fc3c921c68e2f2" +
				"829320f60405661aa54ec2a155fa64ea8b842c451118548d044d68ea36394535046c697374050303732d33010003732d3140590000" +
				"00000000010003732d32404f4000000000000200023fe80000000000000101ac0203732d313ff000000000000001e90df8d191ced5" +
				"1563ef110805014a5b9c9fb837e6ec5e98867b1af510c4a31a04fd75"},
	} {
		if got, want := gotAndWant[0], gotAndWant[1]; got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
}

// signBody returns an encoded delta with the given body and a valid signature. The body itself may be malformed.
func signBody(t testing.TB, body []byte) []byte {
	t.Helper()
	key := testKey(t, 7)
	b := append([]byte(magic), body...)
	b = append(b, key.ID[:]...)
	mac := key.mac(b)
	return append(b, mac[:]...)
}

// deltaBody returns the body of a delta with one operation, which is already encoded.
func deltaBody(cause string, op ...byte) []byte {
	body := []byte{3, 1, 0, 0, 0}
	body = append(body, make([]byte, 2*digestLen)...)
	body = appendString(body, cause)
	body = append(body, 1)
	return append(body, op...)
}

// malformedBody is the body of a delta that must be rejected, and a part of the expected error text.
type malformedBody struct {
	name      string
	body      []byte
	errorText string
}

func malformedBodies(valid []byte, withdrawX []byte) []malformedBody {
	setWeight := func(table uint64, weight float64) []byte {
		op := binary.AppendUvarint([]byte{byte(SetWeight)}, table)
		return appendFloat64(append(op, 1, 'x'), weight)
	}
	replaceByte := func(index int, bytes ...byte) []byte {
		return append(append(append([]byte{}, valid[:index]...), bytes...), valid[index+1:]...)
	}
	return []malformedBody{
		{"too short", valid[:20], "not a delta: 60 bytes"},
		{"longer form of a number", replaceByte(0, 0x83, 0), "a number is truncated or not in its shortest form"},
		{"number of 11 bytes", replaceByte(0, bytes.Repeat([]byte{0xff}, 11)...), "a number is truncated or not in its shortest form"},
		{"long cause", deltaBody(strings.Repeat("x", maxCauseLen+1), withdrawX...), "a string of 4097 bytes, expected at most 4096"},
		{"more operations than bytes", replaceByte(len(valid)-4, 4), "4 operations, but only 3 bytes are left"},
		{"cut operation", valid[:len(valid)-1], "truncated: expected 1 bytes, found 0"},
		{"cut weight", deltaBody("", setWeight(0, 1)[:11]...), "truncated: expected 8 bytes, found 7"},
		{"extra byte", append(append([]byte{}, valid...), 0), "1 unexpected bytes after the last operation"},
		{"unknown kind", deltaBody("", 6, 1, 'x'), "unknown operation kind 6, expected 1 to 5"},
		{"no server", deltaBody("", byte(Withdraw), 0), "server ID of 0 bytes, expected 1 to 255 bytes"},
		{"infinite weight", deltaBody("", setWeight(0, math.Inf(1))...), `weight +Inf of server "x", expected a finite number`},
		{"table above 32 bits", deltaBody("", setWeight(1<<32, 1)...), "table ID 4294967296, expected at most 4294967295"},
	}
}

func TestMalformedDeltasAreRejected(t *testing.T) {
	keys := testKeys(t)
	withdrawX := []byte{byte(Withdraw), 1, 'x'}
	valid := deltaBody("", withdrawX...)
	if _, err := Decode(signBody(t, valid), keys); err != nil {
		t.Fatalf("the valid delta that the malformed ones are made from: %v", err)
	}
	for _, test := range malformedBodies(valid, withdrawX) {
		t.Run(test.name, func(t *testing.T) {
			delta, err := Decode(signBody(t, test.body), keys)
			if delta != nil || !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), test.errorText) {
				t.Errorf("delta %v, error %v, want an error with the text %q", delta, err, test.errorText)
			}
		})
	}
	wrongMagic := signBody(t, valid)
	wrongMagic[0] = 'X'
	for name, encoded := range map[string][]byte{"other magic": wrongMagic, "too long": make([]byte, MaxDeltaBytes+1)} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(encoded, keys); !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v, want %v", err, ErrMalformed)
			}
		})
	}
}

func TestEncodeReportsErrors(t *testing.T) {
	large := Delta{Cause: strings.Repeat("x", MaxDeltaBytes)}
	if _, err := large.Encode(testKeys(t)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
	if _, err := new(Delta).Encode(nil); !errors.Is(err, ErrNoKey) {
		t.Errorf("error %v, want %v", err, ErrNoKey)
	}
}

func TestNewKeyRejectsWrongLength(t *testing.T) {
	for _, length := range []int{0, 31, 33} {
		if _, err := NewKey(make([]byte, length)); !errors.Is(err, ErrKeyLength) {
			t.Errorf("key of %d bytes: error %v, want %v", length, err, ErrKeyLength)
		}
	}
}

func FuzzDecode(f *testing.F) {
	keys := testKeys(f)
	f.Add(encodeSnapshot(f, ID{3, 1}, exampleState(f), keys)[len(magic):])
	f.Fuzz(func(t *testing.T, body []byte) {
		encoded := signBody(t, body)
		delta, err := Decode(encoded, keys)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Error(err)
			}
			return
		}
		reencoded, err := delta.Encode(keys)
		if err != nil || !bytes.Equal(reencoded, encoded) {
			t.Errorf("the decoded delta is not re-encoded to the same bytes, error %v", err)
		}
	})
}

func BenchmarkDelta(b *testing.B) {
	keys := testKeys(b)
	for _, servers := range []int{50, 500, 5000} {
		var initial, changed []Op
		for i := range servers {
			name := "s-" + hex.EncodeToString([]byte{byte(i >> 8), byte(i), 3})
			initial = append(initial, Op{Kind: SetWeight, Table: uint32(i / 50), Server: name, Weight: 100 + float64(i%9)})
			if i%100 == 7 {
				changed = append(changed, Op{Kind: SetWeight, Table: uint32(i / 50), Server: name, Weight: 50})
			}
		}
		base := apply(b, EmptyState(), initial...)
		next := apply(b, base, changed...)
		for name, encoded := range map[string][]byte{
			"whole": encodeSnapshot(b, ID{1, 2}, next, keys),
			"delta": encodeDiff(b, ID{1, 2}, ID{1, 1}, base, next, keys),
		} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				for b.Loop() {
					replica := &Replica{keys: keys, state: base, version: VersionRef{ID{1, 1}, base.Digest()}}
					if outcome, err := replica.Receive(0, encoded); outcome != Applied {
						b.Fatal(outcome, err)
					}
				}
				b.ReportMetric(float64(len(encoded)), "bytes")
			})
		}
	}
}
