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
	batchEvery, afterReport = time.Second, 10 * time.Millisecond // a second opens once reports come
	partAfter               = 50 * time.Millisecond              // the first proxy joined, the first opens
	samplesKept, samplesOld = 24, 5 * time.Second                // reports of a server, their greatest age
	silentTries, silentFor  = 4.0, 2 * time.Second               // tries due and time before silence counts
	mostFlows, freshFor     = 0.6, 1500 * time.Millisecond       // of fresh good answers: pressure is theirs
	lineHold, lineSure      = 3 * time.Second, 4 * time.Second   // between falls, and until rises are faster
	forgetAfter             = time.Minute                        // that a server is gone

	bandLow, bandHigh, coldFill = 0.8, 1.2, 1.5 // of a target: its floor, its ceiling, a cold one's at most
	shareMost, coldMost         = 2.0, 2.0      // the most of a listed share, and of a cold server's part
	pairTrouble, pairDrops      = 2.0, 0.5      // a zone pair closes at this multiple of its norm, or drops
	pairLast, daySamples        = 3, 64         // samples that must agree on it, and make its norm
	zoneLeast, zoneLost         = 3.0, 0.9      // servers, and the part of those asked: their zone is lost
	keptOpen                    = 8.0           // uses of a connection before an idle one closes
	blockServers, blockProxies  = 4.0, 5.0      // servers of a block at least, and proxies of this manager
	climbFrom, climbCold        = 0.1, 0.6      // of its target, of the stated cold share: a climb's start
	floodDrops, holdUnheard     = 0.4, 0.5      // median drops, and part of a climb, at which cold servers wait
	askedFor, volumeFor         = 0.9, 6.0      // seconds of usage that make what is asked, and a volume
	usualVolume                 = 0.5           // of what a proxy usually gets, while servers climb
	volumeMoved                 = 0.2           // part by which a volume moves before a new split
	lineDiffers, linePriced     = 0.1, 1.5      // part by which a weight moves, more for what a line costs
	leastLine, leastOfLargest   = 0.005, 0.5    // part of a table, of its largest line: less is no line
	levelStep                   = 0.04          // part by which a level moves before it is sent
	fullTries, enoughTries      = 6, 3          // that make figures full, and a server a peer
	slowLatency                 = 1.25          // of the peers' median latency, not yet slow
	failExcess, failWorst       = 0.15, 0.35    // more drops than the peers': not yet failing, and the worst
	leastHealth, returnHealth   = 0.02, 0.15    // to be heard by, and once a server answers again
	healthFall, healthPace      = 0.8, 0.3      // in a second: the most, and part of the way in logarithms
	healthMoved                 = 0.05          // change that is worth solving anew
	soundHealth, weakHealth     = 0.97, 0.5     // below: no floor, and a line in the log
	slowChannel                 = 8.0           // times slower, until marks are answered
	queueBatch, perBatch        = 0.5, 0.6      // of the queue and a proxy's messages: for batches,
	queueUrgent, perUrgent      = 0.75, 0.8     // joining proxies and tables that must change at once,
	queueDrain                  = 0.9           // and drains;
	soonCalm, soonUrgent        = 1.0, 2.0      // seconds of lines, against a queue that holds a minute's,
	soonAlong                   = 0.5           // and with what may go along with drains that go out late
	pressureLow, pressureHigh   = 0.26, 0.32    // of the budget: the line moves up, and down
	calmLow, calmHigh, calmMost = 1.5, 2.0, 0.3 // of the calmest so far, this at most, if that is more
	dropsHigh                   = 0.25          // share of drops at which it moves down between them
	lineFall, lineLeast         = 0.92, 0.6     // of what is delivered; of the most lately, if that collapsed
	lineRise, kneePart          = 0.3, 0.85     // in a second, up to this part of the most lately,
	surgeMost, surgeAfter       = 1.5, 5        // of the most lately, all that is let in at once
	heardPart                   = 0.5           // of what proxies told, heard of before the line moves
	lineCreep, lineOpen         = 0.05, 1.2     // beyond it, and of what is asked to let in all
	heldLeast                   = 0.3           // tries a second for told load to say something
	probesAtOnce, probePart     = 4, 0.3        // probes that take less than flows find idle servers
	holdLeast                   = 0.5           // of a held table's weight: what warm servers must have of it
	rateOpen                    = 1e6
)

