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
	limits      config.Limits
	born        time.Time
	manager     *balancer.Manager
	inputs      chan any
	chain       *versions.Chain // behind all orders; nil: they go as they are
	feed        *feed           // sends versions to holders; nil: there is none
	storeWriter *storeWriter    // keeps versions and commands; nil: they end with the process
	lookAt      time.Duration
	post        *sampleQueue // samples that several cores took in; nil: they come with the inputs
	backlog     *backlog
	probes      chan probeTarget
	listen      chan struct{} // the list is asked for
	opened      func()        // news has been opened
	last        func()        // writes what is left of the log
	metrics     *metrics
	filter      *subsetFilter // which servers the module needs; nil: all that are listed

	now       time.Duration
	wake      time.Duration // 0: none
	proxies   map[balancer.ProxyID]bool
	unseen    map[balancer.ProxyID]bool // known before the gap in the news, and not told since
	servers   map[balancer.ServerID]string
	samples   []any
	decisions []balancer.Commands // of now
}

// run takes inputs until stop is closed. What waits together is decided at one time, and its
// orders are one call, as they are one reply on the simulator's wire.
func (r *router) run(stop <-chan struct{}) {
	defer func() {
		if cause := recover(); cause != nil {
			r.metrics.logger.Error().Str("event", "panic").Float64("at", roundedSeconds(r.now)).Str("cause", fmt.Sprint(cause)).
				Str("stack", string(debug.Stack())).Send()
			r.last()
			os.Exit(1)
		}
	}()
	timer := time.NewTimer(time.Hour)
	var posted <-chan struct{}
	if r.post != nil {
		posted = r.post.filled
	}
	for {
		wait := time.Hour
		if r.wake > 0 {
			wait = max(0, r.wake-time.Since(r.born))
		}
		timer.Reset(wait)
		select {
		case <-stop:
			return
		case in := <-r.inputs:
			r.tick()
			r.take(in)
		case <-posted:
			r.tick()
		case <-timer.C:
			r.tick()
		}
		for more := 1; more < r.limits.MaxInputBatch; more++ {
			select {
			case in := <-r.inputs:
				r.take(in)
				continue
			default:
			}
			break
		}
		if r.post != nil { // behind the list, the news and the probes: a drain waits for no sample
			r.samples = r.post.next(r.limits.MaxInputBatch, r.samples)
			for _, in := range r.samples {
				r.take(in)
			}
		}
		if r.wake > 0 && r.now >= r.wake {
			r.wake = 0
			r.decided(r.manager.HandleTimer(r.now))
		}
		r.lookAtHold()
		r.lookAtSubset()
		r.carry()
	}
}

// tick moves the clock; no two times are the same.
func (r *router) tick() { r.now = max(r.now+1, time.Since(r.born)) }

// take handles one input.
func (r *router) take(in any) {
	switch in := in.(type) {
	case serverReport:
		r.handleServerReport(in.LoadReport)
	case usageReport:
		r.handleUsageReport(in.UsageReport)
	case balancer.LoadReport:
		r.handleServerReport(in)
	case balancer.UsageReport:
		r.handleUsageReport(in)
	case newsOpened:
		r.unseen = maps.Clone(r.proxies)
		r.opened()
	case newsComplete:
		r.handleNewsComplete()
	case proxyJoined:
		r.handleProxyJoined(in)
	case proxyLeft:
		r.handleProxyLeft(in)
	case markApplied:
		r.handleMarkApplied(in)
	case serverList:
		r.handleServerList(in)
	case listFailed:
		r.decided(r.manager.HandleEndpointListError(r.now))
	case probeResult:
		r.handleProbeResult(in)
	case callSettled:
		r.handleCallSettled(in)
	case command:
		in(r)
	case resendRequest:
		r.handleResendRequest(in)
	}
}

