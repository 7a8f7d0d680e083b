package balancer

import (
	"slices"
	"time"
)

// This file computes demand from the stored usage reports. It makes no decisions.

// sumLatestRequests sums a proxy's latest requests of a class and the seconds that they cover, newest first, until they
// cover the window in seconds.
func (p *proxy) sumLatestRequests(class int, now time.Duration, window float64) (requests, seconds float64) {
	usage := p.usage[class]
	for i := len(usage) - 1; i >= 0 && seconds < window; i-- {
		if now-usage[i].at <= maxSampleAge {
			requests += usage[i].value
			seconds += usage[i].seconds
		}
	}
	return requests, seconds
}

// requestRate returns a proxy's requests per second of a class, computed from the latest samples that cover the window
// in seconds.
func (p *proxy) requestRate(class int, now time.Duration, window float64) float64 {
	requests, seconds := p.sumLatestRequests(class, now, window)
	return requests / max(seconds, minIntervalSeconds)
}

// proxyRates returns the requests per second of a class at each proxy of a table.
func (m *Manager) proxyRates(id TableID, class ClassID) []float64 {
	m.updateTableIndex()
	var rates []float64
	for _, p := range m.tables[id].proxies {
		rates = append(rates, p.requestRate(int(class), m.now, rateWindow))
	}
	return rates
}

// demandByPartition returns the requests per second of each partition's proxies. Before any usage is reported, it
// returns the listed weight of each partition's servers instead.
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

// demandDiffers reports whether the demand of some partition differs from the last distributed rate by more than the
// relative tolerance.
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

// demandByClass returns the requests per second of all proxies by traffic class: the mean rate of the reporting
// proxies, times their number. The mean is taken over all requests and all seconds, not over the rates of the proxies:
// a sample ends when a request arrives, so the sum of their latest rates is far too high where proxies get few requests.
func (m *Manager) demandByClass() []float64 {
	demand := make([]float64, len(m.latencyObjectives))
	for class := range demand {
		requests := 0.0
		seconds := 0.0
		reporting := 0.0
		for _, p := range m.proxies {
			if n, covered := p.sumLatestRequests(class, m.now, demandWindowSeconds); covered > 0 {
				requests += n
				seconds += covered
				reporting++
			}
		}
		demand[class] = reporting * requests / max(seconds, minIntervalSeconds)
	}
	return demand
}

// offeredAndDelivered returns the offered rate, and the rate delivered by the servers that may get requests, both in
// requests per second.
func (m *Manager) offeredAndDelivered() (offered, delivered float64) {
	for _, s := range m.servers {
		if m.mayServe(s) && !s.ejected {
			delivered += m.successesPerSecond(s)
		}
	}
	return sum(m.demandByClass()), delivered
}

// meanLatencyObjective returns the mean of the classes' latency objectives in seconds, weighted by their request rates.
func (m *Manager) meanLatencyObjective() float64 {
	weighted := 0.0
	total := 0.0
	for class, objective := range m.latencyObjectives {
		rate := 1e-6
		for _, p := range m.proxies {
			rate += p.requestRate(class, m.now, demandWindowSeconds)
		}
		weighted += objective * rate
		total += rate
	}
	return weighted / total
}

// meanAnnouncedRate returns the mean of the rates, in requests per second, that the proxies announced.
func (m *Manager) meanAnnouncedRate() float64 {
	total := 0.0
	for _, p := range m.proxies {
		total += p.announcedRate
	}
	return total / max(1, float64(len(m.proxies)))
}

// reportingProxiesRate returns the total announced rate of the proxies that reported their usage recently.
func (m *Manager) reportingProxiesRate() float64 {
	total := 0.0
	for _, p := range m.proxies {
		if m.usageIsRecent(p) {
			total += max(p.announcedRate, minRate)
		}
	}
	return total
}

// usageIsRecent reports whether a proxy reported usage of some class within maxSampleAge.
func (m *Manager) usageIsRecent(p *proxy) bool {
	return slices.ContainsFunc(p.usage, func(samples []sample) bool {
		return len(samples) > 0 && m.now-samples[len(samples)-1].at <= maxSampleAge
	})
}

// updateExpectedRates computes the attempts per second that each server should get according to the published tables.
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
				total += t.publishedWeights[s.id]
			}
		}
		for _, s := range servers {
			if !s.withdrawn {
				s.expectedRate += rate * t.publishedWeights[s.id] / max(total, 1e-9)
			}
		}
	}
}
