package capacity

import "math"

// serverCounts is how many servers a manager holds in a situation, and how many it is sent.
type serverCounts struct {
	fleet float64 // servers of the fleet
	home  float64 // servers of the manager's home zones
	held  float64
	sent  float64 // at an opening
	// filtered says that changes of servers outside the subset are not sent.
	filtered bool
}

// serverCounts works out what a manager holds.
func (p Plan) serverCounts(s Situation, scope Scope) serverCounts {
	all := float64(p.Fleet.Servers)
	home := p.home()
	counts := serverCounts{fleet: all, home: home, held: all, sent: all}
	if scope == WholeList {
		return counts
	}
	others := float64(p.Subset.Others)
	if scope == CachedSubset {
		counts.filtered = true
	} else {
		others = p.widened(s)
	}
	counts.held = min(all, math.Ceil(home+others))
	if counts.filtered {
		counts.sent = counts.held
	}
	return counts
}

// normalServerCounts is what a manager holds while nothing is lost.
func (p Plan) normalServerCounts(scope Scope) serverCounts { return p.serverCounts(Situation{}, scope) }

// home is how many servers are in a manager's home zones.
func (p Plan) home() float64 { return p.perZone() * float64(p.Subset.HomeZones) }

func (p Plan) perZone() float64 { return float64(p.Fleet.Servers) / float64(p.Fleet.Zones) }

// widened is how many servers of other zones a subset holds: it doubles while too few of them can be reached.
func (p Plan) widened(s Situation) float64 {
	others := float64(p.Subset.Others)
	elsewhere := float64(p.Fleet.Servers) - p.home()
	if elsewhere <= 0 || others == 0 {
		return 0
	}
	reachable := max(0, elsewhere-s.Unresponsive) / elsewhere
	needed := p.Subset.WidenBelow * others
	for s.OutsideHome && others < elsewhere && others*reachable < needed {
		others *= 2
	}
	return min(others, elsewhere)
}

// share is the part of some servers that a manager holds; elsewhere says that none of them is in its home zones.
func (counts serverCounts) share(elsewhere bool) float64 {
	if counts.held >= counts.fleet || !elsewhere {
		return counts.held / counts.fleet
	}
	return max(0, counts.held-counts.home) / (counts.fleet - counts.home)
}

// sentShare is the part of the list's changes that reaches a manager on the wire.
func (counts serverCounts) sentShare(elsewhere bool) float64 {
	if counts.filtered {
		return counts.share(elsewhere)
	}
	return 1
}

// holders is how many managers hold a server.
func (p Plan) holders(counts serverCounts) float64 {
	return float64(p.Fleet.Managers) * counts.held / counts.fleet
}

// requestsPerManager is how many requests a second come to a manager's proxies. None of them comes to the manager.
func (p Plan) requestsPerManager() float64 {
	return p.Fleet.RequestsPerSecond / float64(p.Fleet.Managers)
}

// loadReports is how many load reports a manager gets a second: one for each zone of its proxies and each
// server that a request met within the interval, were requests spread evenly over all servers that it holds.
func (p Plan) loadReports(counts serverCounts) float64 {
	zones := float64(p.Managers.ProxyZones)
	interval := p.Managers.ReportInterval.Seconds()
	tries := p.requestsPerManager() * p.Managers.AttemptsPerRequest * interval
	return zones * expectedOccupied(counts.held, tries/zones) / interval
}

// usageReports is how many usage reports a manager gets a second: one for each proxy and traffic class that a
// request came to within the interval.
func (p Plan) usageReports() float64 {
	interval := p.Managers.ReportInterval.Seconds()
	return expectedOccupied(float64(p.Managers.Proxies*p.Managers.TrafficClasses), p.requestsPerManager()*interval) / interval
}

// healthChecks is how many health checks a manager sends a second while so many of the servers that it holds are silent.
func (p Plan) healthChecks(silent float64) float64 {
	most := float64(p.Managers.MaxHealthChecks) / p.Managers.HealthCheckTimeout.Seconds()
	return min(silent/p.Managers.HealthCheckInterval.Seconds(), most)
}
