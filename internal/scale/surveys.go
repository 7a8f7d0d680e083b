package scale

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// survey is what is measured along one axis.
type survey struct {
	axis          Axis
	sizes         []float64
	smallSizes    []float64 // sizes of the short form
	costs         []Cost
	realProcesses bool // on real processes
	measure       func(*session, context.Context, float64, survey) ([]sample, error)
	check         func(*session, float64, survey) error // whether a size fits the limits
}

// managerCosts are measured where a manager's whole work depends on the axis.
var managerCosts = []Cost{CPUPerInput, CPUPerQuietSecond, CPUPerBusySecond, CPUPerListChange, CPUPerListRead, CPUPerOpening, LongestDecision,
	HeapBytes, BytesOfOpening, BytesOfListChange, BytesOfReport, BytesOfUsage, BytesOfRelayEvent, BytesOfCalls, BytesOfHealthCheck, BytesOfHeartbeat,
	HealthChecksPerSecond, RelayEventsPerSecond, CommandsPerSecond, ProxiesAssigned}

// busyCosts are measured where only what comes in a busy second grows.
var busyCosts = []Cost{CPUPerInput, CPUPerBusySecond, LongestDecision, HeapBytes, BytesOfCalls, HealthChecksPerSecond, RelayEventsPerSecond, CommandsPerSecond}

// controlCosts are the control side's for each manager that it serves.
var controlCosts = []Cost{ControlCPUPerManager, ControlCPUPerChange, ControlHeapPerManager, ControlBytesPerManager, ControlConnections, OpeningLast,
	ControlCPUPerQuietSecond}

// surveys in the order in which they are made: those of the control side stand before the changes in force, which use
// their figures.
var surveys = []survey{
	managerSurvey(Servers, []float64{60, 240, 600, 2400, 6000, 24000}, []float64{60, 240, 600, 2400}, managerCosts),
	managerSurvey(Proxies, []float64{40, 200, 1000, 4000}, []float64{40, 200, 1000, 2000}, managerCosts),
	managerSurvey(Zones, []float64{1, 4, 8, 24, 100}, []float64{1, 4, 8, 24}, managerCosts),
	managerSurvey(TrafficGroups, []float64{1, 3, 10, 60}, []float64{1, 3, 10, 30}, managerCosts),
	managerSurvey(ListChanges, []float64{1, 3, 10, 30, 100}, []float64{1, 3, 10, 30}, busyCosts),
	managerSurvey(Reports, []float64{20, 200, 2000, 20000}, []float64{20, 60, 200, 2000}, busyCosts),
	managerSurvey(RestartsAtOnce, []float64{1, 10, 30, 100, 300}, []float64{1, 3, 10, 30}, []Cost{CPUPerListChange, BytesOfListChange, LongestDecision}),
	managerSurvey(OpeningListSize, []float64{60, 600, 6000, 24000}, []float64{60, 240, 600, 2400}, []Cost{CPUPerListRead, BytesOfOpening}),
	{axis: Managers, sizes: []float64{4, 20, 100, 400, 1200}, smallSizes: []float64{4, 10, 20, 40}, costs: controlCosts, realProcesses: true,
		measure: (*session).controlByManagers, check: (*session).readersFit},
	{axis: OpeningListSize, sizes: []float64{60, 600, 6000, 24000}, smallSizes: []float64{60, 240, 600, 2400}, costs: controlCosts[:4], realProcesses: true,
		measure: (*session).controlByList, check: (*session).anyFits},
	{axis: OpeningListSize, sizes: []float64{600, 2400, 6000, 24000}, smallSizes: []float64{60, 240, 600, 2400}, costs: []Cost{CPUPerSubsetRead},
		measure: (*session).measureSubsetRead, check: (*session).scenarioFits},
	{axis: Managers, sizes: []float64{56, 560, 2800, 5600}, smallSizes: []float64{14, 28, 56, 140}, costs: propagationCosts,
		measure: (*session).measurePropagation, check: (*session).managersFit},
	{axis: Processes, sizes: []float64{10, 30, 100, 200}, smallSizes: []float64{2, 4, 6, 8}, costs: processCosts, realProcesses: true,
		measure: (*session).measureProcessFleet, check: (*session).processesFit},
	{axis: Connections, sizes: []float64{30, 60, 120, 240}, smallSizes: []float64{30, 60, 120, 240}, costs: []Cost{ConnectionsMemory}, realProcesses: true,
		measure: (*session).measureConnections, check: (*session).connectionsFit},
}

func managerSurvey(axis Axis, sizes, small []float64, costs []Cost) survey {
	return survey{axis: axis, sizes: sizes, smallSizes: small, costs: costs, measure: (*session).measureManager, check: (*session).scenarioFits}
}

// Axes along which a run measures.
func Axes() (all []Axis) {
	for _, s := range surveys {
		if !slices.Contains(all, s.axis) {
			all = append(all, s.axis)
		}
	}
	return all
}

// session is one run of the measurement. The reference is measured anew on each axis: on a shared machine only figures
// of about the same time compare.
type session struct {
	options         Options
	reference       Scenario
	changeWriteTime time.Duration      // of the control side before the most readers, the median of the runs
	listReadTime    time.Duration      // of the longest list that a subset was taken of; 0: not measured yet
	propagation     *propagationInputs // nil: not measured yet
}

func (r *session) measureManager(ctx context.Context, size float64, s survey) ([]sample, error) {
	return measure(ctx, r.reference.With(s.axis, size), r.options.Runs)
}

