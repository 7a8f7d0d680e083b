// Package sharding decides which lane (the work of one core) owns which connection, when a connection moves, and what
// becomes of the connections of a lane that stands still or fails. It is free of I/O: keeper.go decides, this file
// holds the ids and plain data at its boundary, fold.go says how samples that wait for the one deciding core become
// fewer. It must never read bytes, start a goroutine or look at a clock.
package sharding

import "time"

type (
	// LaneID is the number of a lane.
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

// Terms are the counts and times that a keeper is made with.
type Settings struct {
	Shards             int
	CheckInterval      time.Duration // between two Looked
	RebalanceInterval  time.Duration // between two looks at how work is spread
	StallTimeout       time.Duration // that one piece of work may take
	DrainTimeout       time.Duration // that a lane may take to hold a connection
	MoveCooldown       time.Duration // of a connection that moved, before it moves again
	MoveWindow         time.Duration // window of MovesMost
	MaxMoves           int           // to spread work, within it; those of lost lanes do not count
	MaxFailures        int           // of a lane within FailsWithin before it rests
	FailureWindow      time.Duration
	QuarantineDuration time.Duration // of a lane that failed so often; doubled each time, eight times it at most
}

// Usual are the terms for so many lanes.
func DefaultSettings(n int) Settings {
	return Settings{Shards: n, CheckInterval: 50 * time.Millisecond, RebalanceInterval: time.Second, StallTimeout: 500 * time.Millisecond,
		DrainTimeout: 200 * time.Millisecond, MoveCooldown: 10 * time.Second, MoveWindow: 10 * time.Second, MaxMoves: 4,
		MaxFailures: 3, FailureWindow: time.Minute, QuarantineDuration: time.Minute}
}

// Place gives a connection an owner, or names the one that it has.
type Assignment struct {
	Conn  ConnID
	Owner Owner
}

// Acts are what one call decided, to be carried out in the order of the fields.
type Actions struct {
	Drain          []Assignment // the owner is to stop after what it has in hand, and Held is due
	Assign         []Assignment // from now on only this owner brings what the connection says
	Release        []Assignment // an owner of before may forget the connection
	Close          []ConnID     // it brought down what worked for it, twice
	RestartWorkers []ShardID    // the lane's worker is given up, and another one begins
	LogRecords     []string
}
