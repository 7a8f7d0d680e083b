package capacity

import "tamarindshore/internal/config"

// Limits of today's code that a plan may pass, whatever it costs. Each stands where Where says.
const (
	maxLineTime            = 2.6   // seconds that a line of the list may take
	maxProxyNumber         = 65536 // proxies of all managers, and proxies' numbers
	maxWaitingHealthChecks = 4096  // servers that are asked at once
	maxTrafficClasses      = 63
	assignmentPart         = 0.75 // of the queue, which the binding of one proxy has to fit
)

// Limit is a fixed bound of today's code, and what the plan asks of it.
type Limit struct {
	What   string
	Bound  float64
	Wanted map[Scope]Figure
	Effect string
	Where  string
}

// Exceeded tells whether the plan passes the limit in a scope.
func (l Limit) Exceeded(scope Scope) bool {
	return l.Wanted[scope].Known && l.Wanted[scope].Value > l.Bound
}

// Limits are the fixed bounds of today's code that a fleet's size may pass.
func (m *Model) Limits() []Limit {
	p := m.Plan
	return []Limit{
		{"bytes of a whole list, which is one line", float64(config.MaxEndpointListBytes(p.Budgets.MemoryMB)), m.perScope(func(s Scope) Figure { return m.openingBytes(p.normalServerCounts(s)) }),
			"a whole list is refused as too long: only changes can be taken", "`config.Limits.LineList`"},
		{"seconds of a whole list, sent at the budget's pace", maxLineTime, m.perScope(func(s Scope) Figure {
			return m.openingBytes(p.normalServerCounts(s)).times(1 / p.Budgets.BytesPerSecond)
		}),
			"the watch counts as silent and is opened again", "`config.Limits.SilentWatch`, `deadlineConn` in `internal/node`"},
		{"lines of a table, all of which the binding of a proxy sends", assignmentPart * float64(p.Managers.QueueCapacity),
			m.perScope(func(s Scope) Figure { return known(m.tableWeights(p.normalServerCounts(s))) }),
			"no binding fits the queue, so no proxy is bound", "`queueUrgent` in `balancer/choice.go`, `room` in `balancer/ledger.go`, blocks by `part`"},
		{"proxies of all managers, and their numbers", maxProxyNumber, m.perScope(func(Scope) Figure {
			return known(float64(p.Managers.Proxies) * float64(p.Fleet.Managers))
		}), "the settings are refused, unless each relay numbers its own proxies", "`domain.proxies` in `internal/platformsettings`, `decoder` in `internal/node`"},
		{"servers asked at once", maxWaitingHealthChecks, m.perScope(func(s Scope) Figure { return known(p.normalServerCounts(s).held) }),
			"a lost fleet is not probed whole", "`config.Limits.ProbesWait`"},
		{"traffic groups", maxTrafficClasses, m.perScope(func(Scope) Figure { return known(float64(p.Managers.TrafficClasses)) }),
			"the settings are refused", "`classes` in `internal/platformsettings`"},
	}
}

// tableLines is how many servers a table names: as many as its flows are spread over. That is all that are held, evenly,
// since a server's target is its share of all of them.
func (m *Model) tableWeights(h serverCounts) float64 {
	return h.held / float64(m.Plan.Managers.ProxyZones) / m.shards()
}

// blocks is into how many tables a zone is divided at most: one for five proxies of a manager, counted as `part` in the
// decisions does, as if they stood evenly in all zones.
func (m *Model) shards() float64 {
	const proxiesPerBlock, serversPerBlock = 5, 4
	perZone := float64(m.Plan.Fleet.Servers) / float64(m.Plan.Fleet.Zones)
	proxies := float64(m.Plan.Managers.Proxies) / float64(m.Plan.Fleet.Zones)
	return max(1, float64(int(min(proxies/proxiesPerBlock, perZone/serversPerBlock))))
}

func (m *Model) perScope(of func(Scope) Figure) map[Scope]Figure {
	all := map[Scope]Figure{}
	for _, scope := range Scopes {
		all[scope] = of(scope)
	}
	return all
}
