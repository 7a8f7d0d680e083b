package capacity

import "math"

// serverCounts says how many servers a manager holds in a situation and how many it is sent.
type serverCounts struct {
	fleet float64 // servers of the whole fleet
	home  float64 // servers in the manager's home zones
	held  float64 // servers that the manager holds
	sent  float64 // servers in the complete list that the manager is sent at an opening
	// filtered reports whether changes of servers outside the subset are not sent to the manager.
	filtered bool
}

// serverCounts calculates how many servers a manager holds and is sent in a situation.
func (p Plan) serverCounts(s Situation, scope Scope) serverCounts {
	fleet := float64(p.Fleet.Servers)
	home := p.homeServers()
	counts := serverCounts{fleet: fleet, home: home, held: fleet, sent: fleet}
	if scope == WholeList {
		return counts
	}
	others := float64(p.Subset.OtherServers)
	if scope == CachedSubset {
		counts.filtered = true
	} else {
		others = p.otherServers(s)
	}
	counts.held = min(fleet, math.Ceil(home+others))
	if counts.filtered {
		counts.sent = counts.held
	}
	return counts
}

// normalServerCounts returns the server counts while all servers respond and are reachable.
func (p Plan) normalServerCounts(scope Scope) serverCounts { return p.serverCounts(Situation{}, scope) }

// homeServers returns the number of servers in the home zones of a manager.
func (p Plan) homeServers() float64 { return p.serversPerZone() * float64(p.Subset.HomeZones) }

// serversPerZone returns the mean number of servers in a zone.
func (p Plan) serversPerZone() float64 { return float64(p.Fleet.Servers) / float64(p.Fleet.Zones) }

// otherServers returns how many servers outside the home zones a subset holds. The number doubles while too few of
// them are reachable.
func (p Plan) otherServers(s Situation) float64 {
	others := float64(p.Subset.OtherServers)
	outsideHome := float64(p.Fleet.Servers) - p.homeServers()
	if outsideHome <= 0 || others == 0 {
		return 0
	}
	reachable := max(0, outsideHome-s.Unresponsive) / outsideHome
	needed := p.Subset.WidenBelow * others
	for s.OutsideHome && others < outsideHome && others*reachable < needed {
		others *= 2
	}
	return min(others, outsideHome)
}

// share returns the fraction of some servers that a manager holds. With outsideHome, none of those servers is in its
// home zones.
func (counts serverCounts) share(outsideHome bool) float64 {
	if counts.held >= counts.fleet || !outsideHome {
		return counts.held / counts.fleet
	}
	return max(0, counts.held-counts.home) / (counts.fleet - counts.home)
}

// sentShare returns the fraction of the list changes that are sent to a manager.
func (counts serverCounts) sentShare(outsideHome bool) float64 {
	if counts.filtered {
		return counts.share(outsideHome)
	}
	return 1
}

// managersPerServer returns how many managers hold a given server.
func (p Plan) managersPerServer(counts serverCounts) float64 {
	return float64(p.Fleet.Managers) * counts.held / counts.fleet
}

// requestsPerManager returns the requests per second at the proxies of one manager. The manager itself receives none
// of them.
func (p Plan) requestsPerManager() float64 {
	return p.Fleet.RequestsPerSecond / float64(p.Fleet.Managers)
}

// loadReportRate returns the load reports per second that a manager receives. In each interval there is one for each
// zone of its proxies and each server that received a request, assuming requests spread evenly over all held servers.
func (p Plan) loadReportRate(counts serverCounts) float64 {
	zones := float64(p.Managers.ProxyZones)
	interval := p.Managers.ReportInterval.Seconds()
	attempts := p.requestsPerManager() * p.Managers.AttemptsPerRequest * interval
	return zones * expectedOccupied(counts.held, attempts/zones) / interval
}

// usageReportRate returns the usage reports per second that a manager receives. In each interval there is one for each
// proxy and traffic class that received a request.
func (p Plan) usageReportRate() float64 {
	interval := p.Managers.ReportInterval.Seconds()
	return expectedOccupied(float64(p.Managers.Proxies*p.Managers.TrafficClasses), p.requestsPerManager()*interval) / interval
}

// healthCheckRate returns the health checks per second that a manager sends if the given number of its servers is
// unresponsive.
func (p Plan) healthCheckRate(unresponsive float64) float64 {
	limit := float64(p.Managers.MaxHealthChecks) / p.Managers.HealthCheckTimeout.Seconds()
	return min(unresponsive/p.Managers.HealthCheckInterval.Seconds(), limit)
}
