package capacity

import "math"

// holding is how many servers a manager holds in a situation, and how many it is sent.
type holding struct {
	all  float64 // servers of the fleet
	home float64 // servers of the manager's home zones
	held float64
	sent float64 // at an opening
	// filtered says that changes of servers outside the subset are not sent.
	filtered bool
}

// holding works out what a manager holds.
func (p Plan) holding(s Situation, scope Scope) holding {
	all, home := float64(p.Fleet.Servers), p.home()
	h := holding{all: all, home: home, held: all, sent: all}
	if scope == WholeList {
		return h
	}
	others := float64(p.Subset.Others)
	if scope == CachedSubset {
		h.filtered = true
	} else {
		others = p.widened(s)
	}
	h.held = min(all, math.Ceil(home+others))
	if h.filtered {
		h.sent = h.held
	}
	return h
}

// usual is what a manager holds while nothing is lost.
func (p Plan) usual(scope Scope) holding { return p.holding(Situation{}, scope) }

// home is how many servers stand in a manager's home zones.
func (p Plan) home() float64 { return p.perZone() * float64(p.Subset.HomeZones) }

func (p Plan) perZone() float64 { return float64(p.Fleet.Servers) / float64(p.Fleet.Zones) }

// widened is how many servers of other zones a subset holds: it doubles while too few of them can be reached.
func (p Plan) widened(s Situation) float64 {
	others, elsewhere := float64(p.Subset.Others), float64(p.Fleet.Servers)-p.home()
	if elsewhere <= 0 || others == 0 {
		return 0
	}
	reachable := max(0, elsewhere-s.Silent) / elsewhere
	needed := p.Subset.WidenBelow * others
	for s.Homeless && others < elsewhere && others*reachable < needed {
		others *= 2
	}
	return min(others, elsewhere)
}

// share is the part of some servers that a manager holds; elsewhere says that none of them stands in its home.
func (h holding) share(elsewhere bool) float64 {
	if h.held >= h.all || !elsewhere {
		return h.held / h.all
	}
	return max(0, h.held-h.home) / (h.all - h.home)
}

// sentShare is the part of the list's changes that reaches a manager on the wire.
func (h holding) sentShare(elsewhere bool) float64 {
	if h.filtered {
		return h.share(elsewhere)
	}
	return 1
}

// holders is how many managers hold a server.
func (p Plan) holders(h holding) float64 { return float64(p.Fleet.Managers) * h.held / h.all }

// requestsPerManager is how many requests a second come to a manager's proxies. None of them comes to the manager.
func (p Plan) requestsPerManager() float64 {
	return p.Fleet.RequestsPerSecond / float64(p.Fleet.Managers)
}

// reports is how many collectors' lines on servers a manager hears a second: one for each zone of its proxies and each
// server that a request met within the interval, were requests spread evenly over all servers that it holds.
func (p Plan) reports(h holding) float64 {
	zones, interval := float64(p.Managers.ProxyZones), p.Managers.ReportInterval.Seconds()
	tries := p.requestsPerManager() * p.Managers.TriesPerRequest * interval
	return zones * occupied(h.held, tries/zones) / interval
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
