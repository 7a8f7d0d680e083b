package balancer

import "time"

type (
	// ServerID identifies a server; it stays the same when the server's process restarts.
	ServerID string
	// ZoneID identifies a zone.
	ZoneID string
	// ProxyID is the number of a proxy.
	ProxyID int
	// ClassID is the position of a traffic class in Settings.Classes.
	ClassID int
	// TableID is the number of a table of endpoints and their weights.
	TableID int
	// BarrierID identifies a barrier; its acknowledgement shows that the commands before it have left the channel.
	BarrierID int
)

// ServerState is what the endpoint list says of a server.
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
	Started         time.Duration // since the manager's start; read only if RecentlyStarted
	RecentlyStarted bool
	State           ServerState
}

// Idempotency says whether a request of a traffic class may run again.
type Idempotency int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Idempotency = iota
	// IdempotencyKeyed requests carry a key by which all servers drop copies within DedupWindow.
	IdempotencyKeyed
	// Idempotent requests may run again.
	Idempotent
)

// TrafficClass is a class of requests with its own objective and retry policy.
type TrafficClass struct {
	LatencyObjective time.Duration
	Deadline         time.Duration
	PriorityWeight   float64
	Idempotency      Idempotency
	DedupWindow      time.Duration // of IdempotencyKeyed
	ZoneLocal        bool          // its requests stay with the servers of their proxy's zone
}

// AdmissionUnit is the unit in which proxies take an admission level.
type AdmissionUnit int

const (
	// AdmitNone means that proxies take no admission level.
	AdmitNone AdmissionUnit = iota
	// AdmitShare is a share of the requests, from 0 to 1.
	AdmitShare
	// AdmitRate is requests per second at each proxy.
	AdmitRate
)

// RetryPolicy says when a proxy tries another server.
type RetryPolicy int

const (
	// NoRetry sends a request to one server only.
	NoRetry RetryPolicy = iota
	// RetryIfNotExecuted tries another server where the first did not execute the request.
	RetryIfNotExecuted
	// MaxTwoAttempts tries up to two servers.
	MaxTwoAttempts
	// MaxThreeAttempts tries up to three servers.
	MaxThreeAttempts
)

// Settings are what the platform states when a manager starts.
type Settings struct {
	Zones              []ZoneID
	Classes            []TrafficClass
	PollsEndpoints     bool // the endpoint list comes only after Commands.Subscribe
	Managers           int
	Proxies            int  // of all managers
	Sliced             bool // keys are divided into slices with tables of their own
	RemovedMayServe    bool // only draining forbids requests; a removed server may still serve
	HealthChecks       bool // the manager may send health checks
	WeightsFollowLoad  bool // listed weights change with the load
	AdmissionUnit      AdmissionUnit
	DefaultRetryPolicy RetryPolicy
	IdleTimeout        time.Duration // after which proxies close idle connections
	ColdCapacity       float64       // share of its capacity that a server has when it starts
	WarmUpDuration     time.Duration
	DrainGrace         time.Duration // from a server's drain until no proxy may send to it; 0: not stated
	QueueCapacity      float64       // commands that may wait in the channel
	CommandsPerSecond  float64       // that the channel sends
	CommandPrice       float64       // of sending at that pace all day, as a share of the service
	MessageOverhead    float64       // commands that a message costs besides its own
	MaxMessages        int           // to one proxy within MessageWindow; 0: no limit
	MessageWindow      time.Duration
}

// LoadReport sums the attempts of one zone's proxies at one server.
type LoadReport struct {
	Server   ServerID
	Zone     ZoneID
	Attempts int
	Failed   int
	Latency  time.Duration // mean of the successful attempts, 0 without any
	Interval time.Duration // that the report covers
	InFlight float64       // requests at the server; below 0 where not told
}

// UsageReport counts the requests of one traffic class that came to a proxy.
type UsageReport struct {
	Proxy    ProxyID
	Class    ClassID
	Requests int
	Dropped  int // admitted, and without an answer
	Interval time.Duration
}

// HealthCheckResult is the outcome of a health check. From HealthCheckTimedOut on nothing answers.
type HealthCheckResult int

const (
	// HealthCheckPassed is the answer of a live server.
	HealthCheckPassed HealthCheckResult = iota
	// HealthCheckInvalid is an answer that no live server gives.
	HealthCheckInvalid
	// HealthCheckRejected is the refusal of a server that runs.
	HealthCheckRejected
	// HealthCheckTimedOut is no answer, or a broken connection.
	HealthCheckTimedOut
	// HealthCheckUnreachable is a connection that did not come up.
	HealthCheckUnreachable
)
