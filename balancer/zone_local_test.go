package balancer

import (
	"testing"
	"time"
)

// The zone-local part of a table must name only servers of its own zone, whatever the distribution spills to other
// zones. Proxies must be assigned to it for the zone-local classes.
func TestZoneLocalClassesStayInTheirZone(t *testing.T) {
	settings := testSettings
	settings.Classes = []TrafficClass{testSettings.Classes[0], testSettings.Classes[1]}
	settings.Classes[1].ZoneLocal = true
	m := New(1, settings)
	m.HandleEndpointList(0, true, []Endpoint{{Server: "a0", Zone: "a", Weight: 1}, {Server: "b0", Zone: "b", Weight: 9}, {Server: "b1", Zone: "b", Weight: 9}})
	var issued Commands
	collect := func(commands Commands) {
		issued.Weights = append(issued.Weights, commands.Weights...)
		issued.AdmissionLevels = append(issued.AdmissionLevels, commands.AdmissionLevels...)
		issued.Assign = append(issued.Assign, commands.Assign...)
	}
	collect(m.HandleProxyConnected(time.Second, 1, "a", 50))
	collect(m.HandleProxyConnected(time.Second, 2, "b", 5))
	for i := range 5 {
		at := time.Duration(i+2) * time.Second
		for class := range ClassID(2) {
			collect(m.HandleUsageReport(at-1, UsageReport{Proxy: 1, Class: class, Requests: 50, Interval: time.Second}))
			collect(m.HandleUsageReport(at-1, UsageReport{Proxy: 2, Class: class, Requests: 5, Interval: time.Second}))
		}
		collect(m.HandleTimer(at))
	}
	zoneOf := map[ServerID]int{"a0": 0, "b0": 1, "b1": 1}
	zoneLocalWeights, spilled := map[TableID]int{}, 0
	for _, weight := range issued.Weights {
		if weight.Table >= ZoneLocalTables {
			zoneLocalWeights[weight.Table]++
			if zone := int(weight.Table-ZoneLocalTables) / m.partitionsPerZone; zoneOf[weight.Server] != zone {
				t.Errorf("server %s is in the zone-local part of the table of zone %d", weight.Server, zone)
			}
		} else if zoneOf[weight.Server] != int(weight.Table)/m.partitionsPerZone {
			spilled++
		}
	}
	if len(zoneLocalWeights) != 2 || spilled == 0 {
		t.Errorf("weights by zone-local part %v, want two parts; %d weights spilled to other zones, want some", zoneLocalWeights, spilled)
	}
	want := map[TableAssignment]bool{{1, 0, 1}: true, {1, ZoneLocalTables, 2}: true, {2, 1, 1}: true, {2, ZoneLocalTables + 1, 2}: true}
	for _, assignment := range issued.Assign {
		if !want[assignment] {
			t.Errorf("unexpected or repeated assignment %+v", assignment)
		}
		delete(want, assignment)
	}
	if len(want) > 0 {
		t.Errorf("missing assignments: %v", want)
	}
}

// The few remaining servers of a zone must not get all of its zone-local requests, but its table must name some of
// them.
func TestALostZoneKeepsAnEndpointAndLimitsItsZoneLocalClasses(t *testing.T) {
	m := newZoneLocalManager(4)
	for _, id := range []ServerID{"a0", "a1", "a2", "a3"} {
		m.server(id).ejected = true
	}
	m.redistribution = serverEjected
	m.publication.due = true
	m.redistribute()
	if share := m.zoneLocalShare(m.tables[0]); share < minWeightShare/2 || share > 2*minWeightShare {
		t.Errorf("a lost zone's share of its table: %v, want about %v", share, minWeightShare)
	}
	lowered := false
	for _, change := range m.levelChanges(0, []float64{30, 10}) {
		lowered = lowered || change.level.Classes == 2 && change.level.Amount <= 0.1
		if change.level.Classes == 1 {
			t.Errorf("the admission level of a class that may leave its zone is changed: %+v", change.level)
		}
	}
	if !lowered {
		t.Error("the admission level of the zone-local class of a lost zone is not lowered to at most 0.1")
	}
	m.redistribute()
	if m.zoneLocalShare(m.tables[1]) < 0.3 {
		t.Errorf("the other zone's share of its table is %v, want at least 0.3", m.zoneLocalShare(m.tables[1]))
	}
}

// Admission levels of zone-local classes belong to the zone-local part of a table, and the cost of an assignment
// includes the commands for both parts.
func TestZoneLocalTablesHaveTheirOwnLevelsAndCost(t *testing.T) {
	m, withoutZoneLocal := newZoneLocalManager(4), newTestManager(4)
	m.recordLevel(m.tables[1], AdmissionLevel{Table: 1, Classes: 2, Amount: 0.5})
	m.recordLevel(m.tables[1], AdmissionLevel{Table: 1, Classes: 1, Amount: 0.5})
	if levels := m.commands.AdmissionLevels; levels[0].Table != ZoneLocalTables+1 || levels[1].Table != 1 ||
		len(m.tables[1].publishedLevels) != 2 {
		t.Errorf("got levels %+v, want one for the zone-local part and one for the table itself, and two published levels", levels)
	}
	if got, want := m.assignmentCost(m.tables[0]), withoutZoneLocal.assignmentCost(withoutZoneLocal.tables[0])+1+4; got != want {
		t.Errorf("an assignment costs %v commands, want %v", got, want)
	}
	if m.hasNoLocalEndpoint(m.tables[0]) {
		t.Error("the table counts as without a local endpoint although local weights are published")
	}
	for _, id := range []ServerID{"a0", "a1", "a2", "a3"} {
		m.server(id).withdrawn = true
	}
	if !m.hasNoLocalEndpoint(m.tables[0]) || withoutZoneLocal.hasNoLocalEndpoint(withoutZoneLocal.tables[0]) {
		t.Error("a table whose zone is withdrawn must count as without a local endpoint, but not if no class is zone-local")
	}
}

// The zone-local part of a table must not lose its last endpoint before another one is published. The weight that it
// keeps for an ejected server must not be increased.
func TestTheLastEndpointOfAZoneIsRemovedAfterOthers(t *testing.T) {
	m := newZoneLocalManager(2)
	if m.isLastZoneLocal(m.tables[0], m.server("a0")) {
		t.Error("a0 counts as the last endpoint of zone a although a1 is usable too")
	}
	m.server("a1").withdrawn = true
	if !m.isLastZoneLocal(m.tables[0], m.server("a0")) || m.isLastZoneLocal(m.tables[0], m.server("b0")) {
		t.Error("a0 must count as the last endpoint of zone a, and b0, which is in zone b, must not")
	}
	m = newZoneLocalManager(2)
	table := m.tables[0]
	clear(table.targetShares)
	delete(table.publishedWeights, "a1")
	table.publishedWeights["b0"] = 100
	table.targetShares["b0"] = 1
	m.publication.due = true
	m.publish()
	if table.publishedWeights["a0"] == 0 {
		t.Error("the last endpoint of zone a was removed before another one of the zone was published")
	}
	m = newZoneLocalManager(2)
	m.server("a0").ejected = true
	m.server("a1").ejected = true
	m.tables[0].publishedWeights["a0"] = 1e-3
	m.tables[0].targetShares["a0"] = 0.5
	for _, change := range m.weightChanges(0) {
		if change.Server == "a0" {
			t.Errorf("the weight of an ejected server is changed: %+v", change)
		}
	}
}
