package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tamarindshore/internal/node"
)

// phaseCost is what one phase cost when a script was replayed.
type phaseCost struct {
	cpu             time.Duration // of the process
	changeCPU       time.Duration // of the thread, in the steps with changes of the list
	changes         int
	reportCPU       time.Duration // of the process, in the steps with reports
	reports         int
	longestDecision time.Duration // of the thread, in the longest single call of the router
	commands        int
	heapBytes       float64 // in use at the phase's end
}

// WorkDiffersError says that a replay did not cause the work that was recorded, so that its cost says nothing.
type WorkDiffersError struct {
	Commands int // to the relay
	Recorded int
}

// Error says how many commands there were, and how many were recorded.
func (e *WorkDiffersError) Error() string {
	return fmt.Sprintf("%d orders, %d when it was recorded: the work differs from run to run", e.Commands, e.Recorded)
}

// replay plays a script on a fresh manager and measures each phase. It locks the calling goroutine to its thread.
func replay(ctx context.Context, s *script) (map[Phase]phaseCost, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	config, err := s.scenario.managerConfig(s.site)
	if err != nil {
		return nil, err
	}
	emptyHeap := heapInUse()
	manager, err := node.NewHollowManager(config, scriptEpoch)
	if err != nil {
		return nil, err
	}
	defer manager.Close()
	costs := map[Phase]phaseCost{}
	for i := range s.phases {
		p := &s.phases[i]
		cost, err := replayPhase(ctx, manager, p)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		cost.heapBytes = heapInUse() - emptyHeap
		costs[p.name] = cost
	}
	return costs, nil
}

func replayPhase(ctx context.Context, manager *node.HollowManager, p *phase) (phaseCost, error) {
	var cost phaseCost
	manager.Observe = cost.observeDecisions()
	if p.name == PhaseInputs { // single inputs are so short that a look at the clock would be most of them
		manager.Observe = nil
	}
	before := processCPU()
	for _, step := range p.steps {
		if err := ctx.Err(); err != nil {
			return cost, err
		}
		if err := cost.addStep(manager, step); err != nil {
			return cost, err
		}
	}
	cost.cpu = processCPU() - before
	if cost.commands != p.commands {
		return cost, &WorkDiffersError{Commands: cost.commands, Recorded: p.commands}
	}
	return cost, nil
}

// observeDecisions returns an observer of the manager's calls of the router, before and after each.
func (c *phaseCost) observeDecisions() func(before bool) {
	var began time.Duration
	return func(before bool) {
		if before {
			began = threadCPU()
			return
		}
		c.longestDecision = max(c.longestDecision, threadCPU()-began)
	}
}

// addStep plays a step and adds what it cost.
func (c *phaseCost) addStep(manager *node.HollowManager, s step) error {
	threadBegan := threadCPU()
	processBegan := processCPU()
	result, err := manager.Step(s.at, s.messages...)
	if err != nil {
		return err
	}
	if s.changesList() {
		c.changes++
		c.changeCPU += threadCPU() - threadBegan
	}
	if s.reports() {
		c.reports += len(s.messages)
		c.reportCPU += processCPU() - processBegan
	}
	for _, call := range result.RelayCalls {
		c.commands += call.Count()
	}
	return nil
}

// changesList reports whether a step holds a change of the endpoint list.
func (s step) changesList() bool {
	return len(s.messages) > 0 && s.messages[0].Kind == node.EndpointListMessage
}

// reports reports whether a step holds load or usage reports.
func (s step) reports() bool {
	if len(s.messages) == 0 {
		return false
	}
	kind := s.messages[0].Kind
	return kind == node.LoadReportMessage || kind == node.UsageReportMessage
}
