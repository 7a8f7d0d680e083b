package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file computes statistics from the stored load reports and health checks; it makes no decisions.

const (
	// minIntervalSeconds is the minimum number of seconds by which a count is divided to get a rate.
	minIntervalSeconds = 0.1
	// minServerWeight and minRate replace lower listed weights and lower rates in requests per second, so that no
	// calculation divides by 0.
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

// lastN returns the last n items, or all if there are fewer.
func lastN[T any](items []T, n int) []T { return items[max(0, len(items)-n):] }

// serverStatistics summarize the last load reports on a server.
type serverStatistics struct {
	attempts float64
	failed   float64
	latency  float64 // seconds
}

// serverStatistics summarizes the reports on a server within maxSampleAge, from the newest back until they contain
// targetAttempts attempts. If the server reports its in-flight requests, the latency is averaged with inFlightLatency.
func (m *Manager) serverStatistics(s *server) serverStatistics {
	var stats serverStatistics
	succeeded := 0.0
	for i := len(s.reports) - 1; i >= 0 && stats.attempts < targetAttempts && m.now-s.reports[i].at <= maxSampleAge; i-- {
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
	if inFlightLatency := m.inFlightLatency(s); stats.attempts > 0 && inFlightLatency >= 0 && m.inFlightReported {
		stats.latency = (stats.latency + inFlightLatency) / 2
	}
	return stats
}

// inFlightLatency estimates by Little's law how many seconds a request takes at a server: the in-flight requests, which
// come from the proxies of all managers, are scaled to the share of this manager's proxies and divided by their attempt
// rate. It is negative if the server has not reported its in-flight requests recently.
func (m *Manager) inFlightLatency(s *server) float64 {
	if s.inFlight < 0 || m.now-s.inFlightAt > maxSampleAge {
		return -1
	}
	return s.inFlight * m.ownProxyShare() / max(m.attemptRate(s), minInFlightRate)
}

// inFlightLatencies returns the inFlightLatency of each server with an attempt rate above minAttemptRate.
func (m *Manager) inFlightLatencies(minAttemptRate float64) []float64 {
	var latencies []float64
	for _, s := range m.servers {
		if latency := m.inFlightLatency(s); latency >= 0 && m.attemptRate(s) > minAttemptRate {
			latencies = append(latencies, latency)
		}
	}
	return latencies
}

// ownProxyShare returns the share of all proxies that are connected to this manager.
func (m *Manager) ownProxyShare() float64 {
	return min(1, max(1, float64(len(m.proxies)))/max(1, m.proxyCount))
}

// attemptRate returns the attempts per second that ended at a server. It is summed over the zones of the proxies; for
// each zone, it is the attempts in all reports divided by the time that they cover.
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
		total += attempts / max(seconds, minIntervalSeconds)
	}
	return total
}

// successesPerSecond returns the successful attempts per second at a server, from the newest report of each zone.
func (m *Manager) successesPerSecond(s *server) float64 {
	total := 0.0
	for _, zone := range m.zones {
		if report := m.latestReport(s, zone); report != nil {
			total += float64(report.Attempts-report.Failed) / max(report.Interval.Seconds(), minIntervalSeconds)
		}
	}
	return total
}

// latestReport returns the newest report of a zone's proxies on a server, or nil if there is none within maxSampleAge.
func (m *Manager) latestReport(s *server, zone ZoneID) *LoadReport {
	for i := len(s.reports) - 1; i >= 0 && m.now-s.reports[i].at <= maxSampleAge; i-- {
		if s.reports[i].Zone == zone {
			return &s.reports[i].LoadReport
		}
	}
	return nil
}

// baseline holds the typical values among the servers with enough reported attempts.
type baseline struct {
	latency     float64 // median in seconds
	failureRate float64 // median
	servers     int     // number of servers in the baseline
}

// peerBaseline computes the baseline of the servers that may serve.
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

// observedLatency returns the given quantile (from 0 to 1) of the latency in seconds of the successful attempts in
// fresh reports, and the failure rate of all attempts in fresh reports. Each successful attempt counts with the mean
// latency of its report.
func (m *Manager) observedLatency(fraction float64) (latency, failureRate float64) {
	type success struct{ latency, n float64 }
	var successes []success
	attempts := 0.0
	failed := 0.0
	succeeded := 0.0
	for _, s := range m.servers {
		for i := len(s.reports) - 1; i >= 0 && m.now-s.reports[i].at <= maxFreshReportAge; i-- {
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
		if before <= fraction*succeeded {
			latency = s.latency
		}
		before += s.n
	}
	return latency, failed / max(attempts, 1e-6)
}

// recordCheckDuration stores the duration of a health check, as infinite if it did not pass.
func (m *Manager) recordCheckDuration(result HealthCheckResult, took time.Duration) {
	seconds := took.Seconds()
	if result != HealthCheckPassed {
		seconds = math.Inf(1)
	}
	m.checkDurations = lastN(append(m.checkDurations, sample{at: m.now, value: seconds}), maxSamples)
}

// recentCheckDurations returns the durations in seconds of the health checks within maxSampleAge, infinite for those
// that did not pass.
func (m *Manager) recentCheckDurations() []float64 {
	var durations []float64
	for _, check := range m.checkDurations {
		if m.now-check.at <= maxSampleAge {
			durations = append(durations, check.value)
		}
	}
	return durations
}

// anyUsable reports whether there is a server that may serve and is not ejected.
func (m *Manager) anyUsable() bool {
	return slices.ContainsFunc(m.servers, func(s *server) bool { return m.mayServe(s) && !s.ejected })
}

// isLastResort reports whether requests that keep to a server's zone may be sent to it although it is ejected, because all
// servers of the zone are.
func (m *Manager) isLastResort(s *server) bool {
	return m.mayServe(s) && m.hasZoneLocalClasses() && m.currentServerSets().usableByZone[s.zone] == 0
}

// listedWeight returns the total listed weight of the servers that may serve.
func (m *Manager) listedWeight() float64 {
	total := 0.0
	for _, s := range m.servers {
		if m.mayServe(s) {
			total += max(s.weight, minServerWeight)
		}
	}
	return total
}

// usableWeight returns the total weight of the servers that get requests, each scaled by its warm-up progress and
// health.
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
