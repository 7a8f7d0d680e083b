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
	id         ServerID
	zone       int
	block      int // of its zone's servers; the number of its table
	weight     float64
	state      ServerState
	started    time.Duration // as listed
	climbing   bool
	startedAt  time.Duration // its climb counts from then
	goneAt     time.Duration // the list called it gone then; 0: it is there
	leavesAt   time.Duration // the list first said then that it drains or is gone; 0: neither
	withdrawn  bool
	unlaid     bool // a table still names it for more than it should get
	heard      []LoadReport
	heardAt    []time.Duration
	quietFrom  time.Duration
	health     float64
	out        bool // does not answer at all
	probedAt   time.Duration
	missed     bool          // the last probe
	answeredAt time.Duration // then it ended
	expects    float64       // tries a second that should come by the standing tables
	tables     []TableID     // that name it, in order
	load       float64       // flows it said it holds; below 0 before it did
	loadAt     time.Duration
}

type proxy struct {
	id       ProxyID
	zone     int
	block    int     // whose table it is on
	rate     float64 // as told when it joined
	joinedAt time.Duration
	bound    bool
	holds    bool            // what it was bound to before it was told again, for all that is known
	sent     []time.Duration // messages within the span that a limit counts
	flows    [][]figure      // by traffic group, the last samples
}

// figure is one sample of what is measured, and the seconds that it spans if it counts something.
type figure struct {
	at    time.Duration
	value float64
	span  float64
}

// pair is what proxies of one zone met in another.
type pair struct {
	latency, drops []float64
	closed         bool
}

type table struct {
	id               TableID
	wanted, standing map[ServerID]float64
	levels           map[uint]AdmissionLevel // standing, by mask of groups
	held             float64                 // weight that staff hold it at; 0: none
	cost             float64                 // lines that a proxy put on it gets; 0: to be counted anew
	dealt            []*proxy                // its block's, bound or not, by number
	load             float64                 // flows a second that those told
	awaitsSolve      bool                    // proxies that are to be put on it wait until it is solved anew
	waiting          int                     // proxies that are to be put on it
}

// owed is what was ordered at one time and no answered mark shows to have left the channel.
type owed struct {
	mark    BarrierID
	at      time.Duration // of its order
	entered bool          // the channel
	lines   float64
	of      map[ProxyID]float64 // of them, by who has not answered
}

// urgency says how much of the queue an order may use.
type urgency int

const (
	calm urgency = iota
	pressing
	draining
)

// bounds are the few figures that decisions use of what the site states.
type bounds struct {
	budget                  []float64 // seconds, by traffic group
	byUtility               []ClassID // most useful first
	usual                   RetryPolicy
	mayTry                  []RetryPolicy // by traffic group
	home                    uint          // mask of the groups that keep to their zone,
	roaming                 uint          // and of the others
	admit                   AdmissionUnit
	climbBase               float64
	warmAfter               time.Duration
	head                    float64    // lines of a message besides its own
	rooms                   [3]float64 // lines that may wait, by urgency,
	soon                    [3]float64 // and that leave soon enough for what comes next
	slowPace                float64    // lines a second
	graceLines              float64    // that leave within the grace of a drain
	perProxy                [3]int     // messages to one proxy within span, by urgency; 0: no limit
	span                    time.Duration
	asks, probes, goneStays bool
	sliced                  bool
	allProxies              float64 // of all managers
	lineDiffers             float64
	liveWeights             bool
	connIdle                time.Duration
	managers                float64
}

