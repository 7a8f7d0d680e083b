package capacity

import "tamarindshore/internal/config"

// Fixed limits of the current code, which a plan may exceed even if it is within its budgets. Limit.Where says where each
// limit is in the code.
const (
	maxListMessageSeconds = 2.6   // seconds within which one message of the endpoint list must arrive completely
	maxProxies            = 65536 // total number of proxies of all managers
	maxQueuedHealthChecks = 4096  // health checks that may wait to be sent
	maxTrafficClasses     = 63
	assignmentQueueShare  = 0.75 // fraction of the queue into which the assignment of one proxy must fit
)

// Limit is a fixed bound of the current code, with the value that the plan requires.
type Limit struct {
	Name     string
	Bound    float64
	Required map[Scope]Figure
	Effect   string // what happens if the limit is exceeded
	Where    string // where the limit is in the code
}

// Exceeded reports whether the plan exceeds the limit in a scope.
func (l Limit) Exceeded(scope Scope) bool {
	return l.Required[scope].Known && l.Required[scope].Value > l.Bound
}

// Limits returns the fixed bounds of the current code that the size of a fleet may exceed.
func (m *Model) Limits() []Limit {
	return append(m.listLimits(), m.fleetLimits()...)
}

// listLimits returns the limits on the length of a list or a table.
func (m *Model) listLimits() []Limit {
	p := m.Plan
	listBytes := func(s Scope) Figure { return m.openingBytes(p.normalServerCounts(s)) }
	listSeconds := func(s Scope) Figure { return listBytes(s).times(1 / p.Budgets.BytesPerSecond) }
	tableWeights := func(s Scope) Figure { return known(m.tableWeights(p.normalServerCounts(s))) }
	return []Limit{
		{
			Name:     "bytes of a whole list, which is one line",
			Bound:    float64(config.MaxEndpointListBytes(p.Budgets.MemoryMB)),
			Required: perScope(listBytes),
			Effect:   "a whole list is refused as too long: only changes can be taken",
			Where:    "`config.Limits.MaxEndpointListBytes`",
		},
		{
			Name:     "seconds of a whole list, sent at the budget's pace",
			Bound:    maxListMessageSeconds,
			Required: perScope(listSeconds),
			Effect:   "the watch counts as silent and is opened again",
			Where:    "`config.Limits.EndpointWatchIdleTimeout`, `deadlineConn` in `internal/node`",
		},
		{
			Name:     "lines of a table, all of which the binding of a proxy sends",
			Bound:    assignmentQueueShare * float64(p.Managers.QueueCapacity),
			Required: perScope(tableWeights),
			Effect:   "no binding fits the queue, so no proxy is bound",
			Where:    "`queueShareUrgent` in `balancer/flow_control.go`, partitions by `partitionZones` in `balancer/partitioning.go`",
		},
	}
}

// fleetLimits returns the limits on the number of proxies, servers and traffic classes.
func (m *Model) fleetLimits() []Limit {
	p := m.Plan
	allProxies := func(Scope) Figure { return known(float64(p.Managers.Proxies) * float64(p.Fleet.Managers)) }
	heldServers := func(s Scope) Figure { return known(p.normalServerCounts(s).held) }
	classes := func(Scope) Figure { return known(float64(p.Managers.TrafficClasses)) }
	return []Limit{
		{
			Name:     "proxies of all managers, and their numbers",
			Bound:    maxProxies,
			Required: perScope(allProxies),
			Effect:   "the settings are refused, unless each relay numbers its own proxies",
			Where:    "`domain.proxies` in `internal/platformsettings`, `decoder` in `internal/node`",
		},
		{
			Name:     "servers asked at once",
			Bound:    maxQueuedHealthChecks,
			Required: perScope(heldServers),
			Effect:   "a lost fleet is not probed whole",
			Where:    "`config.Limits.MaxQueuedHealthChecks`",
		},
		{
			Name:     "traffic groups",
			Bound:    maxTrafficClasses,
			Required: perScope(classes),
			Effect:   "the settings are refused",
			Where:    "`maxClasses` in `internal/platformsettings`",
		},
	}
}

// tableWeights returns the number of servers in a table. All held servers are divided evenly among the tables of all zones
// with proxies, because the target load of a server is its share of the whole load.
func (m *Model) tableWeights(counts serverCounts) float64 {
	return counts.held / float64(m.Plan.Managers.ProxyZones) / m.partitionsPerZone()
}

// partitionsPerZone returns the maximum number of tables that a zone is divided into: one for every five proxies of a
// manager, and at most one for every four servers. As in package balancer, the proxies count as spread evenly over all
// zones.
func (m *Model) partitionsPerZone() float64 {
	const proxiesPerPartition = 5
	const serversPerPartition = 4
	perZone := float64(m.Plan.Fleet.Servers) / float64(m.Plan.Fleet.Zones)
	proxies := float64(m.Plan.Managers.Proxies) / float64(m.Plan.Fleet.Zones)
	return max(1, float64(int(min(proxies/proxiesPerPartition, perZone/serversPerPartition))))
}

// perScope returns the result of the function for each scope.
func perScope(figure func(Scope) Figure) map[Scope]Figure {
	figures := map[Scope]Figure{}
	for _, scope := range Scopes {
		figures[scope] = figure(scope)
	}
	return figures
}
