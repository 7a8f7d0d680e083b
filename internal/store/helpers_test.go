package store

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/client/tables"
)

var testTime = time.Unix(1_790_000_000, 0).UTC()

func storePath(t testing.TB) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "s.db")
}

// openStore opens a store with the default limits and an epoch of at least 5.
func openStore(t testing.TB, path string) (*Store, Contents) {
	t.Helper()
	return openWithLimits(t, path, DefaultLimits())
}

func openWithLimits(t testing.TB, path string, limits Limits) (*Store, Contents) {
	t.Helper()
	s, contents, err := Open(path, 5, limits, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s, contents
}

func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

func checkStore(t testing.TB, path string, limits Limits) Contents {
	t.Helper()
	contents, err := Check(path, limits)
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

// nextVersion returns a version that applies some operations to the last state of a store, without saving it.
func nextVersion(t testing.TB, s *Store, ops ...tables.Op) Version {
	t.Helper()
	state, err := s.head.state.Apply(ops)
	if err != nil {
		t.Fatal(err)
	}
	return Version{
		ID:        tables.ID{Epoch: s.epoch, Number: s.head.last.Number + 1},
		Digest:    state.Digest(),
		Parent:    s.head.state.Digest(),
		CreatedAt: testTime,
		Cause:     "list",
		Ops:       ops,
	}
}

// saveVersions saves a number of versions, one per change. Each change also contains a change of the server list, and
// every third one a drain and a completed command.
func saveVersions(t testing.TB, s *Store, count int) {
	t.Helper()
	for i := range count {
		version := nextVersion(t, s, tables.Op{
			Kind:   tables.SetWeight,
			Table:  uint32(i % 3),
			Server: fmt.Sprint("s-", i%7),
			Weight: float64(s.head.last.Number + 1),
		})
		number := version.ID.Number
		change := Change{Versions: []Version{version}, ServerList: listChangeForVersion(number)}
		if i%3 == 0 {
			change.Drains = map[string]time.Time{fmt.Sprint("s-", i): testTime}
			change.CompletedCommands = []CompletedCommand{
				{Key: fmt.Sprint("k", number), Command: "hold", CompletedAt: testTime, Head: version.ID},
			}
		}
		if err := s.Save(change); err != nil {
			t.Fatal(err)
		}
	}
}

// filledStore creates a store with some versions, closes it, and returns its path and the digest of its last state.
func filledStore(t testing.TB, limits Limits, versions int) (path string, digest tables.Digest) {
	t.Helper()
	path = storePath(t)
	s, _ := openWithLimits(t, path, limits)
	saveVersions(t, s, versions)
	digest = s.head.state.Digest()
	closeStore(t, s)
	return path, digest
}

func listEntry(id, lifecycle string) ListEntry {
	return ListEntry{ID: id, Zone: "a", Lifecycle: lifecycle}
}

func completeList(generation int64, entries ...ListEntry) ListChange {
	return ListChange{Complete: true, Generation: generation, Entries: entries}
}

// listChangeForVersion returns the change of the server list that saveVersions saves with a version: it adds a server and
// removes the one that was added two versions before.
func listChangeForVersion(number uint64) *ListChange {
	change := ListChange{Complete: number == 1, Generation: int64(number)}
	change.Entries = append(change.Entries, listEntry(fmt.Sprint("s-", number), "up"))
	if number > 2 {
		change.Entries = append(change.Entries, listEntry(fmt.Sprint("s-", number-2), "removed"))
	}
	return &change
}

// isListAtVersion reports whether a list is the one that is stored after saveVersions has saved a version.
func isListAtVersion(list ServerList, number uint64) bool {
	var want []ListEntry
	for n := max(1, number-1); n <= number; n++ {
		want = append(want, listEntry(fmt.Sprint("s-", n), "up"))
	}
	slices.SortFunc(want, func(a, b ListEntry) int { return strings.Compare(a.ID, b.ID) })
	return list.Generation == int64(number) && slices.Equal(list.Entries, want)
}
