package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestADrainingServerIsWithdrawnAtOnce(t *testing.T) {
	m := newTestManager(2)
	o := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if !slices.Equal(o.Withdraw, []ServerID{"a0"}) || len(o.Weights) != 0 {
		t.Errorf("withdrawn %v, weights %v", o.Withdraw, o.Weights)
	}
}

func TestAWithdrawalNeedsMessagesOfItsHoldersOnly(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	m.servers[0].state = Draining
	for range 19 {
		m.proxies[1].messageTimes = append(m.proxies[1].messageTimes, 9*time.Second)
	}
	m.drainPending = true
	m.withdraw()
	if !slices.Equal(m.commands.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn %v", m.commands.Withdraw)
	}
	m.servers[2].state = Draining
	if m.drainReady() {
		t.Error("a 20th message in 10 s")
	}
}

func TestARestoreWaitsForItsFirstWeight(t *testing.T) {
	m := newTestManager(2)
	m.servers[0].withdrawn = true
	m.servers[0].state = Removed
	delete(m.tables[0].published, "a0")
	m.now = 4 * time.Second
	m.slowStartPause = 0
	for _, s := range m.servers[1:] {
		m.report(s.id, 10, 0, 200*time.Millisecond)
	}
	back := []Endpoint{{Server: "a0", Zone: "a", Weight: 1, Started: 4 * time.Second, RecentlyStarted: true}}
	if o := m.HandleEndpointList(5*time.Second, false, back); len(o.Restore) != 0 {
		t.Errorf("restored before the publication: %v", o.Restore)
	}
	m.nextTick = 6 * time.Second
	o := m.HandleTimer(6 * time.Second)
	if !slices.Equal(o.Restore, []ServerID{"a0"}) || len(o.Weights) == 0 || o.Weights[0].Weight > 20 {
		t.Errorf("restored %v with %v", o.Restore, o.Weights)
	}
}

func TestARestoreDoesNotWaitForOtherProxiesOrTables(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	m.redistribution = changesUnpublished
	m.servers[0].withdrawn = true
	for range 18 {
		m.proxies[1].messageTimes = append(m.proxies[1].messageTimes, 9*time.Second)
	}
	if m.nextRestore() != m.servers[0] {
		t.Error("held up")
	}
	m.servers[0].decreasePending = true
	if m.nextRestore() != nil {
		t.Error("restored at its old weight")
	}
}

// Drains without room are looked at once a tick; the last assignment makes room for them.
func TestDrainsGoOnceTheLastProxyIsAssigned(t *testing.T) {
	m := managerWithUnassigned(1)
	m.drainGraceCommands = 1000
	m.queueLimits[urgentPriority] = 0
	m.queueLimits[drainPriority] = 0
	m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	m.drainPending = false
	m.queueLimits[drainPriority] = 1000
	if o := m.HandleTimer(2*time.Second + time.Millisecond); len(o.Assign) != 1 {
		t.Fatalf("assigned %v", o.Assign)
	}
	if o := m.HandleTimer(2*time.Second + 2*time.Millisecond); len(o.Withdraw) != 1 {
		t.Errorf("withdrawn %v", o.Withdraw)
	}
}

func TestServersAreWithdrawnFirstWhereAssignmentsTakeLongerThanTheGrace(t *testing.T) {
	m := managerWithUnassigned(10)
	m.drainGraceCommands = 50
	o := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if !slices.Equal(o.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn %v", o.Withdraw)
	}
}

func TestServersAreWithdrawnInTheOrderInWhichTheListNamedThem(t *testing.T) {
	m := newTestManager(4)
	m.sendableSoon[drainPriority] = 0
	m.queueLimits[drainPriority] = 0
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a3", Zone: "a", Weight: 1, State: Draining}})
	m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	m.sendableSoon[drainPriority] = 6
	m.queueLimits[drainPriority] = 6
	m.drainPending = true
	if o := m.HandleTimer(3 * time.Second); !slices.Equal(o.Withdraw, []ServerID{"a3"}) {
		t.Errorf("withdrawn %v", o.Withdraw)
	}
}

func TestTheGraceBoundsWhatIsAssignedFirst(t *testing.T) {
	stated := testSettings
	stated.DrainGrace = 3 * time.Second
	wantNear(t, "commands within the grace", New(1, stated).drainGraceCommands, 3*stated.CommandsPerSecond)
	wantNear(t, "commands where none is stated", New(1, testSettings).drainGraceCommands, sendSecondsUrgent*testSettings.CommandsPerSecond)
}

// A server that does not answer must not be restored again and again.
func TestAnEjectedServerIsNotRestored(t *testing.T) {
	m := newTestManager(2)
	m.servers[0].withdrawn = true
	m.servers[0].ejected = true
	m.serverSetsValid = false
	if m.nextRestore() != nil {
		t.Error("it is let back in")
	}
	for _, s := range m.servers {
		s.ejected = true
	}
	if m.nextRestore() != m.servers[0] {
		t.Error("with none that answers it is not let back in")
	}
}