// Manager decides which servers each proxy zone uses; one goroutine owns it.
type Manager struct {
	bounds
	chance      uint64
	now         time.Duration
	o           Commands
	zones       []ZoneID
	servers     []*server // by id
	proxies     []*proxy  // by number
	tables      []*table  // by block
	blocks      int       // that a zone is cut into
	parted      bool      // it is settled
	pairs       [][]pair  // by zone of proxies, of servers
	solved      []float64 // volumes last solved with
	cause       string    // why the tables are to be solved anew
	urgent      bool
	heldAt      time.Duration // the batch found no room then
	heldBy      int           // proxies of the least that was left of it; 0: it is tried again with each input
	batch       bool          // a second has passed
	due         time.Duration // when the next has
	reportAt    time.Duration // the last came then
	used        bool
	queue       []owed
	sent        float64 // lines that left of what entered the channel, until sentFrom
	sentFrom    time.Duration
	mark        BarrierID
	markedAt    time.Duration
	asked       bool
	relisted    bool    // since the tables were solved
	drains      bool    // some server may have to be withdrawn
	joinedTable *table  // a proxy that is to be put on it has joined
	coldShare   float64 // of all flows, that of the servers that climb, as the tables were solved last
	bareWaits   bool    // some table has no line that can be picked
	listedOnce  bool
	askFrom     time.Duration
	doubted     int             // a zone that may be lost; below 0: none
	zoneAsked   []time.Duration // as a whole, by zone
	line        float64         // flows a second that are let in, the most useful first
	lineMoved   time.Duration
	lineOf      float64   // what the proxies heard of told, times the weight able, as the line was moved last
	calmest     float64   // the least latency over budget so far
	peaks       []float64 // flows delivered a second, lately
	hold        float64   // part of a climb below which cold servers wait
	answers     []figure  // seconds that probes took, lately
	loadTold    bool
	wakeAt      time.Duration
	pins        *pins // what staff hold the tables at
	index
}

// pins are the lines and levels that tables are held at.
type pins struct {
	lines  map[TableID]map[ServerID]float64
	levels map[TableID]map[uint]AdmissionLevel
}

// stated takes over what the site states as it is.
func stated(t Settings) (b bounds) {
	b.usual, b.admit, b.asks, b.probes = t.DefaultRetryPolicy, t.AdmissionUnit, t.PollsEndpoints, t.HealthChecks
	b.liveWeights, b.connIdle = t.WeightsFollowLoad, t.IdleTimeout
	b.goneStays, b.sliced, b.head = t.RemovedMayServe, t.Sliced, t.MessageOverhead
	b.allProxies, b.managers = float64(t.Proxies), max(1, float64(t.Managers))
	b.warmAfter, b.span = max(t.WarmUpDuration, 1), t.MessageWindow
	for _, group := range t.Classes {
		b.budget = append(b.budget, group.LatencyObjective.Seconds())
	}
	return b
}

func (m *Manager) note(format string, figures ...any) {
	m.o.LogRecords = append(m.o.LogRecords, fmt.Sprintf(format, figures...))
}

// random is a permuted congruential generator (PCG-XSH-RR) that gives a number from 0 to 1.
func (m *Manager) random() float64 {
	m.chance = m.chance*6364136223846793005 + 1442695040888963407
	x, by := uint32((m.chance>>18^m.chance)>>27), int(m.chance>>59)
	return float64(x>>by|x<<(32-by)) / (1 << 32)
}

func (m *Manager) zone(id ZoneID) int {
	if z := slices.Index(m.zones, id); z >= 0 {
		return z
	}
	m.zones = append(m.zones, id)
	m.zoneAsked = append(m.zoneAsked, -time.Hour)
	m.addTables()
	m.pairs = make([][]pair, len(m.zones))
	for z := range m.pairs {
		m.pairs[z] = make([]pair, len(m.zones))
	}
	return len(m.zones) - 1
}

func (m *Manager) addTables() {
	for len(m.tables) < len(m.zones)*m.blocks {
		m.tables = append(m.tables, &table{id: TableID(len(m.tables)), wanted: map[ServerID]float64{}, standing: map[ServerID]float64{},
			levels: map[uint]AdmissionLevel{}})
	}
}

// Knows tells whether a server is remembered.
func (m *Manager) KnowsServer(id ServerID) bool { return m.server(id) != nil }

// Sees tells what is known of a server: whether it is, whether it may get flows, and what part of its climb is over.
func (m *Manager) ServerStatus(id ServerID) (known, open bool, climbed float64) {
	if s := m.server(id); s != nil {
		return true, m.open(s) && !(s.out && m.anyIn()), m.climbed(s)
	}
	return false, false, 0
}

// Flows are those that come to a table's proxies a second, as the tables were solved with.
func (m *Manager) RequestRate(id TableID) float64 {
	if int(id) < len(m.solved) {
		return m.solved[id]
	}
	return 0
}

// Ready is how many servers may get flows, and how many of them are warm.
func (m *Manager) ReadyServers() (all, warm int) {
	for _, s := range m.servers {
		if m.open(s) && !s.out {
			if all++; !s.climbing {
				warm++
			}
		}
	}
	return all, warm
}

// Layout tells what the tables' numbers mean.
func (m *Manager) Layout() string { return fmt.Sprint(m.zones, " in ", m.blocks) }

