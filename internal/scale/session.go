package scale

import (
	"context"
	"fmt"
	"time"
)

// session is one run of the measurement. The reference size is measured again on each axis, because on a shared machine
// only results from about the same time are comparable.
type session struct {
	options         Options
	reference       Scenario
	changeWriteTime time.Duration      // time to write one change to one reader, at the last measured size; 0: not measured yet
	listReadTime    time.Duration      // time to read a list and take a subset of it, at the last measured size; 0: not measured yet
	propagation     *propagationInputs // nil: not measured yet
}

const (
	smallListSize        = 2400                  // entries on the list that opening managers read in a small run
	minChangeWriteTime   = 10 * time.Microsecond // lower bound per change and reader; used if the control plane wasn't measured
	defaultListWriteTime = time.Millisecond      // used per complete list and reader if the control plane wasn't measured
)

// measureManager measures hollow managers at a size along the survey's axis.
func (r *session) measureManager(ctx context.Context, size float64, s survey) ([]sample, error) {
	return measure(ctx, r.reference.With(s.axis, size), r.options.Runs)
}

// checkScenario returns an error if the scenario of a hollow manager at a size doesn't fit into memory.
func (r *session) checkScenario(size float64, s survey) error {
	return r.options.Memory.checkScenarioFits(s.axis, size, r.reference.With(s.axis, size))
}

// measureControlByManagers measures the control plane with the given number of managers as readers.
func (r *session) measureControlByManagers(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := r.measureControl(ctx, controlServers, int(size), controlQuietSpan)
	if err != nil {
		return nil, err
	}
	r.changeWriteTime = medianTime(samples, ControlCPUPerChange)
	return samples, nil
}

// checkReaders returns an error if the number of readers exceeds MaxReaders.
func (r *session) checkReaders(size float64, s survey) error {
	return checkConnections(s, size, MaxReaders)
}

// measureControlByListSize measures the control plane with a list of the given number of servers.
func (r *session) measureControlByListSize(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return r.measureControl(ctx, int(size), controlReaders, 0)
}

// acceptAnySize is the check of a survey that has no limit: it accepts every size.
func (r *session) acceptAnySize(float64, survey) error { return nil }

// measureControl measures the control plane in all runs.
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

// measureSubsetRead measures reading a subset from a list of the given number of servers.
func (r *session) measureSubsetRead(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := measureSubsetRead(ctx, subsetScenario(r.options.Seed, int(size)), r.options.Runs)
	if err != nil {
		return nil, err
	}
	r.listReadTime = medianTime(samples, CPUPerSubsetRead)
	return samples, nil
}

// measurePropagation measures how long a change takes to propagate to the given number of hollow managers.
func (r *session) measurePropagation(ctx context.Context, size float64, _ survey) ([]sample, error) {
	inputs, err := r.propagationInputs(ctx)
	if err != nil {
		return nil, err
	}
	return measurePropagation(ctx, r.options, inputs, int(size))
}

// checkManagers returns an error if the given number of hollow managers doesn't fit into memory.
func (r *session) checkManagers(size float64, s survey) error {
	return r.options.Memory.checkFits(fmt.Sprintf("%s %g", s.axis, size), bytesOfHollow, int(size))
}

// propagationInputs measures, once per session, the processor times that propagation depends on besides the managers'
// decisions.
func (r *session) propagationInputs(ctx context.Context) (propagationInputs, error) {
	if r.propagation != nil {
		return *r.propagation, nil
	}
	servers := planServers
	if r.options.Small {
		servers = smallListSize
	}
	if r.listReadTime == 0 {
		if _, err := r.measureSubsetRead(ctx, float64(servers), survey{}); err != nil {
			return propagationInputs{}, err
		}
	}
	inputs := propagationInputs{
		changeWriteTime: max(r.changeWriteTime, minChangeWriteTime),
		listWriteTime:   defaultListWriteTime,
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

// medianTime returns the median of a cost whose unit is seconds.
func medianTime(samples []sample, cost Cost) time.Duration {
	return time.Duration(pointOf(0, cost, samples).Median() * float64(time.Second))
}

// measureProcessFleet measures a fleet of the given number of real processes.
func (r *session) measureProcessFleet(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureProcessFleet(ctx, r.options, max(r.changeWriteTime, minChangeWriteTime), int(size))
}

// checkProcesses returns an error if the given number of real processes exceeds the limits.
func (r *session) checkProcesses(size float64, _ survey) error {
	return checkProcessCount(r.options.Memory, int(size))
}

// measureConnections measures a process with the given number of connections.
func (r *session) measureConnections(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureConnections(ctx, r.options, int(size))
}

// checkConnectionCount returns an error if the number of connections exceeds maxConnections.
func (r *session) checkConnectionCount(size float64, s survey) error {
	return checkConnections(s, size, maxConnections)
}

// checkConnections returns a LimitError if a size, which is a number of connections, exceeds limit.
func checkConnections(s survey, size float64, limit int) error {
	if size <= float64(limit) {
		return nil
	}
	return &LimitError{
		Size:     fmt.Sprintf("%s %g", s.axis, size),
		Required: fmt.Sprintf("%g connections", size),
		Limit:    fmt.Sprint(limit),
		Fits:     fmt.Sprintf("%d fit", limit),
	}
}
