package capacity

import "tamarindshore/internal/scale"

// Messages and connections of a manager that do not depend on the size of the fleet.
const (
	heartbeatsPerSecond  = 2 // one on the list watch and one on the event stream of the relay
	callsPerSecond       = 1 // commands are sent in one batch per second
	permanentConnections = 3 // list watch, relay events, and the call in progress
)

// inputs holds the number of messages that a manager receives per second, by kind.
type inputs struct {
	loadReports  float64
	usageReports float64
	relayEvents  float64
	listMessages float64
	healthChecks float64 // answers to health checks
}

// decisions returns the number of inputs that the balancer processes per second, except messages of the list.
func (in inputs) decisions() float64 {
	return in.loadReports + in.usageReports + in.relayEvents + in.healthChecks
}

// managerInputs returns the messages that a manager receives per second in a situation.
func (m *Model) managerInputs(s Situation, counts serverCounts) inputs {
	p := m.Plan
	in := inputs{loadReports: p.loadReportRate(counts), usageReports: p.usageReportRate()}
	in.relayEvents = m.relayEvents(counts, in)
	in.healthChecks = p.healthCheckRate(s.Unresponsive * counts.share(s.OutsideHome))
	if s.RecoveringServers > 0 {
		in.healthChecks += s.RecoveringServers * counts.share(s.OutsideHome) / s.Window
	}
	if s.Opening != NoOpening {
		in.relayEvents += float64(p.Managers.Proxies) / s.Window
	}
	if s.Opening.sendsCompleteList() {
		in.listMessages = 1 / s.Window
	}
	in.listMessages += p.listChanges(s, counts.sentShare(s.OutsideHome)).messages / s.Window
	return in
}

// relayEvents returns the relay events per second. Most are acknowledgements of barriers, whose number grows with the
// changes of tables.
func (m *Model) relayEvents(counts serverCounts, in inputs) float64 {
	if !m.Costs.measured(scale.RelayEventsPerSecond) {
		return callsPerSecond
	}
	return max(callsPerSecond, m.cost(scale.RelayEventsPerSecond, m.busySizes(counts, in, 0)).Value)
}

// manager returns the load of one manager.
func (m *Model) manager(s Situation, scope Scope) Load {
	p := m.Plan
	counts := p.serverCounts(s, scope)
	in := m.managerInputs(s, counts)
	load := Load{
		State:       formatCount(counts.held, "servers") + ", " + formatCount(float64(p.Managers.Proxies), "proxies"),
		MessagesIn:  known(heartbeatsPerSecond + in.decisions() + in.listMessages),
		MessagesOut: known(callsPerSecond + in.healthChecks),
		Memory:      m.cost(scale.HeapBytes, m.managerSizes(counts)),
		Connections: known(permanentConnections + float64(p.Managers.ProxyZones*p.Managers.CollectorsPerZone) +
			m.openHealthChecks(in.healthChecks)),
	}
	load.CollectorBytes = m.collectorBytes(in)
	load.BytesIn = m.listBytes(s, counts).plus(load.CollectorBytes).plus(m.relayEventBytes(in)).plus(m.heartbeatBytes())
	received := p.listChanges(s, counts.share(s.OutsideHome))
	load.BytesOut = m.callBytes(counts, in, received.messages/s.Window).plus(m.healthCheckBytes(s, in)).plus(m.openingCommands(s, counts))
	eventCore := m.eventCore(s, counts, in)
	load.Core = m.busyCore(s, counts, in, received).plus(eventCore).plus(m.processOverhead(busyState))
	load.CoreWithoutCollectors = m.quietCore(s, counts, received).plus(eventCore).plus(m.processOverhead(quietState))
	return load
}

// managerSizes returns the sizes of the fleet as one manager sees it.
func (m *Model) managerSizes(counts serverCounts) Sizes {
	return Sizes{
		scale.Servers:        counts.held,
		scale.Proxies:        float64(m.Plan.Managers.Proxies),
		scale.Zones:          float64(m.Plan.Fleet.Zones),
		scale.TrafficClasses: float64(m.Plan.Managers.TrafficClasses),
	}
}

// busySizes returns managerSizes with the rates of reports and list changes added. Busy seconds were measured with the
// list changes of the reference, so at least that many are counted.
func (m *Model) busySizes(counts serverCounts, in inputs, changes float64) Sizes {
	sizes := m.managerSizes(counts)
	sizes[scale.Reports] = in.loadReports + in.usageReports
	sizes[scale.ListChanges] = max(changes, m.Costs.report.Reference[scale.ListChanges])
	return sizes
}

// quietCore returns the processor time of a second with list changes but without reports.
func (m *Model) quietCore(s Situation, counts serverCounts, changes listChanges) Figure {
	quiet := m.cost(scale.CPUPerQuietSecond, m.managerSizes(counts))
	if changes.messages == 0 {
		return quiet
	}
	return quiet.plus(m.listChangeCore(counts, changes.entries).times(changes.messages / s.Window))
}

