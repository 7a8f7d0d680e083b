package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var terms = Settings{
	Zones: []ZoneID{"a", "b"},
	Classes: []TrafficClass{
		{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3},
	},
	HealthChecks: true, AdmissionUnit: AdmitShare, DefaultRetryPolicy: RetryIfNotExecuted, ColdCapacity: 0.15, WarmUpDuration: 16 * time.Second,
	QueueCapacity: 1000, CommandsPerSecond: 1000, MessageOverhead: 4, MaxMessages: 20, MessageWindow: 10 * time.Second,
}

// manager holds per zone n ready servers a0.., b0.. and a proxy, bound to its zone's table.
func manager(n int) *Manager {
	m := New(1, terms)
	m.nextTick, m.timerAt, m.slowStartPause = time.Hour, time.Hour, 0
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
	m.usageReported, m.distributedRates = true, []float64{40, 40}
	return m
}

// hear gives a server one report of late tries, in a second that just ended.
func (m *Manager) hear(id ServerID, tries, failed int, latency time.Duration) {
	s := m.server(id)
	s.reports = append(s.reports, LoadReport{Server: id, Zone: m.zones[s.zone], Attempts: tries, Failed: failed, Latency: latency, Interval: time.Second, InFlight: -1})
	s.reportedAt, s.lastSeen = append(s.reportedAt, m.now), m.now
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

// dealt is what a split gives, by zone and part.
func dealt(volumes []float64, parts []distributionPart, nearest [][]int, closed func(a, b int) bool) [][]float64 {
	s, all := distribute(volumes, parts, func(z int) []int { return nearest[z] }, closed), make([][]float64, len(volumes))
	for z := range volumes {
		for i := range parts {
			all[z] = append(all[z], s.at(z, i))
		}
	}
	return all
}
