package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// This file is what a manager remembers and how it looks things up; it decides nothing.

type server struct {
	id              ServerID
	zone            int
	partition       int // of its zone's servers; the number of its table
	weight          float64
	state           ServerState
	listedStart     time.Duration // as listed
	warmingUp       bool
	warmUpFrom      time.Duration // its climb counts from then
	removedAt       time.Duration // the list called it gone then; 0: it is there
	leavingSince    time.Duration // the list first said then that it drains or is gone; 0: neither
	withdrawn       bool
	decreasePending bool // a table still names it for more than it should get
	reports         []LoadReport
	reportedAt      []time.Duration
	lastSeen        time.Duration
	health          float64
	ejected         bool // does not answer at all
	checkedAt       time.Duration
	unreachable     bool          // the last probe
	checkEndedAt    time.Duration // then it ended
	expectedRate    float64       // tries a second that should come by the standing tables
	tables          []TableID     // that name it, in order
	inFlight        float64       // flows it said it holds; below 0 before it did
	inFlightAt      time.Duration
}

type proxy struct {
	id            ProxyID
	zone          int
	partition     int     // whose table it is on
	announcedRate float64 // as told when it joined
	connectedAt   time.Duration
	assigned      bool
	mayHoldTable  bool            // what it was bound to before it was told again, for all that is known
	messageTimes  []time.Duration // messages within the span that a limit counts
	usage         [][]sample      // by traffic group, the last samples
}

// figure is one sample of what is measured, and the seconds that it spans if it counts something.
type sample struct {
	at      time.Duration
	value   float64
	seconds float64
}

// pair is what proxies of one zone met in another.
type zonePair struct {
	latencies, failureRates []float64
	closed                  bool
}

type table struct {
	id                 TableID
	target, published  map[ServerID]float64
	publishedLevels    map[uint]AdmissionLevel // standing, by mask of groups
	pinnedWeight       float64                 // weight that staff hold it at; 0: none
	assignCost         float64                 // lines that a proxy put on it gets; 0: to be counted anew
	proxies            []*proxy                // its block's, bound or not, by number
	announcedRate      float64                 // flows a second that those told
	awaitsDistribution bool                    // proxies that are to be put on it wait until it is solved anew
	unassigned         int                     // proxies that are to be put on it
}

// owed is what was ordered at one time and no answered mark shows to have left the channel.
type pendingBatch struct {
	barrier  BarrierID
	at       time.Duration // of its order
	sent     bool          // the channel
	commands float64
	byProxy  map[ProxyID]float64 // of them, by who has not answered
}

// urgency says how much of the queue an order may use.
type priority int

const (
	normalPriority priority = iota
	urgentPriority
	drainPriority
)

// bounds are the few figures that decisions use of what the site states.
type derivedSettings struct {
	latencyObjectives                             []float64 // seconds, by traffic group
	classesByPriority                             []ClassID // most useful first
	defaultRetry                                  RetryPolicy
	retryPolicies                                 []RetryPolicy // by traffic group
	zoneLocal                                     uint          // mask of the groups that keep to their zone,
	crossZone                                     uint          // and of the others
	admissionUnit                                 AdmissionUnit
	warmUpStart                                   float64
	warmUpDuration                                time.Duration
	messageOverhead                               float64    // lines of a message besides its own
	queueLimits                                   [3]float64 // lines that may wait, by urgency,
	sendableSoon                                  [3]float64 // and that leave soon enough for what comes next
	slowestRate                                   float64    // lines a second
	drainGraceCommands                            float64    // that leave within the grace of a drain
	messageLimits                                 [3]int     // messages to one proxy within span, by urgency; 0: no limit
	messageWindow                                 time.Duration
	pollsEndpoints, healthChecks, removedMayServe bool
	sliced                                        bool
	proxyCount                                    float64 // of all managers
	weightTolerance                               float64
	weightsFollowLoad                             bool
	idleTimeout                                   time.Duration
	managerCount                                  float64
}

