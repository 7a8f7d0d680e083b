package store

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"go.etcd.io/bbolt"
)

// savedList saves changes one by one in a new store, reopens it and returns its server list.
func savedList(t *testing.T, changes ...ListChange) ServerList {
	t.Helper()
	path := storePath(t)
	s, _ := openStore(t, path)
	for _, change := range changes {
		if err := s.Save(Change{ServerList: &change}); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(t, s)
	s, contents := openStore(t, path)
	closeStore(t, s)
	return contents.ServerList
}

func expectList(t *testing.T, name string, got ServerList, generation int64, entries ...ListEntry) {
	t.Helper()
	if got.Generation != generation || !slices.Equal(got.Entries, entries) {
		t.Errorf("%s: %+v, want generation %d with %+v", name, got, generation, entries)
	}
}

func TestServerListIsLoadedAsLastSaved(t *testing.T) {
	first := completeList(41, listEntry("s-2", "up"), listEntry("s-1", "up"), listEntry("s-3", "up"))
	drain := ListChange{Generation: 42, Entries: []ListEntry{listEntry("s-2", "draining")}}
	removal := ListChange{Generation: 43, Entries: []ListEntry{listEntry("s-3", "removed"), listEntry("s-9", "up")}}
	expectList(t, "none", savedList(t), 0)
	expectList(t, "complete", savedList(t, first), 41,
		listEntry("s-1", "up"), listEntry("s-2", "up"), listEntry("s-3", "up"))
	expectList(t, "changed", savedList(t, first, drain, removal), 43,
		listEntry("s-1", "up"), listEntry("s-2", "draining"), listEntry("s-9", "up"))
	expectList(t, "replaced", savedList(t, first, drain, completeList(50, listEntry("s-7", "up"))), 50,
		listEntry("s-7", "up"))
}

// A change that arrives while an earlier one is missing has no generation. It must not advance the stored generation,
// which would claim that the missing change is known.
func TestChangeAfterAGapKeepsTheGeneration(t *testing.T) {
	afterGap := ListChange{Entries: []ListEntry{listEntry("s-1", "draining")}}
	expectList(t, "change after a gap", savedList(t, completeList(41, listEntry("s-1", "up")), afterGap), 41, listEntry("s-1", "draining"))
	withoutGeneration := ListChange{Complete: true, Entries: []ListEntry{listEntry("s-1", "up")}}
	expectList(t, "no generation yet", savedList(t, withoutGeneration), 0)
}

func TestMergedListChangesEqualSeparateChanges(t *testing.T) {
	changes := []ListChange{
		completeList(41, listEntry("s-1", "up"), listEntry("s-2", "up"), listEntry("s-3", "up")),
		{Generation: 42, Entries: []ListEntry{listEntry("s-1", "draining")}},
		{Entries: []ListEntry{listEntry("s-1", "removed"), listEntry("s-4", "up")}},
		{Generation: 43, Entries: []ListEntry{listEntry("s-1", "up"), listEntry("s-2", "removed")}},
	}
	merged := changes[0]
	for _, change := range changes[1:] {
		merged = merged.Merge(change)
	}
	if len(merged.Entries) != 4 {
		t.Errorf("the merged change has %d entries, want 4, one for each server: %+v", len(merged.Entries), merged.Entries)
	}
	separate := savedList(t, changes...)
	expectList(t, "merged", savedList(t, merged), separate.Generation, separate.Entries...)
	later := changes[1].Merge(changes[2]).Merge(changes[3])
	expectList(t, "merged after a complete list", savedList(t, changes[0], later), separate.Generation, separate.Entries...)
	replaced := merged.Merge(completeList(60, listEntry("s-8", "up")))
	expectList(t, "a later complete list", savedList(t, replaced), 60, listEntry("s-8", "up"))
}

func TestLostDuplicatedOrReplacedEntryIsDamage(t *testing.T) {
	for name, damage := range map[string]func(bucket *bbolt.Bucket) error{
		"lost": func(bucket *bbolt.Bucket) error { return bucket.Delete([]byte("s-1")) },
		"duplicated": func(bucket *bbolt.Bucket) error {
			return bucket.Put([]byte("s-9"), bucket.Get([]byte("s-1")))
		},
		"replaced": func(bucket *bbolt.Bucket) error {
			return putValue(bucket, []byte("s-1"), listEntry("s-1", "draining"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := storePath(t)
			s, _ := openStore(t, path)
			change := completeList(41, listEntry("s-1", "up"), listEntry("s-2", "up"))
			if err := s.Save(Change{ServerList: &change}); err != nil {
				t.Fatal(err)
			}
			if err := s.db.Update(func(tx *bbolt.Tx) error { return damage(tx.Bucket(serversBucket)) }); err != nil {
				t.Fatal(err)
			}
			closeStore(t, s)
			if _, err := Check(path, DefaultLimits()); !errors.Is(err, ErrDamaged) {
				t.Errorf("error %v, want %v", err, ErrDamaged)
			}
		})
	}
}

const largeListSize = 24_000

// largeList returns a complete list of the largest size that the store is designed for.
func largeList() ListChange {
	change := completeList(41)
	for n := range largeListSize {
		change.Entries = append(change.Entries, ListEntry{
			ID:        fmt.Sprintf("s-%05d", n),
			HostPort:  "10.0.0.1:8080",
			Zone:      "z-01",
			Lifecycle: "up",
		})
	}
	return change
}

func BenchmarkSaveOneEntryOf24000(b *testing.B) {
	s, _ := openStore(b, storePath(b))
	defer s.Close()
	large := largeList()
	if err := s.Save(Change{ServerList: &large}); err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		index := n % largeListSize
		change := ListChange{Generation: int64(42 + n), Entries: large.Entries[index : index+1]}
		if err := s.Save(Change{ServerList: &change}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOpenWith24000Entries(b *testing.B) {
	path := storePath(b)
	s, _ := openStore(b, path)
	large := largeList()
	if err := s.Save(Change{ServerList: &large}); err != nil {
		b.Fatal(err)
	}
	closeStore(b, s)
	for b.Loop() {
		if contents := checkStore(b, path, DefaultLimits()); len(contents.ServerList.Entries) != largeListSize {
			b.Fatalf("%d entries", len(contents.ServerList.Entries))
		}
	}
}
