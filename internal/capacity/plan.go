// Package capacity works out what each role of a planned fleet has to carry, from a plan of its size and from measured
// slopes of cost, and holds it against the plan's budgets. It reads files and makes tables; it measures nothing, and it
// must never be imported by the daemon.
package capacity

import "time"

// Scope says which part of the server list a manager holds, and where the rest is dropped.
type Scope string

// Scopes, in the order of the tables.
const (
	WholeList    Scope = "whole-list"      // every manager is sent and holds all servers
	Subset       Scope = "subset"          // every manager is sent all servers, and drops those outside its subset when it decodes
	CachedSubset Scope = "subset-at-cache" // a watch cache sends each manager its subset alone
)

// Scopes are all scopes in the order of the tables.
var Scopes = []Scope{WholeList, Subset, CachedSubset}

// Plan is the size of a fleet, its budgets, and what is assumed where it is neither measured nor given.
type Plan struct {
	Fleet    Fleet
	Budgets  Budgets
	Day      Day
	Events   Events
	Control  ControlMachines
	Managers Managers
	Subset   SubsetSize
	Messages MessageBytes
	Judged   Scope // whose exceeded budgets make the verdict
}

// Fleet is the size that is planned for.
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

// Budgets are the most that may be spent. Core, memory and bytes are those of one manager.
type Budgets struct {
	RequestTail    time.Duration // added to a request, 99th percentile
	MaxPropagation time.Duration // from a change of the list until the last manager has commanded it
	Core           float64       // part of one core
	MemoryMB       float64
	BytesPerSecond float64
}

// Day is an ordinary day: how much happens, and how unevenly.
type Day struct {
	Failures          int
	Restarts          int
	Changes           int     // of configuration
	EntriesPerFailure float64 // that one failure changes on the list
	EntriesPerRestart float64
	EntriesPerChange  float64
	BusyHour          float64 // part of the day's changed entries that fall into its busiest hour
	Batch             int     // changed entries that come together
}

// Events are the failures beyond an ordinary day.
type Events struct {
	RegionCut time.Duration
}

// ControlMachines are the machines set aside for control. Their size is an assumption, as no budget names it.
type ControlMachines struct {
	Count          int
	Cores          int
	MemoryMB       float64
	BytesPerSecond float64
}

// Managers holds what is assumed of one manager and of those around it.
type Managers struct {
	Proxies             int // of one manager
	ProxyZones          int // in which they are
	TrafficClasses      int
	AttemptsPerRequest  float64
	ListStored          bool          // each keeps the last endpoint list in its store
	ReadInterval        time.Duration // between reads of the connections of collectors and the relay; 0: each is read at once
	ReportInterval      time.Duration // over which a collector sums
	CollectorsPerZone   int
	RelaysPerZone       int
	QueueCapacity       int // commands that may wait in a manager's channel
	HealthCheckInterval time.Duration
	HealthCheckTimeout  time.Duration
	MaxHealthChecks     int
}

// SubsetSize is the division of the list that subsetting makes.
type SubsetSize struct {
	HomeZones  int     // zones of which a manager holds all servers
	Others     int     // servers of other zones, spread evenly
	WidenBelow float64 // part of the others: while fewer can be reached the subset doubles
}

// MessageBytes are sizes of messages that are assumed where no slope has them.
type MessageBytes struct {
	Report                float64
	Usage                 float64
	RelayEvent            float64
	ListEntry             float64
	HealthCheck           float64 // with its answer
	UnansweredHealthCheck float64
	Heartbeat             float64 // of a second
	Calls                 float64 // of a second
	Command               float64 // within a call
}
