package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
)

func entry(id, lifecycle string) ListEntry { return ListEntry{ID: id, Zone: "a", Lifecycle: lifecycle} }

func whole(generation int64, entries ...ListEntry) ListChange {
	return ListChange{Complete: true, Generation: generation, Entries: entries}
}

// listOf is the change of the list beside a version: a server more each time, and the one before the last is gone.
func listOf(number uint64) *ListChange {
	change := ListChange{Complete: number == 1, Generation: int64(number), Entries: []ListEntry{entry(fmt.Sprint("s-", number), "up")}}
	if number > 2 {
		change.Entries = append(change.Entries, entry(fmt.Sprint("s-", number-2), "removed"))
	}
	return &change
}

// isListOf tells whether a list is the one beside a version.
func isListOf(kept ServerList, number uint64) bool {
	var want []ListEntry
	for n := max(1, number-1); n <= number; n++ {
		want = append(want, entry(fmt.Sprint("s-", n), "up"))
	}
	slices.SortFunc(want, func(a, b ListEntry) int { return strings.Compare(a.ID, b.ID) })
	return kept.Generation == int64(number) && slices.Equal(kept.Entries, want)
}

// keptList is the list of a store after changes, each saved by itself.
func keptList(t *testing.T, changes ...ListChange) ServerList {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := opened(t, path)
	for _, change := range changes {
		if err := s.Save(Change{ServerList: &change}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s, kept := opened(t, path)
	s.Close()
	return kept.ServerList
}

func expectList(t *testing.T, what string, got ServerList, generation int64, want ...ListEntry) {
	t.Helper()
	if got.Generation != generation || !slices.EqualFunc(got.Entries, want, func(a, b ListEntry) bool { return a == b }) {
		t.Errorf("%s: %+v, not %d %+v", what, got, generation, want)
	}
}

func TestTheListIsKeptAsItWasToldLast(t *testing.T) {
	first := whole(41, entry("s-2", "up"), entry("s-1", "up"), entry("s-3", "up"))
	drain := ListChange{Generation: 42, Entries: []ListEntry{entry("s-2", "draining")}}
	gone := ListChange{Generation: 43, Entries: []ListEntry{entry("s-3", "removed"), entry("s-9", "up")}}
	expectList(t, "none", keptList(t), 0)
	expectList(t, "whole", keptList(t, first), 41, entry("s-1", "up"), entry("s-2", "up"), entry("s-3", "up"))
	expectList(t, "changed", keptList(t, first, drain, gone), 43, entry("s-1", "up"), entry("s-2", "draining"), entry("s-9", "up"))
	expectList(t, "replaced", keptList(t, first, drain, whole(50, entry("s-7", "up"))), 50, entry("s-7", "up"))
}

// What came while something before it was missing must not count as all that there is up to its generation.
func TestAChangeBehindAGapDoesNotMoveTheGeneration(t *testing.T) {
	gap := ListChange{Entries: []ListEntry{entry("s-1", "draining")}}
	expectList(t, "gap", keptList(t, whole(41, entry("s-1", "up")), gap), 41, entry("s-1", "draining"))
	expectList(t, "no generation yet", keptList(t, ListChange{Complete: true, Entries: []ListEntry{entry("s-1", "up")}}), 0)
}

func TestFoldedChangesComeToTheSame(t *testing.T) {
	changes := []ListChange{
		whole(41, entry("s-1", "up"), entry("s-2", "up"), entry("s-3", "up")),
		{Generation: 42, Entries: []ListEntry{entry("s-1", "draining")}},
		{Entries: []ListEntry{entry("s-1", "removed"), entry("s-4", "up")}},
		{Generation: 43, Entries: []ListEntry{entry("s-1", "up"), entry("s-2", "removed")}},
	}
	folded := changes[0]
	for _, change := range changes[1:] {
		folded = folded.Merge(change)
	}
	if len(folded.Entries) != 4 {
		t.Errorf("a server is held more than once: %+v", folded.Entries)
	}
	single, together := keptList(t, changes...), keptList(t, folded)
	expectList(t, "folded", together, single.Generation, single.Entries...)
	later := keptList(t, changes[0], changes[1].Merge(changes[2]).Merge(changes[3]))
	expectList(t, "folded behind a whole list", later, single.Generation, single.Entries...)
	expectList(t, "a later whole list", keptList(t, folded.Merge(whole(60, entry("s-8", "up")))), 60, entry("s-8", "up"))
}

func TestAnEntryThatWasLostOrDoubledIsFound(t *testing.T) {
	for what, spoil := range map[string]func(bucket *bbolt.Bucket) error{
		"lost": func(bucket *bbolt.Bucket) error { return bucket.Delete([]byte("s-1")) },
		"doubled": func(bucket *bbolt.Bucket) error {
			return bucket.Put([]byte("s-9"), bucket.Get([]byte("s-1")))
		},
		"replaced": func(bucket *bbolt.Bucket) error { return putSealed(bucket, []byte("s-1"), entry("s-1", "draining")) },
	} {
		path := filepath.Join(t.TempDir(), "s.db")
		s, _ := opened(t, path)
		change := whole(41, entry("s-1", "up"), entry("s-2", "up"))
		if err := s.Save(Change{ServerList: &change}); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Update(func(tx *bbolt.Tx) error { return spoil(tx.Bucket(list)) }); err != nil {
			t.Fatal(err)
		}
		s.Close()
		if _, err := Check(path, DefaultLimits()); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// largeList is a whole list of the size that is planned for.
func largeList() ListChange {
	change := whole(41)
	for n := range 24_000 {
		change.Entries = append(change.Entries, ListEntry{ID: fmt.Sprintf("s-%05d", n), HostPort: "10.0.0.1:8080", Zone: "z-01", Lifecycle: "up"})
	}
	return change
}

func BenchmarkSaveOneEntryOf24000(b *testing.B) {
	s, _ := opened(b, filepath.Join(b.TempDir(), "s.db"))
	defer s.Close()
	large := largeList()
	if err := s.Save(Change{ServerList: &large}); err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		change := ListChange{Generation: int64(42 + n), Entries: large.Entries[n%24_000 : n%24_000+1]}
		if err := s.Save(Change{ServerList: &change}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOpenWith24000Entries(b *testing.B) {
	path := filepath.Join(b.TempDir(), "s.db")
	s, _ := opened(b, path)
	large := largeList()
	if err := s.Save(Change{ServerList: &large}); err != nil {
		b.Fatal(err)
	}
	s.Close()
	for b.Loop() {
		if kept, err := Check(path, DefaultLimits()); err != nil || len(kept.ServerList.Entries) != 24_000 {
			b.Fatal(err)
		}
	}
}
