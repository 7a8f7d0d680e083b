package store

import (
	"cmp"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"
)

// ListEntry is a server as service discovery described it.
type ListEntry struct {
	ID          string   `json:"id"`
	HostPort    string   `json:"hostPort,omitempty"`
	Zone        string   `json:"zone"`
	Lifecycle   string   `json:"lifecycle"` // up, draining or removed
	Weight      *float64 `json:"weight,omitempty"`
	StartedAtMs int64    `json:"startedAtMs,omitempty"`
}

// lifecycleRemoved is the lifecycle of a server that is no longer listed.
const lifecycleRemoved = "removed"

// ListChange is a change of the server list by service discovery.
type ListChange struct {
	Complete   bool  // Entries replace the list
	Generation int64 // up to which no change is missing; 0: unchanged
	Entries    []ListEntry
}

// Merge returns the change that has the effect of this one and a later one. It holds each server once.
func (c ListChange) Merge(later ListChange) ListChange {
	if later.Complete {
		return later
	}
	merged := ListChange{Complete: c.Complete, Generation: max(c.Generation, later.Generation)}
	indexByID := map[string]int{}
	for _, entry := range slices.Concat(c.Entries, later.Entries) {
		index, exists := indexByID[entry.ID]
		if !exists {
			index = len(merged.Entries)
			indexByID[entry.ID] = index
			merged.Entries = append(merged.Entries, entry)
		}
		merged.Entries[index] = entry
	}
	return merged
}

// ServerList is the last known server list, sorted by ID.
type ServerList struct {
	Generation int64       `json:"generation"` // 0: no list is stored
	Entries    []ListEntry `json:"entries"`
}

// listSummary describes the stored list as a whole: a lost or duplicated entry shows in it.
type listSummary struct {
	Generation int64       `json:"Generation"`
	Entries    int         `json:"Entries"`
	Digest     valueDigest `json:"Digest"` // exclusive or of the digests of all entries
}

// toggleDigest adds the digest of a sealed entry to the summary, or takes it out again.
func (s *listSummary) toggleDigest(sealed []byte) {
	for i := range s.Digest {
		s.Digest[i] ^= sealed[i]
	}
}

// replace stores an entry in place of the one with its ID, or removes that one.
func (s *listSummary) replace(bucket *bbolt.Bucket, entry ListEntry) error {
	key := []byte(entry.ID)
	if old := bucket.Get(key); len(old) >= digestSize {
		s.toggleDigest(old)
		s.Entries--
	}
	if entry.Lifecycle == lifecycleRemoved {
		return bucket.Delete(key)
	}
	sealed, err := seal(entry)
	if err != nil {
		return err
	}
	s.toggleDigest(sealed)
	s.Entries++
	return bucket.Put(key, sealed)
}

// saveList stores a change. It is stored also while no generation is known, though loadList then returns no list.
func saveList(tx *bbolt.Tx, change ListChange) error {
	if change.Complete {
		if err := clearList(tx); err != nil {
			return err
		}
	}
	summary, err := readListSummary(tx)
	if err != nil {
		return err
	}
	bucket := tx.Bucket(serversBucket)
	byID := func(a, b ListEntry) int { return cmp.Compare(a.ID, b.ID) }
	for _, entry := range slices.SortedStableFunc(slices.Values(change.Entries), byID) {
		if err := summary.replace(bucket, entry); err != nil {
			return err
		}
	}
	if change.Generation > 0 {
		summary.Generation = change.Generation
	}
	return putSealed(tx.Bucket(metaBucket), listSummaryKey, summary)
}

func clearList(tx *bbolt.Tx) error {
	if err := tx.DeleteBucket(serversBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(serversBucket); err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Delete(listSummaryKey)
}

// readListSummary returns the zero summary where no list is stored.
func readListSummary(tx *bbolt.Tx) (summary listSummary, err error) {
	if sealed := tx.Bucket(metaBucket).Get(listSummaryKey); sealed != nil {
		err = unseal(sealed, &summary)
	}
	return summary, err
}

// loadList reads and verifies the list. A store of an earlier release has none.
func loadList(tx *bbolt.Tx) (ServerList, error) {
	want, err := readListSummary(tx)
	if err != nil {
		return ServerList{}, fmt.Errorf("server list: %w", err)
	}
	bucket := tx.Bucket(serversBucket)
	if bucket == nil || want.Generation == 0 {
		return ServerList{}, nil
	}
	list := ServerList{Generation: want.Generation}
	got := listSummary{Generation: want.Generation}
	err = bucket.ForEach(func(key, value []byte) error {
		var entry ListEntry
		if err := unseal(value, &entry); err != nil {
			return fmt.Errorf("server %q: %w", key, err)
		}
		got.toggleDigest(value)
		got.Entries++
		list.Entries = append(list.Entries, entry)
		return nil
	})
	if err != nil {
		return ServerList{}, err
	}
	if got != want {
		return ServerList{}, fmt.Errorf("%w: the server list has %d entries with digest %x, expected %d with digest %x",
			ErrDamaged, got.Entries, got.Digest, want.Entries, want.Digest)
	}
	return list, nil
}
