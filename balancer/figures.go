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

func lastOf[T any](x []T, n int) []T { return x[max(0, len(x)-n):] }

// figures are a server's over its last samples, as many as make enough tries.
func (m *Manager) figures(s *server) (tries, failed, latency float64) {
	good := 0.0
	for i := len(s.heard) - 1; i >= 0 && tries < fullTries && m.now-s.heardAt[i] <= samplesOld; i-- {
		r := s.heard[i]
		tries, failed = tries+float64(r.Attempts), failed+float64(r.Failed)
		if r.Latency > 0 {
			good += float64(r.Attempts - r.Failed)
			latency += float64(r.Attempts-r.Failed) * r.Latency.Seconds()
		}
	}
	latency /= max(1, good)
	if held := m.held(s); tries > 0 && held >= 0 && m.loadTold {
		latency = (latency + held) / 2
	}
	return tries, failed, latency
}

// held is the time that the flows at a server take by the load that it tells, which all managers' proxies
// bring, and by this manager's part of it; below 0 where none is told.
func (m *Manager) held(s *server) float64 {
	if s.load < 0 || m.now-s.loadAt > samplesOld {
		return -1
	}
	return s.load * m.ownPart() / max(m.rate(s), heldLeast)
}

// ownPart is the part of all proxies that is joined to this manager.
func (m *Manager) ownPart() float64 {
	return min(1, max(1, float64(len(m.proxies)))/max(1, m.allProxies))
}

// rate is how many tries a second ended at a server, and delivered how many well: by zone of the proxies,
// what the samples count over what they span.
func (m *Manager) rate(s *server) float64 {
	return m.perSecond(s, func(r LoadReport) int { return r.Attempts })
}

func (m *Manager) delivered(s *server) float64 {
	all := 0.0
	for z := range m.zones {
		if r := m.last(s, z); r != nil {
			all += float64(r.Attempts-r.Failed) / max(r.Interval.Seconds(), 0.1)
		}
	}
	return all
}

// last is the newest report of what the proxies of a zone met at a server.
func (m *Manager) last(s *server, z int) *LoadReport {
	for i := len(s.heard) - 1; i >= 0 && m.now-s.heardAt[i] <= samplesOld; i-- {
		if s.heard[i].Zone == m.zones[z] {
			return &s.heard[i]
		}
	}
	return nil
}

func (m *Manager) perSecond(s *server, count func(LoadReport) int) float64 {
	all := 0.0
	for _, z := range m.zones {
		n, span := 0.0, 0.0
		for i, r := range s.heard {
			if r.Zone == z && m.now-s.heardAt[i] <= samplesOld {
				n, span = n+float64(count(r)), span+r.Interval.Seconds()
			}
		}
		all += n / max(span, 0.1)
	}
	return all
}

// demand is how many flows of a traffic group come to a proxy a second, by the samples of so many seconds.
func (p *proxy) demand(g int, now time.Duration, seconds float64) float64 {
	flows, span := p.samples(g, now, seconds)
	return flows / max(span, 0.1)
}

func (p *proxy) samples(g int, now time.Duration, seconds float64) (flows, span float64) {
	for i := len(p.flows[g]) - 1; i >= 0 && span < seconds; i-- {
		if u := p.flows[g][i]; now-u.at <= samplesOld {
			flows, span = flows+u.value, span+u.span
		}
	}
	return flows, span
}

