package node

import (
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/config"
	"tamarindshore/internal/sharding"
	"tamarindshore/internal/versions"
)

// router is the only goroutine that uses the balancer. It owns the balancer, its clock, the set of connected proxies and
// the addresses of the servers. It passes the inputs of each connection to the balancer in the order in which they
// arrived, and queues the resulting commands for the relay. It must never wait for the network, and never choose a
// server, a weight, an admission level or the time of a command. All its fields belong to its goroutine; other goroutines
// communicate with it through its channels.
type router struct {
	limits              config.Limits
	startedAt           time.Time
	manager             *balancer.Manager
	inputs              chan input      // from all other goroutines
	chain               *versions.Chain // versions of the tables; nil: commands are sent without versions
	feed                *feed           // sends versions to replicas; nil: not configured
	storeWriter         *storeWriter    // saves versions and commands; nil: they are not stored
	nextHoldCheck       time.Duration   // time of the next check by checkHold
	sampleQueue         *sampleQueue    // samples from the decoder pool; nil: samples arrive as inputs
	backlog             *backlog
	healthChecks        chan healthCheckTarget
	listRequested       chan struct{} // signalled when the balancer requests the endpoint list
	onProxyEventsOpened func()        // called each time the relay's event stream opens
	flushLog            func()        // writes the queued log lines before the process exits
	metrics             *metrics
	subsetFilter        *subsetFilter // selects the servers that the balancer needs; nil: all listed servers

	now          time.Duration // since startedAt
	nextTimer    time.Duration // time of the balancer's next timer; 0: none
	proxies      map[balancer.ProxyID]bool
	unconfirmed  map[balancer.ProxyID]bool    // proxies connected before the event stream was interrupted and not announced since
	addresses    map[balancer.ServerID]string // addresses of the servers that the balancer knows
	sampleBuffer []sharding.Sample            // reused by handleSamples
	decisions    []balancer.Commands          // commands decided since the last flush
}

// maxTimerWait is the longest time that the router waits while the balancer has no timer set.
const maxTimerWait = time.Hour

// run handles inputs until stop is closed. Inputs that are queued together are handled as one batch, whose commands are
// flushed together.
func (r *router) run(stop <-chan struct{}) {
	defer r.exitOnPanic()
	timer := time.NewTimer(maxTimerWait)
	defer timer.Stop()
	for r.awaitInput(timer, stop) {
		r.handleQueuedInputs()
		r.handleSamples()
		r.handleDueTimer()
		r.checkHold()
		r.updateSubset()
		r.flush()
	}
}

// exitOnPanic ends the process after a panic, which may leave the balancer's state inconsistent. It must be deferred.
func (r *router) exitOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	r.metrics.logger.Error().
		Str("event", "panic").
		Float64("at", roundedSeconds(r.now)).
		Str("cause", fmt.Sprint(cause)).
		Str("stack", string(debug.Stack())).
		Send()
	r.flushLog()
	os.Exit(1)
}

// awaitInput waits for an input, queued samples or the timer. If an input ended the wait, awaitInput handles it. It
// returns false once stop is closed.
func (r *router) awaitInput(timer *time.Timer, stop <-chan struct{}) bool {
	wait := maxTimerWait
	if r.nextTimer > 0 {
		wait = max(0, r.nextTimer-time.Since(r.startedAt))
	}
	timer.Reset(wait)
	var samplesQueued <-chan struct{}
	if r.sampleQueue != nil {
		samplesQueued = r.sampleQueue.filled
	}
	select {
	case <-stop:
		return false
	case in := <-r.inputs:
		r.advanceClock()
		r.handle(in)
	case <-samplesQueued:
		r.advanceClock()
	case <-timer.C:
		r.advanceClock()
	}
	return true
}

// handleQueuedInputs handles the inputs that are queued behind the first one, up to MaxInputBatch in all.
func (r *router) handleQueuedInputs() {
	for handled := 1; handled < r.limits.MaxInputBatch; handled++ {
		select {
		case in := <-r.inputs:
			r.handle(in)
		default:
			return
		}
	}
}

// handleSamples handles the samples from the decoder pool. They are handled after the other inputs, so that a drain never
// waits for samples.
func (r *router) handleSamples() {
	if r.sampleQueue == nil {
		return
	}
	r.sampleBuffer = r.sampleQueue.next(r.limits.MaxInputBatch, r.sampleBuffer)
	for _, sample := range r.sampleBuffer {
		switch sample := sample.(type) {
		case sharding.LoadSample:
			r.handleLoadReport(sample.LoadReport)
		case sharding.UsageSample:
			r.handleUsageReport(sample.UsageReport)
		}
	}
}

// handleDueTimer has the balancer handle its timer if it is due.
func (r *router) handleDueTimer() {
	if r.nextTimer > 0 && r.now >= r.nextTimer {
		r.nextTimer = 0
		r.apply(r.manager.HandleTimer(r.now))
	}
}

// advanceClock advances the clock by at least 1 ns, so that no two calls give the same time.
func (r *router) advanceClock() { r.now = max(r.now+1, time.Since(r.startedAt)) }

// handle passes an input to its handler.
func (r *router) handle(in input) { in.handleBy(r) }

// apply carries out the balancer's decisions: it writes log records, requests health checks and the endpoint list, sets
// the next timer, and collects the commands until they are flushed.
func (r *router) apply(decided balancer.Commands) {
	r.logRecords(decided.LogRecords)
	for _, server := range decided.HealthCheck {
		r.requestHealthCheck(server)
	}
	if decided.Subscribe {
		notify(r.listRequested)
	}
	if decided.NextTimer > 0 && (r.nextTimer == 0 || decided.NextTimer < r.nextTimer) {
		r.nextTimer = decided.NextTimer
	}
	if !commands.IsEmpty(decided) {
		r.decisions = append(r.decisions, decided)
	}
}

// requestHealthCheck queues a health check. It drops the check if the queue is full; the balancer will request it again.
func (r *router) requestHealthCheck(server balancer.ServerID) {
	select {
	case r.healthChecks <- healthCheckTarget{server: server, address: r.addresses[server]}:
	default:
		r.metrics.add(healthChecksDropped, 1)
	}
}

// logRecords logs the records of decisions, with the time in seconds since the manager started.
func (r *router) logRecords(records []balancer.LogRecord) {
	for _, record := range records {
		r.metrics.logRecord(record, "stage", "route", "at", roundedSeconds(r.now))
	}
}

// flush queues the collected commands for the relay. With a chain, only those that the chain accepts are queued.
func (r *router) flush() {
	if len(r.decisions) == 0 {
		return
	}
	all := r.dropDisconnected(commands.Merge(r.decisions...))
	r.decisions = nil
	if r.chain != nil {
		all = r.proposeVersion(all)
	}
	if !commands.IsEmpty(all) {
		r.backlog.push(all)
	}
}

// dropDisconnected drops the assignments of proxies that have disconnected since: the relay would reject such an
// assignment and stop the call there.
func (r *router) dropDisconnected(all balancer.Commands) balancer.Commands {
	all.Assign = slices.DeleteFunc(all.Assign, func(assignment balancer.TableAssignment) bool { return !r.proxies[assignment.Proxy] })
	return all
}
