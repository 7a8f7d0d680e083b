package scale

import (
	"context"
	"slices"
)

// survey describes a measurement along one axis.
type survey struct {
	axis          Axis
	sizes         []float64
	smallSizes    []float64 // used if Options.Small is set
	costs         []Cost
	realProcesses bool // measures real processes; false: hollow managers
	measure       func(*session, context.Context, float64, survey) ([]sample, error)
	check         func(*session, float64, survey) error // returns an error if the size exceeds a limit
}

// managerCosts are measured along axes on which all of a manager's work depends.
var managerCosts = []Cost{
	CPUPerInput, CPUPerQuietSecond, CPUPerBusySecond, CPUPerListChange, CPUPerListRead, CPUPerOpening, LongestDecision, HeapBytes,
	BytesOfOpening, BytesOfListChange, BytesOfReport, BytesOfUsage, BytesOfRelayEvent, BytesOfCalls, BytesOfHealthCheck,
	BytesOfHeartbeat, HealthChecksPerSecond, RelayEventsPerSecond, CommandsPerSecond, ProxiesAssigned,
}

// busyCosts are measured along axes on which only the work of a busy second depends.
var busyCosts = []Cost{
	CPUPerInput, CPUPerBusySecond, LongestDecision, HeapBytes, BytesOfCalls, HealthChecksPerSecond, RelayEventsPerSecond,
	CommandsPerSecond,
}

// openingCosts are the costs of the control plane for each manager that opens.
var openingCosts = []Cost{ControlCPUPerManager, ControlCPUPerChange, ControlHeapPerManager, ControlBytesPerManager}

// controlCosts are the costs of the control plane for each manager that it serves.
var controlCosts = slices.Concat(openingCosts, []Cost{ControlConnections, OpeningLast, ControlCPUPerQuietSecond})

// surveys lists all surveys in the order in which they run. Those of the control plane and of the subset come before the
// propagation of changes, which uses their results.
var surveys = []survey{
	managerSurvey(Servers, []float64{60, 240, 600, 2400, 6000, 24000}, []float64{60, 240, 600, 2400}, managerCosts),
	managerSurvey(Proxies, []float64{40, 200, 1000, 4000}, []float64{40, 200, 1000, 2000}, managerCosts),
	managerSurvey(Zones, []float64{1, 4, 8, 24, 100}, []float64{1, 4, 8, 24}, managerCosts),
	managerSurvey(TrafficClasses, []float64{1, 3, 10, 60}, []float64{1, 3, 10, 30}, managerCosts),
	managerSurvey(ListChanges, []float64{1, 3, 10, 30, 100}, []float64{1, 3, 10, 30}, busyCosts),
	managerSurvey(Reports, []float64{20, 200, 2000, 20000}, []float64{20, 60, 200, 2000}, busyCosts),
	managerSurvey(RestartsAtOnce, []float64{1, 10, 30, 100, 300}, []float64{1, 3, 10, 30},
		[]Cost{CPUPerListChange, BytesOfListChange, LongestDecision}),
	managerSurvey(OpeningListSize, []float64{60, 600, 6000, 24000}, []float64{60, 240, 600, 2400}, []Cost{CPUPerListRead, BytesOfOpening}),
	{
		axis: Managers, sizes: []float64{4, 20, 100, 400, 1200}, smallSizes: []float64{4, 10, 20, 40},
		costs: controlCosts, realProcesses: true,
		measure: (*session).measureControlByManagers, check: (*session).checkReaders,
	},
	{
		axis: OpeningListSize, sizes: []float64{60, 600, 6000, 24000}, smallSizes: []float64{60, 240, 600, 2400},
		costs: openingCosts, realProcesses: true,
		measure: (*session).measureControlByListSize, check: (*session).acceptAnySize,
	},
	{
		axis: OpeningListSize, sizes: []float64{600, 2400, 6000, 24000}, smallSizes: []float64{60, 240, 600, 2400},
		costs:   []Cost{CPUPerSubsetRead},
		measure: (*session).measureSubsetRead, check: (*session).checkScenario,
	},
	{
		axis: Managers, sizes: []float64{56, 560, 2800, 5600}, smallSizes: []float64{14, 28, 56, 140},
		costs:   propagationCosts,
		measure: (*session).measurePropagation, check: (*session).checkManagers,
	},
	{
		axis: Processes, sizes: []float64{10, 30, 100, 200}, smallSizes: []float64{2, 4, 6, 8},
		costs: processCosts, realProcesses: true,
		measure: (*session).measureProcessFleet, check: (*session).checkProcesses,
	},
	{
		axis: Connections, sizes: []float64{30, 60, 120, 240}, smallSizes: []float64{30, 60, 120, 240},
		costs: []Cost{ConnectionsMemory}, realProcesses: true,
		measure: (*session).measureConnections, check: (*session).checkConnectionCount,
	},
}

