package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// freshReportAge is how long a report tells of the present load.
	freshReportAge = 1500 * time.Millisecond
	// demandWindow is the seconds of usage that make the present demand of a class.
	demandWindow = 0.9
	// loadPercentile is the part of the fresh successful attempts whose latency is the observed load.
	loadPercentile = 0.6
	// lowLoad is the load (latency over objective) under which the admission limit rises.
	lowLoad = 0.26
	// highLoad is the load over which it falls.
	highLoad = 0.32
	// lowLoadOfBaseline and highLoadOfBaseline are the same as multiples of the baseline load, if these are more.
	lowLoadOfBaseline  = 1.5
	highLoadOfBaseline = 2.0
	// maxBaselineLoad is the most that a baseline load counts for: a manager may start under load.
	maxBaselineLoad = 0.3
	// highFailureRate is the failure rate at which the limit falls between the low and the high load.
	highFailureRate = 0.25

	// limitLowerInterval is the least time between two falls of the limit.
	limitLowerInterval = 3 * time.Second
	// limitFallOfDelivered is what the limit falls to, as a part of what is delivered.
	limitFallOfDelivered = 0.92
	// limitFallOfSaturation is the least that it falls to, as a part of the saturation rate.
	limitFallOfSaturation = 0.6
	// saturationShare is the part of the saturation rate up to which the limit rises quickly.
	saturationShare = 0.85
	// limitRise is the relative rise in a tick without load, up to there.
	limitRise = 0.3
	// limitSlowRise is the same beyond it.
	limitSlowRise = 0.05
	// limitConfidence is the time without a fall that doubles the slow rise.
	limitConfidence = 4 * time.Second
	// limitOpenFactor is the multiple of the offered rate over which the limit is lifted.
	limitOpenFactor = 1.2
	// surgeOfSaturation is the most that is admitted at once, as a multiple of the saturation rate.
	surgeOfSaturation = 1.5
	// minDeliveries is how many samples of what is delivered make a saturation rate.
	minDeliveries = 5
	// logLimitRise is the factor of a rise that is logged.
	logLimitRise = 2
	// minReportedShare is the part of what proxies announced that must be reported on before the limit moves.
	minReportedShare = 0.5

	// minInFlightRate is the attempts per second from which on a server's requests in flight tell of its latency.
	minInFlightRate = 0.3
	// loadCheckCount is how many servers are checked for their latency in a tick.
	loadCheckCount = 4
	// idleCheckShare is the part of the observed latency under which health checks show idle servers.
	idleCheckShare = 0.3

	// levelTolerance is the relative change of an admission level that is not published.
	levelTolerance = 0.04
	// unlimitedRate is the admission level, in requests per second, that admits all.
	unlimitedRate = 1e6
)

// retryPolicyFor is the platform's retry policy as far as a class bears it: a request that may have been executed is
// not sent again, or only while its copies are still dropped.
func retryPolicyFor(platform RetryPolicy, class TrafficClass) RetryPolicy {
	copiesDropped := class.Idempotency == IdempotencyKeyed && class.DedupWindow >= class.Deadline
	if class.Idempotency == Idempotent || copiesDropped {
		return platform
	}
	return min(platform, RetryIfNotExecuted)
}

// admissionControl adapts how many requests per second are admitted, the classes of the highest priority first.
type admissionControl struct {
	limit        float64 // requests per second; unlimited: all
	loweredAt    time.Duration
	capacity     float64   // that the limit was last set for: announced rate reported on, times the usable weight
	baselineLoad float64   // the least load so far
	deliveries   []float64 // requests per second delivered for each unit of capacity, by tick
}

func newAdmissionControl() admissionControl {
	return admissionControl{limit: unlimited, baselineLoad: math.Inf(1)}
}

// loadBounds are the loads under which the limit rises, and over which it falls. Requests that take long by themselves
// are no overload.
func (a *admissionControl) loadBounds() (low, high float64) {
	baseline := min(a.baselineLoad, maxBaselineLoad)
	return max(lowLoad, lowLoadOfBaseline*baseline), max(highLoad, highLoadOfBaseline*baseline)
}

