package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestAProxyIsAssignedOnlyToATableWithEndpoints(t *testing.T) {
	m := newTestManager(2)
	if o := m.HandleProxyConnected(time.Second, 7, "a", 5); len(o.Assign) != 1 || o.Assign[0] != (TableAssignment{Proxy: 7}) {
		t.Errorf("assigned %v", o.Assign)
	}
	clear(m.tables[0].published)
	if o := m.HandleProxyConnected(time.Second, 8, "a", 5); len(o.Assign) != 0 {
		t.Errorf("assigned %v to an empty table", o.Assign)
	}
}

func TestAProxyIsNotAssignedToWarmingServersAlone(t *testing.T) {
	m := newTestManager(3)
	m.proxies = m.proxies[:1]
	m.servers[0].warmingUp = true
	for _, s := range m.servers {
		s.zone = 1 - s.zone
	}
	m.servers[1].ejected = true
	m.servers[2].ejected = true
	m.tables[1].published = map[ServerID]float64{"a0": 100}
	if o := m.HandleProxyConnected(time.Millisecond, 9, "b", 40); len(o.Assign) > 0 {
		t.Error("assigned before the second is over")
	}
	m.nextTick = time.Second
	m.HandleTimer(time.Second)
	sum := 0.0
	for _, w := range m.tables[1].published {
		sum += w
	}
	if m.tables[1].published["a0"] > 0.2*sum {
		t.Errorf("assigned to %v", m.tables[1].published)
	}
}

// A release drains servers while another manager is lost: its proxies connect one by one, and their tables may still name
// the servers that drain.
func TestProxiesOfALostManagerAreAssignedWhileServersDrain(t *testing.T) {
	m := newTestManager(4)
	m.nextTick = 2 * time.Second
	m.servers[1].warmingUp = true
	m.servers[1].warmUpFrom = 0
	m.tables[0].published["a1"] = 10
	m.warmingShare = 0.1
	drained := Endpoint{Server: "a0", Zone: "a", Weight: 1, State: Draining}
	if o := m.HandleEndpointList(time.Second, false, []Endpoint{drained}); len(o.Withdraw) != 1 {
		t.Fatalf("withdrawn %v", o.Withdraw)
	}
	for i := range 20 {
		now := time.Second + time.Duration(i+1)*20*time.Millisecond
		if o := m.HandleProxyConnected(now, ProxyID(10+i), "a", 5); len(o.Assign) != 1 {
			t.Fatalf("proxy %d, which connected at %v, is not assigned at once: %v", 10+i, now, o.Assign)
		}
	}
}

func TestAProxyWaitsForTheNextTickWhileServersWarmUpAndNoneDrains(t *testing.T) {
	m := newTestManager(4)
	m.nextTick = 2 * time.Second
	m.servers[1].warmingUp = true
	m.warmingShare = 0.9
	if o := m.HandleProxyConnected(time.Second, 10, "a", 5); len(o.Assign) != 0 {
		t.Errorf("assigned to a table that was distributed without its requests: %v", o.Assign)
	}
	if o := m.HandleTimer(2 * time.Second); len(o.Assign) != 1 {
		t.Errorf("not assigned in the next second: %v", o.Assign)
	}
}

func TestAProxyWaitsForATableColderThanTheFleetAlsoWhileServersDrain(t *testing.T) {
	m := newTestManager(4)
	m.servers[1].warmingUp = true
	m.warmingShare = 0.1
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if o := m.HandleProxyConnected(time.Second+time.Millisecond, 10, "a", 5); len(o.Assign) != 0 {
		t.Errorf("assigned to a table with a third of warming servers: %v", o.Assign)
	}
	if o := m.HandleProxyConnected(time.Second+2*time.Millisecond, 11, "b", 5); len(o.Assign) != 1 {
		t.Error("the other zone's table makes wait")
	}
}

func TestTheFirstProxyConnectedIsAssignedFirst(t *testing.T) {
	m := newTestManager(2)
	m.sendableSoon[urgentPriority] = 0
	m.queueLimits[urgentPriority] = 0
	m.HandleProxyConnected(time.Second, 9, "a", 5)
	m.HandleProxyConnected(time.Second+time.Millisecond, 8, "a", 5)
	m.sendableSoon[urgentPriority] = 8
	m.queueLimits[urgentPriority] = 8
	if o := m.HandleTimer(time.Second + 2*time.Millisecond); len(o.Assign) != 1 || o.Assign[0].Proxy != 9 {
		t.Errorf("assigned %v", o.Assign)
	}
}

