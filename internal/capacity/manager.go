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

func (m *Model) managerInputs(s Situation, h holding) inputs {
	p := m.Plan
	in := inputs{reports: p.reports(h), usages: p.usages(), news: callsPerSecond}
	in.probes = p.probes(s.Silent * h.share(s.Homeless))
	if s.Recovering > 0 {
		in.probes += s.Recovering * h.share(s.Homeless) / s.Window
	}
	if s.Opens {
		in.news += float64(p.Managers.Proxies) / s.Window
		in.listLines = 1 / s.Window
	}
	if s.Resumes > 0 {
		in.listLines = 1 / s.Window
	}
	if s.Changes > 0 {
		in.listLines = s.Changes * h.sentShare(s.Homeless) / s.Window
	}
	return in
}

func (m *Model) manager(s Situation, scope Scope) Load {
	p, h := m.Plan, m.Plan.holding(s, scope)
	in := m.managerInputs(s, h)
	load := Load{
		State:       stateOf(h.held, "servers") + ", " + stateOf(float64(p.Managers.Proxies), "proxies"),
		MessagesIn:  known(heartbeatsPerSecond + in.decisions() + in.listLines),
		MessagesOut: known(callsPerSecond + in.probes),
		Memory:      m.cost(scale.HeapBytes, m.managerSizes(h)),
		Connections: known(standingConnections + float64(p.Managers.ProxyZones*p.Managers.CollectorsPerZone) + m.openProbes(in.probes)),
	}
	load.CollectorBytes = m.collectorLines(in)
	load.BytesIn = m.listBytes(s, h).plus(load.CollectorBytes).plus(m.newsBytes(in)).plus(m.heartbeats())
	load.BytesOut = m.calls(h, in).plus(m.probeBytes(s, in)).plus(m.openingOrders(s, h))
	eventCore := m.eventCore(s, h, in)
	load.Core = m.busyCore(h, in).plus(eventCore)
	load.CoreWithoutCollectors = m.cost(scale.CPUPerQuietSecond, m.managerSizes(h)).plus(eventCore)
	return load
}

// managerSizes is the fleet as one manager sees it.
func (m *Model) managerSizes(h holding) Sizes {
	return Sizes{
		scale.Servers:       h.held,
		scale.Proxies:       float64(m.Plan.Managers.Proxies),
		scale.Zones:         float64(m.Plan.Fleet.Zones),
		scale.TrafficGroups: float64(m.Plan.Managers.TrafficGroups),
	}
}

// busySizes adds what comes in a second, without changes of the list, which are counted apart.
func (m *Model) busySizes(h holding, in inputs) Sizes {
	sizes := m.managerSizes(h)
	sizes[scale.Reports] = in.reports + in.usages
	sizes[scale.ListChanges] = 0
	return sizes
}

// busyCore is a second in which collectors' lines come: as measured, or the quiet second and each line's cost.
func (m *Model) busyCore(h holding, in inputs) Figure {
	if m.Costs.measured(scale.CPUPerBusySecond) {
		return m.cost(scale.CPUPerBusySecond, m.busySizes(h, in))
	}
	quiet := m.cost(scale.CPUPerQuietSecond, m.managerSizes(h))
	return quiet.plus(m.cost(scale.CPUPerInput, m.managerSizes(h)).times(in.reports + in.usages))
}

// eventCore is what comes beside the second's own work and collectors' lines: answers, changes of the list, an opening.
func (m *Model) eventCore(s Situation, h holding, in inputs) Figure {
	sizes := m.managerSizes(h)
	core := m.cost(scale.CPUPerInput, sizes).times(in.news + in.probes)
	heard := s.Changes*h.share(s.Homeless) + s.Resumes*h.share(false)
	core = core.plus(m.cost(scale.CPUPerListChange, sizes).times(heard / s.Window))
	if s.Opens {
		core = core.plus(m.cost(scale.CPUPerOpening, m.openingSizes(h)).times(1 / s.Window))
	}
	return core
}

// openingSizes is what an opening's processor time was measured along.
func (m *Model) openingSizes(h holding) Sizes {
	if m.Costs.listAxis(scale.CPUPerOpening) == scale.OpeningListSize {
		return Sizes{scale.OpeningListSize: h.held}
	}
	return m.managerSizes(h)
}

func (m *Model) opening(h holding) Figure {
	sizes := m.listSizes(scale.BytesOfOpening, h.sent)
	return m.keep(m.Costs.OrPlan(scale.BytesOfOpening, sizes, h.sent*m.Plan.Messages.ListEntry))
}

// listBytes is what the list costs a manager on the wire.
func (m *Model) listBytes(s Situation, h holding) Figure {
	if s.NoList {
		return known(0)
	}
	entries := s.Changes*h.sentShare(s.Homeless) + s.Resumes*h.sentShare(false)
	bytes := m.bytesOf(scale.BytesOfListChange, m.Plan.Messages.ListEntry).times(entries / s.Window)
	if s.Opens {
		bytes = bytes.plus(m.opening(h).times(1 / s.Window))
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

func (m *Model) calls(h holding, in inputs) Figure {
	return m.bytesAt(scale.BytesOfCalls, m.busySizes(h, in), m.Plan.Messages.Calls)
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
func (m *Model) openingOrders(s Situation, h holding) Figure {
	if !s.Opens {
		return known(0)
	}
	p := m.Plan
	orders := m.tableLines(h)*float64(p.Managers.ProxyZones) + float64(p.Managers.Proxies)
	return known(orders * p.Messages.Order / s.Window)
}

// tableLines is how many servers a table names.
func (m *Model) tableLines(h holding) float64 {
	return min(h.held, float64(m.Plan.Managers.TableLines))
}