// New makes a manager of a site; the same seed and the same inputs give the same orders.
func New(seed uint64, t Settings) *Manager {
	m := &Manager{bounds: stated(t), chance: seed, line: math.Inf(1), hold: holdUnheard, calmest: math.Inf(1)}
	m.markedAt, m.heldAt, m.doubted, m.due = -1, -1, -1, time.Duration(m.random()*float64(batchEvery))
	m.climbBase, m.slowPace = min(climbFrom, climbCold*t.ColdCapacity), t.CommandsPerSecond/slowChannel
	m.lineDiffers = lineDiffers + linePriced*t.CommandPrice
	m.rooms = [3]float64{queueBatch * t.QueueCapacity, queueUrgent * t.QueueCapacity, queueDrain * t.QueueCapacity}
	m.graceLines = t.CommandsPerSecond * cmp.Or(t.DrainGrace.Seconds(), soonUrgent)
	m.soon = [3]float64{soonCalm * t.CommandsPerSecond, soonUrgent * t.CommandsPerSecond, m.rooms[draining]}
	if most := float64(t.MaxMessages); most > 1 {
		m.perProxy = [3]int{int(max(1, perBatch*most)), int(max(1, perUrgent*most)), int(most - 1)}
	}
	for g, group := range t.Classes {
		m.byUtility, m.mayTry = append(m.byUtility, ClassID(g)), append(m.mayTry, mayTry(t.DefaultRetryPolicy, group))
		m.home, m.roaming = m.home|either[uint](group.ZoneLocal, 1<<g, 0), m.roaming|either[uint](group.ZoneLocal, 0, 1<<g)
	}
	slices.SortStableFunc(m.byUtility, func(a, b ClassID) int {
		// of equal utility, the shorter budget tells of less work
		return cmp.Or(cmp.Compare(t.Classes[b].PriorityWeight, t.Classes[a].PriorityWeight),
			cmp.Compare(t.Classes[a].LatencyObjective, t.Classes[b].LatencyObjective))
	})
	m.layOut(1, t.Zones)
	return m
}

// mayTry is the site's way of trying again as far as a group bears it. Guards against an effect twice: what
// may have run is not sent once more, or only while its copies are still dropped.
func mayTry(usual RetryPolicy, g TrafficClass) RetryPolicy {
	again := g.Idempotency == Idempotent || g.Idempotency == IdempotencyKeyed && g.DedupWindow >= g.Deadline
	return either(again, usual, min(usual, RetryIfNotExecuted))
}

// rules are gone through in this order after every input; each effect makes its condition false.
var rules = []rule{
	{(*Manager).unasked, (*Manager).listen},
	{(*Manager).drainWaits, (*Manager).withdraw},
	{(*Manager).zoneDoubted, (*Manager).askZone},
	{(*Manager).unstarted, (*Manager).start},
	{(*Manager).secondOver, (*Manager).openSecond},
	{(*Manager).proxyJoined, (*Manager).awaitSolve},
	{(*Manager).unsolved, (*Manager).solve},
	{(*Manager).batchWaits, (*Manager).lay},
	{(*Manager).readmitWaits, (*Manager).readmit},
	{(*Manager).proxyWaits, (*Manager).bind},
	{(*Manager).unwoken, (*Manager).setWake},
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
			began = max(started, now-m.warmAfter)
		}
		if s == nil {
			// guards against a list that names servers that do not exist: one that the first list did not
			// name gets flows once it answers a probe
			s = m.add(e)
			s.started, s.startedAt, s.climbing = started, began, e.RecentlyStarted && (now-started < m.warmAfter || !whole)
			s.out = m.probes && m.listedOnce
		} else if started > s.started {
			// guards against pushing over a cold server that came back before its end was listed:
			// what stands in the tables is lowered at once
			s.climbing, s.startedAt, s.started = true, began, started
			s.health, s.load, s.heard, s.heardAt, s.quietFrom = 1, -1, nil, nil, now
			s.out, m.urgent = s.out && m.probes, m.urgent || !s.withdrawn
		}
		s.weight = either(m.liveWeights, e.Weight, s.weight)
		m.list(s, e.State)
	}
	for _, s := range m.servers {
		if whole && !seen[s.id] {
			m.list(s, Removed)
		}
	}
	m.listedOnce, m.relisted, m.cause, m.sorted = true, true, "list", false
	if len(m.waits) > 0 && len(m.sets().leave) > 0 {
		m.urgent = true
		m.endSolveWait()
	}
	return m.decide()
}

// list notes what the list says of a server. Where gone does not bind, the list is one witness, a probe the
// other: until it fails the server keeps its flows. One that drained before it went stays withdrawn.
func (m *Manager) list(s *server, c ServerState) {
	s.state = either(c != Removed || s.state == Ready, c, s.state)
	s.goneAt = either(c == Removed, cmp.Or(s.goneAt, m.now), 0)
	s.leavesAt = either(c == Ready, 0, cmp.Or(s.leavesAt, m.now))
	m.drains = m.drains || c != Ready
	if s.out || s.state == Removed {
		m.ask(s)
	}
}

func (m *Manager) ask(s *server) {
	if m.probes && m.open(s) {
		s.probedAt, m.o.HealthCheck = m.now, append(m.o.HealthCheck, s.id)
	}
}

