package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxFreshReportAge is how long a load report counts towards the current load.
	maxFreshReportAge = 1500 * time.Millisecond
	// demandWindowSeconds is the number of seconds of usage from which the current demand of a class is computed.
	demandWindowSeconds = 0.9
	// loadQuantile is the quantile of the latency of recent successful attempts that gives the observed load.
	loadQuantile = 0.6
	// lowLoad is the load (latency divided by the latency objective) below which the admission limit is raised.
	lowLoad = 0.26
	// highLoad is the load above which the admission limit is lowered.
	highLoad = 0.32
	// lowLoadBaselineFactor and highLoadBaselineFactor are the same bounds as multiples of the baseline load. In
	// each case, the higher bound applies.
	lowLoadBaselineFactor  = 1.5
	highLoadBaselineFactor = 2.0
	// maxBaselineLoad caps the baseline load, because a manager that starts under load observes one that is too high.
	maxBaselineLoad = 0.3
	// highFailureRate is the failure rate above which the limit is lowered even between the low and the high load.
	highFailureRate = 0.25

	// limitDecreaseInterval is the minimum time between two decreases of the limit.
	limitDecreaseInterval = 3 * time.Second
	// decreasedLimitDeliveredShare is the limit after a decrease, as a share of the delivered rate, or of the previous
	// limit if that was lower.
	decreasedLimitDeliveredShare = 0.92
	// minLimitSaturationShare is the lowest limit that a decrease may set, as a share of the saturation rate.
	minLimitSaturationShare = 0.6
	// fastIncreaseSaturationShare is the share of the saturation rate up to which the limit is raised quickly.
	fastIncreaseSaturationShare = 0.85
	// fastLimitIncrease is the relative increase per tick at zero load, up to fastIncreaseSaturationShare.
	fastLimitIncrease = 0.3
	// slowLimitIncrease is the relative increase per tick at zero load beyond fastIncreaseSaturationShare.
	slowLimitIncrease = 0.05
	// slowIncreaseDoublingTime is the time without a decrease after which the slow increase has doubled.
	slowIncreaseDoublingTime = 4 * time.Second
	// limitRemovalFactor is the multiple of the offered rate above which the limit is removed.
	limitRemovalFactor = 1.2
	// surgeSaturationFactor is the highest limit during a surge, as a multiple of the saturation rate.
	surgeSaturationFactor = 1.5
	// minDeliverySamples is the number of samples of the delivered rate that must be exceeded to trust the saturation rate.
	minDeliverySamples = 5
	// loggedLimitIncrease is the factor above which an increase of the limit is logged.
	loggedLimitIncrease = 2
	// minReportedShare is the minimum share of the announced rate whose proxies must have reported usage recently for
	// the limit to be adjusted.
	minReportedShare = 0.5

	// minInFlightRate is the attempts per second above which a server's in-flight requests indicate its latency.
	minInFlightRate = 0.3
	// loadChecksPerTick is the number of random servers per tick that may get a health check to measure their latency.
	loadChecksPerTick = 4
	// idleCheckLatencyShare is the share of the observed latency below which the duration of health checks shows that
	// the servers are idle.
	idleCheckLatencyShare = 0.3

	// levelTolerance is the relative change of an admission level up to which the change is not published.
	levelTolerance = 0.04
	// unlimitedRate is the admission level, in requests per second, that admits all requests.
	unlimitedRate = 1e6
)

// retryPolicyFor returns the platform's retry policy, restricted to what is safe for a class: a request that may have
// been executed is sent again only if it is idempotent or if servers discard duplicates until its deadline.
func retryPolicyFor(platform RetryPolicy, class TrafficClass) RetryPolicy {
	duplicatesDiscarded := class.Idempotency == IdempotencyKeyed && class.DedupWindow >= class.Deadline
	if class.Idempotency == Idempotent || duplicatesDiscarded {
		return platform
	}
	return min(platform, RetryIfNotExecuted)
}

// admissionControl adjusts how many requests per second are admitted. Classes of higher priority are admitted first.
type admissionControl struct {
	limit         float64 // requests per second; unlimited: all requests are admitted
	loweredAt     time.Duration
	capacity      float64   // announced rate of the reporting proxies times usable weight, as of the last update
	baselineLoad  float64   // lowest load observed so far
	deliveryRates []float64 // requests per second delivered per unit of capacity, one sample per tick
}

func newAdmissionControl() admissionControl {
	return admissionControl{limit: unlimited, baselineLoad: math.Inf(1)}
}

// loadBounds returns the load below which the limit is raised and the load above which it is lowered. The bounds follow
// the baseline load, because requests that take long even on idle servers are no sign of overload.
func (a *admissionControl) loadBounds() (low, high float64) {
	baseline := min(a.baselineLoad, maxBaselineLoad)
	return max(lowLoad, lowLoadBaselineFactor*baseline), max(highLoad, highLoadBaselineFactor*baseline)
}