func TestUnassignedProxiesAreAssignedBeforeServersAreWithdrawn(t *testing.T) {
	m := managerWithUnassigned(10)
	if len(m.unassigned) != 10 {
		t.Fatalf("%d proxies wait for the distribution", len(m.unassigned))
	}
	m.drainGraceCommands = 1000
	o := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if len(o.Assign) != 10 || len(o.Withdraw) != 0 {
		t.Errorf("%d assigned, %v withdrawn", len(o.Assign), o.Withdraw)
	}
	for _, l := range o.Weights {
		if l.Server == "a0" && l.Weight > 0 {
			t.Errorf("assigned to a table with the server that drains: %v", l)
		}
	}
	if m.tables[0].published["a0"] > 0 {
		t.Error("the table that they are assigned to names the server that drains")
	}
	if o := m.HandleTimer(2*time.Second + time.Millisecond); !slices.Equal(o.Withdraw, []ServerID{"a0"}) {
		t.Errorf("withdrawn at the next input: %v", o.Withdraw)
	}
}

func TestAssignmentsBeforeDrainsHaveTheRoomOfDrains(t *testing.T) {
	m := managerWithUnassigned(1)
	m.drainGraceCommands = 1000
	m.sendableSoon[urgentPriority] = 0
	m.queueLimits[urgentPriority] = 0
	if o := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}}); len(o.Assign) != 1 {
		t.Errorf("assigned %v", o.Assign)
	}
}

func TestTablesLoseLeavingServersBeforeProxiesAreAssigned(t *testing.T) {
	m := managerWithUnassigned(1)
	m.drainGraceCommands = 1000
	m.sendableSoon[normalPriority] = 0
	m.queueLimits[normalPriority] = 0
	m.tables[0].published["a1"] = 20 // the warming server's part is as it should be
	o := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if len(o.Assign) != 1 || m.tables[0].published["a0"] > 0 {
		t.Errorf("assigned %v to a table with %v for the server that drains", o.Assign, m.tables[0].published["a0"])
	}
}

// The watch may report a connection anew: without its usage the limit would open, the proxy would change its partition
// and close all connections, and its messages would be counted from nothing.
func TestAReconnectedProxyKeepsItsUsage(t *testing.T) {
	m := newTestManager(2)
	m.now = 500 * time.Millisecond
	before, _ := m.traffic()
	m.partitionsPerZone = 2
	m.tables[1].published = m.tables[0].published
	m.tables = append(m.tables, m.tables...)
	m.proxies[0].partition = 1
	m.proxies[1].partition = 2
	m.proxies[1].messageTimes = []time.Duration{1, 2}
	for p := range ProxyID(2) {
		m.HandleProxyConnected(m.now, p, m.zones[p], 1)
	}
	if asked, _ := m.traffic(); before == 0 || asked != before || m.proxies[0].partition != 1 || len(m.proxies[1].messageTimes) < 2 {
		t.Errorf("%v requests a second asked, %v before, partition %d, sent %v", asked, before, m.proxies[0].partition, m.proxies[1].messageTimes)
	}
}

// Thousands may wait after a restart; no input goes through them while no table that they wait for fits.
func TestUnassignedProxiesAreGoneThroughOnlyWhereSomeTableFits(t *testing.T) {
	m := newTestManager(2)
	m.proxies[0].assigned = false
	m.sendableSoon[urgentPriority] = 7
	m.queueLimits[urgentPriority] = 7
	if some := m.assignableProxies(m.available(urgentPriority)); some != nil || m.nextAssignment() != nil {
		t.Error("gone through for a table of 3 commands and 5 of the message")
	}
	m.sendableSoon[urgentPriority] = 8
	m.queueLimits[urgentPriority] = 8
	if m.nextAssignment() != m.proxies[0] {
		t.Error("not assigned though its table fits")
	}
	m.setWithdrawn(m.servers[1], true)
	if m.nextAssignment() != nil {
		t.Error("a withdrawn server's weight is not counted")
	}
}

// A proxy that is reported anew after a gap in the watch may never have disconnected, and holds the table that commands
// are sent to before it is assigned again.
func TestAReconnectedProxyStillCosts(t *testing.T) {
	m := newTestManager(4)
	m.updatePlacement()
	m.partitioned = false // so that nobody is assigned meanwhile
	before, held := len(m.tableProxies(0)), len(m.holders(m.server("a0")))
	m.HandleProxyConnected(m.now+1, 0, "a", 5)
	if p := m.proxy(0); p.assigned {
		t.Fatal("assigned before its table was sent")
	}
	if got := len(m.tableProxies(0)); got != before || before == 0 {
		t.Errorf("commands are reserved for %d proxies, not %d", got, before)
	}
	if got := len(m.holders(m.server("a0"))); got != held {
		t.Errorf("a withdrawal is reserved for %d proxies, not %d", got, held)
	}
	m.HandleProxyDisconnected(m.now+1, 0)
	m.HandleProxyConnected(m.now+1, 0, "a", 5)
	if got := len(m.tableProxies(0)); got != before-1 {
		t.Errorf("who left is counted: %d", got)
	}
}
