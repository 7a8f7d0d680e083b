package store

import (
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// DigestError reports a version whose operations produce a state with another digest than the version states.
type DigestError struct {
	Version tables.ID
	Got     tables.Digest // of the state that the operations produce
	Want    tables.Digest // stated by the version
}

// Error states the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("version %v produces the state digest %v, expected %v", e.Version, e.Got, e.Want)
}

// apply applies a version to the state before it and returns the new state. The error is a *DigestError if the new
// state does not have the version's digest.
func apply(previous *tables.State, version *Version) (*tables.State, error) {
	if version.Snapshot {
		previous = tables.EmptyState()
	}
	state, err := previous.Apply(version.Ops)
	if err != nil {
		return nil, fmt.Errorf("version %v: %w", version.ID, err)
	}
	if digest := state.Digest(); digest != version.Digest {
		return nil, &DigestError{Version: version.ID, Got: digest, Want: version.Digest}
	}
	return state, nil
}

// Save persists a change. Once it has returned nil, the change survives a crash. If it returns an error, nothing was
// stored.
func (s *Store) Save(change Change) (err error) {
	defer recoverDamage(&err)()
	head := s.head
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := s.saveVersions(tx, change.Versions, &head); err != nil {
			return err
		}
		if err := saveCommands(tx, change.CompletedCommands); err != nil {
			return err
		}
		if change.Drains != nil {
			if err := replaceDrains(tx, change.Drains); err != nil {
				return err
			}
		}
		if change.ServerList != nil {
			return saveList(tx, *change.ServerList)
		}
		return nil
	})
	if err == nil {
		s.head = head
	}
	return err
}

// saveVersions appends versions, advances head to the last of them, and deletes old versions beyond the limit.
func (s *Store) saveVersions(tx *bbolt.Tx, versions []Version, head *versionsHead) error {
	if len(versions) == 0 {
		return nil
	}
	bucket := tx.Bucket(versionsBucket)
	for i := range versions {
		version := &versions[i]
		state, err := apply(head.state, version)
		if err != nil {
			return err
		}
		if err := putValue(bucket, encodeVersionKey(version.ID), version); err != nil {
			return err
		}
		head.state = state
		head.last = version.ID
		head.count++
	}
	return s.pruneVersions(bucket, head)
}

// pruneVersions deletes the oldest versions beyond the limit and turns the oldest remaining one into a snapshot. It does
// nothing until more than an eighth of the limit can be deleted, because it reads all keys.
func (s *Store) pruneVersions(bucket *bbolt.Bucket, head *versionsHead) error {
	limit := s.limits.MaxVersions
	if head.count <= limit+limit/8 {
		return nil
	}
	keys, err := bucketKeys(bucket)
	if err != nil {
		return err
	}
	excess := len(keys) - limit
	state := tables.EmptyState()
	for _, key := range keys[:excess] {
		var version Version
		if err := decodeValue(bucket.Get(key), &version); err != nil {
			return err
		}
		if state, err = apply(state, &version); err != nil {
			return err
		}
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	head.count = limit
	return makeSnapshot(bucket, keys[excess], state)
}

// makeSnapshot rewrites a stored version as a snapshot, given the state before it.
func makeSnapshot(bucket *bbolt.Bucket, key []byte, previous *tables.State) error {
	var version Version
	if err := decodeValue(bucket.Get(key), &version); err != nil {
		return err
	}
	state, err := apply(previous, &version)
	if err != nil {
		return err
	}
	version.Snapshot = true
	version.Ops = tables.Diff(tables.EmptyState(), state)
	return putValue(bucket, key, version)
}

// bucketKeys returns copies of all keys in order. Copies are needed because bbolt's keys are valid only until the bucket
// changes.
func bucketKeys(bucket *bbolt.Bucket) ([][]byte, error) {
	var keys [][]byte
	err := bucket.ForEach(func(key, _ []byte) error {
		keys = append(keys, append([]byte{}, key...))
		return nil
	})
	return keys, err
}

func saveCommands(tx *bbolt.Tx, commands []CompletedCommand) error {
	for _, command := range commands {
		if err := putValue(tx.Bucket(commandsBucket), []byte(command.Key), command); err != nil {
			return err
		}
	}
	return nil
}

// replaceDrains replaces the stored set of servers that are draining or gone.
func replaceDrains(tx *bbolt.Tx, drains map[string]time.Time) error {
	if err := tx.DeleteBucket(drainsBucket); err != nil {
		return err
	}
	bucket, err := tx.CreateBucket(drainsBucket)
	if err != nil {
		return err
	}
	for server, since := range drains {
		if err := putValue(bucket, []byte(server), since); err != nil {
			return err
		}
	}
	return nil
}
