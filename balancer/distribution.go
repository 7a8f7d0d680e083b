package balancer

import "slices"

const (
	// bandFloor is the least part of its target that a sound server gets.
	bandFloor = 0.8
	// bandCeiling is the largest part of its target that a sound server gets while there is room elsewhere.
	bandCeiling = 1.2
	// maxListedShare is the most that a server gets, as a multiple of its share of the listed weight.
	maxListedShare = 2.0

	// minWeightShare is the least share of a table's requests for which a server is named in it.
	minWeightShare = 0.005
	// minWeightOfLargest is that least share as a part of the table's largest, which holds in tables of hundreds of
	// equal servers.
	minWeightOfLargest = 0.5

	// rateTolerance is the relative change of a partition's requests that calls for a new distribution.
	rateTolerance = 0.2
	// rateWindow is the seconds of usage that make a proxy's rate in the distribution.
	rateWindow = 6.0
	// minAnnouncedShare is the least part of its announced rate for which a proxy counts while servers warm up.
	minAnnouncedShare = 0.5
)

// redistributionReason says why the tables' targets are to be worked out anew.
type redistributionReason int

const (
	upToDate redistributionReason = iota
	endpointsChanged
	serverEjected
	serverRestored
	healthChanged
	warmUpAdvanced
	slowStartPauseChanged
	zonePairChanged
	demandChanged
	proxyAwaitsTable
	pinChanged
	tablesReset
	changesUnpublished // the last ones did not all fit into the channel
)

func (m *Manager) redistributionDue() bool {
	return m.redistribution != upToDate && m.partitioned && (m.publication.due || m.publication.urgent)
}

// redistribute works out every table's target weights from the requests of each partition and the servers' targets.
func (m *Manager) redistribute() {
	m.redistribution = upToDate
	m.publication.open()
	m.publication.listChanged = false
	m.distributedRates = m.demandByPartition()
	m.endDistributionWait()
	anyUsable := m.anyUsable()
	servers, parts := m.distributionParts(anyUsable)
	shares := distribute(m.distributedRates, parts, m.nearestPartitions(), m.pairClosed)
	for partition, t := range m.tables {
		rate := m.distributedRates[partition]
		clear(t.target)
		least := min(minWeightShare*rate, minWeightOfLargest*shares.largest(partition))
		shares.forEachAbove(partition, least, func(i int, share float64) { t.target[servers[i].id] = share / rate })
		m.applyPinned(t, anyUsable)
		m.keepZoneLocalServers(t)
	}
}

// distributionParts gives the servers that get requests and what each is to get. Ejection never takes the last one.
func (m *Manager) distributionParts(anyUsable bool) ([]*server, []distributionPart) {
	var servers []*server
	var parts []distributionPart
	total := sum(m.distributedRates)
	listedWeight := m.listedWeight()
	usableWeight := max(m.usableWeight(), listedWeight/maxWarmingFill)
	warm := 0.0    // weight of the servers that are not in their warm-up
	warming := 0.0 // requests per second for the others
	for _, s := range m.servers {
		if !m.mayServe(s) || s.ejected && anyUsable || m.slowStartPaused(s) {
			continue
		}
		part := m.distributionPartOf(s)
		if s.warmingUp {
			// It gets its progress's part of what it would get of a sound fleet, and little of its lost peers' part,
			// so that it is not overloaded when others fail.
			part.target *= m.warmUpProgress(s) * total / usableWeight
			warming += part.target
		} else {
			warm += part.target
		}
		servers = append(servers, s)
		parts = append(parts, part)
	}
	for i, s := range servers {
		if !s.warmingUp {
			parts[i].target *= (total - warming) / warm
		} else if warm == 0 {
			parts[i].target *= total / warming
		}
		// A sound server does not get the requests of all its degraded peers.
		parts[i].target = min(parts[i].target, maxListedShare*total*max(s.weight, minServerWeight)/listedWeight)
	}
	m.warmingShare = 1
	if warm != 0 {
		m.warmingShare = warming / total
	}
	return servers, parts
}

// distributionPartOf is a server's part by weight, with its band around it.
func (m *Manager) distributionPartOf(s *server) distributionPart {
	part := distributionPart{partition: s.partition, target: max(s.weight, minServerWeight) * s.health}
	if s.health < soundHealth || s.warmingUp {
		part.low = 0
		part.high = 1
	} else {
		part.low = bandFloor
		part.high = bandCeiling
	}
	return part
}

// keepZoneLocalServers adds a little of the own zone's servers to a table that would name none of them where classes
// stay in their zone, so that their requests have a server while one is listed, whatever became of the zone.
func (m *Manager) keepZoneLocalServers(t *table) {
	if !m.hasZoneLocalClasses() || m.zoneLocalShare(t) >= minWeightShare {
		return
	}
	var local []*server
	for _, s := range m.servers {
		if m.isZoneLocal(t.id, s) && m.mayServe(s) && (!s.ejected || t.published[s.id] > 0) {
			local = append(local, s)
		}
	}
	for _, s := range local {
		t.target[s.id] = max(t.target[s.id], minWeightShare/float64(len(local)))
	}
}

// countedRate is what a proxy counts for in the distribution, given the rate that it reported. While servers warm up,
// it counts for its announced rate until enough was reported: a table full of such servers, made for a partition of
// which little was reported, would overload them when the rest comes.
func (m *Manager) countedRate(p *proxy, reported float64, warmingUp bool) float64 {
	newlyConnected := m.now-p.connectedAt <= maxSampleAge
	switch {
	case reported == 0 || warmingUp && newlyConnected:
		return max(reported, p.announcedRate)
	case warmingUp:
		return max(reported, minAnnouncedShare*p.announcedRate)
	default:
		return reported
	}
}

