package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tamarindshore/internal/node"
)

// played is what one phase cost when a script was played.
type phaseCost struct {
	cpu             time.Duration // of the process
	changeCPU       time.Duration // of the thread, in the steps that tell a change of the list
	changes         int
	reportCPU       time.Duration // of the process, in the steps that tell reports
	reports         int
	longestDecision time.Duration // of the thread, in the longest single call of the router
	commands        int
	heapBytes       float64 // held at the phase's end
}

// replay plays a script on a fresh manager and measures each phase.
func replay(ctx context.Context, s *script) (map[Phase]phaseCost, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start, err := s.scenario.managerConfig(s.site)
	if err != nil {
		return nil, err
	}
	empty := heapInUse()
	manager, err := node.NewHollowManager(start, scriptEpoch)
	if err != nil {
		return nil, err
	}
	defer manager.Close()
	costs := map[Phase]phaseCost{}
	for i := range s.phases {
		one, err := replayPhase(ctx, manager, &s.phases[i])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.phases[i].name, err)
		}
		one.heapBytes = heapInUse() - empty
		costs[s.phases[i].name] = one
	}
	return costs, nil
}

func replayPhase(ctx context.Context, manager *node.HollowManager, p *phase) (cost phaseCost, err error) {
	var began time.Duration
	manager.Observe = func(before bool) {
		if before {
			began = threadCPU()
			return
		}
		cost.longestDecision = max(cost.longestDecision, threadCPU()-began)
	}
	if p.name == PhaseInputs { // single inputs are so short that a look at the clock would be most of them
		manager.Observe = nil
	}
	before := processCPU()
	for _, step := range p.steps {
		if ctx.Err() != nil {
			return cost, ctx.Err()
		}
		change, reports := stepKind(step)
		began, processBegan := threadCPU(), processCPU()
		result, err := manager.Step(step.at, step.messages...)
		if err != nil {
			return cost, err
		}
		if change {
			cost.changes++
			cost.changeCPU += threadCPU() - began
		}
		if reports {
			cost.reports += len(step.messages)
			cost.reportCPU += processCPU() - processBegan
		}
		for _, call := range result.RelayCalls {
			cost.commands += call.Count()
		}
	}
	cost.cpu = processCPU() - before
	if cost.commands != p.commands {
		return cost, fmt.Errorf("%d orders, %d when it was recorded: the work differs from run to run", cost.commands, p.commands)
	}
	return cost, nil
}

// kindOf tells whether a step tells a change of the list or reports.
func stepKind(s step) (change, reports bool) {
	if len(s.messages) == 0 {
		return false, false
	}
	kind := s.messages[0].Kind
	return kind == node.EndpointListMessage, kind == node.LoadReportMessage || kind == node.UsageReportMessage
}

// heldBytes is the heap that is in use after a collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// stackBytes is the memory of the goroutines' stacks.
func stackInUse() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.StackInuse)
}
