package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file works figures out from the load reports and health checks kept; it decides nothing.

const (
	// minInterval is the least number of seconds that counts are divided by.
	minInterval = 0.1
	// minServerWeight and minRate stand for a listed weight, and for a rate, of 0.
	minServerWeight = 1e-6
	minRate         = 1e-3
)

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func count[T any](items []T, counted func(T) bool) int {
	n := 0
	for _, item := range items {
		if counted(item) {
			n++
		}
	}
	return n
}

// lastN is the end of a list.
func lastN[T any](items []T, n int) []T { return items[max(0, len(items)-n):] }

// serverStatistics are a server's over its last reports.
type serverStatistics struct {
	attempts float64
	failed   float64
	latency  float64 // seconds
}

// serverStatistics takes as many of the last reports as make enough attempts.
func (m *Manager) serverStatistics(s *server) serverStatistics {
	var stats serverStatistics
	succeeded := 0.0
	for i := len(s.reports) - 1; i >= 0 && stats.attempts < fullAttempts && m.now-s.reports[i].at <= maxSampleAge; i-- {
		report := s.reports[i]
		stats.attempts += float64(report.Attempts)
		stats.failed += float64(report.Failed)
		if report.Latency > 0 {
			n := float64(report.Attempts - report.Failed)
			succeeded += n
			stats.latency += n * report.Latency.Seconds()
		}
	}
	stats.latency /= max(1, succeeded)
	if inFlightTime := m.inFlightTime(s); stats.attempts > 0 && inFlightTime >= 0 && m.inFlightReported {
		stats.latency = (stats.latency + inFlightTime) / 2
	}
	return stats
}

// inFlightTime is the seconds that requests take at a server by those in flight, which all managers' proxies send, and
// by this manager's part of them; below 0 where none are told.
func (m *Manager) inFlightTime(s *server) float64 {
	if s.inFlight < 0 || m.now-s.inFlightAt > maxSampleAge {
		return -1
	}
	return s.inFlight * m.ownProxyShare() / max(m.attemptRate(s), minInFlightRate)
}

// inFlightTimes are those of the servers with so many attempts per second.
func (m *Manager) inFlightTimes(minRate float64) []float64 {
	var times []float64
	for _, s := range m.servers {
		if inFlightTime := m.inFlightTime(s); inFlightTime >= 0 && m.attemptRate(s) > minRate {
			times = append(times, inFlightTime)
		}
	}
	return times
}

// ownProxyShare is the part of all proxies that is connected to this manager.
func (m *Manager) ownProxyShare() float64 {
	return min(1, max(1, float64(len(m.proxies)))/max(1, m.proxyCount))
}

// attemptRate is how many attempts per second ended at a server: for each zone of proxies, what the reports count over
// what they cover.
func (m *Manager) attemptRate(s *server) float64 {
	total := 0.0
	for _, zone := range m.zones {
		attempts := 0.0
		seconds := 0.0
		for _, report := range s.reports {
			if report.Zone == zone && m.now-report.at <= maxSampleAge {
				attempts += float64(report.Attempts)
				seconds += report.Interval.Seconds()
			}
		}
		total += attempts / max(seconds, minInterval)
	}
	return total
}

// successRate is how many attempts per second succeeded at a server, by the newest report of each zone.
func (m *Manager) successRate(s *server) float64 {
	total := 0.0
	for _, zone := range m.zones {
		if report := m.latestReport(s, zone); report != nil {
			total += float64(report.Attempts-report.Failed) / max(report.Interval.Seconds(), minInterval)
		}
	}
	return total
}

// latestReport is the newest one of a zone's proxies, nil without any that counts.
func (m *Manager) latestReport(s *server, zone ZoneID) *LoadReport {
	for i := len(s.reports) - 1; i >= 0 && m.now-s.reports[i].at <= maxSampleAge; i-- {
		if s.reports[i].Zone == zone {
			return &s.reports[i].LoadReport
		}
	}
	return nil
}

// baseline is what is usual among the servers that were reported on.
type baseline struct {
	latency     float64 // seconds, median
	failureRate float64 // median
	servers     int
}

func (m *Manager) peerBaseline() baseline {
	var latencies, failureRates []float64
	for _, s := range m.servers {
		stats := m.serverStatistics(s)
		if !m.mayServe(s) || stats.attempts < minAttempts {
			continue
		}
		failureRates = append(failureRates, stats.failed/stats.attempts)
		if stats.latency > 0 {
			latencies = append(latencies, stats.latency)
		}
	}
	return baseline{median(latencies), median(failureRates), len(failureRates)}
}

// observedLatency is the latency, in seconds, that a part of the fresh successful attempts stay under, and the failure
// rate of the fresh attempts.
func (m *Manager) observedLatency(part float64) (latency, failureRate float64) {
	type success struct{ latency, n float64 }
	var successes []success
	attempts := 0.0
	failed := 0.0
	succeeded := 0.0
	for _, s := range m.servers {
		for i := len(s.reports) - 1; i >= 0 && m.now-s.reports[i].at <= freshReportAge; i-- {
			report := s.reports[i]
			attempts += float64(report.Attempts)
			failed += float64(report.Failed)
			if n := float64(report.Attempts - report.Failed); n > 0 {
				successes = append(successes, success{report.Latency.Seconds(), n})
				succeeded += n
			}
		}
	}
	slices.SortFunc(successes, func(a, b success) int { return cmp.Compare(a.latency, b.latency) })
	before := 0.0
	for _, s := range successes {
		if before <= part*succeeded {
			latency = s.latency
		}
		before += s.n
	}
	return latency, failed / max(attempts, 1e-6)
}

// recordCheckTime keeps how long a health check took.
func (m *Manager) recordCheckTime(result HealthCheckResult, took time.Duration) {
	seconds := took.Seconds()
	if result != HealthCheckPassed {
		seconds = math.Inf(1)
	}
	m.checkTimes = lastN(append(m.checkTimes, sample{at: m.now, value: seconds}), maxSamples)
}

// recentCheckTimes are the seconds that health checks took lately, infinite for those that did not pass.
func (m *Manager) recentCheckTimes() []float64 {
	var times []float64
	for _, check := range m.checkTimes {
		if m.now-check.at <= maxSampleAge {
			times = append(times, check.value)
		}
	}
	return times
}

// anyUsable tells whether some server that may serve is not ejected.
func (m *Manager) anyUsable() bool {
	return slices.ContainsFunc(m.servers, func(s *server) bool { return m.mayServe(s) && !s.ejected })
}

// listedWeight is the weight of all servers that may serve.
func (m *Manager) listedWeight() float64 {
	total := 0.0
	for _, s := range m.servers {
		if m.mayServe(s) {
			total += max(s.weight, minServerWeight)
		}
	}
	return total
}

// usableWeight is the weight of all servers that get requests, by the progress of their warm-up and their health.
func (m *Manager) usableWeight() float64 {
	total := 0.0
	anyUsable := m.anyUsable()
	for _, s := range m.servers {
		if m.mayServe(s) && !(s.ejected && anyUsable) && !m.slowStartPaused(s) {
			total += max(s.weight, minServerWeight) * m.warmUpProgress(s) * s.health
		}
	}
	return total
}
