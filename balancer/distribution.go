package balancer

import "slices"

const (
	// bandFloor is the smallest multiple of its target that a healthy server gets.
	bandFloor = 0.8
	// bandCeiling is the largest multiple of its target that a healthy server gets while other servers have capacity.
	bandCeiling = 1.2
	// maxListedShareFactor is the most that a server gets, as a multiple of its share of the listed weight.
	maxListedShareFactor = 2.0

	// minWeightShare is the share of a table's requests above which a server is named in the table.
	minWeightShare = 0.005
	// minShareOfLargest applies instead of minWeightShare in tables of hundreds of equal servers, each of which gets
	// less than minWeightShare: a server is named if it gets more than this fraction of the table's largest share.
	minShareOfLargest = 0.5

	// rateTolerance is the relative change of a partition's request rate above which the requests are redistributed.
	rateTolerance = 0.2
	// rateWindow is how many seconds of usage a proxy's request rate in the distribution is computed from.
	rateWindow = 6.0
	// minAnnouncedShare is the smallest fraction of its announced rate that a proxy counts for while servers warm up.
	minAnnouncedShare = 0.5
)

// redistributionReason is the reason why the tables' target shares must be recomputed.
type redistributionReason int

const (
	upToDate redistributionReason = iota
	endpointsChanged
	serverEjected
	ejectionEnded
	healthChanged
	warmUpAdvanced
	slowStartPauseChanged
	zonePairChanged
	demandChanged
	proxyAwaitsTable
	pinChanged
	tablesReset
	changesUnpublished // the last publication had no room in the channel for some changes
)

func (m *Manager) redistributionDue() bool {
	return m.redistribution != upToDate && m.partitioned && (m.publication.due || m.publication.urgent)
}

// redistribute computes every table's target shares from the request rate of each partition and the target rate of
// each server.
func (m *Manager) redistribute() {
	m.redistribution = upToDate
	m.publication.markDue()
	m.publication.outdated = false
	m.distributedRates = m.demandByPartition()
	m.endDistributionWait()
	anyUsable := m.anyUsable()
	servers, targets := m.serverTargets(anyUsable)
	result := distribute(m.distributedRates, targets, m.nearestPartitions(), m.pairClosed)
	for partition, t := range m.tables {
		rate := m.distributedRates[partition]
		clear(t.targetShares)
		threshold := min(minWeightShare*rate, minShareOfLargest*result.largestRate(partition))
		result.forEachAbove(partition, threshold, func(i int, serverRate float64) { t.targetShares[servers[i].id] = serverRate / rate })
		m.applyPinnedWeights(t, anyUsable)
		m.keepZoneLocalServers(t)
	}
	m.checkEmptyTables() // a zone-local part needs an endpoint only if it has a target share
}

// serverTargets returns the servers that get requests and the target of each. Ejected servers are left out unless no
// server is usable.
func (m *Manager) serverTargets(anyUsable bool) ([]*server, []serverTarget) {
	var servers []*server
	for _, s := range m.servers {
		if m.mayServe(s) && !(s.ejected && anyUsable) && !m.slowStartPaused(s) {
			servers = append(servers, s)
		}
	}
	totalRate := sum(m.distributedRates)
	listedWeight := m.listedWeight()
	targets, totals := m.unscaledTargets(servers, totalRate, listedWeight)
	for i, s := range servers {
		if !s.warmingUp {
			targets[i].rate *= (totalRate - totals.warmingRate) / totals.warmWeight
		} else if totals.warmWeight == 0 {
			targets[i].rate *= totalRate / totals.warmingRate
		}
		// Without this limit, a healthy server would take over the requests of all its degraded peers.
		targets[i].rate = min(targets[i].rate, maxListedShareFactor*totalRate*max(s.weight, minServerWeight)/listedWeight)
	}
	m.recordWarmingShares(totals, totalRate, listedWeight)
	return servers, targets
}

// targetTotals holds sums over the targets of all servers.
type targetTotals struct {
	warmWeight  float64 // listed weight, scaled by health, of the servers that are not warming up
	warmingRate float64 // requests per second for the servers that are warming up
}

// unscaledTargets returns targets in requests per second for the servers that are warming up, and in units of listed weight
// for the others.
func (m *Manager) unscaledTargets(servers []*server, totalRate, listedWeight float64) (targets []serverTarget, totals targetTotals) {
	usableWeight := max(m.usableWeight(), listedWeight/maxWarmingShareFactor)
	for _, s := range servers {
		target := m.serverTarget(s)
		if s.warmingUp {
			// A warming server gets its warm-up progress times its share of the usable weight. The lower bound of
			// usableWeight limits that share to maxWarmingShareFactor times the server's share in a healthy fleet, so that
			// the server is not overloaded when others fail.
			target.rate *= m.warmUpProgress(s) * totalRate / usableWeight
			totals.warmingRate += target.rate
		} else {
			totals.warmWeight += target.rate
		}
		targets = append(targets, target)
	}
	return targets, totals
}

