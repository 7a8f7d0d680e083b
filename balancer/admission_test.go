package balancer

import (
	"math"
	"testing"
	"time"
)

func TestLevelsAdmitByPriority(t *testing.T) {
	m := newTestManager(2)
	m.admission.limit = 50
	got := m.levelChanges(0, m.demandByClass())
	wantNear(t, "class of the highest priority", got[0].level.Amount, 1)
	wantNear(t, "class of the lower priority", got[1].level.Amount, 0.5)
}

func TestLevelsInRatesAdmitTheSameShare(t *testing.T) {
	wantNear(t, "limit per proxy", equalRateLimit([]float64{2, 8, 10}, 0.6), 5)
	m := newTestManager(2)
	m.admissionUnit = AdmitRate
	m.admission.limit = 50
	wantNear(t, "limited class, per proxy", m.levelChanges(0, m.demandByClass())[1].level.Amount, 15)
	wantNear(t, "class admitted in full", m.levelChanges(0, m.demandByClass())[0].level.Amount, unlimitedRate)
}

func TestLevelsAllowNoRetriesWhileLimited(t *testing.T) {
	m := newTestManager(2)
	if got := m.levelChanges(0, m.demandByClass()); len(got) != 0 {
		t.Errorf("got level changes %v while all requests are admitted", got)
	}
	m.admission.limit = 1000
	if got := m.levelChanges(0, m.demandByClass()); got[0].level.Retry != NoRetry || got[1].level.Retry != NoRetry {
		t.Error("retries are allowed under overload")
	}
}

func TestLimitIsLoweredOnlyIfTheServersAreLoaded(t *testing.T) {
	m := newTestManager(2)
	m.now = 4 * time.Second
	for _, s := range m.servers {
		m.report(s.id, 50, 10, 1500*time.Millisecond)
	}
	m.checkDurations = []sample{{at: m.now, value: 0.005}, {at: m.now, value: 0.004}, {at: m.now, value: 0.006}}
	m.admission.baselineLoad = 0.1
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f although the servers are idle", m.admission.limit)
	}
	m.checkDurations = []sample{{at: m.now, value: 0.9}, {at: m.now, value: math.Inf(1)}, {at: m.now, value: 0.8}}
	m.updateAdmissionLimit()
	if math.IsInf(m.admission.limit, 1) {
		t.Error("all requests are admitted although the servers are overloaded")
	}
}

