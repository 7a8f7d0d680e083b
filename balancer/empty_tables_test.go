package balancer

import (
	"slices"
	"testing"
	"time"
)

// loseZoneA withdraws the servers of zone a, which the list no longer has, and lists them as ready again.
func (m *Manager) loseZoneA(t *testing.T, removedAt, listedAt time.Duration) {
	t.Helper()
	var removed, listed []Endpoint
	for _, s := range m.servers {
		if s.zone == 0 {
			removed = append(removed, Endpoint{Server: s.id, Zone: "a", Weight: 1, State: Removed})
			listed = append(listed, Endpoint{Server: s.id, Zone: "a", Weight: 1})
		}
	}
	commands := m.HandleEndpointList(removedAt, false, removed)
	if len(commands.Withdraw) != len(removed) {
		t.Fatalf("withdrawn %v, want %d servers", commands.Withdraw, len(removed))
	}
	m.HandleEndpointList(listedAt, false, listed)
}

// Regression test: while the tables were held, a lost zone that came back stayed withdrawn for the classes that keep to it,
// since the hold was set aside only for tables without any endpoint.
func TestAPinDoesNotKeepALostZoneFromItsOwnClasses(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	m.pinAt(100, 100, 100)
	m.loseZoneA(t, 2*time.Second, 3*time.Second)
	m.nextTick = 4 * time.Second
	commands := m.HandleTimer(4 * time.Second)
	if want := []ServerID{"a0", "a1", "a2"}; !slices.Equal(commands.Restore, want) {
		t.Errorf("restored %v, want %v", commands.Restore, want)
	}
	if m.isEmptyTable(m.tables[0]) || m.hasNoLocalEndpoint(m.tables[0]) {
		t.Errorf("table 0 still needs an endpoint: %v", m.tables[0].publishedWeights)
	}
}

// Regression test: a pause of slow start kept the returned servers of a lost zone withdrawn, so that the classes that keep to
// the zone had no server, while new servers of the zone got weights despite the pause.
func TestAPauseOfSlowStartDoesNotKeepALostZoneFromItsOwnClasses(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	m.loseZoneA(t, 2*time.Second, 3*time.Second)
	for _, s := range m.servers[:3] {
		s.warmingUp = true
		s.warmUpFrom = 3 * time.Second
	}
	for _, s := range m.servers[3:] {
		for second := range time.Duration(3) {
			s.reports = append(s.reports, receivedReport{LoadReport{Attempts: 9, Failed: 8}, (second + 2) * time.Second})
		}
	}
	m.nextTick = 4 * time.Second
	commands := m.HandleTimer(4 * time.Second)
	if m.slowStartPause != pauseAll {
		t.Fatalf("slow start is paused below %v, want %v", m.slowStartPause, pauseAll)
	}
	if want := []ServerID{"a0", "a1", "a2"}; !slices.Equal(commands.Restore, want) {
		t.Errorf("restored %v, want %v", commands.Restore, want)
	}
	if share := m.zoneLocalShare(m.tables[0]); share > 2*minWeightShare {
		t.Errorf("the paused servers get %v of their table, want hardly any of the other requests", share)
	}
}

// Regression test: an ejected server was not given requests that keep to its zone when no other server of the zone was left.
func TestAnEjectedServerServesItsZoneIfNoOtherIsLeft(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	m.eject(m.server("a0"), serverUnresponsive)
	m.nextTick = 2 * time.Second
	m.HandleTimer(2 * time.Second)
	if weight := m.tables[0].publishedWeights["a0"]; weight > 0 {
		t.Fatalf("the ejected server a0 still has weight %v in table 0", weight)
	}
	commands := m.HandleEndpointList(3*time.Second, false, []Endpoint{{Server: "a1", Zone: "a", State: Removed}, {Server: "a2", Zone: "a", State: Removed}})
	if len(commands.Withdraw) != 2 || m.hasNoLocalEndpoint(m.tables[0]) || m.tables[0].publishedWeights["a0"] == 0 {
		t.Errorf("withdrawn %v, want a1 and a2; published weights %v, want some of a0", commands.Withdraw, m.tables[0].publishedWeights)
	}
	if share := m.zoneLocalShare(m.tables[0]); share > 2*minWeightShare {
		t.Errorf("the ejected server gets %v of its table, want hardly any of the other requests", share)
	}
	if !m.IsLastResort("a0") || m.IsLastResort("a1") || m.IsLastResort("b0") || m.IsLastResort("none") {
		t.Error("a0 alone must be the last resort of its zone")
	}
}

// A withdrawn server that came back without an answer to its health check is restored only where no other server can take
// the requests that keep to its zone.
func TestEjectedServersAreRestoredOnlyAsTheLastResort(t *testing.T) {
	for name, want := range map[string][]ServerID{"none": {"a0", "a1", "a2"}, "a2": {"a2"}} {
		m := newZoneLocalManager(3)
		m.now = time.Second
		m.loseZoneA(t, 2*time.Second, 3*time.Second)
		for _, s := range m.servers[:3] {
			if string(s.id) != name {
				m.eject(s, serverUnresponsive)
			}
		}
		m.nextTick = 4 * time.Second
		if commands := m.HandleTimer(4 * time.Second); !slices.Equal(commands.Restore, want) {
			t.Errorf("responsive: %s: restored %v, want %v", name, commands.Restore, want)
		}
	}
}

