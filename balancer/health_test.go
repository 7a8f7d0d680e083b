package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestARemovedServerThatMayServeIsKeptUntilAHealthCheckFails(t *testing.T) {
	m := newTestManager(2)
	m.removedMayServe = true
	commands := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Removed}})
	if len(commands.Withdraw) != 0 || !slices.Equal(commands.HealthCheck, []ServerID{"a0"}) || !m.mayServe(m.servers[0]) {
		t.Errorf("withdrawn %v, want none; checked %v, want a0", commands.Withdraw, commands.HealthCheck)
	}
	m.HandleHealthCheck(time.Second, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected {
		t.Error("a0 is ejected although it passed a health check")
	}
	m.HandleHealthCheck(time.Second, "a0", HealthCheckTimedOut, time.Millisecond, -1)
	if !m.servers[0].ejected {
		t.Error("a0 is not ejected although it was removed and a health check failed")
	}
	m.HandleHealthCheck(3*time.Second, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected || !m.servers[0].warmingUp {
		t.Error("a0 is ejected or not warming up, although it may be a new process")
	}
}

func TestANewServerIsCheckedBeforeItGetsRequests(t *testing.T) {
	m := newTestManager(2)
	m.listReceived = true
	commands := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "ghost", Zone: "a", Weight: 1}})
	if !slices.Equal(commands.HealthCheck, []ServerID{"ghost"}) || !m.server("ghost").ejected {
		t.Errorf("checked %v, want ghost; ghost must be ejected until it passes", commands.HealthCheck)
	}
	m.HandleHealthCheck(time.Second, "ghost", HealthCheckRejected, time.Millisecond, -1)
	if !m.server("ghost").ejected {
		t.Error("ghost is not ejected although its health check was rejected")
	}
	m.HandleHealthCheck(time.Second, "ghost", HealthCheckPassed, time.Millisecond, -1)
	if m.server("ghost").ejected {
		t.Error("ghost is ejected although it passed a health check")
	}
}

func TestTablesKeepServersWhenAllAreEjected(t *testing.T) {
	m := newTestManager(2)
	for _, s := range m.servers {
		s.ejected = true
	}
	m.redistribute()
	if len(m.tables[0].targetShares) == 0 || len(m.tables[1].targetShares) == 0 {
		t.Error("the table of a zone lost its last server")
	}
}

func TestHealthIsLoweredForSlowAndFailingServers(t *testing.T) {
	m := newTestManager(4)
	for _, s := range m.servers {
		m.report(s.id, 10, 0, 200*time.Millisecond)
	}
	m.report("a0", 10, 0, 3*time.Second)
	m.report("b0", 10, 9, 200*time.Millisecond)
	m.updateServerHealth()
	if m.servers[0].health >= 1 || m.server("b0").health >= 1 || m.servers[1].health != 1 || m.redistribution != healthChanged {
		t.Errorf("health of the slow server %.2f, of the failing server %.2f, of a healthy server %.2f",
			m.servers[0].health, m.server("b0").health, m.servers[1].health)
	}
}

func TestAnUnresponsiveServerIsEjectedOnlyAfterAHealthCheck(t *testing.T) {
	m := newTestManager(2)
	m.now = 4 * time.Second
	for _, s := range m.servers[1:] {
		m.report(s.id, 10, 0, 200*time.Millisecond)
	}
	m.checkUnresponsive()
	if !slices.Equal(m.commands.HealthCheck, []ServerID{"a0"}) || m.servers[0].ejected {
		t.Errorf("checked %v, want a0; a0 ejected: %v, want false", m.commands.HealthCheck, m.servers[0].ejected)
	}
	m.HandleHealthCheck(m.now, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected {
		t.Error("a0 is ejected although it passed a health check")
	}
	m.HandleHealthCheck(m.now, "a0", HealthCheckTimedOut, time.Second, -1)
	if !m.servers[0].ejected {
		t.Error("a0 is not ejected although its health check timed out")
	}
	m.HandleHealthCheck(m.now, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected || m.servers[0].health > 0.2 {
		t.Errorf("a0 is still ejected, or its health %.2f is above 0.2", m.servers[0].health)
	}
}
