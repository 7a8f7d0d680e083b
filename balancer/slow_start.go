package balancer

const (
	// warmUpStartShare is the largest share of its target with which a server begins its warm-up.
	warmUpStartShare = 0.1
	// warmUpStartOfCold is the part of the stated cold capacity with which it begins, if that is less.
	warmUpStartOfCold = 0.6
	// maxWarmingFill is the multiple of its share of a sound fleet that a server in its warm-up gets at most.
	maxWarmingFill = 1.5
	// maxWarmingRise is the most by which withdrawals beside them may raise the part of servers in their warm-up.
	maxWarmingRise = 2.0

	// pauseFailureRate is the peers' failure rate at which no server goes on with its warm-up.
	pauseFailureRate = 0.4
	// pauseUnreported is the progress of a warm-up under which servers wait until half of their peers are heard of.
	pauseUnreported = 0.5
	// pauseAll is the progress under which servers wait where all of them do.
	pauseAll = 1.0
	// noPause lets all servers go on with their warm-up.
	noPause = 0.0
)

// warmUpProgress is the part of its target that a server gets by now, from 0 to 1.
func (m *Manager) warmUpProgress(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	elapsed := (m.now - s.warmUpFrom).Seconds()
	return min(1, m.warmUpStart+(1-m.warmUpStart)*elapsed/m.warmUpDuration.Seconds())
}

// isWarmingUp tells whether a server may serve and is in its warm-up.
func (m *Manager) isWarmingUp(s *server) bool { return s.warmingUp && m.mayServe(s) }

// slowStartPaused tells whether a server gets no requests until its peers do better.
func (m *Manager) slowStartPaused(s *server) bool {
	return s.warmingUp && m.warmUpProgress(s) < m.slowStartPause
}

// updateSlowStart pauses the warm-up of servers while their peers reject requests, which would all come to them: until
// the peers answer most requests, and early in the warm-up until half of the peers are heard of. It ends warm-ups that
// are over.
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

// slowStartPauseFor is the progress of a warm-up below which servers wait.
func (m *Manager) slowStartPauseFor(peers baseline, warm int) float64 {
	switch {
	case warm == 0:
		return noPause
	case peers.failureRate > pauseFailureRate:
		return pauseAll
	case 2*peers.servers < warm:
		return pauseUnreported
	default:
		return noPause
	}
}

// wouldOverloadWarmingServers tells whether withdrawals leave a table's servers in their warm-up with too much.
func (m *Manager) wouldOverloadWarmingServers(id TableID) bool {
	return m.warmingShareRise(m.tables[id]) > maxWarmingRise
}
