// How to call: New makes a manager from the site's terms; then one method for each thing it
// learns (Listed, Joined, Left, Heard, Used, Probed, Applied, Woke), with the time since its start.
// Each returns Orders, to be carried out in the order of their fields. The interface is types.go.
// The logic is the list `rules`, gone through after every input until none fires.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tickInterval, tickAfterReport            = time.Second, 10 * time.Millisecond // a second opens once reports come
	firstTickDelay                           = 50 * time.Millisecond              // the first proxy joined, the first opens
	maxSamples, maxSampleAge                 = 24, 5 * time.Second                // reports of a server, their greatest age
	minUnansweredAttempts, unresponsiveAfter = 4.0, 2 * time.Second               // tries due and time before silence counts
	loadPercentile, freshReportAge           = 0.6, 1500 * time.Millisecond       // of fresh good answers: pressure is theirs
	limitLowerInterval, limitConfidence      = 3 * time.Second, 4 * time.Second   // between falls, and until rises are faster
	removedRetention                         = time.Minute                        // that a server is gone

	bandFloor, bandCeiling, maxWarmingFill                 = 0.8, 1.2, 1.5 // of a target: its floor, its ceiling, a cold one's at most
	maxListedShare, maxWarmingRise                         = 2.0, 2.0      // the most of a listed share, and of a cold server's part
	pairLatencyFactor, pairFailureRate                     = 2.0, 0.5      // a zone pair closes at this multiple of its norm, or drops
	pairAgreeing, maxPairSamples                           = 3, 64         // samples that must agree on it, and make its norm
	minUnreachableServers, zoneOutageShare                 = 3.0, 0.9      // servers, and the part of those asked: their zone is lost
	connectionUses                                         = 8.0           // uses of a connection before an idle one closes
	minPartitionServers, minPartitionProxies               = 4.0, 5.0      // servers of a block at least, and proxies of this manager
	warmUpStartShare, warmUpStartOfCold                    = 0.1, 0.6      // of its target, of the stated cold share: a climb's start
	pauseFailureRate, pauseUnreported                      = 0.4, 0.5      // median drops, and part of a climb, at which cold servers wait
	demandWindow, rateWindow                               = 0.9, 6.0      // seconds of usage that make what is asked, and a volume
	minAnnouncedShare                                      = 0.5           // of what a proxy usually gets, while servers climb
	rateTolerance                                          = 0.2           // part by which a volume moves before a new split
	weightTolerance, weightToleranceOfPrice                = 0.1, 1.5      // part by which a weight moves, more for what a line costs
	minWeightShare, minWeightOfLargest                     = 0.005, 0.5    // part of a table, of its largest line: less is no line
	levelTolerance                                         = 0.04          // part by which a level moves before it is sent
	fullAttempts, minAttempts                              = 6, 3          // that make figures full, and a server a peer
	slowLatencyFactor                                      = 1.25          // of the peers' median latency, not yet slow
	toleratedExcess, worstExcess                           = 0.15, 0.35    // more drops than the peers': not yet failing, and the worst
	minHealth, restoredHealth                              = 0.02, 0.15    // to be heard by, and once a server answers again
	maxHealthFall, healthSmoothing                         = 0.8, 0.3      // in a second: the most, and part of the way in logarithms
	healthTolerance                                        = 0.05          // change that is worth solving anew
	soundHealth, degradedHealth                            = 0.97, 0.5     // below: no floor, and a line in the log
	slowChannelFactor                                      = 8.0           // times slower, until marks are answered
	queueShareNormal, messageShareNormal                   = 0.5, 0.6      // of the queue and a proxy's messages: for batches,
	queueShareUrgent, messageShareUrgent                   = 0.75, 0.8     // joining proxies and tables that must change at once,
	queueShareDrain                                        = 0.9           // and drains;
	sendSecondsNormal, sendSecondsUrgent                   = 1.0, 2.0      // seconds of lines, against a queue that holds a minute's,
	besideDrainsShare                                      = 0.5           // and with what may go along with drains that go out late
	lowLoad, highLoad                                      = 0.26, 0.32    // of the budget: the line moves up, and down
	lowLoadOfBaseline, highLoadOfBaseline, maxBaselineLoad = 1.5, 2.0, 0.3 // of the calmest so far, this at most, if that is more
	highFailureRate                                        = 0.25          // share of drops at which it moves down between them
	limitFallOfDelivered, limitFallOfPeak                  = 0.92, 0.6     // of what is delivered; of the most lately, if that collapsed
	limitRise, saturationShare                             = 0.3, 0.85     // in a second, up to this part of the most lately,
	surgeOfPeak, minPeaks                                  = 1.5, 5        // of the most lately, all that is let in at once
	minReportedShare                                       = 0.5           // of what proxies told, heard of before the line moves
	limitSlowRise, limitOpenFactor                         = 0.05, 1.2     // beyond it, and of what is asked to let in all
	minInFlightRate                                        = 0.3           // tries a second for told load to say something
	loadCheckCount, idleCheckShare                         = 4, 0.3        // probes that take less than flows find idle servers
	minPinnedShare                                         = 0.5           // of a held table's weight: what warm servers must have of it
	unlimitedRate                                          = 1e6
)