func (r *session) scenarioFits(size float64, s survey) error {
	return r.options.Memory.checkScenarioFits(s.axis, size, r.reference.With(s.axis, size))
}

func (r *session) controlByManagers(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := r.measureControl(ctx, controlServers, int(size), controlQuiet)
	if err == nil {
		r.changeWriteTime = medianTime(samples, ControlCPUPerChange)
	}
	return samples, err
}

func (r *session) controlByList(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return r.measureControl(ctx, int(size), controlReaders, 0)
}

func (r *session) measureControl(ctx context.Context, servers, readers int, quiet time.Duration) (samples []sample, err error) {
	for range r.options.Runs {
		one, err := measureControl(ctx, r.options.Program, servers, readers, quiet)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			return nil, err
		}
		samples = append(samples, one)
	}
	return samples, nil
}

func (r *session) readersFit(size float64, s survey) error {
	if size <= MaxReaders {
		return nil
	}
	return &LimitError{What: fmt.Sprintf("%s %g", s.axis, size), Needs: fmt.Sprintf("%g connections", size),
		Limit: fmt.Sprint(MaxReaders), Fits: fmt.Sprintf("%d fit", MaxReaders)}
}

func (r *session) anyFits(float64, survey) error { return nil }

func (r *session) measureSubsetRead(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := measureSubsetRead(ctx, subsetScenario(r.options.Seed, int(size)), r.options.Runs)
	if err == nil {
		r.listReadTime = medianTime(samples, CPUPerSubsetRead)
	}
	return samples, err
}

func (r *session) measurePropagation(ctx context.Context, size float64, _ survey) ([]sample, error) {
	terms, err := r.propagationInputs(ctx)
	if err != nil {
		return nil, err
	}
	return measurePropagation(ctx, r.options, terms, int(size))
}

// inForceTerms measures, once in a session, what a change in force depends on besides the managers.
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
	terms := propagationInputs{changeWriteTime: max(r.changeWriteTime, minChangeWriteTime), listWriteTime: minListWriteTime, listReadTime: r.listReadTime}
	if r.options.Program != "" {
		lists, err := r.measureControl(ctx, servers, controlReaders, 0)
		if err != nil {
			return propagationInputs{}, err
		}
		terms.listWriteTime = medianTime(lists, ControlCPUPerManager)
	}
	r.propagation = &terms
	return terms, nil
}

// medianTime is the median of a cost in seconds.
func medianTime(samples []sample, cost Cost) time.Duration {
	return time.Duration(Median(pointOf(0, cost, samples).Runs) * float64(time.Second))
}

const (
	smallList          = 2400                  // entries that managers read in the short form, where they open together
	minChangeWriteTime = 10 * time.Microsecond // taken for one change and one reader where the control side wasn't measured
	minListWriteTime   = time.Millisecond      // taken for a whole list and one reader where it wasn't
)

func (r *session) measureProcessFleet(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureProcessFleet(ctx, r.options, max(r.changeWriteTime, minChangeWriteTime), int(size))
}

func (r *session) measureConnections(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureConnections(ctx, r.options, int(size))
}

func (r *session) connectionsFit(size float64, s survey) error {
	if size <= maxConnections {
		return nil
	}
	return &LimitError{What: fmt.Sprintf("%s %g", s.axis, size), Needs: fmt.Sprintf("%g connections", size),
		Limit: fmt.Sprint(maxConnections), Fits: fmt.Sprintf("%d fit", maxConnections)}
}

func (r *session) processesFit(size float64, _ survey) error {
	return checkProcessesFit(r.options.Memory, int(size))
}

func (r *session) managersFit(size float64, s survey) error {
	return r.options.Memory.checkFits(fmt.Sprintf("%s %g", s.axis, size), bytesOfHollow, int(size))
}

// units of the costs; those that aren't named are in bytes.
var units = map[Cost]string{
	CPUPerInput: seconds, CPUPerQuietSecond: seconds, CPUPerBusySecond: seconds, CPUPerListChange: seconds, CPUPerListRead: seconds,
	CPUPerSubsetRead: seconds, CPUPerOpening: seconds, LongestDecision: seconds,
	PropagationMedian: seconds, PropagationTail: seconds, PropagationLast: seconds,
	PropagationDuringOpeningsMedian: seconds, PropagationDuringOpeningsTail: seconds, PropagationDuringOpeningsLast: seconds,
	ProcessPropagationMedian: seconds, ProcessPropagationLast: seconds, HollowPropagationMedian: seconds, HollowPropagationLast: seconds,
	ProcessReadyMedian: seconds, ProcessReadyLast: seconds, ProcessPropagationDuringOpeningsLast: seconds, ProcessCPUPerQuietSecond: seconds,
	PropagationDuringControlLossMedian: seconds, PropagationDuringControlLossTail: seconds, PropagationDuringControlLossLast: seconds,
	ControlCPUPerQuietSecond: seconds, ControlCPUPerManager: seconds, ControlCPUPerChange: seconds, OpeningLast: seconds, ControlConnections: "connections",
	HealthChecksPerSecond: perSecondUnit, RelayEventsPerSecond: perSecondUnit, CommandsPerSecond: perSecondUnit, ProxiesAssigned: "proxies",
}

const (
	seconds       = "seconds"
	bytesUnit     = "bytes"
	perSecondUnit = "per second"
)

func unitOf(cost Cost) string {
	if unit, named := units[cost]; named {
		return unit
	}
	return bytesUnit
}
