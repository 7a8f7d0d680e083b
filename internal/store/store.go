// Package store persists the state that must survive a crash in one bbolt file: the versions of the tables, the current
// drains, the completed commands and the last known server list. It owns the file, its format and its limits, and makes
// no load balancing decisions. Changes are atomic and durable: once Save has acknowledged a change, it survives a crash
// at any point, and no crash leaves a part of a change.
package store

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// FormatVersion is the file format that this release writes, and the newest one that it reads.
const FormatVersion = 1

// Errors that callers distinguish with errors.Is. They may be wrapped with details.
var (
	ErrLocked      = errors.New("another process has the store open")
	ErrNewerFormat = errors.New("the store was written by a newer release")
	ErrDamaged     = errors.New("the store is damaged")
)

// Limits bounds the size of the file and the time to open it.
type Limits struct {
	MaxVersions       int           // number of versions to keep; up to an eighth more remain until the next pruning
	CompactAboveBytes int64         // Open compacts a file larger than this
	LockTimeout       time.Duration // how long to wait for another process to close the file
}

// DefaultLimits returns the limits that a manager uses.
func DefaultLimits() Limits {
	return Limits{
		MaxVersions:       1000,
		CompactAboveBytes: 64 << 20,
		LockTimeout:       200 * time.Millisecond,
	}
}

// Version is a stored version of the tables: the operations that produce it from the version before it, or from the
// empty state if it is a snapshot.
type Version struct {
	ID         tables.ID     `json:"id"`
	Digest     tables.Digest `json:"digest"` // of the state after Ops
	Parent     tables.Digest `json:"parent"` // of the state before Ops
	CreatedAt  time.Time     `json:"at"`
	Cause      string        `json:"cause"`
	Layout     string        `json:"layout"`        // how the tables were numbered
	CommandKey string        `json:"key,omitempty"` // idempotency key of the operator's command whose hold was in force; empty if none was
	Snapshot   bool          `json:"whole"`         // Ops start from the empty state
	Ops        []tables.Op   `json:"ops"`
}

// CompletedCommand is an operator's command that was executed.
type CompletedCommand struct {
	Key         string    `json:"key"` // idempotency key
	Command     string    `json:"what"`
	CompletedAt time.Time `json:"at"`
	Head        tables.ID `json:"head"` // the newest version at CompletedAt
}

// Change is a set of updates that Save stores in one transaction.
type Change struct {
	Versions          []Version            // oldest first
	Drains            map[string]time.Time // all servers that are draining or gone, and since when; nil leaves them unchanged
	CompletedCommands []CompletedCommand   // added to the stored ones
	ServerList        *ListChange          // nil leaves the list unchanged
}

// Contents is everything that a store holds.
type Contents struct {
	Epoch             uint64 // of the last process that opened the store for writing
	Versions          []Version
	State             *tables.State        // after the last version
	Drains            map[string]time.Time // all servers that are draining or gone, and since when
	CompletedCommands []CompletedCommand
	ServerList        ServerList
}

// Store is an open store file. It is not safe for concurrent use.
type Store struct {
	db     *bbolt.DB
	limits Limits
	epoch  uint64
	head   versionsHead
}

// versionsHead describes the end of the sequence of stored versions.
type versionsHead struct {
	state *tables.State // after the last version
	last  tables.ID     // ID of the last version; zero if there is none
	count int           // number of stored versions
}

// OpenFile opens a file as os.OpenFile does.
type OpenFile func(name string, flag int, mode os.FileMode) (*os.File, error)

// Open opens the store at a path for writing, or creates it, verifies the whole file and returns its contents. It begins
// a new epoch: the one after the last epoch, or the given one if that is higher. openFile replaces os.OpenFile unless it
// is nil.
//
// Errors wrap ErrLocked, ErrNewerFormat or ErrDamaged, or come from the file system.
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

// beginEpoch creates missing buckets and stores the format version and the epoch of this process.
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

// Check opens a store read-only, verifies the whole file and returns its contents. It returns the same errors as Open.
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
