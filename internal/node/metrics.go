package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/balancer"
)

// counter identifies a counter of a manager. counterNames holds the names under which counters are logged.
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

// counterNames holds the names of the counters in the log and on the status page. The load test and the scale measurement
// read reports_in, usages_in, samples_folded and probes_sent, so these names and the other probes_ names must not change.
var counterNames = [counterCount]string{
	reportsIn:            "reports_in",
	loadsIn:              "loads_in",
	usagesIn:             "usages_in",
	proxyConnects:        "proxy_connects",
	proxyDisconnects:     "proxy_disconnects",
	barrierAcks:          "barrier_acks",
	endpointLists:        "endpoint_lists",
	staleEndpointLists:   "stale_endpoint_lists",
	pings:                "pings",
	unknownNames:         "unknown_names",
	unreadableLines:      "unreadable_lines",
	partialLines:         "partial_lines",
	connections:          "connections",
	connectionsClosed:    "connections_closed",
	proxyStreamOpens:     "proxy_stream_opens",
	proxyStreamBreaks:    "proxy_stream_breaks",
	watchOpens:           "watch_opens",
	watchBreaks:          "watch_breaks",
	callsSent:            "calls_sent",
	callsAnswered:        "calls_answered",
	callsUnknown:         "calls_unknown",
	callsUnsent:          "calls_unsent",
	callsBusy:            "calls_busy",
	callsMerged:          "calls_merged",
	callsRetried:         "calls_retried",
	commandsSent:         "commands_sent",
	commandsRejected:     "commands_rejected",
	barriersSent:         "barriers_sent",
	healthChecksSent:     "probes_sent",
	healthChecksPassed:   "probes_answered",
	healthChecksFailed:   "probes_failed",
	healthChecksDropped:  "probes_dropped",
	logDropped:           "log_dropped",
	malformedMessages:    "malformed_messages",
	unidentifiedTimeouts: "unidentified_timeouts",
	reloads:              "reloads",
	reloadsFailed:        "reloads_failed",
	shardMoves:           "shard_moves",
	shardRestarts:        "shard_restarts",
	decoderPanics:        "decoder_crashes",
	samplesMerged:        "samples_folded",
	versionsPublished:    "versions_published",
	versionsWithheld:     "versions_withheld",
	storeWriteFailures:   "store_write_failures",
	versionsSent:         "versions_sent",
	versionsAcked:        "versions_acked",
	versionsRejected:     "versions_rejected",
	replicasRejected:     "replicas_rejected",
	readerPanics:         "reader_crashes",
	outsideSubset:        "outside_subset",
}

// metrics holds the counters of a manager and writes log events, those that may repeat often at a limited rate. It must
// not affect the behaviour of its callers. It is safe for concurrent use.
type metrics struct {
	counts      [counterCount]atomic.Int64
	logInterval time.Duration // minimum time between two log lines of the same event that logLimited writes
	logger      zerolog.Logger

	mu         sync.Mutex // guards lastLogged
	lastLogged map[string]time.Time
}

func newMetrics(logInterval time.Duration, logger zerolog.Logger) *metrics {
	return &metrics{logInterval: logInterval, logger: logger, lastLogged: map[string]time.Time{}}
}

// add adds n to a counter.
func (m *metrics) add(c counter, n int64) {
	if n != 0 { // avoids the atomic write, as most samples add nothing to most counters
		m.counts[c].Add(n)
	}
}

// logLimited logs an event with key-value pairs, at most once per log interval.
func (m *metrics) logLimited(event string, pairs ...any) {
	if m.isLogDue(event, time.Now()) {
		m.logEvent(event, pairs...)
	}
}

func (m *metrics) isLogDue(event string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastLogged[event]) < m.logInterval {
		return false
	}
	m.lastLogged[event] = now
	return true
}

// logEvent logs an event with key-value pairs.
func (m *metrics) logEvent(event string, pairs ...any) {
	m.logger.Info().Str("event", event).Fields(pairs).Send()
}

// logRecord logs a record of a decision. The key-value pairs come before the fields of the record.
func (m *metrics) logRecord(record balancer.LogRecord, pairs ...any) {
	line := m.logger.Info().Str("event", string(record.Event)).Fields(pairs)
	for _, field := range record.Fields {
		line.Str(field.Name, field.Value)
	}
	line.Send()
}

// logCounters logs the values of all counters as one event.
func (m *metrics) logCounters(event string) {
	line := m.logger.Info().Str("event", event)
	for c, name := range counterNames {
		line.Int64(name, m.counts[c].Load())
	}
	line.Send()
}

// values returns the values of all counters by name.
func (m *metrics) values() map[string]int64 {
	values := make(map[string]int64, counterCount)
	for c, name := range counterNames {
		values[name] = m.counts[c].Load()
	}
	return values
}
