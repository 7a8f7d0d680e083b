package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// baseWeightTolerance is the largest relative change of a weight that is not published if commands cost nothing.
	baseWeightTolerance = 0.1
	// weightTolerancePerPrice is multiplied by Settings.CommandPrice and added to baseWeightTolerance.
	weightTolerancePerPrice = 1.5
	// weightSteps is the precision of published weights: they are rounded to multiples of 1/weightSteps.
	weightSteps = 1000
	// defaultWeightScale is the total weight of a table that was not published before.
	defaultWeightScale = 100
)

// changePriority determines the order in which changes are published and how much of the channel they may use.
type changePriority int

const (
	ordinaryChange changePriority = iota
	// reductionChange lowers the weight of a warming server, or removes a server.
	reductionChange
	// invariantChange restores an invariant: no table without a usable endpoint, no overloaded warming server, and no
	// leaving server in a table that proxies are assigned to before the server is withdrawn. It may use the channel
	// limits of drains.
	invariantChange
)

// channelPriority returns the priority with which a change uses the channel.
func (p changePriority) channelPriority() priority {
	if p == invariantChange {
		return drainPriority
	}
	return normalPriority
}

// tableChange is a change of a weight in a table, or of an admission level if no server is named.
type tableChange struct {
	EndpointWeight
	level    AdmissionLevel
	priority changePriority
	rate     float64 // requests per second that the change moves
	deferred bool    // waits until the other changes of the table are published
}

func weightChange(weight EndpointWeight, priority changePriority, rate float64) tableChange {
	return tableChange{EndpointWeight: weight, priority: priority, rate: rate}
}

func levelChange(level AdmissionLevel, priority changePriority, rate float64) tableChange {
	return tableChange{EndpointWeight: EndpointWeight{Table: level.Table}, level: level, priority: priority, rate: rate}
}

