package balancer

import (
	"slices"
	"testing"
	"time"
)

// A lost zone must not be detected server by server as load reports, which cover several seconds, arrive.
func TestAnUnreachableServerTriggersACheckOfItsZone(t *testing.T) {
	m := newTestManager(4)
	m.now = 10 * time.Second
	for _, s := range m.servers[1:] {
		s.lastSeen = m.now // successful attempts were reported just now
	}
	commands := m.HandleHealthCheck(m.now, "a0", HealthCheckUnreachable, time.Second, -1)
	if !slices.Equal(commands.HealthCheck, []ServerID{"a1", "a2", "a3"}) || !m.server("a0").ejected {
		t.Fatalf("checked %v, want the other servers of zone a; a0 must be ejected", commands.HealthCheck)
	}
	for i, id := range []ServerID{"a1", "a2", "a3", "b0"} {
		m.HandleHealthCheck(m.now+time.Duration(i), id, HealthCheckUnreachable, time.Second, -1)
	}
	m.detectZoneOutage()
	if got := count(m.servers, func(s *server) bool { return s.ejected }); got != 4 || m.server("b0").ejected {
		t.Errorf("%d servers are ejected, want 4; b0 ejected: %v, want false", got, m.server("b0").ejected)
	}
}

// Under overload all servers of a zone may answer health checks late. This must not count as a zone outage.
func TestHealthCheckTimeoutsAreNoZoneOutage(t *testing.T) {
	m := newTestManager(4)
	m.now = 10 * time.Second
	m.suspectedZone = 0
	m.checkSuspectedZone()
	for i, result := range []HealthCheckResult{HealthCheckTimedOut, HealthCheckTimedOut, HealthCheckTimedOut, HealthCheckUnreachable} {
		m.servers[i].lastSeen = m.now
		m.HandleHealthCheck(m.now, m.servers[i].id, result, time.Second, -1)
	}
	m.detectZoneOutage()
	if got := count(m.servers[:4], func(s *server) bool { return s.ejected }); got != 0 {
		t.Errorf("%d servers are ejected, want none after health checks that mostly timed out", got)
	}
}

func TestAZonePairIsClosedAboveTwiceItsUsualLatency(t *testing.T) {
	m := newTestManager(2)
	pair := &m.zonePairs[0][1]
	for i := range 12 {
		pair.failureRates = append(pair.failureRates, 0)
		pair.latencies = append(pair.latencies, 0.1)
		if i >= 9 {
			pair.latencies[i] = 0.25
		}
	}
	m.updateZonePairs()
	if !pair.closed || m.redistribution != zonePairChanged {
		t.Error("the zone pair is not closed at more than twice its usual latency, or no redistribution follows")
	}
}
