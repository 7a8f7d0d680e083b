package scale

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// Phase names a part of a script that is measured by itself.
type Phase string

// Phases of a script, in their order.
const (
	PhaseList    Phase = "list"    // the whole list is read
	PhaseJoin    Phase = "join"    // proxies join and are bound
	PhaseWarm    Phase = "warm"    // reports come; not measured
	PhaseBusy    Phase = "busy"    // reports come
	PhaseChanges Phase = "changes" // changes of the list alone
	PhaseInputs  Phase = "inputs"  // reports alone, within one second's decision
	PhaseQuiet   Phase = "quiet"   // nothing comes
)

// step is all that comes to a manager at one time.
type step struct {
	at       time.Duration
	messages []node.Message
}

// phase is a part of a script, and what a manager's traffic was during it.
type phase struct {
	name     Phase
	span     time.Duration
	steps    []step
	inputs   int // messages but for heartbeats
	traffic  [node.HeartbeatMessage + 1]node.Traffic
	commands int
}

// script is what one manager is told, step by step. Played again on a fresh manager it does the same work, so that it
// can be measured without what the fleet round the manager costs.
type script struct {
	scenario        Scenario
	site            fakes.Site
	phases          []phase
	assignedProxies int // proxies that have a table at the end
}

// find is the phase of a name; nil where the script has none.
func (s *script) phase(name Phase) *phase {
	for i := range s.phases {
		if s.phases[i].name == name {
			return &s.phases[i]
		}
	}
	return nil
}

const (
	ackDelay          = 20 * time.Millisecond // until a proxy answers a call's mark
	healthCheckDelay  = 2 * time.Millisecond  // until a server answers a probe
	joinSpan          = 4 * time.Second
	warmSpan          = 8 * time.Second
	busySpan          = 4 * time.Second
	quietSpan         = 4 * time.Second
	eventBatch        = 512 // events that the router takes together
	reportTick        = time.Millisecond
	measuredInputs    = 20 * eventBatch
	measuredChanges   = 16
	maxReportInterval = time.Minute // span that the manager takes a report for
	heartbeatInterval = time.Second
)

// scriptEpoch is the time that lists count from: a fixed one, so that each run does the same work.
var scriptEpoch = time.Unix(1_700_000_000, 0)

// recorder drives one hollow manager through a scenario and writes down what it is told.
type recorder struct {
	ctx         context.Context
	scenario    Scenario
	site        fakes.Site
	manager     *node.HollowManager
	proxies     *proxyTables
	now         time.Duration
	pending     []step // answers under way, in the order of their time
	reportsSent int    // told so far
	listVersion int    // of the list
	nextServer  int    // server that changes next
	changesSent int    // told so far
	serverOrder []int  // servers by chance from the seed
	current     *phase
	script      *script
}

// record writes a scenario's script. A quiet one has no flows, and so no reports.
func record(ctx context.Context, scenario Scenario, quiet bool) (*script, error) {
	site := scenario.site()
	start, err := scenario.managerConfig(site)
	if err != nil {
		return nil, err
	}
	manager, err := node.NewHollowManager(start, scriptEpoch)
	if err != nil {
		return nil, err
	}
	defer manager.Close()
	r := &recorder{ctx: ctx, scenario: scenario, site: site, manager: manager, proxies: newProxyTables(), listVersion: firstVersion,
		script: &script{scenario: scenario, site: site}}
	r.serverOrder = rand.New(rand.NewPCG(scenario.Seed, uint64(scenario.Servers))).Perm(scenario.Servers)
	err = r.play(quiet)
	r.script.assignedProxies = len(r.proxies.tableOf)
	return r.script, err
}