func TestAZoneAddedByAProxyHasNoUsableServer(t *testing.T) {
	m := newZoneLocalManager(1)
	m.currentServerSets()
	m.zoneIndex("c")
	m.servers = append(m.servers, &server{id: "c0", zone: 2, ejected: true})
	if !m.IsLastResort("c0") {
		t.Error("the only server of a new zone is not its last resort")
	}
	m.endEjection(m.servers[2])
	if m.IsLastResort("c0") {
		t.Error("a server counts as the last resort after its ejection ended")
	}
}

func TestThereIsNoLastResortWithoutZoneLocalClasses(t *testing.T) {
	m := newTestManager(1)
	m.eject(m.server("a0"), serverUnresponsive)
	if m.IsLastResort("a0") {
		t.Error("a server is the last resort of its zone although all classes may leave the zone")
	}
}

// A pin is set aside only for servers that should get requests of a table without an endpoint, and of those of its
// zone-local part only for servers of the zone.
func TestOnlyTargetsOfATableRestoreItsEndpoint(t *testing.T) {
	for _, test := range []struct {
		name            string
		lacks, isLocal  bool
		server          ServerID
		share           float64
		restoreEndpoint bool
	}{
		{"target of an empty table", true, false, "b0", 0.1, true},
		{"no target of an empty table", true, false, "b0", 0, false},
		{"target in the zone of an empty zone-local part", false, true, "a0", 0.1, true},
		{"no target in the zone of an empty zone-local part", false, true, "a0", 0, false},
		{"target outside the zone of an empty zone-local part", false, true, "b0", 0.1, false},
		{"target of a table that lacks nothing", false, false, "a0", 0.1, false},
	} {
		m := newZoneLocalManager(1)
		s := m.server(test.server)
		s.tables = []TableID{0}
		table := m.tables[0]
		table.lacksEndpoint = test.lacks
		table.lacksLocalEndpoint = test.isLocal
		table.targetShares[s.id] = test.share
		if got := m.restoresEndpoint(s); got != test.restoreEndpoint {
			t.Errorf("%s: got %v, want %v", test.name, got, test.restoreEndpoint)
		}
	}
}

// Regression test: the servers of a lost zone that came back waited for channel capacity that only drains may use, while the
// classes that keep to the zone had no server.
func TestAnEmptyZoneLocalPartIsRestoredWithTheChannelLimitsOfDrains(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	m.loseZoneA(t, 2*time.Second, 3*time.Second)
	m.queueLimits[urgentPriority] = 0
	m.nextTick = 4 * time.Second
	if commands := m.HandleTimer(4 * time.Second); len(commands.Restore) != 3 {
		t.Errorf("restored %v, want the three servers of zone a", commands.Restore)
	}
}

// Regression test: the weights of warming servers that waited for the table's other weights lost the channel limits of
// drains, although the zone-local part of the table still had no endpoint.
func TestDeferredWeightsOfAnEmptyZoneLocalPartKeepTheChannelLimitsOfDrains(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = 12 * time.Second
	for _, s := range m.servers[:3] {
		s.warmingUp = true
	}
	clear(m.tables[0].publishedWeights)
	m.tables[0].targetShares = map[ServerID]float64{"a0": 0.1, "a1": 0.1, "a2": 0.1, "b0": 0.35, "b1": 0.35}
	m.checkEmptyTables()
	m.queueLimits[normalPriority] = 0
	m.publish()
	if m.hasNoLocalEndpoint(m.tables[0]) {
		t.Errorf("the zone-local part of table 0 has no endpoint: published weights %v", m.tables[0].publishedWeights)
	}
}

// Regression test: a server that had to be restored because its zone had no other waited for room to lower its weight in the
// tables of other zones.
func TestWeightsThatHoldBackANeededRestoreUseTheChannelLimitsOfDrains(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	for _, s := range m.servers[:3] {
		m.tables[1].publishedWeights[s.id] = 50
	}
	m.loseZoneA(t, 2*time.Second, 3*time.Second)
	m.queueLimits[normalPriority] = 0
	m.nextTick = 4 * time.Second
	if commands := m.HandleTimer(4 * time.Second); len(commands.Restore) != 3 {
		t.Errorf("restored %v, want the three servers of zone a; weights %v", commands.Restore, commands.Weights)
	}
}

// Regression test: the first endpoints of a zone-local part were published with the channel limits of drains, the levels
// that keep requests from them with those of ordinary changes.
func TestLevelsOfAnEmptyZoneLocalPartUseTheChannelLimitsOfDrains(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = 2 * time.Second
	for _, s := range m.servers[:3] {
		s.warmingUp = true
		m.tables[0].publishedWeights[s.id] = 0
	}
	m.tables[0].targetShares = map[ServerID]float64{"a0": 0.01, "a1": 0.01, "a2": 0.01, "b0": 0.3, "b1": 0.3}
	m.tables[0].publishedWeights["b0"] = 100
	m.tables[0].publishedWeights["b1"] = 100
	m.checkEmptyTables()
	m.queueLimits[normalPriority] = 0
	m.publish()
	limited := slices.ContainsFunc(m.commands.AdmissionLevels, func(level AdmissionLevel) bool {
		return level.Table == ZoneLocalTables && level.Amount < 1
	})
	if m.hasNoLocalEndpoint(m.tables[0]) || !limited {
		t.Errorf("published weights %v and levels %v, want endpoints of zone a together with a level below 1",
			m.tables[0].publishedWeights, m.commands.AdmissionLevels)
	}
}
