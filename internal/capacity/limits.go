package capacity

import "tamarindshore/internal/config"

// Limits of today's code that a plan may exceed, whatever it costs. Limit.Where says where each is.
const (
	maxLineTime            = 2.6   // seconds that a line of the endpoint list may take
	maxProxyNumber         = 65536 // proxies of all managers
	maxWaitingHealthChecks = 4096  // servers that are checked at once
	maxTrafficClasses      = 63
	assignmentPart         = 0.75 // of the queue, into which the assignment of one proxy has to fit
)

// Limit is a fixed bound of today's code, and what the plan asks of it.
type Limit struct {
	What   string
	Bound  float64
	Wanted map[Scope]Figure
	Effect string // of exceeding it
	Where  string // in the code
}

// Exceeded reports whether the plan exceeds the limit in a scope.
func (l Limit) Exceeded(scope Scope) bool {
	return l.Wanted[scope].Known && l.Wanted[scope].Value > l.Bound
}

// Limits are the fixed bounds of today's code that a fleet's size may exceed.
func (m *Model) Limits() []Limit {
	return append(m.listLimits(), m.fleetLimits()...)
}

// listLimits are those of the length of a list or a table.
func (m *Model) listLimits() []Limit {
	p := m.Plan
	listBytes := func(s Scope) Figure { return m.openingBytes(p.normalServerCounts(s)) }
	listSeconds := func(s Scope) Figure { return listBytes(s).times(1 / p.Budgets.BytesPerSecond) }
	tableWeights := func(s Scope) Figure { return known(m.tableWeights(p.normalServerCounts(s))) }
	return []Limit{
		{
			What:   "bytes of a whole list, which is one line",
			Bound:  float64(config.MaxEndpointListBytes(p.Budgets.MemoryMB)),
			Wanted: perScope(listBytes),
			Effect: "a whole list is refused as too long: only changes can be taken",
			Where:  "`config.Limits.MaxEndpointListBytes`",
		},
		{
			What:   "seconds of a whole list, sent at the budget's pace",
			Bound:  maxLineTime,
			Wanted: perScope(listSeconds),
			Effect: "the watch counts as silent and is opened again",
			Where:  "`config.Limits.EndpointWatchIdleTimeout`, `deadlineConn` in `internal/node`",
		},
		{
			What:   "lines of a table, all of which the binding of a proxy sends",
			Bound:  assignmentPart * float64(p.Managers.QueueCapacity),
			Wanted: perScope(tableWeights),
			Effect: "no binding fits the queue, so no proxy is bound",
			Where:  "`queueShareUrgent` in `balancer/flow_control.go`, partitions by `partitionZones` in `balancer/partitioning.go`",
		},
	}
}

// fleetLimits are those of numbers of proxies, servers and classes.
func (m *Model) fleetLimits() []Limit {
	p := m.Plan
	allProxies := func(Scope) Figure { return known(float64(p.Managers.Proxies) * float64(p.Fleet.Managers)) }
	heldServers := func(s Scope) Figure { return known(p.normalServerCounts(s).held) }
	classes := func(Scope) Figure { return known(float64(p.Managers.TrafficClasses)) }
	return []Limit{
		{
			What:   "proxies of all managers, and their numbers",
			Bound:  maxProxyNumber,
			Wanted: perScope(allProxies),
			Effect: "the settings are refused, unless each relay numbers its own proxies",
			Where:  "`domain.proxies` in `internal/platformsettings`, `decoder` in `internal/node`",
		},
		{
			What:   "servers asked at once",
			Bound:  maxWaitingHealthChecks,
			Wanted: perScope(heldServers),
			Effect: "a lost fleet is not probed whole",
			Where:  "`config.Limits.MaxQueuedHealthChecks`",
		},
		{
			What:   "traffic groups",
			Bound:  maxTrafficClasses,
			Wanted: perScope(classes),
			Effect: "the settings are refused",
			Where:  "`maxClasses` in `internal/platformsettings`",
		},
	}
}

// tableWeights is how many servers a table names: as many as its requests are spread over. That is all that are held,
// evenly, since a server's target is its share of all of them.
func (m *Model) tableWeights(counts serverCounts) float64 {
	return counts.held / float64(m.Plan.Managers.ProxyZones) / m.partitionsPerZone()
}

// partitionsPerZone is into how many tables a zone is divided at most: one for five proxies of a manager, counted as
// balancer does, as if they were spread evenly over all zones.
func (m *Model) partitionsPerZone() float64 {
	const proxiesPerPartition = 5
	const serversPerPartition = 4
	perZone := float64(m.Plan.Fleet.Servers) / float64(m.Plan.Fleet.Zones)
	proxies := float64(m.Plan.Managers.Proxies) / float64(m.Plan.Fleet.Zones)
	return max(1, float64(int(min(proxies/proxiesPerPartition, perZone/serversPerPartition))))
}

// perScope works a figure out for each scope.
func perScope(figure func(Scope) Figure) map[Scope]Figure {
	figures := map[Scope]Figure{}
	for _, scope := range Scopes {
		figures[scope] = figure(scope)
	}
	return figures
}