// recordWarmingShares records which share of all requests the targets give to warming servers, and which share these can
// take.
func (m *Manager) recordWarmingShares(totals targetTotals, totalRate, listedWeight float64) {
	previous := m.warmingCapacityShare
	m.fleetWarmingShare = 1
	m.warmingCapacityShare = 1
	switch {
	case totals.warmWeight != 0:
		m.fleetWarmingShare = totals.warmingRate / totalRate
	case listedWeight > 0:
		m.warmingCapacityShare = min(1, maxWarmingShareIncrease*m.usableWeight()/listedWeight)
	}
	if (previous < 1) != (m.warmingCapacityShare < 1) {
		m.logWarmingCapacity()
	}
}

func (m *Manager) logWarmingCapacity() {
	m.log(EventWarmingCapacity,
		numberField("share", m.warmingCapacityShare, 2),
		countField("warming_up", m.currentServerSets().warmingUp))
}

// serverTarget returns a server's target in units of listed weight, which serverTargets scales to requests per second,
// and the band around it.
func (m *Manager) serverTarget(s *server) serverTarget {
	target := serverTarget{partition: s.partition, rate: max(s.weight, minServerWeight) * s.health}
	if s.health < minHealthForFloor || s.warmingUp {
		target.low = 0
		target.high = 1
	} else {
		target.low = bandFloor
		target.high = bandCeiling
	}
	return target
}

// keepZoneLocalServers adds the servers of the table's own zone with a small share if the table would give them less
// than minWeightShare in total. Requests of zone-local classes then have an endpoint as long as the zone has a listed
// server, even during a zone outage. An ejected server is added only if the published table already names it, or if all
// servers of the zone are ejected.
func (m *Manager) keepZoneLocalServers(t *table) {
	if !m.hasZoneLocalClasses() || m.zoneLocalShare(t) >= minWeightShare {
		return
	}
	var local []*server
	for _, s := range m.servers {
		if m.isZoneLocal(t.id, s) && m.mayServe(s) && (!s.ejected || t.publishedWeights[s.id] > 0 || m.isLastResort(s)) {
			local = append(local, s)
		}
	}
	for _, s := range local {
		t.targetShares[s.id] = max(t.targetShares[s.id], minWeightShare/float64(len(local)))
	}
}

// countedRate returns the request rate that a proxy counts for in the distribution, given its reported rate. A proxy
// that reported no requests counts for its announced rate. While servers warm up, a newly connected proxy counts for at
// least its announced rate, and any other proxy for at least minAnnouncedShare of it: a partition with few reported
// requests could otherwise get a table full of warming servers, which would be overloaded when the other requests
// arrive.
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

// serverTarget is the target of one server: the requests per second that it should get and the band around that rate.
// The bounds of the band, low and high, are multiples of the rate.
type serverTarget struct {
	partition int
	rate      float64
	low       float64
	high      float64
}

func (t serverTarget) floor() float64   { return t.low * t.rate }
func (t serverTarget) ceiling() float64 { return t.high * t.rate }

// distribution is the working state of distribute. Servers are identified by their position in targets.
type distribution struct {
	targets            []serverTarget
	targetsByPartition [][]int
	unallocated        []float64         // request rate of each partition that is not allocated to a server yet
	allocatedTo        []float64         // request rate allocated to each server
	allocated          []map[int]float64 // request rate allocated from each partition to each server
	full               []bool            // partitions whose servers have all reached the current bound
	nearest            func(partition int) []int
	pairClosed         func(from, to int) bool
}

// distribute divides each partition's requests over the servers so that few requests leave their zone and each server
// stays within its band. It first fills servers to their floors: from their own partition, then from partitions with
// unallocated requests. It then fills them to their ceilings in the same order, with the nearest partitions by latency
// first. Requests that exceed all bands are divided by remainderWeights.
func distribute(
	rates []float64,
	targets []serverTarget,
	nearest func(partition int) []int,
	pairClosed func(from, to int) bool,
) distributionResult {
	d := distribution{
		targets:            targets,
		targetsByPartition: make([][]int, len(rates)),
		unallocated:        slices.Clone(rates),
		allocatedTo:        make([]float64, len(targets)),
		allocated:          make([]map[int]float64, len(rates)),
		full:               make([]bool, len(rates)),
		nearest:            nearest,
		pairClosed:         pairClosed,
	}
	for i, target := range targets {
		d.targetsByPartition[target.partition] = append(d.targetsByPartition[target.partition], i)
	}
	d.fill(serverTarget.floor)
	d.fill(serverTarget.ceiling)
	weights, total := remainderWeights(targets)
	return distributionResult{d.allocated, d.unallocated, weights, total}
}

