package scale

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// survey is what is measured along one axis.
type survey struct {
	axis    Axis
	sizes   []float64
	small   []float64 // sizes of the short form
	costs   []Cost
	real    bool // on real processes
	measure func(*session, context.Context, float64, survey) ([]sample, error)
	check   func(*session, float64, survey) error // whether a size fits the limits
}

// managerCosts are measured where a manager's whole work depends on the axis.
var managerCosts = []Cost{CPUPerInput, CPUPerQuietSecond, CPUPerBusySecond, CPUPerListChange, CPUPerListRead, CPUPerOpening, LongestDecision,
	HeapBytes, BytesOfOpening, BytesOfListChange, BytesOfReport, BytesOfUsage, BytesOfNews, BytesOfCalls, BytesOfProbe, BytesOfHeartbeat,
	ProbesPerSecond, NewsPerSecond, OrdersPerSecond, ProxiesBound}

// busyCosts are measured where only what comes in a busy second grows.
var busyCosts = []Cost{CPUPerInput, CPUPerBusySecond, LongestDecision, HeapBytes, BytesOfCalls, ProbesPerSecond, NewsPerSecond, OrdersPerSecond}

// controlCosts are the control side's for each manager that it serves.
var controlCosts = []Cost{ControlCPUPerManager, ControlCPUPerChange, ControlHeapPerManager, ControlBytesPerManager, ControlConnections, OpeningLast}

// surveys in the order in which they are made: those of the control side stand before the changes in force, which use
// their figures.
var surveys = []survey{
	hollow(Servers, []float64{60, 240, 600, 2400, 6000, 24000}, []float64{60, 240, 600, 2400}, managerCosts),
	hollow(Proxies, []float64{40, 200, 1000, 4000}, []float64{40, 200, 1000, 2000}, managerCosts),
	hollow(Zones, []float64{1, 4, 8, 24, 100}, []float64{1, 4, 8, 24}, managerCosts),
	hollow(TrafficGroups, []float64{1, 3, 10, 60}, []float64{1, 3, 10, 30}, managerCosts),
	hollow(ListChanges, []float64{1, 3, 10, 30, 100}, []float64{1, 3, 10, 30}, busyCosts),
	hollow(Reports, []float64{20, 200, 2000, 20000}, []float64{20, 60, 200, 2000}, busyCosts),
	hollow(RestartsAtOnce, []float64{1, 10, 30, 100, 300}, []float64{1, 3, 10, 30}, []Cost{CPUPerListChange, BytesOfListChange, LongestDecision}),
	hollow(OpeningListSize, []float64{60, 600, 6000, 24000}, []float64{60, 240, 600, 2400}, []Cost{CPUPerListRead, BytesOfOpening}),
	{axis: Managers, sizes: []float64{4, 20, 100, 400}, small: []float64{4, 10, 20, 40}, costs: controlCosts, real: true,
		measure: (*session).controlByManagers, check: (*session).readersFit},
	{axis: OpeningListSize, sizes: []float64{60, 600, 6000, 24000}, small: []float64{60, 240, 600, 2400}, costs: controlCosts[:4], real: true,
		measure: (*session).controlByList, check: (*session).anyFits},
	{axis: Managers, sizes: []float64{56, 560, 2800, 5600}, small: []float64{14, 28, 56, 140},
		costs:   []Cost{ChangeInForceMedian, ChangeInForceTail, ChangeInForceLast, HollowBytes},
		measure: (*session).inForce, check: (*session).managersFit},
}

func hollow(axis Axis, sizes, small []float64, costs []Cost) survey {
	return survey{axis: axis, sizes: sizes, small: small, costs: costs, measure: (*session).oneManager, check: (*session).scenarioFits}
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

// session is one run of the measurement.
type session struct {
	options        Options
	reference      Scenario
	measured       map[Scenario][]sample // the reference stands on each axis
	writePerReader time.Duration         // of the control side before the most readers, the median of the runs
}

func (r *session) oneManager(ctx context.Context, size float64, s survey) ([]sample, error) {
	scenario := r.reference.With(s.axis, size)
	if r.measured[scenario] != nil {
		return r.measured[scenario], nil
	}
	samples, err := measure(ctx, scenario, r.options.Runs)
	r.measured[scenario] = samples
	return samples, err
}

func (r *session) scenarioFits(size float64, s survey) error {
	return r.options.Memory.allowsScenario(s.axis, size, r.reference.With(s.axis, size))
}

func (r *session) controlByManagers(ctx context.Context, size float64, _ survey) ([]sample, error) {
	samples, err := r.control(ctx, controlServers, int(size))
	if err == nil {
		r.writePerReader = time.Duration(medianOf(pointOf(size, ControlCPUPerChange, samples).Runs) * float64(time.Second))
	}
	return samples, err
}

func (r *session) controlByList(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return r.control(ctx, int(size), controlReaders)
}

func (r *session) control(ctx context.Context, servers, readers int) (samples []sample, err error) {
	for range r.options.Runs {
		one, err := measureControl(ctx, r.options.Program, servers, readers)
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
	if size <= ReadersMost {
		return nil
	}
	return &LimitError{What: fmt.Sprintf("%s %g", s.axis, size), Needs: fmt.Sprintf("%g connections", size),
		Limit: fmt.Sprint(ReadersMost), Fits: fmt.Sprintf("%d fit", ReadersMost)}
}

func (r *session) anyFits(float64, survey) error { return nil }

func (r *session) inForce(ctx context.Context, size float64, _ survey) ([]sample, error) {
	return measureInForce(ctx, r.options, max(r.writePerReader, writeLeast), int(size))
}

// writeLeast is taken for the control side's time for one change and one reader where it wasn't measured.
const writeLeast = 10 * time.Microsecond

func (r *session) managersFit(size float64, s survey) error {
	return r.options.Memory.allows(fmt.Sprintf("%s %g", s.axis, size), bytesOfHollow, int(size))
}

// units of the costs; those that aren't named are in bytes.
var units = map[Cost]string{
	CPUPerInput: seconds, CPUPerQuietSecond: seconds, CPUPerBusySecond: seconds, CPUPerListChange: seconds, CPUPerListRead: seconds,
	CPUPerOpening: seconds, LongestDecision: seconds, ChangeInForceMedian: seconds, ChangeInForceTail: seconds, ChangeInForceLast: seconds,
	ControlCPUPerManager: seconds, ControlCPUPerChange: seconds, OpeningLast: seconds, ControlConnections: "connections",
	ProbesPerSecond: perSecondUnit, NewsPerSecond: perSecondUnit, OrdersPerSecond: perSecondUnit, ProxiesBound: "proxies",
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
