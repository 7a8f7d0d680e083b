package loadtest

import (
	"strconv"
	"sync"
	"time"

	"tamarindshore/internal/fakes"
)

// Names in the relay protocol of the commands that an observer measures.
const (
	assignCommand   = "bind"
	withdrawCommand = "withdraw"
)

// observer measures the time from the connection of a proxy to its assignment and from the drain of a server to its
// withdrawal. It is safe for concurrent use.
type observer struct {
	assignLatency   *latencyRecorder
	withdrawLatency *latencyRecorder

	isWithdrawn func(server string) bool // asks the relay, which takes its lock

	// mu is taken while the relay's lock is held, so none of the relay's methods may be called with mu held.
	mu          sync.Mutex
	connectedAt map[string]time.Time // when unassigned proxies connected, by proxy ID
	drainedAt   map[string]time.Time // when servers that are not yet withdrawn started to drain, by server ID
}

// newObserver returns an observer of the commands that a relay receives.
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

// onCommand records the latency of a command. The relay calls it with its lock held.
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

// recordSince records the time since a subject was added to pending, and removes it. It ignores other subjects.
func recordSince(pending map[string]time.Time, subject string, at time.Time, recorder *latencyRecorder) {
	if since, isPending := pending[subject]; isPending {
		recorder.record(at.Sub(since), 1)
		delete(pending, subject)
	}
}

// expectWithdrawal records that a server starts to drain, unless it is already withdrawn.
func (o *observer) expectWithdrawal(server string) {
	if o.isWithdrawn(server) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainedAt[server] = time.Now()
}

// expectAssignment records that a proxy connects.
func (o *observer) expectAssignment(proxy int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.connectedAt[strconv.Itoa(proxy)] = time.Now()
}
