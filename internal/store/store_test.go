package store

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"tamarindshore/client/tables"
)

func TestSavedChangesAreLoadedInALaterEpoch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "s.db")
	s, contents := openStore(t, path)
	if len(contents.Versions) != 0 || s.Epoch() != 5 {
		t.Fatalf("a new store has epoch %d, want 5, and contents %+v, want no versions", s.Epoch(), contents)
	}
	saveVersions(t, s, 10)
	digest := s.head.state.Digest()
	closeStore(t, s)
	s, contents = openStore(t, path)
	defer s.Close()
	if s.Epoch() != 6 || contents.State.Digest() != digest {
		t.Errorf("epoch %d, state %v, want 6 and %v", s.Epoch(), contents.State.Digest(), digest)
	}
	if len(contents.Versions) != 10 || len(contents.CompletedCommands) != 4 || len(contents.Drains) != 1 {
		t.Errorf("%d versions, want 10; completed commands %v, want 4; drains %v, want 1",
			len(contents.Versions), contents.CompletedCommands, contents.Drains)
	}
}

func TestChangeWithAWrongDigestIsNotSaved(t *testing.T) {
	s, _ := openStore(t, storePath(t))
	defer s.Close()
	saveVersions(t, s, 1)
	before := s.head.state.Digest()
	withdraw := tables.Op{Kind: tables.Withdraw, Server: "x"}
	version := Version{ID: tables.ID{Epoch: 5, Number: 2}, Ops: []tables.Op{withdraw}}
	err := s.Save(Change{Versions: []Version{version}, CompletedCommands: []CompletedCommand{{Key: "k"}}})
	var digestErr *DigestError
	if !errors.As(err, &digestErr) || digestErr.Version != version.ID || digestErr.Want != version.Digest {
		t.Errorf("error %v, want a DigestError of version %v with expected digest %v", err, version.ID, version.Digest)
	}
	if s.head.state.Digest() != before {
		t.Error("the failed save changed the state")
	}
	contents, err := s.load()
	if err != nil || len(contents.Versions) != 1 {
		t.Errorf("%d versions, want 1; error %v", len(contents.Versions), err)
	}
	isK := func(command CompletedCommand) bool { return command.Key == "k" }
	if slices.ContainsFunc(contents.CompletedCommands, isK) {
		t.Errorf("the completed command of a failed save was stored: %+v", contents.CompletedCommands)
	}
}

func TestPruningKeepsTheNewestVersionsAndTheirState(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxVersions = 40
	path, digest := filledStore(t, limits, 200)
	contents := checkStore(t, path, limits)
	if n := len(contents.Versions); n > 45 || n < 40 || !contents.Versions[0].Snapshot {
		t.Errorf("%d versions, want 40 to 45; the first is a snapshot: %v, want true", n, contents.Versions[0].Snapshot)
	}
	if contents.State.Digest() != digest {
		t.Errorf("state %v, want %v", contents.State.Digest(), digest)
	}
}

func TestCompactKeepsTheContentsAndDoesNotGrowTheFile(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxVersions = 20
	path, digest := filledStore(t, limits, 300)
	before := fileSize(t, path)
	if err := Compact(path, limits); err != nil {
		t.Fatal(err)
	}
	contents := checkStore(t, path, limits)
	if after := fileSize(t, path); contents.State.Digest() != digest || after > before {
		t.Errorf("state %v, want %v; file has %d bytes, had %d before", contents.State.Digest(), digest, after, before)
	}
	if !maps.Equal(contents.Drains, map[string]time.Time{"s-297": testTime}) {
		t.Errorf("drains %v, want only that of s-297", contents.Drains)
	}
}

func TestOpenCompactsALargeFile(t *testing.T) {
	path, digest := filledStore(t, DefaultLimits(), 30)
	before := fileInfo(t, path)
	limits := DefaultLimits()
	limits.CompactAboveBytes = before.Size() - 1
	s, contents := openWithLimits(t, path, limits)
	defer s.Close()
	if contents.State.Digest() != digest {
		t.Errorf("state %v, want %v", contents.State.Digest(), digest)
	}
	if os.SameFile(before, fileInfo(t, path)) {
		t.Error("Open did not compact the file")
	}
}

func fileInfo(t testing.TB, path string) os.FileInfo {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return info
}

func fileSize(t testing.TB, path string) int64 {
	t.Helper()
	return fileInfo(t, path).Size()
}

func BenchmarkSave(b *testing.B) {
	s, _ := openStore(b, storePath(b))
	defer s.Close()
	for b.Loop() {
		saveVersions(b, s, 1)
	}
}

func BenchmarkRecovery(b *testing.B) {
	limits := DefaultLimits()
	limits.MaxVersions = 20_000
	path := storePath(b)
	s, _ := openWithLimits(b, path, limits)
	s.db.NoSync = true
	saveVersions(b, s, 10_000)
	closeStore(b, s)
	b.ReportMetric(float64(fileSize(b, path))/1e6, "MB")
	for b.Loop() {
		if contents := checkStore(b, path, limits); len(contents.Versions) != 10_000 {
			b.Fatalf("%d versions", len(contents.Versions))
		}
	}
}
