package fleetmodel

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

const (
	reportInterval = time.Second
	serviceTime    = 120 * time.Millisecond // time that an idle server takes for a request
	slowFactor     = 5                      // factor by which a slow server is slower
	maxLatency     = 3 * time.Second
	minHeadroom    = 0.05 // fraction of free capacity below which latency does not grow further
)

// updateTraffic computes the rate of requests from each zone to each server from the proxies' tables. requestRate is the
// rate of requests at each proxy.
func (f *Fleet) updateTraffic(requestRate float64) {
	for _, s := range f.servers {
		clear(s.rateByZone)
	}
	for _, p := range f.proxies {
		if p.assigned && !p.disconnected {
			f.sendRequests(p, requestRate)
		}
	}
}

// sendRequests distributes a proxy's requests over the servers of its table by weight.
func (f *Fleet) sendRequests(p *proxy, requestRate float64) {
	table := f.weights[p.table]
	servers := sortedServers(table)
	totalWeight := 0.0
	for _, id := range servers {
		if !f.serverByID[id].withdrawn {
			totalWeight += table[id]
		}
	}
	admitted := f.admittedFraction(p.table)
	f.Tally.Offered += requestRate
	for _, id := range servers {
		s := f.serverByID[id]
		if s.withdrawn {
			continue
		}
		rate := requestRate * admitted * table[id] / max(totalWeight, 1e-9)
		s.rateByZone[p.zone] += rate
		if s.zone != p.zone {
			f.Tally.CrossZone += rate
		}
	}
	f.Tally.Shed += requestRate * (1 - admitted)
}

// admittedFraction returns the fraction of requests that a table's admission limit admits. Limits that are rates are not
// applied.
func (f *Fleet) admittedFraction(table balancer.TableID) float64 {
	limit := f.admission[table][firstClassMask]
	if limit > 0 && !f.Scenario.AdmitByRate {
		return min(1, limit)
	}
	return 1
}

// sortedServers returns the servers of a table in order of their identifiers, so that sums of floats are deterministic.
func sortedServers(weights map[balancer.ServerID]float64) []balancer.ServerID {
	servers := make([]balancer.ServerID, 0, len(weights))
	for id := range weights {
		servers = append(servers, id)
	}
	slices.Sort(servers)
	return servers
}

// serverResponse returns a server's latency, and the fraction of its requests that fail.
func (f *Fleet) serverResponse(s *server) (latency time.Duration, failedFraction float64) {
	if s.state == balancer.Removed {
		return 0, 1
	}
	rate := 0.0
	for _, x := range s.rateByZone {
		rate += x
	}
	utilization := rate / f.capacity(s)
	base := serviceTime
	if s.slow {
		base *= slowFactor
	}
	latency = min(time.Duration(float64(base)/max(minHeadroom, 1-utilization)), maxLatency)
	return latency, max(0, 1-1/max(utilization, 1e-9))
}

// capacity returns how many requests per second a server can serve. It grows linearly while the server warms up.
func (f *Fleet) capacity(s *server) float64 {
	capacity := f.Scenario.ServerCapacity
	if sinceStart := f.now - s.startedAt; sinceStart < warmUpDuration {
		capacity *= coldCapacity + (1-coldCapacity)*sinceStart.Seconds()/warmUpDuration.Seconds()
	}
	if s.slow {
		capacity /= slowFactor
	}
	return capacity
}

// reportSchedule spreads the reports of a second evenly over it.
type reportSchedule struct {
	fleet *Fleet
	start time.Duration
	step  time.Duration
	slot  int
}

// next plays until the next report is due. A report that is not sent still uses its slot.
func (r *reportSchedule) next() {
	r.slot++
	r.fleet.playUntil(r.start + time.Duration(r.slot)*r.step)
}

// reportLoad sends the load reports about a server, one from each zone that sends requests to it.
func (f *Fleet) reportLoad(s *server, schedule *reportSchedule) {
	latency, failedFraction := f.serverResponse(s)
	for zone, rate := range s.rateByZone {
		f.Tally.Failed += rate * failedFraction
		schedule.next()
		if rate <= 0 {
			continue
		}
		report := f.loadReport(s, zone, rate, latency, failedFraction)
		f.deliver(func(now time.Duration) balancer.Commands { return f.Manager.HandleLoadReport(now, report) })
	}
}

// loadReport draws the results of one second of requests from a zone to a server.
func (f *Fleet) loadReport(s *server, zone int, rate float64, latency time.Duration, failedFraction float64) balancer.LoadReport {
	attempts := f.drawCount(rate)
	failed := f.drawCount(float64(attempts) * failedFraction)
	report := balancer.LoadReport{
		Server:   s.id,
		Zone:     ZoneID(zone),
		Attempts: attempts,
		Failed:   min(failed, attempts),
		Interval: reportInterval,
		InFlight: unknownLoad,
	}
	if report.Failed < report.Attempts {
		jitter := 0.9 + 0.2*f.rng.Float64()
		report.Latency = time.Duration(float64(latency) * jitter)
	}
	return report
}

// reportUsage sends a proxy's usage reports, one for each traffic class, unless the proxy is disconnected.
func (f *Fleet) reportUsage(index int, requestRate float64, schedule *reportSchedule) {
	for class, fraction := range ClassFractions {
		schedule.next()
		if f.proxies[index].disconnected {
			continue
		}
		f.deliver(func(now time.Duration) balancer.Commands {
			usage := balancer.UsageReport{
				Proxy:    balancer.ProxyID(index),
				Class:    balancer.ClassID(class),
				Requests: f.drawCount(requestRate * fraction),
				Interval: reportInterval,
			}
			return f.Manager.HandleUsageReport(now, usage)
		})
	}
}

// drawCount draws one of the two integers around the mean, with that mean on average.
func (f *Fleet) drawCount(mean float64) int { return int(mean + f.rng.Float64()) }
