// Package store keeps what must survive a crash: versions of the tables, drains in force, keys of commands done and the
// server list as last held, in one bbolt file. It owns the file, its form and its bounds; it decides nothing. What Save acknowledged is there after
// a crash at any point; a mix of two states never is.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/zeebo/blake3"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"tamarindshore/client/tables"
)

// Form is the newest form of the file that this release reads.
const FormatVersion = 1

// Errors that callers tell apart. Each is wrapped with what was found.
var (
	ErrLocked  = errors.New("another process has the store open")
	ErrNewer   = errors.New("the store is of a newer release")
	ErrDamaged = errors.New("the store is damaged")
)

// Limits bound the file.
type Limits struct {
	MaxVersions       int           // kept
	CompactAboveBytes int64         // of the file, past which it is compacted at the next opening
	LockTimeout       time.Duration // to wait for another process
}

// Usual are the bounds of a manager.
func DefaultLimits() Limits {
	return Limits{MaxVersions: 1000, CompactAboveBytes: 64 << 20, LockTimeout: 200 * time.Millisecond}
}

// Version is one version as it is kept: how to come to it from the one before, or whole.
type Version struct {
	ID         tables.ID     `json:"id"`
	Digest     tables.Digest `json:"digest"`
	Parent     tables.Digest `json:"parent"`
	CreatedAt  time.Time     `json:"at"`
	Cause      string        `json:"cause"`
	Layout     string        `json:"layout"`
	CommandKey string        `json:"key,omitempty"`
	Snapshot   bool          `json:"whole"`
	Ops        []tables.Op   `json:"ops"`
}

// Done is a command that was carried out.
type CompletedCommand struct {
	Key         string    `json:"key"`
	Command     string    `json:"what"`
	CompletedAt time.Time `json:"at"`
	Head        tables.ID `json:"head"`
}

// Change is what is saved at one time, whole or not at all.
type Change struct {
	Versions          []Version
	Drains            map[string]time.Time // servers that drain or are gone, since when; all of them, nil: as before
	CompletedCommands []CompletedCommand
	ServerList        *ListChange // nil: as before
}

// Kept is what a store holds.
type Contents struct {
	Epoch             uint64 // the last that wrote
	Versions          []Version
	State             *tables.State // of the last version
	Drains            map[string]time.Time
	CompletedCommands []CompletedCommand
	ServerList        ServerList
}

var (
	meta     = []byte("meta")
	versions = []byte("versions")
	drains   = []byte("drains")
	done     = []byte("done")
)

// Store is an open file.
type Store struct {
	db     *bbolt.DB
	limits Limits
	state  *tables.State
	epoch  uint64
	last   tables.ID
	count  int
}

// Open opens a file or makes one, checks all of it, and begins a new epoch: one more than the last, and at least what
// is given. open may stand in for os.OpenFile.
func Open(path string, epoch uint64, l Limits, open func(string, int, os.FileMode) (*os.File, error)) (*Store, Contents, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, Contents{}, err
	}
	if info, err := os.Stat(path); err == nil && info.Size() > l.CompactAboveBytes {
		if err := Compact(path, l); err != nil {
			return nil, Contents{}, err
		}
	}
	db, err := raise(path, false, l, open)
	if err != nil {
		return nil, Contents{}, err
	}
	s := &Store{db: db, limits: l}
	kept, err := s.load()
	if err == nil {
		s.epoch = max(epoch, kept.Epoch+1)
		err = db.Update(func(tx *bbolt.Tx) error {
			for _, name := range [][]byte{meta, versions, drains, done, list} {
				if _, err := tx.CreateBucketIfNotExists(name); err != nil {
					return err
				}
			}
			b := tx.Bucket(meta)
			if err := b.Put([]byte("form"), number(FormatVersion)); err != nil {
				return err
			}
			return b.Put([]byte("epoch"), number(s.epoch))
		})
	}
	if err != nil {
		db.Close()
		return nil, kept, err
	}
	return s, kept, nil
}

// guard turns what the library does over a damaged file into an error: it trusts the numbers of pages in it, and a
// flipped bit leads it out of the file, which would end the process.
func guard(err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if cause := recover(); cause != nil {
			*err = fmt.Errorf("%w: %v", ErrDamaged, cause)
		}
	}
}

// raise opens the file itself. What the library finds wrong with it is damage, also where it panics over it.
func raise(path string, readOnly bool, l Limits, open func(string, int, os.FileMode) (*os.File, error)) (db *bbolt.DB, err error) {
	defer guard(&err)()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: l.LockTimeout, ReadOnly: readOnly, OpenFile: open, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrLocked
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return db, err
}

// Epoch is that of this opening.
func (s *Store) Epoch() uint64 { return s.epoch }

// Close ends it.
func (s *Store) Close() error { return s.db.Close() }

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func place(id tables.ID) []byte { return append(number(id.Epoch), number(id.Number)...) }

// digestSize is how many bytes of a value's digest are kept.
const digestSize = 16

// sealed is a value with its digest before it: bit rot within a page is found too.
func sealed(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	sum := blake3.Sum256(text)
	return append(sum[:digestSize:digestSize], text...), nil
}