// managerSurvey returns a survey of single hollow managers.
func managerSurvey(axis Axis, sizes, smallSizes []float64, costs []Cost) survey {
	return survey{
		axis: axis, sizes: sizes, smallSizes: smallSizes, costs: costs,
		measure: (*session).measureManager, check: (*session).checkScenario,
	}
}

// Axes returns the axes along which a run can measure.
func Axes() []Axis {
	var axes []Axis
	for _, s := range surveys {
		if !slices.Contains(axes, s.axis) {
			axes = append(axes, s.axis)
		}
	}
	return axes
}

// Units of costs.
const (
	unitSeconds     = "seconds"
	unitBytes       = "bytes"
	unitPerSecond   = "per second"
	unitConnections = "connections"
	unitProxies     = "proxies"
)

// units holds the unit of each cost that isn't in bytes.
var units = map[Cost]string{
	CPUPerInput:                          unitSeconds,
	CPUPerQuietSecond:                    unitSeconds,
	CPUPerBusySecond:                     unitSeconds,
	CPUPerListChange:                     unitSeconds,
	CPUPerListRead:                       unitSeconds,
	CPUPerSubsetRead:                     unitSeconds,
	CPUPerOpening:                        unitSeconds,
	LongestDecision:                      unitSeconds,
	PropagationMedian:                    unitSeconds,
	PropagationTail:                      unitSeconds,
	PropagationLast:                      unitSeconds,
	PropagationDuringOpeningsMedian:      unitSeconds,
	PropagationDuringOpeningsTail:        unitSeconds,
	PropagationDuringOpeningsLast:        unitSeconds,
	PropagationDuringControlLossMedian:   unitSeconds,
	PropagationDuringControlLossTail:     unitSeconds,
	PropagationDuringControlLossLast:     unitSeconds,
	ProcessPropagationMedian:             unitSeconds,
	ProcessPropagationLast:               unitSeconds,
	ProcessPropagationDuringOpeningsLast: unitSeconds,
	ProcessReadyMedian:                   unitSeconds,
	ProcessReadyLast:                     unitSeconds,
	ProcessCPUPerQuietSecond:             unitSeconds,
	HollowPropagationMedian:              unitSeconds,
	HollowPropagationLast:                unitSeconds,
	ControlCPUPerQuietSecond:             unitSeconds,
	ControlCPUPerManager:                 unitSeconds,
	ControlCPUPerChange:                  unitSeconds,
	OpeningLast:                          unitSeconds,
	ControlConnections:                   unitConnections,
	HealthChecksPerSecond:                unitPerSecond,
	RelayEventsPerSecond:                 unitPerSecond,
	CommandsPerSecond:                    unitPerSecond,
	ProxiesAssigned:                      unitProxies,
}

// unitOf returns the unit of a cost.
func unitOf(cost Cost) string {
	if unit, found := units[cost]; found {
		return unit
	}
	return unitBytes
}
