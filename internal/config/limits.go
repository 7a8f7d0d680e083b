package config

import (
	"time"

	"tamarindshore/internal/sharding"
)

// Limits are the sizes, counts and timeouts of the network code. They scale with the machine, so that the smallest one
// can run a manager.
type Limits struct {
	Cores    int   // that the process may use
	Shards   int   // cores that read connections beside the one that decides; up to 1: none
	Memory   int64 // bytes
	Sockets  int   // file descriptors
	Sharding sharding.Settings

	// Queues and batches.

	MaxQueuedInputs       int // of the goroutine that owns the balancer
	MaxInputBatch         int // inputs that it takes at one time
	MaxQueuedCalls        int // to the relay, before they are merged
	MaxCallBytes          int // of the commands in one call
	MaxQueuedHealthChecks int // servers that may all be checked at once: a lost fleet is checked whole
	MaxOpenHealthChecks   int // under way at one time
	MaxQueuedLogLines     int

	// Connections and what they may send.

	MaxUnidentifiedConns     int // connections that have not said whose they are
	MaxCollectorConns        int
	MaxLineFields            int // words of a line
	MaxUnidentifiedLineBytes int
	MaxCollectorLineBytes    int
	MaxWatchEventBytes       int
	MaxEndpointListBytes     int // a whole list comes in one line
	MaxResponseBytes         int // of the relay or a server
	ReadChunkBytes           int // read at one time where several cores read connections
	MaxQueuedChunks          int // of one connection
	MaxEmptyMessages         int // one after another that report nothing
	MaxRequestsPerSecond     float64
	MaxReportInterval        time.Duration // that a report may cover

	// ReadInterval is the time between reads of what collectors and the relay send; 0: each is read at once.
	ReadInterval time.Duration

	// Timeouts of connections and streams.

	IdentifyTimeout          time.Duration // from the accept of a connection to its first report
	CollectorIdleTimeout     time.Duration // between two reports after that
	LastSeenPrecision        time.Duration // to which the time of a connection's last report is known
	ProxyWatchIdleTimeout    time.Duration // between two signs of life of the relay's stream of proxies
	EndpointWatchIdleTimeout time.Duration // between two signs of life of the stream of endpoints
	StreamOpenTimeout        time.Duration // until a stream begins
	ProxySnapshotTimeout     time.Duration // a sign of life after that ends the snapshot of proxies at the beginning of a stream
	ConnectTimeout           time.Duration
	WriteTimeout             time.Duration
	RelayTimeout             time.Duration // of one call
	HealthCheckTimeout       time.Duration // of one check
	ProcessStallGrace        time.Duration // to read what arrived while this process was stalled
	MaxWatchGap              time.Duration // until what a stream missed is requested again

	// Start, reload, reconnecting and logging.

	MaxReadyDelay       time.Duration // after its start a manager is ready also without the relay
	ListenTimeout       time.Duration // for an address that is still in use
	ReloadRetries       int           // of a file that is at fault, after a signal
	ReloadRetryInterval time.Duration
	MinBackoff          time.Duration // before a stream is opened again: drawn between the two
	MaxBackoff          time.Duration
	LogInterval         time.Duration // between two lines of one kind
	LogFlushTimeout     time.Duration // for the last lines
}

const bytesPerMB = 1 << 20

// A whole list comes in one line. Its bound follows the memory, so that no size of a fleet is refused that the memory
// carries: 24,000 servers take some 4 MB.
const (
	minEndpointListBytes    = 1 << 20
	endpointListMemoryShare = 32 // one part in so many of the memory
)

// MaxEndpointListBytes is the bound on a whole list, in bytes, of a manager with so much memory.
func MaxEndpointListBytes(memoryMB float64) int {
	return max(minEndpointListBytes, int(memoryMB*bytesPerMB)/endpointListMemoryShare)
}

// machine is what the platform lets the process use.
type machine struct {
	cores    float64
	memoryMB float64
	sockets  int
}

// limitsFor gives the limits of a machine. Sharding, Shards and ReadInterval are the operator's to state.
func limitsFor(m machine) Limits {
	const wholeCores = 0.5 // half a core and more counts as one
	limits := Limits{
		Cores:   max(1, int(m.cores+wholeCores)),
		Memory:  int64(m.memoryMB * bytesPerMB),
		Sockets: m.sockets,
	}
	limits.setQueues(m)
	limits.setConnections(m)
	limits.setConnectionTimeouts()
	limits.setProcessTimes()
	return limits
}

// setQueues sets the bounds of queues and batches.
func (l *Limits) setQueues(m machine) {
	l.MaxQueuedInputs = 4096
	l.MaxInputBatch = 512
	l.MaxQueuedCalls = 8
	l.MaxCallBytes = 60000
	l.MaxQueuedHealthChecks = 4096
	l.MaxOpenHealthChecks = min(64, m.sockets/8)
	l.MaxQueuedLogLines = 1024
}

// setConnections sets how many connections there may be, and how much each may send.
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
	l.MaxEmptyMessages = 64
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

// setProcessTimes sets the times of start, reload, reconnecting and logging.
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