// past tells whether a server went too long ago to come back: its lines go, then all that is known of it.
// Guards against memory and tables that grow as servers are replaced by others.
func (m *Manager) past(s *server) bool {
	return s.goneAt > 0 && m.now-s.goneAt > forgetAfter && (!m.open(s) || s.out)
}

// open tells whether a server may get flows.
func (m *Manager) open(s *server) bool {
	return s.state == Ready || s.state == Removed && m.goneStays && m.probes
}

// Probed takes the outcome of a probe, how long it took, and the flows held that the server told; -1 without.
func (m *Manager) HandleHealthCheck(now time.Duration, id ServerID, a HealthCheckResult, took time.Duration, load float64) Commands {
	m.now = now
	if s := m.server(id); s != nil && m.open(s) {
		m.timed(a, took)
		s.tell(now, load)
		s.missed, s.answeredAt = a == HealthCheckUnreachable, now
		switch {
		case a >= HealthCheckTimedOut && !s.out && (s.state == Removed || now-s.quietFrom >= silentFor):
			m.takeOut(s, "silence")
			m.doubted = either(now-m.zoneAsked[s.zone] >= silentFor, s.zone, m.doubted)
		case a == HealthCheckPassed && s.out:
			s.out, s.quietFrom, m.cause = false, now, "answer"
			s.health = either(s.climbing, s.health, returnHealth)
			if s.state == Removed {
				// it may be a fresh process that the list does not know yet
				s.climbing, s.startedAt, m.sorted = true, now, false
			}
			m.note("server back: %s answers a probe", id)
		}
	}
	return m.decide()
}

func (m *Manager) takeOut(s *server, cause string) {
	s.out, s.health, m.cause = true, returnHealth, cause
	m.note("server out: %s silent for %.1fs and to a probe, %s", s.id, (m.now - s.quietFrom).Seconds(), cause)
}

// A server that falls silent casts doubt on its zone, which is asked at once. Guards against a lost zone that
// is learnt of server by server: in a large fleet a report tells of seconds, and comes seconds late.
func (m *Manager) zoneDoubted() bool { return m.doubted >= 0 }
func (m *Manager) askZone() {
	for _, s := range m.servers {
		if s.zone == m.doubted && !s.out {
			m.ask(s)
		}
	}
	m.zoneAsked[m.doubted], m.doubted = m.now, -1
}

// judgeZones takes out what can't be reached in a zone where hardly any server can, whatever older reports
// said. A server that is only late with its answer doesn't count: all may be, under overload.
func (m *Manager) judgeZones() {
	lost, all := make([]float64, len(m.zones)), make([]float64, len(m.zones))
	told := func(s *server) bool { // since its zone was asked lately
		return m.open(s) && m.now-m.zoneAsked[s.zone] <= 2*silentFor && s.answeredAt >= m.zoneAsked[s.zone]
	}
	for _, s := range m.servers {
		if told(s) {
			all[s.zone], lost[s.zone] = all[s.zone]+1, lost[s.zone]+either(s.missed, 1.0, 0)
		}
	}
	for _, s := range m.servers {
		if s.missed && !s.out && told(s) && lost[s.zone] >= max(zoneLeast, zoneLost*all[s.zone]) {
			m.takeOut(s, "zone")
		}
	}
}

func (m *Manager) unasked() bool { return m.asks && !m.asked && m.now >= m.askFrom }
func (m *Manager) listen()       { m.asked, m.o.Subscribe = true, true }

// leaving is a server that is withdrawn at once, but not along with a binding: it would go out before that.
func (m *Manager) leaving() *server {
	for _, s := range m.sets().leave {
		if m.o.Assign == nil && m.room(m.holders(s), 1, draining) {
			return s
		}
	}
	return nil
}

func (m *Manager) drainWaits() bool { return m.drains && !m.bindsFirst() && m.leaving() != nil }

// bindsFirst guards against withdrawals that cost each proxy without a table a line and a message, as after
// another manager was lost in a release: its table is laid without the servers that leave, and settles all.
// Withdrawals go first where the bindings are more than leaves within the grace.
func (m *Manager) bindsFirst() bool {
	return len(m.sets().leave) > 0 && m.leastToBind() <= m.rooms[draining] && m.allToBind() <= m.graceLines
}

func (m *Manager) withdraw() {
	s := m.leaving()
	m.o.Withdraw = append(m.o.Withdraw, s.id)
	m.pull(s, true)
	m.post(m.holders(s), 1)
	m.lookForBare()
	m.urgent = m.urgent || slices.ContainsFunc(s.tables, m.floods) // guards cold servers left with all
}

// lookForBare guards against proxies without any server: such a table is laid at once, with all the room.
func (m *Manager) lookForBare() {
	m.bareWaits, m.drains = slices.ContainsFunc(m.tables, m.bare), m.leaving() != nil
	m.urgent = m.urgent || m.bareWaits || slices.ContainsFunc(m.tables, m.homeless)
}