// Manager decides which servers each proxy zone uses; one goroutine owns it.
type Manager struct {
	derivedSettings
	rngState          uint64
	now               time.Duration
	commands          Commands
	zones             []ZoneID
	servers           []*server    // by id
	proxies           []*proxy     // by number
	tables            []*table     // by block
	partitionsPerZone int          // that a zone is cut into
	partitioned       bool         // it is settled
	zonePairs         [][]zonePair // by zone of proxies, of servers
	distributedRates  []float64    // volumes last solved with
	redistribution    string       // why the tables are to be solved anew
	publishUrgent     bool
	blockedAt         time.Duration // the batch found no room then
	blockedProxies    int           // proxies of the least that was left of it; 0: it is tried again with each input
	publishDue        bool          // a second has passed
	nextTick          time.Duration // when the next has
	lastReportAt      time.Duration // the last came then
	usageReported     bool
	pending           []pendingBatch
	leftSince         float64 // lines that left of what entered the channel, until sentFrom
	leftFrom          time.Duration
	lastBarrier       BarrierID
	barrierAt         time.Duration
	subscribed        bool
	listChanged       bool    // since the tables were solved
	drainPending      bool    // some server may have to be withdrawn
	connectedTable    *table  // a proxy that is to be put on it has joined
	warmingShare      float64 // of all flows, that of the servers that climb, as the tables were solved last
	emptyTableWaits   bool    // some table has no line that can be picked
	listReceived      bool
	pollAfter         time.Duration
	suspectedZone     int             // a zone that may be lost; below 0: none
	zoneCheckedAt     []time.Duration // as a whole, by zone
	admissionLimit    float64         // flows a second that are let in, the most useful first
	limitLoweredAt    time.Duration
	limitCapacity     float64   // what the proxies heard of told, times the weight able, as the line was moved last
	baselineLoad      float64   // the least latency over budget so far
	deliveredPeaks    []float64 // flows delivered a second, lately
	slowStartPause    float64   // part of a climb below which cold servers wait
	checkTimes        []sample  // seconds that probes took, lately
	inFlightReported  bool
	timerAt           time.Duration
	pinned            *pinnedTables // what staff hold the tables at
	indexes
}

// pins are the lines and levels that tables are held at.
type pinnedTables struct {
	weights map[TableID]map[ServerID]float64
	levels  map[TableID]map[uint]AdmissionLevel
}

// stated takes over what the site states as it is.
func deriveSettings(t Settings) (b derivedSettings) {
	b.defaultRetry, b.admissionUnit, b.pollsEndpoints, b.healthChecks = t.DefaultRetryPolicy, t.AdmissionUnit, t.PollsEndpoints, t.HealthChecks
	b.weightsFollowLoad, b.idleTimeout = t.WeightsFollowLoad, t.IdleTimeout
	b.removedMayServe, b.sliced, b.messageOverhead = t.RemovedMayServe, t.Sliced, t.MessageOverhead
	b.proxyCount, b.managerCount = float64(t.Proxies), max(1, float64(t.Managers))
	b.warmUpDuration, b.messageWindow = max(t.WarmUpDuration, 1), t.MessageWindow
	for _, group := range t.Classes {
		b.latencyObjectives = append(b.latencyObjectives, group.LatencyObjective.Seconds())
	}
	return b
}

func (m *Manager) logRecord(format string, figures ...any) {
	m.commands.LogRecords = append(m.commands.LogRecords, fmt.Sprintf(format, figures...))
}

// random is a permuted congruential generator (PCG-XSH-RR) that gives a number from 0 to 1.
func (m *Manager) random() float64 {
	m.rngState = m.rngState*6364136223846793005 + 1442695040888963407
	x, by := uint32((m.rngState>>18^m.rngState)>>27), int(m.rngState>>59)
	return float64(x>>by|x<<(32-by)) / (1 << 32)
}

