// Package scale measures how the cost of a manager, and of the control side that serves it, grows along each axis of
// a fleet, one axis at a time, and fits a base and a slope to what it measured. It must never be imported by the daemon.
package scale

import "math"

// ReportVersion is the version of the file format of a Report.
const ReportVersion = 1

// Axis is one dimension of a fleet's size.
type Axis string

// Axes along which costs are measured.
const (
	Servers         Axis = "servers"
	Proxies         Axis = "proxies"
	Zones           Axis = "zones"
	TrafficClasses  Axis = "traffic-groups"
	Managers        Axis = "managers"       // that read one list
	Processes       Axis = "real-processes" // managers as processes of their own, on loopback, that read one list
	Connections     Axis = "connections"    // to one real process
	ListChanges     Axis = "list-changes-per-second"
	Reports         Axis = "reports-per-second"
	RestartsAtOnce  Axis = "restarts-at-once"
	OpeningListSize Axis = "opening-list-size" // entries; the fleet of as many Servers: one of both axes counts, not their sum
)

// Cost names what is measured.
type Cost string

// Costs of one manager, but for those of the control side, which are the control side's for all managers that it serves.
const (
	CPUPerInput           Cost = "cpu-per-input"        // seconds
	CPUPerQuietSecond     Cost = "cpu-per-quiet-second" // seconds, no input in it
	CPUPerBusySecond      Cost = "cpu-per-busy-second"  // seconds, with the reference inputs
	CPUPerListChange      Cost = "cpu-per-list-change"  // seconds
	CPUPerOpening         Cost = "cpu-per-opening"      // seconds
	CPUPerListRead        Cost = "cpu-per-list-read"    // seconds of a whole list's decoding and first decision
	LongestDecision       Cost = "longest-decision"     // seconds
	HeapBytes             Cost = "heap-bytes"           // bytes held after a collection
	BytesOfOpening        Cost = "bytes-of-opening"     // bytes of a whole list
	BytesOfListChange     Cost = "bytes-of-list-change" // bytes of one change on the wire
	BytesOfReport         Cost = "bytes-of-report"      // bytes of one collector's line on a server
	BytesOfUsage          Cost = "bytes-of-usage"       // bytes of one collector's line on a proxy
	BytesOfRelayEvent     Cost = "bytes-of-news"        // bytes of one event of the relay
	BytesOfCalls          Cost = "bytes-of-calls"       // bytes of a second's calls to the relay
	BytesOfHealthCheck    Cost = "bytes-of-probe"       // bytes of one probe and its answer
	BytesOfHeartbeat      Cost = "bytes-of-heartbeat"   // bytes of a second's signs of life
	HealthChecksPerSecond Cost = "probes-per-second"    // probes that a busy second orders
	RelayEventsPerSecond  Cost = "news-per-second"      // events of the relay in a busy second: answers to marks
	CommandsPerSecond     Cost = "orders-per-second"    // orders to the relay in a busy second
	PropagationMedian     Cost = "change-in-force-p50"  // seconds until half of the managers' orders carry it
	PropagationTail       Cost = "change-in-force-p99"  // seconds, 99 in 100
	PropagationLast       Cost = "change-in-force-last" // seconds, the last manager
	CPUPerSubsetRead      Cost = "cpu-per-subset-read"  // seconds of a whole list's decoding where a subset is taken of it

	// The same where all managers open at once, and where two control machines are lost, just as the change is told.
	PropagationDuringOpeningsMedian    Cost = "change-beside-openings-p50"
	PropagationDuringOpeningsTail      Cost = "change-beside-openings-p99"
	PropagationDuringOpeningsLast      Cost = "change-beside-openings-last"
	PropagationDuringControlLossMedian Cost = "change-machines-lost-p50"
	PropagationDuringControlLossTail   Cost = "change-machines-lost-p99"
	PropagationDuringControlLossLast   Cost = "change-machines-lost-last"

	ControlCPUPerManager   Cost = "control-cpu-per-manager"   // seconds of an opening
	ControlHeapPerManager  Cost = "control-heap-per-manager"  // bytes
	ControlBytesPerManager Cost = "control-bytes-per-manager" // bytes of an opening
	ControlConnections     Cost = "control-connections"       // connections open
	ControlCPUPerChange    Cost = "control-cpu-per-change"    // seconds of one change told to one manager
	// ControlCPUPerQuietSecond is seconds for each manager, whose signs of life are all that is written.
	ControlCPUPerQuietSecond Cost = "control-cpu-per-quiet-second"
	OpeningLast              Cost = "opening-last" // seconds until the last manager that opens has the whole list
	HollowBytes              Cost = "hollow-bytes" // bytes of each of many hollow managers in the smallest state

	// Of fleets of real processes, all on one machine: a change told in quiet until it is in force, beside the same of
	// hollow managers with a core each; all started at once, until ready, and until a change told meanwhile is in force.
	ProcessPropagationMedian             Cost = "process-in-force-p50"
	ProcessPropagationLast               Cost = "process-in-force-last"
	HollowPropagationMedian              Cost = "hollow-in-force-p50"
	HollowPropagationLast                Cost = "hollow-in-force-last"
	ProcessReadyMedian                   Cost = "process-ready-p50"
	ProcessReadyLast                     Cost = "process-ready-last"
	ProcessPropagationDuringOpeningsLast Cost = "process-beside-openings-last"
	ProcessCPUPerQuietSecond             Cost = "process-cpu-per-quiet-second" // seconds of each process
	ConnectionsMemory                    Cost = "connections-memory"           // bytes that a real process takes for its connections
	ProcessMemory                        Cost = "process-memory"               // bytes, the largest resident set

	ProxiesAssigned Cost = "proxies-bound" // proxies that have a table
)