func (m *Manager) unstarted() bool { return !m.parted && len(m.proxies) > 0 && m.due > m.now+partAfter }
func (m *Manager) start()          { m.due, m.wakeAt = m.now+partAfter, 0 }

func (m *Manager) secondOver() bool { return m.now >= m.due }
func (m *Manager) openSecond() {
	m.due, m.batch, m.heldBy = m.now+batchEvery, true, 0
	if next := m.reportAt + batchEvery + afterReport; m.reportAt > 0 && next > m.now+batchEvery/2 {
		m.due = min(next, m.due+batchEvery/2) // what is heard is judged while it is fresh
	}
	if !m.parted && len(m.proxies) > 0 && len(m.servers) > 0 && !m.sliced {
		m.part()
	}
	m.forget(func(s *server) bool { return m.past(s) && !m.stands(s) })
	m.lookForBare()
	m.holdBackCold()
	m.judgeZones()
	m.judgeServers()
	m.probeSilent()
	m.judgePairs()
	m.moveLine()
	if m.volumesDiffer(volumeMoved) {
		m.cause = "volume"
	}
}

// holdBackCold guards against pushing over a cold server when its peers turn flows away, which would all come
// to it: it waits until they answer most flows, and early in its climb until half of them are heard of. It
// may hold back much.
func (m *Manager) holdBackCold() {
	_, drops, heard := m.peers()
	steady := count(m.servers, func(s *server) bool { return m.open(s) && !s.out && !s.climbing })
	hold := either(steady == 0, 0, either(drops > floodDrops, 1, either(2*heard < steady, holdUnheard, 0)))
	if hold != m.hold {
		m.hold, m.cause, m.urgent = hold, "flood", true
		m.note("cold servers held back under %.1f: %.2f dropped, %d of %d peers heard", hold, drops, heard, steady)
	}
	for _, s := range m.servers {
		if s.climbing {
			s.climbing, m.cause, m.sorted = m.now-s.startedAt < m.warmAfter, "climb", false
		}
	}
}

// judgeServers lowers the health factor of a server that fails more than its peers or is slower, whatever
// the reason, and raises it gradually. It harms where few proxies are to blame for what all servers do.
func (m *Manager) judgeServers() {
	latency, drops, _ := m.peers()
	for _, s := range m.servers {
		if !m.open(s) {
			continue
		}
		tries, failed, l := m.figures(s)
		excess, was := (failed+2*drops)/(tries+2)-drops, s.health
		aim := max(leastHealth, 1-max(0, excess-failExcess)/(failWorst-failExcess))
		if l = (l*tries + 2*latency) / (tries + 2); l > 0 {
			aim = min(aim, slowLatency*latency/l)
		}
		s.health *= max(healthFall, math.Pow(max(leastHealth, aim)/was, healthPace))
		if was-s.health > healthMoved || s.health-was > healthMoved*was {
			m.cause = "health"
		}
		if was > weakHealth && s.health <= weakHealth {
			m.note("server weak: %s health %.2f failed %.0f of %.0f latency %.2fs peers %.2fs %.2f",
				s.id, s.health, failed, tries, l, latency, drops)
		}
	}
}

// probeSilent guards against servers that no longer answer, before the list knows; silence may be another's.
func (m *Manager) probeSilent() {
	m.expect()
	for _, s := range m.servers {
		quiet := m.now - s.quietFrom
		silent := quiet >= silentFor && s.expects*quiet.Seconds() >= silentTries
		suspect := silent || s.out || s.health < returnHealth || s.state == Removed && quiet >= silentFor
		if suspect && m.now-s.probedAt >= silentFor {
			m.ask(s)
		}
	}
}

// judgePairs closes a zone pair to new spill while its latency is a multiple of its norm.
func (m *Manager) judgePairs() {
	for a := range m.pairs {
		for b := range m.pairs[a] {
			p := &m.pairs[a][b]
			norm, closed := median(p.latency), len(p.drops) >= pairLast
			for i := 1; closed && i <= pairLast; i++ {
				far := len(p.latency) >= 3*pairLast && p.latency[len(p.latency)-i] > pairTrouble*norm
				closed = far || p.drops[len(p.drops)-i] > pairDrops
			}
			if a != b && closed != p.closed {
				p.closed, m.cause = closed, "pair"
				m.note("pair %s to %s closed %v norm %.2fs", m.zones[a], m.zones[b], closed, norm)
			}
		}
	}
}

