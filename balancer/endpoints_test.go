package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestARestartedServersWeightIsLoweredAtOnce(t *testing.T) {
	m := newTestManager(3)
	m.now = 20 * time.Second
	o := m.HandleEndpointList(m.now, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, Started: 18 * time.Second, RecentlyStarted: true}})
	if i := slices.IndexFunc(o.Weights, func(l EndpointWeight) bool { return l.Server == "a0" }); i < 0 || o.Weights[i].Weight > 30 {
		t.Errorf("no low weight in %v", o.Weights)
	}
}

func TestAServerThatStartedBeforeTheManagerIsWarmingUp(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].listedStart = math.MinInt64
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, Started: -2 * time.Second, RecentlyStarted: true}})
	if !m.servers[0].warmingUp {
		t.Error("a server that started before this manager did is held for warm")
	}
}

func TestTheEndpointListIsPolledAgainASecondAfterAnError(t *testing.T) {
	m := newTestManager(2)
	m.pollsEndpoints = true
	m.subscribed = true
	if o := m.HandleEndpointListError(time.Second); o.Subscribe {
		t.Error("asked at once")
	}
	if o := m.HandleTimer(2 * time.Second); !o.Subscribe {
		t.Error("not asked again")
	}
}

func TestACompleteListRemovesServersThatItDoesNotName(t *testing.T) {
	m := newTestManager(2)
	o := m.HandleEndpointList(time.Second, true, []Endpoint{{Server: "a0", Zone: "a", Weight: 1}, {Server: "b0", Zone: "b", Weight: 1}})
	if !slices.Equal(o.Withdraw, []ServerID{"a1", "b1"}) {
		t.Errorf("withdrawn %v", o.Withdraw)
	}
}

func TestAServerListedAgainStartsNoWarmUp(t *testing.T) {
	m := newTestManager(2)
	m.removedMayServe = true
	m.servers[0].state = Removed
	m.servers[0].listedStart = -time.Hour
	m.HandleEndpointList(time.Second, true, []Endpoint{{Server: "a0", Zone: "b", Weight: 9}})
	if s := m.servers[0]; s.state != Ready || s.warmingUp || s.zone != 0 || s.weight != 1 {
		t.Errorf("%+v", *s)
	}
}

// Memory and tables must not grow as servers are replaced, and a server that may come back must not be forgotten.
func TestARemovedServerIsForgottenInTime(t *testing.T) {
	m := newTestManager(3)
	m.now = 10 * time.Second
	gone := m.server("a0")
	m.setListedState(gone, Removed)
	gone.withdrawn = true
	m.tables[0].target = map[ServerID]float64{"a1": 0.5, "a2": 0.5}
	if moves := m.weightChanges(0); slices.ContainsFunc(moves, func(l tableChange) bool { return l.Server == "a0" }) {
		t.Errorf("its weight is removed at once: %v", moves)
	}
	m.now += removedRetention + 1
	moves := m.weightChanges(0)
	i := slices.IndexFunc(moves, func(l tableChange) bool { return l.Server == "a0" })
	if i < 0 || moves[i].Weight != 0 {
		t.Fatalf("its weight stays: %v", moves)
	}
	m.tick()
	if !m.KnowsServer("a0") {
		t.Error("forgotten while a table names it")
	}
	delete(m.tables[0].published, "a0")
	m.placementValid = false
	m.tick()
	if m.KnowsServer("a0") || !m.KnowsServer("a1") {
		t.Error("kept, or others forgotten")
	}
}

func TestAServerThatCameBackIsKept(t *testing.T) {
	m := newTestManager(2)
	m.setListedState(m.server("a0"), Removed)
	m.setListedState(m.server("a0"), Ready)
	m.now += 2 * removedRetention
	if m.forgettable(m.server("a0")) {
		t.Error("past though it is listed")
	}
}
