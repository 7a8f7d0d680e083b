package balancer

import (
	"cmp"
	"slices"
	"time"
)

// This file works figures out from the samples kept; it decides nothing.

func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	x = slices.Clone(x)
	slices.Sort(x)
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

func lastN[T any](x []T, n int) []T { return x[max(0, len(x)-n):] }

// figures are a server's over its last samples, as many as make enough tries.
func (m *Manager) serverStatistics(s *server) (tries, failed, latency float64) {
	good := 0.0
	for i := len(s.reports) - 1; i >= 0 && tries < fullAttempts && m.now-s.reportedAt[i] <= maxSampleAge; i-- {
		r := s.reports[i]
		tries, failed = tries+float64(r.Attempts), failed+float64(r.Failed)
		if r.Latency > 0 {
			good += float64(r.Attempts - r.Failed)
			latency += float64(r.Attempts-r.Failed) * r.Latency.Seconds()
		}
	}
	latency /= max(1, good)
	if held := m.inFlightTime(s); tries > 0 && held >= 0 && m.inFlightReported {
		latency = (latency + held) / 2
	}
	return tries, failed, latency
}

// held is the time that the flows at a server take by the load that it tells, which all managers' proxies
// bring, and by this manager's part of it; below 0 where none is told.
func (m *Manager) inFlightTime(s *server) float64 {
	if s.inFlight < 0 || m.now-s.inFlightAt > maxSampleAge {
		return -1
	}
	return s.inFlight * m.ownProxyShare() / max(m.attemptRate(s), minInFlightRate)
}

// ownPart is the part of all proxies that is joined to this manager.
func (m *Manager) ownProxyShare() float64 {
	return min(1, max(1, float64(len(m.proxies)))/max(1, m.proxyCount))
}

// rate is how many tries a second ended at a server, and delivered how many well: by zone of the proxies,
// what the samples count over what they span.
func (m *Manager) attemptRate(s *server) float64 {
	return m.perSecond(s, func(r LoadReport) int { return r.Attempts })
}

func (m *Manager) successRate(s *server) float64 {
	all := 0.0
	for z := range m.zones {
		if r := m.latestReport(s, z); r != nil {
			all += float64(r.Attempts-r.Failed) / max(r.Interval.Seconds(), 0.1)
		}
	}
	return all
}

// last is the newest report of what the proxies of a zone met at a server.
func (m *Manager) latestReport(s *server, z int) *LoadReport {
	for i := len(s.reports) - 1; i >= 0 && m.now-s.reportedAt[i] <= maxSampleAge; i-- {
		if s.reports[i].Zone == m.zones[z] {
			return &s.reports[i]
		}
	}
	return nil
}

func (m *Manager) perSecond(s *server, count func(LoadReport) int) float64 {
	all := 0.0
	for _, z := range m.zones {
		n, span := 0.0, 0.0
		for i, r := range s.reports {
			if r.Zone == z && m.now-s.reportedAt[i] <= maxSampleAge {
				n, span = n+float64(count(r)), span+r.Interval.Seconds()
			}
		}
		all += n / max(span, 0.1)
	}
	return all
}

// demand is how many flows of a traffic group come to a proxy a second, by the samples of so many seconds.
func (p *proxy) requestRate(g int, now time.Duration, seconds float64) float64 {
	flows, span := p.samples(g, now, seconds)
	return flows / max(span, 0.1)
}

func (p *proxy) samples(g int, now time.Duration, seconds float64) (flows, span float64) {
	for i := len(p.usage[g]) - 1; i >= 0 && span < seconds; i-- {
		if u := p.usage[g][i]; now-u.at <= maxSampleAge {
			flows, span = flows+u.value, span+u.seconds
		}
	}
	return flows, span
}

