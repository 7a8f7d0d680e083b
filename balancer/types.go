// Package balancer decides which servers each proxy zone sends its flows to.
// This file holds the ids and the plain data at the boundary; choice.go decides.
package balancer

import "time"

type (
	// ServerID names a server.
	ServerID string
	// ZoneID names a zone.
	ZoneID string
	// ProxyID is the number of a proxy.
	ProxyID int
	// GroupID is the number of a traffic group.
	GroupID int // position of a traffic group in what the site states
	// TableID is the number of a table of servers and their weights.
	TableID int
	// MarkID is the number of a mark, which shows that the orders before it have left the channel.
	MarkID int
)

// Condition is what the list says of a server.
type Condition int

const (
	// Ready to take flows.
	Ready Condition = iota
	// Draining takes no new flows.
	Draining
	// Gone from the list.
	Gone
)

// Entry is one line of the list. Started is 0 when the start is long past.
type Entry struct {
	Server  ServerID
	Zone    ZoneID
	Weight  float64
	Started time.Duration
	Fresh   bool
	State   Condition
}

// Repeat says whether a flow of a traffic group may run again.
type Repeat int

const (
	// NonRetriable flows run once.
	NonRetriable Repeat = iota
	Deduped             // copies are dropped by all servers within Window
	// Retriable flows may run again.
	Retriable
)

// Group is a traffic group as the site states it.
type Group struct {
	Budget  time.Duration
	Expiry  time.Duration
	Utility float64
	Repeat  Repeat
	Window  time.Duration
	Home    bool // its flows keep to the servers of their proxy's zone
}

// AdmitBy says in what unit proxies take a level.
type AdmitBy int

const (
	// AdmitNone: proxies take no level.
	AdmitNone AdmitBy = iota
	// AdmitShare is a share of the flows.
	AdmitShare
	// AdmitRate is flows a second.
	AdmitRate
)

// Terms is all that a site states when a manager starts.
type Terms struct {
	Zones         []ZoneID
	Groups        []Group
	AsksList      bool
	Managers      int
	Proxies       int  // of all managers
	Sliced        bool // keys fall into slices with tables of their own
	GoneStaysOpen bool // only draining binds
	MayProbe      bool
	LiveWeights   bool // listed weights follow the load
	Admit         AdmitBy
	UsualTries    Tries
	ConnIdle      time.Duration // proxies close idle connections then
	ColdShare     float64
	WarmAfter     time.Duration
	DrainGrace    time.Duration // from when a server is told to drain until no proxy may send to it; 0: not told
	QueueLines    float64
	LinesPerS     float64
	LinePrice     float64 // of sending at that pace all day, as a part of the service
	HeadLines     float64
	MessagesMost  int
	MessagesOver  time.Duration
}

// Report sums what the proxies of one zone met at one server.
type Report struct {
	Server  ServerID
	Zone    ZoneID
	Tries   int
	Failed  int
	Latency time.Duration // mean of the good ones, 0 without any
	Span    time.Duration
	Load    float64 // flows the server holds; below 0 where not told
}

// Usage counts the flows of one traffic group that came to a proxy.
type Usage struct {
	Proxy   ProxyID
	Group   GroupID
	Flows   int
	Dropped int // let in, and without an answer
	Span    time.Duration
}

// Tries says when a proxy tries another server.
type Tries int

const (
	// TryOnce never tries another server.
	TryOnce Tries = iota
	// TryUnrun tries another server where the first did not run the flow.
	TryUnrun
	// TryTwice tries up to two servers.
	TryTwice
	// TryThrice tries up to three servers.
	TryThrice
)

// Line sets a server's weight in a table; 0 removes it.
type Line struct {
	Table  TableID
	Server ServerID
	Weight float64
}

// Level sets what a table lets in of the groups of a mask, and its tries.
type Level struct {
	Table  TableID
	Groups uint
	Amount float64
	Tries  Tries
}

// Place puts a proxy on a table for the groups of a mask.
type Place struct {
	Proxy  ProxyID
	Table  TableID
	Groups uint // 0: all
}

// HomeTables is from where on tables name only servers of their proxies' zone, for groups that keep to it: what is added
// to the number of the table that they are part of.
const HomeTables TableID = 1 << 15

// Orders is what one call decided, to be carried out in the order of the fields.
type Orders struct {
	Withdraw []ServerID
	Lines    []Line
	Levels   []Level
	Readmit  []ServerID
	Bind     []Place
	Mark     MarkID // 0: none
	Probe    []ServerID
	Listen   bool
	Wake     time.Duration // 0: none
	Notes    []string
}

// Answer is how a probe ended.
type Answer int

const (
	// Answered as a server that is alive does.
	Answered Answer = iota
	// Erred: something answers there, but not as a live server does.
	Erred
	Full      // turned away by a server that runs
	Silent    // no answer, or a broken connection; from here on nothing answers
	Unreached // no connection came up
)

// Count is how many orders for proxies there are, the mark not among them.
func (o Orders) Count() int {
	return len(o.Withdraw) + len(o.Lines) + len(o.Levels) + len(o.Readmit) + len(o.Bind)
}
