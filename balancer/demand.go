package balancer

import (
	"slices"
	"time"
)

// This file works figures out from the usage reports kept; it decides nothing.

// samples sums a proxy's last requests of a class, and the seconds that they cover, up to so many seconds.
func (p *proxy) samples(class int, now time.Duration, window float64) (requests, seconds float64) {
	usage := p.usage[class]
	for i := len(usage) - 1; i >= 0 && seconds < window; i-- {
		if now-usage[i].at <= maxSampleAge {
			requests += usage[i].value
			seconds += usage[i].seconds
		}
	}
	return requests, seconds
}

// requestRate is how many requests of a class per second come to a proxy, by the samples of so many seconds.
func (p *proxy) requestRate(class int, now time.Duration, window float64) float64 {
	requests, seconds := p.samples(class, now, window)
	return requests / max(seconds, minInterval)
}

// proxyRates are the requests per second of a class at each proxy of a table.
func (m *Manager) proxyRates(id TableID, class ClassID) []float64 {
	m.updatePlacement()
	var rates []float64
	for _, p := range m.tables[id].proxies {
		rates = append(rates, p.requestRate(int(class), m.now, rateWindow))
	}
	return rates
}

// demandByPartition is the requests per second of each partition's proxies; the listed weight before any usage is
// reported.
func (m *Manager) demandByPartition() []float64 {
	demand := make([]float64, len(m.tables))
	if m.usageReported {
		warmingUp := m.anyWarmingUp()
		for _, p := range m.proxies {
			reported := 0.0
			for class := range p.usage {
				reported += p.requestRate(class, m.now, rateWindow)
			}
			demand[p.partition] += m.countedRate(p, reported, warmingUp)
		}
	} else {
		for _, s := range m.servers {
			if m.mayServe(s) {
				demand[s.partition] += s.weight
			}
		}
	}
	for partition := range demand {
		demand[partition] = max(demand[partition], minRate)
	}
	return demand
}

// demandDiffers tells whether the demand of some partition is not within a tolerance of what was last distributed.
func (m *Manager) demandDiffers(tolerance float64) bool {
	for partition, rate := range m.demandByPartition() {
		if partition >= len(m.distributedRates) {
			return true
		}
		distributed := m.distributedRates[partition]
		if max(rate, distributed)*(1-tolerance) > min(rate, distributed) {
			return true
		}
	}
	return false
}

// demandByClass is the requests per second of all proxies by traffic class: all requests over all seconds, since a
// sample ends when some request came and the sum of each proxy's last rate is far too high where it gets few.
func (m *Manager) demandByClass() []float64 {
	demand := make([]float64, len(m.latencyObjectives))
	for class := range demand {
		requests := 0.0
		seconds := 0.0
		reporting := 0.0
		for _, p := range m.proxies {
			if n, covered := p.samples(class, m.now, demandWindow); covered > 0 {
				requests += n
				seconds += covered
				reporting++
			}
		}
		demand[class] = reporting * requests / max(seconds, minInterval)
	}
	return demand
}

// traffic is what is offered, and what is delivered by the servers that get requests, in requests per second.
func (m *Manager) traffic() (offered, delivered float64) {
	for _, s := range m.servers {
		if m.mayServe(s) && !s.ejected {
			delivered += m.successRate(s)
		}
	}
	return sum(m.demandByClass()), delivered
}

// meanLatencyObjective is the mean of the classes' objectives in seconds, by their requests.
func (m *Manager) meanLatencyObjective() float64 {
	weighted := 0.0
	total := 0.0
	for class, objective := range m.latencyObjectives {
		rate := 1e-6
		for _, p := range m.proxies {
			rate += p.requestRate(class, m.now, demandWindow)
		}
		weighted += objective * rate
		total += rate
	}
	return weighted / total
}

// meanAnnouncedRate is the requests per second that a proxy announced, on average.
func (m *Manager) meanAnnouncedRate() float64 {
	total := 0.0
	for _, p := range m.proxies {
		total += p.announcedRate
	}
	return total / max(1, float64(len(m.proxies)))
}

// reportedProxyRate is the announced rate of the proxies whose usage was reported lately.
func (m *Manager) reportedProxyRate() float64 {
	total := 0.0
	for _, p := range m.proxies {
		if m.usageIsRecent(p) {
			total += max(p.announcedRate, minRate)
		}
	}
	return total
}

func (m *Manager) usageIsRecent(p *proxy) bool {
	return slices.ContainsFunc(p.usage, func(samples []sample) bool {
		return len(samples) > 0 && m.now-samples[len(samples)-1].at <= maxSampleAge
	})
}

// updateExpectedRates works out the attempts per second that should come to each server by the published tables.
func (m *Manager) updateExpectedRates() {
	for _, s := range m.servers {
		s.expectedRate = 0
	}
	for partition, rate := range m.demandByPartition() {
		t := m.tables[partition]
		servers := m.tableServers(t)
		total := 0.0
		for _, s := range servers {
			if !s.withdrawn {
				total += t.published[s.id]
			}
		}
		for _, s := range servers {
			if !s.withdrawn {
				s.expectedRate += rate * t.published[s.id] / max(total, 1e-9)
			}
		}
	}
}
