package faultsim

import (
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

const (
	reportInterval  = time.Second
	minReportRate   = 0.05            // requests per second of a zone to a server; lower rates are not reported
	maxLatency      = 3 * time.Second // latency of a server, however overloaded it is
	latencyJitter   = 0.2             // width of the jitter, as a fraction of the latency
	minHeadroom     = 0.05            // fraction of free capacity below which latency does not grow further
	unknownInFlight = -1
)

// updateTraffic computes the request rate of each server from the tables that the proxies hold.
func (s *Simulation) updateTraffic() {
	for _, server := range s.servers {
		clear(server.rateByZone)
	}
	for _, p := range s.proxies {
		totalWeight := 0.0
		for _, server := range s.servers {
			if !p.withdrawn[server.id] {
				totalWeight += p.weights[server.id]
			}
		}
		admittedRate := s.scenario.RequestRate * p.shed.admittedFraction()
		for _, server := range s.servers {
			if weight := p.weights[server.id]; weight > 0 && !p.withdrawn[server.id] {
				server.rateByZone[p.zone] += admittedRate * weight / totalWeight
			}
		}
	}
}

// shedFractions holds the fraction of the requests of each traffic class that a proxy does not admit. Its zero value admits
// all requests.
type shedFractions [len(fleetmodel.ClassFractions)]float64

// with returns the fractions after a command that sets the admission level of some classes.
func (f shedFractions) with(level balancer.AdmissionLevel) shedFractions {
	for class := range f {
		if level.Classes&(1<<class) != 0 {
			f[class] = 1 - min(1, level.Amount)
		}
	}
	return f
}

// admittedFraction returns the fraction of all requests that a proxy admits.
func (f shedFractions) admittedFraction() float64 {
	admitted := 0.0
	for class, fraction := range fleetmodel.ClassFractions {
		admitted += fraction * (1 - f[class])
	}
	return admitted
}

// capacity returns how many requests per second a server can serve. It grows linearly while the server warms up.
func (s *Simulation) capacity(server *server) float64 {
	sinceStart := (s.now - server.startedAt).Seconds()
	warmth := min(1, max(0, sinceStart/s.scenario.WarmUpDuration.Seconds()))
	cold := s.scenario.ColdCapacity
	return s.scenario.ServerCapacity * (cold + (1-cold)*warmth) / server.slowdown
}

// sendReports sends the reports of one second, and ends the operator's pin if its time is over.
func (s *Simulation) sendReports() {
	s.scheduleAfter(reportInterval, s.sendReports)
	_, ended := s.manager.chain.EndExpiredHold(s.manager.clock, fleetView{s.manager.balancer})
	if ended && s.now >= s.manager.stalledUntil {
		s.applyPin()
	}
	for _, server := range s.servers {
		s.reportServer(server)
	}
	for _, p := range s.proxies {
		if p.connected {
			s.reportUsage(p)
		}
	}
}

// reportServer sends a load report about a server from each zone that sends requests to it.
func (s *Simulation) reportServer(server *server) {
	utilization := 0.0
	for _, rate := range server.rateByZone {
		utilization += rate / s.capacity(server)
	}
	for zone, rate := range server.rateByZone {
		if rate < minReportRate {
			continue
		}
		report := s.loadReport(server, zone, rate, utilization)
		if report.Attempts > 0 {
			s.deliverReport(func(now time.Duration) balancer.Commands {
				return s.manager.balancer.HandleLoadReport(now, report)
			})
		}
	}
}

// loadReport draws the results of one second of requests from a zone to a server.
func (s *Simulation) loadReport(server *server, zone int, rate, utilization float64) balancer.LoadReport {
	report := balancer.LoadReport{
		Server:   server.id,
		Zone:     fleetmodel.ZoneID(zone),
		Attempts: int(rate + s.rng.Float64()),
		Interval: reportInterval,
		InFlight: unknownInFlight,
	}
	failureFraction := s.failureFraction(server, zone, utilization)
	for range report.Attempts {
		if s.rng.Float64() < failureFraction {
			report.Failed++
		}
	}
	if report.Failed < report.Attempts {
		report.Latency = s.latency(server, utilization)
	}
	return report
}

// failureFraction returns the fraction of a zone's requests to a server that fail.
func (s *Simulation) failureFraction(server *server, zone int, utilization float64) float64 {
	partitioned := s.faults.partitionedZones
	crossesPartition := zone != server.zone && partitioned[zone]+partitioned[server.zone] > 0
	if !server.running || server.unresponsive || crossesPartition {
		return 1
	}
	overload := 1 - 1/max(utilization, 1e-9)
	return max(server.errorFraction, overload)
}

// latency draws the response time of a server.
func (s *Simulation) latency(server *server, utilization float64) time.Duration {
	service := float64(s.scenario.ServiceTime) * server.slowdown
	jitter := 1 - latencyJitter/2 + latencyJitter*s.rng.Float64()
	return min(maxLatency, time.Duration(service/max(minHeadroom, 1-utilization)*jitter))
}

// reportUsage sends a proxy's usage reports of one second, one for each traffic class.
func (s *Simulation) reportUsage(p *proxy) {
	for class, fraction := range fleetmodel.ClassFractions {
		usage := balancer.UsageReport{
			Proxy:    p.id,
			Class:    balancer.ClassID(class),
			Requests: int(s.scenario.RequestRate*fraction + s.rng.Float64()),
			Interval: reportInterval,
		}
		s.deliverReport(func(now time.Duration) balancer.Commands {
			return s.manager.balancer.HandleUsageReport(now, usage)
		})
	}
}

// deliverReport delivers a report after the scenario's delay. The report is delivered twice if reports are duplicated when
// it is sent, and is lost if reports are lost when it would arrive.
func (s *Simulation) deliverReport(report func(now time.Duration) balancer.Commands) {
	copies := 1
	if s.faults.duplicateReports > 0 {
		copies = 2
	}
	incarnation := s.manager.incarnation
	arrive := func() {
		if s.manager.incarnation == incarnation && s.faults.reportsLost == 0 {
			s.deliver(report)
		}
	}
	for range copies {
		s.scheduleAfter(s.scenario.ReportDelay.draw(s.rng), arrive)
	}
}
