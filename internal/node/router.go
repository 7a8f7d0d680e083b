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
	inputs              chan input
	chain               *versions.Chain // behind all orders; nil: they go as they are
	feed                *feed           // sends versions to holders; nil: there is none
	storeWriter         *storeWriter    // keeps versions and commands; nil: they end with the process
	nextHoldCheck       time.Duration
	sampleQueue         *sampleQueue // samples that several cores took in; nil: they come with the inputs
	backlog             *backlog
	healthChecks        chan healthCheckTarget
	listRequested       chan struct{} // the list is asked for
	onProxyEventsOpened func()        // news has been opened
	flushLog            func()        // writes what is left of the log
	metrics             *metrics
	subsetFilter        *subsetFilter // which servers the module needs; nil: all that are listed

	now          time.Duration
	nextTimer    time.Duration // 0: none
	proxies      map[balancer.ProxyID]bool
	unconfirmed  map[balancer.ProxyID]bool // known before the gap in the news, and not told since
	addresses    map[balancer.ServerID]string
	sampleBuffer []any
	decisions    []balancer.Commands // of now
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
	for _, value := range r.sampleBuffer {
		switch value := value.(type) { // what loadReport and usageReport put there
		case balancer.LoadReport:
			r.handleLoadReport(value)
		case balancer.UsageReport:
			r.handleUsageReport(value)
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
func (r *router) apply(o balancer.Commands) {
	for _, record := range o.LogRecords {
		r.logRecord(record)
	}
	for _, s := range o.HealthCheck {
		select {
		case r.healthChecks <- healthCheckTarget{s, r.addresses[s]}:
		default:
			r.metrics.add(healthChecksDropped, 1)
		}
	}
	if o.Subscribe {
		notify(r.listRequested)
	}
	if o.NextTimer > 0 && (r.nextTimer == 0 || o.NextTimer < r.nextTimer) {
		r.nextTimer = o.NextTimer
	}
	if !commands.IsEmpty(o) {
		r.decisions = append(r.decisions, o)
	}
}

// logRecord logs one record of the balancer, with the seconds since the manager's start.
func (r *router) logRecord(record balancer.LogRecord) {
	line := r.metrics.logger.Info().Str("event", string(record.Event)).Str("stage", "route").Float64("at", roundedSeconds(r.now))
	for _, field := range record.Fields {
		line.Str(field.Name, field.Value)
	}
	line.Send()
}

// flush hands what was decided at one time to the relay stage, as far as it may go out as a version.
func (r *router) flush() {
	if len(r.decisions) == 0 {
		return
	}
	o := r.dropDisconnected(commands.Merge(r.decisions...))
	r.decisions = nil
	if r.chain != nil {
		o = r.proposeVersion(o)
	}
	if !commands.IsEmpty(o) {
		r.backlog.push(o)
	}
}

// dropDisconnected leaves out the binding of who has left meanwhile: the relay would stop a call at it.
func (r *router) dropDisconnected(o balancer.Commands) balancer.Commands {
	o.Assign = slices.DeleteFunc(o.Assign, func(b balancer.TableAssignment) bool { return !r.proxies[b.Proxy] })
	return o
}
