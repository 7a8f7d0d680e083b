package balancer

import (
	"cmp"
	"math"
	"time"
)

// startUnknown is the start time of a server that is not listed as recently started.
const startUnknown time.Duration = math.MinInt64

// HandleEndpointList processes the endpoint list: the whole list if complete is set, otherwise the changed entries.
func (m *Manager) HandleEndpointList(now time.Duration, complete bool, endpoints []Endpoint) Commands {
	m.now = now
	listed := map[ServerID]bool{}
	for _, endpoint := range endpoints {
		listed[endpoint.Server] = true
		m.updateEndpoint(endpoint, complete)
	}
	for _, s := range m.servers {
		if complete && !listed[s.id] {
			m.setListedState(s, Removed)
		}
	}
	m.listReceived = true
	m.publication.outdated = true
	m.redistribution = endpointsChanged
	m.serverSetsValid = false
	if len(m.unassigned) > 0 && len(m.currentServerSets().leaving) > 0 {
		m.publication.urgent = true
		m.endDistributionWait()
	}
	return m.decide()
}

// updateEndpoint applies one entry of the endpoint list.
func (m *Manager) updateEndpoint(endpoint Endpoint, complete bool) {
	started := startUnknown
	if endpoint.RecentlyStarted {
		started = endpoint.Started
	}
	warmUpFrom := m.now
	if started < 0 { // started before this manager: a restart of the manager must not restart all warm-ups
		warmUpFrom = max(started, m.now-m.warmUpDuration)
	}
	s := m.server(endpoint.Server)
	if s == nil {
		s = m.addServer(endpoint)
		s.listedStart = started
		s.warmUpFrom = warmUpFrom
		s.warmingUp = endpoint.RecentlyStarted && (m.now-started < m.warmUpDuration || !complete)
		// A list may name servers that do not exist. A server that was not in the first list therefore gets no
		// requests until it passes a health check.
		s.ejected = m.healthChecks && m.listReceived
	} else if started > s.listedStart {
		m.restartWarmUp(s, started, warmUpFrom)
	}
	if m.weightsFollowLoad {
		s.weight = endpoint.Weight
	}
	m.setListedState(s, endpoint.State)
}

// restartWarmUp handles the restart of a known server's process. The list may not have reported that the old process
// ended, so the server's published weights are lowered immediately.
func (m *Manager) restartWarmUp(s *server, started, warmUpFrom time.Duration) {
	s.listedStart = started
	s.warmingUp = true
	s.warmUpFrom = warmUpFrom
	s.health = 1
	s.inFlight = inFlightUnknown
	s.reports = nil
	s.lastSeen = m.now
	s.ejected = s.ejected && m.healthChecks
	m.publication.urgent = m.publication.urgent || !s.withdrawn
}

// setListedState applies a server's state in the endpoint list. If removed servers may serve, a removal alone does not
// stop requests to the server: it keeps getting them until a health check fails as well. A server that was draining
// before its removal stays withdrawn.
func (m *Manager) setListedState(s *server, state ServerState) {
	if state != Removed || s.state == Ready {
		s.state = state
	}
	if state == Removed {
		s.removedAt = cmp.Or(s.removedAt, m.now)
	} else {
		s.removedAt = 0
	}
	if state == Ready {
		s.leavingSince = 0
	} else {
		s.leavingSince = cmp.Or(s.leavingSince, m.now)
		m.drainPending = true
	}
	if s.ejected || s.state == Removed {
		m.checkServer(s)
	}
}

// HandleEndpointListError processes a failure to read the endpoint list; the manager subscribes again after
// tickInterval.
func (m *Manager) HandleEndpointListError(now time.Duration) Commands {
	m.now = now
	m.subscribed = false
	m.subscribeAfter = now + tickInterval
	return m.decide()
}