// New makes a manager of a site; the same seed and the same inputs give the same orders.
func New(seed uint64, t Settings) *Manager {
	m := &Manager{derivedSettings: deriveSettings(t), rngState: seed, admissionLimit: math.Inf(1), slowStartPause: pauseUnreported, baselineLoad: math.Inf(1)}
	m.barrierAt, m.blockedAt, m.suspectedZone, m.nextTick = -1, -1, -1, time.Duration(m.random()*float64(tickInterval))
	m.warmUpStart, m.slowestRate = min(warmUpStartShare, warmUpStartOfCold*t.ColdCapacity), t.CommandsPerSecond/slowChannelFactor
	m.weightTolerance = weightTolerance + weightToleranceOfPrice*t.CommandPrice
	m.queueLimits = [3]float64{queueShareNormal * t.QueueCapacity, queueShareUrgent * t.QueueCapacity, queueShareDrain * t.QueueCapacity}
	m.drainGraceCommands = t.CommandsPerSecond * cmp.Or(t.DrainGrace.Seconds(), sendSecondsUrgent)
	m.sendableSoon = [3]float64{sendSecondsNormal * t.CommandsPerSecond, sendSecondsUrgent * t.CommandsPerSecond, m.queueLimits[drainPriority]}
	if most := float64(t.MaxMessages); most > 1 {
		m.messageLimits = [3]int{int(max(1, messageShareNormal*most)), int(max(1, messageShareUrgent*most)), int(most - 1)}
	}
	for g, group := range t.Classes {
		m.classesByPriority, m.retryPolicies = append(m.classesByPriority, ClassID(g)), append(m.retryPolicies, retryPolicyFor(t.DefaultRetryPolicy, group))
		m.zoneLocal, m.crossZone = m.zoneLocal|either[uint](group.ZoneLocal, 1<<g, 0), m.crossZone|either[uint](group.ZoneLocal, 0, 1<<g)
	}
	slices.SortStableFunc(m.classesByPriority, func(a, b ClassID) int {
		// of equal utility, the shorter budget tells of less work
		return cmp.Or(cmp.Compare(t.Classes[b].PriorityWeight, t.Classes[a].PriorityWeight),
			cmp.Compare(t.Classes[a].LatencyObjective, t.Classes[b].LatencyObjective))
	})
	m.layOutTables(1, t.Zones)
	return m
}

// mayTry is the site's way of trying again as far as a group bears it. Guards against an effect twice: what
// may have run is not sent once more, or only while its copies are still dropped.
func retryPolicyFor(usual RetryPolicy, g TrafficClass) RetryPolicy {
	again := g.Idempotency == Idempotent || g.Idempotency == IdempotencyKeyed && g.DedupWindow >= g.Deadline
	return either(again, usual, min(usual, RetryIfNotExecuted))
}

// rules are gone through in this order after every input; each effect makes its condition false.
var rules = []rule{
	{(*Manager).pollDue, (*Manager).subscribe},
	{(*Manager).drainReady, (*Manager).withdraw},
	{(*Manager).zoneSuspected, (*Manager).checkSuspectedZone},
	{(*Manager).firstTickUnscheduled, (*Manager).scheduleFirstTick},
	{(*Manager).tickDue, (*Manager).tick},
	{(*Manager).proxyConnected, (*Manager).awaitDistribution},
	{(*Manager).redistributionDue, (*Manager).redistribute},
	{(*Manager).publishReady, (*Manager).publish},
	{(*Manager).restoreReady, (*Manager).restore},
	{(*Manager).assignmentReady, (*Manager).assignProxy},
	{(*Manager).timerUnset, (*Manager).setTimer},
}

// Listed takes the list of servers, whole or as changes of it.
func (m *Manager) HandleEndpointList(now time.Duration, whole bool, entries []Endpoint) Commands {
	m.now = now
	seen := map[ServerID]bool{}
	for _, e := range entries {
		seen[e.Server] = true
		s, began := m.server(e.Server), now
		started := either(e.RecentlyStarted, e.Started, math.MinInt64)
		if started < 0 { // before this manager's: guards against a restart that puts back all who climb
			began = max(started, now-m.warmUpDuration)
		}
		if s == nil {
			// guards against a list that names servers that do not exist: one that the first list did not
			// name gets flows once it answers a probe
			s = m.addServer(e)
			s.listedStart, s.warmUpFrom, s.warmingUp = started, began, e.RecentlyStarted && (now-started < m.warmUpDuration || !whole)
			s.ejected = m.healthChecks && m.listReceived
		} else if started > s.listedStart {
			// guards against pushing over a cold server that came back before its end was listed:
			// what stands in the tables is lowered at once
			s.warmingUp, s.warmUpFrom, s.listedStart = true, began, started
			s.health, s.inFlight, s.reports, s.reportedAt, s.lastSeen = 1, -1, nil, nil, now
			s.ejected, m.publishUrgent = s.ejected && m.healthChecks, m.publishUrgent || !s.withdrawn
		}
		s.weight = either(m.weightsFollowLoad, e.Weight, s.weight)
		m.setListedState(s, e.State)
	}
	for _, s := range m.servers {
		if whole && !seen[s.id] {
			m.setListedState(s, Removed)
		}
	}
	m.listReceived, m.listChanged, m.redistribution, m.serverSetsValid = true, true, "list", false
	if len(m.unassigned) > 0 && len(m.sets().leaving) > 0 {
		m.publishUrgent = true
		m.endDistributionWait()
	}
	return m.decide()
}

// list notes what the list says of a server. Where gone does not bind, the list is one witness, a probe the
// other: until it fails the server keeps its flows. One that drained before it went stays withdrawn.
func (m *Manager) setListedState(s *server, c ServerState) {
	s.state = either(c != Removed || s.state == Ready, c, s.state)
	s.removedAt = either(c == Removed, cmp.Or(s.removedAt, m.now), 0)
	s.leavingSince = either(c == Ready, 0, cmp.Or(s.leavingSince, m.now))
	m.drainPending = m.drainPending || c != Ready
	if s.ejected || s.state == Removed {
		m.checkServer(s)
	}
}