// peers gives the median latency and share of failures of the servers heard of, and their number.
func (m *Manager) peers() (latency, drops float64, heard int) {
	var latencies, shares []float64
	for _, s := range m.servers {
		if tries, failed, l := m.figures(s); m.open(s) && tries >= enoughTries {
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
func (m *Manager) flowsMeet(part float64) (latency, drops float64) {
	type sample struct{ latency, good float64 }
	var samples []sample
	all, good := 0.0, 0.0
	for _, s := range m.servers {
		for i := len(s.heard) - 1; i >= 0 && m.now-s.heardAt[i] <= freshFor; i-- {
			r := s.heard[i]
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
func (m *Manager) expect() {
	for _, s := range m.servers {
		s.expects = 0
	}
	for z, v := range m.volumes() {
		t, all := m.tables[z], 0.0
		named := m.named(t)
		for _, s := range named {
			if !s.withdrawn {
				all += t.standing[s.id]
			}
		}
		for _, s := range named {
			if !s.withdrawn {
				s.expects += v * t.standing[s.id] / max(all, 1e-9)
			}
		}
	}
}

// volumes are the flows a second by zone of proxies; listed weight before any usage is heard.
func (m *Manager) volumes() []float64 {
	v, cold := make([]float64, len(m.tables)), m.climbs()
	for _, p := range m.proxies {
		sum := 0.0
		for g := range p.flows {
			sum += p.demand(g, m.now, volumeFor)
		}
		v[p.block] += m.counts(p, sum, cold)
	}
	if !m.used {
		clear(v)
		for _, s := range m.servers {
			if m.open(s) {
				v[s.block] += s.weight
			}
		}
	}
	for z := range v {
		v[z] = max(v[z], 1e-3)
	}
	return v
}

// volumesDiffer tells whether some volume is not within a part of what the tables were solved with.
func (m *Manager) volumesDiffer(part float64) bool {
	for z, v := range m.volumes() {
		if z >= len(m.solved) || max(v, m.solved[z])*(1-part) > min(v, m.solved[z]) {
			return true
		}
	}
	return false
}

// heldTimes are the times that flows take at servers by the load that these tell, of those with so many tries a second.
func (m *Manager) heldTimes(tries float64) (times []float64) {
	for _, s := range m.servers {
		if held := m.held(s); held >= 0 && m.rate(s) > tries {
			times = append(times, held)
		}
	}
	return times
}

// probeTimes are the seconds that probes took lately.
func (m *Manager) probeTimes() (times []float64) {
	for _, f := range m.answers {
		if m.now-f.at <= samplesOld {
			times = append(times, f.value)
		}
	}
	return times
}

// heardOf is what the proxies heard of lately told that they get a second.
func (m *Manager) heardOf() (told float64) {
	for _, p := range m.proxies {
		for _, f := range p.flows {
			if n := len(f); n > 0 && m.now-f[n-1].at <= samplesOld {
				told += max(p.rate, 1e-3) // some may tell nothing
				break
			}
		}
	}
	return told
}

func (m *Manager) meanBudget() float64 {
	sum, all := 0.0, 0.0
	for g, b := range m.budget {
		d := 1e-6
		for _, p := range m.proxies {
			d += p.demand(g, m.now, askedFor)
		}
		sum, all = sum+b*d, all+d
	}
	return sum / all
}

// evenRate is the rate at each proxy that lets in the part of what comes to all of them.
func evenRate(rates []float64, part float64) float64 {
	if part >= 1 {
		return rateOpen
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
	return rateOpen
}

func sum(x []float64) float64 {
	all := 0.0
	for _, v := range x {
		all += v
	}
	return all
}

// listed is the weight of all servers that are listed as ready.
func (m *Manager) listed() float64 {
	all := 0.0
	for _, s := range m.servers {
		if m.open(s) {
			all += max(s.weight, 1e-6)
		}
	}
	return all
}

// able is the weight of all servers that get flows, each as far as its climb has come and by its health.
func (m *Manager) able() float64 {
	all, anyIn := 0.0, m.anyIn()
	for _, s := range m.servers {
		if m.open(s) && !(s.out && anyIn) && !m.heldBack(s) {
			all += max(s.weight, 1e-6) * m.climbed(s) * s.health
		}
	}
	return all
}

// traffic is what is asked, and what is delivered, a second, by the servers that still get flows.
func (m *Manager) traffic() (asked, delivered float64) {
	for _, s := range m.servers {
		if m.open(s) && !s.out {
			delivered += m.delivered(s)
		}
	}
	return sum(m.demands()), delivered
}

// demands are the flows a second by traffic group, of all proxies. All flows over all spans, for a span ends
// where some flow came: the sum of each proxy's last rate is far too high where it gets few.
func (m *Manager) demands() []float64 {
	sums := make([]float64, len(m.budget))
	for g := range m.budget {
		flows, spans, heard := 0.0, 0.0, 0.0
		for _, p := range m.proxies {
			if f, span := p.samples(g, m.now, askedFor); span > 0 {
				flows, spans, heard = flows+f, spans+span, heard+1
			}
		}
		sums[g] = heard * flows / max(spans, 0.1)
	}
	return sums
}

// rates are the flows a second of a traffic group at each proxy of a block.
func (m *Manager) rates(z int, g ClassID) (rates []float64) {
	m.place()
	for _, p := range m.tables[z].dealt {
		rates = append(rates, p.demand(int(g), m.now, volumeFor))
	}
	return rates
}

// nearest orders, for a block, the others: those of its own zone, then those of others by latency. They begin with
// the next one, so that neighbours do not all begin with the same.
func (m *Manager) nearest() func(a int) []int {
	zones := len(m.tables) / m.blocks
	order := make([][]int, zones) // of the other zones
	for a := range order {
		dist := make([]float64, zones)
		for i := 1; i < zones; i++ {
			b := (a + i) % zones
			dist[b], order[a] = median(m.pairs[a][b].latency), append(order[a], b)
		}
		slices.SortStableFunc(order[a], func(b, c int) int { return cmp.Compare(dist[b], dist[c]) })
	}
	return func(a int) (others []int) {
		z, first := a/m.blocks, a/m.blocks*m.blocks
		for i := 1; i < m.blocks; i++ {
			others = append(others, first+(a-first+i)%m.blocks)
		}
		for _, b := range order[z] {
			for i := range m.blocks {
				others = append(others, b*m.blocks+i)
			}
		}
		return others
	}
}

// whole is what a table costs a proxy that is put on it.
func (m *Manager) whole(t *table) float64 {
	if t.cost == 0 {
		n := 1 + len(t.standing) + len(t.levels)
		for id := range t.standing {
			if s := m.server(id); s != nil {
				ours := m.ours(t.id, s)
				n += either(s.withdrawn, 1, 0) + either(ours, 1, 0) + either(ours && s.withdrawn, 1, 0)
			}
		}
		t.cost = float64(n + either(m.home != 0, 1, 0))
	}
	return t.cost
}

// ours tells whether a server is of a table's zone, where some groups keep to it.
func (m *Manager) ours(id TableID, s *server) bool { return m.home != 0 && s.zone == int(id)/m.blocks }

// homePart is the part of its wanted lines that a table has in its own zone.
func (m *Manager) homePart(t *table) (part float64) {
	for _, s := range m.named(t) {
		if m.ours(t.id, s) {
			part += t.wanted[s.id]
		}
	}
	return part
}

// lastOurs tells whether a server's line is the last of its table's own zone that can be picked.
func (m *Manager) lastOurs(t *table, but *server) bool {
	if !m.ours(t.id, but) {
		return false
	}
	for id, w := range t.standing {
		if s := m.server(id); s != nil && s != but && w > 0 && !s.withdrawn && m.ours(t.id, s) {
			return false
		}
	}
	return true
}

// homeless tells whether no line of a table's own zone can be picked, and one is wanted. Cheap where no group keeps to it.
func (m *Manager) homeless(t *table) bool {
	if m.home == 0 { // guards against a walk over all tables with each withdrawal
		return false
	}
	wanted := false
	for id, w := range t.wanted {
		s := m.server(id)
		if s == nil || !m.ours(t.id, s) {
			continue
		}
		if wanted = wanted || w > 0; t.standing[id] > 0 && !s.withdrawn {
			return false
		}
	}
	return wanted
}

// bare tells whether no line of a table can be picked.
func (m *Manager) bare(t *table) bool {
	for id, w := range t.standing {
		if s := m.server(id); s != nil && w > 0 && !s.withdrawn {
			return false
		}
	}
	return true
}

// coldRise is by how much withdrawals raise the part of a table that its cold servers get, over what they were to get.
func (m *Manager) coldRise(t *table) float64 {
	wantedCold, wanted := 0.0, 0.0
	cold, all := m.standingWeights(t)
	if cold == 0 {
		return 0
	}
	for id, w := range t.wanted {
		if s := m.server(id); s != nil {
			wanted, wantedCold = wanted+w, wantedCold+either(s.climbing, w, 0)
		}
	}
	return cold / all * wanted / max(wantedCold, leastLine*wanted)
}

// standingWeights sums the weights of a table's lines that can be picked: of the servers that climb, and of all.
func (m *Manager) standingWeights(t *table) (cold, all float64) {
	for id, w := range t.standing {
		if s := m.server(id); s != nil && !s.withdrawn {
			all, cold = all+w, cold+either(s.climbing, w, 0)
		}
	}
	return cold, all
}

// coldPart is the part of a table's weights that servers have which climb.
func (m *Manager) coldPart(t *table) float64 {
	cold, all := m.standingWeights(t)
	return cold / max(all, 1e-9)
}

// usable is the weight of a table's lines that can be picked, but for one server's.
func (m *Manager) usable(t *table, but *server) (all float64) {
	for id, w := range t.standing {
		if s := m.server(id); s != nil && s != but && !s.withdrawn {
			all += w
		}
	}
	return all
}

// anyIn tells whether some server that may get flows answers.
func (m *Manager) anyIn() bool {
	return slices.ContainsFunc(m.servers, func(s *server) bool { return m.open(s) && !s.out })
}

// cold tells whether a server may get flows and climbs.
func (m *Manager) cold(s *server) bool { return s.climbing && m.open(s) }

// blockOf is the block of a zone with the fewest servers, and blockFor that with the fewest flows.
func (m *Manager) blockOf(z int) int {
	if m.blocks == 1 {
		return z
	}
	has := make([]float64, len(m.tables))
	for _, s := range m.servers {
		has[s.block]++
	}
	return m.leastOf(z, has)
}

func (m *Manager) blockFor(z int) int {
	m.place()
	least := z * m.blocks
	for b := least; b < (z+1)*m.blocks; b++ {
		if m.tables[b].load < m.tables[least].load {
			least = b
		}
	}
	return least
}

func (m *Manager) leastOf(z int, has []float64) int {
	least := z * m.blocks
	for b := least; b < (z+1)*m.blocks; b++ {
		if has[b] < has[least] {
			least = b
		}
	}
	return least
}

// scale is what most standing lines weigh for a part of their table.
func (t *table) scale() float64 {
	if t.held > 0 {
		return t.held
	}
	scales := []float64{}
	for s, w := range t.wanted {
		if t.standing[s] > 0 {
			scales = append(scales, t.standing[s]/w)
		}
	}
	return cmp.Or(median(scales), 100)
}

func (m *Manager) closed(a, b int) bool { return m.pairs[a/m.blocks][b/m.blocks].closed }

// amount is a level in the unit that proxies take.
func (m *Manager) amount(part float64, z int, g ClassID) float64 {
	if m.admit != AdmitRate {
		return part
	} else if part >= 1 {
		return rateOpen
	}
	return evenRate(m.rates(z, g), part)
}

// shares are what a split gives: what each zone was given, and of what is left, its part by target.
type shares struct {
	given []map[int]float64
	left  []float64
	by    []float64
	all   float64
}

func (s shares) at(z, i int) float64 {
	if s.left[z] == 0 {
		return s.given[z][i]
	}
	return s.given[z][i] + s.left[z]*s.by[i]/s.all
}

// largest is at most the largest share of a zone, and at least half of it.
func (s shares) largest(z int) (largest float64) {
	for _, x := range s.given[z] {
		largest = max(largest, x)
	}
	if s.left[z] > 0 && len(s.by) > 0 {
		largest = max(largest, s.left[z]*slices.Max(s.by)/s.all)
	}
	return largest
}

// above calls with all shares of a zone that are more than a bound. Where no part of what is left reaches the
// bound by itself, only what was given is looked at: a fleet of thousands is not gone through for each table.
func (s shares) above(z int, bound float64, take func(i int, x float64)) {
	most := 0.0
	if s.left[z] != 0 && len(s.by) > 0 {
		most = s.left[z] * slices.Max(s.by) / s.all
	}
	if most > bound || s.left[z] < 0 {
		for i := range s.by {
			if x := s.at(z, i); x > bound {
				take(i, x)
			}
		}
		return
	}
	for i := range s.given[z] {
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
