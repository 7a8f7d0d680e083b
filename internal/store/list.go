package store

import (
	"cmp"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"
)

// ListEntry is a server of discovery's list, as discovery told it.
type ListEntry struct {
	ID          string   `json:"id"`
	HostPort    string   `json:"hostPort,omitempty"`
	Zone        string   `json:"zone"`
	Lifecycle   string   `json:"lifecycle"` // up, draining or removed
	Weight      *float64 `json:"weight,omitempty"`
	StartedAtMs int64    `json:"startedAtMs,omitempty"`
}

// removed is the lifecycle of a server that is no longer listed.
const removed = "removed"

// ListChange is what discovery told of its list.
type ListChange struct {
	Complete   bool  // the entries are all that are listed
	Generation int64 // up to which nothing is missing; 0: as before
	Entries    []ListEntry
}

// Fold joins a later change to an earlier one.
func (c ListChange) Merge(later ListChange) ListChange {
	if later.Complete {
		return later
	}
	folded := ListChange{Complete: c.Complete, Generation: max(c.Generation, later.Generation)}
	place := map[string]int{}
	for _, entry := range slices.Concat(c.Entries, later.Entries) {
		at, known := place[entry.ID]
		if !known {
			at = len(folded.Entries)
			place[entry.ID] = at
			folded.Entries = append(folded.Entries, entry)
		}
		folded.Entries[at] = entry
	}
	return folded
}

// List is the server list as it was last held, by name.
type ServerList struct {
	Generation int64       `json:"generation"` // 0: none is kept
	Entries    []ListEntry `json:"entries"`
}

var (
	list     = []byte("list")
	listHead = []byte("list-head") // in meta
)

// head is what is told of the list as a whole: a lost or doubled entry shows in it.
type head struct {
	Generation int64       `json:"Generation"`
	Entries    int         `json:"Entries"`
	Digest     entryDigest `json:"Digest"` // of all entries together
}

// entryDigest is the digest of an entry's value, or the exclusive or of several.
type entryDigest [digestSize]byte

// toggle adds the digest of a sealed value, or takes it out again.
func (d *entryDigest) toggle(value []byte) {
	for i := range d {
		d[i] ^= value[i]
	}
}

// saveList carries out a change. A list whose generation was never told is not used, but grows all the same.
func saveList(tx *bbolt.Tx, change ListChange) error {
	if change.Complete {
		if err := emptyList(tx); err != nil {
			return err
		}
	}
	now, err := readHead(tx)
	if err != nil {
		return err
	}
	bucket := tx.Bucket(list)
	entries := slices.SortedStableFunc(slices.Values(change.Entries), func(a, b ListEntry) int { return cmp.Compare(a.ID, b.ID) })
	for _, entry := range entries {
		if err := now.replace(bucket, entry); err != nil {
			return err
		}
	}
	if change.Generation > 0 {
		now.Generation = change.Generation
	}
	return putSealed(tx.Bucket(meta), listHead, now)
}

// replace puts an entry in the place of the one of its name, or takes that out.
func (h *head) replace(bucket *bbolt.Bucket, entry ListEntry) error {
	key := []byte(entry.ID)
	if old := bucket.Get(key); len(old) >= digestSize {
		h.Digest.toggle(old)
		h.Entries--
	}
	if entry.Lifecycle == removed {
		return bucket.Delete(key)
	}
	value, err := sealed(entry)
	if err != nil {
		return err
	}
	h.Digest.toggle(value)
	h.Entries++
	return bucket.Put(key, value)
}

func emptyList(tx *bbolt.Tx) error {
	if err := tx.DeleteBucket(list); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(list); err != nil {
		return err
	}
	return tx.Bucket(meta).Delete(listHead)
}

// readHead is the zero head where no list was kept.
func readHead(tx *bbolt.Tx) (h head, err error) {
	if told := tx.Bucket(meta).Get(listHead); told != nil {
		err = unseal(told, &h)
	}
	return h, err
}

// loadList reads and checks the list. A store of an earlier release has none.
func loadList(tx *bbolt.Tx) (ServerList, error) {
	told, err := readHead(tx)
	bucket := tx.Bucket(list)
	if err != nil || bucket == nil || told.Generation == 0 {
		return ServerList{}, err
	}
	kept, found := ServerList{Generation: told.Generation}, head{Generation: told.Generation}
	err = bucket.ForEach(func(_, value []byte) error {
		var entry ListEntry
		if err := unseal(value, &entry); err != nil {
			return err
		}
		found.Digest.toggle(value)
		found.Entries++
		kept.Entries = append(kept.Entries, entry)
		return nil
	})
	if err != nil {
		return ServerList{}, err
	}
	if found != told {
		return ServerList{}, fmt.Errorf("%w: the list has %d entries that are not the %d kept", ErrDamaged, found.Entries, told.Entries)
	}
	return kept, nil
}
