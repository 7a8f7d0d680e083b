// Package sharding decides which shard (the work of one core) owns which connection, when a connection moves, and what
// becomes of the connections of a shard that stalls or fails. It also merges the samples that wait for the one core that
// decides. It does no I/O, starts no goroutine and reads no clock; nothing in it is safe for concurrent use.
//
// NewAssigner makes an Assigner from its settings; then there is one method for each input, with the time since the
// start. Each returns Actions. A connection moves in four steps: its owner drains it, what the owner had read is carried
// over as it is, the new owner acquires it under the next epoch, and the old one releases it. A shard that fails skips
// the first step: what it still brings has an older epoch.
//
// The files: types.go has the ids and plain data, assigner.go the inputs and the ordered rules, connection.go and
// shard.go the state, failure.go what follows a failed shard, rebalance.go how work is spread, log_record.go the
// log, mailbox.go the samples.
package sharding

import (
	"time"

	"tamarindshore/balancer"
)

type (
	// ShardID is the number of a shard, from 0.
	ShardID int
	// ConnID is the number of a connection.
	ConnID uint64
	// Epoch counts the owners that a connection had. What an owner of an older epoch brings is not taken.
	Epoch uint64
)

// Owner is who may bring what a connection said.
type Owner struct {
	Shard ShardID
	Epoch Epoch
}

// Settings are the counts and times that an Assigner is made with.
type Settings struct {
	Shards             int
	CheckInterval      time.Duration // between two HandleWorkerCheck
	RebalanceInterval  time.Duration // between two HandleLoad
	StallTimeout       time.Duration // that one task may take
	DrainTimeout       time.Duration // that a shard may take to drain a connection
	MoveCooldown       time.Duration // of a connection that moved, before it moves again
	MoveWindow         time.Duration // for MaxMoves
	MaxMoves           int           // to spread work, within MoveWindow; those of failed shards do not count
	MaxFailures        int           // of a shard within FailureWindow before it is quarantined
	FailureWindow      time.Duration
	QuarantineDuration time.Duration // the first of a shard; doubled each time, up to maxQuarantineFactor times this
}

// DefaultSettings are the settings for so many shards.
func DefaultSettings(shards int) Settings {
	return Settings{
		Shards:             shards,
		CheckInterval:      50 * time.Millisecond,
		RebalanceInterval:  time.Second,
		StallTimeout:       500 * time.Millisecond,
		DrainTimeout:       200 * time.Millisecond,
		MoveCooldown:       10 * time.Second,
		MoveWindow:         10 * time.Second,
		MaxMoves:           4,
		MaxFailures:        3,
		FailureWindow:      time.Minute,
		QuarantineDuration: time.Minute,
	}
}

// Assignment gives a connection an owner, or names the one that it has.
type Assignment struct {
	Conn  ConnID
	Owner Owner
}

// Actions are what one input decided, to be carried out in the order of the fields.
type Actions struct {
	Drain          []Assignment // the owner is to stop after its task under way; HandleConnDrained is due
	Assign         []Assignment // from now on only this owner brings what the connection says
	Release        []Assignment // a former owner may forget the connection
	Close          []ConnID     // shards failed over it
	RestartWorkers []ShardID    // the shard's worker is given up, and another one begins
	LogRecords     []balancer.LogRecord
}