// busyCore returns the processor time of a second with reports and list changes. Without a measurement of busy seconds
// it is the quiet second plus the cost of each report. Busy seconds were measured with one entry per change; the cost
// of additional entries is added.
func (m *Model) busyCore(s Situation, counts serverCounts, in inputs, changes listChanges) Figure {
	if m.Costs.measured(scale.CPUPerBusySecond) {
		busy := m.cost(scale.CPUPerBusySecond, m.busySizes(counts, in, changes.messages/s.Window))
		if changes.entries <= 1 {
			return busy
		}
		additional := m.listChangeCore(counts, changes.entries).plus(m.listChangeCore(counts, 1).times(-1))
		return busy.plus(additional.times(changes.messages / s.Window))
	}
	return m.quietCore(s, counts, changes).plus(m.cost(scale.CPUPerInput, m.managerSizes(counts)).times(in.loadReports + in.usageReports))
}

// eventCore returns the processor time of everything except reports, list changes and the fixed work of a second:
// relay events, answers to health checks, and an opening.
func (m *Model) eventCore(s Situation, counts serverCounts, in inputs) Figure {
	core := m.cost(scale.CPUPerInput, m.managerSizes(counts)).times(in.relayEvents + in.healthChecks)
	if s.Opening != NoOpening {
		core = core.plus(m.openingCore(counts).times(1 / s.Window))
	}
	return core
}

// openingCore returns the processor time of an opening. It includes decoding the entries that are sent but not held. A
// list from the store costs as much as one from the wire.
func (m *Model) openingCore(counts serverCounts) Figure {
	opening := m.cost(scale.CPUPerOpening, m.openingSizes(counts))
	if counts.sent <= counts.held {
		return opening
	}
	heldListReadTime := m.cost(scale.CPUPerListRead, m.listSizes(scale.CPUPerListRead, counts.held))
	return opening.plus(m.listReadTime(Subset)).plus(heldListReadTime.times(-1))
}

// openingSizes returns the sizes along which the processor time of an opening was measured.
func (m *Model) openingSizes(counts serverCounts) Sizes {
	if m.Costs.listSizeAxis(scale.CPUPerOpening) == scale.OpeningListSize {
		return Sizes{scale.OpeningListSize: counts.held}
	}
	return m.managerSizes(counts)
}

// openingBytes returns the bytes of a complete list on the wire.
func (m *Model) openingBytes(counts serverCounts) Figure {
	sizes := m.listSizes(scale.BytesOfOpening, counts.sent)
	return m.recordSource(m.Costs.AtOrAssumed(scale.BytesOfOpening, sizes, counts.sent*m.Plan.Messages.ListEntry))
}

// listBytes returns the bytes of the list that a manager receives per second.
func (m *Model) listBytes(s Situation, counts serverCounts) Figure {
	if s.ListUnavailable {
		return known(0)
	}
	bytes := m.listChangeBytes(m.Plan.listChanges(s, counts.sentShare(s.OutsideHome))).times(1 / s.Window)
	if s.Opening.sendsCompleteList() {
		bytes = bytes.plus(m.openingBytes(counts).times(1 / s.Window))
	}
	return bytes
}

// collectorBytes returns the bytes that collectors send to a manager per second.
func (m *Model) collectorBytes(in inputs) Figure {
	reports := m.bytesOf(scale.BytesOfReport, m.Plan.Messages.Report).times(in.loadReports)
	return reports.plus(m.bytesOf(scale.BytesOfUsage, m.Plan.Messages.Usage).times(in.usageReports))
}

// relayEventBytes returns the bytes of relay events per second.
func (m *Model) relayEventBytes(in inputs) Figure {
	return m.bytesOf(scale.BytesOfRelayEvent, m.Plan.Messages.RelayEvent).times(in.relayEvents)
}

// heartbeatBytes returns the bytes of the heartbeats of a watch per second.
func (m *Model) heartbeatBytes() Figure {
	return m.bytesOf(scale.BytesOfHeartbeat, m.Plan.Messages.Heartbeat)
}

// callBytes returns the bytes of a manager's calls to the relay per second.
func (m *Model) callBytes(counts serverCounts, in inputs, changes float64) Figure {
	return m.bytesAt(scale.BytesOfCalls, m.busySizes(counts, in, changes), m.Plan.Messages.Calls)
}

// healthCheckBytes returns the bytes of health checks per second. The check of an unresponsive server counts as the
// packet that opens its connection and gets no answer.
func (m *Model) healthCheckBytes(s Situation, in inputs) Figure {
	if s.RecoveringServers > 0 {
		return m.bytesOf(scale.BytesOfHealthCheck, m.Plan.Messages.HealthCheck).times(in.healthChecks)
	}
	return known(m.Plan.Messages.UnansweredHealthCheck * in.healthChecks)
}

// openHealthChecks returns how many health checks are in flight at one time.
func (m *Model) openHealthChecks(perSecond float64) float64 {
	return min(float64(m.Plan.Managers.MaxHealthChecks), perSecond*m.Plan.Managers.HealthCheckTimeout.Seconds())
}

// openingCommands returns the bytes per second of the commands that a starting manager sends to its proxies: the
// tables of their zones, and one assignment per proxy.
func (m *Model) openingCommands(s Situation, counts serverCounts) Figure {
	if s.Opening == NoOpening {
		return known(0)
	}
	p := m.Plan
	commands := m.tableWeights(counts)*float64(p.Managers.ProxyZones) + float64(p.Managers.Proxies)
	return known(commands * p.Messages.Command / s.Window)
}
