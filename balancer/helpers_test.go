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

// newTestManager holds per zone n ready servers a0.., b0.. and a proxy, assigned to its zone's table.
func newTestManager(n int) *Manager {
	m := New(1, testSettings)
	m.nextTick = time.Hour
	m.timerAt = time.Hour
	m.slowStartPause = 0
	for z, name := range m.zones {
		for i := range n {
			id := ServerID(fmt.Sprint(name, i))
			m.servers = append(m.servers, &server{id: id, zone: z, partition: z, weight: 1, health: 1, inFlight: -1, checkedAt: -time.Hour})
			m.tables[z].published[id] = 100
			m.tables[z].target[id] = 1 / float64(n)
		}
		flows := [][]sample{{{0, 30, 1}}, {{0, 10, 1}}}
		m.proxies = append(m.proxies, &proxy{id: ProxyID(z), zone: z, partition: z, assigned: true, usage: flows})
	}
	m.partitioned = true
	m.usageReported = true
	m.distributedRates = []float64{40, 40}
	return m
}

// report gives a server one report of late attempts, in a second that just ended.
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

func wantNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

// distributed is what a distribution gives, by partition and part.
func distributed(volumes []float64, parts []distributionPart, nearest [][]int, closed func(a, b int) bool) [][]float64 {
	s := distribute(volumes, parts, func(z int) []int { return nearest[z] }, closed)
	all := make([][]float64, len(volumes))
	for z := range volumes {
		for i := range parts {
			all[z] = append(all[z], s.at(z, i))
		}
	}
	return all
}

func noPairClosed(a, b int) bool { return false }

func equalParts(zone, n int, target float64) (parts []distributionPart) {
	for range n {
		parts = append(parts, distributionPart{zone, target, 0.8, 1.2})
	}
	return parts
}

// managerWithUnassigned holds four servers a zone, one of which warms up, and so many proxies of zone a that connected meanwhile.
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

// pinAt pins the tables of two zones at these weights of zone a's servers, and zone b's as they stand.
func (m *Manager) pinAt(a ...float64) Commands {
	lines := map[TableID]map[ServerID]float64{0: {}, 1: {}}
	for i, w := range a {
		lines[0][ServerID(fmt.Sprint("a", i))] = w
		lines[1][ServerID(fmt.Sprint("b", i))] = 100
	}
	return m.HandlePin(m.now, lines, map[TableID]map[uint]AdmissionLevel{0: {2: {Table: 0, Classes: 2, Amount: 0.5, Retry: RetryIfNotExecuted}}})
}

// newZoneLocalManager has a second class that stays in its zone.
func newZoneLocalManager(n int) *Manager {
	m := newTestManager(n)
	m.zoneLocal = 2
	m.crossZone = 1
	return m
}
