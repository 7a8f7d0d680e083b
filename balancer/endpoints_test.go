package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestTheWeightOfARestartedServerIsLoweredAtOnce(t *testing.T) {
	m := newTestManager(3)
	m.now = 20 * time.Second
	commands := m.HandleEndpointList(m.now, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, Started: 18 * time.Second, RecentlyStarted: true}})
	if i := slices.IndexFunc(commands.Weights, func(weight EndpointWeight) bool { return weight.Server == "a0" }); i < 0 ||
		commands.Weights[i].Weight > 30 {
		t.Errorf("got weights %v, want a weight of at most 30 for a0", commands.Weights)
	}
}

func TestAServerThatStartedBeforeTheManagerIsWarmingUp(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].listedStart = math.MinInt64
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, Started: -2 * time.Second, RecentlyStarted: true}})
	if !m.servers[0].warmingUp {
		t.Error("a server that started shortly before the manager is not warming up")
	}
}

func TestTheEndpointListIsPolledAgainASecondAfterAnError(t *testing.T) {
	m := newTestManager(2)
	m.pollsEndpoints = true
	m.subscribed = true
	if commands := m.HandleEndpointListError(time.Second); commands.Subscribe {
		t.Error("the manager subscribes again at once after an error")
	}
	if commands := m.HandleTimer(2 * time.Second); !commands.Subscribe {
		t.Error("the manager does not subscribe again a second after the error")
	}
}

func TestACompleteListRemovesServersThatItDoesNotName(t *testing.T) {
	m := newTestManager(2)
	commands := m.HandleEndpointList(time.Second, true, []Endpoint{{Server: "a0", Zone: "a", Weight: 1}, {Server: "b0", Zone: "b", Weight: 1}})
	if !slices.Equal(commands.Withdraw, []ServerID{"a1", "b1"}) {
		t.Errorf("withdrawn %v, want a1 and b1", commands.Withdraw)
	}
}

func TestAServerListedAgainDoesNotWarmUp(t *testing.T) {
	m := newTestManager(2)
	m.removedMayServe = true
	m.servers[0].state = Removed
	m.servers[0].listedStart = -time.Hour
	m.HandleEndpointList(time.Second, true, []Endpoint{{Server: "a0", Zone: "b", Weight: 9}})
	if s := m.servers[0]; s.state != Ready || s.warmingUp || s.zone != 0 || s.weight != 1 {
		t.Errorf("got %+v, want a ready server that is not warming up, with its zone and weight unchanged", *s)
	}
}

// Memory and tables must not grow as servers are replaced, but the state of a server that may return must be kept.
func TestTheStateOfARemovedServerIsDeletedAfterTheRetention(t *testing.T) {
	m := newTestManager(3)
	m.now = 10 * time.Second
	removed := m.server("a0")
	m.setListedState(removed, Removed)
	removed.withdrawn = true
	m.tables[0].targetShares = map[ServerID]float64{"a1": 0.5, "a2": 0.5}
	if changes := m.weightChanges(0); slices.ContainsFunc(changes, func(change tableChange) bool { return change.Server == "a0" }) {
		t.Errorf("the weight of a removed server is removed at once: %v", changes)
	}
	m.now += removedRetention + 1
	changes := m.weightChanges(0)
	i := slices.IndexFunc(changes, func(change tableChange) bool { return change.Server == "a0" })
	if i < 0 || changes[i].Weight != 0 {
		t.Fatalf("the weight of a removed server is kept after the retention time: %v", changes)
	}
	m.tick()
	if !m.KnowsServer("a0") {
		t.Error("the state of a removed server is deleted while a table still names it")
	}
	delete(m.tables[0].publishedWeights, "a0")
	m.tableIndexValid = false
	m.tick()
	if m.KnowsServer("a0") || !m.KnowsServer("a1") {
		t.Error("the state of a removed server is kept, or the state of another one is deleted")
	}
}

func TestTheStateOfAServerThatReturnedIsKept(t *testing.T) {
	m := newTestManager(2)
	m.setListedState(m.server("a0"), Removed)
	m.setListedState(m.server("a0"), Ready)
	m.now += 2 * removedRetention
	if m.removalExpired(m.server("a0")) {
		t.Error("a server counts as expired although it is listed again")
	}
}
