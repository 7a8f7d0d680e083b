package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// baseWeightTolerance is the relative change of a weight that is not published where commands cost nothing.
	baseWeightTolerance = 0.1
	// weightTolerancePerPrice is what a command's price adds to it.
	weightTolerancePerPrice = 1.5
	// weightSteps is the number of steps of a weight of 1 to which published weights are rounded.
	weightSteps = 1000
	// defaultWeightScale is the weight of a whole table that was not published yet.
	defaultWeightScale = 100
)

// publication is where the publishing of the tables stands. It is idle, due, or blocked: due, but without room in the
// channel for changes that a rule asks for.
type publication struct {
	due            bool
	urgent         bool          // not to be put off until the next tick
	listChanged    bool          // since the last distribution
	blockedAt      time.Duration // when changes last found no room
	blockedProxies int           // proxies of the smallest change that found no room; 0: not blocked by room
	emptyTable     bool          // some table has no endpoint that may be picked
}

// open makes the publication due, and looks again where it was blocked.
func (p *publication) open() {
	p.due = true
	p.blockedProxies = 0
}

// begin ends the wait; what finds no room during the publication blocks it again.
func (p *publication) begin() {
	p.due = false
	p.blockedProxies = 0
}

// block keeps the publication due until there is room for the smallest change left, or until the next tick.
func (p *publication) block(now time.Duration) {
	p.due = true
	p.blockedAt = now
}

// end closes the publication; it stays urgent only while it is blocked.
func (p *publication) end() { p.urgent = p.urgent && p.due }

// changePriority is the order in which changes are published, and what they may use of the channel.
type changePriority int

const (
	ordinaryChange changePriority = iota
	lossChange                    // takes requests from a server that should get none, or is in its warm-up
	ruleChange                    // keeps a rule; has the room of drains
)

// tableChange is a change of a weight in a table, or of an admission level where no server is named.
type tableChange struct {
	EndpointWeight
	level    AdmissionLevel
	priority changePriority
	rate     float64 // requests per second that it moves
	deferred bool    // until the other changes of its table are published
}

func weightChange(weight EndpointWeight, priority changePriority, rate float64) tableChange {
	return tableChange{EndpointWeight: weight, priority: priority, rate: rate}
}

func levelChange(level AdmissionLevel, rate float64) tableChange {
	return tableChange{EndpointWeight: EndpointWeight{Table: level.Table}, level: level, rate: rate}
}

// order is the rate by which changes are ordered, a higher priority before all rates.
func (c tableChange) order() float64 {
	switch c.priority {
	case ruleChange:
		return math.Inf(1)
	case lossChange:
		return math.MaxFloat64
	default:
		return c.rate
	}
}

func (m *Manager) publishReady() bool {
	p := &m.publication
	if !p.due || !m.partitioned || p.blockedAt == m.now {
		return false
	}
	return p.blockedProxies == 0 || m.singleCommandCost(p.blockedProxies) <= m.available(drainPriority)
}

// publish sends the tables' changes as far as the channel has room: those that keep a rule first, then weights and
// levels table by table, where most requests move first. The rest is worked out anew with the next tick.
func (m *Manager) publish() {
	m.publication.begin()
	round := &publishRound{
		proxies: make([][]*proxy, len(m.tables)),
		moved:   make([]float64, len(m.tables)),
	}
	m.collectChanges(round)
	round.sortChanges()
	for _, s := range m.servers {
		s.decreasePending = false
	}
	for i := 0; i < len(round.changes); i++ { // deferred changes are appended meanwhile
		change := round.changes[i]
		if s := m.server(change.Server); s == nil {
			m.publishLevel(round, change)
		} else {
			m.publishWeight(round, change, s)
		}
	}
	if round.blocked {
		m.publication.block(m.now)
	} else if round.incomplete {
		m.redistribution = changesUnpublished
	}
	m.publication.end()
}

// publishRound is one publication in work.
type publishRound struct {
	changes    []tableChange
	proxies    [][]*proxy // that get a table's changes, by table
	moved      []float64  // requests per second that a table's changes move
	incomplete bool       // some change was not published
	blocked    bool       // some change that keeps a rule was not
	rateLimit  bool       // because a proxy may get no further message
}

// collectChanges works out the changes of all tables.
func (m *Manager) collectChanges(round *publishRound) {
	demand := m.demandByClass()
	for i := range m.tables {
		id := TableID(i)
		round.proxies[id] = m.tableProxies(id)
		changes := append(m.weightChanges(id), m.levelChanges(id, demand)...)
		for _, change := range changes {
			round.moved[id] += min(change.order(), m.distributedRates[id])
		}
		round.changes = append(round.changes, changes...)
	}
}

// sortChanges puts those that keep a rule first, then the tables in which most requests move, in each the changes that
// move most.
func (r *publishRound) sortChanges() {
	tableOrder := func(c tableChange) float64 {
		if c.priority == ruleChange {
			return c.order()
		}
		return r.moved[c.Table]
	}
	slices.SortStableFunc(r.changes, func(a, b tableChange) int {
		return cmp.Or(
			cmp.Compare(tableOrder(b), tableOrder(a)),
			cmp.Compare(a.Table, b.Table),
			cmp.Compare(b.order(), a.order()))
	})
}

func (m *Manager) publishLevel(round *publishRound, change tableChange) {
	if m.reserveChange(round, change.Table, 1, normalPriority) {
		m.recordLevel(m.tables[change.Table], change.level)
	}
}

