package balancer

import "time"

// EndpointWeight sets a server's weight in a table; 0 removes the server from it.
type EndpointWeight struct {
	Table  TableID
	Server ServerID
	Weight float64
}

// AdmissionLevel sets what a table admits of the classes of a bit mask, and their retry policy.
type AdmissionLevel struct {
	Table   TableID
	Classes uint
	Amount  float64 // in Settings.AdmissionUnit
	Retry   RetryPolicy
}

// TableAssignment puts a proxy on a table for the classes of a bit mask.
type TableAssignment struct {
	Proxy   ProxyID
	Table   TableID
	Classes uint // 0: all
}

// ZoneLocalTables is the offset of the tables for zone-local classes: a table's zone-local part, which names only
// servers of its proxies' zone, has the table's number plus this.
const ZoneLocalTables TableID = 1 << 15

// Commands are the effects of one input, to be carried out in the order of the fields.
type Commands struct {
	Withdraw        []ServerID // from all tables that proxies hold
	Weights         []EndpointWeight
	AdmissionLevels []AdmissionLevel
	Restore         []ServerID // in all tables that name them
	Assign          []TableAssignment
	Barrier         BarrierID // 0: none
	HealthCheck     []ServerID
	Subscribe       bool          // to the endpoint list
	NextTimer       time.Duration // when HandleTimer is due, since the manager's start; 0: as before
	LogRecords      []LogRecord
}

// Count is the number of commands for proxies, without the barrier.
func (c Commands) Count() int {
	return len(c.Withdraw) + len(c.Weights) + len(c.AdmissionLevels) + len(c.Restore) + len(c.Assign)
}