// sortKey returns the value by which changes are sorted in descending order: the request rate that an ordinary change
// moves, and for higher priorities a value above all rates.
func (c tableChange) sortKey() float64 {
	switch c.priority {
	case invariantChange:
		return math.Inf(1)
	case reductionChange:
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
	if p.messageLimited {
		return m.now >= m.retryAt
	}
	blocked := p.smallestBlocked
	return blocked.proxies == 0 || m.minCost(blocked.proxies, blocked.commands) <= m.availableCapacity(drainPriority)
}

// publish sends the changes of all tables as far as the channel has room: first the changes that restore an invariant,
// then weights and admission levels table by table, beginning with the table whose changes move the most requests. The
// remaining changes are computed again at the next tick.
func (m *Manager) publish() {
	m.publication.begin()
	round := &publishRound{
		recipients: make([][]*proxy, len(m.tables)),
		movedRates: make([]float64, len(m.tables)),
	}
	m.collectChanges(round)
	round.sortChanges()
	for _, s := range m.servers {
		s.decreasePending = false
	}
	for i := 0; i < len(round.changes); i++ { // publishWeight appends deferred changes
		change := round.changes[i]
		if s := m.server(change.Server); s == nil {
			m.publishLevel(round, change)
		} else {
			m.publishWeight(round, change, s)
		}
	}
	m.publishJointWeights(round)
	if round.blocked {
		m.publication.block(m.now)
	} else if round.incomplete {
		m.redistribution = changesUnpublished
	}
	m.publication.end()
	m.retryAt = m.now // withdrawals that wait may share the messages of the publication
}

// publishRound is the state of one call of publish.
type publishRound struct {
	changes    []tableChange
	recipients [][]*proxy       // proxies that get a table's changes, by table
	movedRates []float64        // requests per second that a table's changes move, by table
	joint      []EndpointWeight // weights of warming servers that would overload them if published one by one
	incomplete bool             // some change was not published
	blocked    bool             // some change that restores an invariant was not published
}

// collectChanges computes the changes of all tables.
func (m *Manager) collectChanges(round *publishRound) {
	demand := m.demandByClass()
	for i := range m.tables {
		id := TableID(i)
		round.recipients[id] = m.tableProxies(id)
		changes := append(m.weightChanges(id), m.levelChanges(id, demand)...)
		m.tables[id].levelsPublished = true
		for _, change := range changes {
			round.movedRates[id] += min(change.sortKey(), m.distributedRates[id])
		}
		round.changes = append(round.changes, changes...)
	}
}

// sortChanges puts changes that restore an invariant first. The others are grouped by table, beginning with the table
// whose changes move the most requests. Within a table, the change that moves the most requests comes first.
func (r *publishRound) sortChanges() {
	tableOrder := func(c tableChange) float64 {
		if c.priority == invariantChange {
			return c.sortKey()
		}
		return r.movedRates[c.Table]
	}
	slices.SortStableFunc(r.changes, func(a, b tableChange) int {
		return cmp.Or(
			cmp.Compare(tableOrder(b), tableOrder(a)),
			cmp.Compare(a.Table, b.Table),
			cmp.Compare(b.sortKey(), a.sortKey()))
	})
}

func (m *Manager) publishLevel(round *publishRound, change tableChange) {
	if !m.reserveChange(round, change.Table, 1, change.priority.channelPriority()) {
		m.tables[change.Table].levelsPublished = false
		return
	}
	m.recordLevel(m.tables[change.Table], change.level)
}

func (m *Manager) publishWeight(round *publishRound, change tableChange, s *server) {
	t := m.tables[change.Table]
	commands := m.weightCommands(t, s)
	emptiesTable := m.emptiesTable(t, s, change.Weight)
	overloads := m.overloadsWarmingServer(t, s, change.Weight, m.otherUsableWeight(t, s))
	switch {
	case (emptiesTable || overloads) && !change.deferred:
		deferredChange := change
		deferredChange.deferred = true
		if emptiesTable {
			deferredChange.priority = ordinaryChange
		}
		round.changes = append(round.changes, deferredChange)
	case overloads:
		round.joint = append(round.joint, change.EndpointWeight)
	case emptiesTable || !m.reserveChange(round, change.Table, commands, change.priority.channelPriority()):
		round.incomplete = true
		s.decreasePending = s.decreasePending || change.Weight < t.publishedWeights[s.id]
	default:
		m.recordWeight(change.EndpointWeight, s, t)
	}
}

// weightCommands returns the number of commands that set a server's weight in a table. The zone-local part of the table
// gets the weight too.
func (m *Manager) weightCommands(t *table, s *server) float64 {
	if m.isZoneLocal(t.id, s) {
		return 2
	}
	return 1
}

// emptiesTable reports whether a weight would leave a table, or its zone-local part, without a usable endpoint, so that it
// must wait for the table's other changes.
func (m *Manager) emptiesTable(t *table, s *server, weight float64) bool {
	return weight == 0 && !s.withdrawn && (m.otherUsableWeight(t, s) == 0 || m.isLastZoneLocal(t, s))
}

// overloadsWarmingServer reports whether a higher weight may overload a warming server, given the total weight of the
// table's other usable endpoints. Without any, the server would get all requests of the table.
func (m *Manager) overloadsWarmingServer(t *table, s *server, weight, others float64) bool {
	raised := weight > t.publishedWeights[s.id]
	return s.warmingUp && raised && (others == 0 || weight > maxWarmingShareIncrease*t.targetShares[s.id]*(others+weight))
}

// reserveChange reserves room in the channel for a change's commands and reports whether there was enough. If not, the
// round is incomplete, and it is also blocked if the change restores an invariant, which is sent at drainPriority.
func (m *Manager) reserveChange(round *publishRound, id TableID, commands float64, priority priority) bool {
	proxies := round.recipients[id]
	if m.fits(proxies, commands, priority) {
		m.reserve(proxies, commands)
		return true
	}
	m.noteNoRoom(round, proxies, commands, priority)
	return false
}

// noteNoRoom records that a change found no room in the channel, or in the message limit of a proxy.
func (m *Manager) noteNoRoom(round *publishRound, proxies []*proxy, commands float64, priority priority) {
	round.incomplete = true
	if priority == drainPriority {
		round.blocked = true
		change := blockedChange{len(proxies), commands}
		m.publication.noteBlocked(change, !m.withinMessageLimit(proxies, priority))
	}
}

// weightChanges returns the changes of a table's weights, scaled to match its published weights. It never empties a
// table: a table without target shares stays as it is.
func (m *Manager) weightChanges(id TableID) []tableChange {
	t := m.tables[id]
	if len(t.targetShares) == 0 {
		return nil
	}
	var changes []tableChange
	scale := t.scale()
	restoresInvariant := m.needsEndpoint(t) || m.overloadsWarmingServers(id)
	for _, s := range m.tableServers(t) {
		if s.withdrawn && !m.mayServe(s) && !m.removalExpired(s) {
			continue // the weight of a withdrawn server has no effect
		}
		published := t.publishedWeights[s.id]
		weight := math.Round(t.targetShares[s.id]*scale*weightSteps) / weightSteps
		if weight > published && !m.mayRaise(s, published) {
			continue
		}
		if !m.weightDiffers(t, published, weight) {
			continue
		}
		priority := m.weightPriority(s, published, weight)
		if restoresInvariant {
			priority = invariantChange
		}
		rate := math.Abs(weight-published) / scale * m.distributedRates[id]
		changes = append(changes, weightChange(EndpointWeight{id, s.id, weight}, priority, rate))
	}
	return changes
}

// mayRaise reports whether a server's published weight may be raised. An ejected server that keepZoneLocalServers adds to a
// table keeps its published weight; it gets a first one only as the last resort of its zone.
func (m *Manager) mayRaise(s *server, published float64) bool {
	if !s.ejected || !m.hasZoneLocalClasses() || !m.anyUsable() {
		return true
	}
	return published == 0 && m.isLastResort(s)
}

// weightDiffers reports whether a weight must be published: always if a server is added or removed, on any change in a
// pinned table, and otherwise if the change exceeds the weight tolerance.
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
	overloaded := s.warmingUp && weight < published/maxWarmingShareIncrease
	holdsBackRestore := weight < published && m.restoresEndpoint(s)         // see mayRestore
	leaving := weight == 0 && s.leavingSince > 0 && m.assignsBeforeDrains() // must leave the table before proxies are assigned to it
	reduced := weight < published && (s.warmingUp || weight == 0)
	switch {
	case overloaded || leaving || holdsBackRestore:
		return invariantChange
	case reduced:
		return reductionChange
	default:
		return ordinaryChange
	}
}

