package balancer

import (
	"math"
	"time"
)

const (
	// maxSamples is the number of reports kept per server, of usage samples per proxy and class, and of durations of
	// health checks and delivered rates for the whole fleet.
	maxSamples = 24
	// maxSampleAge is the age up to which reports and samples are used.
	maxSampleAge = 5 * time.Second
	// targetAttempts is the number of attempts that a server's statistics should cover.
	targetAttempts = 6
	// minAttempts is the minimum number of attempts for a server to count as a peer, and for a load report to count for
	// its zone pair.
	minAttempts = 3

	// unresponsiveAfter is the time without a response after which a server is checked and may be ejected. It is also the
	// minimum time between two of these checks of a server or a zone.
	unresponsiveAfter = 2 * time.Second
	// minUnansweredAttempts is the minimum number of attempts that a server must have been expected to get since its last
	// response for it to be checked.
	minUnansweredAttempts = 4.0
	// removedRetention is how long the state of a removed server is kept.
	removedRetention = time.Minute

	// slowLatencyFactor is the multiple of the peers' latency above which a server counts as slow.
	slowLatencyFactor = 1.25
	// toleratedExcessFailureRate is how far a server's failure rate may exceed that of its peers without lowering its
	// health.
	toleratedExcessFailureRate = 0.15
	// maxExcessFailureRate is the excess of the failure rate at which the health reaches its minimum.
	maxExcessFailureRate = 0.35
	// priorAttempts is the weight, in attempts, with which the peers' medians enter a server's statistics as a prior.
	priorAttempts = 2

	// minHealth is the minimum health, which leaves a server some requests so that it can still be observed.
	minHealth = 0.02
	// restoredHealth is the health of a server whose ejection ends. A server of lower health gets health checks.
	restoredHealth = 0.15
	// degradedHealth is the health at or below which a server is logged as degraded.
	degradedHealth = 0.5
	// minHealthForFloor is the health below which the distribution guarantees a server no minimum rate.
	minHealthForFloor = 0.97
	// minHealthFactor is the smallest factor by which the health may be multiplied in a tick.
	minHealthFactor = 0.8
	// healthSmoothing is the smoothing factor per tick with which the logarithm of the health follows its target.
	healthSmoothing = 0.3
	// healthTolerance is the decrease of health, or its relative increase, above which the requests are redistributed.
	healthTolerance = 0.05
)

// ejectReason is the reason for which a server was ejected.
type ejectReason string

const (
	serverUnresponsive ejectReason = "unresponsive"
	zoneUnreachable    ejectReason = "zone_unreachable"
)

// mayServe reports whether requests may be sent to a server according to the endpoint list.
func (m *Manager) mayServe(s *server) bool {
	return s.state == Ready || s.state == Removed && m.removedMayServe && m.healthChecks
}

// removalExpired reports whether a server was removed so long ago that it is not expected to return. Its weights are
// then removed from the tables, and after that its state is deleted.
func (m *Manager) removalExpired(s *server) bool {
	expired := s.removedAt > 0 && m.now-s.removedAt > removedRetention
	return expired && (!m.mayServe(s) || s.ejected)
}

// checkServer sends a health check to a server that may serve.
func (m *Manager) checkServer(s *server) {
	if m.healthChecks && m.mayServe(s) {
		s.checkSentAt = m.now
		m.commands.HealthCheck = append(m.commands.HealthCheck, s.id)
	}
}

// eject excludes a server from the distribution until it passes a health check.
func (m *Manager) eject(s *server, reason ejectReason) {
	s.ejected = true
	m.serverSetsValid = false
	s.health = restoredHealth
	m.redistribution = serverEjected
	m.log(EventServerEjected,
		textField("server", string(s.id)),
		numberField("unresponsive_seconds", (m.now-s.lastSeen).Seconds(), 1),
		textField("cause", string(reason)))
}

// endEjection returns a server that passed a health check to the distribution.
func (m *Manager) endEjection(s *server) {
	s.ejected = false
	m.serverSetsValid = false
	s.lastSeen = m.now
	m.redistribution = ejectionEnded
	if !s.warmingUp {
		s.health = restoredHealth
	}
	if s.state == Removed {
		// This may be a new process that is not on the endpoint list yet.
		s.warmingUp = true
		s.warmUpFrom = m.now
	}
	m.log(EventServerRestored, textField("server", string(s.id)))
}

// updateServerHealth lowers the health of servers that fail more often than their peers or are slower, whatever the
// reason, and raises it again gradually. It cannot help when a few proxies cause the problem, because then all servers
// are affected alike.
func (m *Manager) updateServerHealth() {
	peers := m.peerBaseline()
	for _, s := range m.servers {
		if m.mayServe(s) {
			m.updateHealth(s, peers)
		}
	}
}

// updateHealth moves a server's health towards the target that follows from its failure rate and latency relative to
// its peers.
func (m *Manager) updateHealth(s *server, peers baseline) {
	stats := m.serverStatistics(s)
	attempts := stats.attempts + priorAttempts
	excess := (stats.failed+priorAttempts*peers.failureRate)/attempts - peers.failureRate
	latency := (stats.latency*stats.attempts + priorAttempts*peers.latency) / attempts
	target := max(minHealth, 1-max(0, excess-toleratedExcessFailureRate)/(maxExcessFailureRate-toleratedExcessFailureRate))
	if latency > 0 {
		target = min(target, slowLatencyFactor*peers.latency/latency)
	}
	previous := s.health
	s.health *= max(minHealthFactor, math.Pow(max(minHealth, target)/previous, healthSmoothing))
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

// checkUnresponsive sends health checks to servers that may have stopped answering, without waiting for the endpoint
// list, and to servers that were removed, are ejected or have low health. Missing responses may have other causes, so
// they lead to a health check and to nothing else.
func (m *Manager) checkUnresponsive() {
	m.updateExpectedRates()
	for _, s := range m.servers {
		silence := m.now - s.lastSeen
		unresponsive := silence >= unresponsiveAfter && s.expectedRate*silence.Seconds() >= minUnansweredAttempts
		removed := s.state == Removed && silence >= unresponsiveAfter
		suspect := unresponsive || removed || s.ejected || s.health < restoredHealth
		if suspect && m.now-s.checkSentAt >= unresponsiveAfter {
			m.checkServer(s)
		}
	}
}
