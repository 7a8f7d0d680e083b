package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var testSettings = Settings{
	Zones: []ZoneID{"a", "b"},
	Classes: []TrafficClass{
		{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
	},
	HealthChecks: true, AdmissionUnit: AdmitShare, DefaultRetryPolicy: RetryIfNotExecuted, ColdCapacity: 0.15, WarmUpDuration: 16 * time.Second,
	QueueCapacity: 1000, CommandsPerSecond: 1000, MessageOverhead: 4, MaxMessages: 20, MessageWindow: 10 * time.Second,
}

// newTestManager returns a manager with zones a and b. Each zone has n ready servers (a0, a1, ... and b0, b1, ...) and
// one proxy, which is assigned to the zone's table.
func newTestManager(n int) *Manager {
	m := New(1, testSettings)
	m.nextTick = time.Hour
	m.timerAt = time.Hour
	m.slowStartPause = 0
	for zone, name := range m.zones {
		for i := range n {
			id := ServerID(fmt.Sprint(name, i))
			m.servers = append(m.servers, &server{id: id, zone: zone, partition: zone, weight: 1, health: 1, inFlight: -1, checkSentAt: -time.Hour})
			m.tables[zone].publishedWeights[id] = 100
			m.tables[zone].targetShares[id] = 1 / float64(n)
		}
		usageSamples := [][]sample{{{0, 30, 1}}, {{0, 10, 1}}}
		m.proxies = append(m.proxies, &proxy{id: ProxyID(zone), zone: zone, partition: zone, assigned: true, usage: usageSamples})
	}
	m.partitioned = true
	m.usageReported = true
	m.distributedRates = []float64{40, 40}
	return m
}

// report adds a load report on a server from its own zone, which covers the last second.
func (m *Manager) report(id ServerID, attempts, failed int, latency time.Duration) {
	s := m.server(id)
	s.reports = append(s.reports, receivedReport{at: m.now, LoadReport: LoadReport{
		Server:   id,
		Zone:     m.zones[s.zone],
		Attempts: attempts,
		Failed:   failed,
		Latency:  latency,
		Interval: time.Second,
		InFlight: inFlightUnknown,
	}})
	s.lastSeen = m.now
}

func wantNear(t *testing.T, description string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %v, want %v", description, got, want)
	}
}

// distributeRates returns the rates that distribute allocates, by partition and target.
func distributeRates(rates []float64, targets []serverTarget, nearest [][]int, closed func(from, to int) bool) [][]float64 {
	result := distribute(rates, targets, func(partition int) []int { return nearest[partition] }, closed)
	all := make([][]float64, len(rates))
	for partition := range rates {
		for i := range targets {
			all[partition] = append(all[partition], result.rate(partition, i))
		}
	}
	return all
}

func noPairClosed(from, to int) bool { return false }

func equalTargets(zone, n int, rate float64) (targets []serverTarget) {
	for range n {
		targets = append(targets, serverTarget{zone, rate, 0.8, 1.2})
	}
	return targets
}

// managerWithUnassigned returns a manager with four servers per zone, one of which (a1) is in its warm-up, and the given
// number of unassigned proxies, which connected in zone a during the warm-up.
func managerWithUnassigned(proxies int) *Manager {
	m := newTestManager(4)
	m.nextTick = time.Hour
	m.servers[1].warmingUp = true
	m.servers[1].warmUpFrom = 0
	for i := range proxies {
		m.HandleProxyConnected(time.Second+time.Duration(i)*time.Millisecond, ProxyID(10+i), "a", 5)
	}
	return m
}

// pinAt pins the tables of both zones: zone a's servers at the given weights, zone b's at their published weight of
// 100.
func (m *Manager) pinAt(weights ...float64) Commands {
	tables := map[TableID]map[ServerID]float64{0: {}, 1: {}}
	for i, weight := range weights {
		tables[0][ServerID(fmt.Sprint("a", i))] = weight
		tables[1][ServerID(fmt.Sprint("b", i))] = 100
	}
	return m.HandlePin(m.now, tables, map[TableID]map[uint]AdmissionLevel{0: {2: {Table: 0, Classes: 2, Amount: 0.5, Retry: RetryIfNotExecuted}}})
}

// newZoneLocalManager returns a test manager whose second traffic class is zone-local.
func newZoneLocalManager(n int) *Manager {
	m := newTestManager(n)
	m.zoneLocalClasses = 2
	m.crossZoneClasses = 1
	return m
}