// Pinned holds the tables at what is given, or lets them go where that is nil. While they are held, only what the
// rules demand changes them: withdrawals, cold servers' parts, proxies without a server.
func (m *Manager) HandlePin(now time.Duration, lines map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel) Commands {
	m.now = now
	m.cause, m.urgent = "pin", m.urgent || lines != nil
	if m.pins = nil; lines != nil {
		m.pins = &pins{lines, levels}
	}
	return m.decide()
}

// Stands takes over what the tables hold, where that is not what was ordered: orders were held back on their way.
func (m *Manager) HandleTablesReset(now time.Duration, lines map[TableID]map[ServerID]float64, levels map[TableID]map[uint]AdmissionLevel, pulled func(ServerID) bool) {
	m.now = now
	for z, t := range m.tables {
		clear(t.standing)
		clear(t.levels)
		maps.Copy(t.standing, lines[TableID(z)])
		maps.Copy(t.levels, levels[TableID(z)])
		maps.Copy(t.levels, levels[ZoneLocalTables+TableID(z)])
	}
	for _, s := range m.servers {
		s.withdrawn = pulled(s.id)
	}
	m.placed, m.sorted, m.drains, m.cause = false, false, true, "stands"
}

// pinnedAt are the servers that a table is held at, by id.
func (m *Manager) pinnedAt(id TableID) (all []*server) {
	if m.pins == nil {
		return nil
	}
	for s := range m.pins.lines[id] {
		if one := m.server(s); one != nil {
			all = append(all, one)
		}
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return all
}

// pinnedLevels are those that a table must be brought to.
func (m *Manager) pinnedLevels(id TableID) (moves []move) {
	for _, mask := range slices.Sorted(maps.Keys(m.pins.levels[id])) {
		if l := m.pins.levels[id][mask]; m.tables[id].levels[mask] != l {
			moves = append(moves, move{EndpointWeight: EndpointWeight{Table: id}, level: l})
		}
	}
	return moves
}

// ListFailed keeps the list and asks again with the next second.
func (m *Manager) HandleEndpointListError(now time.Duration) Commands {
	m.now, m.asked, m.askFrom = now, false, now+batchEvery
	return m.decide()
}

// Joined notes a proxy. One that was not told to have left, as after a gap in the news, keeps its block, what was
// heard of it and the messages that it was sent.
func (m *Manager) HandleProxyConnected(now time.Duration, id ProxyID, zone ZoneID, rate float64) Commands {
	m.now = now
	p := &proxy{id: id, zone: m.zone(zone), rate: rate, joinedAt: now, flows: make([][]figure, len(m.budget))}
	p.block = m.blockFor(p.zone)
	if was := m.proxy(id); was != nil {
		if p.flows, p.sent = was.flows, was.sent; p.zone == was.zone {
			// guards against lines that cost nothing on the books, after a gap in the news, and go to all who never left
			p.block, p.holds = was.block, was.bound || was.holds
		}
		m.leave(was)
	}
	m.enter(p)
	m.joinedTable = m.tables[p.block]
	return m.decide()
}

// Left takes that a proxy has left.
func (m *Manager) HandleProxyDisconnected(now time.Duration, id ProxyID) Commands {
	m.now = now
	if p := m.proxy(id); p != nil {
		m.leave(p)
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
	s.tell(now, r.InFlight)
	m.loadTold, m.reportAt = m.loadTold || r.InFlight >= 0, now
	s.heard, s.heardAt = lastOf(append(s.heard, r), samplesKept), lastOf(append(s.heardAt, now), samplesKept)
	if r.Failed < r.Attempts {
		s.quietFrom = now
	}
	if p := &m.pairs[m.zone(r.Zone)][s.zone]; r.Attempts >= enoughTries {
		p.drops = lastOf(append(p.drops, float64(r.Failed)/float64(r.Attempts)), daySamples)
		if r.Latency > 0 {
			p.latency = lastOf(append(p.latency, r.Latency.Seconds()), daySamples)
		}
	}
	return m.decide()
}

// Used takes a report of a proxy's flows of one traffic group.
func (m *Manager) HandleUsageReport(now time.Duration, u UsageReport) Commands {
	m.now = now
	if p := m.proxy(u.Proxy); p != nil && u.Interval > 0 && int(u.Class) < len(m.budget) {
		f := &p.flows[u.Class]
		*f = lastOf(append(*f, figure{now, float64(u.Requests), u.Interval.Seconds()}), samplesKept)
		m.used = true
	}
	return m.decide()
}

// Applied shows that what was ordered before the mark has left the channel.
func (m *Manager) HandleBarrierAck(now time.Duration, id ProxyID, mark BarrierID) Commands {
	m.now = now
	m.answered(id, mark)
	return m.decide()
}

// Woke takes that the time which was asked for by Orders.Wake has come.
func (m *Manager) HandleTimer(now time.Duration) Commands {
	m.now = now
	return m.decide()
}

// layOut makes the tables anew and deals servers and proxies to the blocks.
func (m *Manager) layOut(blocks int, zones []ZoneID) {
	m.blocks, m.tables = blocks, nil
	for _, z := range zones {
		m.zone(z)
	}
	m.addTables()
	m.placed = true
	for _, t := range m.tables {
		t.dealt = nil
	}
	has := make([]float64, len(m.tables))
	for _, s := range m.servers {
		s.block, s.tables = m.leastOf(s.zone, has), nil
		has[s.block]++
	}
	clear(has)
	for _, p := range m.proxies {
		p.block = m.leastOf(p.zone, has)
		has[p.block] += p.rate
		t := m.tables[p.block]
		t.dealt, t.waiting = append(t.dealt, p), t.waiting+either(p.bound, 0, 1)
	}
	for b, t := range m.tables {
		t.load = has[b]
	}
	m.placed = len(m.proxies) > 0
}

// stand notes that a line was ordered.
func (m *Manager) stand(l EndpointWeight, s *server, t *table) {
	m.place()
	m.o.Weights, t.cost, m.least = append(m.o.Weights, l), 0, 0
	if m.ours(l.Table, s) {
		m.o.Weights = append(m.o.Weights, EndpointWeight{ZoneLocalTables + l.Table, l.Server, l.Weight})
	}
	i, names := slices.BinarySearch(s.tables, l.Table)
	if !names {
		s.quietFrom = m.now
		s.tables = slices.Insert(s.tables, i, l.Table)
	}
	if t.standing[s.id] = l.Weight; l.Weight == 0 {
		delete(t.standing, s.id)
		s.tables = slices.Delete(s.tables, i, i+1)
	}
}

// timed keeps how long a probe took.
func (m *Manager) timed(a HealthCheckResult, took time.Duration) {
	wait := took.Seconds()
	if a != HealthCheckPassed {
		wait = math.Inf(1)
	}
	m.answers = lastOf(append(m.answers, figure{at: m.now, value: wait}), samplesKept)
}

// move is a line in which a table must change, or a level where no server is named, and how many flows a second it
// moves.
type move struct {
	EndpointWeight
	level AdmissionLevel
	flows float64
}

// part is a server's in the split: its target and the band around it.
type part struct {
	block             int
	target, low, high float64
}

// rule is an effect and its condition.
type rule struct {
	when func(*Manager) bool
	then func(*Manager)
}

// decide ends every input.
func (m *Manager) decide() Commands {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(m) {
			rules[i].then(m)
			i = -1
		}
	}
	o := m.o
	m.o = Commands{}
	return o
}

func (m *Manager) add(e Endpoint) *server {
	m.server(e.Server) // the index is there
	s := &server{id: e.Server, zone: m.zone(e.Zone), weight: e.Weight, health: 1, load: -1}
	s.block, s.quietFrom, s.startedAt, s.probedAt = m.blockOf(s.zone), m.now, m.now, -silentFor
	s.answeredAt = -time.Hour
	i, _ := slices.BinarySearchFunc(m.servers, s.id, (*server).compare)
	m.servers = slices.Insert(m.servers, i, s)
	m.byID[s.id] = s
	return s
}

func (s *server) compare(id ServerID) int { return cmp.Compare(s.id, id) }

// toldRate is how many flows a second come to a proxy, as those that joined told.
func (m *Manager) toldRate() float64 {
	told := 0.0
	for _, p := range m.proxies {
		told += p.rate
	}
	return told / max(1, float64(len(m.proxies)))
}

// tell notes how many flows a server says it holds, if it does.
func (s *server) tell(now time.Duration, load float64) {
	if load >= 0 {
		s.load, s.loadAt = load, now
	}
}

func (m *Manager) unwoken() bool { return m.wakeAt <= m.now }

func (m *Manager) setWake() {
	m.wakeAt = max(m.due, m.now+time.Millisecond)
	m.o.NextTimer = m.wakeAt
}