// Shape is the form of curve that fits best.
type Shape string

// Shapes that are tried, the simplest first.
const (
	Constant     Shape = "constant"
	Linear       Shape = "linear"
	Linearithmic Shape = "n-log-n"
	Quadratic    Shape = "quadratic"
)

// Of is the shape's value at a size.
func (s Shape) Of(size float64) float64 {
	switch s {
	case Linear:
		return size
	case Linearithmic:
		return size * math.Log2(max(size, 1))
	case Quadratic:
		return size * size
	}
	return 0
}

// Point holds what the runs at one size gave, in the cost's unit.
type Point struct {
	Size float64   `json:"size"`
	Runs []float64 `json:"runs"`
}

// Median is that of the runs.
func (p Point) Median() float64 { return Median(p.Runs) }

// Slope is how one cost grows along one axis, all other axes at the report's reference: Base + PerUnit*Shape.Of(size).
type Slope struct {
	Cost       Cost    `json:"cost"`
	Axis       Axis    `json:"axis"`
	Unit       string  `json:"unit"` // seconds, bytes or connections
	Shape      Shape   `json:"shape"`
	Base       float64 `json:"base"`
	PerUnit    float64 `json:"perUnit"`
	WorstError float64 `json:"worstError"` // largest relative distance of a point's median from the curve
	Spread     float64 `json:"spread"`     // largest relative spread of runs at one size
	Fits       bool    `json:"fits"`       // WorstError is within MaxFitError; else no tried shape fits, and this is the nearest
	Hollow     bool    `json:"hollow"`     // measured on hollow managers, not on real processes
	Points     []Point `json:"points"`
}

// SmallestSize is the smallest size that was measured; +Inf where none was.
func (s Slope) SmallestSize() float64 {
	smallest := math.Inf(1)
	for _, p := range s.Points {
		smallest = min(smallest, p.Size)
	}
	return smallest
}

// LargestSize is the largest size that was measured; 0 where none was.
func (s Slope) LargestSize() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	return largest
}

// At is the fitted cost at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.PerUnit*s.Shape.Of(size) }

// Report is what one run of the measurement found.
type Report struct {
	Version   int              `json:"version"`
	Seed      uint64           `json:"seed"`
	Cores     int              `json:"cores"`
	GoVersion string           `json:"goVersion"`
	Reference map[Axis]float64 `json:"reference"` // sizes of the axes that are held while one grows
	Slopes    []Slope          `json:"slopes"`
	PlanSize  []PlanSizeCase   `json:"planSize,omitempty"` // one manager at the plan's size, with the whole list and with a subset
	Processes []ProcessCase    `json:"real,omitempty"`     // real processes beside hollow managers
}

// PlanSizeCase is one manager in one scenario of the plan's size, and the median of the runs for each cost.
type PlanSizeCase struct {
	Name        string           `json:"name"`
	Sizes       map[Axis]float64 `json:"sizes"`
	HomeServers int              `json:"homeServers"` // in the zone of the manager's proxies
	Costs       map[Cost]float64 `json:"costs"`
	Spread      map[Cost]float64 `json:"spread"` // largest relative spread of the runs
}

// Find gives the slope of a cost along an axis; false where it was not measured.
func (r Report) Find(cost Cost, axis Axis) (Slope, bool) {
	for _, s := range r.Slopes {
		if s.Cost == cost && s.Axis == axis {
			return s, true
		}
	}
	return Slope{}, false
}
