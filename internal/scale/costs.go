package scale

// Axis is one dimension of a fleet's size.
type Axis string

// Axes along which costs are measured. The values are the names used in files.
const (
	Servers         Axis = "servers"
	Proxies         Axis = "proxies"
	Zones           Axis = "zones"
	TrafficClasses  Axis = "traffic-groups"
	Managers        Axis = "managers"       // managers that read one endpoint list
	Processes       Axis = "real-processes" // managers that read one endpoint list, each a real process on loopback
	Connections     Axis = "connections"    // connections to one real process
	ListChanges     Axis = "list-changes-per-second"
	Reports         Axis = "reports-per-second"
	RestartsAtOnce  Axis = "restarts-at-once"
	OpeningListSize Axis = "opening-list-size" // entries; grows with Servers, so only one of the two axes may be counted
)

// Cost names a measured quantity.
type Cost string

// Costs of one manager. The values are the names used in files. An opening is the start of a manager: it reads the
// complete endpoint list, then its proxies connect. A quiet second has no reports and no list changes.
const (
	CPUPerInput       Cost = "cpu-per-input"        // seconds per load or usage report
	CPUPerQuietSecond Cost = "cpu-per-quiet-second" // seconds; without reports and list changes
	CPUPerBusySecond  Cost = "cpu-per-busy-second"  // seconds; with the scenario's reports and list changes
	CPUPerListChange  Cost = "cpu-per-list-change"  // seconds
	CPUPerOpening     Cost = "cpu-per-opening"      // seconds
	CPUPerListRead    Cost = "cpu-per-list-read"    // seconds to decode a complete list and make the first decision
	CPUPerSubsetRead  Cost = "cpu-per-subset-read"  // seconds to decode a complete list and take a subset of it
	LongestDecision   Cost = "longest-decision"     // seconds
	HeapBytes         Cost = "heap-bytes"           // in use after a garbage collection

	BytesOfOpening     Cost = "bytes-of-opening"     // bytes of a complete list
	BytesOfListChange  Cost = "bytes-of-list-change" // bytes of one list change
	BytesOfReport      Cost = "bytes-of-report"      // bytes of one load report
	BytesOfUsage       Cost = "bytes-of-usage"       // bytes of one usage report
	BytesOfRelayEvent  Cost = "bytes-of-news"        // bytes of one event of the relay
	BytesOfCalls       Cost = "bytes-of-calls"       // bytes of one second's calls to the relay
	BytesOfHealthCheck Cost = "bytes-of-probe"       // bytes of one health check and its answer
	BytesOfHeartbeat   Cost = "bytes-of-heartbeat"   // bytes of one second's heartbeats

	HealthChecksPerSecond Cost = "probes-per-second" // health checks in a busy second
	RelayEventsPerSecond  Cost = "news-per-second"   // events of the relay in a busy second: barrier acknowledgements
	CommandsPerSecond     Cost = "orders-per-second" // commands to the relay in a busy second
	ProxiesAssigned       Cost = "proxies-bound"     // proxies that have a table
	HollowBytes           Cost = "hollow-bytes"      // heap of one hollow manager among many, in the propagation scenario
)

// Propagation times of a change of the endpoint list: seconds until half, 99%, and all of the managers have sent the
// resulting command to the relay.
const (
	PropagationMedian Cost = "change-in-force-p50"
	PropagationTail   Cost = "change-in-force-p99"
	PropagationLast   Cost = "change-in-force-last"

	// The same while all managers are opening.
	PropagationDuringOpeningsMedian Cost = "change-beside-openings-p50"
	PropagationDuringOpeningsTail   Cost = "change-beside-openings-p99"
	PropagationDuringOpeningsLast   Cost = "change-beside-openings-last"

	// The same when two control machines are lost at the time of the change.
	PropagationDuringControlLossMedian Cost = "change-machines-lost-p50"
	PropagationDuringControlLossTail   Cost = "change-machines-lost-p99"
	PropagationDuringControlLossLast   Cost = "change-machines-lost-last"
)

// Costs of the control plane per manager that it serves.
const (
	ControlCPUPerManager     Cost = "control-cpu-per-manager"      // seconds per opening
	ControlHeapPerManager    Cost = "control-heap-per-manager"     // bytes
	ControlBytesPerManager   Cost = "control-bytes-per-manager"    // bytes per opening
	ControlConnections       Cost = "control-connections"          // open connections of all managers
	ControlCPUPerChange      Cost = "control-cpu-per-change"       // seconds to write one change to one manager
	ControlCPUPerQuietSecond Cost = "control-cpu-per-quiet-second" // seconds; only heartbeats are written
	OpeningLast              Cost = "opening-last"                 // seconds until the last opening manager has the complete list
)

// Costs of fleets of real processes on one machine.
const (
	ProcessPropagationMedian Cost = "process-in-force-p50"  // seconds; nothing else happens
	ProcessPropagationLast   Cost = "process-in-force-last" // seconds
	HollowPropagationMedian  Cost = "hollow-in-force-p50"   // seconds; the same number of hollow managers, each with its own core
	HollowPropagationLast    Cost = "hollow-in-force-last"  // seconds

	ProcessReadyMedian Cost = "process-ready-p50"  // seconds until half of the processes are ready; all start at once
	ProcessReadyLast   Cost = "process-ready-last" // seconds

	// ProcessPropagationDuringOpeningsLast is the propagation time in seconds, to the last process, of a change made while
	// all processes start.
	ProcessPropagationDuringOpeningsLast Cost = "process-beside-openings-last"

	ProcessCPUPerQuietSecond Cost = "process-cpu-per-quiet-second" // seconds per process
	ProcessMemory            Cost = "process-memory"               // bytes; the largest resident set
	ConnectionsMemory        Cost = "connections-memory"           // bytes that a real process uses for its connections
)
