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
	ClassID int // position of a traffic group in what the site states
	// TableID is the number of a table of servers and their weights.
	TableID int
	// MarkID is the number of a mark, which shows that the orders before it have left the channel.
	BarrierID int
)

// Condition is what the list says of a server.
type ServerState int

const (
	// Ready to take flows.
	Ready ServerState = iota
	// Draining takes no new flows.
	Draining
	// Gone from the list.
	Removed
)

// Entry is one line of the list. Started is 0 when the start is long past.
type Endpoint struct {
	Server          ServerID
	Zone            ZoneID
	Weight          float64
	Started         time.Duration
	RecentlyStarted bool
	State           ServerState
}

// Repeat says whether a flow of a traffic group may run again.
type Idempotency int

const (
	// NonRetriable flows run once.
	NonIdempotent    Idempotency = iota
	IdempotencyKeyed             // copies are dropped by all servers within Window
	// Retriable flows may run again.
	Idempotent
)

// Group is a traffic group as the site states it.
type TrafficClass struct {
	LatencyObjective time.Duration
	Deadline         time.Duration
	PriorityWeight   float64
	Idempotency      Idempotency
	DedupWindow      time.Duration
	ZoneLocal        bool // its flows keep to the servers of their proxy's zone
}

// AdmitBy says in what unit proxies take a level.
type AdmissionUnit int

const (
	// AdmitNone: proxies take no level.
	AdmitNone AdmissionUnit = iota
	// AdmitShare is a share of the flows.
	AdmitShare
	// AdmitRate is flows a second.
	AdmitRate
)

// Terms is all that a site states when a manager starts.
type Settings struct {
	Zones              []ZoneID
	Classes            []TrafficClass
	PollsEndpoints     bool
	Managers           int
	Proxies            int  // of all managers
	Sliced             bool // keys fall into slices with tables of their own
	RemovedMayServe    bool // only draining binds
	HealthChecks       bool
	WeightsFollowLoad  bool // listed weights follow the load
	AdmissionUnit      AdmissionUnit
	DefaultRetryPolicy RetryPolicy
	IdleTimeout        time.Duration // proxies close idle connections then
	ColdCapacity       float64
	WarmUpDuration     time.Duration
	DrainGrace         time.Duration // from when a server is told to drain until no proxy may send to it; 0: not told
	QueueCapacity      float64
	CommandsPerSecond  float64
	CommandPrice       float64 // of sending at that pace all day, as a part of the service
	MessageOverhead    float64
	MaxMessages        int
	MessageWindow      time.Duration
}

// Report sums what the proxies of one zone met at one server.
type LoadReport struct {
	Server   ServerID
	Zone     ZoneID
	Attempts int
	Failed   int
	Latency  time.Duration // mean of the good ones, 0 without any
	Interval time.Duration
	InFlight float64 // flows the server holds; below 0 where not told
}

// Usage counts the flows of one traffic group that came to a proxy.
type UsageReport struct {
	Proxy    ProxyID
	Class    ClassID
	Requests int
	Dropped  int // let in, and without an answer
	Interval time.Duration
}

// Tries says when a proxy tries another server.
type RetryPolicy int

const (
	// TryOnce never tries another server.
	NoRetry RetryPolicy = iota
	// TryUnrun tries another server where the first did not run the flow.
	RetryIfNotExecuted
	// TryTwice tries up to two servers.
	MaxTwoAttempts
	// TryThrice tries up to three servers.
	MaxThreeAttempts
)

// Line sets a server's weight in a table; 0 removes it.
type EndpointWeight struct {
	Table  TableID
	Server ServerID
	Weight float64
}

// Level sets what a table lets in of the groups of a mask, and its tries.
type AdmissionLevel struct {
	Table   TableID
	Classes uint
	Amount  float64
	Retry   RetryPolicy
}

// Place puts a proxy on a table for the groups of a mask.
type TableAssignment struct {
	Proxy   ProxyID
	Table   TableID
	Classes uint // 0: all
}

// HomeTables is from where on tables name only servers of their proxies' zone, for groups that keep to it: what is added
// to the number of the table that they are part of.
const ZoneLocalTables TableID = 1 << 15

// Orders is what one call decided, to be carried out in the order of the fields.
type Commands struct {
	Withdraw        []ServerID
	Weights         []EndpointWeight
	AdmissionLevels []AdmissionLevel
	Restore         []ServerID
	Assign          []TableAssignment
	Barrier         BarrierID // 0: none
	HealthCheck     []ServerID
	Subscribe       bool
	NextTimer       time.Duration // 0: none
	LogRecords      []string
}

// Answer is how a probe ended.
type HealthCheckResult int

const (
	// Answered as a server that is alive does.
	HealthCheckPassed HealthCheckResult = iota
	// Erred: something answers there, but not as a live server does.
	HealthCheckInvalid
	HealthCheckRejected    // turned away by a server that runs
	HealthCheckTimedOut    // no answer, or a broken connection; from here on nothing answers
	HealthCheckUnreachable // no connection came up
)

// Count is how many orders for proxies there are, the mark not among them.
func (o Commands) Count() int {
	return len(o.Withdraw) + len(o.Weights) + len(o.AdmissionLevels) + len(o.Restore) + len(o.Assign)
}