func (m *Manager) checkServer(s *server) {
	if m.healthChecks && m.mayServe(s) {
		s.checkedAt, m.commands.HealthCheck = m.now, append(m.commands.HealthCheck, s.id)
	}
}

// past tells whether a server went too long ago to come back: its lines go, then all that is known of it.
// Guards against memory and tables that grow as servers are replaced by others.
func (m *Manager) forgettable(s *server) bool {
	return s.removedAt > 0 && m.now-s.removedAt > removedRetention && (!m.mayServe(s) || s.ejected)
}

// open tells whether a server may get flows.
func (m *Manager) mayServe(s *server) bool {
	return s.state == Ready || s.state == Removed && m.removedMayServe && m.healthChecks
}

// Probed takes the outcome of a probe, how long it took, and the flows held that the server told; -1 without.
func (m *Manager) HandleHealthCheck(now time.Duration, id ServerID, a HealthCheckResult, took time.Duration, load float64) Commands {
	m.now = now
	if s := m.server(id); s != nil && m.mayServe(s) {
		m.recordCheckTime(a, took)
		s.recordInFlight(now, load)
		s.unreachable, s.checkEndedAt = a == HealthCheckUnreachable, now
		switch {
		case a >= HealthCheckTimedOut && !s.ejected && (s.state == Removed || now-s.lastSeen >= unresponsiveAfter):
			m.eject(s, "silence")
			m.suspectedZone = either(now-m.zoneCheckedAt[s.zone] >= unresponsiveAfter, s.zone, m.suspectedZone)
		case a == HealthCheckPassed && s.ejected:
			s.ejected, s.lastSeen, m.redistribution = false, now, "answer"
			s.health = either(s.warmingUp, s.health, restoredHealth)
			if s.state == Removed {
				// it may be a fresh process that the list does not know yet
				s.warmingUp, s.warmUpFrom, m.serverSetsValid = true, now, false
			}
			m.logRecord("server back: %s answers a probe", id)
		}
	}
	return m.decide()
}

func (m *Manager) eject(s *server, cause string) {
	s.ejected, s.health, m.redistribution = true, restoredHealth, cause
	m.logRecord("server out: %s silent for %.1fs and to a probe, %s", s.id, (m.now - s.lastSeen).Seconds(), cause)
}

// A server that falls silent casts doubt on its zone, which is asked at once. Guards against a lost zone that
// is learnt of server by server: in a large fleet a report tells of seconds, and comes seconds late.
func (m *Manager) zoneSuspected() bool { return m.suspectedZone >= 0 }
func (m *Manager) checkSuspectedZone() {
	for _, s := range m.servers {
		if s.zone == m.suspectedZone && !s.ejected {
			m.checkServer(s)
		}
	}
	m.zoneCheckedAt[m.suspectedZone], m.suspectedZone = m.now, -1
}

// judgeZones takes out what can't be reached in a zone where hardly any server can, whatever older reports
// said. A server that is only late with its answer doesn't count: all may be, under overload.
func (m *Manager) detectZoneOutage() {
	lost, all := make([]float64, len(m.zones)), make([]float64, len(m.zones))
	told := func(s *server) bool { // since its zone was asked lately
		return m.mayServe(s) && m.now-m.zoneCheckedAt[s.zone] <= 2*unresponsiveAfter && s.checkEndedAt >= m.zoneCheckedAt[s.zone]
	}
	for _, s := range m.servers {
		if told(s) {
			all[s.zone], lost[s.zone] = all[s.zone]+1, lost[s.zone]+either(s.unreachable, 1.0, 0)
		}
	}
	for _, s := range m.servers {
		if s.unreachable && !s.ejected && told(s) && lost[s.zone] >= max(minUnreachableServers, zoneOutageShare*all[s.zone]) {
			m.eject(s, "zone")
		}
	}
}

func (m *Manager) pollDue() bool { return m.pollsEndpoints && !m.subscribed && m.now >= m.pollAfter }
func (m *Manager) subscribe()    { m.subscribed, m.commands.Subscribe = true, true }

// leaving is a server that is withdrawn at once, but not along with a binding: it would go out before that.
func (m *Manager) nextDrain() *server {
	for _, s := range m.sets().leaving {
		if m.commands.Assign == nil && m.fits(m.holders(s), 1, drainPriority) {
			return s
		}
	}
	return nil
}

func (m *Manager) drainReady() bool {
	return m.drainPending && !m.assignsBeforeDrains() && m.nextDrain() != nil
}

// bindsFirst guards against withdrawals that cost each proxy without a table a line and a message, as after
// another manager was lost in a release: its table is laid without the servers that leave, and settles all.
// Withdrawals go first where the bindings are more than leaves within the grace.
func (m *Manager) assignsBeforeDrains() bool {
	return len(m.sets().leaving) > 0 && m.cheapestAssignment() <= m.queueLimits[drainPriority] && m.allAssignmentsCost() <= m.drainGraceCommands
}

func (m *Manager) withdraw() {
	s := m.nextDrain()
	m.commands.Withdraw = append(m.commands.Withdraw, s.id)
	m.setWithdrawn(s, true)
	m.reserve(m.holders(s), 1)
	m.checkEmptyTables()
	m.publishUrgent = m.publishUrgent || slices.ContainsFunc(s.tables, m.wouldOverloadWarmingServers) // guards cold servers left with all
}

