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

// router is the one goroutine that owns the balancer and its clock, and what is known beside it: which proxies are
// connected and where servers listen. It hands the balancer each input in the order in which its connection delivered
// it and passes the commands on. It must never wait for the network, and never choose a server, a weight, an admission
// level or the time of a command. All its fields belong to its goroutine; other goroutines reach it by its channels.
type router struct {
	limits              config.Limits
	startedAt           time.Time
	manager             *balancer.Manager
	inputs              chan input      // from all other goroutines
	chain               *versions.Chain // versions of the tables; nil: commands go out as they are
	feed                *feed           // sends versions to replicas; nil: there is none
	storeWriter         *storeWriter    // saves versions and commands; nil: they end with the process
	nextHoldCheck       time.Duration   // time of the next checkHold that does something
	sampleQueue         *sampleQueue    // samples that several cores decoded; nil: they come with the inputs
	backlog             *backlog
	healthChecks        chan healthCheckTarget
	listRequested       chan struct{} // signalled where the balancer requests the endpoint list
	onProxyEventsOpened func()        // called once the relay's event stream has opened
	flushLog            func()        // writes what is left of the log, before an exit
	metrics             *metrics
	subsetFilter        *subsetFilter // which servers the balancer needs; nil: all that are listed

	now          time.Duration // since startedAt
	nextTimer    time.Duration // 0: none
	proxies      map[balancer.ProxyID]bool
	unconfirmed  map[balancer.ProxyID]bool    // connected before a gap of the event stream, not confirmed since
	addresses    map[balancer.ServerID]string // of the servers that the balancer knows
	sampleBuffer []sharding.Sample            // reused by handleSamples
	decisions    []balancer.Commands          // since the last flush
}

// maxTimerWait is how long the router waits without an input or a timer of the balancer.
const maxTimerWait = time.Hour

// run handles inputs until stop is closed. What is queued together is decided at one time, and its commands are one call.
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

// exitOnPanic ends the process after a panic of the balancer, whose state may be half changed. It must be deferred.
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

// awaitInput waits until there is something to do, and handles the input that ended the wait, if one did. It returns
// false once stop is closed.
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

// handleQueuedInputs handles the inputs that are queued behind the first, up to a bound.
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

// handleSamples handles the samples that several cores decoded. They come behind the other inputs, so that a drain never
// waits for a sample.
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

// handleDueTimer has the balancer handle its timer, where that is due.
func (r *router) handleDueTimer() {
	if r.nextTimer > 0 && r.now >= r.nextTimer {
		r.nextTimer = 0
		r.apply(r.manager.HandleTimer(r.now))
	}
}

// advanceClock moves the clock; no two times are the same.
func (r *router) advanceClock() { r.now = max(r.now+1, time.Since(r.startedAt)) }

// handle handles one input.
func (r *router) handle(in input) { in.handleBy(r) }

// apply carries out what the balancer decided: it logs, requests health checks and the endpoint list, keeps the next
// timer, and collects the commands until they are flushed.
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

// requestHealthCheck queues a health check; it is dropped where too many are queued, and the balancer asks again.
func (r *router) requestHealthCheck(server balancer.ServerID) {
	select {
	case r.healthChecks <- healthCheckTarget{server: server, address: r.addresses[server]}:
	default:
		r.metrics.add(healthChecksDropped, 1)
	}
}

// logRecords logs records of decisions, with the seconds since the manager's start.
func (r *router) logRecords(records []balancer.LogRecord) {
	for _, record := range records {
		r.metrics.logRecord(record, "stage", "route", "at", roundedSeconds(r.now))
	}
}

// flush queues what was decided at one time for the relay, as far as it may go out as a version.
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

// dropDisconnected drops the assignments of proxies that have left meanwhile: the relay would stop a call at them.
func (r *router) dropDisconnected(all balancer.Commands) balancer.Commands {
	all.Assign = slices.DeleteFunc(all.Assign, func(one balancer.TableAssignment) bool { return !r.proxies[one.Proxy] })
	return all
}
