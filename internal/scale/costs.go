package scale

// Axis is one dimension of a fleet's size.
type Axis string

// Axes along which costs are measured. The values are their names in files.
const (
	Servers         Axis = "servers"
	Proxies         Axis = "proxies"
	Zones           Axis = "zones"
	TrafficClasses  Axis = "traffic-groups"
	Managers        Axis = "managers"       // that read one endpoint list
	Processes       Axis = "real-processes" // managers as processes of their own, on loopback, that read one endpoint list
	Connections     Axis = "connections"    // to one real process
	ListChanges     Axis = "list-changes-per-second"
	Reports         Axis = "reports-per-second"
	RestartsAtOnce  Axis = "restarts-at-once"
	OpeningListSize Axis = "opening-list-size" // entries, which grow with Servers: only one of both axes may be counted
)

// Cost names what is measured.
type Cost string

// Costs of one manager. The values are their names in files.
const (
	CPUPerInput       Cost = "cpu-per-input"        // seconds
	CPUPerQuietSecond Cost = "cpu-per-quiet-second" // seconds, without input
	CPUPerBusySecond  Cost = "cpu-per-busy-second"  // seconds, with the inputs of the reference
	CPUPerListChange  Cost = "cpu-per-list-change"  // seconds
	CPUPerOpening     Cost = "cpu-per-opening"      // seconds
	CPUPerListRead    Cost = "cpu-per-list-read"    // seconds of a complete list's decoding and first decision
	CPUPerSubsetRead  Cost = "cpu-per-subset-read"  // seconds of a complete list's decoding where a subset is taken of it
	LongestDecision   Cost = "longest-decision"     // seconds
	HeapBytes         Cost = "heap-bytes"           // in use after a garbage collection

	BytesOfOpening     Cost = "bytes-of-opening"     // of a complete list
	BytesOfListChange  Cost = "bytes-of-list-change" // of one change on the wire
	BytesOfReport      Cost = "bytes-of-report"      // of one load report
	BytesOfUsage       Cost = "bytes-of-usage"       // of one usage report
	BytesOfRelayEvent  Cost = "bytes-of-news"        // of one event of the relay
	BytesOfCalls       Cost = "bytes-of-calls"       // of a second's calls to the relay
	BytesOfHealthCheck Cost = "bytes-of-probe"       // of one health check and its answer
	BytesOfHeartbeat   Cost = "bytes-of-heartbeat"   // of a second's heartbeats

	HealthChecksPerSecond Cost = "probes-per-second" // in a busy second
	RelayEventsPerSecond  Cost = "news-per-second"   // in a busy second: acknowledgements of barriers
	CommandsPerSecond     Cost = "orders-per-second" // to the relay, in a busy second
	ProxiesAssigned       Cost = "proxies-bound"     // proxies that have a table
	HollowBytes           Cost = "hollow-bytes"      // of each of many hollow managers in the smallest state
)

// Costs of the propagation of a change of the endpoint list: seconds until half of the managers, 99 in 100, and the last
// have commanded it.
const (
	PropagationMedian Cost = "change-in-force-p50"
	PropagationTail   Cost = "change-in-force-p99"
	PropagationLast   Cost = "change-in-force-last"

	// The same where all managers open just as the change comes.
	PropagationDuringOpeningsMedian Cost = "change-beside-openings-p50"
	PropagationDuringOpeningsTail   Cost = "change-beside-openings-p99"
	PropagationDuringOpeningsLast   Cost = "change-beside-openings-last"

	// The same where two control machines are lost just as the change comes.
	PropagationDuringControlLossMedian Cost = "change-machines-lost-p50"
	PropagationDuringControlLossTail   Cost = "change-machines-lost-p99"
	PropagationDuringControlLossLast   Cost = "change-machines-lost-last"
)

// Costs of the control side for each manager that it serves.
const (
	ControlCPUPerManager     Cost = "control-cpu-per-manager"      // seconds of an opening
	ControlHeapPerManager    Cost = "control-heap-per-manager"     // bytes
	ControlBytesPerManager   Cost = "control-bytes-per-manager"    // bytes of an opening
	ControlConnections       Cost = "control-connections"          // open connections, of all managers
	ControlCPUPerChange      Cost = "control-cpu-per-change"       // seconds of one change written to one manager
	ControlCPUPerQuietSecond Cost = "control-cpu-per-quiet-second" // seconds, in which only heartbeats are written
	OpeningLast              Cost = "opening-last"                 // seconds until the last manager that opens has the complete list
)

// Costs of fleets of real processes on one machine.
const (
	ProcessPropagationMedian Cost = "process-in-force-p50"  // seconds of a change in quiet
	ProcessPropagationLast   Cost = "process-in-force-last" // seconds
	HollowPropagationMedian  Cost = "hollow-in-force-p50"   // seconds of the same, of as many hollow managers with a core each
	HollowPropagationLast    Cost = "hollow-in-force-last"  // seconds

	ProcessReadyMedian Cost = "process-ready-p50"  // seconds until half of the processes, started at once, are ready
	ProcessReadyLast   Cost = "process-ready-last" // seconds

	// ProcessPropagationDuringOpeningsLast is the seconds of a change while all processes start.
	ProcessPropagationDuringOpeningsLast Cost = "process-beside-openings-last"

	ProcessCPUPerQuietSecond Cost = "process-cpu-per-quiet-second" // seconds of each process
	ProcessMemory            Cost = "process-memory"               // bytes, the largest resident set
	ConnectionsMemory        Cost = "connections-memory"           // bytes that a real process takes for its connections
)
