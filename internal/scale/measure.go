package scale

import (
	"context"
	"fmt"

	"tamarindshore/internal/node"
)

// sample is what one run at one size gave, by cost.
type sample map[Cost]float64

// measure records a scenario once and plays it so many times.
func measure(ctx context.Context, scenario Scenario, runs int) ([]sample, error) {
	busy, err := record(ctx, scenario, false)
	if err != nil {
		return nil, fmt.Errorf("%+v: %w", scenario, err)
	}
	quiet, err := record(ctx, scenario, true)
	if err != nil {
		return nil, fmt.Errorf("%+v: quiet: %w", scenario, err)
	}
	var samples []sample
	for range runs {
		busyCosts, err := replay(ctx, busy)
		if err != nil {
			return nil, fmt.Errorf("%+v: %w", scenario, err)
		}
		quietCosts, err := replay(ctx, quiet)
		if err != nil {
			return nil, fmt.Errorf("%+v: quiet: %w", scenario, err)
		}
		one := processorCosts(busyCosts, quietCosts)
		trafficCosts(busy, one)
		samples = append(samples, one)
	}
	return samples, nil
}

// processorCosts are the figures of the phases' processor time and memory.
func processorCosts(busy, quiet map[Phase]phaseCost) sample {
	list, inputs, changes := busy[PhaseList], busy[PhaseInputs], busy[PhaseChanges]
	one := sample{
		CPUPerListRead:    list.cpu.Seconds(),
		CPUPerOpening:     list.cpu.Seconds() + busy[PhaseJoin].cpu.Seconds(),
		CPUPerInput:       inputs.reportCPU.Seconds() / float64(inputs.reports),
		CPUPerBusySecond:  busy[PhaseBusy].cpu.Seconds() / busySpan.Seconds(),
		CPUPerQuietSecond: quiet[PhaseQuiet].cpu.Seconds() / quietSpan.Seconds(),
		CPUPerListChange:  changes.changeCPU.Seconds() / float64(changes.changes),
		HeapBytes:         busy[PhaseBusy].heapBytes,
	}
	for _, phase := range busy {
		one[LongestDecision] = max(one[LongestDecision], phase.longestDecision.Seconds())
	}
	return one
}

// trafficCosts are the figures of a script's bytes and counts, which are the same in each run.
func trafficCosts(s *script, into sample) {
	list, join, busy, changes := s.phase(PhaseList), s.phase(PhaseJoin), s.phase(PhaseBusy), s.phase(PhaseChanges)
	into[BytesOfOpening] = perMessage(list.traffic[node.EndpointListMessage])
	into[BytesOfListChange] = perMessage(changes.traffic[node.EndpointListMessage])
	into[BytesOfReport] = perMessage(busy.traffic[node.LoadReportMessage])
	into[BytesOfUsage] = perMessage(busy.traffic[node.UsageReportMessage])
	into[BytesOfRelayEvent] = perMessage(join.traffic[node.ProxyEventMessage])
	into[BytesOfCalls] = perSecond(busy.traffic[node.RelayCallMessage])
	into[BytesOfHeartbeat] = perSecond(busy.traffic[node.HeartbeatMessage])
	probe := node.HealthCheckTraffic(s.scenario.endpoint(s.site, 0, "up").HostPort)
	into[BytesOfHealthCheck] = float64(probe.In + probe.Out)
	into[HealthChecksPerSecond] = float64(busy.traffic[node.HealthCheckMessage].Messages) / busySpan.Seconds()
	into[RelayEventsPerSecond] = float64(busy.traffic[node.ProxyEventMessage].Messages) / busySpan.Seconds()
	into[ProxiesAssigned] = float64(s.assignedProxies)
	into[CommandsPerSecond] = float64(busy.commands) / busySpan.Seconds()
}

func perMessage(t node.Traffic) float64 {
	if t.Messages == 0 {
		return 0
	}
	return float64(t.In+t.Out) / float64(t.Messages)
}

func perSecond(t node.Traffic) float64 { return float64(t.In+t.Out) / busySpan.Seconds() }
