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

// recorder drives one hollow manager through a scenario and writes down the messages that it is sent.
type recorder struct {
	messageSource
	ctx     context.Context
	manager *node.HollowManager
	proxies *proxyTables
	now     time.Duration
	pending []step // answers that are under way, by time
	current *phase
	script  *script
}

// record writes a scenario's script. A quiet one has no traffic, and so no reports.
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

// part is a phase and what happens in it.
type part struct {
	phase Phase
	play  func() error
}

// play plays all parts of a scenario.
func (r *recorder) play(quiet bool) error {
	parts := []part{{PhaseList, r.playList}, {PhaseJoin, r.playJoin}}
	if quiet {
		parts = append(parts,
			part{PhaseWarm, r.stopTraffic},
			part{PhaseQuiet, func() error { return r.advance(r.now + quietSpan) }})
	} else {
		parts = append(parts,
			part{PhaseWarm, func() error { return r.playBusy(warmSpan) }},
			part{PhaseBusy, func() error { return r.playBusy(busySpan) }},
			part{PhaseChanges, r.playListChanges},
			part{PhaseInputs, r.playInputs})
	}
	for _, part := range parts {
		if err := r.playPhase(part); err != nil {
			return fmt.Errorf("%s: %w", part.phase, err)
		}
	}
	return nil
}

// playPhase plays one part, and records its span and traffic.
func (r *recorder) playPhase(part part) error {
	before := r.traffic()
	began := r.now
	r.script.phases = append(r.script.phases, phase{name: part.phase})
	r.current = &r.script.phases[len(r.script.phases)-1]
	if err := part.play(); err != nil {
		return err
	}
	r.current.span = r.now - began
	r.current.traffic = r.traffic().minus(before)
	return nil
}

// traffic is the manager's traffic so far.
func (r *recorder) traffic() trafficByKind {
	var traffic trafficByKind
	for kind := range traffic {
		traffic[kind] = r.manager.Traffic(node.MessageKind(kind))
	}
	return traffic
}

// step delivers messages, and schedules the answers to what it does.
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

// schedule keeps answers until their time, as many together as the router takes.
func (r *recorder) schedule(at time.Duration, messages []node.Message) {
	for batch := range slices.Chunk(messages, eventBatch) {
		place := len(r.pending)
		for place > 0 && r.pending[place-1].at > at {
			place--
		}
		r.pending = slices.Insert(r.pending, place, step{at, batch})
	}
}

// advance lets time pass: answers come, and the manager wakes when it asked to. At one time answers come first.
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

// playBusy lets reports, changes of the list and heartbeats come, each at its time.
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

// stopTraffic reports that no requests come any more, and waits until earlier reports are out of date.
func (r *recorder) stopTraffic() error {
	none := usageReport(0, r.site.TrafficClasses[0].Name, 0, time.Second)
	if err := r.step(r.now+time.Millisecond, none); err != nil {
		return err
	}
	return r.advance(r.now + warmSpan)
}

// playInputs delivers many reports right after one of the manager's timers.
func (r *recorder) playInputs() error {
	if err := r.advance(max(r.manager.NextWake(), r.now) + ackDelay + time.Millisecond); err != nil {
		return err
	}
	for range measuredInputs / eventBatch {
		var messages []node.Message
		for range eventBatch {
			messages = append(messages, r.nextReport())
		}
		if err := r.step(r.now+time.Microsecond, messages...); err != nil {
			return err
		}
	}
	return nil
}

// playListChanges delivers changes of the list, each alone, with time for the proxies' acknowledgements between them.
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