func (m *Manager) publishWeight(round *publishRound, change tableChange, s *server) {
	t := m.tables[change.Table]
	commands := 1.0
	if m.isZoneLocal(change.Table, s) {
		commands = 2 // its zone-local part has the weight too
	}
	priority := normalPriority
	if change.priority == ruleChange {
		priority = drainPriority
	}
	early := m.changesTooEarly(t, s, change.Weight)
	switch {
	case early && !change.deferred:
		last := change
		last.priority = ordinaryChange
		last.deferred = true
		round.changes = append(round.changes, last)
	case early || !m.reserveChange(round, change.Table, commands, priority):
		round.incomplete = true
		s.decreasePending = s.decreasePending || change.Weight < t.published[s.id]
	default:
		m.recordWeight(change.EndpointWeight, s, t)
	}
}

// changesTooEarly tells whether a weight would leave its table without an endpoint, or a server in its warm-up with
// too much, until the table's other changes are published.
func (m *Manager) changesTooEarly(t *table, s *server, weight float64) bool {
	others := m.otherUsableWeight(t, s)
	emptiesTable := weight == 0 && !s.withdrawn && (others == 0 || m.isLastZoneLocal(t, s))
	raised := weight > t.published[s.id]
	overloads := s.warmingUp && raised && weight > maxWarmingRise*t.target[s.id]*(others+weight)
	return emptiesTable || overloads
}

// reserveChange reserves a change's commands in the channel; without room for it the round is incomplete, and blocked
// where the change keeps a rule.
func (m *Manager) reserveChange(round *publishRound, id TableID, commands float64, priority priority) bool {
	proxies := round.proxies[id]
	if m.fits(proxies, commands, priority) {
		m.reserve(proxies, commands)
		return true
	}
	round.incomplete = true
	if priority != drainPriority {
		return false
	}
	round.blocked = true
	round.rateLimit = round.rateLimit || !m.mayMessage(proxies, priority)
	if round.rateLimit {
		m.publication.blockedProxies = 0
	} else {
		m.publication.blockedProxies = min(cmp.Or(m.publication.blockedProxies, len(proxies)), len(proxies))
	}
	return false
}

// weightChanges are the changes of a table's weights, in the scale of most of its published ones. A table never
// becomes empty: without any server to name it stays as it is.
func (m *Manager) weightChanges(id TableID) []tableChange {
	t := m.tables[id]
	if len(t.target) == 0 {
		return nil
	}
	var changes []tableChange
	scale := t.scale()
	keepsRule := m.isEmptyTable(t) || m.hasNoLocalEndpoint(t) || m.wouldOverloadWarmingServers(id)
	for _, s := range m.tableServers(t) {
		if s.withdrawn && !m.mayServe(s) && !m.forgettable(s) {
			continue // its weight has no effect
		}
		published := t.published[s.id]
		weight := math.Round(t.target[s.id]*scale*weightSteps) / weightSteps
		if m.hasZoneLocalClasses() && s.ejected && weight > published && m.anyUsable() {
			continue // what is kept of a lost zone is what is published
		}
		if !m.weightDiffers(t, published, weight) {
			continue
		}
		priority := m.weightPriority(s, published, weight)
		if keepsRule {
			priority = ruleChange
		}
		rate := math.Abs(weight-published) / scale * m.distributedRates[id]
		changes = append(changes, weightChange(EndpointWeight{id, s.id, weight}, priority, rate))
	}
	return changes
}

// weightDiffers tells whether a weight must be published: always where it begins or ends, in a pinned table with any
// change.
func (m *Manager) weightDiffers(t *table, published, weight float64) bool {
	if (weight == 0) != (published == 0) {
		return true
	}
	tolerance := m.weightTolerance
	if t.pinnedWeight > 0 {
		tolerance = 0
	}
	return math.Abs(weight-published) > tolerance*max(weight, published)
}

func (m *Manager) weightPriority(s *server, published, weight float64) changePriority {
	overloaded := s.warmingUp && weight < published/maxWarmingRise
	leaves := weight == 0 && s.leavingSince > 0 && m.assignsBeforeDrains() // before proxies are put on the table
	lost := weight < published && (s.warmingUp || weight == 0)
	switch {
	case overloaded || leaves:
		return ruleChange
	case lost:
		return lossChange
	default:
		return ordinaryChange
	}
}

// recordWeight commands a weight, also in the table's zone-local part.
func (m *Manager) recordWeight(weight EndpointWeight, s *server, t *table) {
	m.updatePlacement()
	m.commands.Weights = append(m.commands.Weights, weight)
	t.assignCost = 0
	m.cheapestAssign = 0
	if m.isZoneLocal(weight.Table, s) {
		local := EndpointWeight{ZoneLocalTables + weight.Table, weight.Server, weight.Weight}
		m.commands.Weights = append(m.commands.Weights, local)
	}
	i, named := slices.BinarySearch(s.tables, weight.Table)
	if !named {
		s.lastSeen = m.now
		s.tables = slices.Insert(s.tables, i, weight.Table)
	}
	t.published[s.id] = weight.Weight
	if weight.Weight == 0 {
		delete(t.published, s.id)
		s.tables = slices.Delete(s.tables, i, i+1)
	}
}

// recordLevel commands an admission level, of zone-local classes in the table's zone-local part.
func (m *Manager) recordLevel(t *table, level AdmissionLevel) {
	t.publishedLevels[level.Classes] = level
	t.assignCost = 0
	m.cheapestAssign = 0
	if level.Classes&m.zoneLocal != 0 {
		level.Table += ZoneLocalTables
	}
	m.commands.AdmissionLevels = append(m.commands.AdmissionLevels, level)
}

// scale is what most published weights are for a share of their table.
func (t *table) scale() float64 {
	if t.pinnedWeight > 0 {
		return t.pinnedWeight
	}
	var scales []float64
	for id, share := range t.target {
		if t.published[id] > 0 {
			scales = append(scales, t.published[id]/share)
		}
	}
	return cmp.Or(median(scales), defaultWeightScale)
}
