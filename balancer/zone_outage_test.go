package balancer

import (
	"slices"
	"testing"
	"time"
)

// A lost zone must not be found server by server, as reports that cover seconds come in.
func TestAnUnresponsiveServerMakesItsZoneSuspected(t *testing.T) {
	m := newTestManager(4)
	m.now = 10 * time.Second
	for _, s := range m.servers[1:] {
		s.lastSeen = m.now // good answers were reported just now
	}
	o := m.HandleHealthCheck(m.now, "a0", HealthCheckUnreachable, time.Second, -1)
	if !slices.Equal(o.HealthCheck, []ServerID{"a1", "a2", "a3"}) || !m.server("a0").ejected {
		t.Fatalf("asked %v", o.HealthCheck)
	}
	for i, id := range []ServerID{"a1", "a2", "a3", "b0"} {
		m.HandleHealthCheck(m.now+time.Duration(i), id, HealthCheckUnreachable, time.Second, -1)
	}
	m.detectZoneOutage()
	if got := count(m.servers, func(s *server) bool { return s.ejected }); got != 4 || m.server("b0").ejected {
		t.Errorf("%d servers out, b0 %v", got, m.server("b0").ejected)
	}
}

// Under overload all servers of a zone may answer health checks late.
func TestAZoneWhoseChecksOnlyTimeOutLosesNoServer(t *testing.T) {
	m := newTestManager(4)
	m.now = 10 * time.Second
	m.suspectedZone = 0
	m.checkSuspectedZone()
	for i, a := range []HealthCheckResult{HealthCheckTimedOut, HealthCheckTimedOut, HealthCheckTimedOut, HealthCheckUnreachable} {
		m.servers[i].lastSeen = m.now
		m.HandleHealthCheck(m.now, m.servers[i].id, a, time.Second, -1)
	}
	m.detectZoneOutage()
	if got := count(m.servers[:4], func(s *server) bool { return s.ejected }); got != 0 {
		t.Errorf("%d servers out that are only late", got)
	}
}

func TestAZonePairIsClosedAtTwiceItsUsualLatency(t *testing.T) {
	m := newTestManager(2)
	p := &m.zonePairs[0][1]
	for i := range 12 {
		p.failureRates = append(p.failureRates, 0)
		p.latencies = append(p.latencies, 0.1)
		if i >= 9 {
			p.latencies[i] = 0.25
		}
	}
	m.updateZonePairs()
	if !p.closed || m.redistribution != zonePairChanged {
		t.Error("open at twice the norm")
	}
}
