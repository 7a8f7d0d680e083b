package scale

import (
	"context"
	"fmt"

	"tamarindshore/internal/node"
)

// sample is what one run at one size measured, by cost.
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
		measured := processorCosts(busyCosts, quietCosts)
		addTrafficCosts(busy, measured)
		samples = append(samples, measured)
	}
	return samples, nil
}

// processorCosts are the costs in processor time and memory, from the phases of a busy and of a quiet script.
func processorCosts(busy, quiet map[Phase]phaseCost) sample {
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

// addTrafficCosts adds the bytes and counts of a script, which are the same in each run.
func addTrafficCosts(s *script, into sample) {
	busy := s.phase(PhaseBusy)
	into[BytesOfOpening] = perMessage(s.phase(PhaseList).traffic[node.EndpointListMessage])
	into[BytesOfListChange] = perMessage(s.phase(PhaseChanges).traffic[node.EndpointListMessage])
	into[BytesOfReport] = perMessage(busy.traffic[node.LoadReportMessage])
	into[BytesOfUsage] = perMessage(busy.traffic[node.UsageReportMessage])
	into[BytesOfRelayEvent] = perMessage(s.phase(PhaseJoin).traffic[node.ProxyEventMessage])
	into[BytesOfCalls] = perSecond(busy.traffic[node.RelayCallMessage])
	into[BytesOfHeartbeat] = perSecond(busy.traffic[node.HeartbeatMessage])
	check := node.HealthCheckTraffic(s.scenario.endpoint(s.site, 0, "up").HostPort)
	into[BytesOfHealthCheck] = float64(check.In + check.Out)
	into[HealthChecksPerSecond] = float64(busy.traffic[node.HealthCheckMessage].Messages) / busySpan.Seconds()
	into[RelayEventsPerSecond] = float64(busy.traffic[node.ProxyEventMessage].Messages) / busySpan.Seconds()
	into[ProxiesAssigned] = float64(s.assignedProxies)
	into[CommandsPerSecond] = float64(busy.commands) / busySpan.Seconds()
}

// perMessage is the bytes of a message; 0 where there was none.
func perMessage(t node.Traffic) float64 {
	if t.Messages == 0 {
		return 0
	}
	return float64(t.In+t.Out) / float64(t.Messages)
}

// perSecond is the bytes a second of a busy phase.
func perSecond(t node.Traffic) float64 { return float64(t.In+t.Out) / busySpan.Seconds() }
