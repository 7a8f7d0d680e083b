package capacity

import "math"

// held is how many servers a manager holds.
func (p Plan) held(scope Scope) float64 {
	if scope == WholeList {
		return float64(p.Fleet.Servers)
	}
	return min(float64(p.Fleet.Servers), math.Ceil(p.home()+float64(p.Subset.Others)))
}

// home is how many servers stand in a manager's home zones.
func (p Plan) home() float64 {
	return float64(p.Fleet.Servers) / float64(p.Fleet.Zones) * float64(p.Subset.HomeZones)
}

// sent is how many servers a manager is sent at an opening.
func (p Plan) sent(scope Scope) float64 {
	if scope == CachedSubset {
		return p.held(scope)
	}
	return float64(p.Fleet.Servers)
}

// holders is how many managers hold a server.
func (p Plan) holders(scope Scope) float64 {
	return float64(p.Fleet.Managers) * p.held(scope) / float64(p.Fleet.Servers)
}

// share is the part of so many servers that a manager holds; elsewhere says that none of them stands in its home.
func (p Plan) share(scope Scope, elsewhere bool) float64 {
	all, held := float64(p.Fleet.Servers), p.held(scope)
	if scope == WholeList || !elsewhere {
		return held / all
	}
	if all <= p.home() {
		return 0
	}
	return max(0, held-p.home()) / (all - p.home())
}

// sentShare is the part of the list's changes that reaches a manager on the wire.
func (p Plan) sentShare(scope Scope, elsewhere bool) float64 {
	if scope == CachedSubset {
		return p.share(scope, elsewhere)
	}
	return 1
}

// requestsPerManager is how many requests a second come to a manager's proxies. None of them comes to the manager.
func (p Plan) requestsPerManager() float64 {
	return p.Fleet.RequestsPerSecond / float64(p.Fleet.Managers)
}

// reports is how many collectors' lines on servers a manager hears a second: one for each zone of its proxies and each
// server that a request met within the interval, were requests spread evenly over all servers that it holds.
func (p Plan) reports(scope Scope) float64 {
	zones, interval := float64(p.Managers.ProxyZones), p.Managers.ReportInterval.Seconds()
	tries := p.requestsPerManager() * p.Managers.TriesPerRequest * interval
	return zones * occupied(p.held(scope), tries/zones) / interval
}

// usages is how many collectors' lines on proxies a manager hears a second: one for each proxy and traffic group that a
// request came to within the interval.
func (p Plan) usages() float64 {
	interval := p.Managers.ReportInterval.Seconds()
	return occupied(float64(p.Managers.Proxies*p.Managers.TrafficGroups), p.requestsPerManager()*interval) / interval
}

// probes is how many probes a manager sends a second while so many of the servers that it holds are silent.
func (p Plan) probes(silent float64) float64 {
	most := float64(p.Managers.ProbesOpen) / p.Managers.ProbeTimeout.Seconds()
	return min(silent/p.Managers.ProbeInterval.Seconds(), most)
}