// fill allocates requests up to a bound of each server: first within each partition, then to other partitions over open
// zone pairs, then over closed ones.
func (d *distribution) fill(bound func(serverTarget) float64) {
	clear(d.full)
	for partition := range d.unallocated {
		d.allocate(partition, partition, bound)
	}
	for _, closed := range []bool{false, true} {
		for from := range d.unallocated {
			d.spill(from, closed, bound)
		}
	}
}

// spill allocates a partition's unallocated requests to other partitions, nearest first. It uses only closed zone pairs
// if closed is true, and only open ones otherwise.
func (d *distribution) spill(from int, closed bool, bound func(serverTarget) float64) {
	if d.unallocated[from] <= 0 || !slices.Contains(d.full, false) {
		return
	}
	for _, to := range d.nearest(from) {
		if d.unallocated[from] > 0 && !d.full[to] && d.pairClosed(from, to) == closed {
			d.allocate(from, to, bound)
		}
	}
}

// allocate allocates one partition's unallocated requests to the servers of another partition or its own, in proportion
// to each server's spare capacity up to a bound.
func (d *distribution) allocate(from, to int, bound func(serverTarget) float64) {
	capacity := 0.0
	for _, i := range d.targetsByPartition[to] {
		capacity += max(0, bound(d.targets[i])-d.allocatedTo[i])
	}
	d.full[to] = capacity <= 0
	if d.full[to] || d.unallocated[from] <= 0 {
		return
	}
	if d.allocated[from] == nil {
		d.allocated[from] = map[int]float64{}
	}
	portion := min(1, d.unallocated[from]/capacity)
	for _, i := range d.targetsByPartition[to] {
		rate := portion * max(0, bound(d.targets[i])-d.allocatedTo[i])
		d.allocated[from][i] += rate
		d.allocatedTo[i] += rate
		d.unallocated[from] -= rate
	}
}

// remainderWeights returns the weights for dividing the requests that exceed all bands: the target rates of the servers
// with a floor, or of all servers if none has one.
func remainderWeights(targets []serverTarget) (weights []float64, total float64) {
	anyFloor := slices.ContainsFunc(targets, func(t serverTarget) bool { return t.low > 0 })
	weights = make([]float64, len(targets))
	for i, target := range targets {
		if target.low > 0 || !anyFloor {
			weights[i] = target.rate
			total += target.rate
		}
	}
	return weights, total
}

// distributionResult is the result of distribute. A server gets its allocated rate and, by its remainder weight, a part
// of each partition's unallocated rate.
type distributionResult struct {
	allocated        []map[int]float64
	unallocated      []float64
	remainderWeights []float64
	remainderTotal   float64
}

// rate returns the request rate from a partition to the server at position i of the targets.
func (r distributionResult) rate(partition, i int) float64 {
	if r.unallocated[partition] == 0 {
		return r.allocated[partition][i]
	}
	return r.allocated[partition][i] + r.unallocated[partition]*r.remainderWeights[i]/r.remainderTotal
}

// largestRemainderRate returns the largest part of a partition's unallocated rate that a server gets.
func (r distributionResult) largestRemainderRate(partition int) float64 {
	return r.unallocated[partition] * slices.Max(r.remainderWeights) / r.remainderTotal
}

// largestRate estimates the largest request rate from a partition to a server: it returns between half of that rate and
// the rate itself.
func (r distributionResult) largestRate(partition int) float64 {
	largest := 0.0
	for _, rate := range r.allocated[partition] {
		largest = max(largest, rate)
	}
	if r.unallocated[partition] > 0 && len(r.remainderWeights) > 0 {
		largest = max(largest, r.largestRemainderRate(partition))
	}
	return largest
}

// forEachAbove calls visit for each server whose request rate from a partition is above a bound. If no server's part of
// the unallocated rate exceeds the bound by itself, it visits only servers with an allocated rate, so that not every
// table requires a pass over a fleet of thousands of servers.
func (r distributionResult) forEachAbove(partition int, bound float64, visit func(i int, rate float64)) {
	largestRemainder := 0.0
	if r.unallocated[partition] != 0 && len(r.remainderWeights) > 0 {
		largestRemainder = r.largestRemainderRate(partition)
	}
	visitAbove := func(i int) {
		if rate := r.rate(partition, i); rate > bound {
			visit(i, rate)
		}
	}
	if largestRemainder > bound || r.unallocated[partition] < 0 {
		for i := range r.remainderWeights {
			visitAbove(i)
		}
		return
	}
	for i := range r.allocated[partition] {
		visitAbove(i)
	}
}