// lookForBare guards against proxies without any server: such a table is laid at once, with all the room.
func (m *Manager) checkEmptyTables() {
	m.emptyTableWaits, m.drainPending = slices.ContainsFunc(m.tables, m.isEmptyTable), m.nextDrain() != nil
	m.publishUrgent = m.publishUrgent || m.emptyTableWaits || slices.ContainsFunc(m.tables, m.hasNoLocalEndpoint)
}

func (m *Manager) firstTickUnscheduled() bool {
	return !m.partitioned && len(m.proxies) > 0 && m.nextTick > m.now+firstTickDelay
}
func (m *Manager) scheduleFirstTick() { m.nextTick, m.timerAt = m.now+firstTickDelay, 0 }

func (m *Manager) tickDue() bool { return m.now >= m.nextTick }
func (m *Manager) tick() {
	m.nextTick, m.publishDue, m.blockedProxies = m.now+tickInterval, true, 0
	if next := m.lastReportAt + tickInterval + tickAfterReport; m.lastReportAt > 0 && next > m.now+tickInterval/2 {
		m.nextTick = min(next, m.nextTick+tickInterval/2) // what is heard is judged while it is fresh
	}
	if !m.partitioned && len(m.proxies) > 0 && len(m.servers) > 0 && !m.sliced {
		m.partitionZones()
	}
	m.forget(func(s *server) bool { return m.forgettable(s) && !m.isPublished(s) })
	m.checkEmptyTables()
	m.pauseSlowStart()
	m.detectZoneOutage()
	m.updateServerHealth()
	m.checkUnresponsive()
	m.updateZonePairs()
	m.updateAdmissionLimit()
	if m.demandDiffers(rateTolerance) {
		m.redistribution = "volume"
	}
}

// holdBackCold guards against pushing over a cold server when its peers turn flows away, which would all come
// to it: it waits until they answer most flows, and early in its climb until half of them are heard of. It
// may hold back much.
func (m *Manager) pauseSlowStart() {
	_, drops, heard := m.peerBaseline()
	steady := count(m.servers, func(s *server) bool { return m.mayServe(s) && !s.ejected && !s.warmingUp })
	hold := either(steady == 0, 0, either(drops > pauseFailureRate, 1, either(2*heard < steady, pauseUnreported, 0)))
	if hold != m.slowStartPause {
		m.slowStartPause, m.redistribution, m.publishUrgent = hold, "flood", true
		m.logRecord("cold servers held back under %.1f: %.2f dropped, %d of %d peers heard", hold, drops, heard, steady)
	}
	for _, s := range m.servers {
		if s.warmingUp {
			s.warmingUp, m.redistribution, m.serverSetsValid = m.now-s.warmUpFrom < m.warmUpDuration, "climb", false
		}
	}
}

// judgeServers lowers the health factor of a server that fails more than its peers or is slower, whatever
// the reason, and raises it gradually. It harms where few proxies are to blame for what all servers do.
func (m *Manager) updateServerHealth() {
	latency, drops, _ := m.peerBaseline()
	for _, s := range m.servers {
		if !m.mayServe(s) {
			continue
		}
		tries, failed, l := m.serverStatistics(s)
		excess, was := (failed+2*drops)/(tries+2)-drops, s.health
		aim := max(minHealth, 1-max(0, excess-toleratedExcess)/(worstExcess-toleratedExcess))
		if l = (l*tries + 2*latency) / (tries + 2); l > 0 {
			aim = min(aim, slowLatencyFactor*latency/l)
		}
		s.health *= max(maxHealthFall, math.Pow(max(minHealth, aim)/was, healthSmoothing))
		if was-s.health > healthTolerance || s.health-was > healthTolerance*was {
			m.redistribution = "health"
		}
		if was > degradedHealth && s.health <= degradedHealth {
			m.logRecord("server weak: %s health %.2f failed %.0f of %.0f latency %.2fs peers %.2fs %.2f",
				s.id, s.health, failed, tries, l, latency, drops)
		}
	}
}

// probeSilent guards against servers that no longer answer, before the list knows; silence may be another's.
func (m *Manager) checkUnresponsive() {
	m.updateExpectedRates()
	for _, s := range m.servers {
		quiet := m.now - s.lastSeen
		silent := quiet >= unresponsiveAfter && s.expectedRate*quiet.Seconds() >= minUnansweredAttempts
		suspect := silent || s.ejected || s.health < restoredHealth || s.state == Removed && quiet >= unresponsiveAfter
		if suspect && m.now-s.checkedAt >= unresponsiveAfter {
			m.checkServer(s)
		}
	}
}

// judgePairs closes a zone pair to new spill while its latency is a multiple of its norm.
func (m *Manager) updateZonePairs() {
	for a := range m.zonePairs {
		for b := range m.zonePairs[a] {
			p := &m.zonePairs[a][b]
			norm, closed := median(p.latencies), len(p.failureRates) >= pairAgreeing
			for i := 1; closed && i <= pairAgreeing; i++ {
				far := len(p.latencies) >= 3*pairAgreeing && p.latencies[len(p.latencies)-i] > pairLatencyFactor*norm
				closed = far || p.failureRates[len(p.failureRates)-i] > pairFailureRate
			}
			if a != b && closed != p.closed {
				p.closed, m.redistribution = closed, "pair"
				m.logRecord("pair %s to %s closed %v norm %.2fs", m.zones[a], m.zones[b], closed, norm)
			}
		}
	}
}

