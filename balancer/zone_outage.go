package balancer

const (
	// minUnreachableServers is the least number of unreachable servers that make a zone outage.
	minUnreachableServers = 3.0
	// zoneOutageShare is the share of a zone's checked servers that must be unreachable.
	zoneOutageShare = 0.9
	// zoneCheckValidity is how long the results of a check of a whole zone count.
	zoneCheckValidity = 2 * unresponsiveAfter

	// pairLatencyFactor is the multiple of its usual latency at which a zone pair is closed.
	pairLatencyFactor = 2.0
	// pairFailureRate is the failure rate at which a zone pair is closed.
	pairFailureRate = 0.5
	// pairAgreeing is how many of the last samples must agree on it.
	pairAgreeing = 3
	// minPairLatencies is how many samples make a usual latency.
	minPairLatencies = 3 * pairAgreeing
	// maxPairSamples is how many samples of a zone pair are kept.
	maxPairSamples = 64
)

// zonePair is a circuit breaker for requests from the proxies of one zone to the servers of another.
type zonePair struct {
	latencies    []float64 // seconds, by report
	failureRates []float64 // by report
	closed       bool      // to new spill
}

func (p *zonePair) record(report LoadReport) {
	failureRate := float64(report.Failed) / float64(report.Attempts)
	p.failureRates = lastN(append(p.failureRates, failureRate), maxPairSamples)
	if report.Latency > 0 {
		p.latencies = lastN(append(p.latencies, report.Latency.Seconds()), maxPairSamples)
	}
}

// troubled tells whether the last samples all lie over the bounds of latency or failure rate.
func (p *zonePair) troubled(usualLatency float64) bool {
	if len(p.failureRates) < pairAgreeing {
		return false
	}
	for back := 1; back <= pairAgreeing; back++ {
		slow := len(p.latencies) >= minPairLatencies &&
			p.latencies[len(p.latencies)-back] > pairLatencyFactor*usualLatency
		failing := p.failureRates[len(p.failureRates)-back] > pairFailureRate
		if !slow && !failing {
			return false
		}
	}
	return true
}

// updateZonePairs closes a pair of zones to new spill while its latency is a multiple of the usual one or most attempts
// fail.
func (m *Manager) updateZonePairs() {
	for from := range m.zonePairs {
		for to := range m.zonePairs[from] {
			pair := &m.zonePairs[from][to]
			usualLatency := median(pair.latencies)
			closed := pair.troubled(usualLatency)
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

// suspectZone has a zone's servers checked, but not again while the results of the last check may still come.
func (m *Manager) suspectZone(zone int) {
	if m.now-m.zoneCheckedAt[zone] >= unresponsiveAfter {
		m.suspectedZone = zone
	}
}

func (m *Manager) zoneSuspected() bool { return m.suspectedZone != noZone }

// checkSuspectedZone checks all servers of a zone in which one stopped answering: load reports of a large fleet cover
// seconds and come seconds late, so that a lost zone would be found server by server.
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
// reports say. A health check that timed out does not count: under overload all servers may answer late.
func (m *Manager) detectZoneOutage() {
	checked := make([]float64, len(m.zones))
	unreachable := make([]float64, len(m.zones))
	for _, s := range m.servers {
		if !m.checkedWithZone(s) {
			continue
		}
		checked[s.zone]++
		if s.unreachable {
			unreachable[s.zone]++
		}
	}
	for _, s := range m.servers {
		outage := unreachable[s.zone] >= max(minUnreachableServers, zoneOutageShare*checked[s.zone])
		if outage && s.unreachable && !s.ejected && m.checkedWithZone(s) {
			m.eject(s, zoneUnreachable)
		}
	}
}

// checkedWithZone tells whether a server's last health check ended since its whole zone was checked lately.
func (m *Manager) checkedWithZone(s *server) bool {
	zoneCheckedAt := m.zoneCheckedAt[s.zone]
	return m.mayServe(s) && m.now-zoneCheckedAt <= zoneCheckValidity && s.checkEndedAt >= zoneCheckedAt
}