// recordWeight adds the commands that set a server's weight in a table and, for a server of the table's zone, in the
// table's zone-local part.
func (m *Manager) recordWeight(weight EndpointWeight, s *server, t *table) {
	m.updateTableIndex()
	m.commands.Weights = append(m.commands.Weights, weight)
	t.assignCost = 0
	m.cheapestAssignCost = 0
	if m.isZoneLocal(weight.Table, s) {
		local := EndpointWeight{ZoneLocalTables + weight.Table, weight.Server, weight.Weight}
		m.commands.Weights = append(m.commands.Weights, local)
	}
	i, named := slices.BinarySearch(s.tables, weight.Table)
	if !named {
		s.lastSeen = m.now
		s.tables = slices.Insert(s.tables, i, weight.Table)
	}
	t.publishedWeights[s.id] = weight.Weight
	if weight.Weight == 0 {
		delete(t.publishedWeights, s.id)
		s.tables = slices.Delete(s.tables, i, i+1)
	}
}

// recordLevel adds the command that sets an admission level, for zone-local classes in the table's zone-local part.
func (m *Manager) recordLevel(t *table, level AdmissionLevel) {
	t.publishedLevels[level.Classes] = level
	t.assignCost = 0
	m.cheapestAssignCost = 0
	if level.Classes&m.zoneLocalClasses != 0 {
		level.Table += ZoneLocalTables
	}
	m.commands.AdmissionLevels = append(m.commands.AdmissionLevels, level)
}

// scale returns the weight that corresponds to a target share of 1: the pinned weight of a pinned table; otherwise the
// median over the servers that the table already names, or defaultWeightScale if it names none.
func (t *table) scale() float64 {
	if t.pinnedWeight > 0 {
		return t.pinnedWeight
	}
	var scales []float64
	for id, share := range t.targetShares {
		if t.publishedWeights[id] > 0 {
			scales = append(scales, t.publishedWeights[id]/share)
		}
	}
	return cmp.Or(median(scales), defaultWeightScale)
}
