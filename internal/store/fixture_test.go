package store

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"tamarindshore/client/tables"
)

// The fixtures are a store file and its JSON export. They were written by the last release before the stored fields were
// renamed in Go.
const (
	storeFixture  = "testdata/store-format-1.db"
	exportFixture = "testdata/store-format-1.json"
)

// digestFromHex decodes the digest of a state.
func digestFromHex(t *testing.T, text string) tables.Digest {
	t.Helper()
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(tables.Digest{}) {
		t.Fatalf("digest %q: %d bytes, want %d; error %v", text, len(decoded), len(tables.Digest{}), err)
	}
	return tables.Digest(decoded)
}

// fixtureOps returns the operations of the fixture's three versions. The first two contain each kind of operation; the
// third is a snapshot.
func fixtureOps() (first, second, snapshot []tables.Op) {
	first = []tables.Op{
		{Kind: tables.SetWeight, Table: 0, Server: "s-1", Weight: 100},
		{Kind: tables.SetWeight, Table: 0, Server: "s-2", Weight: 62.5},
		{Kind: tables.SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: tables.AdmissionLevel{Amount: 0.75, Retry: 1}},
		{Kind: tables.SetWeight, Table: 300, Server: "s-1", Weight: 1},
		{Kind: tables.SetWeight, Table: 7, Server: "s-4", Weight: 5},
		{Kind: tables.Withdraw, Server: "s-3"},
	}
	second = []tables.Op{
		{Kind: tables.Withdraw, Server: "s-4"},
		{Kind: tables.SetWeight, Table: 0, Server: "s-1", Weight: 0},
		{Kind: tables.SetWeight, Table: 0, Server: "s-5", Weight: 33.25},
		{Kind: tables.SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: tables.AdmissionLevel{Amount: 0.5, Retry: 2}},
		{Kind: tables.SetAdmissionLevel, Table: 300, Classes: 5, AdmissionLevel: tables.AdmissionLevel{Amount: 120}},
		{Kind: tables.ClearTable, Table: 7},
		{Kind: tables.Restore, Server: "s-3"},
	}
	snapshot = []tables.Op{
		{Kind: tables.Withdraw, Server: "s-4"},
		{Kind: tables.SetWeight, Table: 0, Server: "s-2", Weight: 62.5},
		{Kind: tables.SetWeight, Table: 0, Server: "s-5", Weight: 33.25},
		{Kind: tables.SetAdmissionLevel, Table: 0, Classes: 2, AdmissionLevel: tables.AdmissionLevel{Amount: 0.5, Retry: 2}},
		{Kind: tables.SetWeight, Table: 9, Server: "s-5", Weight: 1e-3},
		{Kind: tables.SetWeight, Table: 300, Server: "s-1", Weight: 1},
		{Kind: tables.SetAdmissionLevel, Table: 300, Classes: 5, AdmissionLevel: tables.AdmissionLevel{Amount: 120}},
	}
	return first, second, snapshot
}