func (r *recorder) play(quiet bool) error {
	parts := []struct {
		name Phase
		do   func() error
	}{
		{PhaseList, r.playList}, {PhaseJoin, r.playJoin}, {PhaseWarm, func() error { return r.playBusy(warmSpan) }},
		{PhaseBusy, func() error { return r.playBusy(busySpan) }}, {PhaseChanges, r.playListChanges}, {PhaseInputs, r.playInputs},
	}
	if quiet {
		parts = append(parts[:2], []struct {
			name Phase
			do   func() error
		}{{PhaseWarm, r.stopTraffic}, {PhaseQuiet, func() error { return r.advance(r.now + quietSpan) }}}...)
	}
	for _, part := range parts {
		if err := r.playPhase(part.name, part.do); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return nil
}

func (r *recorder) playPhase(name Phase, do func() error) error {
	before := r.traffic()
	began := r.now
	r.script.phases = append(r.script.phases, phase{name: name})
	r.current = &r.script.phases[len(r.script.phases)-1]
	if err := do(); err != nil {
		return err
	}
	r.current.span = r.now - began
	for kind, after := range r.traffic() {
		r.current.traffic[kind] = node.Traffic{Messages: after.Messages - before[kind].Messages, In: after.In - before[kind].In,
			Out: after.Out - before[kind].Out}
	}
	return nil
}

func (r *recorder) traffic() (all [node.HeartbeatMessage + 1]node.Traffic) {
	for kind := range all {
		all[kind] = r.manager.Traffic(node.MessageKind(kind))
	}
	return all
}

// step tells the manager messages and lets answers to what it does be under way.
func (r *recorder) step(at time.Duration, messages ...node.Message) error {
	if err := r.ctx.Err(); err != nil {
		return err
	}
	r.now = max(r.now, at)
	result, err := r.manager.Step(r.now, messages...)
	if err != nil {
		return err
	}
	r.current.steps = append(r.current.steps, step{r.now, messages})
	r.current.inputs += len(messages)
	var answers, probes []node.Message
	for _, call := range result.RelayCalls {
		r.current.commands += call.Count()
		for _, proxy := range r.proxies.apply(call) {
			if call.Barrier > 0 {
				answers = append(answers, barrierAck(proxy, call.Barrier))
			}
		}
	}
	for _, server := range result.HealthChecks {
		probes = append(probes, node.Message{Kind: node.HealthCheckMessage, Server: server})
	}
	r.schedule(r.now+healthCheckDelay, probes)
	r.schedule(r.now+ackDelay, answers)
	return nil
}

// appliedMessage is a proxy's answer to a call's mark.
func barrierAck(proxy balancer.ProxyID, mark balancer.BarrierID) node.Message {
	return node.Message{Kind: node.ProxyEventMessage, Event: "applied",
		Text: fmt.Sprintf("id=%d&seq=%d&ms=%.1f", proxy, mark, ackDelay.Seconds()*1000)}
}

// later keeps answers until their time, as many together as the router takes.
func (r *recorder) schedule(at time.Duration, messages []node.Message) {
	for len(messages) > 0 {
		n := min(eventBatch, len(messages))
		place := len(r.pending)
		for place > 0 && r.pending[place-1].at > at {
			place--
		}
		r.pending = append(r.pending, step{})
		copy(r.pending[place+1:], r.pending[place:])
		r.pending[place] = step{at, messages[:n]}
		messages = messages[n:]
	}
}

// advance lets time pass: answers come, and the manager wakes when it asked to.
func (r *recorder) advance(to time.Duration) error {
	for {
		at, wakes := to+1, r.manager.NextWake()
		if wakes > 0 {
			at = min(at, max(wakes, r.now))
		}
		answers := len(r.pending) > 0 && r.pending[0].at <= at
		switch {
		case answers && r.pending[0].at <= to:
			next := r.pending[0]
			r.pending = r.pending[1:]
			if err := r.step(next.at, next.messages...); err != nil {
				return err
			}
		case at <= to:
			if err := r.step(at); err != nil {
				return err
			}
		default:
			r.now = max(r.now, to)
			return nil
		}
	}
}

func (r *recorder) playList() error {
	return r.step(time.Millisecond, node.Message{Kind: node.EndpointListMessage, Text: r.scenario.completeList(r.site, r.listVersion)})
}

func (r *recorder) playJoin() error {
	began := r.now
	messages := []node.Message{{Kind: node.ProxyEventsOpened}}
	for proxy := range r.scenario.Proxies {
		messages = append(messages, r.proxyConnected(proxy))
		if len(messages) == eventBatch {
			if err := r.step(r.now+time.Millisecond, messages...); err != nil {
				return err
			}
			messages = nil
		}
	}
	messages = append(messages, node.Message{Kind: node.ProxySnapshotComplete})
	if err := r.step(r.now+time.Millisecond, messages...); err != nil {
		return err
	}
	return r.advance(began + joinSpan)
}

func (r *recorder) proxyConnected(proxy int) node.Message {
	return node.Message{Kind: node.ProxyEventMessage, Event: "joined",
		Text: fmt.Sprintf("id=%d&site=%s&rps=%g&new=1", proxy, r.scenario.zoneOfProxy(r.site, proxy), r.site.RequestRate)}
}

// busy lets reports and changes of the list come, each at its time.
func (r *recorder) playBusy(span time.Duration) error {
	began, told, changed := r.now, 0, 0
	for at := began; at < began+span; at += reportTick {
		passed := (at - began + reportTick).Seconds()
		var messages []node.Message
		for ; float64(told) < math.Floor(passed*r.scenario.Reports); told++ {
			messages = append(messages, r.nextReport())
		}
		for ; float64(changed) < math.Floor(passed*r.scenario.ListChanges); changed++ {
			messages = append(messages, r.listChange(1))
		}
		if (at-began)%heartbeatInterval == 0 {
			messages = append(messages, heartbeats((at-began)/heartbeatInterval)...)
		}
		if len(messages) == 0 {
			continue
		}
		if err := r.advance(at); err != nil {
			return err
		}
		if err := r.step(at, messages...); err != nil {
			return err
		}
	}
	return r.advance(began + span)
}

// heartbeats are the signs of life on the streams in a second: on the relay's each second, on discovery's every other.
func heartbeats(second time.Duration) []node.Message {
	all := []node.Message{{Kind: node.HeartbeatMessage, Text: ":\n\n"}}
	if second%2 == 0 {
		all = append(all, node.Message{Kind: node.HeartbeatMessage, Text: "\n"})
	}
	return all
}

// quieten tells that no flows come any more, and waits until what was told before is out of date.
func (r *recorder) stopTraffic() error {
	if err := r.step(r.now+time.Millisecond, usageReport(0, r.site.TrafficClasses[0].Name, 0, time.Second)); err != nil {
		return err
	}
	return r.advance(r.now + warmSpan)
}

// report is the next collector's line: in turn one on a server and one on a proxy.
func (r *recorder) nextReport() node.Message {
	n := r.reportsSent / 2
	r.reportsSent++
	if r.reportsSent%2 == 1 {
		server := n % r.scenario.Servers
		zone := r.site.Zones[(n/r.scenario.Servers+server)%len(r.site.Zones)]
		return node.Message{Kind: node.LoadReportMessage, Text: fmt.Sprintf("heard site=%s target=%s count=%d fail=0 mean=%.1f over=%.1f util=inflight:%d",
			zone, fakes.ServerID(server), requestsPerReport, 100+float64(n%7), r.reportInterval(r.scenario.Servers).Seconds()*1000, 1+n%3)}
	}
	group := r.site.TrafficClasses[n/r.scenario.Proxies%len(r.site.TrafficClasses)]
	return usageReport(n%r.scenario.Proxies, group.Name, requestsPerReport, r.reportInterval(r.scenario.Proxies*len(r.site.TrafficClasses)))
}

func usageReport(proxy int, group string, flows int, span time.Duration) node.Message {
	return node.Message{Kind: node.UsageReportMessage,
		Text: fmt.Sprintf("usage id=%d lane=%s count=%d fail=0 over=%.1f", proxy, group, flows, span.Seconds()*1000)}
}

// between is the time from one report on a thing to the next, where so many things are reported on in turn.
func (r *recorder) reportInterval(things int) time.Duration {
	seconds := float64(things) / (r.scenario.Reports / 2)
	return min(maxReportInterval, time.Duration(seconds*float64(time.Second)))
}

// change drains servers, or lets them come back as fresh processes, in turn.
func (r *recorder) listChange(servers int) node.Message {
	r.listVersion++
	list := fakes.EndpointList{Version: r.listVersion}
	drains := r.changesSent%2 == 0
	for range servers {
		server := r.serverOrder[r.nextServer%len(r.serverOrder)]
		entry := r.scenario.endpoint(r.site, server, "draining")
		if !drains {
			entry = r.scenario.endpoint(r.site, server, "up")
			entry.Started = scriptEpoch.Add(r.now).UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, entry)
		r.nextServer++
	}
	if r.changesSent++; drains {
		r.nextServer -= servers // the same ones come back
	}
	return node.Message{Kind: node.EndpointListMessage, Text: encodeList(list)}
}

// inputs tells many reports right after a second's decision.
func (r *recorder) playInputs() error {
	if err := r.advance(max(r.manager.NextWake(), r.now) + ackDelay + time.Millisecond); err != nil {
		return err
	}
	for told := 0; told < measuredInputs; {
		var messages []node.Message
		for range eventBatch {
			messages = append(messages, r.nextReport())
			told++
		}
		if err := r.step(r.now+time.Microsecond, messages...); err != nil {
			return err
		}
	}
	return nil
}

// changes tells changes of the list, each alone, with time for the proxies' answers between them.
func (r *recorder) playListChanges() error {
	for range measuredChanges {
		if err := r.advance(r.now + 50*time.Millisecond); err != nil {
			return err
		}
		message := r.listChange(min(r.scenario.RestartsAtOnce, r.scenario.Servers))
		if err := r.step(r.now+time.Microsecond, message); err != nil {
			return err
		}
	}
	return r.advance(r.now + 50*time.Millisecond)
}