func TestLimitIsNotLoweredByFailuresInTheFirstSeconds(t *testing.T) {
	m := newTestManager(2)
	m.healthChecks = false
	m.now = 4 * time.Second
	m.admission.baselineLoad = 0.1
	for _, s := range m.servers {
		m.report(s.id, 20, 8, 450*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f after failures, although there are not enough samples of the delivered rate, want none", m.admission.limit)
	}
	m.admission.deliveryRates = make([]float64, minDeliverySamples)
	m.updateAdmissionLimit()
	if math.IsInf(m.admission.limit, 1) {
		t.Error("all requests are admitted although late responses and failures continue")
	}
}

// A limit derived from the first few proxies that report after a start would reject nearly all requests of the proxies
// that follow.
func TestLimitIsUnchangedUntilMostProxiesReport(t *testing.T) {
	m := newTestManager(2)
	m.healthChecks = false
	m.now = 4 * time.Second
	m.admission.baselineLoad = 0.1
	m.proxies[0].announcedRate = 10
	m.proxies[1].announcedRate = 90
	m.proxies[1].usage = [][]sample{{}, {}}
	for _, s := range m.servers {
		m.report(s.id, 2, 0, 1500*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f although proxies with only a tenth of the announced rate reported usage", m.admission.limit)
	}
}

// A limit that was set for a few proxies must not remain when another manager's proxies connect.
func TestLimitScalesWithTheReportingProxies(t *testing.T) {
	m := newTestManager(2)
	m.now = 4 * time.Second
	m.admission.baselineLoad = 0.1
	m.proxies[0].announcedRate = 10
	m.proxies[1].announcedRate = 30
	m.admission.limit = 40
	m.admission.capacity = 10 * m.usableWeight()
	m.proxies[0].usage[0][0].value = 300
	m.proxies[1].usage[0][0].value = 300
	m.updateAdmissionLimit()
	if m.admission.limit < 160 {
		t.Errorf("limit %.0f after the announced rate of the reporting proxies rose fourfold from 10, want at least 160", m.admission.limit)
	}
}

// The limit must not be based on the delivered rate of servers that are draining by now, and must not stay low once
// their replacements can serve.
func TestLimitScalesWithTheUsableWeight(t *testing.T) {
	m := newTestManager(5)
	m.healthChecks = false
	m.now = 4 * time.Second
	m.admission.deliveryRates = make([]float64, minDeliverySamples)
	m.proxies[0].announcedRate = 40
	m.proxies[1].announcedRate = 40
	for _, s := range m.servers {
		m.report(s.id, 8, 0, 300*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f while all servers are ready", m.admission.limit)
	}
	for _, s := range m.servers[:6] {
		s.state = Draining
	}
	m.updateAdmissionLimit()
	if m.admission.limit > 1.1*surgeSaturationFactor*4*8 {
		t.Errorf("limit %.0f is too high for four of ten servers, which delivered 8 requests per second each", m.admission.limit)
	}
	for _, s := range m.servers[:6] {
		s.state = Ready
		s.reports = nil
	}
	m.updateAdmissionLimit()
	if m.admission.limit < 2*surgeSaturationFactor*4*8 {
		t.Errorf("limit %.0f is too low once all servers are ready again", m.admission.limit)
	}
}

// The limit must be lowered while some of the servers fail.
func TestLimitScalesWithTheHealthOfServers(t *testing.T) {
	m := newTestManager(4)
	m.healthChecks = false
	m.now = 4 * time.Second
	m.proxies[0].announcedRate = 40
	m.proxies[1].announcedRate = 40
	m.admission.limit = 60
	m.admission.capacity = 80 * 8
	for _, s := range m.servers[:4] {
		s.health = 0.2
	}
	m.updateAdmissionLimit()
	if m.admission.limit > 60*0.7 {
		t.Errorf("limit %.0f although half of the servers have a health of only 0.2", m.admission.limit)
	}
}

func TestLimitIsNotLoweredForInherentlySlowRequests(t *testing.T) {
	m := newTestManager(2)
	m.healthChecks = false
	m.now = 10 * time.Second
	m.admission.baselineLoad = 0.3
	for _, s := range m.servers {
		m.report(s.id, 20, 0, 800*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f at less than twice the baseline load", m.admission.limit)
	}
}

func TestLimitIsNotLoweredForQuickServersThatDropRequests(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	for _, s := range m.servers {
		m.report(s.id, 20, 9, 100*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f although the responses are quick", m.admission.limit)
	}
}

// A rate that is NaN would sort a table's changes after all others.
func TestRatesOfLevelChangesAreNumbersWithoutOfferedRequests(t *testing.T) {
	m := newTestManager(2)
	m.now = time.Minute
	m.admission.limit = 0
	for _, change := range append(m.levelChanges(0, m.demandByClass()), m.levelChanges(1, []float64{0, 0})...) {
		if math.IsNaN(change.rate) {
			t.Errorf("the rate of change %+v is NaN", change)
		}
	}
	m.tables[0].publishedLevels[1] = AdmissionLevel{0, 1, 0.5, NoRetry}
	if got := m.levelChanges(0, []float64{0, 0}); len(got) == 0 || math.IsNaN(got[0].rate) {
		t.Errorf("got changes %+v, want at least one and no NaN rate", got)
	}
}

// A sample ends when a request arrives. Where each proxy gets few requests, the rates of single samples therefore add
// up to more than the demand, and the limit would reject a quarter too many requests.
func TestDemandIsNotTheSumOfLatestRates(t *testing.T) {
	m := newTestManager(1)
	m.proxies = nil
	// Eight proxies with half a request per second each. The spans of their latest samples are distributed as they
	// occur at that rate.
	for i, span := range []float64{1, 1, 1, 1, 2, 2, 3, 5} {
		m.proxies = append(m.proxies, &proxy{id: ProxyID(i), usage: [][]sample{{{m.now, 1, span}}, nil}})
	}
	demand := m.demandByClass()
	wantNear(t, "demand", demand[0], 4)
}

// If the platform retries after any failure, a class whose requests must not be executed twice gets a stricter policy
// before a proxy is assigned to the table, so that no request takes effect twice.
func TestRetryPolicyIsSafeForEachClass(t *testing.T) {
	classes := []TrafficClass{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupWindow: 4 * time.Second},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupWindow: 3 * time.Second},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
	}
	for platform, want := range map[RetryPolicy][]RetryPolicy{NoRetry: {0, 0, 0, 0}, RetryIfNotExecuted: {1, 1, 1, 1}, 2: {2, 2, 1, 1}, 3: {3, 3, 1, 1}} {
		settings := testSettings
		settings.Classes = classes
		settings.DefaultRetryPolicy = platform
		m := New(1, settings)
		m.distributedRates = []float64{40, 40}
		m.tables[0].publishedWeights["a0"] = 1
		for class, wantPolicy := range want {
			got := platform
			for _, change := range m.levelChanges(0, []float64{1, 1, 1, 1}) {
				if change.level.Classes == 1<<class {
					got = change.level.Retry
				}
			}
			if got != wantPolicy {
				t.Errorf("platform policy %d, class %d: got policy %d, want %d", platform, class, got, wantPolicy)
			}
		}
	}
}
