package balancer

import (
	"cmp"
	"math"
	"time"
)

// startUnknown is the start of a server that started long ago.
const startUnknown time.Duration = math.MinInt64

// HandleEndpointList takes the endpoint list: all of it (complete), or what changed.
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
	m.publication.listChanged = true
	m.redistribution = endpointsChanged
	m.serverSetsValid = false
	if len(m.unassigned) > 0 && len(m.sets().leaving) > 0 {
		m.publication.urgent = true
		m.endDistributionWait()
	}
	return m.decide()
}

// updateEndpoint takes over one entry of the list.
func (m *Manager) updateEndpoint(endpoint Endpoint, complete bool) {
	started := startUnknown
	if endpoint.RecentlyStarted {
		started = endpoint.Started
	}
	warmUpFrom := m.now
	if started < 0 { // before this manager's start, so that its restart does not begin all warm-ups anew
		warmUpFrom = max(started, m.now-m.warmUpDuration)
	}
	s := m.server(endpoint.Server)
	if s == nil {
		s = m.addServer(endpoint)
		s.listedStart = started
		s.warmUpFrom = warmUpFrom
		s.warmingUp = endpoint.RecentlyStarted && (m.now-started < m.warmUpDuration || !complete)
		// A list may name servers that do not exist: one that the first list did not name gets requests only after
		// it passes a health check.
		s.ejected = m.healthChecks && m.listReceived
	} else if started > s.listedStart {
		m.restartWarmUp(s, started, warmUpFrom)
	}
	if m.weightsFollowLoad {
		s.weight = endpoint.Weight
	}
	m.setListedState(s, endpoint.State)
}

// restartWarmUp takes that a known server's process restarted. Its end may not have been listed, so its published
// weights are lowered at once.
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

// setListedState takes what the list says of a server. Where removed servers may serve, a removal is one witness and
// a health check the other: until one fails the server keeps its requests. A server that drained before it was removed
// stays withdrawn.
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

// HandleEndpointListError takes that the endpoint list could not be read: it is asked for again after an interval.
func (m *Manager) HandleEndpointListError(now time.Duration) Commands {
	m.now = now
	m.subscribed = false
	m.pollAfter = now + tickInterval
	return m.decide()
}

// HandleProxyConnected takes that a proxy connected, and the requests per second that it announced. A proxy whose
// disconnection was not reported keeps its partition, its usage and the messages that count against its limit.
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
			// commands for its table still reach it, so that they must be reserved for it too
			p.mayHoldTable = previous.assigned || previous.mayHoldTable
		}
		m.removeProxy(previous)
	}
	m.addProxy(p)
	m.connectedTable = m.tables[p.partition]
	return m.decide()
}

// HandleProxyDisconnected takes that a proxy disconnected.
func (m *Manager) HandleProxyDisconnected(now time.Duration, id ProxyID) Commands {
	m.now = now
	if p := m.proxy(id); p != nil {
		m.removeProxy(p)
	}
	return m.decide()
}

// HandleLoadReport takes what one zone's proxies met at a server.
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

// HandleUsageReport takes how many requests of one traffic class came to a proxy.
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

// HandleHealthCheck takes the result of a health check, how long it took, and the requests in flight that the server
// told; below 0 where it told none.
func (m *Manager) HandleHealthCheck(now time.Duration, id ServerID, result HealthCheckResult, took time.Duration, inFlight float64) Commands {
	m.now = now
	s := m.server(id)
	if s == nil || !m.mayServe(s) {
		return m.decide()
	}
	m.recordCheckTime(result, took)
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

// HandleBarrierAck takes that the commands up to a barrier have left the channel to a proxy.
func (m *Manager) HandleBarrierAck(now time.Duration, id ProxyID, barrier BarrierID) Commands {
	m.now = now
	m.acknowledge(id, barrier)
	return m.decide()
}

// HandleTimer takes that the time of Commands.NextTimer has come.
func (m *Manager) HandleTimer(now time.Duration) Commands {
	m.now = now
	return m.decide()
}
