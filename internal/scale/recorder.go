package scale

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarindshore/internal/node"
)

// recorder runs one hollow manager through a scenario and records the messages that are sent to it.
type recorder struct {
	messageSource
	ctx     context.Context
	manager *node.HollowManager
	proxies *proxyTables
	now     time.Duration
	pending []step // answers not yet delivered, by time
	current *phase
	script  *script
}

// record runs a scenario and returns its script. In a quiet script there are no requests after the proxies have connected,
// and therefore no load reports.
func record(ctx context.Context, scenario Scenario, quiet bool) (*script, error) {
	site := scenario.site()
	config, err := scenario.managerConfig(site)
	if err != nil {
		return nil, err
	}
	manager, err := node.NewHollowManager(config, scriptEpoch)
	if err != nil {
		return nil, err
	}
	defer manager.Close()
	r := &recorder{
		messageSource: newMessageSource(scenario, site),
		ctx:           ctx,
		manager:       manager,
		proxies:       newProxyTables(),
		script:        &script{scenario: scenario, site: site},
	}
	r.serverOrder = rand.New(rand.NewPCG(scenario.Seed, uint64(scenario.Servers))).Perm(scenario.Servers)
	err = r.play(quiet)
	r.script.assignedProxies = len(r.proxies.tableOf)
	return r.script, err
}

// phaseAction is a phase and the function that plays it.
type phaseAction struct {
	phase Phase
	play  func() error
}

// play plays all phases of a scenario.
func (r *recorder) play(quiet bool) error {
	actions := []phaseAction{{PhaseList, r.playList}, {PhaseJoin, r.playJoin}}
	if quiet {
		actions = append(actions,
			phaseAction{PhaseWarmup, r.stopTraffic},
			phaseAction{PhaseQuiet, func() error { return r.advance(r.now + quietSpan) }})
	} else {
		actions = append(actions,
			phaseAction{PhaseWarmup, func() error { return r.playBusy(warmupSpan) }},
			phaseAction{PhaseBusy, func() error { return r.playBusy(busySpan) }},
			phaseAction{PhaseChanges, r.playListChanges},
			phaseAction{PhaseInputs, r.playInputs})
	}
	for _, action := range actions {
		if err := r.playPhase(action); err != nil {
			return fmt.Errorf("phase %s: %w", action.phase, err)
		}
	}
	return nil
}

// playPhase plays one phase, and records its span and traffic.
func (r *recorder) playPhase(action phaseAction) error {
	before := r.traffic()
	began := r.now
	r.script.phases = append(r.script.phases, phase{name: action.phase})
	r.current = &r.script.phases[len(r.script.phases)-1]
	if err := action.play(); err != nil {
		return err
	}
	r.current.span = r.now - began
	r.current.traffic = r.traffic().minus(before)
	return nil
}

// traffic returns the manager's traffic so far, by message kind.
func (r *recorder) traffic() trafficByKind {
	var traffic trafficByKind
	for kind := range traffic {
		traffic[kind] = r.manager.Traffic(node.MessageKind(kind))
	}
	return traffic
}

// step delivers messages to the manager and schedules the answers to its calls and health checks.
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
	var acks []node.Message
	for _, call := range result.RelayCalls {
		r.current.commands += call.Count()
		acks = append(acks, r.proxies.acknowledge(call)...)
	}
	var checked []node.Message
	for _, server := range result.HealthChecks {
		checked = append(checked, node.Message{Kind: node.HealthCheckMessage, Server: server})
	}
	r.schedule(r.now+healthCheckDelay, checked)
	r.schedule(r.now+ackDelay, acks)
	return nil
}

// schedule queues answers for delivery at a time, in batches of at most eventBatchSize.
func (r *recorder) schedule(at time.Duration, messages []node.Message) {
	for batch := range slices.Chunk(messages, eventBatchSize) {
		place := len(r.pending)
		for place > 0 && r.pending[place-1].at > at {
			place--
		}
		r.pending = slices.Insert(r.pending, place, step{at, batch})
	}
}

// advance advances the clock: it delivers answers and wakes the manager at the times it requested. If both are due at the
// same time, the answers come first.
func (r *recorder) advance(to time.Duration) error {
	for {
		wakeAt := to + 1
		if wake := r.manager.NextWake(); wake > 0 {
			wakeAt = min(wakeAt, max(wake, r.now))
		}
		switch {
		case len(r.pending) > 0 && r.pending[0].at <= min(wakeAt, to):
			next := r.pending[0]
			r.pending = r.pending[1:]
			if err := r.step(next.at, next.messages...); err != nil {
				return err
			}
		case wakeAt <= to:
			if err := r.step(wakeAt); err != nil {
				return err
			}
		default:
			r.now = max(r.now, to)
			return nil
		}
	}
}

// playList delivers the complete endpoint list.
func (r *recorder) playList() error {
	list := r.scenario.completeList(r.site, r.listVersion)
	return r.step(time.Millisecond, node.Message{Kind: node.EndpointListMessage, Text: list})
}

// playJoin connects all proxies.
func (r *recorder) playJoin() error {
	began := r.now
	messages := []node.Message{{Kind: node.ProxyEventsOpened}}
	for proxy := range r.scenario.Proxies {
		messages = append(messages, r.proxyConnected(proxy))
		if len(messages) == eventBatchSize {
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

// playBusy delivers reports, list changes and heartbeats, each at its time.
func (r *recorder) playBusy(span time.Duration) error {
	began := r.now
	var reports, changes int
	for at := began; at < began+span; at += reportTick {
		sinceStart := (at - began + reportTick).Seconds()
		var messages []node.Message
		for ; float64(reports) < math.Floor(sinceStart*r.scenario.Reports); reports++ {
			messages = append(messages, r.nextReport())
		}
		for ; float64(changes) < math.Floor(sinceStart*r.scenario.ListChanges); changes++ {
			messages = append(messages, r.nextListChange(r.now, 1))
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

// stopTraffic reports that there are no more requests, and waits until earlier reports have expired.
func (r *recorder) stopTraffic() error {
	noRequests := usageReport(0, r.site.TrafficClasses[0].Name, 0, time.Second)
	if err := r.step(r.now+time.Millisecond, noRequests); err != nil {
		return err
	}
	return r.advance(r.now + warmupSpan)
}

// playInputs delivers measuredInputs reports right after one of the manager's timers.
func (r *recorder) playInputs() error {
	if err := r.advance(max(r.manager.NextWake(), r.now) + ackDelay + time.Millisecond); err != nil {
		return err
	}
	for range measuredInputs / eventBatchSize {
		var messages []node.Message
		for range eventBatchSize {
			messages = append(messages, r.nextReport())
		}
		if err := r.step(r.now+time.Microsecond, messages...); err != nil {
			return err
		}
	}
	return nil
}

// playListChanges delivers list changes one at a time, with enough time between them for the proxies' acknowledgements.
func (r *recorder) playListChanges() error {
	for range measuredChanges {
		if err := r.advance(r.now + listChangeSpacing); err != nil {
			return err
		}
		message := r.nextListChange(r.now, min(r.scenario.RestartsAtOnce, r.scenario.Servers))
		if err := r.step(r.now+time.Microsecond, message); err != nil {
			return err
		}
	}
	return r.advance(r.now + listChangeSpacing)
}
