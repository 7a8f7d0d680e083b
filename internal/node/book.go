package node

// Book counts what is taken in, sent, answered, refused, repeated, dropped and reconnected, and
// logs what repeats at a bounded rate. It must never change what the other stages do.

import (
	"fmt"
	"log"
	"strings"
	"sync"
	"sync/atomic"
	"time"
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
	counters
)

var counterNames = [counters]string{
	"reports_in", "loads_in", "usages_in", "joins_in", "leaves_in", "applied_in", "lists_in", "lists_old", "pings",
	"unknown_names", "lines_unread", "half_lines", "connections", "connections_closed",
	"news_opens", "news_breaks", "watch_opens", "watch_breaks",
	"calls_sent", "calls_answered", "calls_unknown", "calls_unsent", "calls_busy", "calls_folded", "calls_again",
	"orders_sent", "orders_refused", "marks_sent", "probes_sent", "probes_answered", "probes_failed", "probes_dropped",
}

type book struct {
	counts [counters]atomic.Int64
	every  time.Duration
	mu     sync.Mutex
	logged map[string]time.Time
}

func newBook(every time.Duration) *book { return &book{every: every, logged: map[string]time.Time{}} }

func (b *book) add(c counter, n int64) { b.counts[c].Add(n) }

// say logs a line of a kind, at most one within `every`.
func (b *book) say(kind, format string, values ...any) {
	b.mu.Lock()
	now := time.Now()
	due := now.Sub(b.logged[kind]) >= b.every
	if due {
		b.logged[kind] = now
	}
	b.mu.Unlock()
	if due {
		log.Printf("event=%s "+format, append([]any{kind}, values...)...)
	}
}

// line is all counters as key=value.
func (b *book) line() string {
	var out strings.Builder
	for c, name := range counterNames {
		fmt.Fprintf(&out, " %s=%d", name, b.counts[c].Load())
	}
	return out.String()[1:]
}