func (m *Manager) zoneIndex(id ZoneID) int {
	if z := slices.Index(m.zones, id); z >= 0 {
		return z
	}
	m.zones = append(m.zones, id)
	m.zoneCheckedAt = append(m.zoneCheckedAt, -time.Hour)
	m.addTables()
	m.zonePairs = make([][]zonePair, len(m.zones))
	for z := range m.zonePairs {
		m.zonePairs[z] = make([]zonePair, len(m.zones))
	}
	return len(m.zones) - 1
}

func (m *Manager) addTables() {
	for len(m.tables) < len(m.zones)*m.partitionsPerZone {
		m.tables = append(m.tables, &table{id: TableID(len(m.tables)), target: map[ServerID]float64{}, published: map[ServerID]float64{},
			publishedLevels: map[uint]AdmissionLevel{}})
	}
}

// Knows tells whether a server is remembered.
func (m *Manager) KnowsServer(id ServerID) bool { return m.server(id) != nil }

// Sees tells what is known of a server: whether it is, whether it may get flows, and what part of its climb is over.
func (m *Manager) ServerStatus(id ServerID) (known, open bool, climbed float64) {
	if s := m.server(id); s != nil {
		return true, m.mayServe(s) && !(s.ejected && m.anyUsable()), m.warmUpProgress(s)
	}
	return false, false, 0
}

// Flows are those that come to a table's proxies a second, as the tables were solved with.
func (m *Manager) RequestRate(id TableID) float64 {
	if int(id) < len(m.distributedRates) {
		return m.distributedRates[id]
	}
	return 0
}

// Ready is how many servers may get flows, and how many of them are warm.
func (m *Manager) ReadyServers() (all, warm int) {
	for _, s := range m.servers {
		if m.mayServe(s) && !s.ejected {
			if all++; !s.warmingUp {
				warm++
			}
		}
	}
	return all, warm
}

// Layout tells what the tables' numbers mean.
func (m *Manager) Layout() string { return fmt.Sprint(m.zones, " in ", m.partitionsPerZone) }

// Pinned holds the tables at what is given, or lets them go where that is nil. While they are held, only what the
// rules demand changes them: withdrawals, cold servers' parts, proxies without a server.
func (m *Manager) HandlePin(now time.Duration, lines map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel) Commands {
	m.now = now
	m.redistribution, m.publishUrgent = "pin", m.publishUrgent || lines != nil
	if m.pinned = nil; lines != nil {
		m.pinned = &pinnedTables{lines, levels}
	}
	return m.decide()
}

// Stands takes over what the tables hold, where that is not what was ordered: orders were held back on their way.
func (m *Manager) HandleTablesReset(now time.Duration, lines map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel, pulled func(ServerID) bool) {
	m.now = now
	for z, t := range m.tables {
		clear(t.published)
		clear(t.publishedLevels)
		maps.Copy(t.published, lines[TableID(z)])
		maps.Copy(t.publishedLevels, levels[TableID(z)])
		maps.Copy(t.publishedLevels, levels[ZoneLocalTables+TableID(z)])
	}
	for _, s := range m.servers {
		s.withdrawn = pulled(s.id)
	}
	m.placementValid, m.serverSetsValid, m.drainPending, m.redistribution = false, false, true, "stands"
}