// scaleTo adapts the limit to what it is for, so that a limit set by the first few proxies reported on does not stay
// when another manager's proxies connect, nor one for servers that are gone.
func (a *admissionControl) scaleTo(capacity float64) {
	a.limit *= cmp.Or(capacity, a.capacity, 1) / cmp.Or(a.capacity, capacity, 1)
	a.capacity = cmp.Or(capacity, a.capacity)
}

// saturationRate is the most that was delivered lately, for the present capacity.
func (a *admissionControl) saturationRate() float64 { return slices.Max(a.deliveries) * a.capacity }

// settled tells whether there are enough samples to trust the saturation rate.
func (a *admissionControl) settled() bool { return len(a.deliveries) > minDeliveries }

// boundSurge lowers the limit under a surge that would fill all queues before the first late answer is reported.
func (a *admissionControl) boundSurge(offered float64) {
	most := surgeOfSaturation * a.saturationRate()
	if a.settled() && min(offered, a.limit) > most {
		a.limit = most
	}
}

// trafficSample is what the last reports say of the requests.
type trafficSample struct {
	offered     float64 // requests per second
	delivered   float64 // requests per second
	load        float64 // latency over objective
	failureRate float64
}

// adjust lowers the limit to what the servers deliver when they are late as a whole or drop requests, and raises it
// slowly while they are not.
func (a *admissionControl) adjust(now time.Duration, traffic trafficSample) {
	low, high := a.loadBounds()
	saturation := a.saturationRate()
	failing := traffic.load > low && traffic.failureRate > highFailureRate && a.settled()
	switch {
	case traffic.load > high || failing:
		if now-a.loweredAt >= limitLowerInterval {
			a.limit = max(limitFallOfDelivered*min(a.limit, traffic.delivered), limitFallOfSaturation*saturation)
			a.loweredAt = now
		}
	case traffic.load < low && a.limit > limitOpenFactor*traffic.offered:
		a.limit = unlimited
	case traffic.load < low && a.limit > saturationShare*saturation:
		// the saturation rate may be an effect of the limit itself, so that it rises faster with time
		confidence := 1 + (now-a.loweredAt).Seconds()/limitConfidence.Seconds()
		a.limit *= 1 + limitSlowRise*(1-traffic.load/low)*confidence
	case traffic.load < low:
		a.limit *= 1 + limitRise*(1-traffic.load/low)
	}
}

// updateAdmissionLimit moves the limit by what the proxies reported since the last tick.
func (m *Manager) updateAdmissionLimit() {
	a := &m.admission
	traffic := m.trafficSample()
	reportedRate := m.reportedProxyRate()
	capacity := reportedRate * m.usableWeight()
	a.scaleTo(capacity)
	previous := a.limit
	announcedRate := m.meanAnnouncedRate() * float64(len(m.proxies))
	if reportedRate < minReportedShare*announcedRate || capacity == 0 || m.admissionUnit == AdmitNone {
		return
	}
	a.deliveries = lastN(append(a.deliveries, traffic.delivered/capacity), maxSamples)
	a.boundSurge(traffic.offered)
	a.adjust(m.now, traffic)
	if a.limit < previous || a.limit > logLimitRise*previous {
		m.log(EventAdmissionLimit,
			numberField("limit", a.limit, 0),
			numberField("offered", traffic.offered, 0),
			numberField("delivered", traffic.delivered, 0),
			numberField("load", traffic.load, 2),
			numberField("failure_rate", traffic.failureRate, 2))
	}
}

// trafficSample works out the load, and lowers the baseline load where it is less.
func (m *Manager) trafficSample() trafficSample {
	latency, failureRate := m.observedLatency(loadPercentile)
	objective := m.meanLatencyObjective()
	load := latency / objective
	if load > lowLoad && len(m.servers) > 0 {
		load = m.serverLatency(latency) / objective
	}
	if latency > 0 {
		m.admission.baselineLoad = min(m.admission.baselineLoad, latency/objective)
	}
	offered, delivered := m.traffic()
	return trafficSample{offered: offered, delivered: delivered, load: load, failureRate: failureRate}
}

