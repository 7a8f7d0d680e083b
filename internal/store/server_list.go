package store

import (
	"cmp"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"
)

// ListEntry is a server as reported by service discovery.
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

// ListChange is a change to the server list, received from service discovery.
type ListChange struct {
	Complete   bool  // Entries replace the whole list
	Generation int64 // all changes up to this generation are known; 0 leaves the stored generation unchanged
	Entries    []ListEntry
}

// Merge returns one change with the effect of c followed by later. It contains each server at most once.
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
	Generation int64       `json:"generation"` // 0 if no list is stored
	Entries    []ListEntry `json:"entries"`
}

// listSummary is a checksum of the whole stored list, which detects lost and duplicated entries.
type listSummary struct {
	Generation int64       `json:"Generation"`
	Entries    int         `json:"Entries"`
	Digest     valueDigest `json:"Digest"` // XOR of the digests of all entries
}

// xorDigest adds the digest of an encoded entry to the summary, or removes it if it was added before.
func (s *listSummary) xorDigest(encoded []byte) {
	for i := range s.Digest {
		s.Digest[i] ^= encoded[i]
	}
}

// applyEntry adds an entry or replaces the one with the same ID. If its lifecycle is removed, it deletes that one.
func (s *listSummary) applyEntry(bucket *bbolt.Bucket, entry ListEntry) error {
	key := []byte(entry.ID)
	if old := bucket.Get(key); len(old) >= digestSize {
		s.xorDigest(old)
		s.Entries--
	}
	if entry.Lifecycle == lifecycleRemoved {
		return bucket.Delete(key)
	}
	encoded, err := encodeValue(entry)
	if err != nil {
		return err
	}
	s.xorDigest(encoded)
	s.Entries++
	return bucket.Put(key, encoded)
}

// saveList stores a change to the server list. It does so even while no generation is known, although loadList returns
// no list in that case.
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
		if err := summary.applyEntry(bucket, entry); err != nil {
			return err
		}
	}
	if change.Generation > 0 {
		summary.Generation = change.Generation
	}
	return putValue(tx.Bucket(metaBucket), listSummaryKey, summary)
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

// readListSummary returns the zero summary if no list is stored.
func readListSummary(tx *bbolt.Tx) (summary listSummary, err error) {
	if encoded := tx.Bucket(metaBucket).Get(listSummaryKey); encoded != nil {
		err = decodeValue(encoded, &summary)
	}
	return summary, err
}

// loadList reads and verifies the server list. A store that an earlier release wrote has none.
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
		if err := decodeValue(value, &entry); err != nil {
			return fmt.Errorf("server %q: %w", key, err)
		}
		got.xorDigest(value)
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
