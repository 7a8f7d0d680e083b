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
	wantNear(t, "most useful", got[0].level.Amount, 1)
	wantNear(t, "the rest", got[1].level.Amount, 0.5)
}

func TestLevelsByRateAdmitTheSameShare(t *testing.T) {
	wantNear(t, "rate", equalRateLimit([]float64{2, 8, 10}, 0.6), 5)
	m := newTestManager(2)
	m.admissionUnit = AdmitRate
	m.admission.limit = 50
	wantNear(t, "a proxy", m.levelChanges(0, m.demandByClass())[1].level.Amount, 15)
	wantNear(t, "open", m.levelChanges(0, m.demandByClass())[0].level.Amount, unlimitedRate)
}

func TestLevelsAllowNoRetriesUnderALimit(t *testing.T) {
	m := newTestManager(2)
	if got := m.levelChanges(0, m.demandByClass()); len(got) != 0 {
		t.Errorf("levels %v while all is admitted", got)
	}
	m.admission.limit = 1000
	if got := m.levelChanges(0, m.demandByClass()); got[0].level.Retry != NoRetry || got[1].level.Retry != NoRetry {
		t.Error("retries under overload")
	}
}

func TestTheLimitMovesOnlyWhenServersShowLoad(t *testing.T) {
	m := newTestManager(2)
	m.now = 4 * time.Second
	for _, s := range m.servers {
		m.report(s.id, 50, 10, 1500*time.Millisecond)
	}
	m.checkTimes = []sample{{at: m.now, value: 0.005}, {at: m.now, value: 0.004}, {at: m.now, value: 0.006}}
	m.admission.baselineLoad = 0.1
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f over idle servers", m.admission.limit)
	}
	m.checkTimes = []sample{{at: m.now, value: 0.9}, {at: m.now, value: math.Inf(1)}, {at: m.now, value: 0.8}}
	m.updateAdmissionLimit()
	if math.IsInf(m.admission.limit, 1) {
		t.Error("all admitted at full servers")
	}
}

func TestTheLimitIsNotMovedByFailuresOfTheFirstSeconds(t *testing.T) {
	m := newTestManager(2)
	m.healthChecks = false
	m.now = 4 * time.Second
	m.admission.baselineLoad = 0.1
	for _, s := range m.servers {
		m.report(s.id, 20, 8, 450*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f by the failures of a first second", m.admission.limit)
	}
	m.admission.deliveryRates = make([]float64, minDeliverySamples)
	m.updateAdmissionLimit()
	if math.IsInf(m.admission.limit, 1) {
		t.Error("all admitted though late answers and failures go on")
	}
}

// A limit set by the first few proxies reported on after a start would reject nearly all requests that come then.
func TestTheLimitWaitsUntilMostProxiesAreReportedOn(t *testing.T) {
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
		t.Errorf("limit %.0f though a tenth is reported", m.admission.limit)
	}
}

// A limit for half of the proxies must not stay when another manager's proxies connect.
func TestTheLimitFollowsTheProxiesReportedOn(t *testing.T) {
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
		t.Errorf("limit %.0f for four times the proxies", m.admission.limit)
	}
}

// The limit must not go by what servers delivered that are drained by now, nor stay low once their replacements can
// serve.
func TestTheLimitFollowsTheUsableWeight(t *testing.T) {
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
		t.Errorf("limit %.0f with all servers", m.admission.limit)
	}
	for _, s := range m.servers[:6] {
		s.state = Draining
	}
	m.updateAdmissionLimit()
	if m.admission.limit > 1.1*surgeSaturationFactor*4*8 {
		t.Errorf("limit %.0f for four servers of ten, which delivered 8 each", m.admission.limit)
	}
	for _, s := range m.servers[:6] {
		s.state = Ready
		s.reports = nil
	}
	m.updateAdmissionLimit()
	if m.admission.limit < 2*surgeSaturationFactor*4*8 {
		t.Errorf("limit %.0f once all are back", m.admission.limit)
	}
}

// The limit must not stay while a part of the servers fails.
func TestTheLimitFollowsTheServersHealth(t *testing.T) {
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
		t.Errorf("limit %.0f though half of the servers do a fifth", m.admission.limit)
	}
}

func TestTheLimitStaysOpenWhereRequestsTakeLongByThemselves(t *testing.T) {
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

func TestTheLimitStaysOpenOverQuickServersThatDropRequests(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	for _, s := range m.servers {
		m.report(s.id, 20, 9, 100*time.Millisecond)
	}
	m.updateAdmissionLimit()
	if !math.IsInf(m.admission.limit, 1) {
		t.Errorf("limit %.0f", m.admission.limit)
	}
}

// A rate that is not a number would put a table's changes behind all others.
func TestLevelsHaveARateWhereNothingIsOffered(t *testing.T) {
	m := newTestManager(2)
	m.now = time.Minute
	m.admission.limit = 0
	for _, l := range append(m.levelChanges(0, m.demandByClass()), m.levelChanges(1, []float64{0, 0})...) {
		if math.IsNaN(l.rate) {
			t.Errorf("%+v", l)
		}
	}
	m.tables[0].publishedLevels[1] = AdmissionLevel{0, 1, 0.5, NoRetry}
	if got := m.levelChanges(0, []float64{0, 0}); len(got) == 0 || math.IsNaN(got[0].rate) {
		t.Errorf("%+v", got)
	}
}

// A sample ends when a request came, so that the rates of single samples add up to more than the demand where each
// proxy gets few requests; the limit would then reject a quarter too much.
func TestDemandIsNotTheSumOfLastRates(t *testing.T) {
	m := newTestManager(1)
	m.proxies = nil
	// half a request a second at each: the last spans of eight, as often as they come at that rate
	for i, span := range []float64{1, 1, 1, 1, 2, 2, 3, 5} {
		m.proxies = append(m.proxies, &proxy{id: ProxyID(i), usage: [][]sample{{{m.now, 1, span}}, nil}})
	}
	sums := m.demandByClass()
	wantNear(t, "asked", sums[0], 4)
}

// Where the platform retries after any failure, a class that does not bear it gets another policy before a proxy is
// assigned to the table, so that no request takes effect twice.
func TestRetryPoliciesAreWhatAClassBears(t *testing.T) {
	groups := []TrafficClass{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupWindow: 4 * time.Second},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupWindow: 3 * time.Second},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
	}
	for usual, want := range map[RetryPolicy][]RetryPolicy{NoRetry: {0, 0, 0, 0}, RetryIfNotExecuted: {1, 1, 1, 1}, 2: {2, 2, 1, 1}, 3: {3, 3, 1, 1}} {
		site := testSettings
		site.Classes = groups
		site.DefaultRetryPolicy = usual
		m := New(1, site)
		m.distributedRates = []float64{40, 40}
		m.tables[0].published["a0"] = 1
		for g, way := range want {
			got := usual
			for _, l := range m.levelChanges(0, []float64{1, 1, 1, 1}) {
				if l.level.Classes == 1<<g {
					got = l.level.Retry
				}
			}
			if got != way {
				t.Errorf("the site's way %d, class %d: %d, not %d", usual, g, got, way)
			}
		}
	}
}