// scaleTo scales the limit in proportion to the capacity. Otherwise a limit derived from the first few reporting
// proxies would remain when another manager's proxies connect, and a limit derived from servers that have left would
// remain too.
func (a *admissionControl) scaleTo(capacity float64) {
	a.limit *= cmp.Or(capacity, a.capacity, 1) / cmp.Or(a.capacity, capacity, 1)
	a.capacity = cmp.Or(capacity, a.capacity)
}

// saturationRate returns the highest recently delivered rate, scaled to the current capacity.
func (a *admissionControl) saturationRate() float64 { return slices.Max(a.deliveryRates) * a.capacity }

// hasSaturationRate reports whether there are enough samples to trust the saturation rate.
func (a *admissionControl) hasSaturationRate() bool { return len(a.deliveryRates) > minDeliverySamples }

// limitSurge lowers the limit during a surge that would otherwise fill all queues before the first late response is
// reported.
func (a *admissionControl) limitSurge(offered float64) {
	maxLimit := surgeSaturationFactor * a.saturationRate()
	if a.hasSaturationRate() && min(offered, a.limit) > maxLimit {
		a.limit = maxLimit
	}
}

// trafficSample summarizes the traffic according to the latest reports.
type trafficSample struct {
	offered     float64 // requests per second
	delivered   float64 // requests per second
	load        float64 // latency divided by the latency objective
	failureRate float64
}

// adjust lowers the limit to about the delivered rate while the servers as a whole are slow or drop requests, and
// raises it gradually while the load is low.
func (a *admissionControl) adjust(now time.Duration, traffic trafficSample) {
	low, high := a.loadBounds()
	saturation := a.saturationRate()
	failing := traffic.load > low && traffic.failureRate > highFailureRate && a.hasSaturationRate()
	switch {
	case traffic.load > high || failing:
		if now-a.loweredAt >= limitDecreaseInterval {
			a.limit = max(decreasedLimitDeliveredShare*min(a.limit, traffic.delivered), minLimitSaturationShare*saturation)
			a.loweredAt = now
		}
	case traffic.load < low && a.limit > limitRemovalFactor*traffic.offered:
		a.limit = unlimited
	case traffic.load < low && a.limit > fastIncreaseSaturationShare*saturation:
		// The limit itself may have kept the saturation rate low, so the increase accelerates over time.
		confidence := 1 + (now-a.loweredAt).Seconds()/slowIncreaseDoublingTime.Seconds()
		a.limit *= 1 + slowLimitIncrease*(1-traffic.load/low)*confidence
	case traffic.load < low:
		a.limit *= 1 + fastLimitIncrease*(1-traffic.load/low)
	}
}

// updateAdmissionLimit adjusts the limit according to recent load and usage reports.
func (m *Manager) updateAdmissionLimit() {
	a := &m.admission
	traffic := m.trafficSample()
	reportingRate := m.reportingProxiesRate()
	capacity := reportingRate * m.usableWeight()
	a.scaleTo(capacity)
	previous := a.limit
	announcedRate := m.meanAnnouncedRate() * float64(len(m.proxies))
	if reportingRate < minReportedShare*announcedRate || capacity == 0 || m.admissionUnit == AdmitNone {
		return
	}
	a.deliveryRates = lastN(append(a.deliveryRates, traffic.delivered/capacity), maxSamples)
	a.limitSurge(traffic.offered)
	a.adjust(m.now, traffic)
	if a.limit < previous || a.limit > loggedLimitIncrease*previous {
		m.log(EventAdmissionLimit,
			numberField("limit", a.limit, 0),
			numberField("offered", traffic.offered, 0),
			numberField("delivered", traffic.delivered, 0),
			numberField("load", traffic.load, 2),
			numberField("failure_rate", traffic.failureRate, 2))
	}
}

// trafficSample computes the current traffic and load, and lowers the baseline load if the observed load is lower.
func (m *Manager) trafficSample() trafficSample {
	latency, failureRate := m.observedLatency(loadQuantile)
	objective := m.meanLatencyObjective()
	load := latency / objective
	if load > lowLoad && len(m.servers) > 0 {
		load = m.serverLatency(latency) / objective
	}
	if latency > 0 {
		m.admission.baselineLoad = min(m.admission.baselineLoad, latency/objective)
	}
	offered, delivered := m.offeredAndDelivered()
	return trafficSample{offered: offered, delivered: delivered, load: load, failureRate: failureRate}
}

// serverLatency returns the latency that the servers themselves cause, estimated from their in-flight requests, or else
// from the duration of health checks. Health checks may bypass the request queue, so they count only if they show idle
// servers. Latency that arises elsewhere, such as in the network, must not trigger admission control.
func (m *Manager) serverLatency(latency float64) float64 {
	latencies := m.inFlightLatencies(minInFlightRate)
	m.checkRandomServers()
	if len(latencies) > 0 {
		return min(latency, median(latencies))
	}
	checkDurations := m.recentCheckDurations()
	if m.healthChecks && len(checkDurations) > 0 && median(checkDurations) < idleCheckLatencyShare*latency {
		return median(checkDurations)
	}
	return latency
}