// distributionPart is what a server is to get: its target in requests per second, and the band around it as multiples
// of the target.
type distributionPart struct {
	partition int
	target    float64
	low       float64
	high      float64
}

func (p distributionPart) floor() float64   { return p.low * p.target }
func (p distributionPart) ceiling() float64 { return p.high * p.target }

// distribution is the flow split of the paper in progress.
type distribution struct {
	parts     []distributionPart
	members   [][]int           // parts by partition
	remaining []float64         // rate of a partition that has no server yet
	received  []float64         // rate that a part has got
	allocated []map[int]float64 // rate from a partition to a part
	full      []bool            // partitions without room up to the present bound
	nearest   func(partition int) []int
	closed    func(from, to int) bool
}

// distribute divides each partition's requests over the servers so that few leave their zone and every server stays
// within its band: floors first, from the own partition and then from the surplus of others; then ceilings in the own
// partition; then what remains spills to the spare band nearest by latency.
func distribute(rates []float64, parts []distributionPart, nearest func(partition int) []int, closed func(from, to int) bool) distributionShares {
	d := distribution{
		parts:     parts,
		members:   make([][]int, len(rates)),
		remaining: slices.Clone(rates),
		received:  make([]float64, len(parts)),
		allocated: make([]map[int]float64, len(rates)),
		full:      make([]bool, len(rates)),
		nearest:   nearest,
		closed:    closed,
	}
	for i, part := range parts {
		d.members[part.partition] = append(d.members[part.partition], i)
	}
	d.fill(distributionPart.floor)
	d.fill(distributionPart.ceiling)
	weights, total := remainderWeights(parts)
	return distributionShares{d.allocated, d.remaining, weights, total}
}

// fill allocates up to a bound of each part: within the partitions, then to others over open zone pairs, then over
// closed ones.
func (d *distribution) fill(bound func(distributionPart) float64) {
	clear(d.full)
	for partition := range d.remaining {
		d.allocate(partition, partition, bound)
	}
	for _, closed := range []bool{false, true} {
		for from := range d.remaining {
			d.spill(from, closed, bound)
		}
	}
}

// spill allocates what remains of a partition to others, the nearest first, over pairs that are closed or not.
func (d *distribution) spill(from int, closed bool, bound func(distributionPart) float64) {
	if d.remaining[from] <= 0 || !slices.Contains(d.full, false) {
		return
	}
	for _, to := range d.nearest(from) {
		if d.remaining[from] > 0 && !d.full[to] && d.closed(from, to) == closed {
			d.allocate(from, to, bound)
		}
	}
}

// allocate gives what remains of one partition to the servers of another, in proportion to their room up to a bound.
func (d *distribution) allocate(from, to int, bound func(distributionPart) float64) {
	room := 0.0
	for _, i := range d.members[to] {
		room += max(0, bound(d.parts[i])-d.received[i])
	}
	d.full[to] = room <= 0
	if d.full[to] || d.remaining[from] <= 0 {
		return
	}
	if d.allocated[from] == nil {
		d.allocated[from] = map[int]float64{}
	}
	portion := min(1, d.remaining[from]/room)
	for _, i := range d.members[to] {
		rate := portion * max(0, bound(d.parts[i])-d.received[i])
		d.allocated[from][i] += rate
		d.received[i] += rate
		d.remaining[from] -= rate
	}
}

// remainderWeights divide what no band has room for: by target, among the servers with a floor if there are any.
func remainderWeights(parts []distributionPart) (weights []float64, total float64) {
	anyFloor := slices.ContainsFunc(parts, func(p distributionPart) bool { return p.low > 0 })
	weights = make([]float64, len(parts))
	for i, part := range parts {
		if part.low > 0 || !anyFloor {
			weights[i] = part.target
			total += part.target
		}
	}
	return weights, total
}

// distributionShares are the result of a distribution: what each partition allocated, and of what remains, each part's
// weight.
type distributionShares struct {
	allocated        []map[int]float64
	remaining        []float64
	remainderWeights []float64
	remainderTotal   float64
}

// at is the rate from a partition to a part.
func (s distributionShares) at(partition, i int) float64 {
	if s.remaining[partition] == 0 {
		return s.allocated[partition][i]
	}
	return s.allocated[partition][i] + s.remaining[partition]*s.remainderWeights[i]/s.remainderTotal
}

// largestRemainder is the largest share of what remains of a partition.
func (s distributionShares) largestRemainder(partition int) float64 {
	return s.remaining[partition] * slices.Max(s.remainderWeights) / s.remainderTotal
}

// largest is at most the largest share of a partition, and at least half of it.
func (s distributionShares) largest(partition int) float64 {
	largest := 0.0
	for _, rate := range s.allocated[partition] {
		largest = max(largest, rate)
	}
	if s.remaining[partition] > 0 && len(s.remainderWeights) > 0 {
		largest = max(largest, s.largestRemainder(partition))
	}
	return largest
}

// forEachAbove calls with all shares of a partition that are more than a bound. Where no share of what remains reaches
// the bound by itself, only what was allocated is looked at, so that a fleet of thousands is not gone through for each
// table.
func (s distributionShares) forEachAbove(partition int, bound float64, take func(i int, rate float64)) {
	largestRemainder := 0.0
	if s.remaining[partition] != 0 && len(s.remainderWeights) > 0 {
		largestRemainder = s.largestRemainder(partition)
	}
	takeAbove := func(i int) {
		if rate := s.at(partition, i); rate > bound {
			take(i, rate)
		}
	}
	if largestRemainder > bound || s.remaining[partition] < 0 {
		for i := range s.remainderWeights {
			takeAbove(i)
		}
		return
	}
	for i := range s.allocated[partition] {
		takeAbove(i)
	}
}
