package scale

import (
	"context"
	"fmt"
	"time"
)

// session is one run of the measurement. The reference is measured anew on each axis: on a shared machine only results of
// about the same time compare.
type session struct {
	options         Options
	reference       Scenario
	changeWriteTime time.Duration      // of the control side with the most readers, the median of the runs
	listReadTime    time.Duration      // of the longest list of which a subset was taken; 0: not measured yet
	propagation     *propagationInputs // nil: not measured yet
}

const (
	smallList          = 2400                  // entries that managers read in a small run, where they open together
	minChangeWriteTime = 10 * time.Microsecond // for one change and one reader where the control side wasn't measured
	minListWriteTime   = time.Millisecond      // for a complete list and one reader where it wasn't
)

// measureManager measures hollow managers at a size.
func (r *session) measureManager(ctx context.Context, size float64, s survey) ([]sample, error) {
	return measure(ctx, r.reference.With(s.axis, size), r.options.Runs)
}

// scenarioFits checks that a hollow manager of a size fits into memory.
func (r *session) scenarioFits(size float64, s survey) error {
	return r.options.Memory.checkScenarioFits(s.axis, size, r.reference.With(s.axis, size))
}

// controlByManagers measures the control side with so many managers as readers.
func (r *session) controlByManagers(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := r.measureControl(ctx, controlServers, int(size), controlQuietSpan)
	if err != nil {
		return nil, err
	}
	r.changeWriteTime = medianTime(samples, ControlCPUPerChange)
	return samples, nil
}

// readersFit checks that so many readers may connect.
func (r *session) readersFit(size float64, s survey) error {
	return checkConnections(s, size, MaxReaders)
}

// controlByList measures the control side with a list of so many servers.
func (r *session) controlByList(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return r.measureControl(ctx, int(size), controlReaders, 0)
}

// anyFits is the check of a survey without a limit of its own.
func (r *session) anyFits(float64, survey) error { return nil }

// measureControl measures the control side, all runs.
func (r *session) measureControl(ctx context.Context, servers, readers int, quietSpan time.Duration) ([]sample, error) {
	var samples []sample
	for range r.options.Runs {
		measured, err := measureControl(ctx, r.options.Program, servers, readers, quietSpan)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			return nil, err
		}
		samples = append(samples, measured)
	}
	return samples, nil
}

// measureSubsetRead measures how a subset is read from a list of so many servers.
func (r *session) measureSubsetRead(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := measureSubsetRead(ctx, subsetScenario(r.options.Seed, int(size)), r.options.Runs)
	if err != nil {
		return nil, err
	}
	r.listReadTime = medianTime(samples, CPUPerSubsetRead)
	return samples, nil
}

// measurePropagation measures when a change reaches so many hollow managers.
func (r *session) measurePropagation(ctx context.Context, size float64, _ survey) ([]sample, error) {
	inputs, err := r.propagationInputs(ctx)
	if err != nil {
		return nil, err
	}
	return measurePropagation(ctx, r.options, inputs, int(size))
}

// managersFit checks that so many hollow managers fit into memory.
func (r *session) managersFit(size float64, s survey) error {
	return r.options.Memory.checkFits(fmt.Sprintf("%s %g", s.axis, size), bytesOfHollow, int(size))
}

// propagationInputs measures, once in a session, what propagation depends on beside the managers.
func (r *session) propagationInputs(ctx context.Context) (propagationInputs, error) {
	if r.propagation != nil {
		return *r.propagation, nil
	}
	servers := planServers
	if r.options.Small {
		servers = smallList
	}
	if r.listReadTime == 0 {
		if _, err := r.measureSubsetRead(ctx, float64(servers), survey{}); err != nil {
			return propagationInputs{}, err
		}
	}
	inputs := propagationInputs{
		changeWriteTime: max(r.changeWriteTime, minChangeWriteTime),
		listWriteTime:   minListWriteTime,
		listReadTime:    r.listReadTime,
	}
	if r.options.Program != "" {
		samples, err := r.measureControl(ctx, servers, controlReaders, 0)
		if err != nil {
			return propagationInputs{}, err
		}
		inputs.listWriteTime = medianTime(samples, ControlCPUPerManager)
	}
	r.propagation = &inputs
	return inputs, nil
}

// medianTime is the median of a cost that is in seconds.
func medianTime(samples []sample, cost Cost) time.Duration {
	return time.Duration(pointOf(0, cost, samples).Median() * float64(time.Second))
}

// measureProcessFleet measures so many real processes.
func (r *session) measureProcessFleet(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureProcessFleet(ctx, r.options, max(r.changeWriteTime, minChangeWriteTime), int(size))
}

// processesFit checks that so many real processes fit the limits.
func (r *session) processesFit(size float64, _ survey) error {
	return checkProcessesFit(r.options.Memory, int(size))
}

// measureConnections measures a process with so many connections.
func (r *session) measureConnections(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureConnections(ctx, r.options, int(size))
}

// connectionsFit checks that so many connections may be opened.
func (r *session) connectionsFit(size float64, s survey) error {
	return checkConnections(s, size, maxConnections)
}

// checkConnections checks a size along an axis that is a number of connections.
func checkConnections(s survey, size float64, limit int) error {
	if size <= float64(limit) {
		return nil
	}
	return &LimitError{
		What:  fmt.Sprintf("%s %g", s.axis, size),
		Needs: fmt.Sprintf("%g connections", size),
		Limit: fmt.Sprint(limit),
		Fits:  fmt.Sprintf("%d fit", limit),
	}
}