// atServers is the latency that the servers themselves show: by the flows that they say they hold, or else by
// probes, which may be answered beside the queue. Guards against blocking flows that are late elsewhere.
func (m *Manager) serverLatency(latency float64) float64 {
	waits := m.inFlightTimes(minInFlightRate)
	for range loadCheckCount {
		s := m.servers[int(m.random()*float64(len(m.servers)))]
		if m.healthChecks && !m.inFlightReported && m.mayServe(s) && !s.ejected && s.health > degradedHealth {
			m.commands.HealthCheck = append(m.commands.HealthCheck, s.id)
		}
	}
	if len(waits) > 0 {
		return min(latency, median(waits))
	}
	if waits = m.recentCheckTimes(); m.healthChecks && len(waits) > 0 && median(waits) < idleCheckShare*latency {
		return median(waits)
	}
	return latency
}

// moveLine moves the line of utility, in flows a second: down to what the servers deliver when as a
// whole they are late or drop flows, up slowly. All is let in while they are healthy.
func (m *Manager) updateAdmissionLimit() {
	latency, drops := m.observedLoad(loadPercentile)
	budget := m.meanLatencyObjective()
	pressure := latency / budget
	if pressure > lowLoad && len(m.servers) > 0 {
		pressure = m.serverLatency(latency) / budget
	}
	m.baselineLoad = min(m.baselineLoad, either(latency > 0, latency/budget, m.baselineLoad))
	// guards against blocking flows that take long by themselves, also to a manager that starts under load
	calm := min(m.baselineLoad, maxBaselineLoad)
	high, low := max(highLoad, highLoadOfBaseline*calm), max(lowLoad, lowLoadOfBaseline*calm)
	asked, delivered := m.traffic()
	// guards against a line that the first few proxies heard set, or that stays while a lost manager's join or
	// most servers go: it is for what was told and for the weight that can serve by now
	told := m.reportedProxyRate()
	of := told * m.usableWeight()
	m.admissionLimit *= cmp.Or(of, m.limitCapacity, 1) / cmp.Or(m.limitCapacity, of, 1)
	was := m.admissionLimit
	m.limitCapacity = cmp.Or(of, m.limitCapacity)
	if told < minReportedShare*m.meanAnnouncedRate()*float64(len(m.proxies)) || of == 0 || m.admissionUnit == AdmitNone {
		return
	}
	m.deliveredPeaks = lastN(append(m.deliveredPeaks, delivered/of), maxSamples)
	knee := slices.Max(m.deliveredPeaks) * of
	// guards against a surge that fills all queues before a late answer is heard of
	if len(m.deliveredPeaks) > minPeaks && min(asked, m.admissionLimit) > surgeOfPeak*knee {
		m.admissionLimit = surgeOfPeak * knee
	}
	switch {
	case pressure > high || pressure > low && drops > highFailureRate && len(m.deliveredPeaks) > minPeaks:
		if m.now-m.limitLoweredAt >= limitLowerInterval {
			m.admissionLimit, m.limitLoweredAt = max(limitFallOfDelivered*min(m.admissionLimit, delivered), limitFallOfPeak*knee), m.now
		}
	case pressure < low && m.admissionLimit > limitOpenFactor*asked:
		m.admissionLimit = math.Inf(1)
	case pressure < low && m.admissionLimit > saturationShare*knee:
		// the longer the line has not fallen, the faster: guards against a knee that the line itself made
		m.admissionLimit *= 1 + limitSlowRise*(1-pressure/low)*(1+(m.now-m.limitLoweredAt).Seconds()/limitConfidence.Seconds())
	case pressure < low:
		m.admissionLimit *= 1 + limitRise*(1-pressure/low)
	}
	if m.admissionLimit < was || m.admissionLimit > was*2 {
		m.logRecord("line of utility at %.0f of %.0f flows/s: %.0f delivered, %.2f of the budget, %.2f dropped",
			m.admissionLimit, asked, delivered, pressure, drops)
	}
}

// levels are what must change in what a table lets in: the groups by utility, each what those above it left.
func (m *Manager) levelChanges(z int, sums []float64) (moves []tableChange) {
	if m.pinned != nil {
		return m.pinnedLevels(TableID(z))
	}
	// under overload each further try takes room from a first one
	left, open := m.admissionLimit, math.IsInf(m.admissionLimit, 1)
	flows, homes := max(sum(sums), 1e-9), 0.0
	for g := range sums {
		homes += either(m.zoneLocal&(1<<g) != 0, sums[g], 0)
	}
	// guards servers of a zone that lost most of them: what keeps to it is let in as far as they get flows
	home := 1.0
	if homes > 0 {
		home = min(1, maxWarmingFill*m.zoneLocalShare(m.tables[z])*flows/homes)
	}
	for _, g := range m.classesByPriority {
		part, tries := min(1, left/max(sums[g], 1e-9)), either(open, m.retryPolicies[g], NoRetry)
		l := AdmissionLevel{Table: TableID(z), Classes: 1 << g, Amount: m.admissionAmount(part, z, g), Retry: tries}
		left = max(0, left-sums[g])
		if m.zoneLocal&(1<<g) != 0 {
			l.Amount = m.admissionAmount(min(part, home), z, g)
		}
		was, stands := m.tables[z].publishedLevels[l.Classes]
		if !stands {
			was = AdmissionLevel{Amount: m.admissionAmount(1, z, g), Retry: m.defaultRetry}
		}
		moved := math.Abs(l.Amount-was.Amount) / max(l.Amount, was.Amount, 1e-9)
		if moved > levelTolerance || l.Retry != was.Retry || part == 1 && l.Amount != was.Amount {
			moves = append(moves, tableChange{EndpointWeight: EndpointWeight{Table: l.Table}, level: l,
				requestRate: m.distributedRates[z] * sums[g] / flows * max(moved, levelTolerance)})
		}
	}
	return moves
}