// atServers is the latency that the servers themselves show: by the flows that they say they hold, or else by
// probes, which may be answered beside the queue. Guards against blocking flows that are late elsewhere.
func (m *Manager) atServers(latency float64) float64 {
	waits := m.heldTimes(heldLeast)
	for range probesAtOnce {
		s := m.servers[int(m.random()*float64(len(m.servers)))]
		if m.probes && !m.loadTold && m.open(s) && !s.out && s.health > weakHealth {
			m.o.HealthCheck = append(m.o.HealthCheck, s.id)
		}
	}
	if len(waits) > 0 {
		return min(latency, median(waits))
	}
	if waits = m.probeTimes(); m.probes && len(waits) > 0 && median(waits) < probePart*latency {
		return median(waits)
	}
	return latency
}

// moveLine moves the line of utility, in flows a second: down to what the servers deliver when as a
// whole they are late or drop flows, up slowly. All is let in while they are healthy.
func (m *Manager) moveLine() {
	latency, drops := m.flowsMeet(mostFlows)
	budget := m.meanBudget()
	pressure := latency / budget
	if pressure > pressureLow && len(m.servers) > 0 {
		pressure = m.atServers(latency) / budget
	}
	m.calmest = min(m.calmest, either(latency > 0, latency/budget, m.calmest))
	// guards against blocking flows that take long by themselves, also to a manager that starts under load
	calm := min(m.calmest, calmMost)
	high, low := max(pressureHigh, calmHigh*calm), max(pressureLow, calmLow*calm)
	asked, delivered := m.traffic()
	// guards against a line that the first few proxies heard set, or that stays while a lost manager's join or
	// most servers go: it is for what was told and for the weight that can serve by now
	told := m.heardOf()
	of := told * m.able()
	m.line *= cmp.Or(of, m.lineOf, 1) / cmp.Or(m.lineOf, of, 1)
	was := m.line
	m.lineOf = cmp.Or(of, m.lineOf)
	if told < heardPart*m.toldRate()*float64(len(m.proxies)) || of == 0 || m.admit == AdmitNone {
		return
	}
	m.peaks = lastOf(append(m.peaks, delivered/of), samplesKept)
	knee := slices.Max(m.peaks) * of
	// guards against a surge that fills all queues before a late answer is heard of
	if len(m.peaks) > surgeAfter && min(asked, m.line) > surgeMost*knee {
		m.line = surgeMost * knee
	}
	switch {
	case pressure > high || pressure > low && drops > dropsHigh && len(m.peaks) > surgeAfter:
		if m.now-m.lineMoved >= lineHold {
			m.line, m.lineMoved = max(lineFall*min(m.line, delivered), lineLeast*knee), m.now
		}
	case pressure < low && m.line > lineOpen*asked:
		m.line = math.Inf(1)
	case pressure < low && m.line > kneePart*knee:
		// the longer the line has not fallen, the faster: guards against a knee that the line itself made
		m.line *= 1 + lineCreep*(1-pressure/low)*(1+(m.now-m.lineMoved).Seconds()/lineSure.Seconds())
	case pressure < low:
		m.line *= 1 + lineRise*(1-pressure/low)
	}
	if m.line < was || m.line > was*2 {
		m.note("line of utility at %.0f of %.0f flows/s: %.0f delivered, %.2f of the budget, %.2f dropped",
			m.line, asked, delivered, pressure, drops)
	}
}

// levels are what must change in what a table lets in: the groups by utility, each what those above it left.
func (m *Manager) levels(z int, sums []float64) (moves []move) {
	if m.pins != nil {
		return m.pinnedLevels(TableID(z))
	}
	// under overload each further try takes room from a first one
	left, open := m.line, math.IsInf(m.line, 1)
	flows, homes := max(sum(sums), 1e-9), 0.0
	for g := range sums {
		homes += either(m.home&(1<<g) != 0, sums[g], 0)
	}
	// guards servers of a zone that lost most of them: what keeps to it is let in as far as they get flows
	home := 1.0
	if homes > 0 {
		home = min(1, coldFill*m.homePart(m.tables[z])*flows/homes)
	}
	for _, g := range m.byUtility {
		part, tries := min(1, left/max(sums[g], 1e-9)), either(open, m.mayTry[g], NoRetry)
		l := AdmissionLevel{Table: TableID(z), Classes: 1 << g, Amount: m.amount(part, z, g), Retry: tries}
		left = max(0, left-sums[g])
		if m.home&(1<<g) != 0 {
			l.Amount = m.amount(min(part, home), z, g)
		}
		was, stands := m.tables[z].levels[l.Classes]
		if !stands {
			was = AdmissionLevel{Amount: m.amount(1, z, g), Retry: m.usual}
		}
		moved := math.Abs(l.Amount-was.Amount) / max(l.Amount, was.Amount, 1e-9)
		if moved > levelStep || l.Retry != was.Retry || part == 1 && l.Amount != was.Amount {
			moves = append(moves, move{EndpointWeight: EndpointWeight{Table: l.Table}, level: l,
				flows: m.solved[z] * sums[g] / flows * max(moved, levelStep)})
		}
	}
	return moves
}

