package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestARemovedServerThatMayServeIsKeptUntilAHealthCheckFails(t *testing.T) {
	m := newTestManager(2)
	m.removedMayServe = true
	o := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Removed}})
	if len(o.Withdraw) != 0 || !slices.Equal(o.HealthCheck, []ServerID{"a0"}) || !m.mayServe(m.servers[0]) {
		t.Errorf("withdrawn %v, checked %v", o.Withdraw, o.HealthCheck)
	}
	m.HandleHealthCheck(time.Second, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected {
		t.Error("out though it answers")
	}
	m.HandleHealthCheck(time.Second, "a0", HealthCheckTimedOut, time.Millisecond, -1)
	if !m.servers[0].ejected {
		t.Error("not out though the list and a health check agree")
	}
	m.HandleHealthCheck(3*time.Second, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected || !m.servers[0].warmingUp {
		t.Error("one that may be a fresh process does not warm-up")
	}
}

func TestANewServerIsCheckedBeforeItGetsRequests(t *testing.T) {
	m := newTestManager(2)
	m.listReceived = true
	o := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "ghost", Zone: "a", Weight: 1}})
	if !slices.Equal(o.HealthCheck, []ServerID{"ghost"}) || !m.server("ghost").ejected {
		t.Errorf("checked %v", o.HealthCheck)
	}
	m.HandleHealthCheck(time.Second, "ghost", HealthCheckRejected, time.Millisecond, -1)
	if !m.server("ghost").ejected {
		t.Error("in without an answer")
	}
	m.HandleHealthCheck(time.Second, "ghost", HealthCheckPassed, time.Millisecond, -1)
	if m.server("ghost").ejected {
		t.Error("out though it answers")
	}
}

func TestEjectionNeverTakesTheLastServer(t *testing.T) {
	m := newTestManager(2)
	for _, s := range m.servers {
		s.ejected = true
	}
	m.redistribute()
	if len(m.tables[0].target) == 0 || len(m.tables[1].target) == 0 {
		t.Error("a zone table lost its last server")
	}
}

func TestHealthFallsForSlowAndForFailingServers(t *testing.T) {
	m := newTestManager(4)
	for _, s := range m.servers {
		m.report(s.id, 10, 0, 200*time.Millisecond)
	}
	m.report("a0", 10, 0, 3*time.Second)
	m.report("b0", 10, 9, 200*time.Millisecond)
	m.updateServerHealth()
	if m.servers[0].health >= 1 || m.server("b0").health >= 1 || m.servers[1].health != 1 || m.redistribution != healthChanged {
		t.Errorf("slow %.2f, failing %.2f, sound %.2f", m.servers[0].health, m.server("b0").health, m.servers[1].health)
	}
}

func TestAnUnresponsiveServerIsOnlyChecked(t *testing.T) {
	m := newTestManager(2)
	m.now = 4 * time.Second
	for _, s := range m.servers[1:] {
		m.report(s.id, 10, 0, 200*time.Millisecond)
	}
	m.checkUnresponsive()
	if !slices.Equal(m.commands.HealthCheck, []ServerID{"a0"}) || m.servers[0].ejected {
		t.Errorf("checked %v, out %v", m.commands.HealthCheck, m.servers[0].ejected)
	}
	m.HandleHealthCheck(m.now, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected {
		t.Error("out though it answered")
	}
	m.HandleHealthCheck(m.now, "a0", HealthCheckTimedOut, time.Second, -1)
	if !m.servers[0].ejected {
		t.Error("not out though silent to a health check")
	}
	m.HandleHealthCheck(m.now, "a0", HealthCheckPassed, time.Millisecond, -1)
	if m.servers[0].ejected || m.servers[0].health > 0.2 {
		t.Errorf("back with health %.2f", m.servers[0].health)
	}
}