// part cuts zones into blocks, each with a table for a part of the zone's proxies. Guards against proxies
// with so few flows for so many servers that connections close between uses.
func (m *Manager) partitionZones() {
	m.partitioned = true
	zones := float64(len(m.zones))
	servers, uses := float64(count(m.servers, m.mayServe))/zones, m.meanAnnouncedRate()*m.idleTimeout.Seconds()
	m.partitionsPerZone = int(max(1, min(math.Ceil(connectionUses*servers/max(uses, 1e-6)), servers/minPartitionServers,
		m.proxyCount/m.managerCount/zones/minPartitionProxies)))
	if m.partitionsPerZone > 1 {
		m.logRecord("zones in %d blocks: %.0f servers a zone, %.0f uses of a connection", m.partitionsPerZone, servers, uses)
		m.layOutTables(m.partitionsPerZone, nil)
	}
}

// A newcomer's flows are in no table yet. While servers climb, tables are solved anew before it is bound:
// guards against a table laid for a zone without proxies, as after a cut, that names cold servers only. It
// waits for the next second, with the tables that it holds: hundreds join one by one after a restart. While
// servers drain, which other managers' tables may name, it waits only where its own is colder than the fleet.
func (m *Manager) proxyConnected() bool { return m.connectedTable != nil }
func (m *Manager) awaitDistribution() {
	t := m.connectedTable
	if m.connectedTable = nil; m.anyWarmingUp() {
		m.redistribution, m.cheapestAssign = "join", 0
		t.awaitsDistribution = t.awaitsDistribution || m.sets().withdrawnUnusable == 0 || m.warmingShareOf(t) > maxWarmingRise*m.warmingShare
	}
}

// The split: tables are solved anew when the list, health, a climb, usage or a pair calls for it.

func (m *Manager) redistributionDue() bool {
	return m.redistribution != "" && m.partitioned && (m.publishDue || m.publishUrgent)
}

func (m *Manager) wouldOverloadWarmingServers(t TableID) bool {
	return m.warmingShareRise(m.tables[t]) > maxWarmingRise
}
func (m *Manager) slowStartPaused(s *server) bool {
	return s.warmingUp && m.warmUpProgress(s) < m.slowStartPause
}

// climbed is the part of its target that a server gets by now.
func (m *Manager) warmUpProgress(s *server) float64 {
	if !s.warmingUp {
		return 1
	}
	return min(1, m.warmUpStart+(1-m.warmUpStart)*(m.now-s.warmUpFrom).Seconds()/m.warmUpDuration.Seconds())
}

func (m *Manager) redistribute() {
	m.redistribution, m.publishDue, m.listChanged, m.blockedProxies, m.distributedRates = "", true, false, 0, m.demandByPartition()
	m.endDistributionWait()
	var parts []distributionPart
	var in []*server
	anyIn := m.anyUsable() // health never takes the last server of all
	all, listed, steady, cold := sum(m.distributedRates), m.listedWeight(), 0.0, 0.0
	able := max(m.usableWeight(), listed/maxWarmingFill)
	for _, s := range m.servers {
		if !m.mayServe(s) || s.ejected && anyIn || m.slowStartPaused(s) {
			continue
		}
		p := distributionPart{partition: s.partition, target: max(s.weight, 1e-6) * s.health, low: bandFloor, high: bandCeiling}
		if s.health < soundHealth {
			p.low, p.high = 0, 1
		}
		// guards against pushing over a cold server when others fail: until it must be warm, it gets its
		// climbing part of what it would get of a fleet in order, and little of its lost peers' part
		if s.warmingUp {
			p.target *= m.warmUpProgress(s) * all / able
			p.low, p.high, cold = 0, 1, cold+p.target
		} else {
			steady += p.target
		}
		parts, in = append(parts, p), append(in, s)
	}
	for i, s := range in {
		if !s.warmingUp {
			parts[i].target *= (all - cold) / steady
		} else if steady == 0 {
			parts[i].target *= all / cold
		}
		// guards against a sound server that gets the flows of all its weak peers, as after its climb
		parts[i].target = min(parts[i].target, maxListedShare*all*max(s.weight, 1e-6)/listed)
	}
	m.warmingShare = either(steady == 0, 1, cold/all)
	shares := distribute(m.distributedRates, parts, m.nearestPartitions(), m.pairClosed)
	for z, t := range m.tables {
		clear(t.target)
		least := min(minWeightShare*m.distributedRates[z], minWeightOfLargest*shares.largest(z)) // guards hundreds of even ones
		shares.forEachAbove(z, least, func(i int, x float64) { t.target[in[i].id] = x / m.distributedRates[z] })
		m.applyPinned(TableID(z), t, anyIn)
		m.keepZoneLocalServers(t)
	}
}

// keepPinned wants what staff hold a table at, of the servers that may get flows; a cold one gets its part by
// its climb. Where too little of the weight is warm, the table is solved as ever. Guards against a hold that
// leaves proxies without a server, or cold servers with the flows of their lost peers.
func (m *Manager) applyPinned(id TableID, t *table, anyIn bool) {
	lines, all, warm, whole := map[ServerID]float64{}, 0.0, 0.0, 0.0
	for _, s := range m.pinnedServers(id) {
		whole += m.pinned.weights[id][s.id]
		if m.mayServe(s) && !(s.ejected && anyIn) && !s.withdrawn {
			lines[s.id] = m.pinned.weights[id][s.id] * m.warmUpProgress(s)
			all += lines[s.id]
			warm += either(s.warmingUp, 0, lines[s.id])
		}
	}
	if t.pinnedWeight = either(warm < minPinnedShare*whole, 0, all); t.pinnedWeight == 0 {
		return
	}
	clear(t.target)
	for s, w := range lines {
		t.target[s] = w / all
	}
}