// peers gives the median latency and share of failures of the servers heard of, and their number.
func (m *Manager) peerBaseline() (latency, drops float64, heard int) {
	var latencies, shares []float64
	for _, s := range m.servers {
		if tries, failed, l := m.serverStatistics(s); m.mayServe(s) && tries >= minAttempts {
			shares = append(shares, failed/tries)
			if l > 0 {
				latencies = append(latencies, l)
			}
		}
	}
	return median(latencies), median(shares), len(shares)
}

// flowsMeet gives the latency that a part of the good answers heard of lately stay under, and the share of
// tries dropped.
func (m *Manager) observedLoad(part float64) (latency, drops float64) {
	type sample struct{ latency, good float64 }
	var samples []sample
	all, good := 0.0, 0.0
	for _, s := range m.servers {
		for i := len(s.reports) - 1; i >= 0 && m.now-s.reportedAt[i] <= freshReportAge; i-- {
			r := s.reports[i]
			all, drops = all+float64(r.Attempts), drops+float64(r.Failed)
			if x := float64(r.Attempts - r.Failed); x > 0 {
				samples, good = append(samples, sample{r.Latency.Seconds(), x}), good+x
			}
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
	under := 0.0
	for _, s := range samples {
		if under <= part*good {
			latency = s.latency
		}
		under += s.good
	}
	return latency, drops / max(all, 1e-6)
}

// expect works out the rate at which tries should come to each server by the standing tables.
func (m *Manager) updateExpectedRates() {
	for _, s := range m.servers {
		s.expectedRate = 0
	}
	for z, v := range m.demandByPartition() {
		t, all := m.tables[z], 0.0
		named := m.tableServers(t)
		for _, s := range named {
			if !s.withdrawn {
				all += t.published[s.id]
			}
		}
		for _, s := range named {
			if !s.withdrawn {
				s.expectedRate += v * t.published[s.id] / max(all, 1e-9)
			}
		}
	}
}

// volumes are the flows a second by zone of proxies; listed weight before any usage is heard.
func (m *Manager) demandByPartition() []float64 {
	v, cold := make([]float64, len(m.tables)), m.anyWarmingUp()
	for _, p := range m.proxies {
		sum := 0.0
		for g := range p.usage {
			sum += p.requestRate(g, m.now, rateWindow)
		}
		v[p.partition] += m.countedRate(p, sum, cold)
	}
	if !m.usageReported {
		clear(v)
		for _, s := range m.servers {
			if m.mayServe(s) {
				v[s.partition] += s.weight
			}
		}
	}
	for z := range v {
		v[z] = max(v[z], 1e-3)
	}
	return v
}

// volumesDiffer tells whether some volume is not within a part of what the tables were solved with.
func (m *Manager) demandDiffers(part float64) bool {
	for z, v := range m.demandByPartition() {
		if z >= len(m.distributedRates) || max(v, m.distributedRates[z])*(1-part) > min(v, m.distributedRates[z]) {
			return true
		}
	}
	return false
}

// heldTimes are the times that flows take at servers by the load that these tell, of those with so many tries a second.
func (m *Manager) inFlightTimes(tries float64) (times []float64) {
	for _, s := range m.servers {
		if held := m.inFlightTime(s); held >= 0 && m.attemptRate(s) > tries {
			times = append(times, held)
		}
	}
	return times
}

// probeTimes are the seconds that probes took lately.
func (m *Manager) recentCheckTimes() (times []float64) {
	for _, f := range m.checkTimes {
		if m.now-f.at <= maxSampleAge {
			times = append(times, f.value)
		}
	}
	return times
}

// heardOf is what the proxies heard of lately told that they get a second.
func (m *Manager) reportedProxyRate() (told float64) {
	for _, p := range m.proxies {
		for _, f := range p.usage {
			if n := len(f); n > 0 && m.now-f[n-1].at <= maxSampleAge {
				told += max(p.announcedRate, 1e-3) // some may tell nothing
				break
			}
		}
	}
	return told
}

func (m *Manager) meanLatencyObjective() float64 {
	sum, all := 0.0, 0.0
	for g, b := range m.latencyObjectives {
		d := 1e-6
		for _, p := range m.proxies {
			d += p.requestRate(g, m.now, demandWindow)
		}
		sum, all = sum+b*d, all+d
	}
	return sum / all
}

// evenRate is the rate at each proxy that lets in the part of what comes to all of them.
func evenRate(rates []float64, part float64) float64 {
	if part >= 1 {
		return unlimitedRate
	}
	slices.Sort(rates)
	left := 0.0
	for _, r := range rates {
		left += part * r
	}
	for i, r := range rates {
		if even := left / float64(len(rates)-i); r >= even {
			return even
		}
		left -= r
	}
	return unlimitedRate
}

func sum(x []float64) float64 {
	all := 0.0
	for _, v := range x {
		all += v
	}
	return all
}

// listed is the weight of all servers that are listed as ready.
func (m *Manager) listedWeight() float64 {
	all := 0.0
	for _, s := range m.servers {
		if m.mayServe(s) {
			all += max(s.weight, 1e-6)
		}
	}
	return all
}

// able is the weight of all servers that get flows, each as far as its climb has come and by its health.
func (m *Manager) usableWeight() float64 {
	all, anyIn := 0.0, m.anyUsable()
	for _, s := range m.servers {
		if m.mayServe(s) && !(s.ejected && anyIn) && !m.slowStartPaused(s) {
			all += max(s.weight, 1e-6) * m.warmUpProgress(s) * s.health
		}
	}
	return all
}

// traffic is what is asked, and what is delivered, a second, by the servers that still get flows.
func (m *Manager) traffic() (asked, delivered float64) {
	for _, s := range m.servers {
		if m.mayServe(s) && !s.ejected {
			delivered += m.successRate(s)
		}
	}
	return sum(m.demandByClass()), delivered
}

// demands are the flows a second by traffic group, of all proxies. All flows over all spans, for a span ends
// where some flow came: the sum of each proxy's last rate is far too high where it gets few.
func (m *Manager) demandByClass() []float64 {
	sums := make([]float64, len(m.latencyObjectives))
	for g := range m.latencyObjectives {
		flows, spans, heard := 0.0, 0.0, 0.0
		for _, p := range m.proxies {
			if f, span := p.samples(g, m.now, demandWindow); span > 0 {
				flows, spans, heard = flows+f, spans+span, heard+1
			}
		}
		sums[g] = heard * flows / max(spans, 0.1)
	}
	return sums
}

// rates are the flows a second of a traffic group at each proxy of a block.
func (m *Manager) proxyRates(z int, g ClassID) (rates []float64) {
	m.updatePlacement()
	for _, p := range m.tables[z].proxies {
		rates = append(rates, p.requestRate(int(g), m.now, rateWindow))
	}
	return rates
}

// nearest orders, for a block, the others: those of its own zone, then those of others by latency. They begin with
// the next one, so that neighbours do not all begin with the same.
func (m *Manager) nearestPartitions() func(a int) []int {
	zones := len(m.tables) / m.partitionsPerZone
	order := make([][]int, zones) // of the other zones
	for a := range order {
		dist := make([]float64, zones)
		for i := 1; i < zones; i++ {
			b := (a + i) % zones
			dist[b], order[a] = median(m.zonePairs[a][b].latencies), append(order[a], b)
		}
		slices.SortStableFunc(order[a], func(b, c int) int { return cmp.Compare(dist[b], dist[c]) })
	}
	return func(a int) (others []int) {
		z, first := a/m.partitionsPerZone, a/m.partitionsPerZone*m.partitionsPerZone
		for i := 1; i < m.partitionsPerZone; i++ {
			others = append(others, first+(a-first+i)%m.partitionsPerZone)
		}
		for _, b := range order[z] {
			for i := range m.partitionsPerZone {
				others = append(others, b*m.partitionsPerZone+i)
			}
		}
		return others
	}
}

// whole is what a table costs a proxy that is put on it.
func (m *Manager) assignmentCost(t *table) float64 {
	if t.assignCost == 0 {
		n := 1 + len(t.published) + len(t.publishedLevels)
		for id := range t.published {
			if s := m.server(id); s != nil {
				ours := m.isZoneLocal(t.id, s)
				n += either(s.withdrawn, 1, 0) + either(ours, 1, 0) + either(ours && s.withdrawn, 1, 0)
			}
		}
		t.assignCost = float64(n + either(m.zoneLocal != 0, 1, 0))
	}
	return t.assignCost
}

// ours tells whether a server is of a table's zone, where some groups keep to it.
func (m *Manager) isZoneLocal(id TableID, s *server) bool {
	return m.zoneLocal != 0 && s.zone == int(id)/m.partitionsPerZone
}

// homePart is the part of its wanted lines that a table has in its own zone.
func (m *Manager) zoneLocalShare(t *table) (part float64) {
	for _, s := range m.tableServers(t) {
		if m.isZoneLocal(t.id, s) {
			part += t.target[s.id]
		}
	}
	return part
}

// lastOurs tells whether a server's line is the last of its table's own zone that can be picked.
func (m *Manager) isLastZoneLocal(t *table, but *server) bool {
	if !m.isZoneLocal(t.id, but) {
		return false
	}
	for id, w := range t.published {
		if s := m.server(id); s != nil && s != but && w > 0 && !s.withdrawn && m.isZoneLocal(t.id, s) {
			return false
		}
	}
	return true
}

// homeless tells whether no line of a table's own zone can be picked, and one is wanted. Cheap where no group keeps to it.
func (m *Manager) hasNoLocalEndpoint(t *table) bool {
	if m.zoneLocal == 0 { // guards against a walk over all tables with each withdrawal
		return false
	}
	wanted := false
	for id, w := range t.target {
		s := m.server(id)
		if s == nil || !m.isZoneLocal(t.id, s) {
			continue
		}
		if wanted = wanted || w > 0; t.published[id] > 0 && !s.withdrawn {
			return false
		}
	}
	return wanted
}

// bare tells whether no line of a table can be picked.
func (m *Manager) isEmptyTable(t *table) bool {
	for id, w := range t.published {
		if s := m.server(id); s != nil && w > 0 && !s.withdrawn {
			return false
		}
	}
	return true
}

// coldRise is by how much withdrawals raise the part of a table that its cold servers get, over what they were to get.
func (m *Manager) warmingShareRise(t *table) float64 {
	wantedCold, wanted := 0.0, 0.0
	cold, all := m.publishedWeights(t)
	if cold == 0 {
		return 0
	}
	for id, w := range t.target {
		if s := m.server(id); s != nil {
			wanted, wantedCold = wanted+w, wantedCold+either(s.warmingUp, w, 0)
		}
	}
	return cold / all * wanted / max(wantedCold, minWeightShare*wanted)
}

// standingWeights sums the weights of a table's lines that can be picked: of the servers that climb, and of all.
func (m *Manager) publishedWeights(t *table) (cold, all float64) {
	for id, w := range t.published {
		if s := m.server(id); s != nil && !s.withdrawn {
			all, cold = all+w, cold+either(s.warmingUp, w, 0)
		}
	}
	return cold, all
}

// coldPart is the part of a table's weights that servers have which climb.
func (m *Manager) warmingShareOf(t *table) float64 {
	cold, all := m.publishedWeights(t)
	return cold / max(all, 1e-9)
}

// usable is the weight of a table's lines that can be picked, but for one server's.
func (m *Manager) otherUsableWeight(t *table, but *server) (all float64) {
	for id, w := range t.published {
		if s := m.server(id); s != nil && s != but && !s.withdrawn {
			all += w
		}
	}
	return all
}

// anyIn tells whether some server that may get flows answers.
func (m *Manager) anyUsable() bool {
	return slices.ContainsFunc(m.servers, func(s *server) bool { return m.mayServe(s) && !s.ejected })
}

// cold tells whether a server may get flows and climbs.
func (m *Manager) isWarmingUp(s *server) bool { return s.warmingUp && m.mayServe(s) }

// blockOf is the block of a zone with the fewest servers, and blockFor that with the fewest flows.
func (m *Manager) partitionForServer(z int) int {
	if m.partitionsPerZone == 1 {
		return z
	}
	has := make([]float64, len(m.tables))
	for _, s := range m.servers {
		has[s.partition]++
	}
	return m.smallestPartition(z, has)
}

func (m *Manager) partitionForProxy(z int) int {
	m.updatePlacement()
	least := z * m.partitionsPerZone
	for b := least; b < (z+1)*m.partitionsPerZone; b++ {
		if m.tables[b].announcedRate < m.tables[least].announcedRate {
			least = b
		}
	}
	return least
}

func (m *Manager) smallestPartition(z int, has []float64) int {
	least := z * m.partitionsPerZone
	for b := least; b < (z+1)*m.partitionsPerZone; b++ {
		if has[b] < has[least] {
			least = b
		}
	}
	return least
}

// scale is what most standing lines weigh for a part of their table.
func (t *table) scale() float64 {
	if t.pinnedWeight > 0 {
		return t.pinnedWeight
	}
	scales := []float64{}
	for s, w := range t.target {
		if t.published[s] > 0 {
			scales = append(scales, t.published[s]/w)
		}
	}
	return cmp.Or(median(scales), 100)
}

func (m *Manager) pairClosed(a, b int) bool {
	return m.zonePairs[a/m.partitionsPerZone][b/m.partitionsPerZone].closed
}

// amount is a level in the unit that proxies take.
func (m *Manager) admissionAmount(part float64, z int, g ClassID) float64 {
	if m.admissionUnit != AdmitRate {
		return part
	} else if part >= 1 {
		return unlimitedRate
	}
	return evenRate(m.proxyRates(z, g), part)
}

// shares are what a split gives: what each zone was given, and of what is left, its part by target.
type distributionShares struct {
	allocated        []map[int]float64
	remaining        []float64
	remainderWeights []float64
	remainderTotal   float64
}

func (s distributionShares) at(z, i int) float64 {
	if s.remaining[z] == 0 {
		return s.allocated[z][i]
	}
	return s.allocated[z][i] + s.remaining[z]*s.remainderWeights[i]/s.remainderTotal
}

// largest is at most the largest share of a zone, and at least half of it.
func (s distributionShares) largest(z int) (largest float64) {
	for _, x := range s.allocated[z] {
		largest = max(largest, x)
	}
	if s.remaining[z] > 0 && len(s.remainderWeights) > 0 {
		largest = max(largest, s.remaining[z]*slices.Max(s.remainderWeights)/s.remainderTotal)
	}
	return largest
}

// above calls with all shares of a zone that are more than a bound. Where no part of what is left reaches the
// bound by itself, only what was given is looked at: a fleet of thousands is not gone through for each table.
func (s distributionShares) forEachAbove(z int, bound float64, take func(i int, x float64)) {
	most := 0.0
	if s.remaining[z] != 0 && len(s.remainderWeights) > 0 {
		most = s.remaining[z] * slices.Max(s.remainderWeights) / s.remainderTotal
	}
	if most > bound || s.remaining[z] < 0 {
		for i := range s.remainderWeights {
			if x := s.at(z, i); x > bound {
				take(i, x)
			}
		}
		return
	}
	for i := range s.allocated[z] {
		if x := s.at(z, i); x > bound {
			take(i, x)
		}
	}
}

func count[T any](x []T, is func(T) bool) (n int) {
	for _, one := range x {
		if is(one) {
			n++
		}
	}
	return n
}

func either[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}
