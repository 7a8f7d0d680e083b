package balancer

import "time"

type (
	// ServerID identifies a server; it stays the same when the server's process restarts.
	ServerID string
	// ZoneID identifies a zone.
	ZoneID string
	// ProxyID identifies a proxy by number.
	ProxyID int
	// ClassID is the position of a traffic class in Settings.Classes.
	ClassID int
	// TableID identifies a table of endpoints and their weights by number.
	TableID int
	// BarrierID identifies a barrier. A proxy's acknowledgement of a barrier shows that the proxy's commands before the
	// barrier, and the commands for all proxies before the previous barrier, have left the channel.
	BarrierID int
)

// ServerState is a server's state in the endpoint list.
type ServerState int

const (
	// Ready servers take requests.
	Ready ServerState = iota
	// Draining servers take no new requests.
	Draining
	// Removed servers are no longer on the list.
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server          ServerID
	Zone            ZoneID
	Weight          float64
	Started         time.Duration // relative to the manager's start; valid only if RecentlyStarted
	RecentlyStarted bool
	State           ServerState
}

// Idempotency specifies whether a request of a traffic class may be executed more than once.
type Idempotency int

const (
	// NonIdempotent requests must be executed at most once.
	NonIdempotent Idempotency = iota
	// IdempotencyKeyed requests carry a key by which all servers discard duplicates within DedupWindow.
	IdempotencyKeyed
	// Idempotent requests may be executed repeatedly.
	Idempotent
)

// TrafficClass is a class of requests with its own latency objective, priority and retry rules.
type TrafficClass struct {
	LatencyObjective time.Duration
	Deadline         time.Duration
	PriorityWeight   float64
	Idempotency      Idempotency
	DedupWindow      time.Duration // only for IdempotencyKeyed
	ZoneLocal        bool          // requests go only to servers in their proxy's zone
}

// AdmissionUnit is the unit of the admission levels that proxies accept.
type AdmissionUnit int

const (
	// AdmitNone means that proxies accept no admission levels.
	AdmitNone AdmissionUnit = iota
	// AdmitShare means that a level is a share of the requests, from 0 to 1.
	AdmitShare
	// AdmitRate means that a level is a number of requests per second at each proxy.
	AdmitRate
)

// RetryPolicy specifies when a proxy retries a request at another server.
type RetryPolicy int

const (
	// NoRetry sends a request to one server only.
	NoRetry RetryPolicy = iota
	// RetryIfNotExecuted retries a request only if the first server did not execute it.
	RetryIfNotExecuted
	// MaxTwoAttempts sends a request to at most two servers.
	MaxTwoAttempts
	// MaxThreeAttempts sends a request to at most three servers.
	MaxThreeAttempts
)

// Settings describe the platform that a manager runs on; they are fixed when it starts.
type Settings struct {
	Zones              []ZoneID
	Classes            []TrafficClass
	PollsEndpoints     bool // the endpoint list arrives only after Commands.Subscribe
	Managers           int
	Proxies            int  // total over all managers
	Sliced             bool // the key space is divided into slices that have their own tables
	RemovedMayServe    bool // only a draining server must get no requests; a removed server may still serve
	HealthChecks       bool // the manager may send health checks
	WeightsFollowLoad  bool // listed weights change with the load
	AdmissionUnit      AdmissionUnit
	DefaultRetryPolicy RetryPolicy
	IdleTimeout        time.Duration // after which proxies close idle connections
	ColdCapacity       float64       // share of its full capacity that a server has when it starts
	WarmUpDuration     time.Duration
	DrainGrace         time.Duration // time from the start of a drain until no proxy may send to the server; 0: unspecified
	QueueCapacity      float64       // number of commands that may wait in the channel's queue
	CommandsPerSecond  float64       // number of commands that the channel sends per second
	CommandPrice       float64       // price of sending at CommandsPerSecond all day, as a multiple of the price of the service
	MessageOverhead    float64       // cost of a message in addition to its commands, as a number of commands
	MaxMessages        int           // messages to one proxy within MessageWindow; 0: no limit
	MessageWindow      time.Duration
}

// LoadReport aggregates the attempts that one zone's proxies made at one server.
type LoadReport struct {
	Server   ServerID
	Zone     ZoneID
	Attempts int
	Failed   int
	Latency  time.Duration // mean over the successful attempts; 0 if there are none
	Interval time.Duration // time that the report covers
	InFlight float64       // requests in flight at the server; negative if unknown
}

// UsageReport counts the requests of one traffic class that a proxy received.
type UsageReport struct {
	Proxy    ProxyID
	Class    ClassID
	Requests int
	Dropped  int           // admitted requests that got no response
	Interval time.Duration // time that the report covers
}

// HealthCheckResult is the outcome of a health check. HealthCheckTimedOut and all greater values mean that the server
// did not respond.
type HealthCheckResult int

const (
	// HealthCheckPassed is the response of a live server.
	HealthCheckPassed HealthCheckResult = iota
	// HealthCheckInvalid is a response that no live server gives.
	HealthCheckInvalid
	// HealthCheckRejected means that a running server refused the health check.
	HealthCheckRejected
	// HealthCheckTimedOut means that no response arrived or that the connection broke.
	HealthCheckTimedOut
	// HealthCheckUnreachable means that no connection could be established.
	HealthCheckUnreachable
)
