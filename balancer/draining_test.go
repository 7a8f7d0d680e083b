package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDrainingServerIsWithdrawnAtOnce(t *testing.T) {
	m := newTestManager(2)
	commands := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if !slices.Equal(commands.Withdraw, []ServerID{"a0"}) || len(commands.Weights) != 0 {
		t.Errorf("withdrawn %v, want a0; weights %v, want none", commands.Withdraw, commands.Weights)
	}
}

func TestWithdrawalCountsOnlyMessagesToProxiesThatUseTheServer(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	m.servers[0].state = Draining
	for range 19 {
		m.proxies[1].messageTimes = append(m.proxies[1].messageTimes, 9*time.Second)
	}
	m.drainPending = true
	m.withdraw()
	if !slices.Equal(m.commands.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn %v, want a0", m.commands.Withdraw)
	}
	m.servers[2].state = Draining
	if m.drainReady() {
		t.Error("a drain is ready that needs a 20th message to a proxy within 10 s, although the limit for drains is 19")
	}
}

func TestRestoreWaitsForItsFirstWeight(t *testing.T) {
	m := newTestManager(2)
	m.servers[0].withdrawn = true
	m.servers[0].state = Removed
	delete(m.tables[0].publishedWeights, "a0")
	m.now = 4 * time.Second
	m.slowStartPause = 0
	for _, s := range m.servers[1:] {
		m.report(s.id, 10, 0, 200*time.Millisecond)
	}
	relisted := []Endpoint{{Server: "a0", Zone: "a", Weight: 1, Started: 4 * time.Second, RecentlyStarted: true}}
	if commands := m.HandleEndpointList(5*time.Second, false, relisted); len(commands.Restore) != 0 {
		t.Errorf("restored before the publication: %v", commands.Restore)
	}
	m.nextTick = 6 * time.Second
	commands := m.HandleTimer(6 * time.Second)
	if !slices.Equal(commands.Restore, []ServerID{"a0"}) || len(commands.Weights) == 0 || commands.Weights[0].Weight > 20 {
		t.Errorf("restored %v, want a0; weights %v, want the first at most 20", commands.Restore, commands.Weights)
	}
}

func TestRestoreDoesNotWaitForOtherProxiesOrTables(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	m.redistribution = changesUnpublished
	m.servers[0].withdrawn = true
	for range 18 {
		m.proxies[1].messageTimes = append(m.proxies[1].messageTimes, 9*time.Second)
	}
	if m.nextRestore() != m.servers[0] {
		t.Error("the restore waits for the messages of another proxy or for unpublished changes")
	}
	m.servers[0].decreasePending = true
	if m.nextRestore() != nil {
		t.Error("the server is restored before its old weight is lowered")
	}
}

// Drains without room are tried again once per tick, and also after the last assignment, which makes room for them.
func TestDrainsStartOnceTheLastProxyIsAssigned(t *testing.T) {
	m := managerWithUnassigned(1)
	m.drainGraceCommands = 1000
	m.queueLimits[urgentPriority] = 0
	m.queueLimits[drainPriority] = 0
	m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	m.drainPending = false
	m.queueLimits[drainPriority] = 1000
	if commands := m.HandleTimer(2*time.Second + time.Millisecond); len(commands.Assign) != 1 {
		t.Fatalf("assigned %v, want 1 assignment", commands.Assign)
	}
	if commands := m.HandleTimer(2*time.Second + 2*time.Millisecond); len(commands.Withdraw) != 1 {
		t.Errorf("withdrawn %v, want 1 server", commands.Withdraw)
	}
}

func TestServersAreWithdrawnFirstIfAssignmentsTakeLongerThanTheGrace(t *testing.T) {
	m := managerWithUnassigned(10)
	m.drainGraceCommands = 50
	commands := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if !slices.Equal(commands.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn %v, want a0", commands.Withdraw)
	}
}

func TestServersAreWithdrawnInTheOrderTheyWereListedAsDraining(t *testing.T) {
	m := newTestManager(4)
	m.sendTimeLimits[drainPriority] = 0
	m.queueLimits[drainPriority] = 0
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a3", Zone: "a", Weight: 1, State: Draining}})
	m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	m.sendTimeLimits[drainPriority] = 6
	m.queueLimits[drainPriority] = 6
	m.drainPending = true
	if commands := m.HandleTimer(3 * time.Second); !slices.Equal(commands.Withdraw, []ServerID{"a3"}) {
		t.Errorf("withdrawn %v, want only a3", commands.Withdraw)
	}
}