// part cuts zones into blocks, each with a table for a part of the zone's proxies. Guards against proxies
// with so few flows for so many servers that connections close between uses.
func (m *Manager) part() {
	m.parted = true
	zones := float64(len(m.zones))
	servers, uses := float64(count(m.servers, m.open))/zones, m.toldRate()*m.connIdle.Seconds()
	m.blocks = int(max(1, min(math.Ceil(keptOpen*servers/max(uses, 1e-6)), servers/blockServers,
		m.allProxies/m.managers/zones/blockProxies)))
	if m.blocks > 1 {
		m.note("zones in %d blocks: %.0f servers a zone, %.0f uses of a connection", m.blocks, servers, uses)
		m.layOut(m.blocks, nil)
	}
}

// A newcomer's flows are in no table yet. While servers climb, tables are solved anew before it is bound:
// guards against a table laid for a zone without proxies, as after a cut, that names cold servers only. It
// waits for the next second, with the tables that it holds: hundreds join one by one after a restart. While
// servers drain, which other managers' tables may name, it waits only where its own is colder than the fleet.
func (m *Manager) proxyJoined() bool { return m.joinedTable != nil }
func (m *Manager) awaitSolve() {
	t := m.joinedTable
	if m.joinedTable = nil; m.climbs() {
		m.cause, m.least = "join", 0
		t.awaitsSolve = t.awaitsSolve || m.sets().drained == 0 || m.coldPart(t) > coldMost*m.coldShare
	}
}

// The split: tables are solved anew when the list, health, a climb, usage or a pair calls for it.

func (m *Manager) unsolved() bool { return m.cause != "" && m.parted && (m.batch || m.urgent) }

func (m *Manager) floods(t TableID) bool   { return m.coldRise(m.tables[t]) > coldMost }
func (m *Manager) heldBack(s *server) bool { return s.climbing && m.climbed(s) < m.hold }

// climbed is the part of its target that a server gets by now.
func (m *Manager) climbed(s *server) float64 {
	if !s.climbing {
		return 1
	}
	return min(1, m.climbBase+(1-m.climbBase)*(m.now-s.startedAt).Seconds()/m.warmAfter.Seconds())
}

func (m *Manager) solve() {
	m.cause, m.batch, m.relisted, m.heldBy, m.solved = "", true, false, 0, m.volumes()
	m.endSolveWait()
	var parts []part
	var in []*server
	anyIn := m.anyIn() // health never takes the last server of all
	all, listed, steady, cold := sum(m.solved), m.listed(), 0.0, 0.0
	able := max(m.able(), listed/coldFill)
	for _, s := range m.servers {
		if !m.open(s) || s.out && anyIn || m.heldBack(s) {
			continue
		}
		p := part{block: s.block, target: max(s.weight, 1e-6) * s.health, low: bandLow, high: bandHigh}
		if s.health < soundHealth {
			p.low, p.high = 0, 1
		}
		// guards against pushing over a cold server when others fail: until it must be warm, it gets its
		// climbing part of what it would get of a fleet in order, and little of its lost peers' part
		if s.climbing {
			p.target *= m.climbed(s) * all / able
			p.low, p.high, cold = 0, 1, cold+p.target
		} else {
			steady += p.target
		}
		parts, in = append(parts, p), append(in, s)
	}
	for i, s := range in {
		if !s.climbing {
			parts[i].target *= (all - cold) / steady
		} else if steady == 0 {
			parts[i].target *= all / cold
		}
		// guards against a sound server that gets the flows of all its weak peers, as after its climb
		parts[i].target = min(parts[i].target, shareMost*all*max(s.weight, 1e-6)/listed)
	}
	m.coldShare = either(steady == 0, 1, cold/all)
	shares := split(m.solved, parts, m.nearest(), m.closed)
	for z, t := range m.tables {
		clear(t.wanted)
		least := min(leastLine*m.solved[z], leastOfLargest*shares.largest(z)) // guards hundreds of even ones
		shares.above(z, least, func(i int, x float64) { t.wanted[in[i].id] = x / m.solved[z] })
		m.keepPinned(TableID(z), t, anyIn)
		m.keepHome(t)
	}
}

// keepPinned wants what staff hold a table at, of the servers that may get flows; a cold one gets its part by
// its climb. Where too little of the weight is warm, the table is solved as ever. Guards against a hold that
// leaves proxies without a server, or cold servers with the flows of their lost peers.
func (m *Manager) keepPinned(id TableID, t *table, anyIn bool) {
	lines, all, warm, whole := map[ServerID]float64{}, 0.0, 0.0, 0.0
	for _, s := range m.pinnedAt(id) {
		whole += m.pins.lines[id][s.id]
		if m.open(s) && !(s.out && anyIn) && !s.withdrawn {
			lines[s.id] = m.pins.lines[id][s.id] * m.climbed(s)
			all += lines[s.id]
			warm += either(s.climbing, 0, lines[s.id])
		}
	}
	if t.held = either(warm < holdLeast*whole, 0, all); t.held == 0 {
		return
	}
	clear(t.wanted)
	for s, w := range lines {
		t.wanted[s] = w / all
	}
}

