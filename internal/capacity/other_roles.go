package capacity

import "tamarindshore/internal/scale"

// The roles in this file are not part of this project. What they receive and send is calculated from the managers' side;
// their own processor time and memory are not measured.

// relay returns the load of a relay, which forwards the calls of the managers in its zone to their proxies.
func (m *Model) relay(s Situation, scope Scope) Load {
	p := m.Plan
	managers := p.managersPerRelay()
	counts := p.serverCounts(s, scope)
	in := m.managerInputs(s, counts)
	calls := m.callBytes(counts, in, p.listChanges(s, counts.share(s.OutsideHome)).messages/s.Window).plus(m.openingCommands(s, counts))
	return Load{
		State:       formatCount(managers*float64(p.Managers.Proxies), "proxies") + ", " + formatCount(managers, "managers"),
		MessagesIn:  known(managers * callsPerSecond),
		MessagesOut: known(managers * in.relayEvents),
		BytesIn:     calls.times(managers),
		BytesOut:    m.relayEventBytes(in).times(managers),
		Connections: known(managers * (2 + float64(p.Managers.Proxies))),
	}
}

// managersPerRelay returns how many managers one relay serves.
func (p Plan) managersPerRelay() float64 {
	return float64(p.Fleet.Managers) / float64(p.Fleet.Zones*p.Managers.RelaysPerZone)
}

// collector returns the load of a collector, which reports the requests of its zone's proxies to their managers.
func (m *Model) collector(s Situation, scope Scope) Load {
	p := m.Plan
	managers := float64(p.Fleet.Managers*p.Managers.ProxyZones) / float64(p.Fleet.Zones)
	share := 1 / float64(p.Managers.ProxyZones*p.Managers.CollectorsPerZone)
	sent := inputs{loadReports: p.loadReportRate(p.serverCounts(s, scope)) * share, usageReports: p.usageReportRate() * share}
	requests := p.Fleet.RequestsPerSecond / float64(p.Fleet.Zones*p.Managers.CollectorsPerZone)
	return Load{
		State:       formatCount(requests, "requests a second"),
		MessagesIn:  Figure{},
		MessagesOut: known(managers * sent.decisions()),
		BytesIn:     Figure{},
		BytesOut:    m.collectorBytes(sent).times(managers),
		Connections: known(managers),
	}
}

// proxy returns the load of a proxy, which holds the table of its zone.
func (m *Model) proxy(s Situation, scope Scope) Load {
	p := m.Plan
	counts := p.serverCounts(s, scope)
	requests := p.requestsPerManager() / float64(p.Managers.Proxies)
	commands := known(0)
	if s.Opening != NoOpening {
		commands = known((m.tableWeights(counts) + 1) * p.Messages.Command / s.Window)
	}
	return Load{
		State:       formatCount(m.tableWeights(counts), "lines at most") + ", " + formatCount(requests, "requests a second"),
		MessagesIn:  known(callsPerSecond),
		MessagesOut: known(callsPerSecond),
		BytesIn:     commands,
		BytesOut:    m.bytesOf(scale.BytesOfRelayEvent, p.Messages.RelayEvent),
		Connections: known(1 + m.tableWeights(counts)),
	}
}

// server returns the load of a server, which answers requests, and health checks of all managers that hold it while it
// is unresponsive or recovering.
func (m *Model) server(s Situation, scope Scope) Load {
	p := m.Plan
	managers := p.managersPerServer(p.normalServerCounts(scope))
	healthChecks := 0.0
	if s.Unresponsive > 0 || s.RecoveringServers > 0 {
		healthChecks = managers / p.Managers.HealthCheckInterval.Seconds()
	}
	requests := p.Fleet.RequestsPerSecond / float64(p.Fleet.Servers)
	return Load{
		State:       formatCount(requests, "requests a second") + ", held by " + formatCount(managers, "managers"),
		MessagesIn:  known(healthChecks),
		MessagesOut: known(healthChecks),
		BytesIn:     m.bytesOf(scale.BytesOfHealthCheck, p.Messages.HealthCheck).times(healthChecks),
		BytesOut:    Figure{},
		Connections: Figure{},
	}
}
