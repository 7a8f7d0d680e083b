package balancer

import (
	"math"
	"time"
)

const (
	// maxSamples is how many reports of a server, or samples of a proxy, are kept.
	maxSamples = 24
	// maxSampleAge is how long they count.
	maxSampleAge = 5 * time.Second
	// fullAttempts is how many attempts make a server's statistics.
	fullAttempts = 6
	// minAttempts is how many make it a peer.
	minAttempts = 3

	// unresponsiveAfter is the time without a sign of life after which a server is checked, and may be ejected.
	unresponsiveAfter = 2 * time.Second
	// minUnansweredAttempts is how many attempts must have been due in that time.
	minUnansweredAttempts = 4.0
	// removedRetention is how long a removed server is remembered.
	removedRetention = time.Minute

	// slowLatencyFactor is the multiple of the peers' latency up to which a server is not slow.
	slowLatencyFactor = 1.25
	// toleratedExcess is how far a server's failure rate may lie over its peers' without harm to its health.
	toleratedExcess = 0.15
	// worstExcess is the excess at which its health is the least.
	worstExcess = 0.35
	// priorAttempts is how many attempts like the peers' a server's statistics begin with.
	priorAttempts = 2

	// minHealth leaves a server some requests by which it is heard of.
	minHealth = 0.02
	// restoredHealth is the health of a server that answers again.
	restoredHealth = 0.15
	// degradedHealth is the health from which on a server is logged as degraded.
	degradedHealth = 0.5
	// soundHealth is the health under which a server has no floor in the distribution.
	soundHealth = 0.97
	// maxHealthFall is the least factor of health in a tick.
	maxHealthFall = 0.8
	// healthSmoothing is the part of the way to its new health that a server goes in a tick, in logarithms.
	healthSmoothing = 0.3
	// healthTolerance is the change of health that calls for a new distribution.
	healthTolerance = 0.05
)

// ejectReason says why a server was ejected.
type ejectReason string

const (
	serverUnresponsive ejectReason = "unresponsive"
	zoneUnreachable    ejectReason = "zone_unreachable"
)

// mayServe tells whether requests may be sent to a server by what the list says.
func (m *Manager) mayServe(s *server) bool {
	return s.state == Ready || s.state == Removed && m.removedMayServe && m.healthChecks
}

// forgettable tells whether a server was removed too long ago to come back: its weights are removed, then all that is
// known of it.
func (m *Manager) forgettable(s *server) bool {
	expired := s.removedAt > 0 && m.now-s.removedAt > removedRetention
	return expired && (!m.mayServe(s) || s.ejected)
}

// checkServer sends a health check to a server that may serve.
func (m *Manager) checkServer(s *server) {
	if m.healthChecks && m.mayServe(s) {
		s.checkedAt = m.now
		m.commands.HealthCheck = append(m.commands.HealthCheck, s.id)
	}
}

// eject takes a server out of the distribution until it passes a health check.
func (m *Manager) eject(s *server, reason ejectReason) {
	s.ejected = true
	s.health = restoredHealth
	m.redistribution = serverEjected
	m.log(EventServerEjected,
		textField("server", string(s.id)),
		numberField("unresponsive_seconds", (m.now-s.lastSeen).Seconds(), 1),
		textField("cause", string(reason)))
}

// endEjection takes a server back that passed a health check.
func (m *Manager) endEjection(s *server) {
	s.ejected = false
	s.lastSeen = m.now
	m.redistribution = serverRestored
	if !s.warmingUp {
		s.health = restoredHealth
	}
	if s.state == Removed {
		// it may be a new process that the list does not know yet
		s.warmingUp = true
		s.warmUpFrom = m.now
		m.serverSetsValid = false
	}
	m.log(EventServerRestored, textField("server", string(s.id)))
}

// updateServerHealth lowers the health of a server that fails more often than its peers or is slower, whatever the
// reason, and raises it gradually. It is of no use where few proxies cause what all servers show.
func (m *Manager) updateServerHealth() {
	peers := m.peerBaseline()
	for _, s := range m.servers {
		if m.mayServe(s) {
			m.updateHealth(s, peers)
		}
	}
}

func (m *Manager) updateHealth(s *server, peers baseline) {
	stats := m.serverStatistics(s)
	attempts := stats.attempts + priorAttempts
	excess := (stats.failed+priorAttempts*peers.failureRate)/attempts - peers.failureRate
	latency := (stats.latency*stats.attempts + priorAttempts*peers.latency) / attempts
	aim := max(minHealth, 1-max(0, excess-toleratedExcess)/(worstExcess-toleratedExcess))
	if latency > 0 {
		aim = min(aim, slowLatencyFactor*peers.latency/latency)
	}
	previous := s.health
	s.health *= max(maxHealthFall, math.Pow(max(minHealth, aim)/previous, healthSmoothing))
	if previous-s.health > healthTolerance || s.health-previous > healthTolerance*previous {
		m.redistribution = healthChanged
	}
	if previous > degradedHealth && s.health <= degradedHealth {
		m.log(EventServerDegraded,
			textField("server", string(s.id)),
			numberField("health", s.health, 2),
			numberField("failed", stats.failed, 0),
			numberField("attempts", stats.attempts, 0),
			numberField("latency_seconds", latency, 2),
			numberField("peer_latency_seconds", peers.latency, 2),
			numberField("peer_failure_rate", peers.failureRate, 2))
	}
}

// checkUnresponsive checks servers that may no longer answer, before the list says so. That nothing was heard of a
// server may have other causes, so nothing else follows from it.
func (m *Manager) checkUnresponsive() {
	m.updateExpectedRates()
	for _, s := range m.servers {
		quiet := m.now - s.lastSeen
		unresponsive := quiet >= unresponsiveAfter && s.expectedRate*quiet.Seconds() >= minUnansweredAttempts
		removed := s.state == Removed && quiet >= unresponsiveAfter
		suspect := unresponsive || removed || s.ejected || s.health < restoredHealth
		if suspect && m.now-s.checkedAt >= unresponsiveAfter {
			m.checkServer(s)
		}
	}
}
