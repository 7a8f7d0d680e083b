package node

// Book counts what is taken in, sent, answered, refused, repeated, dropped and reconnected, and
// logs what repeats at a bounded rate. It must never change what the other stages do.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

type counter int

const (
	reportsIn counter = iota
	loadsIn
	usagesIn
	joinsIn
	leavesIn
	appliedIn
	listsIn
	listsOld
	pings
	unknownNames
	linesUnread
	halfLines
	connections
	connectionsClosed
	newsOpens
	newsBreaks
	watchOpens
	watchBreaks
	callsSent
	callsAnswered
	callsUnknown
	callsUnsent
	callsBusy
	callsFolded
	callsAgain
	ordersSent
	ordersRefused
	marksSent
	probesSent
	probesAnswered
	probesFailed
	probesDropped
	logDropped
	spoilt
	strangersLate
	reloads
	reloadsFaulty
	laneMoves
	lanesRenewed
	linesFatal
	samplesFolded
	versionsMade
	versionsHeld
	storeFailed
	versionsSent
	versionsAcked
	versionsRefused
	holdersRefused
	readersFailed
	outsideSubset
	counters
)

var counterNames = [counters]string{
	"reports_in", "loads_in", "usages_in", "joins_in", "leaves_in", "applied_in", "lists_in", "lists_old", "pings",
	"unknown_names", "lines_unread", "half_lines", "connections", "connections_closed",
	"news_opens", "news_breaks", "watch_opens", "watch_breaks",
	"calls_sent", "calls_answered", "calls_unknown", "calls_unsent", "calls_busy", "calls_folded", "calls_again",
	"orders_sent", "orders_refused", "marks_sent", "probes_sent", "probes_answered", "probes_failed", "probes_dropped", "log_dropped",
	"spoilt", "strangers_late", "reloads", "reloads_faulty", "lane_moves", "lanes_renewed", "lines_fatal", "samples_folded",
	"versions_made", "versions_held", "store_failed",
	"versions_sent", "versions_acked", "versions_refused", "holders_refused", "readers_failed", "outside_subset",
}

type book struct {
	counts [counters]atomic.Int64
	every  time.Duration
	log    zerolog.Logger
	mu     sync.Mutex
	logged map[string]time.Time
}

func newBook(every time.Duration, log zerolog.Logger) *book {
	return &book{every: every, log: log, logged: map[string]time.Time{}}
}

func (b *book) add(c counter, n int64) { b.counts[c].Add(n) }

// say logs a line of a kind, from pairs of key and value, at most one within `every`.
func (b *book) say(kind string, pairs ...any) {
	b.mu.Lock()
	now := time.Now()
	due := now.Sub(b.logged[kind]) >= b.every
	if due {
		b.logged[kind] = now
	}
	b.mu.Unlock()
	if due {
		b.tell(kind, pairs...)
	}
}

// tell logs one line of a kind, from pairs of key and value.
func (b *book) tell(kind string, pairs ...any) {
	b.log.Info().Str("event", kind).Fields(pairs).Send()
}

// count logs all counters.
func (b *book) count(kind string) {
	e := b.log.Info().Str("event", kind)
	for c, name := range counterNames {
		e.Int64(name, b.counts[c].Load())
	}
	e.Send()
}
