package balancer

const (
	// warmUpStartShare is the maximum share of its target that a server gets at the start of its warm-up.
	warmUpStartShare = 0.1
	// warmUpStartColdShare is the fraction of the configured cold capacity with which the warm-up starts if that is less.
	warmUpStartColdShare = 0.6
	// maxWarmingShareFactor is the maximum load of a warming server, as a multiple of its share in a fully healthy fleet.
	maxWarmingShareFactor = 1.5
	// maxWarmingShareIncrease is the maximum factor by which withdrawals of other servers may increase the share of
	// warming servers.
	maxWarmingShareIncrease = 2.0

	// pauseFailureRate is the failure rate of the peers above which slow start is paused for all warming servers.
	pauseFailureRate = 0.4
	// pauseUntilReported is the warm-up progress below which servers wait until half of their peers have been reported on.
	pauseUntilReported = 0.5
	// pauseAll is the warm-up progress below which servers wait while all warming servers are paused.
	pauseAll = 1.0
	// pauseNone lets all servers continue their warm-up.
	pauseNone = 0.0
)

// warmUpProgress returns the share of its target that a server gets now, from 0 to 1.
func (m *Manager) warmUpProgress(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	elapsed := (m.now - s.warmUpFrom).Seconds()
	return min(1, m.warmUpStart+(1-m.warmUpStart)*elapsed/m.warmUpDuration.Seconds())
}

// isWarmingUp reports whether a server may serve and is in its warm-up.
func (m *Manager) isWarmingUp(s *server) bool { return s.warmingUp && m.mayServe(s) }

// slowStartPaused reports whether a warming server gets no requests until its peers recover or are reported on.
func (m *Manager) slowStartPaused(s *server) bool {
	return s.warmingUp && m.warmUpProgress(s) < m.slowStartPause
}

// updateSlowStart pauses warming servers while their peers fail too many requests, because all of these requests would
// come to the warming servers. Early in the warm-up, a server also waits until half of its peers have been reported on.
// updateSlowStart also ends warm-ups whose duration has passed.
func (m *Manager) updateSlowStart() {
	peers := m.peerBaseline()
	warm := count(m.servers, func(s *server) bool { return m.mayServe(s) && !s.ejected && !s.warmingUp })
	pause := m.slowStartPauseFor(peers, warm)
	if pause != m.slowStartPause {
		m.slowStartPause = pause
		m.redistribution = slowStartPauseChanged
		m.publication.urgent = true
		m.log(EventSlowStartPaused,
			numberField("below", pause, 1),
			numberField("failure_rate", peers.failureRate, 2),
			countField("reporting", peers.servers),
			countField("peers", warm))
	}
	for _, s := range m.servers {
		if s.warmingUp {
			s.warmingUp = m.now-s.warmUpFrom < m.warmUpDuration
			m.redistribution = warmUpAdvanced
			m.serverSetsValid = false
		}
	}
}

// slowStartPauseFor returns the warm-up progress below which servers wait, given their peers and the number of warm
// servers.
func (m *Manager) slowStartPauseFor(peers baseline, warm int) float64 {
	switch {
	case warm == 0:
		return pauseNone
	case peers.failureRate > pauseFailureRate:
		return pauseAll
	case 2*peers.servers < warm:
		return pauseUntilReported
	default:
		return pauseNone
	}
}

// overloadsWarmingServers reports whether a table gives its warming servers too large a share of the requests because
// other servers were withdrawn.
func (m *Manager) overloadsWarmingServers(id TableID) bool {
	return m.warmingShareRise(m.tables[id]) > maxWarmingShareIncrease
}