// pinnedAt are the servers that a table is held at, by id.
func (m *Manager) pinnedServers(id TableID) (all []*server) {
	if m.pinned == nil {
		return nil
	}
	for s := range m.pinned.weights[id] {
		if one := m.server(s); one != nil {
			all = append(all, one)
		}
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return all
}

// pinnedLevels are those that a table must be brought to.
func (m *Manager) pinnedLevels(id TableID) (moves []tableChange) {
	for _, mask := range slices.Sorted(maps.Keys(m.pinned.levels[id])) {
		if l := m.pinned.levels[id][mask]; m.tables[id].publishedLevels[mask] != l {
			moves = append(moves, tableChange{EndpointWeight: EndpointWeight{Table: id}, level: l})
		}
	}
	return moves
}

// ListFailed keeps the list and asks again with the next second.
func (m *Manager) HandleEndpointListError(now time.Duration) Commands {
	m.now, m.subscribed, m.pollAfter = now, false, now+tickInterval
	return m.decide()
}

// Joined notes a proxy. One that was not told to have left, as after a gap in the news, keeps its block, what was
// heard of it and the messages that it was sent.
func (m *Manager) HandleProxyConnected(now time.Duration, id ProxyID, zone ZoneID, rate float64) Commands {
	m.now = now
	p := &proxy{id: id, zone: m.zoneIndex(zone), announcedRate: rate, connectedAt: now, usage: make([][]sample, len(m.latencyObjectives))}
	p.partition = m.partitionForProxy(p.zone)
	if was := m.proxy(id); was != nil {
		if p.usage, p.messageTimes = was.usage, was.messageTimes; p.zone == was.zone {
			// guards against lines that cost nothing on the books, after a gap in the news, and go to all who never left
			p.partition, p.mayHoldTable = was.partition, was.assigned || was.mayHoldTable
		}
		m.removeProxy(was)
	}
	m.addProxy(p)
	m.connectedTable = m.tables[p.partition]
	return m.decide()
}

// Left takes that a proxy has left.
func (m *Manager) HandleProxyDisconnected(now time.Duration, id ProxyID) Commands {
	m.now = now
	if p := m.proxy(id); p != nil {
		m.removeProxy(p)
	}
	return m.decide()
}

// Heard takes a collector's report of how tries of a server went.
func (m *Manager) HandleLoadReport(now time.Duration, r LoadReport) Commands {
	m.now = now
	s := m.server(r.Server)
	if s == nil || r.Attempts <= 0 {
		return m.decide()
	}
	s.recordInFlight(now, r.InFlight)
	m.inFlightReported, m.lastReportAt = m.inFlightReported || r.InFlight >= 0, now
	s.reports, s.reportedAt = lastN(append(s.reports, r), maxSamples), lastN(append(s.reportedAt, now), maxSamples)
	if r.Failed < r.Attempts {
		s.lastSeen = now
	}
	if p := &m.zonePairs[m.zoneIndex(r.Zone)][s.zone]; r.Attempts >= minAttempts {
		p.failureRates = lastN(append(p.failureRates, float64(r.Failed)/float64(r.Attempts)), maxPairSamples)
		if r.Latency > 0 {
			p.latencies = lastN(append(p.latencies, r.Latency.Seconds()), maxPairSamples)
		}
	}
	return m.decide()
}

// Used takes a report of a proxy's flows of one traffic group.
func (m *Manager) HandleUsageReport(now time.Duration, u UsageReport) Commands {
	m.now = now
	if p := m.proxy(u.Proxy); p != nil && u.Interval > 0 && int(u.Class) < len(m.latencyObjectives) {
		f := &p.usage[u.Class]
		*f = lastN(append(*f, sample{now, float64(u.Requests), u.Interval.Seconds()}), maxSamples)
		m.usageReported = true
	}
	return m.decide()
}

// Applied shows that what was ordered before the mark has left the channel.
func (m *Manager) HandleBarrierAck(now time.Duration, id ProxyID, mark BarrierID) Commands {
	m.now = now
	m.acknowledge(id, mark)
	return m.decide()
}

// Woke takes that the time which was asked for by Orders.Wake has come.
func (m *Manager) HandleTimer(now time.Duration) Commands {
	m.now = now
	return m.decide()
}

// layOut makes the tables anew and deals servers and proxies to the blocks.
func (m *Manager) layOutTables(blocks int, zones []ZoneID) {
	m.partitionsPerZone, m.tables = blocks, nil
	for _, z := range zones {
		m.zoneIndex(z)
	}
	m.addTables()
	m.placementValid = true
	for _, t := range m.tables {
		t.proxies = nil
	}
	has := make([]float64, len(m.tables))
	for _, s := range m.servers {
		s.partition, s.tables = m.smallestPartition(s.zone, has), nil
		has[s.partition]++
	}
	clear(has)
	for _, p := range m.proxies {
		p.partition = m.smallestPartition(p.zone, has)
		has[p.partition] += p.announcedRate
		t := m.tables[p.partition]
		t.proxies, t.unassigned = append(t.proxies, p), t.unassigned+either(p.assigned, 0, 1)
	}
	for b, t := range m.tables {
		t.announcedRate = has[b]
	}
	m.placementValid = len(m.proxies) > 0
}

// stand notes that a line was ordered.
func (m *Manager) recordWeight(l EndpointWeight, s *server, t *table) {
	m.updatePlacement()
	m.commands.Weights, t.assignCost, m.cheapestAssign = append(m.commands.Weights, l), 0, 0
	if m.isZoneLocal(l.Table, s) {
		m.commands.Weights = append(m.commands.Weights, EndpointWeight{ZoneLocalTables + l.Table, l.Server, l.Weight})
	}
	i, names := slices.BinarySearch(s.tables, l.Table)
	if !names {
		s.lastSeen = m.now
		s.tables = slices.Insert(s.tables, i, l.Table)
	}
	if t.published[s.id] = l.Weight; l.Weight == 0 {
		delete(t.published, s.id)
		s.tables = slices.Delete(s.tables, i, i+1)
	}
}

// timed keeps how long a probe took.
func (m *Manager) recordCheckTime(a HealthCheckResult, took time.Duration) {
	wait := took.Seconds()
	if a != HealthCheckPassed {
		wait = math.Inf(1)
	}
	m.checkTimes = lastN(append(m.checkTimes, sample{at: m.now, value: wait}), maxSamples)
}

// move is a line in which a table must change, or a level where no server is named, and how many flows a second it
// moves.
type tableChange struct {
	EndpointWeight
	level       AdmissionLevel
	requestRate float64
}

// part is a server's in the split: its target and the band around it.
type distributionPart struct {
	partition         int
	target, low, high float64
}

// rule is an effect and its condition.
type rule struct {
	condition func(*Manager) bool
	effect    func(*Manager)
}

// decide ends every input.
func (m *Manager) decide() Commands {
	for i := 0; i < len(rules); i++ {
		if rules[i].condition(m) {
			rules[i].effect(m)
			i = -1
		}
	}
	o := m.commands
	m.commands = Commands{}
	return o
}

func (m *Manager) addServer(e Endpoint) *server {
	m.server(e.Server) // the index is there
	s := &server{id: e.Server, zone: m.zoneIndex(e.Zone), weight: e.Weight, health: 1, inFlight: -1}
	s.partition, s.lastSeen, s.warmUpFrom, s.checkedAt = m.partitionForServer(s.zone), m.now, m.now, -unresponsiveAfter
	s.checkEndedAt = -time.Hour
	i, _ := slices.BinarySearchFunc(m.servers, s.id, (*server).compareID)
	m.servers = slices.Insert(m.servers, i, s)
	m.serverByID[s.id] = s
	return s
}

func (s *server) compareID(id ServerID) int { return cmp.Compare(s.id, id) }

// toldRate is how many flows a second come to a proxy, as those that joined told.
func (m *Manager) meanAnnouncedRate() float64 {
	told := 0.0
	for _, p := range m.proxies {
		told += p.announcedRate
	}
	return told / max(1, float64(len(m.proxies)))
}

// tell notes how many flows a server says it holds, if it does.
func (s *server) recordInFlight(now time.Duration, load float64) {
	if load >= 0 {
		s.inFlight, s.inFlightAt = load, now
	}
}

func (m *Manager) timerUnset() bool { return m.timerAt <= m.now }

func (m *Manager) setTimer() {
	m.timerAt = max(m.nextTick, m.now+time.Millisecond)
	m.commands.NextTimer = m.timerAt
}