// HandleProxyConnected processes the connection of a proxy, which announces its requests per second. A proxy whose
// disconnection was not reported keeps its usage and the messages that count against its limit, and, if its zone is the
// same, its partition.
func (m *Manager) HandleProxyConnected(now time.Duration, id ProxyID, zone ZoneID, announcedRate float64) Commands {
	m.now = now
	p := &proxy{
		id:            id,
		zone:          m.zoneIndex(zone),
		announcedRate: announcedRate,
		connectedAt:   now,
		usage:         make([][]sample, len(m.latencyObjectives)),
	}
	p.partition = m.partitionForProxy(p.zone)
	if previous := m.proxy(id); previous != nil {
		p.usage = previous.usage
		p.messageTimes = previous.messageTimes
		if p.zone == previous.zone {
			p.partition = previous.partition
			// Commands for its table still reach it, so channel capacity must be reserved for it too.
			p.mayUseOldTable = previous.assigned || previous.mayUseOldTable
		}
		m.removeProxy(previous)
	}
	m.addProxy(p)
	m.newProxyTable = m.tables[p.partition]
	return m.decide()
}

// HandleProxyDisconnected processes the disconnection of a proxy.
func (m *Manager) HandleProxyDisconnected(now time.Duration, id ProxyID) Commands {
	m.now = now
	if p := m.proxy(id); p != nil {
		m.removeProxy(p)
	}
	return m.decide()
}

// HandleLoadReport processes a report of the attempts that one zone's proxies made at a server.
func (m *Manager) HandleLoadReport(now time.Duration, report LoadReport) Commands {
	m.now = now
	s := m.server(report.Server)
	if s == nil || report.Attempts <= 0 {
		return m.decide()
	}
	s.recordInFlight(now, report.InFlight)
	m.inFlightReported = m.inFlightReported || report.InFlight >= 0
	m.lastReportAt = now
	s.reports = lastN(append(s.reports, receivedReport{report, now}), maxSamples)
	if report.Failed < report.Attempts {
		s.lastSeen = now
	}
	if report.Attempts >= minAttempts {
		m.zonePairs[m.zoneIndex(report.Zone)][s.zone].record(report)
	}
	return m.decide()
}

// HandleUsageReport processes a report of the requests of one traffic class that a proxy received.
func (m *Manager) HandleUsageReport(now time.Duration, report UsageReport) Commands {
	m.now = now
	p := m.proxy(report.Proxy)
	if p != nil && report.Interval > 0 && int(report.Class) < len(m.latencyObjectives) {
		usage := &p.usage[report.Class]
		latest := sample{at: now, value: float64(report.Requests), seconds: report.Interval.Seconds()}
		*usage = lastN(append(*usage, latest), maxSamples)
		m.usageReported = true
	}
	return m.decide()
}

// HandleHealthCheck processes the result of a health check, its duration, and the in-flight requests that the server
// reported, which are negative if it reported none.
func (m *Manager) HandleHealthCheck(now time.Duration, id ServerID, result HealthCheckResult, took time.Duration, inFlight float64) Commands {
	m.now = now
	s := m.server(id)
	if s == nil || !m.mayServe(s) {
		return m.decide()
	}
	m.recordCheckDuration(result, took)
	s.recordInFlight(now, inFlight)
	s.unreachable = result == HealthCheckUnreachable
	s.checkEndedAt = now
	unresponsive := s.state == Removed || now-s.lastSeen >= unresponsiveAfter
	switch {
	case result >= HealthCheckTimedOut && !s.ejected && unresponsive:
		m.eject(s, serverUnresponsive)
		m.suspectZone(s.zone)
	case result == HealthCheckPassed && s.ejected:
		m.endEjection(s)
	}
	return m.decide()
}

// HandleBarrierAck processes a proxy's acknowledgement of a barrier, which shows that commands have left the channel.
func (m *Manager) HandleBarrierAck(now time.Duration, id ProxyID, barrier BarrierID) Commands {
	m.now = now
	m.acknowledge(id, barrier)
	return m.decide()
}

// HandleTimer processes the expiry of the timer set by Commands.NextTimer.
func (m *Manager) HandleTimer(now time.Duration) Commands {
	m.now = now
	return m.decide()
}
