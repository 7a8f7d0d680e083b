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

// Plan is the size of a fleet, its budgets, and what is assumed where neither a slope nor the fleet's owner tells.
type Plan struct {
	Fleet    Fleet
	Budgets  Budgets
	Day      Day
	Events   Events
	Control  ControlMachines
	Managers Managers
	Subset   SubsetSize
	Messages MessageBytes
	Judged   Scope // whose passed budgets make the verdict
}

// Fleet is the size that is planned for.
type Fleet struct {
	Managers, Servers, Services int
	RequestsPerSecond           float64 // at the peak
	Routes, Tenants             int
	Regions, Zones              int
}

// Budgets are the most that may be spent. Those on a core, memory and bytes hold for one manager.
type Budgets struct {
	RequestTail    time.Duration // added to a request, 99 in 100
	MaxPropagation time.Duration // from a change told until the last manager's orders carry it
	Core           float64       // part of one core
	MemoryMB       float64
	BytesPerSecond float64
}

// Day is an ordinary day: how much happens, and how unevenly.
type Day struct {
	Failures, Restarts, Changes int
	EntriesPerFailure           float64 // changes of the list that one failure brings
	EntriesPerRestart           float64
	EntriesPerChange            float64
	BusyHour                    float64 // part of the day's list changes that its busiest hour holds
	Batch                       int     // list changes that come together
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
	Proxies             int // that one manager steers
	ProxyZones          int // zones in which they stand
	TrafficClasses      int
	AttemptsPerRequest  float64
	ListStored          bool          // each keeps the list as last held in its store
	ReadInterval        time.Duration // between reads of what collectors and the relay tell; 0: each is made at once
	ReportInterval      time.Duration // over which a collector sums
	CollectorsPerZone   int
	RelaysPerZone       int
	QueueCapacity       int // lines that may wait in a manager's channel
	HealthCheckInterval time.Duration
	HealthCheckTimeout  time.Duration
	MaxHealthChecks     int
}

// SubsetSize is the division of the list that subsetting makes.
type SubsetSize struct {
	HomeZones  int     // zones whose servers a manager holds whole
	Others     int     // servers of other zones, spread evenly
	WidenBelow float64 // of them: with fewer in reach the subset doubles
}

// MessageBytes are sizes that stand in where no slope tells of them.
type MessageBytes struct {
	Report, Usage, RelayEvent, ListEntry, HealthCheck, UnansweredHealthCheck, Heartbeat, Calls, Command float64
}
