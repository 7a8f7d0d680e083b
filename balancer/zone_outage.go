package balancer

const (
	// minUnreachableServers is the minimum number of unreachable servers in a zone outage.
	minUnreachableServers = 3.0
	// zoneOutageShare is the minimum share of unreachable servers among a zone's checked servers in a zone outage.
	zoneOutageShare = 0.9
	// zoneCheckValidity is how long the results of a check of a whole zone are used.
	zoneCheckValidity = 2 * unresponsiveAfter

	// pairLatencyFactor is the multiple of its usual latency above which a zone pair is closed.
	pairLatencyFactor = 2.0
	// pairFailureRate is the failure rate above which a zone pair is closed.
	pairFailureRate = 0.5
	// pairConsecutiveSamples is the number of latest samples that must each exceed at least one of these bounds.
	pairConsecutiveSamples = 3
	// minPairLatencies is the minimum number of samples that define a usual latency.
	minPairLatencies = 3 * pairConsecutiveSamples
	// maxPairSamples is the number of samples kept per zone pair.
	maxPairSamples = 64
)

// zonePair is a circuit breaker for requests from the proxies of one zone to the servers of another.
type zonePair struct {
	latencies    []float64 // in seconds, one per report with successful attempts
	failureRates []float64 // one per report
	closed       bool      // requests spill over it only after all open pairs
}

// record adds the latency and the failure rate of a load report.
func (p *zonePair) record(report LoadReport) {
	failureRate := float64(report.Failed) / float64(report.Attempts)
	p.failureRates = lastN(append(p.failureRates, failureRate), maxPairSamples)
	if report.Latency > 0 {
		p.latencies = lastN(append(p.latencies, report.Latency.Seconds()), maxPairSamples)
	}
}

// isImpaired reports whether each of the latest samples exceeds the bound of latency or of failure rate.
func (p *zonePair) isImpaired(usualLatency float64) bool {
	if len(p.failureRates) < pairConsecutiveSamples {
		return false
	}
	for age := 1; age <= pairConsecutiveSamples; age++ {
		slow := len(p.latencies) >= minPairLatencies &&
			p.latencies[len(p.latencies)-age] > pairLatencyFactor*usualLatency
		failing := p.failureRates[len(p.failureRates)-age] > pairFailureRate
		if !slow && !failing {
			return false
		}
	}
	return true
}

// updateZonePairs closes a zone pair while its latency is more than pairLatencyFactor times the usual one or most
// attempts fail, and reopens it afterwards.
func (m *Manager) updateZonePairs() {
	for from := range m.zonePairs {
		for to := range m.zonePairs[from] {
			pair := &m.zonePairs[from][to]
			usualLatency := median(pair.latencies)
			closed := pair.isImpaired(usualLatency)
			if from == to || closed == pair.closed {
				continue
			}
			pair.closed = closed
			m.redistribution = zonePairChanged
			m.log(EventZonePair,
				textField("from", string(m.zones[from])),
				textField("to", string(m.zones[to])),
				boolField("closed", closed),
				numberField("usual_latency_seconds", usualLatency, 2))
		}
	}
}

// suspectZone schedules a health check of all servers of a zone, unless results of its last check may still arrive.
func (m *Manager) suspectZone(zone int) {
	if m.now-m.zoneCheckedAt[zone] >= unresponsiveAfter {
		m.suspectedZone = zone
	}
}

// zoneSuspected reports whether a health check of a whole zone is scheduled.
func (m *Manager) zoneSuspected() bool { return m.suspectedZone != noZone }

// checkSuspectedZone sends health checks to all servers of a zone in which one stopped answering. Load reports of a
// large fleet cover several seconds and arrive seconds late, so without these checks a lost zone would be detected
// server by server.
func (m *Manager) checkSuspectedZone() {
	for _, s := range m.servers {
		if s.zone == m.suspectedZone && !s.ejected {
			m.checkServer(s)
		}
	}
	m.zoneCheckedAt[m.suspectedZone] = m.now
	m.suspectedZone = noZone
}

// detectZoneOutage ejects the unreachable servers of a zone in which hardly any server can be reached, whatever older
// reports say. Health checks that timed out do not count as unreachable, because under overload all servers may answer
// late.
func (m *Manager) detectZoneOutage() {
	checked := make([]float64, len(m.zones))
	unreachable := make([]float64, len(m.zones))
	for _, s := range m.servers {
		if !m.checkedSinceZoneCheck(s) {
			continue
		}
		checked[s.zone]++
		if s.unreachable {
			unreachable[s.zone]++
		}
	}
	for _, s := range m.servers {
		outage := unreachable[s.zone] >= max(minUnreachableServers, zoneOutageShare*checked[s.zone])
		if outage && s.unreachable && !s.ejected && m.checkedSinceZoneCheck(s) {
			m.eject(s, zoneUnreachable)
		}
	}
}

// checkedSinceZoneCheck reports whether all servers in a server's zone were checked recently and the server's own last
// health check ended after that.
func (m *Manager) checkedSinceZoneCheck(s *server) bool {
	zoneCheckedAt := m.zoneCheckedAt[s.zone]
	return m.mayServe(s) && m.now-zoneCheckedAt <= zoneCheckValidity && s.checkEndedAt >= zoneCheckedAt
}
