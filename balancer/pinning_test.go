package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestAPinSetsTheWeightsOfTablesAndHoldsThem(t *testing.T) {
	m := newTestManager(3)
	m.now = time.Second
	commands := m.pinAt(10, 20.5, 30)
	if len(commands.Weights) != 3 || len(commands.AdmissionLevels) != 1 || commands.AdmissionLevels[0].Amount != 0.5 {
		t.Fatalf("got commands %+v, want three weights and one admission level of 0.5", commands)
	}
	if weights := m.tables[0].publishedWeights; weights["a0"] != 10 || weights["a1"] != 20.5 || weights["a2"] != 30 {
		t.Errorf("got published weights %v, want the pinned weights 10, 20.5 and 30", weights)
	}
	m.servers[1].health = 0.1
	m.proxies[0].usage[0][0].value = 90
	m.nextTick = 2 * time.Second
	if commands := m.HandleTimer(2 * time.Second); commands.Count() > 0 {
		t.Errorf("got commands while the tables are pinned: %+v", commands)
	}
}

func TestRulesOverrideAPin(t *testing.T) {
	m := newTestManager(3)
	m.now = time.Second
	m.pinAt(10, 20, 30)
	commands := m.HandleEndpointList(2*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Draining}})
	if !slices.Equal(commands.Withdraw, []ServerID{"a0"}) {
		t.Errorf("a0 drains but is not withdrawn: %+v", commands)
	}
	m.HandleEndpointList(3*time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1}})
	m.nextTick = 4 * time.Second
	if len(m.HandleTimer(4*time.Second).Restore) > 0 {
		t.Error("a server that was drained while the tables are pinned is restored")
	}
	commands = m.HandleEndpointList(5*time.Second, false, []Endpoint{{Server: "a1", Zone: "a", Weight: 1, Started: 5 * time.Second, RecentlyStarted: true}})
	if i := slices.IndexFunc(commands.Weights, func(weight EndpointWeight) bool { return weight.Server == "a1" }); i < 0 ||
		commands.Weights[i].Weight > 5 {
		t.Errorf("a warming server keeps its pinned weight: %+v", commands)
	}
	commands = m.HandleEndpointList(6*time.Second, false, []Endpoint{{Server: "a1", Zone: "a", State: Removed}, {Server: "a2", Zone: "a", State: Removed}})
	if m.isEmptyTable(m.tables[0]) {
		t.Errorf("the pin leaves a table without an endpoint: %+v", commands)
	}
}

func TestATablesResetAdoptsTheContentsOfTheTables(t *testing.T) {
	m := newTestManager(2)
	m.now = time.Second
	m.HandleTablesReset(m.now, map[TableID]map[ServerID]float64{0: {"a0": 7}}, nil, func(s ServerID) bool { return s == "a1" })
	if m.tables[0].publishedWeights["a0"] != 7 || len(m.tables[1].publishedWeights) != 0 || !m.servers[1].withdrawn || m.servers[0].withdrawn {
		t.Errorf("got published weights %v and %v, want only a0 at 7 in table 0; withdrawn: a0 %v, a1 %v, want only a1",
			m.tables[0].publishedWeights, m.tables[1].publishedWeights, m.servers[0].withdrawn, m.servers[1].withdrawn)
	}
	if got := m.proxiesUsing(m.servers[0]); len(got) != 1 || got[0].id != 0 {
		t.Errorf("got %d proxies that use a0, want only proxy 0", len(got))
	}
}

// Regression test for seed 1810 of the fault simulation: a zone was lost while its table was pinned, and two servers
// restarted. Servers in their warm-up must not get the requests of their lost peers.
func TestAPinDoesNotGiveWarmingServersTheRequestsOfLostPeers(t *testing.T) {
	m := newTestManager(4)
	m.now = time.Second
	m.pinAt(20, 20, 20, 20)
	for _, s := range m.servers[:4] {
		s.state = Removed
		s.withdrawn = true
	}
	m.servers[0].state = Ready
	m.servers[0].withdrawn = false
	m.servers[0].warmingUp = true
	m.servers[0].warmUpFrom = m.now
	m.tableIndexValid = false
	m.serverSetsValid = false
	m.redistribute()
	if share := m.tables[0].targetShares["a0"]; share > 0.2 || len(m.tables[0].targetShares) < 2 {
		t.Errorf("the share of a warming server is %.2f, want at most 0.2; target of its table: %v", share, m.tables[0].targetShares)
	}
}

// Regression test: when a pin ended, servers that had returned meanwhile were restored before their tables named them
// again. The proxies of these tables did not get the restore, and had no endpoint once the weights arrived.
func TestServersAreRestoredAfterAPinWithTheirFirstWeight(t *testing.T) {
	m := newTestManager(2)
	m.now = 4 * time.Second
	m.pinAt(0, 100)
	m.servers[0].withdrawn = true
	m.serverSetsValid = false
	delete(m.tables[0].publishedWeights, "a0")
	m.tableIndexValid = false
	m.publication.due = false
	if commands := m.HandlePin(5*time.Second, nil, nil); len(commands.Restore) != 0 {
		t.Errorf("restored %v at the end of the pin, want none before the publication", commands.Restore)
	}
	m.eject(m.server("b1"), serverUnresponsive) // another reason to distribute
	if commands := m.HandleTimer(5*time.Second + time.Millisecond); len(commands.Restore) != 0 {
		t.Errorf("restored %v after an ejection, want none before the publication", commands.Restore)
	}
	m.nextTick = 6 * time.Second
	commands := m.HandleTimer(6 * time.Second)
	named := slices.ContainsFunc(commands.Weights, func(w EndpointWeight) bool { return w.Table == 0 && w.Server == "a0" && w.Weight > 0 })
	if !named || !slices.Equal(commands.Restore, []ServerID{"a0"}) {
		t.Errorf("at the tick after the pin: weights %v and restored %v, want a weight of a0 and its restore", commands.Weights, commands.Restore)
	}
}

// Regression test: as after a pin, servers were restored before the weights that replace those held back.
func TestServersAreRestoredAfterATablesResetWithTheirFirstWeight(t *testing.T) {
	m := newTestManager(2)
	weights := map[TableID]map[ServerID]float64{0: {"a1": 100}, 1: {"b0": 100, "b1": 100}}
	m.HandleTablesReset(5*time.Second, weights, nil, func(id ServerID) bool { return id == "a0" })
	if commands := m.HandleTimer(5*time.Second + time.Millisecond); len(commands.Restore) != 0 {
		t.Errorf("restored %v after the reset, want none before the publication", commands.Restore)
	}
	m.nextTick = 6 * time.Second
	if commands := m.HandleTimer(6 * time.Second); !slices.Equal(commands.Restore, []ServerID{"a0"}) {
		t.Errorf("restored %v at the next tick, want a0", commands.Restore)
	}
}
