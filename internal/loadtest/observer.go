package loadtest

import (
	"strconv"
	"sync"
	"time"

	"tamarindshore/internal/fakes"
)

// Kinds of commands that an observer measures, as the relay names them.
const (
	assignCommand   = "bind"
	withdrawCommand = "withdraw"
)

// observer measures how long the manager takes to command what has become due. It is safe for concurrent use.
type observer struct {
	assignLatency   *latencyRecorder
	withdrawLatency *latencyRecorder

	isWithdrawn func(server string) bool // the relay's; it takes the relay's lock

	// mu is taken within the relay's lock: none of the relay's methods may be called under it.
	mu          sync.Mutex
	connectedAt map[string]time.Time // of proxies that are to be assigned, by number
	drainedAt   map[string]time.Time // of servers that are to be withdrawn
}

// newObserver observes the commands that a relay gets.
func newObserver(relay *fakes.Relay) *observer {
	o := &observer{
		assignLatency:   newLatencyRecorder(),
		withdrawLatency: newLatencyRecorder(),
		isWithdrawn:     relay.Withdrawn,
		connectedAt:     map[string]time.Time{},
		drainedAt:       map[string]time.Time{},
	}
	relay.Configure(func(r *fakes.Relay) { r.OnCommand = o.onCommand })
	return o
}

// onCommand takes a command that the relay got. The relay calls it under its lock.
func (o *observer) onCommand(at time.Time, kind, subject string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch kind {
	case assignCommand:
		recordSince(o.connectedAt, subject, at, o.assignLatency)
	case withdrawCommand:
		recordSince(o.drainedAt, subject, at, o.withdrawLatency)
	}
}

// recordSince records the time since something became due, if it did.
func recordSince(due map[string]time.Time, subject string, at time.Time, recorder *latencyRecorder) {
	if since, isDue := due[subject]; isDue {
		recorder.record(at.Sub(since), 1)
		delete(due, subject)
	}
}

// expectWithdrawal notes that a server is about to drain, unless it is withdrawn already.
func (o *observer) expectWithdrawal(server string) {
	if o.isWithdrawn(server) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainedAt[server] = time.Now()
}

// expectAssignment notes that a proxy is about to connect.
func (o *observer) expectAssignment(proxy int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.connectedAt[strconv.Itoa(proxy)] = time.Now()
}
