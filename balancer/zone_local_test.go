package balancer

import (
	"testing"
	"time"
)

// The zone-local table names servers of its own zone only, whatever the distribution spills, and proxies are put on it
// for the zone-local classes.
func TestZoneLocalClassesStayInTheirZone(t *testing.T) {
	site := testSettings
	site.Classes = []TrafficClass{testSettings.Classes[0], testSettings.Classes[1]}
	site.Classes[1].ZoneLocal = true
	m := New(1, site)
	m.HandleEndpointList(0, true, []Endpoint{{Server: "a0", Zone: "a", Weight: 1}, {Server: "b0", Zone: "b", Weight: 9}, {Server: "b1", Zone: "b", Weight: 9}})
	var all Commands
	take := func(o Commands) {
		all.Weights = append(all.Weights, o.Weights...)
		all.AdmissionLevels = append(all.AdmissionLevels, o.AdmissionLevels...)
		all.Assign = append(all.Assign, o.Assign...)
	}
	take(m.HandleProxyConnected(time.Second, 1, "a", 50))
	take(m.HandleProxyConnected(time.Second, 2, "b", 5))
	for i := range 5 {
		at := time.Duration(i+2) * time.Second
		for g := range ClassID(2) {
			take(m.HandleUsageReport(at-1, UsageReport{Proxy: 1, Class: g, Requests: 50, Interval: time.Second}))
			take(m.HandleUsageReport(at-1, UsageReport{Proxy: 2, Class: g, Requests: 5, Interval: time.Second}))
		}
		take(m.HandleTimer(at))
	}
	of := map[ServerID]int{"a0": 0, "b0": 1, "b1": 1}
	home, spilt := map[TableID]int{}, 0
	for _, l := range all.Weights {
		if l.Table >= ZoneLocalTables {
			home[l.Table]++
			if zone := int(l.Table-ZoneLocalTables) / m.partitionsPerZone; of[l.Server] != zone {
				t.Errorf("%s in the zone-local table of zone %d", l.Server, zone)
			}
		} else if of[l.Server] != int(l.Table)/m.partitionsPerZone {
			spilt++
		}
	}
	if len(home) != 2 || spilt == 0 {
		t.Errorf("zone-local table %v, %d weights spilt: the test says nothing", home, spilt)
	}
	want := map[TableAssignment]bool{{1, 0, 1}: true, {1, ZoneLocalTables, 2}: true, {2, 1, 1}: true, {2, ZoneLocalTables + 1, 2}: true}
	for _, b := range all.Assign {
		if !want[b] {
			t.Errorf("%+v", b)
		}
		delete(want, b)
	}
	if len(want) > 0 {
		t.Errorf("not assigned: %v", want)
	}
}

// A zone's few remaining servers must not get all of its zone-local requests, and its table must name some of them.
func TestAZoneThatLostItsServersKeepsAnEndpoint(t *testing.T) {
	m := newZoneLocalManager(4)
	for _, id := range []ServerID{"a0", "a1", "a2", "a3"} {
		m.server(id).ejected = true
	}
	m.redistribution = serverEjected
	m.publication.due = true
	m.redistribute()
	if part := m.zoneLocalShare(m.tables[0]); part < minWeightShare/2 || part > 2*minWeightShare {
		t.Errorf("a lost zone's part of its table: %v", part)
	}
	lowered := false
	for _, mv := range m.levelChanges(0, []float64{30, 10}) {
		lowered = lowered || mv.level.Classes == 2 && mv.level.Amount <= 0.1
		if mv.level.Classes == 1 {
			t.Errorf("a class that may leave its zone is held back: %+v", mv.level)
		}
	}
	if !lowered {
		t.Error("all that keeps to a lost zone is admitted")
	}
	m.redistribute()
	if m.zoneLocalShare(m.tables[1]) < 0.3 {
		t.Errorf("the other zone keeps %v", m.zoneLocalShare(m.tables[1]))
	}
}

// Levels of zone-local classes go to the zone-local table, and an assignment costs the commands of both.
func TestZoneLocalTablesHaveTheirLevelsAndTheirCost(t *testing.T) {
	m, plain := newZoneLocalManager(4), newTestManager(4)
	m.recordLevel(m.tables[1], AdmissionLevel{Table: 1, Classes: 2, Amount: 0.5})
	m.recordLevel(m.tables[1], AdmissionLevel{Table: 1, Classes: 1, Amount: 0.5})
	if l := m.commands.AdmissionLevels; l[0].Table != ZoneLocalTables+1 || l[1].Table != 1 || len(m.tables[1].publishedLevels) != 2 {
		t.Errorf("%+v", l)
	}
	if got, want := m.assignmentCost(m.tables[0]), plain.assignmentCost(plain.tables[0])+1+4; got != want {
		t.Errorf("%v commands, not %v", got, want)
	}
	if m.hasNoLocalEndpoint(m.tables[0]) {
		t.Error("without a local endpoint with its weights published")
	}
	for _, id := range []ServerID{"a0", "a1", "a2", "a3"} {
		m.server(id).withdrawn = true
	}
	if !m.hasNoLocalEndpoint(m.tables[0]) || plain.hasNoLocalEndpoint(plain.tables[0]) {
		t.Error("not without a local endpoint with all of its zone withdrawn, or where no class keeps to it")
	}
}

// A zone-local table must not lose its last endpoint before another is published, and what is kept of a zone that does
// not answer must not be raised.
func TestTheLastEndpointOfAZoneIsRemovedAfterOthers(t *testing.T) {
	m := newZoneLocalManager(2)
	if m.isLastZoneLocal(m.tables[0], m.server("a0")) {
		t.Error("a1 stands too")
	}
	m.server("a1").withdrawn = true
	if !m.isLastZoneLocal(m.tables[0], m.server("a0")) || m.isLastZoneLocal(m.tables[0], m.server("b0")) {
		t.Error("a0 is the last of zone a, b0 is not of it")
	}
	m = newZoneLocalManager(2)
	one := m.tables[0]
	clear(one.target)
	delete(one.published, "a1")
	one.published["b0"] = 100
	one.target["b0"] = 1
	m.publication.due = true
	m.publish()
	if one.published["a0"] == 0 {
		t.Error("the last endpoint of zone a went, and none of its own is published")
	}
	m = newZoneLocalManager(2)
	m.server("a0").ejected = true
	m.server("a1").ejected = true
	m.tables[0].published["a0"] = 1e-3
	m.tables[0].target["a0"] = 0.5
	for _, mv := range m.weightChanges(0) {
		if mv.Server == "a0" {
			t.Errorf("raised: %+v", mv)
		}
	}
}
