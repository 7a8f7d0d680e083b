package node

// Route is the one goroutine that owns the module and its clock, and what is known of it: which
// proxies are joined and where servers listen. It hands the module each input in the order that
// its connection delivered it and passes the orders on. It must never wait for the network, and
// never choose a server, a weight, a level or the time of an order.

import (
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/config"
	"tamarindshore/internal/versions"
)

type router struct {
	limits              config.Limits
	startedAt           time.Time
	manager             *balancer.Manager
	inputs              chan any
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

// run takes inputs until stop is closed. What waits together is decided at one time, and its
// orders are one call, as they are one reply on the simulator's wire.
func (r *router) run(stop <-chan struct{}) {
	defer func() {
		if cause := recover(); cause != nil {
			r.metrics.logger.Error().Str("event", "panic").Float64("at", roundedSeconds(r.now)).Str("cause", fmt.Sprint(cause)).
				Str("stack", string(debug.Stack())).Send()
			r.flushLog()
			os.Exit(1)
		}
	}()
	timer := time.NewTimer(time.Hour)
	var posted <-chan struct{}
	if r.sampleQueue != nil {
		posted = r.sampleQueue.filled
	}
	for {
		wait := time.Hour
		if r.nextTimer > 0 {
			wait = max(0, r.nextTimer-time.Since(r.startedAt))
		}
		timer.Reset(wait)
		select {
		case <-stop:
			return
		case in := <-r.inputs:
			r.advanceClock()
			r.handle(in)
		case <-posted:
			r.advanceClock()
		case <-timer.C:
			r.advanceClock()
		}
		for more := 1; more < r.limits.MaxInputBatch; more++ {
			select {
			case in := <-r.inputs:
				r.handle(in)
				continue
			default:
			}
			break
		}
		if r.sampleQueue != nil { // behind the list, the news and the probes: a drain waits for no sample
			r.sampleBuffer = r.sampleQueue.next(r.limits.MaxInputBatch, r.sampleBuffer)
			for _, in := range r.sampleBuffer {
				r.handle(in)
			}
		}
		if r.nextTimer > 0 && r.now >= r.nextTimer {
			r.nextTimer = 0
			r.apply(r.manager.HandleTimer(r.now))
		}
		r.checkHold()
		r.updateSubset()
		r.flush()
	}
}

// advanceClock moves the clock; no two times are the same.
func (r *router) advanceClock() { r.now = max(r.now+1, time.Since(r.startedAt)) }

// handle handles one input.
func (r *router) handle(in any) {
	switch in := in.(type) {
	case loadReport:
		r.handleLoadReport(in.LoadReport)
	case usageReport:
		r.handleUsageReport(in.UsageReport)
	case balancer.LoadReport:
		r.handleLoadReport(in)
	case balancer.UsageReport:
		r.handleUsageReport(in)
	case proxyEventsOpened:
		r.unconfirmed = maps.Clone(r.proxies)
		r.onProxyEventsOpened()
	case proxySnapshotComplete:
		r.handleProxySnapshotComplete()
	case proxyConnected:
		r.handleProxyConnected(in)
	case proxyDisconnected:
		r.handleProxyDisconnected(in)
	case barrierAck:
		r.handleBarrierAck(in)
	case endpointList:
		r.handleEndpointList(in)
	case endpointListFailed:
		r.apply(r.manager.HandleEndpointListError(r.now))
	case healthCheckResult:
		r.handleHealthCheckResult(in)
	case callCompleted:
		r.handleCallCompleted(in)
	case routerCall:
		in(r)
	case resendRequest:
		r.handleResendRequest(in)
	}
}

// handleProxySnapshotComplete takes who was known before and was not told any more for gone: they left in the gap.
func (r *router) handleProxySnapshotComplete() {
	for _, proxy := range slices.Sorted(maps.Keys(r.unconfirmed)) {
		r.handleProxyDisconnected(proxyDisconnected{proxy})
	}
	clear(r.unconfirmed)
}

// handleProxyConnected has a proxy bound. One that is told again after a gap may have left and come back: the module binds
// it again.
func (r *router) handleProxyConnected(in proxyConnected) {
	delete(r.unconfirmed, in.proxy)
	r.proxies[in.proxy] = true
	r.addProxyToSubset(in)
	r.apply(r.manager.HandleProxyConnected(r.now, in.proxy, in.zone, in.requestRate))
}

func (r *router) handleProxyDisconnected(in proxyDisconnected) {
	delete(r.unconfirmed, in.proxy)
	if !r.proxies[in.proxy] {
		return
	}
	delete(r.proxies, in.proxy)
	r.removeProxyFromSubset(in)
	r.apply(r.manager.HandleProxyDisconnected(r.now, in.proxy))
}

func (r *router) handleBarrierAck(in barrierAck) {
	if !r.proxies[in.proxy] {
		r.metrics.add(unknownNames, 1)
		return
	}
	r.apply(r.manager.HandleBarrierAck(r.now, in.proxy, in.barrier))
}

// handleHealthCheckResult hands on what a probe found. Guards against an answer of what was at the server's address before.
func (r *router) handleHealthCheckResult(in healthCheckResult) {
	if r.addresses[in.server] != in.address {
		r.metrics.add(healthChecksDropped, 1)
		return
	}
	r.apply(r.manager.HandleHealthCheck(r.now, in.server, in.outcome, in.latency, in.inFlight))
}

func (r *router) handleCallCompleted(in callCompleted) {
	r.manager.HandleCommandsSent(r.now, in.barrier)
	if r.chain != nil && in.complete {
		r.chain.HandleBarrierAck(r.now, in.barrier)
	}
}

// handleResendRequest says which orders of a call go out once more now. What is decided so far waits behind them.
func (r *router) handleResendRequest(in resendRequest) {
	r.flush()
	r.advanceClock()
	all := r.dropDisconnected(commands.Merge(append([]balancer.Commands{in.commands}, r.backlog.takeAll()...)...))
	allowed, mark := r.manager.Resend(r.now, in.barrier, in.mayHaveExecuted, all)
	in.reply <- resendReply{commands.KeepFirst(all, allowed, mark), commands.SkipFirst(all, allowed)}
	r.advanceClock()
}

func (r *router) handleEndpointList(in endpointList) {
	if r.storeWriter != nil {
		r.storeWriter.saveList(in)
	}
	if r.subsetFilter != nil {
		r.applySubsetUpdate(r.subsetFilter.update(r.now, in))
		return
	}
	maps.Copy(r.addresses, in.addresses)
	r.apply(r.manager.HandleEndpointList(r.now, in.snapshot, in.entries))
	r.forgetAddresses()
}

// forgetAddresses drops those of servers that the module does not know.
func (r *router) forgetAddresses() {
	maps.DeleteFunc(r.addresses, func(s balancer.ServerID, _ string) bool { return !r.manager.KnowsServer(s) })
}

func (r *router) handleLoadReport(in balancer.LoadReport) {
	if _, known := r.addresses[in.Server]; !known {
		r.metrics.add(r.unknownServerCounter(in.Server), 1)
		return
	}
	r.apply(r.manager.HandleLoadReport(r.now, in))
}

func (r *router) handleUsageReport(in balancer.UsageReport) {
	if !r.proxies[in.Proxy] {
		r.metrics.add(unknownNames, 1)
		return
	}
	r.apply(r.manager.HandleUsageReport(r.now, in))
}

func (r *router) apply(o balancer.Commands) {
	for _, n := range o.LogRecords {
		r.metrics.logger.Info().Str("event", "note").Str("stage", "route").Float64("at", roundedSeconds(r.now)).Str("note", n).Send()
	}
	for _, s := range o.HealthCheck {
		select {
		case r.healthChecks <- healthCheckTarget{s, r.addresses[s]}:
		default:
			r.metrics.add(healthChecksDropped, 1)
		}
	}
	if o.Subscribe {
		select {
		case r.listRequested <- struct{}{}:
		default:
		}
	}
	if o.NextTimer > 0 && (r.nextTimer == 0 || o.NextTimer < r.nextTimer) {
		r.nextTimer = o.NextTimer
	}
	if !commands.IsEmpty(o) {
		r.decisions = append(r.decisions, o)
	}
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

// version asks the chain what of some orders may go out. Where that is not all, the module hears what stands.
func (r *router) proposeVersion(o balancer.Commands) balancer.Commands {
	r.chain.SetLayout(r.manager.Layout())
	res := r.chain.Propose(r.now, o, describeCommands(o), r.fleet())
	for _, n := range res.Notes {
		r.metrics.logEvent("version", "note", n)
	}
	if res.Modified {
		r.metrics.add(versionsWithheld, 1)
		pin, state := r.chain.CurrentTables(), r.chain.State()
		r.manager.HandleTablesReset(r.now, pin.Weights, pin.AdmissionLevels, func(s balancer.ServerID) bool { return state.IsWithdrawn(string(s)) })
	}
	if res.Version != nil {
		r.metrics.add(versionsPublished, 1)
		if r.storeWriter != nil {
			r.storeWriter.saveVersion(res.Version)
		}
		if r.feed != nil {
			r.feed.publish(r.chain.View())
		}
	}
	return res.Commands
}

// describeCommands says in a few words what a version changes.
func describeCommands(o balancer.Commands) string {
	return fmt.Sprintf("%d withdrawn, %d lines, %d levels, %d let back in", len(o.Withdraw), len(o.Weights), len(o.AdmissionLevels), len(o.Restore))
}

// checkHold lets a hold end that is over.
func (r *router) checkHold() {
	if r.chain == nil || r.now < r.nextHoldCheck {
		return
	}
	r.nextHoldCheck = r.now + time.Second
	ended, notes := r.chain.ExpireHold(r.now, r.fleet())
	for _, n := range notes {
		r.metrics.logEvent("version", "note", n)
	}
	if ended {
		r.applyPin()
	}
}

// applyPin hands the module what the chain holds the tables at, or that it lets them go.
func (r *router) applyPin() {
	r.advanceClock()
	pin, held := r.chain.Pinned()
	if !held {
		pin = versions.PinnedTables{}
	}
	r.apply(r.manager.HandlePin(r.now, pin.Weights, pin.AdmissionLevels))
}

// sight is the module's view of the fleet, as the chain asks for it.
type fleetView struct {
	manager  *balancer.Manager
	restored map[balancer.ServerID]bool // servers that the module has forgotten, whose withdrawals are lifted
}

func (r *router) fleet() fleetView {
	if r.subsetFilter == nil {
		return fleetView{manager: r.manager}
	}
	return fleetView{manager: r.manager, restored: r.subsetFilter.restored}
}

func (s fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, open, climbed := s.manager.ServerStatus(id)
	return versions.ServerStatus{Known: known, Available: open || !known && s.restored[id], WarmFraction: climbed}
}
func (s fleetView) RequestRate(id balancer.TableID) float64 { return s.manager.RequestRate(id) }
func (s fleetView) ReadyServers() (all, warm int)           { return s.manager.ReadyServers() }