// handleNewsComplete takes who was known before and was not told any more for gone: they left in the gap.
func (r *router) handleNewsComplete() {
	for _, proxy := range slices.Sorted(maps.Keys(r.unseen)) {
		r.handleProxyLeft(proxyLeft{proxy})
	}
	clear(r.unseen)
}

// handleProxyJoined has a proxy bound. One that is told again after a gap may have left and come back: the module binds
// it again.
func (r *router) handleProxyJoined(in proxyJoined) {
	delete(r.unseen, in.proxy)
	r.proxies[in.proxy] = true
	r.joinSubset(in)
	r.decided(r.manager.HandleProxyConnected(r.now, in.proxy, in.zone, in.rate))
}

func (r *router) handleProxyLeft(in proxyLeft) {
	delete(r.unseen, in.proxy)
	if !r.proxies[in.proxy] {
		return
	}
	delete(r.proxies, in.proxy)
	r.leaveSubset(in)
	r.decided(r.manager.HandleProxyDisconnected(r.now, in.proxy))
}

func (r *router) handleMarkApplied(in markApplied) {
	if !r.proxies[in.proxy] {
		r.metrics.add(unknownNames, 1)
		return
	}
	r.decided(r.manager.HandleBarrierAck(r.now, in.proxy, in.mark))
}

// handleProbeResult hands on what a probe found. Guards against an answer of what was at the server's address before.
func (r *router) handleProbeResult(in probeResult) {
	if r.servers[in.server] != in.address {
		r.metrics.add(probesDropped, 1)
		return
	}
	r.decided(r.manager.HandleHealthCheck(r.now, in.server, in.answer, in.took, in.load))
}

func (r *router) handleCallSettled(in callSettled) {
	r.manager.HandleCommandsSent(r.now, in.mark)
	if r.chain != nil && in.all {
		r.chain.HandleBarrierAck(r.now, in.mark)
	}
}

// handleResendRequest says which orders of a call go out once more now. What is decided so far waits behind them.
func (r *router) handleResendRequest(in resendRequest) {
	r.carry()
	r.tick()
	all := r.present(commands.Merge(append([]balancer.Commands{in.orders}, r.backlog.all()...)...))
	allowed, mark := r.manager.Resend(r.now, in.from, in.carried, all)
	in.reply <- resendReply{commands.KeepFirst(all, allowed, mark), commands.SkipFirst(all, allowed)}
	r.tick()
}

func (r *router) handleServerList(in serverList) {
	if r.storeWriter != nil {
		r.storeWriter.list(in)
	}
	if r.filter != nil {
		r.handOn(r.filter.listed(r.now, in))
		return
	}
	maps.Copy(r.servers, in.addresses)
	r.decided(r.manager.HandleEndpointList(r.now, in.snapshot, in.entries))
	r.forgetAddresses()
}

// forgetAddresses drops those of servers that the module does not know.
func (r *router) forgetAddresses() {
	maps.DeleteFunc(r.servers, func(s balancer.ServerID, _ string) bool { return !r.manager.KnowsServer(s) })
}

func (r *router) handleServerReport(in balancer.LoadReport) {
	if _, known := r.servers[in.Server]; !known {
		r.metrics.add(r.notNeeded(in.Server), 1)
		return
	}
	r.decided(r.manager.HandleLoadReport(r.now, in))
}

func (r *router) handleUsageReport(in balancer.UsageReport) {
	if !r.proxies[in.Proxy] {
		r.metrics.add(unknownNames, 1)
		return
	}
	r.decided(r.manager.HandleUsageReport(r.now, in))
}

func (r *router) decided(o balancer.Commands) {
	for _, record := range o.LogRecords {
		line := r.metrics.logger.Info().Str("event", string(record.Event)).Str("stage", "route").Float64("at", roundedSeconds(r.now))
		for _, field := range record.Fields {
			line.Str(field.Name, field.Value)
		}
		line.Send()
	}
	for _, s := range o.HealthCheck {
		select {
		case r.probes <- probeTarget{s, r.servers[s]}:
		default:
			r.metrics.add(probesDropped, 1)
		}
	}
	if o.Subscribe {
		select {
		case r.listen <- struct{}{}:
		default:
		}
	}
	if o.NextTimer > 0 && (r.wake == 0 || o.NextTimer < r.wake) {
		r.wake = o.NextTimer
	}
	if !commands.IsEmpty(o) {
		r.decisions = append(r.decisions, o)
	}
}

