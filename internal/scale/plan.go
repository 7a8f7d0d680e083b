package scale

// survey is what is measured along one axis.
type survey struct {
	axis  Axis
	sizes []float64
	small []float64 // sizes of the short form
	costs []Cost
}

// costs that are measured where a manager's whole work depends on the axis.
var managerCosts = []Cost{CPUPerInput, CPUPerQuietSecond, CPUPerBusySecond, CPUPerListChange, CPUPerListRead, CPUPerOpening, LongestDecision,
	HeapBytes, BytesOfOpening, BytesOfListChange, BytesOfReport, BytesOfUsage, BytesOfNews, BytesOfCalls, BytesOfProbe, BytesOfHeartbeat,
	ProbesPerSecond, NewsPerSecond, OrdersPerSecond}

// busyCosts are measured where only what comes in a busy second grows.
var busyCosts = []Cost{CPUPerInput, CPUPerBusySecond, LongestDecision, HeapBytes, BytesOfCalls, ProbesPerSecond, NewsPerSecond, OrdersPerSecond}

// surveys of one manager, in the order in which they are made.
var surveys = []survey{
	{Servers, []float64{60, 240, 600, 2400, 6000, 24000}, []float64{60, 240, 600, 2400}, managerCosts},
	{Proxies, []float64{40, 200, 1000, 4000}, []float64{40, 200, 1000, 2000}, managerCosts},
	{Zones, []float64{1, 4, 8, 24, 100}, []float64{1, 4, 8, 24}, managerCosts},
	{TrafficGroups, []float64{1, 3, 10, 60}, []float64{1, 3, 10, 30}, managerCosts},
	{ListChanges, []float64{1, 10, 100, 1000}, []float64{1, 10, 100}, busyCosts},
	{Reports, []float64{20, 200, 2000, 20000}, []float64{20, 200, 2000}, busyCosts},
	{RestartsAtOnce, []float64{1, 10, 100, 500}, []float64{1, 10, 100}, []Cost{CPUPerListChange, BytesOfListChange, LongestDecision}},
	{OpeningListSize, []float64{60, 600, 6000, 24000}, []float64{60, 240, 600, 2400}, []Cost{CPUPerListRead, BytesOfOpening}},
}

// units of the costs; those that aren't named are in bytes.
var units = map[Cost]string{
	CPUPerInput: seconds, CPUPerQuietSecond: seconds, CPUPerBusySecond: seconds, CPUPerListChange: seconds, CPUPerListRead: seconds,
	CPUPerOpening: seconds, LongestDecision: seconds, ChangeInForceMedian: seconds, ChangeInForceTail: seconds, ChangeInForceLast: seconds,
	ControlCPUPerManager: seconds, ControlConnections: "connections", ProbesPerSecond: perSecondUnit, NewsPerSecond: perSecondUnit,
	OrdersPerSecond: perSecondUnit,
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
