package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestProxyIsAssignedOnlyToTableWithEndpoints(t *testing.T) {
	m := newTestManager(2)
	if got := m.HandleProxyConnected(time.Second, 7, "a", 5); len(got.Assign) != 1 || got.Assign[0] != (TableAssignment{Proxy: 7}) {
		t.Errorf("assigned %v, want proxy 7 to table 0", got.Assign)
	}
	clear(m.tables[0].publishedWeights)
	if commands := m.HandleProxyConnected(time.Second, 8, "a", 5); len(commands.Assign) != 0 {
		t.Errorf("assigned %v to an empty table", commands.Assign)
	}
}

func TestProxyIsNotAssignedToWarmingServersOnly(t *testing.T) {
	m := newTestManager(3)
	m.proxies = m.proxies[:1]
	m.servers[0].warmingUp = true
	for _, s := range m.servers {
		s.zone = 1 - s.zone
	}
	m.servers[1].ejected = true
	m.servers[2].ejected = true
	m.tables[1].publishedWeights = map[ServerID]float64{"a0": 100}
	if commands := m.HandleProxyConnected(time.Millisecond, 9, "b", 40); len(commands.Assign) > 0 {
		t.Error("the proxy is assigned before the next tick")
	}
	m.nextTick = time.Second
	m.HandleTimer(time.Second)
	sum := 0.0
	for _, w := range m.tables[1].publishedWeights {
		sum += w
	}
	if m.tables[1].publishedWeights["a0"] > 0.2*sum {
		t.Errorf("warming server a0 has more than 0.2 of the weight of table 1: %v", m.tables[1].publishedWeights)
	}
}

// If a manager is lost during a release, its proxies connect one by one and their previous tables may still name the
// draining servers. They must be assigned at once.
func TestProxiesOfLostManagerAreAssignedWhileServersDrain(t *testing.T) {
	m := newTestManager(4)
	m.nextTick = 2 * time.Second
	m.servers[1].warmingUp = true
	m.servers[1].warmUpFrom = 0
	m.tables[0].publishedWeights["a1"] = 10
	m.fleetWarmingShare = 0.1
	draining := Endpoint{Server: "a0", Zone: "a", Weight: 1, State: Draining}
	if commands := m.HandleEndpointList(time.Second, false, []Endpoint{draining}); len(commands.Withdraw) != 1 {
		t.Fatalf("withdrawn %v, want a0", commands.Withdraw)
	}
	for i := range 20 {
		now := time.Second + time.Duration(i+1)*20*time.Millisecond
		if commands := m.HandleProxyConnected(now, ProxyID(10+i), "a", 5); len(commands.Assign) != 1 {
			t.Fatalf("proxy %d connected at %v and was not assigned at once: assigned %v", 10+i, now, commands.Assign)
		}
	}
}

func TestProxyWaitsForNextTickWhileServersWarmUpAndNoneDrains(t *testing.T) {
	m := newTestManager(4)
	m.nextTick = 2 * time.Second
	m.servers[1].warmingUp = true
	m.fleetWarmingShare = 0.9
	if commands := m.HandleProxyConnected(time.Second, 10, "a", 5); len(commands.Assign) != 0 {
		t.Errorf("assigned to a table that does not account for the proxy's requests yet: %v", commands.Assign)
	}
	if commands := m.HandleTimer(2 * time.Second); len(commands.Assign) != 1 {
		t.Errorf("assigned at the next tick: %v, want 1 assignment", commands.Assign)
	}
}

func TestProxyWaitsForTableWithTooManyWarmingServersEvenDuringDrains(t *testing.T) {
	m := newTestManager(4)
	m.servers[1].warmingUp = true
	m.fleetWarmingShare = 0.1
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if commands := m.HandleProxyConnected(time.Second+time.Millisecond, 10, "a", 5); len(commands.Assign) != 0 {
		t.Errorf("assigned to a table in which a third of the servers is warming up: %v", commands.Assign)
	}
	if commands := m.HandleProxyConnected(time.Second+2*time.Millisecond, 11, "b", 5); len(commands.Assign) != 1 {
		t.Error("the proxy waits although the table of its own zone has no warming server")
	}
}

func TestFirstConnectedProxyIsAssignedFirst(t *testing.T) {
	m := newTestManager(2)
	m.sendTimeLimits[urgentPriority] = 0
	m.queueLimits[urgentPriority] = 0
	m.HandleProxyConnected(time.Second, 9, "a", 5)
	m.HandleProxyConnected(time.Second+time.Millisecond, 8, "a", 5)
	m.sendTimeLimits[urgentPriority] = 8
	m.queueLimits[urgentPriority] = 8
	if commands := m.HandleTimer(time.Second + 2*time.Millisecond); len(commands.Assign) != 1 || commands.Assign[0].Proxy != 9 {
		t.Errorf("assigned %v, want only proxy 9, which connected first", commands.Assign)
	}
}

