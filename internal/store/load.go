package store

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// load reads and verifies the whole store: the digest of each value, and that the operations of each version produce
// the state with its digest.
func (s *Store) load() (contents Contents, err error) {
	defer recoverDamage(&err)()
	contents = Contents{State: tables.EmptyState(), Drains: map[string]time.Time{}}
	err = s.db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket(metaBucket) == nil {
			return nil // the file is new
		}
		return contents.load(tx)
	})
	s.head = versionsHead{state: contents.State, count: len(contents.Versions)}
	if s.head.count > 0 {
		s.head.last = contents.Versions[s.head.count-1].ID
	}
	return contents, err
}

func (c *Contents) load(tx *bbolt.Tx) error {
	if err := c.loadMeta(tx); err != nil {
		return err
	}
	if err := c.loadVersions(tx); err != nil {
		return err
	}
	if err := c.loadDrains(tx); err != nil {
		return err
	}
	if err := c.loadCommands(tx); err != nil {
		return err
	}
	list, err := loadList(tx)
	c.ServerList = list
	return err
}

// loadMeta checks the format version and reads the epoch.
func (c *Contents) loadMeta(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	format := meta.Get(formatKey)
	if len(format) != encodedNumberLen {
		return fmt.Errorf("%w: the format number has %d bytes, expected %d", ErrDamaged, len(format), encodedNumberLen)
	}
	if found := binary.BigEndian.Uint64(format); found > FormatVersion {
		return fmt.Errorf("%w: format %d, this release reads up to %d", ErrNewerFormat, found, FormatVersion)
	}
	if epoch := meta.Get(epochKey); len(epoch) == encodedNumberLen {
		c.Epoch = binary.BigEndian.Uint64(epoch)
	}
	return nil
}

// loadVersions reads the versions and applies them in order to get the last state.
func (c *Contents) loadVersions(tx *bbolt.Tx) error {
	return tx.Bucket(versionsBucket).ForEach(func(key, value []byte) error {
		var version Version
		if err := decodeValue(value, &version); err != nil {
			return fmt.Errorf("version with key %x: %w", key, err)
		}
		state, err := apply(c.State, &version)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		c.State = state
		c.Versions = append(c.Versions, version)
		return nil
	})
}

func (c *Contents) loadDrains(tx *bbolt.Tx) error {
	return forEachValue(tx.Bucket(drainsBucket), "drain of server", func(server string, since time.Time) {
		c.Drains[server] = since
	})
}

func (c *Contents) loadCommands(tx *bbolt.Tx) error {
	return forEachValue(tx.Bucket(commandsBucket), "command", func(_ string, command CompletedCommand) {
		c.CompletedCommands = append(c.CompletedCommands, command)
	})
}
