// Package capacity calculates the load of each role in a planned fleet from the planned sizes and measured cost slopes,
// and compares it with the budgets of the plan. It reads files and writes tables, measures nothing, and must never be
// imported by the daemon.
package capacity

import "time"

// Scope says which part of the server list a manager holds, and where the rest is dropped.
type Scope string

// Scopes, in the order of the tables.
const (
	WholeList    Scope = "whole-list"      // every manager is sent and holds all servers
	Subset       Scope = "subset"          // every manager is sent all servers and drops those outside its subset when decoding
	CachedSubset Scope = "subset-at-cache" // a watch cache sends each manager only its subset
)

// Scopes lists all scopes in the order of the tables.
var Scopes = []Scope{WholeList, Subset, CachedSubset}

// Plan holds the sizes and budgets of a fleet, and assumptions for figures that are neither measured nor given.
type Plan struct {
	Fleet        Fleet
	Budgets      Budgets
	Day          Day
	Events       Events
	Control      ControlMachines
	Managers     Managers
	Subset       SubsetSize
	Messages     MessageBytes
	VerdictScope Scope // the scope whose exceeded budgets decide the verdict
}

// Fleet holds the planned sizes.
type Fleet struct {
	Managers          int
	Servers           int
	Services          int
	RequestsPerSecond float64 // at the peak
	Routes            int
	Tenants           int
	Regions           int
	Zones             int
}

// Budgets holds the limits on latency and resource use. Core, memory and bytes apply to one manager.
type Budgets struct {
	RequestTail    time.Duration // latency added to a request, 99th percentile
	MaxPropagation time.Duration // from a change of the list until the last manager has sent the resulting commands
	Core           float64       // fraction of one core
	MemoryMB       float64
	BytesPerSecond float64
}

// Day describes the events of an ordinary day and how unevenly they are spread.
type Day struct {
	Failures          int
	Restarts          int
	Changes           int     // configuration changes
	EntriesPerFailure float64 // list entries that change with one failure
	EntriesPerRestart float64 // list entries that change with one restart
	EntriesPerChange  float64 // list entries that change with one configuration change
	BusyHour          float64 // fraction of the day's changed entries that fall into the busiest hour
	Batch             int     // entries that change at the same time
}

// Events describes failures beyond those of an ordinary day.
type Events struct {
	RegionCut time.Duration // how long a region is cut off from the others
}

// ControlMachines describes the machines that run discovery. Their size is an assumption because no budget covers it.
type ControlMachines struct {
	Count          int
	Cores          int
	MemoryMB       float64
	BytesPerSecond float64
}

// Managers holds the assumptions about one manager and its surroundings.
type Managers struct {
	Proxies             int // per manager
	ProxyZones          int // zones that contain these proxies
	TrafficClasses      int
	AttemptsPerRequest  float64
	ListStored          bool          // whether each manager keeps its last endpoint list in its store
	ReadInterval        time.Duration // between reads of the connections from collectors and the relay; 0: data is read as soon as it arrives
	ReportInterval      time.Duration // interval over which a collector sums up its reports
	CollectorsPerZone   int
	RelaysPerZone       int
	QueueCapacity       int // commands that may wait in a manager's channel
	HealthCheckInterval time.Duration
	HealthCheckTimeout  time.Duration
	MaxHealthChecks     int // health checks in flight at one time
}

// SubsetSize describes the subset of the list that a manager holds.
type SubsetSize struct {
	HomeZones    int     // zones of which a manager holds all servers
	OtherServers int     // servers of other zones, spread evenly
	WidenBelow   float64 // the subset doubles while less than this fraction of its other servers is reachable
}

// MessageBytes holds assumed message sizes, used where no slope was measured.
type MessageBytes struct {
	Report                float64
	Usage                 float64
	RelayEvent            float64
	ListEntry             float64
	HealthCheck           float64 // including the answer
	UnansweredHealthCheck float64
	Heartbeat             float64 // heartbeats of one second
	Calls                 float64 // calls of one second
	Command               float64 // one command within a call
}