// fixtureContents returns the contents of the fixture without the last state, which the digest of the last version
// identifies.
func fixtureContents(t *testing.T) Contents {
	t.Helper()
	first, second, snapshot := fixtureOps()
	written := time.UnixMilli(1_790_000_000_000).UTC()
	id := func(number uint64) tables.ID { return tables.ID{Epoch: 41, Number: number} }
	emptyDigest := digestFromHex(t, "c296e466d3a3c04967adaefc7f3585e50555b18e960678bdc1fc3c921c68e2f2")
	firstDigest := digestFromHex(t, "74379a4ef0bf6591a8a0091ac2fe84f570d7a517faa3b06de19638e97588fdd2")
	secondDigest := digestFromHex(t, "29b392e30e66fd3f7dd9e04da7a6069da1a546931a1797f9ee3be015bdd42b1f")
	weight := 0.5
	return Contents{
		Epoch: 41,
		Versions: []Version{
			{ID: id(1), Digest: firstDigest, Parent: emptyDigest, CreatedAt: written,
				Cause: "1 withdrawn, 4 lines, 1 levels, 0 let back in", Layout: "2 tables", Ops: first},
			{ID: id(2), Digest: secondDigest, Parent: firstDigest, CreatedAt: written.Add(time.Second),
				Cause: "1 withdrawn, 2 lines, 2 levels, 1 let back in", Layout: "2 tables", CommandKey: "k-rollback", Ops: second},
			{ID: id(5), Digest: digestFromHex(t, "525be52f0d99823536a743b221c788fd1bb9de1966e3a5110667055ea86afcb4"),
				Parent: secondDigest, CreatedAt: written.Add(time.Minute),
				Cause: "0 withdrawn, 1 lines, 0 levels, 0 let back in", Layout: "3 tables", Snapshot: true, Ops: snapshot},
		},
		Drains: map[string]time.Time{"s-4": written.Add(time.Second + 250*time.Microsecond)},
		CompletedCommands: []CompletedCommand{
			{Key: "k-hold", Command: "hold", CompletedAt: written.Add(500 * time.Millisecond), Head: id(1)},
			{Key: "k-rollback", Command: "rollback to 41.1", CompletedAt: written.Add(time.Second), Head: id(1)},
		},
		ServerList: ServerList{Generation: 18, Entries: []ListEntry{
			{ID: "s-1", HostPort: "10.0.0.1:8080", Zone: "z-a", Lifecycle: "up", Weight: &weight, StartedAtMs: 1_789_999_000_000},
			{ID: "s-2", Zone: "z-b", Lifecycle: "up"},
			{ID: "s-3", HostPort: "10.0.0.3:8080", Zone: "z-a", Lifecycle: "draining"},
			{ID: "s-5", Zone: "z-c", Lifecycle: "up"},
		}},
	}
}

// expectContents compares the contents of a store. The state is compared with the digest of the last version.
func expectContents(t *testing.T, got, want Contents) {
	t.Helper()
	last := want.Versions[len(want.Versions)-1]
	if got.State == nil || got.State.Digest() != last.Digest {
		t.Errorf("state %v, want the one with digest %v", got.State, last.Digest)
	}
	got.State = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("contents\n%+v\nwant\n%+v", got, want)
	}
}

func TestStoreOfAnEarlierReleaseIsRead(t *testing.T) {
	got, err := Check(storeFixture, DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	expectContents(t, got, fixtureContents(t))
}

func TestExportedJSONFieldsKeepTheirNames(t *testing.T) {
	contents, err := Check(storeFixture, DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	encoder := json.NewEncoder(&got)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(map[string]any{
		"epoch":    contents.Epoch,
		"versions": contents.Versions,
		"drains":   contents.Drains,
		"done":     contents.CompletedCommands,
		"list":     contents.ServerList,
	}); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(exportFixture)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("exported:\n%s\nwant %s", got.Bytes(), exportFixture)
	}
}

func TestStoreOfAnEarlierReleaseAcceptsNewChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	fixture, err := os.ReadFile(storeFixture)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, fixture, 0o600); err != nil {
		t.Fatal(err)
	}
	want := fixtureContents(t)
	reopened, contents, err := Open(path, 1, DefaultLimits(), nil)
	if err != nil {
		t.Fatal(err)
	}
	expectContents(t, contents, want)
	if reopened.Epoch() != want.Epoch+1 {
		t.Errorf("epoch %d, want %d", reopened.Epoch(), want.Epoch+1)
	}
	next := Version{
		ID:     tables.ID{Epoch: 42, Number: 1},
		Parent: contents.State.Digest(),
		Ops:    []tables.Op{{Kind: tables.Restore, Server: "s-4"}},
	}
	state, err := contents.State.Apply(next.Ops)
	if err != nil {
		t.Fatal(err)
	}
	next.Digest = state.Digest()
	change := Change{Versions: []Version{next}, ServerList: &ListChange{Entries: []ListEntry{{ID: "s-5", Lifecycle: "removed"}}}}
	if err := reopened.Save(change); err != nil {
		t.Fatal(err)
	}
	if err := reopened.Close(); err != nil {
		t.Fatal(err)
	}
	want.Epoch = 42
	want.Versions = append(want.Versions, next)
	want.ServerList.Entries = want.ServerList.Entries[:3]
	got, err := Check(path, DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	expectContents(t, got, want)
}
