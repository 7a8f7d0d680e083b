package tables

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// readFixtures reads a file with a name and hex digits in each line. The files were written by the release before the Go
// names of the format changed.
func readFixtures(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	fixtures := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		decoded, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", path, name, err)
		}
		fixtures[name] = decoded
	}
	return fixtures
}

// deltaFixture is the expected content of an encoded delta in testdata/deltas.txt, and the state after applying it.
type deltaFixture struct {
	name  string
	delta Delta
	state *State // without digests
}

func snapshotFixture(keyID KeyID, snapshotDigest Digest) deltaFixture {
	return deltaFixture{"snapshot", Delta{
		ID:          ID{41, 1},
		BaseDigest:  EmptyState().Digest(),
		Digest:      snapshotDigest,
		CreatedAtMs: 1_790_000_000_000,
		Cause:       "list",
		KeyID:       keyID,
		Ops: []Op{
			{Kind: Withdraw, Server: "s-3"},
			{Kind: SetWeight, Table: 0, Server: "s-1", Weight: 100},
			{Kind: SetWeight, Table: 0, Server: "s-2", Weight: 62.5},
			{Kind: SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: AdmissionLevel{Amount: 0.75, Retry: 1}},
			{Kind: SetWeight, Table: 7, Server: "s-4", Weight: 5},
			{Kind: SetWeight, Table: 300, Server: "s-1", Weight: 1},
		},
	}, &State{
		tables: map[uint32]*Table{
			0:   {Weights: map[string]float64{"s-1": 100, "s-2": 62.5}, AdmissionLevels: map[uint64]AdmissionLevel{2: {0.75, 1}}},
			7:   {Weights: map[string]float64{"s-4": 5}, AdmissionLevels: map[uint64]AdmissionLevel{}},
			300: {Weights: map[string]float64{"s-1": 1}, AdmissionLevels: map[uint64]AdmissionLevel{}},
		},
		withdrawn: map[string]bool{"s-3": true},
	}}
}

func incrementalFixture(keyID KeyID, snapshotDigest, deltaDigest Digest) deltaFixture {
	return deltaFixture{"delta", Delta{
		ID:          ID{41, 2},
		Base:        ID{41, 1},
		BaseDigest:  snapshotDigest,
		Digest:      deltaDigest,
		CreatedAtMs: 1_790_000_001_000,
		Cause:       "1 withdrawn, 2 lines, 2 levels, 1 let back in",
		KeyID:       keyID,
		Ops: []Op{
			{Kind: Withdraw, Server: "s-4"},
			{Kind: SetWeight, Table: 0, Server: "s-1", Weight: 0},
			{Kind: SetWeight, Table: 0, Server: "s-5", Weight: 33.25},
			{Kind: SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: AdmissionLevel{0.5, 2}},
			{Kind: SetAdmissionLevel, Table: 300, Classes: 5, AdmissionLevel: AdmissionLevel{120, 0}},
			{Kind: ClearTable, Table: 7},
			{Kind: Restore, Server: "s-3"},
		},
	}, &State{
		tables: map[uint32]*Table{
			0:   {Weights: map[string]float64{"s-2": 62.5, "s-5": 33.25}, AdmissionLevels: map[uint64]AdmissionLevel{2: {0.5, 2}}},
			300: {Weights: map[string]float64{"s-1": 1}, AdmissionLevels: map[uint64]AdmissionLevel{5: {120, 0}}},
		},
		withdrawn: map[string]bool{"s-4": true},
	}}
}

func TestDeltasOfEarlierReleaseAreDecoded(t *testing.T) {
	fixtures := readFixtures(t, "testdata/deltas.txt")
	keys := testKeys(t)
	replica := NewReplica(keys, RetrySettings{}, 1)
	snapshotDigest := Digest(fixtures["snapshot-digest"])
	deltaDigest := Digest(fixtures["delta-digest"])
	for _, test := range []deltaFixture{
		snapshotFixture(keys[0].ID, snapshotDigest),
		incrementalFixture(keys[0].ID, snapshotDigest, deltaDigest),
	} {
		encoded := fixtures[test.name]
		decoded, err := Decode(encoded, keys)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if !reflect.DeepEqual(*decoded, test.delta) {
			t.Errorf("%s: decoded as\n%+v\nwant\n%+v", test.name, *decoded, test.delta)
		}
		if reencoded, err := decoded.Encode(keys); err != nil || !bytes.Equal(reencoded, encoded) {
			t.Errorf("%s: re-encoded as %x, error %v, want the original bytes", test.name, reencoded, err)
		}
		if outcome, err := replica.Receive(0, encoded); outcome != Applied {
			t.Fatalf("%s: outcome %v, error %v, want outcome applied", test.name, outcome, err)
		}
		expectVersion(t, replica, VersionRef{test.delta.ID, test.delta.Digest})
		expectSameTables(t, replica.State(), test.state)
	}
}

func expectVersion(t *testing.T, replica *Replica, want VersionRef) {
	t.Helper()
	if got := replica.Version(); got != want || replica.State().Digest() != want.Digest {
		t.Errorf("version %v with state digest %v, want version %v", got, replica.State().Digest(), want)
	}
}

// expectSameTables compares the content of two states, but not their digests.
func expectSameTables(t *testing.T, got, want *State) {
	t.Helper()
	if !reflect.DeepEqual(got.withdrawn, want.withdrawn) {
		t.Errorf("withdrawn servers %v, want %v", got.withdrawn, want.withdrawn)
	}
	if !reflect.DeepEqual(got.TableIDs(), want.TableIDs()) {
		t.Fatalf("table IDs %v, want %v", got.TableIDs(), want.TableIDs())
	}
	for _, id := range want.TableIDs() {
		gotTable := got.Table(id)
		wantTable := want.Table(id)
		if !reflect.DeepEqual(gotTable.Weights, wantTable.Weights) {
			t.Errorf("table %d: weights %v, want %v", id, gotTable.Weights, wantTable.Weights)
		}
		if !reflect.DeepEqual(gotTable.AdmissionLevels, wantTable.AdmissionLevels) {
			t.Errorf("table %d: admission levels %v, want %v", id, gotTable.AdmissionLevels, wantTable.AdmissionLevels)
		}
	}
}
