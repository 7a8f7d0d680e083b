// Package sharding assigns connections to shards; one core processes the connections of a shard. It decides when a
// connection moves to another shard and reassigns the connections of a shard that stalls or fails. It also queues the
// samples that wait for the single core that makes the balancing decisions, and merges them when too many wait. It does
// no I/O, starts no goroutine and reads no clock, and nothing in it is safe for concurrent use.
//
// NewAssigner makes an Assigner from its settings. Each input has its own method, which takes the time since the start
// and returns Actions. A connection moves in four steps: its owner drains it, the data that the owner has already read is
// handed over unchanged, the new owner acquires it under the next epoch, and the old owner releases it. The connections
// of a failed shard skip the first step; what the shard still delivers is rejected because of its older epoch.
//
// types.go has the ids and plain data, assigner.go the inputs and the ordered rules, connection.go and shard.go the
// state, failure.go the handling of failed shards, rebalance.go the load balancing between shards, log_record.go the log
// records, and mailbox.go the sample queue.
package sharding

import (
	"time"

	"tamarindshore/balancer"
)

type (
	// ShardID is the number of a shard, starting at 0.
	ShardID int
	// ConnID is the number of a connection.
	ConnID uint64
	// Epoch counts the owners that a connection has had. Anything that an owner of an older epoch delivers is rejected.
	Epoch uint64
)

// Owner is the shard that may deliver the messages of a connection, and the epoch in which it may.
type Owner struct {
	Shard ShardID
	Epoch Epoch
}

// Settings holds the limits and intervals of an Assigner.
type Settings struct {
	Shards             int
	CheckInterval      time.Duration // between two calls of HandleWorkerCheck
	RebalanceInterval  time.Duration // between two calls of HandleLoad
	StallTimeout       time.Duration // a shard whose task runs for this long or longer is stalled
	DrainTimeout       time.Duration // longest time that a shard may take to drain a connection
	MoveCooldown       time.Duration // shortest time before a connection that moved may move again
	MoveWindow         time.Duration // period that MaxMoves applies to
	MaxMoves           int           // maximum number of moves to balance load within MoveWindow; reassignments after a failure do not count
	MaxFailures        int           // failures of a shard within FailureWindow that lead to its quarantine
	FailureWindow      time.Duration
	QuarantineDuration time.Duration // first quarantine of a shard; doubled each time, up to maxQuarantineFactor times this
}

// DefaultSettings returns the default settings for a number of shards.
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

// Assignment pairs a connection with an owner.
type Assignment struct {
	Conn  ConnID
	Owner Owner
}

// Actions holds the decisions that follow from one input. They must be carried out in the order of the fields.
type Actions struct {
	Drain          []Assignment // the owner must stop after its current task, then HandleConnDrained must be called
	Assign         []Assignment // from now on only this owner may deliver the messages of the connection
	Release        []Assignment // the former owner may forget the connection
	Close          []ConnID     // connections that caused shards to fail repeatedly
	RestartWorkers []ShardID    // shards whose worker is abandoned and replaced by a new one
	LogRecords     []balancer.LogRecord
}