// serverLatency is the latency that the servers themselves show: by their requests in flight, or else by health
// checks, which may be answered beside the queue. Requests that are late elsewhere call for no admission control.
func (m *Manager) serverLatency(latency float64) float64 {
	inFlightTimes := m.inFlightTimes(minInFlightRate)
	m.checkLoad()
	if len(inFlightTimes) > 0 {
		return min(latency, median(inFlightTimes))
	}
	checkTimes := m.recentCheckTimes()
	if m.healthChecks && len(checkTimes) > 0 && median(checkTimes) < idleCheckShare*latency {
		return median(checkTimes)
	}
	return latency
}

// checkLoad checks some servers for how long they take to answer, where they don't tell their requests in flight.
func (m *Manager) checkLoad() {
	for range loadCheckCount {
		s := m.servers[int(m.random()*float64(len(m.servers)))]
		sound := m.mayServe(s) && !s.ejected && s.health > degradedHealth
		if m.healthChecks && !m.inFlightReported && sound {
			m.commands.HealthCheck = append(m.commands.HealthCheck, s.id)
		}
	}
}

// levelChanges are the changes of a table's admission levels: the classes by priority, each gets what those before it
// left of the limit.
func (m *Manager) levelChanges(id TableID, demand []float64) []tableChange {
	if m.pinned != nil {
		return m.pinnedLevelChanges(id)
	}
	var changes []tableChange
	total := max(sum(demand), 1e-9)
	remaining := m.admission.limit
	localShare := m.zoneLocalAdmission(id, demand, total)
	for _, class := range m.classesByPriority {
		share := min(1, remaining/max(demand[class], 1e-9))
		remaining = max(0, remaining-demand[class])
		level := AdmissionLevel{Table: id, Classes: class.mask(), Retry: m.retryPolicyNow(class)}
		if m.isZoneLocalClass(class) {
			level.Amount = m.admissionAmount(min(share, localShare), id, class)
		} else {
			level.Amount = m.admissionAmount(share, id, class)
		}
		published := m.publishedLevel(id, class)
		changed := math.Abs(level.Amount-published.Amount) / max(level.Amount, published.Amount, 1e-9)
		opened := share == 1 && level.Amount != published.Amount
		if changed > levelTolerance || level.Retry != published.Retry || opened {
			rate := m.distributedRates[id] * demand[class] / total * max(changed, levelTolerance)
			changes = append(changes, levelChange(level, rate))
		}
	}
	return changes
}

// retryPolicyNow is a class's retry policy; under overload each retry takes the place of a first attempt.
func (m *Manager) retryPolicyNow(class ClassID) RetryPolicy {
	if math.IsInf(m.admission.limit, 1) {
		return m.retryPolicies[class]
	}
	return NoRetry
}

// publishedLevel is what a table admits of a class as published, or as proxies begin.
func (m *Manager) publishedLevel(id TableID, class ClassID) AdmissionLevel {
	if level, published := m.tables[id].publishedLevels[class.mask()]; published {
		return level
	}
	return AdmissionLevel{Amount: m.admissionAmount(1, id, class), Retry: m.defaultRetry}
}

// zoneLocalAdmission is the share of the zone-local classes that a table admits: in a zone that lost most of its
// servers, as much as those left are to get.
func (m *Manager) zoneLocalAdmission(id TableID, demand []float64, total float64) float64 {
	zoneLocalDemand := 0.0
	for class := range demand {
		if m.isZoneLocalClass(ClassID(class)) {
			zoneLocalDemand += demand[class]
		}
	}
	if zoneLocalDemand <= 0 {
		return 1
	}
	return min(1, maxWarmingFill*m.zoneLocalShare(m.tables[id])*total/zoneLocalDemand)
}

// admissionAmount is a share of a class's requests in the unit that proxies take.
func (m *Manager) admissionAmount(share float64, id TableID, class ClassID) float64 {
	switch {
	case m.admissionUnit != AdmitRate:
		return share
	case share >= 1:
		return unlimitedRate
	default:
		return evenRate(m.proxyRates(id, class), share)
	}
}

// evenRate is the rate limit, equal at each proxy, that admits a share of what comes to all of them.
func evenRate(rates []float64, share float64) float64 {
	if share >= 1 {
		return unlimitedRate
	}
	slices.Sort(rates)
	remaining := 0.0
	for _, rate := range rates {
		remaining += share * rate
	}
	for i, rate := range rates {
		if even := remaining / float64(len(rates)-i); rate >= even {
			return even
		}
		remaining -= rate
	}
	return unlimitedRate
}
