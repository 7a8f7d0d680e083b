package store

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// openDB opens the bbolt file. Defects that bbolt detects are returned as ErrDamaged, including those on which it
// panics.
func openDB(path string, readOnly bool, limits Limits, openFile OpenFile) (db *bbolt.DB, err error) {
	defer recoverDamage(&err)()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{
		Timeout:        limits.LockTimeout,
		ReadOnly:       readOnly,
		OpenFile:       openFile,
		FreelistType:   bbolt.FreelistMapType,
		NoFreelistSync: true,
	})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrLocked
	case errors.Is(err, bbolterrors.ErrInvalid),
		errors.Is(err, bbolterrors.ErrChecksum),
		errors.Is(err, bbolterrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return db, err
}

// recoverDamage converts a panic or a memory fault that bbolt causes on a damaged file into an error. bbolt trusts the
// page numbers in the file, so a flipped bit can make it read outside the mapped memory, which would end the process.
// The caller defers the returned function.
func recoverDamage(err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if cause := recover(); cause != nil {
			*err = fmt.Errorf("%w: %v", ErrDamaged, cause)
		}
	}
}

// compactTxBytes is the maximum size of a transaction while a file is compacted.
const compactTxBytes = 1 << 20

// Compact copies a store to a new file without unused pages and renames that file over the old one. No process may have
// the store open for writing.
func Compact(path string, limits Limits) error {
	source, err := openDB(path, true, limits, nil)
	if err != nil {
		return err
	}
	defer source.Close()
	compacted := path + ".compact"
	os.Remove(compacted) // left by a process that ended during compaction
	target, err := bbolt.Open(compacted, 0o600, &bbolt.Options{Timeout: limits.LockTimeout})
	if err != nil {
		return err
	}
	err = errors.Join(bbolt.Compact(target, source, compactTxBytes), target.Close())
	if err == nil {
		err = os.Rename(compacted, path)
	}
	if err != nil {
		os.Remove(compacted)
	}
	return err
}