// carry hands what was decided at one time to the relay stage, as far as it may go out as a version.
func (r *router) carry() {
	if len(r.decisions) == 0 {
		return
	}
	o := r.present(commands.Merge(r.decisions...))
	r.decisions = nil
	if r.chain != nil {
		o = r.version(o)
	}
	if !commands.IsEmpty(o) {
		r.backlog.push(o)
	}
}

// present leaves out the binding of who has left meanwhile: the relay would stop a call at it.
func (r *router) present(o balancer.Commands) balancer.Commands {
	o.Assign = slices.DeleteFunc(o.Assign, func(b balancer.TableAssignment) bool { return !r.proxies[b.Proxy] })
	return o
}

// version asks the chain what of some orders may go out. Where that is not all, the module hears what stands.
func (r *router) version(o balancer.Commands) balancer.Commands {
	r.chain.SetLayout(r.manager.Layout())
	res := r.chain.Propose(r.now, o, cause(o), r.sight())
	for _, n := range res.Notes {
		r.metrics.logEvent("version", "note", n)
	}
	if res.Modified {
		r.metrics.add(versionsHeld, 1)
		pin, state := r.chain.CurrentTables(), r.chain.State()
		r.manager.HandleTablesReset(r.now, pin.Weights, pin.AdmissionLevels, func(s balancer.ServerID) bool { return state.IsWithdrawn(string(s)) })
	}
	if res.Version != nil {
		r.metrics.add(versionsMade, 1)
		if r.storeWriter != nil {
			r.storeWriter.version(res.Version)
		}
		if r.feed != nil {
			r.feed.publish(r.chain.View())
		}
	}
	return res.Commands
}

// cause says in a few words what a version changes.
func cause(o balancer.Commands) string {
	return fmt.Sprintf("%d withdrawn, %d lines, %d levels, %d let back in", len(o.Withdraw), len(o.Weights), len(o.AdmissionLevels), len(o.Restore))
}

// lookAtHold lets a hold end that is over.
func (r *router) lookAtHold() {
	if r.chain == nil || r.now < r.lookAt {
		return
	}
	r.lookAt = r.now + time.Second
	ended, notes := r.chain.ExpireHold(r.now, r.sight())
	for _, n := range notes {
		r.metrics.logEvent("version", "note", n)
	}
	if ended {
		r.pin()
	}
}

// pin hands the module what the chain holds the tables at, or that it lets them go.
func (r *router) pin() {
	r.tick()
	pin, held := r.chain.Pinned()
	if !held {
		pin = versions.PinnedTables{}
	}
	r.decided(r.manager.HandlePin(r.now, pin.Weights, pin.AdmissionLevels))
}

// sight is the module's view of the fleet, as the chain asks for it.
type fleetView struct {
	m      *balancer.Manager
	lifted map[balancer.ServerID]bool // servers that the module has forgotten, whose withdrawals are lifted
}

func (r *router) sight() fleetView {
	if r.filter == nil {
		return fleetView{m: r.manager}
	}
	return fleetView{m: r.manager, lifted: r.filter.lifted}
}

func (s fleetView) ServerStatus(id balancer.ServerID) versions.ServerStatus {
	known, open, climbed := s.m.ServerStatus(id)
	return versions.ServerStatus{Known: known, Available: open || !known && s.lifted[id], WarmFraction: climbed}
}
func (s fleetView) RequestRate(id balancer.TableID) float64 { return s.m.RequestRate(id) }
func (s fleetView) ReadyServers() (all, warm int)           { return s.m.ReadyServers() }