func TestDrainGraceLimitsAssignmentsBeforeDrains(t *testing.T) {
	withGrace := testSettings
	withGrace.DrainGrace = 3 * time.Second
	wantNear(t, "commands within the grace", New(1, withGrace).drainGraceCommands, 3*withGrace.CommandsPerSecond)
	wantNear(t, "commands without a stated grace", New(1, testSettings).drainGraceCommands, sendSecondsUrgent*testSettings.CommandsPerSecond)
}

// An ejected server must not be restored again and again while it does not respond.
func TestEjectedServerIsNotRestored(t *testing.T) {
	m := newTestManager(2)
	m.servers[0].withdrawn = true
	m.servers[0].ejected = true
	m.serverSetsValid = false
	if m.nextRestore() != nil {
		t.Error("an ejected server is restored although others respond")
	}
	for _, s := range m.servers {
		s.ejected = true
	}
	if m.nextRestore() != m.servers[0] {
		t.Error("no ejected server is restored although all servers are ejected")
	}
}

// Regression test: a withdrawal that found no room in the channel waited for the next tick.
func TestWaitingDrainsAreRetriedBeforeTheNextTick(t *testing.T) {
	m := newTestManager(2)
	m.queueLimits[drainPriority] = 0
	m.sendTimeLimits[drainPriority] = 0
	commands := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if want := time.Second + retryInterval; len(commands.Withdraw) != 0 || commands.NextTimer != want {
		t.Fatalf("withdrawn %v and the next timer at %v, want none and %v", commands.Withdraw, commands.NextTimer, want)
	}
	m.drainPending = false
	m.queueLimits[drainPriority] = 1000
	m.sendTimeLimits[drainPriority] = 1000
	if commands := m.HandleTimer(commands.NextTimer); !slices.Equal(commands.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn %v at the retry, want a0", commands.Withdraw)
	}
}

// Regression test: the state of a server that was off the list for a minute was deleted, and with it that the server was
// withdrawn. When it came back, it got a weight, and no proxy sent to it.
func TestAServerThatReturnsAfterItsStateWasDeletedIsRestored(t *testing.T) {
	m := newTestManager(2)
	m.now = time.Second
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Removed}})
	for second := 2 * time.Second; second < 2*removedRetention; second += time.Second {
		m.nextTick = second
		m.HandleTimer(second)
	}
	if m.server("a0") != nil {
		t.Fatal("the state of a0 is still there")
	}
	back := 2 * removedRetention
	restored := m.HandleEndpointList(back, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1}}).Restore
	restored = append(restored, m.HandleHealthCheck(back, "a0", HealthCheckPassed, time.Millisecond, inFlightUnknown).Restore...)
	m.nextTick = back + time.Second
	restored = append(restored, m.HandleTimer(m.nextTick).Restore...)
	if !slices.Equal(restored, []ServerID{"a0"}) || m.tables[0].publishedWeights["a0"] == 0 {
		t.Errorf("restored %v, want a0; its weight is %v", restored, m.tables[0].publishedWeights["a0"])
	}
}

func TestOnlyTheLatestWithdrawnServersAreKept(t *testing.T) {
	var w withdrawnServers
	for i := range maxWithdrawnServers + 2 {
		w.add(ServerID(fmt.Sprint(i)))
	}
	if w.remove("1") || !w.remove("2") || w.remove("2") || len(w.ids) != maxWithdrawnServers-1 || len(w.order) != len(w.ids) {
		t.Errorf("%d ids and an order of %d are kept, want %d and only those added last", len(w.ids), len(w.order), maxWithdrawnServers-1)
	}
}

func TestOnlyWithdrawnServersAreKeptAfterTheirStateIsDeleted(t *testing.T) {
	m := newTestManager(2)
	m.setWithdrawn(m.server("a1"), true)
	m.deleteServers(func(s *server) bool { return s.zone == 0 })
	for id, want := range map[ServerID]bool{"a0": false, "a1": true} {
		if s := m.addServer(Endpoint{Server: id, Zone: "a"}); s.withdrawn != want {
			t.Errorf("%s is back: withdrawn %v, want %v", id, s.withdrawn, want)
		}
	}
}
