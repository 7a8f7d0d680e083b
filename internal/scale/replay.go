package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tamarindshore/internal/node"
)

// phaseCost is the cost of one phase of a script that was replayed.
type phaseCost struct {
	cpu             time.Duration // processor time of the process in the whole phase
	changeCPU       time.Duration // processor time of the thread in the steps with list changes
	changes         int
	reportCPU       time.Duration // processor time of the process in the steps with reports
	reports         int
	longestDecision time.Duration // processor time of the thread in the longest single call of the router
	commands        int
	heapBytes       float64 // heap that the manager uses at the end of the phase
}

// ReplayMismatchError reports that a replay did not cause the same work as the recording, so its cost is meaningless.
type ReplayMismatchError struct {
	Commands int // commands to the relay during the replay
	Recorded int // commands to the relay in the recording
}

// Error returns a message with the number of commands in the replay and in the recording.
func (e *ReplayMismatchError) Error() string {
	return fmt.Sprintf("the replay sent %d commands to the relay, the recording %d: the work is not reproducible", e.Commands, e.Recorded)
}

// replay replays a script on a new manager and measures each phase. It locks the calling goroutine to its thread.
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
			return nil, fmt.Errorf("phase %s: %w", p.name, err)
		}
		cost.heapBytes = heapInUse() - emptyHeap
		costs[p.name] = cost
	}
	return costs, nil
}

// replayPhase replays one phase and measures its cost, except for the heap.
func replayPhase(ctx context.Context, manager *node.HollowManager, p *phase) (phaseCost, error) {
	var cost phaseCost
	manager.Observe = cost.observeDecisions()
	if p.name == PhaseInputs { // a single input is so short that reading the clock would dominate its cost
		manager.Observe = nil
	}
	before := processCPU()
	for _, step := range p.steps {
		if err := ctx.Err(); err != nil {
			return cost, err
		}
		if err := cost.replayStep(manager, step); err != nil {
			return cost, err
		}
	}
	cost.cpu = processCPU() - before
	if cost.commands != p.commands {
		return cost, &ReplayMismatchError{Commands: cost.commands, Recorded: p.commands}
	}
	return cost, nil
}

// observeDecisions returns a function, to be called before and after each call of the router, that records the longest
// call.
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

// replayStep replays a step and adds its cost.
func (c *phaseCost) replayStep(manager *node.HollowManager, s step) error {
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

// changesList reports whether a step contains a change of the endpoint list.
func (s step) changesList() bool {
	return len(s.messages) > 0 && s.messages[0].Kind == node.EndpointListMessage
}

// reports reports whether a step contains load or usage reports.
func (s step) reports() bool {
	if len(s.messages) == 0 {
		return false
	}
	kind := s.messages[0].Kind
	return kind == node.LoadReportMessage || kind == node.UsageReportMessage
}
