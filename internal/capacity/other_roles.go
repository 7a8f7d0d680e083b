package capacity

import "tamarindshore/internal/scale"

// The roles of this file belong to others than this project: what they receive and send is calculated from the
// managers' side, and their own processor time and memory are not measured.

// relay carries the calls of the managers of its zone to their proxies.
func (m *Model) relay(s Situation, scope Scope) Load {
	p := m.Plan
	managers := p.perRelay()
	counts := p.serverCounts(s, scope)
	in := m.managerInputs(s, counts)
	calls := m.callBytes(counts, in, p.listChanges(s, counts.share(s.OutsideHome)).messages/s.Window).plus(m.openingCommands(s, counts))
	return Load{
		State:       stateOf(managers*float64(p.Managers.Proxies), "proxies") + ", " + stateOf(managers, "managers"),
		MessagesIn:  known(managers * callsPerSecond),
		MessagesOut: known(managers * in.relayEvents),
		BytesIn:     calls.times(managers),
		BytesOut:    m.relayEventBytes(in).times(managers),
		Connections: known(managers * (2 + float64(p.Managers.Proxies))),
	}
}

// perRelay is how many managers one relay serves.
func (p Plan) perRelay() float64 {
	return float64(p.Fleet.Managers) / float64(p.Fleet.Zones*p.Managers.RelaysPerZone)
}

// collector reports to the managers of its zone what their proxies met.
func (m *Model) collector(s Situation, scope Scope) Load {
	p := m.Plan
	managers := float64(p.Fleet.Managers*p.Managers.ProxyZones) / float64(p.Fleet.Zones)
	part := 1 / float64(p.Managers.ProxyZones*p.Managers.CollectorsPerZone)
	sent := inputs{loadReports: p.loadReports(p.serverCounts(s, scope)) * part, usageReports: p.usageReports() * part}
	requests := p.Fleet.RequestsPerSecond / float64(p.Fleet.Zones*p.Managers.CollectorsPerZone)
	return Load{
		State:       stateOf(requests, "requests a second"),
		MessagesIn:  Figure{},
		MessagesOut: known(managers * sent.decisions()),
		BytesIn:     Figure{},
		BytesOut:    m.collectorBytes(sent).times(managers),
		Connections: known(managers),
	}
}

// proxy holds the table of its zone.
func (m *Model) proxy(s Situation, scope Scope) Load {
	p := m.Plan
	counts := p.serverCounts(s, scope)
	requests := p.requestsPerManager() / float64(p.Managers.Proxies)
	commands := known(0)
	if s.Opening != NoOpening {
		commands = known((m.tableWeights(counts) + 1) * p.Messages.Command / s.Window)
	}
	return Load{
		State:       stateOf(m.tableWeights(counts), "lines at most") + ", " + stateOf(requests, "requests a second"),
		MessagesIn:  known(callsPerSecond),
		MessagesOut: known(callsPerSecond),
		BytesIn:     commands,
		BytesOut:    m.bytesOf(scale.BytesOfRelayEvent, p.Messages.RelayEvent),
		Connections: known(1 + m.tableWeights(counts)),
	}
}

// server answers requests, and the health checks of all managers that hold it and find it unresponsive, or back.
func (m *Model) server(s Situation, scope Scope) Load {
	p := m.Plan
	holders := p.holders(p.normalServerCounts(scope))
	probes := 0.0
	if s.Unresponsive > 0 || s.RecoveringServers > 0 {
		probes = holders / p.Managers.HealthCheckInterval.Seconds()
	}
	requests := p.Fleet.RequestsPerSecond / float64(p.Fleet.Servers)
	return Load{
		State:       stateOf(requests, "requests a second") + ", held by " + stateOf(holders, "managers"),
		MessagesIn:  known(probes),
		MessagesOut: known(probes),
		BytesIn:     m.bytesOf(scale.BytesOfHealthCheck, p.Messages.HealthCheck).times(probes),
		BytesOut:    Figure{},
		Connections: Figure{},
	}
}
