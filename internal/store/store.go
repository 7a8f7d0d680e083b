// Package store persists what must survive a crash in one bbolt file: the versions of the tables, the drains in force,
// the completed commands and the last known server list. It owns the file, its format and its limits, and makes no
// load balancing decision. A change that Save acknowledged is there after a crash at any point, and a change is never
// there in part.
package store

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// FormatVersion is the newest format of the file that this release reads, and the one that it writes.
const FormatVersion = 1

// Errors that callers tell apart. Each is wrapped with what was found.
var (
	ErrLocked  = errors.New("another process has the store open")
	ErrNewer   = errors.New("the store is of a newer release")
	ErrDamaged = errors.New("the store is damaged")
)

// Limits bound the file and the time to open it.
type Limits struct {
	MaxVersions       int           // that are retained; up to an eighth more wait for the next cleanup
	CompactAboveBytes int64         // size of the file above which Open compacts it
	LockTimeout       time.Duration // to wait for another process to close the file
}

// DefaultLimits are the limits of a manager.
func DefaultLimits() Limits {
	return Limits{
		MaxVersions:       1000,
		CompactAboveBytes: 64 << 20,
		LockTimeout:       200 * time.Millisecond,
	}
}

// Version is one version of the tables as it is stored: the operations that lead to it from the version before it, or
// from the empty state.
type Version struct {
	ID         tables.ID     `json:"id"`
	Digest     tables.Digest `json:"digest"` // of the state that it leads to
	Parent     tables.Digest `json:"parent"` // of the state before it
	CreatedAt  time.Time     `json:"at"`
	Cause      string        `json:"cause"`
	Layout     string        `json:"layout"`        // how the tables were numbered
	CommandKey string        `json:"key,omitempty"` // of the operator's command that led to it
	Snapshot   bool          `json:"whole"`         // Ops lead from the empty state
	Ops        []tables.Op   `json:"ops"`
}

// CompletedCommand is an operator's command that was carried out.
type CompletedCommand struct {
	Key         string    `json:"key"` // idempotency key
	Command     string    `json:"what"`
	CompletedAt time.Time `json:"at"`
	Head        tables.ID `json:"head"` // the newest version at that time
}

// Change is saved as one transaction.
type Change struct {
	Versions          []Version            // in the order in which they follow each other
	Drains            map[string]time.Time // all servers that are draining or gone, since when; nil: unchanged
	CompletedCommands []CompletedCommand   // added to those stored
	ServerList        *ListChange          // nil: unchanged
}

// Contents are all that a store holds.
type Contents struct {
	Epoch             uint64 // of the last process that opened the store for writing
	Versions          []Version
	State             *tables.State // of the last version
	Drains            map[string]time.Time
	CompletedCommands []CompletedCommand
	ServerList        ServerList
}

// Store is an open file. It is not safe for use by several goroutines.
type Store struct {
	db     *bbolt.DB
	limits Limits
	epoch  uint64
	head   versionsHead
}

// versionsHead is where the stored versions end.
type versionsHead struct {
	state *tables.State // of the last version
	last  tables.ID     // of the last version; zero: there is none
	count int           // of stored versions
}

// OpenFile opens a file as os.OpenFile does.
type OpenFile func(name string, flag int, mode os.FileMode) (*os.File, error)

// Open opens the store at a path for writing, or makes one, verifies all of it and returns what it holds. It begins a
// new epoch: one after the last, and at least the one given. openFile replaces os.OpenFile unless it is nil.
//
// Errors wrap ErrLocked, ErrNewer, ErrDamaged, or are those of the file system.
func Open(path string, epoch uint64, limits Limits, openFile OpenFile) (*Store, Contents, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, Contents{}, err
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > limits.CompactAboveBytes {
		if err := Compact(path, limits); err != nil {
			return nil, Contents{}, err
		}
	}
	db, err := openDB(path, false, limits, openFile)
	if err != nil {
		return nil, Contents{}, err
	}
	s := &Store{db: db, limits: limits}
	contents, err := s.load()
	if err == nil {
		err = s.beginEpoch(max(epoch, contents.Epoch+1))
	}
	if err != nil {
		db.Close()
		return nil, contents, err
	}
	return s, contents, nil
}

// beginEpoch makes the buckets that are missing, and stores the format and the epoch of this process.
func (s *Store) beginEpoch(epoch uint64) error {
	s.epoch = epoch
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, versionsBucket, drainsBucket, commandsBucket, serversBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		if err := meta.Put(formatKey, encodeNumber(FormatVersion)); err != nil {
			return err
		}
		return meta.Put(epochKey, encodeNumber(epoch))
	})
}

// Epoch returns the epoch of this process.
func (s *Store) Epoch() uint64 { return s.epoch }

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Check reads a store without writing to it, verifies all of it and returns what it holds. Errors are those of Open.
func Check(path string, limits Limits) (Contents, error) {
	if _, err := os.Stat(path); err != nil {
		return Contents{}, err
	}
	db, err := openDB(path, true, limits, nil)
	if err != nil {
		return Contents{}, err
	}
	defer db.Close()
	s := &Store{db: db, limits: limits}
	return s.load()
}
