package config

import (
	"time"

	"tamarindshore/internal/sharding"
)

// Limits are the sizes, counts and timeouts of the network code. Some scale with the machine, so that a manager can run on
// the smallest one.
type Limits struct {
	Cores    int   // cores that the process may use
	Shards   int   // cores that read connections, beside the one that runs the balancer; 0 or 1: none
	Memory   int64 // bytes
	Sockets  int   // file descriptors
	Sharding sharding.Settings

	// Queues and batches.

	MaxQueuedInputs       int // inputs that wait for the goroutine that owns the balancer
	MaxInputBatch         int // inputs that this goroutine handles in one batch
	MaxQueuedCalls        int // calls to the relay that wait; further ones are merged
	MaxCallBytes          int // size of the commands in one call
	MaxQueuedHealthChecks int // health checks that wait; if a whole fleet is lost at once, all its servers must fit
	MaxOpenHealthChecks   int // health checks that run at the same time
	MaxQueuedLogLines     int // further lines are dropped

	// Connections and the messages on them.

	MaxUnidentifiedConns     int // connections that have not identified themselves yet
	MaxCollectorConns        int
	MaxLineFields            int // fields of one line
	MaxUnidentifiedLineBytes int
	MaxCollectorLineBytes    int
	MaxWatchEventBytes       int
	MaxEndpointListBytes     int           // the whole list is sent in one line
	MaxResponseBytes         int           // response of the relay or of a server
	ReadChunkBytes           int           // size of one read if several cores read connections
	MaxQueuedChunks          int           // chunks of one connection that wait to be decoded
	MaxMessagesWithoutReport int           // consecutive messages of a connection without a report
	MaxRequestsPerSecond     float64       // maximum rate in a report; also the maximum of its in-flight requests
	MaxReportInterval        time.Duration // longest interval that a report may cover

	// ReadInterval is the time between reads from collectors and from the relay; 0: data is read as it arrives.
	ReadInterval time.Duration

	// Timeouts of connections and streams.

	IdentifyTimeout          time.Duration // from accepting a connection to its first report
	CollectorIdleTimeout     time.Duration // between two later reports
	LastSeenPrecision        time.Duration // minimum time between updates of a connection's last report time
	ProxyWatchIdleTimeout    time.Duration // between two messages of the relay's stream of proxies
	EndpointWatchIdleTimeout time.Duration // between two messages of the stream of endpoints
	StreamOpenTimeout        time.Duration // from the request for a stream to its beginning
	ProxySnapshotTimeout     time.Duration // minimum age of a stream at the heartbeat that completes its snapshot of proxies
	ConnectTimeout           time.Duration
	WriteTimeout             time.Duration
	RelayTimeout             time.Duration // for one call
	HealthCheckTimeout       time.Duration // for one health check
	ProcessStallGrace        time.Duration // extra time to read data that arrived while this process was stalled
	MaxWatchGap              time.Duration // how long a stream may lack a list before the list is requested again

	// Start, reload, reconnection and logging.

	MaxReadyDelay       time.Duration // after this time a manager is ready even without the relay
	ListenTimeout       time.Duration // how long to retry while the address is still in use
	ReloadRetries       int           // retries after a signal while the file is invalid
	ReloadRetryInterval time.Duration
	MinBackoff          time.Duration // bounds of the random delay before a stream is opened again
	MaxBackoff          time.Duration
	LogInterval         time.Duration // minimum time between two log lines of one kind
	LogFlushTimeout     time.Duration // at shutdown, for the lines that are still queued
}

const bytesPerMB = 1 << 20

// Bounds of an endpoint list, which is sent whole in one line. The limit scales with the memory, so that a fleet is only
// refused if it doesn't fit the memory: a list of 24,000 servers takes about 4 MB.
const (
	minEndpointListBytes      = 1 << 20
	endpointListMemoryDivisor = 32 // a list may take 1/32 of the memory
)

// MaxEndpointListBytes returns the maximum size in bytes of an endpoint list for a manager with memoryMB of memory.
func MaxEndpointListBytes(memoryMB float64) int {
	return max(minEndpointListBytes, int(memoryMB*bytesPerMB)/endpointListMemoryDivisor)
}

// machine is the resources that the platform lets the process use.
type machine struct {
	cores    float64
	memoryMB float64
	sockets  int
}

// limitsFor returns the limits for a machine. Sharding, Shards and ReadInterval are not set: they come from the
// operator's settings.
func limitsFor(m machine) Limits {
	const rounding = 0.5 // added before truncation, so that half a core or more counts as one
	limits := Limits{
		Cores:   max(1, int(m.cores+rounding)),
		Memory:  int64(m.memoryMB * bytesPerMB),
		Sockets: m.sockets,
	}
	limits.setQueues(m)
	limits.setConnections(m)
	limits.setConnectionTimeouts()
	limits.setProcessTimes()
	return limits
}

// setQueues sets the limits of queues and batches.
func (l *Limits) setQueues(m machine) {
	l.MaxQueuedInputs = 4096
	l.MaxInputBatch = 512
	l.MaxQueuedCalls = 8
	l.MaxCallBytes = 60000
	l.MaxQueuedHealthChecks = 4096
	l.MaxOpenHealthChecks = min(64, m.sockets/8)
	l.MaxQueuedLogLines = 1024
}

// setConnections sets the limits on the number of connections and on the messages of each.
func (l *Limits) setConnections(m machine) {
	l.MaxUnidentifiedConns = min(256, m.sockets/4)
	l.MaxCollectorConns = min(32, m.sockets/16)
	l.MaxLineFields = 64
	l.MaxUnidentifiedLineBytes = 4 << 10
	l.MaxCollectorLineBytes = min(1<<20, int(m.memoryMB*bytesPerMB)/512)
	l.MaxWatchEventBytes = 64 << 10
	l.MaxEndpointListBytes = MaxEndpointListBytes(m.memoryMB)
	l.MaxResponseBytes = 64 << 10
	l.ReadChunkBytes = 16 << 10
	l.MaxQueuedChunks = 4
	l.MaxMessagesWithoutReport = 64
	l.MaxRequestsPerSecond = 10000
	l.MaxReportInterval = time.Minute
}

// setConnectionTimeouts sets the timeouts of connections, streams and calls.
func (l *Limits) setConnectionTimeouts() {
	l.IdentifyTimeout = 1500 * time.Millisecond
	l.CollectorIdleTimeout = 20 * time.Second
	l.LastSeenPrecision = 50 * time.Millisecond
	l.ProxyWatchIdleTimeout = 1500 * time.Millisecond
	l.EndpointWatchIdleTimeout = 2600 * time.Millisecond
	l.StreamOpenTimeout = 700 * time.Millisecond
	l.ProxySnapshotTimeout = 300 * time.Millisecond
	l.ConnectTimeout = 300 * time.Millisecond
	l.WriteTimeout = 300 * time.Millisecond
	l.RelayTimeout = 60 * time.Millisecond
	l.HealthCheckTimeout = 600 * time.Millisecond
	l.ProcessStallGrace = 20 * time.Millisecond
	l.MaxWatchGap = time.Second
}

// setProcessTimes sets the times of start, reload, reconnection and logging.
func (l *Limits) setProcessTimes() {
	l.MaxReadyDelay = 5 * time.Second
	l.ListenTimeout = 2 * time.Second
	l.ReloadRetries = 5
	l.ReloadRetryInterval = 200 * time.Millisecond
	l.MinBackoff = 50 * time.Millisecond
	l.MaxBackoff = 200 * time.Millisecond
	l.LogInterval = time.Second
	l.LogFlushTimeout = 200 * time.Millisecond
}
