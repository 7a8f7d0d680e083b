package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// counter is one of the counters of a manager; counterNames holds their names for staff.
type counter int

const (
	reportsIn counter = iota
	loadsIn
	usagesIn
	proxyConnects
	proxyDisconnects
	barrierAcks
	endpointLists
	staleEndpointLists
	pings
	unknownNames
	unreadableLines
	partialLines
	connections
	connectionsClosed
	proxyStreamOpens
	proxyStreamBreaks
	watchOpens
	watchBreaks
	callsSent
	callsAnswered
	callsUnknown
	callsUnsent
	callsBusy
	callsMerged
	callsRetried
	commandsSent
	commandsRejected
	barriersSent
	healthChecksSent
	healthChecksPassed
	healthChecksFailed
	healthChecksDropped
	logDropped
	malformedMessages
	unidentifiedTimeouts
	reloads
	reloadsFailed
	shardMoves
	shardRestarts
	decoderPanics
	samplesMerged
	versionsPublished
	versionsWithheld
	storeWriteFailures
	versionsSent
	versionsAcked
	versionsRejected
	replicasRejected
	readerPanics
	outsideSubset
	counterCount
)

var counterNames = [counterCount]string{
	"reports_in", "loads_in", "usages_in", "joins_in", "leaves_in", "applied_in", "lists_in", "lists_old", "pings",
	"unknown_names", "lines_unread", "half_lines", "connections", "connections_closed",
	"news_opens", "news_breaks", "watch_opens", "watch_breaks",
	"calls_sent", "calls_answered", "calls_unknown", "calls_unsent", "calls_busy", "calls_folded", "calls_again",
	"orders_sent", "orders_refused", "marks_sent", "probes_sent", "probes_answered", "probes_failed", "probes_dropped", "log_dropped",
	"spoilt", "strangers_late", "reloads", "reloads_faulty", "lane_moves", "lanes_renewed", "lines_fatal", "samples_folded",
	"versions_made", "versions_held", "store_failed",
	"versions_sent", "versions_acked", "versions_refused", "holders_refused", "readers_failed", "outside_subset",
}

// metrics counts what is received, sent, answered, refused, repeated, dropped and reconnected, and logs what repeats at
// a bounded rate. It must never change what the other stages do.
type metrics struct {
	counts      [counterCount]atomic.Int64
	logInterval time.Duration // between two lines of a kind that repeats
	logger      zerolog.Logger
	mu          sync.Mutex
	lastLogged  map[string]time.Time
}

func newMetrics(logInterval time.Duration, logger zerolog.Logger) *metrics {
	return &metrics{logInterval: logInterval, logger: logger, lastLogged: map[string]time.Time{}}
}

// add adds n to a counter.
func (m *metrics) add(c counter, n int64) {
	if n != 0 { // most samples add nothing to most counters
		m.counts[c].Add(n)
	}
}

// logLimited logs a line of a kind, from pairs of key and value, at most one within the log interval.
func (m *metrics) logLimited(kind string, pairs ...any) {
	if m.isLogDue(kind, time.Now()) {
		m.logEvent(kind, pairs...)
	}
}

func (m *metrics) isLogDue(kind string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastLogged[kind]) < m.logInterval {
		return false
	}
	m.lastLogged[kind] = now
	return true
}

// logEvent logs one line of a kind, from pairs of key and value.
func (m *metrics) logEvent(kind string, pairs ...any) {
	m.logger.Info().Str("event", kind).Fields(pairs).Send()
}

// logCounters logs all counters.
func (m *metrics) logCounters(kind string) {
	event := m.logger.Info().Str("event", kind)
	for c, name := range counterNames {
		event.Int64(name, m.counts[c].Load())
	}
	event.Send()
}
