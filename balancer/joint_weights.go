package balancer

import (
	"cmp"
	"slices"
	"sort"
)

// jointWeights are weights of warming servers for one table. The first of them would overload its server if it were
// published alone, as in a table without a usable endpoint, where it would get all requests.
type jointWeights struct {
	table      *table
	weights    []EndpointWeight // in descending order
	recipients []*proxy
	priority   priority
}

// publishJointWeights publishes, for each table, the weights that would overload warming servers one by one.
func (m *Manager) publishJointWeights(round *publishRound) {
	slices.SortStableFunc(round.joint, func(a, b EndpointWeight) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(b.Weight, a.Weight))
	})
	for first := 0; first < len(round.joint); {
		id := round.joint[first].Table
		end := first + 1
		for end < len(round.joint) && round.joint[end].Table == id {
			end++
		}
		m.publishTogether(round, m.newJointWeights(round, round.joint[first:end]))
		first = end
	}
}

func (m *Manager) newJointWeights(round *publishRound, weights []EndpointWeight) jointWeights {
	id := weights[0].Table
	j := jointWeights{table: m.tables[id], weights: weights, recipients: round.recipients[id], priority: normalPriority}
	if m.needsEndpoint(j.table) {
		j.priority = drainPriority
	}
	return j
}

// publishTogether publishes as many weights as the channel has room for, in one message to each proxy, but none if they
// would overload one of their servers.
func (m *Manager) publishTogether(round *publishRound, j jointWeights) {
	needed, found := m.minJointWeights(j)
	if !found || m.hasWarmEndpoint(j.table) || m.isEmptyTable(j.table) && !m.mayServeFirst(j.table) {
		round.incomplete = true
		return
	}
	n := m.fittingJointWeights(j)
	if n < needed && m.queuedCommands() > 0 {
		m.noteNoRoom(round, j.recipients, m.jointCommands(j, needed), j.priority)
		return
	}
	round.incomplete = round.incomplete || n < len(j.weights)
	if n == 0 {
		return
	}
	m.reserve(j.recipients, m.jointCommands(j, n))
	for _, weight := range j.weights[:n] {
		m.recordWeight(weight, m.server(weight.Server), j.table)
	}
}

// minJointWeights returns the smallest number of weights that overload none of their servers if they are published
// together, and whether there is one.
func (m *Manager) minJointWeights(j jointWeights) (n int, found bool) {
	total := m.otherUsableWeight(j.table, nil)
	neededTotal := 0.0
	for i, weight := range j.weights {
		s := m.server(weight.Server)
		total += weight.Weight
		if !s.withdrawn {
			total -= j.table.publishedWeights[s.id]
		}
		neededTotal = max(neededTotal, weight.Weight/(maxWarmingShareIncrease*j.table.targetShares[s.id]))
		if total >= neededTotal {
			return i + 1, true
		}
	}
	return 0, false
}

// fittingJointWeights returns the largest number of weights for which the channel has room.
func (m *Manager) fittingJointWeights(j jointWeights) int {
	return sort.Search(len(j.weights), func(n int) bool {
		return !m.fits(j.recipients, m.jointCommands(j, n+1), j.priority)
	})
}

// jointCommands returns the number of commands that the first n weights cost for each proxy.
func (m *Manager) jointCommands(j jointWeights, n int) float64 {
	commands := 0.0
	for _, weight := range j.weights[:n] {
		commands += m.weightCommands(j.table, m.server(weight.Server))
	}
	return commands
}

// mayServeFirst reports whether a table without a usable endpoint may send its requests to servers that are all in their
// warm-up: they can take all requests of the fleet, or the table's admission levels let in no more than they can take, or
// some server is warm according to its listed start. In the last case the proxies must have an endpoint.
func (m *Manager) mayServeFirst(t *table) bool {
	return m.warmingCapacityShare == 1 ||
		m.limitsAdmission() && t.levelsPublished ||
		slices.ContainsFunc(m.servers, m.isWarmByListedStart)
}

// isWarmByListedStart reports whether a server's warm-up has ended if it began at the listed start. The server's own
// warm-up begins when the list reports the start.
func (m *Manager) isWarmByListedStart(s *server) bool {
	return m.mayServe(s) && s.listedStart != startUnknown && s.listedStart+m.warmUpDuration <= m.now
}
