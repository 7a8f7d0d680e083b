package node

// Book counts what is taken in, sent, answered, refused, repeated, dropped and reconnected, and
// logs what repeats at a bounded rate. It must never change what the other stages do.

import (
	"fmt"
	"io"
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
	logDropped
	spoilt
	strangersLate
	reloads
	reloadsFaulty
	laneMoves
	lanesRenewed
	linesFatal
	samplesFolded
	counters
)

var counterNames = [counters]string{
	"reports_in", "loads_in", "usages_in", "joins_in", "leaves_in", "applied_in", "lists_in", "lists_old", "pings",
	"unknown_names", "lines_unread", "half_lines", "connections", "connections_closed",
	"news_opens", "news_breaks", "watch_opens", "watch_breaks",
	"calls_sent", "calls_answered", "calls_unknown", "calls_unsent", "calls_busy", "calls_folded", "calls_again",
	"orders_sent", "orders_refused", "marks_sent", "probes_sent", "probes_answered", "probes_failed", "probes_dropped", "log_dropped",
	"spoilt", "strangers_late", "reloads", "reloads_faulty", "lane_moves", "lanes_renewed", "lines_fatal", "samples_folded",
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

// tell logs one line of a kind, from pairs of key and value.
func (b *book) tell(kind string, pairs ...any) {
	var out strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&out, " %v=%q", pairs[i], fmt.Sprint(pairs[i+1]))
	}
	log.Printf("event=%s%s", kind, out.String())
}

// line is all counters as key=value.
func (b *book) line() string {
	var out strings.Builder
	for c, name := range counterNames {
		fmt.Fprintf(&out, " %s=%d", name, b.counts[c].Load())
	}
	return out.String()[1:]
}

// outlet writes the log without holding up who logs: guards against a reader of the log that stands
// still, which would otherwise stop the module. What finds no room is dropped and counted.
type outlet struct {
	waits chan []byte
	ended chan struct{}
	book  *book
}

func newOutlet(to io.Writer, most int, b *book) *outlet {
	o := &outlet{waits: make(chan []byte, most), ended: make(chan struct{}), book: b}
	go func() {
		defer close(o.ended)
		for line := range o.waits {
			if line == nil {
				return
			}
			to.Write(line)
		}
	}()
	return o
}

func (o *outlet) Write(line []byte) (int, error) {
	select {
	case o.waits <- append([]byte{}, line...):
	default:
		o.book.add(logDropped, 1)
	}
	return len(line), nil
}

// end writes what waits, for a limited time.
func (o *outlet) end(within time.Duration) {
	late := time.After(within)
	select {
	case o.waits <- nil:
	case <-late:
		return
	}
	select {
	case <-o.ended:
	case <-late:
	}
}
