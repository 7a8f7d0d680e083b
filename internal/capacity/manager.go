package capacity

import "tamarindshore/internal/scale"

// Messages and connections that a manager has whatever the size.
const (
	heartbeatsPerSecond = 2 // of the list's watch and the relay's events
	callsPerSecond      = 1 // a batch a second
	standingConnections = 3 // watch, events, the call in progress
)

// inputs are the messages that a manager receives in a second, by kind.
type inputs struct {
	loadReports  float64
	usageReports float64
	relayEvents  float64
	listMessages float64
	healthChecks float64 // answers
}

// decisions is how many of them the balancer takes, beside the list.
func (in inputs) decisions() float64 {
	return in.loadReports + in.usageReports + in.relayEvents + in.healthChecks
}

// managerInputs is what comes to a manager in a second of a situation.
func (m *Model) managerInputs(s Situation, counts serverCounts) inputs {
	p := m.Plan
	in := inputs{loadReports: p.loadReports(counts), usageReports: p.usageReports()}
	in.relayEvents = m.relayEvents(counts, in)
	in.healthChecks = p.healthChecks(s.Unresponsive * counts.share(s.OutsideHome))
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

// relayEvents is how many events of the relay come a second: mostly acknowledgements of barriers, more where tables
// change more.
func (m *Model) relayEvents(counts serverCounts, in inputs) float64 {
	if !m.Costs.measured(scale.RelayEventsPerSecond) {
		return callsPerSecond
	}
	return max(callsPerSecond, m.cost(scale.RelayEventsPerSecond, m.busySizes(counts, in, 0)).Value)
}

// manager is the load of one manager.
func (m *Model) manager(s Situation, scope Scope) Load {
	p := m.Plan
	counts := p.serverCounts(s, scope)
	in := m.managerInputs(s, counts)
	load := Load{
		State:       stateOf(counts.held, "servers") + ", " + stateOf(float64(p.Managers.Proxies), "proxies"),
		MessagesIn:  known(heartbeatsPerSecond + in.decisions() + in.listMessages),
		MessagesOut: known(callsPerSecond + in.healthChecks),
		Memory:      m.cost(scale.HeapBytes, m.managerSizes(counts)),
		Connections: known(standingConnections + float64(p.Managers.ProxyZones*p.Managers.CollectorsPerZone) + m.openHealthChecks(in.healthChecks)),
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

// managerSizes is the fleet as one manager sees it.
func (m *Model) managerSizes(counts serverCounts) Sizes {
	return Sizes{
		scale.Servers:        counts.held,
		scale.Proxies:        float64(m.Plan.Managers.Proxies),
		scale.Zones:          float64(m.Plan.Fleet.Zones),
		scale.TrafficClasses: float64(m.Plan.Managers.TrafficClasses),
	}
}

// busySizes adds what comes in a second: reports, and changes of the list. A busy second was measured with
// the reference's changes, which are counted at least.
func (m *Model) busySizes(counts serverCounts, in inputs, changes float64) Sizes {
	sizes := m.managerSizes(counts)
	sizes[scale.Reports] = in.loadReports + in.usageReports
	sizes[scale.ListChanges] = max(changes, m.Costs.report.Reference[scale.ListChanges])
	return sizes
}

// quietCore is a second without reports, with changes of the list.
func (m *Model) quietCore(s Situation, counts serverCounts, changes listChanges) Figure {
	quiet := m.cost(scale.CPUPerQuietSecond, m.managerSizes(counts))
	if changes.messages == 0 {
		return quiet
	}
	return quiet.plus(m.listChangeCore(counts, changes.entries).times(changes.messages / s.Window))
}

// busyCore is a second in which reports come too: as measured, or the quiet second and each report's cost. It
// was measured with changes of one entry each; what further entries of a change cost is added.
func (m *Model) busyCore(s Situation, counts serverCounts, in inputs, changes listChanges) Figure {
	if m.Costs.measured(scale.CPUPerBusySecond) {
		busy := m.cost(scale.CPUPerBusySecond, m.busySizes(counts, in, changes.messages/s.Window))
		if changes.entries <= 1 {
			return busy
		}
		further := m.listChangeCore(counts, changes.entries).plus(m.listChangeCore(counts, 1).times(-1))
		return busy.plus(further.times(changes.messages / s.Window))
	}
	return m.quietCore(s, counts, changes).plus(m.cost(scale.CPUPerInput, m.managerSizes(counts)).times(in.loadReports + in.usageReports))
}

// eventCore is what comes beside the second's own work, reports and changes of the list: the relay's events, answers to
// health checks, an opening.
func (m *Model) eventCore(s Situation, counts serverCounts, in inputs) Figure {
	core := m.cost(scale.CPUPerInput, m.managerSizes(counts)).times(in.relayEvents + in.healthChecks)
	if s.Opening != NoOpening {
		core = core.plus(m.openingCore(counts).times(1 / s.Window))
	}
	return core
}

// openingCore is the processor time of an opening. What is sent beyond what is held is decoded, and dropped there. A list
// from the store is counted like one from the wire.
func (m *Model) openingCore(counts serverCounts) Figure {
	opening := m.cost(scale.CPUPerOpening, m.openingSizes(counts))
	if counts.sent <= counts.held {
		return opening
	}
	held := m.cost(scale.CPUPerListRead, m.listSizes(scale.CPUPerListRead, counts.held))
	return opening.plus(m.listReadTime(Subset)).plus(held.times(-1))
}

// openingSizes is what an opening's processor time was measured along.
func (m *Model) openingSizes(counts serverCounts) Sizes {
	if m.Costs.listAxis(scale.CPUPerOpening) == scale.OpeningListSize {
		return Sizes{scale.OpeningListSize: counts.held}
	}
	return m.managerSizes(counts)
}

// openingBytes is a complete list on the wire.
func (m *Model) openingBytes(counts serverCounts) Figure {
	sizes := m.listSizes(scale.BytesOfOpening, counts.sent)
	return m.recordSource(m.Costs.OrPlan(scale.BytesOfOpening, sizes, counts.sent*m.Plan.Messages.ListEntry))
}

// listBytes is what the list costs a manager on the wire.
func (m *Model) listBytes(s Situation, counts serverCounts) Figure {
	if s.NoList {
		return known(0)
	}
	bytes := m.listChangeBytes(m.Plan.listChanges(s, counts.sentShare(s.OutsideHome))).times(1 / s.Window)
	if s.Opening.sendsCompleteList() {
		bytes = bytes.plus(m.openingBytes(counts).times(1 / s.Window))
	}
	return bytes
}

// collectorBytes is what collectors send a manager in a second.
func (m *Model) collectorBytes(in inputs) Figure {
	reports := m.bytesOf(scale.BytesOfReport, m.Plan.Messages.Report).times(in.loadReports)
	return reports.plus(m.bytesOf(scale.BytesOfUsage, m.Plan.Messages.Usage).times(in.usageReports))
}

// relayEventBytes is what the relay's events come to in a second.
func (m *Model) relayEventBytes(in inputs) Figure {
	return m.bytesOf(scale.BytesOfRelayEvent, m.Plan.Messages.RelayEvent).times(in.relayEvents)
}

// heartbeatBytes is what the heartbeats of a watch come to in a second.
func (m *Model) heartbeatBytes() Figure {
	return m.bytesOf(scale.BytesOfHeartbeat, m.Plan.Messages.Heartbeat)
}

// callBytes is what a manager's calls to the relay come to in a second.
func (m *Model) callBytes(counts serverCounts, in inputs, changes float64) Figure {
	return m.bytesAt(scale.BytesOfCalls, m.busySizes(counts, in, changes), m.Plan.Messages.Calls)
}

// healthCheckBytes counts a health check of an unresponsive server as the packet that opens its connection, which nobody
// answers.
func (m *Model) healthCheckBytes(s Situation, in inputs) Figure {
	if s.RecoveringServers > 0 {
		return m.bytesOf(scale.BytesOfHealthCheck, m.Plan.Messages.HealthCheck).times(in.healthChecks)
	}
	return known(m.Plan.Messages.UnansweredHealthCheck * in.healthChecks)
}

// openHealthChecks is how many health checks are in flight at one time.
func (m *Model) openHealthChecks(perSecond float64) float64 {
	return min(float64(m.Plan.Managers.MaxHealthChecks), perSecond*m.Plan.Managers.HealthCheckTimeout.Seconds())
}

// openingCommands is what a manager that starts sends its proxies: the tables of their zones, and an assignment for each.
func (m *Model) openingCommands(s Situation, counts serverCounts) Figure {
	if s.Opening == NoOpening {
		return known(0)
	}
	p := m.Plan
	commands := m.tableWeights(counts)*float64(p.Managers.ProxyZones) + float64(p.Managers.Proxies)
	return known(commands * p.Messages.Command / s.Window)
}