func unseal(b []byte, v any) error {
	if len(b) < digestSize {
		return fmt.Errorf("%w: a value is cut off", ErrDamaged)
	}
	if sum := blake3.Sum256(b[digestSize:]); [digestSize]byte(sum[:digestSize]) != [digestSize]byte(b[:digestSize]) {
		return fmt.Errorf("%w: a value does not fit its digest", ErrDamaged)
	}
	if err := json.Unmarshal(b[digestSize:], v); err != nil { // another bucket's, by a flipped number
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return nil
}

// Save keeps a change; once it returns nil, that survives a crash.
func (s *Store) Save(c Change) (err error) {
	defer guard(&err)()
	state, last, count := s.state, s.last, s.count
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(versions)
		for _, v := range c.Versions {
			if v.Snapshot {
				state = tables.EmptyState()
			}
			next, err := state.Apply(v.Ops)
			if err != nil {
				return err
			}
			if next.Digest() != v.Digest {
				return fmt.Errorf("version %v leads to %v, not to %v", v.ID, next.Digest(), v.Digest)
			}
			if err := putSealed(b, place(v.ID), v); err != nil {
				return err
			}
			state, last, count = next, v.ID, count+1
		}
		if count > s.limits.MaxVersions+s.limits.MaxVersions/8 { // by eighths, so that it is not done with each
			n, err := s.retain(b)
			if err != nil {
				return err
			}
			count = n
		}
		if c.Drains != nil {
			if err := tx.DeleteBucket(drains); err != nil {
				return err
			}
			b, err := tx.CreateBucket(drains)
			if err != nil {
				return err
			}
			for server, since := range c.Drains {
				if err := putSealed(b, []byte(server), since); err != nil {
					return err
				}
			}
		}
		for _, d := range c.CompletedCommands {
			if err := putSealed(tx.Bucket(done), []byte(d.Key), d); err != nil {
				return err
			}
		}
		if c.ServerList != nil {
			return saveList(tx, *c.ServerList)
		}
		return nil
	})
	if err == nil {
		s.state, s.last, s.count = state, last, count
	}
	return err
}

func putSealed(b *bbolt.Bucket, key []byte, v any) error {
	value, err := sealed(v)
	if err != nil {
		return err
	}
	return b.Put(key, value)
}

// retain drops the oldest versions beyond what is kept; the first that stays is made whole.
func (s *Store) retain(b *bbolt.Bucket) (left int, err error) {
	var all [][]byte
	b.ForEach(func(k, _ []byte) error {
		all = append(all, append([]byte{}, k...))
		return nil
	})
	drop := len(all) - s.limits.MaxVersions
	state := tables.EmptyState()
	for i, k := range all[:drop+1] {
		var v Version
		if err := unseal(b.Get(k), &v); err != nil {
			return 0, err
		}
		if v.Snapshot {
			state = tables.EmptyState()
		}
		if state, err = state.Apply(v.Ops); err != nil {
			return 0, err
		}
		if i == drop {
			v.Snapshot, v.Ops = true, tables.Diff(tables.EmptyState(), state)
			return len(all) - drop, putSealed(b, k, v)
		}
		if err := b.Delete(k); err != nil {
			return 0, err
		}
	}
	return len(all), nil
}

// load reads and checks all: each value's digest, each version's way to its state.
func (s *Store) load() (kept Contents, err error) {
	defer guard(&err)()
	kept = Contents{State: tables.EmptyState(), Drains: map[string]time.Time{}}
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(meta)
		if b == nil {
			return nil // fresh
		}
		if form := b.Get([]byte("form")); len(form) != 8 {
			return fmt.Errorf("%w: its form is not told", ErrDamaged)
		} else if n := binary.BigEndian.Uint64(form); n > FormatVersion {
			return fmt.Errorf("%w: form %d, and this one reads up to %d", ErrNewer, n, FormatVersion)
		}
		if e := b.Get([]byte("epoch")); len(e) == 8 {
			kept.Epoch = binary.BigEndian.Uint64(e)
		}
		if err := tx.Bucket(versions).ForEach(func(k, value []byte) error {
			var v Version
			if err := unseal(value, &v); err != nil {
				return fmt.Errorf("version at %x: %w", k, err)
			}
			from := kept.State
			if v.Snapshot {
				from = tables.EmptyState()
			}
			next, err := from.Apply(v.Ops)
			if err != nil || next.Digest() != v.Digest {
				return fmt.Errorf("%w: version %v does not lead to its state", ErrDamaged, v.ID)
			}
			kept.State, kept.Versions = next, append(kept.Versions, v)
			return nil
		}); err != nil {
			return err
		}
		if err := tx.Bucket(drains).ForEach(func(k, value []byte) error {
			var since time.Time
			err := unseal(value, &since)
			kept.Drains[string(k)] = since
			return err
		}); err != nil {
			return err
		}
		if err := tx.Bucket(done).ForEach(func(_, value []byte) error {
			var d CompletedCommand
			err := unseal(value, &d)
			kept.CompletedCommands = append(kept.CompletedCommands, d)
			return err
		}); err != nil {
			return err
		}
		kept.ServerList, err = loadList(tx)
		return err
	})
	s.state, s.count = kept.State, len(kept.Versions)
	if n := len(kept.Versions); n > 0 {
		s.last = kept.Versions[n-1].ID
	}
	return kept, err
}

// Look reads a store without writing to it, and checks all of it.
func Check(path string, l Limits) (Contents, error) {
	if _, err := os.Stat(path); err != nil {
		return Contents{}, err
	}
	db, err := raise(path, true, l, nil)
	if err != nil {
		return Contents{}, err
	}
	defer db.Close()
	return (&Store{db: db, limits: l}).load()
}

// Compact writes a store anew without what it no longer uses, and puts it in the place of the old one at once.
func Compact(path string, l Limits) error {
	db, err := raise(path, true, l, nil)
	if err != nil {
		return err
	}
	defer db.Close()
	beside := path + ".compact"
	os.Remove(beside)
	to, err := bbolt.Open(beside, 0o600, &bbolt.Options{Timeout: l.LockTimeout})
	if err != nil {
		return err
	}
	if err = errors.Join(bbolt.Compact(to, db, 1<<20), to.Close()); err == nil {
		err = os.Rename(beside, path)
	}
	if err != nil {
		os.Remove(beside)
	}
	return err
}