// keepHome wants a little of its own zone's servers in a table that would name none, where groups keep to it:
// guards against proxies without a server for these while one is listed, whatever became of the zone.
func (m *Manager) keepHome(t *table) {
	if m.home == 0 || m.homePart(t) >= leastLine {
		return
	}
	var own []*server
	for _, s := range m.servers {
		if m.ours(t.id, s) && m.open(s) && (!s.out || t.standing[s.id] > 0) {
			own = append(own, s)
		}
	}
	for _, s := range own {
		t.wanted[s.id] = max(t.wanted[s.id], leastLine/float64(len(own)))
	}
}

// counts is what a proxy's flows count for in the split. Guards, while servers climb, against tables full of
// cold servers for a zone of which little is heard, when the rest comes.
func (m *Manager) counts(p *proxy, heard float64, cold bool) float64 {
	if heard == 0 || cold && m.now-p.joinedAt <= samplesOld {
		return max(heard, p.rate)
	} else if cold {
		return max(heard, usualVolume*p.rate)
	}
	return heard
}

// split shares the volume of each zone over the servers so that little of it leaves its zone and
// every server stays within its band: floors first, from its own zone and then from the surplus of
// others; then ceilings in-zone; then what is left spills to the spare band nearest by latency.
func split(volumes []float64, parts []part, nearest func(z int) []int, closed func(a, b int) bool) shares {
	left, got, members := slices.Clone(volumes), make([]float64, len(parts)), make([][]int, len(volumes))
	for i, p := range parts {
		members[p.block] = append(members[p.block], i)
	}
	given, full := make([]map[int]float64, len(volumes)), make([]bool, len(volumes))
	// fill gives from zone a to the servers of zone b, by their room up to a bound
	fill := func(a, b int, bound func(part) float64) {
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
	floor, ceiling := func(p part) float64 { return p.low }, func(p part) float64 { return p.high }
	for _, bound := range []func(part) float64{floor, ceiling} {
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
	steady := slices.ContainsFunc(parts, func(p part) bool { return p.low > 0 })
	by, all := make([]float64, len(parts)), 0.0
	for i, p := range parts {
		if p.low > 0 || !steady {
			by[i], all = p.target, all+p.target
		}
	}
	return shares{given, left, by, all}
}

// An urgent batch that found no room waits until the least that was left of it fits, or for the next second.
func (m *Manager) batchWaits() bool {
	return m.batch && m.parted && m.heldAt != m.now && (m.heldBy == 0 || m.fresh(m.heldBy) <= m.spare(draining))
}

// lay sends what guards a rule, then levels and lines table by table, where most flows move first, as far as
// the queue has room; the rest is solved anew with the next second. Guards against differences that never fit
// at once and, where a message's head is dear, against levels that move each second and leave lines no room.
func (m *Manager) lay() {
	m.batch, m.heldBy = false, 0
	users, worth, moves := make([][]*proxy, len(m.tables)), make([]float64, len(m.tables)), []move{}
	rest, held, late := false, false, false // waits: at all, urgent, for messages
	sums := m.demands()
	book := func(t TableID, lines float64, need urgency) bool {
		if m.room(users[t], lines, need) {
			m.post(users[t], lines)
			return true
		} else if rest = true; need == draining {
			held, late = true, late || !m.mayWrite(users[t], need)
			m.heldBy = either(late, 0, min(cmp.Or(m.heldBy, len(users[t])), len(users[t])))
		}
		return false
	}
	for z := range m.tables {
		users[z] = m.users(z)
		some := append(m.differences(TableID(z)), m.levels(z, sums)...)
		for _, l := range some {
			worth[z] += min(l.flows, m.solved[z])
		}
		moves = append(moves, some...)
	}
	for _, s := range m.servers {
		s.unlaid = false
	}
	first := func(l move) float64 { return either(math.IsInf(l.flows, 1), l.flows, worth[l.Table]) }
	slices.SortStableFunc(moves, func(a, b move) int {
		return cmp.Or(cmp.Compare(first(b), first(a)), cmp.Compare(a.Table, b.Table), cmp.Compare(b.flows, a.flows))
	})
	for i := 0; i < len(moves); i++ {
		l, s, t := moves[i], m.server(moves[i].Server), m.tables[moves[i].Table]
		if s == nil {
			if book(l.Table, 1, calm) {
				m.setLevel(t, l.level)
			}
			continue
		}
		others, raised := m.usable(t, s), l.Weight > t.standing[s.id]
		lines, need := either(m.ours(l.Table, s), 2.0, 1), either(math.IsInf(l.flows, 1), draining, calm)
		early := l.Weight == 0 && (others == 0 || m.lastOurs(t, s)) && !s.withdrawn ||
			s.climbing && raised && l.Weight > coldMost*t.wanted[s.id]*(others+l.Weight)
		if early && l.flows >= 0 {
			moves = append(moves, move{EndpointWeight: l.EndpointWeight, flows: -1}) // guards against tables bare, or cold, meanwhile
		} else if early || !book(l.Table, lines, need) {
			rest, s.unlaid = true, s.unlaid || l.Weight < t.standing[s.id]
		} else {
			m.stand(l.EndpointWeight, s, t)
		}
	}
	if held {
		m.batch, m.heldAt = true, m.now
	} else if rest {
		m.cause = "rest"
	}
	m.urgent = m.urgent && m.batch
}

// A server that returned is readmitted where it stands in tables, once no line of more than it should get
// is left there: one that waits behind others for the queue would be picked at its old weight.
func (m *Manager) returned() *server {
	if m.batch || m.relisted || m.pins != nil && !m.bareWaits {
		return nil
	}
	need := either(m.bareWaits, draining, pressing)
	for _, s := range m.sets().comeBack {
		if !s.unlaid && !m.heldBack(s) && !(s.out && m.anyIn()) && m.room(m.holders(s), 1, need) {
			return s
		}
	}
	return nil
}

func (m *Manager) readmitWaits() bool { return m.returned() != nil }
func (m *Manager) readmit() {
	s := m.returned()
	m.o.Restore = append(m.o.Restore, s.id)
	m.pull(s, false)
	m.post(m.holders(s), 1)
}

// differences are the lines in which a table must change; the scale is that of most standing lines.
// A table never becomes empty: without any server to name it stays as it is.
func (m *Manager) differences(id TableID) (moves []move) {
	t := m.tables[id]
	scale, guards := t.scale(), m.bare(t) || m.homeless(t) || m.floods(id)
	for _, s := range m.named(t) {
		if s.withdrawn && !m.open(s) && !m.past(s) {
			continue // its line does no harm
		}
		was, weight := t.standing[s.id], math.Round(t.wanted[s.id]*scale*1000)/1000
		differs := either(t.held > 0, 0, m.lineDiffers)
		if m.home != 0 && s.out && weight > was && m.anyIn() {
			continue // what is kept of a lost zone is what stands
		}
		moved := (weight == 0) != (was == 0) || math.Abs(weight-was) > differs*max(weight, was)
		if moved && len(t.wanted) > 0 {
			flows := math.Abs(weight-was) / scale * m.solved[id]
			// what guards a rule goes first, with the drains' room, then what is lost
			lost, guard := weight < was && (s.climbing || weight == 0), guards || s.climbing && weight < was/coldMost
			guard = guard || weight == 0 && s.leavesAt > 0 && m.bindsFirst() // before proxies are put on it
			flows = either(guard, math.Inf(1), either(lost, math.MaxFloat64, flows))
			moves = append(moves, move{EndpointWeight: EndpointWeight{id, s.id, weight}, flows: flows})
		}
	}
	return moves
}

// A proxy that joins is put on its block's table once the channel has room, the first that joined first.
func (m *Manager) waitingProxy() *proxy {
	need := either(m.bindsFirst(), draining, pressing)
	for _, p := range m.unboundWithin(m.spare(need)) {
		t := m.tables[p.block]
		if !t.awaitsSolve && !m.bare(t) && m.room([]*proxy{p}, m.whole(t), need) {
			return p
		}
	}
	return nil
}

func (m *Manager) proxyWaits() bool { return m.parted && m.waitingProxy() != nil }

func (m *Manager) bind() {
	p := m.waitingProxy()
	m.put(p)
	m.post([]*proxy{p}, m.whole(m.tables[p.block]))
}

// Again tells how many of the orders that go out once more, or late, may go now, and their mark: they need
// room like all others. Guards against a burst once the relay is back. The first may have been carried out.
func (m *Manager) Resend(now time.Duration, from BarrierID, carried bool, o Commands) (n int, mark BarrierID) {
	m.now = now
	m.unbook(from, carried)
	for n < o.Count() {
		to, lines := m.concerned(o, n)
		drain := n < len(o.Withdraw)
		// guards against drains kept late by all that goes with them: a proxy's message is as long as that
		along := drain || len(o.Withdraw) == 0 || m.waiting() <= soonAlong*m.soon[calm]
		if !along || !m.room(to, lines, either(drain, draining, pressing)) {
			break
		}
		m.post(to, lines)
		n++
	}
	mark, m.o = m.o.Barrier, Commands{}
	return n, mark
}
