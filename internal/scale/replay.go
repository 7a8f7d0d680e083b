package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tamarindshore/internal/node"
)

// played is what one phase cost when a script was played.
type played struct {
	cpu       time.Duration // of the process
	changeCPU time.Duration // of the thread, in the steps that tell a change of the list
	changes   int
	reportCPU time.Duration // of the process, in the steps that tell reports
	reports   int
	longest   time.Duration // of the thread, in the longest single call of the router
	calls     int
	heapBytes float64 // held at the phase's end
}

// replay plays a script on a fresh manager and measures each phase.
func replay(ctx context.Context, s *script) (map[Phase]played, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start, err := s.scenario.start(s.site)
	if err != nil {
		return nil, err
	}
	empty := heldBytes()
	manager, err := node.NewHollowManager(start, scriptEpoch)
	if err != nil {
		return nil, err
	}
	defer manager.Close()
	costs := map[Phase]played{}
	for i := range s.phases {
		one, err := replayPhase(ctx, manager, &s.phases[i])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.phases[i].name, err)
		}
		one.heapBytes = heldBytes() - empty
		costs[s.phases[i].name] = one
	}
	return costs, nil
}

func replayPhase(ctx context.Context, manager *node.HollowManager, p *phase) (cost played, err error) {
	var began time.Duration
	manager.Observe = func(before bool) {
		if before {
			began = threadCPU()
			return
		}
		cost.longest = max(cost.longest, threadCPU()-began)
	}
	if p.name == PhaseInputs { // single inputs are so short that a look at the clock would be most of them
		manager.Observe = nil
	}
	before := processCPU()
	for _, step := range p.steps {
		if ctx.Err() != nil {
			return cost, ctx.Err()
		}
		change, reports := kindOf(step)
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
			cost.calls += call.Count()
		}
	}
	cost.cpu = processCPU() - before
	if cost.calls != p.orders {
		return cost, fmt.Errorf("%d orders, %d when it was recorded: the work differs from run to run", cost.calls, p.orders)
	}
	return cost, nil
}

// kindOf tells whether a step tells a change of the list or reports.
func kindOf(s step) (change, reports bool) {
	if len(s.messages) == 0 {
		return false, false
	}
	kind := s.messages[0].Kind
	return kind == node.EndpointListMessage, kind == node.LoadReportMessage || kind == node.UsageReportMessage
}

// heldBytes is the heap that is in use after a collection.
func heldBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// stackBytes is the memory of the goroutines' stacks.
func stackBytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.StackInuse)
}
