package scale

import (
	"context"
	"fmt"

	"tamarindshore/internal/node"
)

// sample holds the values measured in one run at one size, by cost.
type sample map[Cost]float64

// measure records a busy and a quiet script of a scenario once, and replays both in each run.
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
		measured := cpuAndHeapCosts(busyCosts, quietCosts)
		addTrafficCosts(busy, measured)
		samples = append(samples, measured)
	}
	return samples, nil
}

// cpuAndHeapCosts returns the costs in processor time and heap, from the phases of a busy and a quiet script.
func cpuAndHeapCosts(busy, quiet map[Phase]phaseCost) sample {
	list := busy[PhaseList]
	inputs := busy[PhaseInputs]
	changes := busy[PhaseChanges]
	measured := sample{
		CPUPerListRead:    list.cpu.Seconds(),
		CPUPerOpening:     list.cpu.Seconds() + busy[PhaseJoin].cpu.Seconds(),
		CPUPerInput:       inputs.reportCPU.Seconds() / float64(inputs.reports),
		CPUPerBusySecond:  busy[PhaseBusy].cpu.Seconds() / busySpan.Seconds(),
		CPUPerQuietSecond: quiet[PhaseQuiet].cpu.Seconds() / quietSpan.Seconds(),
		CPUPerListChange:  changes.changeCPU.Seconds() / float64(changes.changes),
		HeapBytes:         busy[PhaseBusy].heapBytes,
	}
	for _, phase := range busy {
		measured[LongestDecision] = max(measured[LongestDecision], phase.longestDecision.Seconds())
	}
	return measured
}

// addTrafficCosts adds the bytes and counts of a script to costs. They are the same in each run.
func addTrafficCosts(s *script, costs sample) {
	busy := s.phase(PhaseBusy)
	costs[BytesOfOpening] = perMessage(s.phase(PhaseList).traffic[node.EndpointListMessage])
	costs[BytesOfListChange] = perMessage(s.phase(PhaseChanges).traffic[node.EndpointListMessage])
	costs[BytesOfReport] = perMessage(busy.traffic[node.LoadReportMessage])
	costs[BytesOfUsage] = perMessage(busy.traffic[node.UsageReportMessage])
	costs[BytesOfRelayEvent] = perMessage(s.phase(PhaseJoin).traffic[node.ProxyEventMessage])
	costs[BytesOfCalls] = perSecond(busy.traffic[node.RelayCallMessage])
	costs[BytesOfHeartbeat] = perSecond(busy.traffic[node.HeartbeatMessage])
	check := node.HealthCheckTraffic(s.scenario.endpoint(s.site, 0, "up").HostPort)
	costs[BytesOfHealthCheck] = float64(check.In + check.Out)
	costs[HealthChecksPerSecond] = float64(busy.traffic[node.HealthCheckMessage].Messages) / busySpan.Seconds()
	costs[RelayEventsPerSecond] = float64(busy.traffic[node.ProxyEventMessage].Messages) / busySpan.Seconds()
	costs[ProxiesAssigned] = float64(s.assignedProxies)
	costs[CommandsPerSecond] = float64(busy.commands) / busySpan.Seconds()
}

// perMessage returns the mean bytes per message; 0 if there was no message.
func perMessage(t node.Traffic) float64 {
	if t.Messages == 0 {
		return 0
	}
	return float64(t.In+t.Out) / float64(t.Messages)
}

// perSecond returns the bytes per second of traffic in a busy phase.
func perSecond(t node.Traffic) float64 { return float64(t.In+t.Out) / busySpan.Seconds() }