// checkRandomServers sends health checks to some random servers to measure their latency, unless servers report their
// in-flight requests.
func (m *Manager) checkRandomServers() {
	for range loadChecksPerTick {
		s := m.servers[int(m.random()*float64(len(m.servers)))]
		eligible := m.mayServe(s) && !s.ejected && s.health > degradedHealth
		if m.healthChecks && !m.inFlightReported && eligible {
			m.commands.HealthCheck = append(m.commands.HealthCheck, s.id)
		}
	}
}

// levelChanges returns the changes of a table's admission levels. The limit is given to the classes in order of
// priority; each class gets what the classes before it left over.
func (m *Manager) levelChanges(id TableID, demand []float64) []tableChange {
	if m.pinned != nil {
		return m.pinnedLevelChanges(id)
	}
	var changes []tableChange
	total := max(sum(demand), 1e-9)
	remaining := m.admittedRate(total)
	localShare := m.zoneLocalAdmissionShare(id, demand, total)
	for _, class := range m.classesByPriority {
		share := min(1, remaining/max(demand[class], 1e-9))
		remaining = max(0, remaining-demand[class])
		level := AdmissionLevel{Table: id, Classes: class.mask(), Retry: m.currentRetryPolicy(class)}
		if m.isZoneLocalClass(class) {
			level.Amount = m.admissionAmount(min(share, localShare), id, class)
		} else {
			level.Amount = m.admissionAmount(share, id, class)
		}
		published := m.publishedLevel(id, class)
		changed := math.Abs(level.Amount-published.Amount) / max(level.Amount, published.Amount, 1e-9)
		admitsAllAgain := share == 1 && level.Amount != published.Amount
		if changed > levelTolerance || level.Retry != published.Retry || admitsAllAgain {
			rate := m.distributedRates[id] * demand[class] / total * max(changed, levelTolerance)
			changes = append(changes, levelChange(level, m.levelPriority(id), rate))
		}
	}
	return changes
}

// levelPriority returns the priority of a table's admission levels. Warming servers must not be the first endpoints of a
// table, or of its zone-local part, before its levels are published.
func (m *Manager) levelPriority(id TableID) changePriority {
	if m.warmingCapacityShare < 1 && m.tables[id].lacksEndpoint || m.tables[id].lacksLocalEndpoint {
		return invariantChange
	}
	return ordinaryChange
}

// limitsAdmission reports whether admission levels follow the manager's decisions.
func (m *Manager) limitsAdmission() bool { return m.admissionUnit != AdmitNone && m.pinned == nil }

// admittedRate returns how many of the offered requests per second are admitted: as many as the admission limit allows and,
// while no server is warm, no more than the servers can take.
func (m *Manager) admittedRate(offered float64) float64 {
	if m.warmingCapacityShare < 1 && m.limitsAdmission() {
		return min(m.admission.limit, m.warmingCapacityShare*offered)
	}
	return m.admission.limit
}

// currentRetryPolicy returns the current retry policy of a class. It allows no retries while requests are limited,
// because under overload each retry takes the place of a first attempt.
func (m *Manager) currentRetryPolicy(class ClassID) RetryPolicy {
	if math.IsInf(m.admission.limit, 1) {
		return m.retryPolicies[class]
	}
	return NoRetry
}

// publishedLevel returns a class's published admission level in a table, or the level with which proxies start if none
// is published.
func (m *Manager) publishedLevel(id TableID, class ClassID) AdmissionLevel {
	if level, found := m.tables[id].publishedLevels[class.mask()]; found {
		return level
	}
	return AdmissionLevel{Amount: m.admissionAmount(1, id, class), Retry: m.defaultRetry}
}

// zoneLocalAdmissionShare returns the share of the zone-local classes' requests that a table admits. In a zone that
// lost most of its servers, it admits at most maxWarmingShareFactor times what the table gives the remaining servers.
func (m *Manager) zoneLocalAdmissionShare(id TableID, demand []float64, total float64) float64 {
	zoneLocalDemand := 0.0
	for class := range demand {
		if m.isZoneLocalClass(ClassID(class)) {
			zoneLocalDemand += demand[class]
		}
	}
	if zoneLocalDemand <= 0 {
		return 1
	}
	return min(1, maxWarmingShareFactor*m.zoneLocalShare(m.tables[id])*total/zoneLocalDemand)
}

// admissionAmount converts a share of a class's requests to the unit that the proxies expect.
func (m *Manager) admissionAmount(share float64, id TableID, class ClassID) float64 {
	switch {
	case m.admissionUnit != AdmitRate:
		return share
	case share >= 1:
		return unlimitedRate
	default:
		return equalRateLimit(m.proxyRates(id, class), share)
	}
}

// equalRateLimit returns the rate limit that, applied equally at each proxy, admits the given share of the total rate
// of all proxies.
func equalRateLimit(rates []float64, share float64) float64 {
	if share >= 1 {
		return unlimitedRate
	}
	slices.Sort(rates)
	remaining := 0.0
	for _, rate := range rates {
		remaining += share * rate
	}
	for i, rate := range rates {
		if limit := remaining / float64(len(rates)-i); rate >= limit {
			return limit
		}
		remaining -= rate
	}
	return unlimitedRate
}