// keepHome wants a little of its own zone's servers in a table that would name none, where groups keep to it:
// guards against proxies without a server for these while one is listed, whatever became of the zone.
func (m *Manager) keepZoneLocalServers(t *table) {
	if m.zoneLocal == 0 || m.zoneLocalShare(t) >= minWeightShare {
		return
	}
	var own []*server
	for _, s := range m.servers {
		if m.isZoneLocal(t.id, s) && m.mayServe(s) && (!s.ejected || t.published[s.id] > 0) {
			own = append(own, s)
		}
	}
	for _, s := range own {
		t.target[s.id] = max(t.target[s.id], minWeightShare/float64(len(own)))
	}
}

// counts is what a proxy's flows count for in the split. Guards, while servers climb, against tables full of
// cold servers for a zone of which little is heard, when the rest comes.
func (m *Manager) countedRate(p *proxy, heard float64, cold bool) float64 {
	if heard == 0 || cold && m.now-p.connectedAt <= maxSampleAge {
		return max(heard, p.announcedRate)
	} else if cold {
		return max(heard, minAnnouncedShare*p.announcedRate)
	}
	return heard
}

// split shares the volume of each zone over the servers so that little of it leaves its zone and
// every server stays within its band: floors first, from its own zone and then from the surplus of
// others; then ceilings in-zone; then what is left spills to the spare band nearest by latency.
func distribute(volumes []float64, parts []distributionPart, nearest func(z int) []int, closed func(a, b int) bool) distributionShares {
	left, got, members := slices.Clone(volumes), make([]float64, len(parts)), make([][]int, len(volumes))
	for i, p := range parts {
		members[p.partition] = append(members[p.partition], i)
	}
	given, full := make([]map[int]float64, len(volumes)), make([]bool, len(volumes))
	// fill gives from zone a to the servers of zone b, by their room up to a bound
	fill := func(a, b int, bound func(distributionPart) float64) {
		room := 0.0
		for _, i := range members[b] {
			room += max(0, bound(parts[i])*parts[i].target-got[i])
		}
		if full[b] = room <= 0; full[b] || left[a] <= 0 {
			return
		}
		if given[a] == nil {
			given[a] = map[int]float64{}
		}
		give := min(1, left[a]/room)
		for _, i := range members[b] {
			x := give * max(0, bound(parts[i])*parts[i].target-got[i])
			given[a][i], got[i], left[a] = given[a][i]+x, got[i]+x, left[a]-x
		}
	}
	floor, ceiling := func(p distributionPart) float64 { return p.low }, func(p distributionPart) float64 { return p.high }
	for _, bound := range []func(distributionPart) float64{floor, ceiling} {
		clear(full)
		for z := range volumes {
			fill(z, z, bound)
		}
		for _, shut := range []bool{false, true} {
			for z := range volumes {
				if left[z] <= 0 || !slices.Contains(full, false) {
					continue
				}
				for _, b := range nearest(z) {
					if left[z] > 0 && !full[b] && closed(z, b) == shut {
						fill(z, b, bound)
					}
				}
			}
		}
	}
	// too little room in all bands: by target, to the steady servers if there are any
	steady := slices.ContainsFunc(parts, func(p distributionPart) bool { return p.low > 0 })
	by, all := make([]float64, len(parts)), 0.0
	for i, p := range parts {
		if p.low > 0 || !steady {
			by[i], all = p.target, all+p.target
		}
	}
	return distributionShares{given, left, by, all}
}

// An urgent batch that found no room waits until the least that was left of it fits, or for the next second.
func (m *Manager) publishReady() bool {
	return m.publishDue && m.partitioned && m.blockedAt != m.now && (m.blockedProxies == 0 || m.singleCommandCost(m.blockedProxies) <= m.available(drainPriority))
}

// lay sends what guards a rule, then levels and lines table by table, where most flows move first, as far as
// the queue has room; the rest is solved anew with the next second. Guards against differences that never fit
// at once and, where a message's head is dear, against levels that move each second and leave lines no room.
func (m *Manager) publish() {
	m.publishDue, m.blockedProxies = false, 0
	users, worth, moves := make([][]*proxy, len(m.tables)), make([]float64, len(m.tables)), []tableChange{}
	rest, held, late := false, false, false // waits: at all, urgent, for messages
	sums := m.demandByClass()
	book := func(t TableID, lines float64, need priority) bool {
		if m.fits(users[t], lines, need) {
			m.reserve(users[t], lines)
			return true
		} else if rest = true; need == drainPriority {
			held, late = true, late || !m.mayMessage(users[t], need)
			m.blockedProxies = either(late, 0, min(cmp.Or(m.blockedProxies, len(users[t])), len(users[t])))
		}
		return false
	}
	for z := range m.tables {
		users[z] = m.tableProxies(z)
		some := append(m.weightChanges(TableID(z)), m.levelChanges(z, sums)...)
		for _, l := range some {
			worth[z] += min(l.requestRate, m.distributedRates[z])
		}
		moves = append(moves, some...)
	}
	for _, s := range m.servers {
		s.decreasePending = false
	}
	first := func(l tableChange) float64 {
		return either(math.IsInf(l.requestRate, 1), l.requestRate, worth[l.Table])
	}
	slices.SortStableFunc(moves, func(a, b tableChange) int {
		return cmp.Or(cmp.Compare(first(b), first(a)), cmp.Compare(a.Table, b.Table), cmp.Compare(b.requestRate, a.requestRate))
	})
	for i := 0; i < len(moves); i++ {
		l, s, t := moves[i], m.server(moves[i].Server), m.tables[moves[i].Table]
		if s == nil {
			if book(l.Table, 1, normalPriority) {
				m.recordLevel(t, l.level)
			}
			continue
		}
		others, raised := m.otherUsableWeight(t, s), l.Weight > t.published[s.id]
		lines, need := either(m.isZoneLocal(l.Table, s), 2.0, 1), either(math.IsInf(l.requestRate, 1), drainPriority, normalPriority)
		early := l.Weight == 0 && (others == 0 || m.isLastZoneLocal(t, s)) && !s.withdrawn ||
			s.warmingUp && raised && l.Weight > maxWarmingRise*t.target[s.id]*(others+l.Weight)
		if early && l.requestRate >= 0 {
			moves = append(moves, tableChange{EndpointWeight: l.EndpointWeight, requestRate: -1}) // guards against tables bare, or cold, meanwhile
		} else if early || !book(l.Table, lines, need) {
			rest, s.decreasePending = true, s.decreasePending || l.Weight < t.published[s.id]
		} else {
			m.recordWeight(l.EndpointWeight, s, t)
		}
	}
	if held {
		m.publishDue, m.blockedAt = true, m.now
	} else if rest {
		m.redistribution = "rest"
	}
	m.publishUrgent = m.publishUrgent && m.publishDue
}