func TestUnassignedProxiesAreAssignedBeforeServersAreWithdrawn(t *testing.T) {
	m := managerWithUnassigned(10)
	if len(m.unassigned) != 10 {
		t.Fatalf("%d proxies wait for the distribution, want 10", len(m.unassigned))
	}
	m.drainGraceCommands = 1000
	commands := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if len(commands.Assign) != 10 || len(commands.Withdraw) != 0 {
		t.Errorf("%d proxies assigned, want 10; servers %v withdrawn, want none", len(commands.Assign), commands.Withdraw)
	}
	for _, weight := range commands.Weights {
		if weight.Server == "a0" && weight.Weight > 0 {
			t.Errorf("the assigned table names the draining server: %v", weight)
		}
	}
	if m.tables[0].publishedWeights["a0"] > 0 {
		t.Error("the published weights of the assigned table name the draining server")
	}
	if commands := m.HandleTimer(2*time.Second + time.Millisecond); !slices.Equal(commands.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn at the next input: %v, want a0", commands.Withdraw)
	}
}

func TestAssignmentsBeforeDrainsUseTheChannelLimitsOfDrains(t *testing.T) {
	m := managerWithUnassigned(1)
	m.drainGraceCommands = 1000
	m.sendTimeLimits[urgentPriority] = 0
	m.queueLimits[urgentPriority] = 0
	if got := m.HandleEndpointList(2*time.Second, false,
		[]Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}}); len(got.Assign) != 1 {
		t.Errorf("assigned %v, want 1 assignment", got.Assign)
	}
}

func TestLeavingServersAreRemovedFromTablesBeforeProxiesAreAssigned(t *testing.T) {
	m := managerWithUnassigned(1)
	m.drainGraceCommands = 1000
	m.sendTimeLimits[normalPriority] = 0
	m.queueLimits[normalPriority] = 0
	m.tables[0].publishedWeights["a1"] = 20 // so that warming server a1 is not overloaded
	commands := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if len(commands.Assign) != 1 || m.tables[0].publishedWeights["a0"] > 0 {
		t.Errorf("assigned %v, want 1 assignment; weight of the draining server %v, want 0", commands.Assign, m.tables[0].publishedWeights["a0"])
	}
}

// A connected proxy may be reported again. If the manager discarded the proxy's state, it would lift the admission limit
// for lack of usage, the proxy would change its partition and close all its connections, and its message count would
// restart at 0.
func TestReconnectedProxyKeepsItsUsage(t *testing.T) {
	m := newTestManager(2)
	m.now = 500 * time.Millisecond
	before, _ := m.offeredAndDelivered()
	m.partitionsPerZone = 2
	m.tables[1].publishedWeights = m.tables[0].publishedWeights
	m.tables = append(m.tables, m.tables...)
	m.proxies[0].partition = 1
	m.proxies[1].partition = 2
	m.proxies[1].messageTimes = []time.Duration{1, 2}
	for p := range ProxyID(2) {
		m.HandleProxyConnected(m.now, p, m.zones[p], 1)
	}
	if offered, _ := m.offeredAndDelivered(); before == 0 || offered != before || m.proxies[0].partition != 1 || len(m.proxies[1].messageTimes) < 2 {
		t.Errorf("%v requests/s offered, want %v; partition %d, want 1; message times %v, want at least 2",
			offered, before, m.proxies[0].partition, m.proxies[1].messageTimes)
	}
}

// Thousands of proxies may be unassigned after a restart. Inputs must not iterate over them while no assignment fits.
func TestUnassignedProxiesAreVisitedOnlyIfAnAssignmentFits(t *testing.T) {
	m := newTestManager(2)
	m.proxies[0].assigned = false
	m.sendTimeLimits[urgentPriority] = 7
	m.queueLimits[urgentPriority] = 7
	if visited := m.assignableProxies(m.availableCapacity(urgentPriority)); visited != nil || m.nextAssignment() != nil {
		t.Error("the proxies are visited with room for 7 commands, although an assignment costs 3 and its message 5")
	}
	m.sendTimeLimits[urgentPriority] = 8
	m.queueLimits[urgentPriority] = 8
	if m.nextAssignment() != m.proxies[0] {
		t.Error("the proxy is not assigned although its assignment fits")
	}
	m.setWithdrawn(m.servers[1], true)
	if m.nextAssignment() != nil {
		t.Error("the cost of the assignment does not include the withdrawn server")
	}
}

// A proxy that is reported again may never have disconnected. It then still uses its table, so until it is assigned
// again it gets the commands for that table and must count for their cost.
func TestReconnectedProxyCountsForTheCostOfItsTable(t *testing.T) {
	m := newTestManager(4)
	m.updateTableIndex()
	m.partitioned = false // so that no proxy is assigned
	before, using := len(m.tableProxies(0)), len(m.proxiesUsing(m.server("a0")))
	m.HandleProxyConnected(m.now+1, 0, "a", 5)
	if p := m.proxy(0); p.assigned {
		t.Fatal("the proxy is already assigned")
	}
	if got := len(m.tableProxies(0)); got != before || before == 0 {
		t.Errorf("commands are reserved for %d proxies, want %d, which must not be 0", got, before)
	}
	if got := len(m.proxiesUsing(m.server("a0"))); got != using {
		t.Errorf("a withdrawal is reserved for %d proxies, want %d", got, using)
	}
	m.HandleProxyDisconnected(m.now+1, 0)
	m.HandleProxyConnected(m.now+1, 0, "a", 5)
	if got := len(m.tableProxies(0)); got != before-1 {
		t.Errorf("after a disconnection, commands are reserved for %d proxies, want %d", got, before-1)
	}
}
