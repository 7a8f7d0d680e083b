package balancer

import "time"

// EndpointWeight sets a server's weight in a table; 0 removes the server from the table.
type EndpointWeight struct {
	Table  TableID
	Server ServerID
	Weight float64
}

// AdmissionLevel sets the admission level and the retry policy of some traffic classes in a table.
type AdmissionLevel struct {
	Table   TableID
	Classes uint    // bit mask
	Amount  float64 // in Settings.AdmissionUnit
	Retry   RetryPolicy
}

// TableAssignment makes a proxy use a table for some traffic classes.
type TableAssignment struct {
	Proxy   ProxyID
	Table   TableID
	Classes uint // bit mask; 0: all classes
}

// ZoneLocalTables is the offset between the number of a table and that of its zone-local part, which names only servers
// in its proxies' zone and is used by zone-local classes.
const ZoneLocalTables TableID = 1 << 15

// Commands are the output for one input; they must be carried out in the order of the fields.
type Commands struct {
	Withdraw        []ServerID // withdraw from all tables that proxies use
	Weights         []EndpointWeight
	AdmissionLevels []AdmissionLevel
	Restore         []ServerID // end the withdrawal in all tables that name the server
	Assign          []TableAssignment
	Barrier         BarrierID     // barrier after the commands above; 0: none
	HealthCheck     []ServerID    // servers to send a health check to
	Subscribe       bool          // subscribe to the endpoint list
	NextTimer       time.Duration // when to call HandleTimer, relative to the manager's start; 0: unchanged
	LogRecords      []LogRecord
}

// Count returns the number of commands for proxies, not counting the barrier.
func (c Commands) Count() int {
	return len(c.Withdraw) + len(c.Weights) + len(c.AdmissionLevels) + len(c.Restore) + len(c.Assign)
}
