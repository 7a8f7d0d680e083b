// Package sharding decides which lane (the work of one core) owns which connection, when a connection moves, and what
// becomes of the connections of a lane that stands still or fails. It is free of I/O: keeper.go decides, this file
// holds the ids and plain data at its boundary, fold.go says how samples that wait for the one deciding core become
// fewer. It must never read bytes, start a goroutine or look at a clock.
package sharding

import "time"

type (
	// LaneID is the number of a lane.
	LaneID int
	// ConnID is the number of a connection.
	ConnID uint64
	// Epoch counts the owners that a connection had. What an owner of an older epoch brings is not taken.
	Epoch uint64
)

// Owner is who may bring what a connection said.
type Owner struct {
	Lane  LaneID
	Epoch Epoch
}

// Terms are the counts and times that a keeper is made with.
type Terms struct {
	Lanes       int
	LookEvery   time.Duration // between two Looked
	Window      time.Duration // between two looks at how work is spread
	StuckAfter  time.Duration // that one piece of work may take
	HoldMost    time.Duration // that a lane may take to hold a connection
	RestFor     time.Duration // of a connection that moved, before it moves again
	SwingOver   time.Duration // window of MovesMost
	MovesMost   int           // to spread work, within it; those of lost lanes do not count
	FailsMost   int           // of a lane within FailsWithin before it rests
	FailsWithin time.Duration
	LaneRest    time.Duration // of a lane that failed so often; doubled each time, eight times it at most
}

// Usual are the terms for so many lanes.
func Usual(n int) Terms {
	return Terms{Lanes: n, LookEvery: 50 * time.Millisecond, Window: time.Second, StuckAfter: 500 * time.Millisecond,
		HoldMost: 200 * time.Millisecond, RestFor: 10 * time.Second, SwingOver: 10 * time.Second, MovesMost: 4,
		FailsMost: 3, FailsWithin: time.Minute, LaneRest: time.Minute}
}

// Place gives a connection an owner, or names the one that it has.
type Place struct {
	Conn  ConnID
	Owner Owner
}

// Acts are what one call decided, to be carried out in the order of the fields.
type Acts struct {
	Hold  []Place  // the owner is to stop after what it has in hand, and Held is due
	Take  []Place  // from now on only this owner brings what the connection says
	LetGo []Place  // an owner of before may forget the connection
	Close []ConnID // it brought down what worked for it, twice
	Renew []LaneID // the lane's worker is given up, and another one begins
	Notes []string
}
