package capacity

import "tamarindshore/internal/scale"

// Messages and connections that a manager has whatever the size.
const (
	heartbeatsPerSecond = 2 // of the list's watch and the relay's news
	callsPerSecond      = 1 // a batch a second
	standingConnections = 3 // watch, news, the call under way
)

// inputs are the messages that a manager takes in, a second.
type inputs struct {
	reports, usages, news, listLines, probes float64
}

// decisions is how many of them the decisions hear, beside the list.
func (in inputs) decisions() float64 { return in.reports + in.usages + in.news + in.probes }

func (m *Model) managerInputs(s Situation, scope Scope) inputs {
	p := m.Plan
	in := inputs{reports: p.reports(scope), usages: p.usages(), news: callsPerSecond}
	in.probes = p.probes(s.Silent * p.share(scope, s.Homeless))
	if s.Recovering > 0 {
		in.probes += s.Recovering * p.share(scope, s.Homeless) / s.Window
	}
	if s.Opens {
		in.news += float64(p.Managers.Proxies) / s.Window
		in.listLines = 1 / s.Window
	}
	if s.Resumes > 0 {
		in.listLines = 1 / s.Window
	}
	if s.Changes > 0 {
		in.listLines = s.Changes * p.sentShare(scope, s.Homeless) / s.Window
	}
	return in
}

func (m *Model) manager(s Situation, scope Scope) Load {
	p, in := m.Plan, m.managerInputs(s, scope)
	load := Load{
		State:       stateOf(p.held(scope), "servers") + ", " + stateOf(float64(p.Managers.Proxies), "proxies"),
		MessagesIn:  known(heartbeatsPerSecond + in.decisions() + in.listLines),
		MessagesOut: known(callsPerSecond + in.probes),
		Memory:      m.cost(scale.HeapBytes, m.managerSizes(scope)),
		Connections: known(standingConnections + float64(p.Managers.ProxyZones*p.Managers.CollectorsPerZone) + m.openProbes(in.probes)),
	}
	load.CollectorBytes = m.collectorLines(in)
	load.BytesIn = m.listBytes(s, scope).plus(load.CollectorBytes).plus(m.newsBytes(in)).plus(m.heartbeats())
	load.BytesOut = m.bytesAt(scale.BytesOfCalls, m.managerSizes(scope), p.Messages.Calls).plus(m.probeBytes(s, in)).plus(m.openingOrders(s, scope))
	load.Core = m.managerCore(s, scope, in)
	in.reports, in.usages = 0, 0
	load.CoreWithoutCollectors = m.managerCore(s, scope, in)
	return load
}

// managerSizes is the fleet as one manager sees it.
func (m *Model) managerSizes(scope Scope) Sizes {
	return Sizes{
		scale.Servers:       m.Plan.held(scope),
		scale.Proxies:       float64(m.Plan.Managers.Proxies),
		scale.Zones:         float64(m.Plan.Fleet.Zones),
		scale.TrafficGroups: float64(m.Plan.Managers.TrafficGroups),
	}
}

func (m *Model) managerCore(s Situation, scope Scope, in inputs) Figure {
	p, sizes := m.Plan, m.managerSizes(scope)
	core := m.cost(scale.CPUPerQuietSecond, sizes)
	core = core.plus(m.cost(scale.CPUPerInput, sizes).times(in.decisions()))
	heard := s.Changes*p.share(scope, s.Homeless) + s.Resumes*p.share(scope, false)
	core = core.plus(m.cost(scale.CPUPerListChange, sizes).times(heard / s.Window))
	if s.Opens {
		opening := m.cost(scale.CPUPerOpening, m.listSizes(scale.CPUPerOpening, p.held(scope)))
		core = core.plus(opening.times(1 / s.Window))
	}
	return core
}

func (m *Model) opening(scope Scope) Figure {
	entries := m.Plan.sent(scope)
	s := m.Costs.OrPlan(scale.BytesOfOpening, m.listSizes(scale.BytesOfOpening, entries), entries*m.Plan.Messages.ListEntry)
	return m.keep(s)
}

// listBytes is what the list costs a manager on the wire.
func (m *Model) listBytes(s Situation, scope Scope) Figure {
	if s.NoList {
		return known(0)
	}
	entries := s.Changes*m.Plan.sentShare(scope, s.Homeless) + s.Resumes*m.Plan.sentShare(scope, false)
	bytes := m.bytesOf(scale.BytesOfListChange, m.Plan.Messages.ListEntry).times(entries / s.Window)
	if s.Opens {
		bytes = bytes.plus(m.opening(scope).times(1 / s.Window))
	}
	return bytes
}

func (m *Model) collectorLines(in inputs) Figure {
	reports := m.bytesOf(scale.BytesOfReport, m.Plan.Messages.Report).times(in.reports)
	return reports.plus(m.bytesOf(scale.BytesOfUsage, m.Plan.Messages.Usage).times(in.usages))
}

func (m *Model) newsBytes(in inputs) Figure {
	return m.bytesOf(scale.BytesOfNews, m.Plan.Messages.News).times(in.news)
}

func (m *Model) heartbeats() Figure {
	return m.bytesOf(scale.BytesOfHeartbeat, m.Plan.Messages.Heartbeat)
}

// probeBytes counts a silent server's probe as the packet that opens its connection, which nobody answers.
func (m *Model) probeBytes(s Situation, in inputs) Figure {
	if s.Recovering > 0 {
		return m.bytesOf(scale.BytesOfProbe, m.Plan.Messages.Probe).times(in.probes)
	}
	return known(m.Plan.Messages.UnansweredProbe * in.probes)
}

func (m *Model) openProbes(perSecond float64) float64 {
	return min(float64(m.Plan.Managers.ProbesOpen), perSecond*m.Plan.Managers.ProbeTimeout.Seconds())
}

// openingOrders is what a manager that starts tells its proxies: the tables of their zones, and a binding for each.
func (m *Model) openingOrders(s Situation, scope Scope) Figure {
	if !s.Opens {
		return known(0)
	}
	p := m.Plan
	orders := m.tableLines(scope)*float64(p.Managers.ProxyZones) + float64(p.Managers.Proxies)
	return known(orders * p.Messages.Order / s.Window)
}

// tableLines is how many servers a table names.
func (m *Model) tableLines(scope Scope) float64 {
	return min(m.Plan.held(scope), float64(m.Plan.Managers.TableLines))
}