// A server that returned is readmitted where it stands in tables, once no line of more than it should get
// is left there: one that waits behind others for the queue would be picked at its old weight.
func (m *Manager) nextRestore() *server {
	if m.publishDue || m.listChanged || m.pinned != nil && !m.emptyTableWaits {
		return nil
	}
	need := either(m.emptyTableWaits, drainPriority, urgentPriority)
	for _, s := range m.sets().returning {
		if !s.decreasePending && !m.slowStartPaused(s) && !(s.ejected && m.anyUsable()) && m.fits(m.holders(s), 1, need) {
			return s
		}
	}
	return nil
}

func (m *Manager) restoreReady() bool { return m.nextRestore() != nil }
func (m *Manager) restore() {
	s := m.nextRestore()
	m.commands.Restore = append(m.commands.Restore, s.id)
	m.setWithdrawn(s, false)
	m.reserve(m.holders(s), 1)
}

// differences are the lines in which a table must change; the scale is that of most standing lines.
// A table never becomes empty: without any server to name it stays as it is.
func (m *Manager) weightChanges(id TableID) (moves []tableChange) {
	t := m.tables[id]
	scale, guards := t.scale(), m.isEmptyTable(t) || m.hasNoLocalEndpoint(t) || m.wouldOverloadWarmingServers(id)
	for _, s := range m.tableServers(t) {
		if s.withdrawn && !m.mayServe(s) && !m.forgettable(s) {
			continue // its line does no harm
		}
		was, weight := t.published[s.id], math.Round(t.target[s.id]*scale*1000)/1000
		differs := either(t.pinnedWeight > 0, 0, m.weightTolerance)
		if m.zoneLocal != 0 && s.ejected && weight > was && m.anyUsable() {
			continue // what is kept of a lost zone is what stands
		}
		moved := (weight == 0) != (was == 0) || math.Abs(weight-was) > differs*max(weight, was)
		if moved && len(t.target) > 0 {
			flows := math.Abs(weight-was) / scale * m.distributedRates[id]
			// what guards a rule goes first, with the drains' room, then what is lost
			lost, guard := weight < was && (s.warmingUp || weight == 0), guards || s.warmingUp && weight < was/maxWarmingRise
			guard = guard || weight == 0 && s.leavingSince > 0 && m.assignsBeforeDrains() // before proxies are put on it
			flows = either(guard, math.Inf(1), either(lost, math.MaxFloat64, flows))
			moves = append(moves, tableChange{EndpointWeight: EndpointWeight{id, s.id, weight}, requestRate: flows})
		}
	}
	return moves
}

// A proxy that joins is put on its block's table once the channel has room, the first that joined first.
func (m *Manager) nextAssignment() *proxy {
	need := either(m.assignsBeforeDrains(), drainPriority, urgentPriority)
	for _, p := range m.assignableWithin(m.available(need)) {
		t := m.tables[p.partition]
		if !t.awaitsDistribution && !m.isEmptyTable(t) && m.fits([]*proxy{p}, m.assignmentCost(t), need) {
			return p
		}
	}
	return nil
}

func (m *Manager) assignmentReady() bool { return m.partitioned && m.nextAssignment() != nil }

func (m *Manager) assignProxy() {
	p := m.nextAssignment()
	m.recordAssignment(p)
	m.reserve([]*proxy{p}, m.assignmentCost(m.tables[p.partition]))
}

// Again tells how many of the orders that go out once more, or late, may go now, and their mark: they need
// room like all others. Guards against a burst once the relay is back. The first may have been carried out.
func (m *Manager) Resend(now time.Duration, from BarrierID, carried bool, o Commands) (n int, mark BarrierID) {
	m.now = now
	m.releaseUnsent(from, carried)
	for n < o.Count() {
		to, lines := m.recipients(o, n)
		drain := n < len(o.Withdraw)
		// guards against drains kept late by all that goes with them: a proxy's message is as long as that
		along := drain || len(o.Withdraw) == 0 || m.queuedCommands() <= besideDrainsShare*m.sendableSoon[normalPriority]
		if !along || !m.fits(to, lines, either(drain, drainPriority, urgentPriority)) {
			break
		}
		m.reserve(to, lines)
		n++
	}
	mark, m.commands = m.commands.Barrier, Commands{}
	return n, mark
}
