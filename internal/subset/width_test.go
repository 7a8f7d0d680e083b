package subset

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// When all servers of the home zone fail, the next tick adds enough servers of other zones to replace them, and keeps all
// previous members.
func TestLostHomeZoneIsReplacedAtOnce(t *testing.T) {
	servers := newServers(20, 273)
	sim := steadyState(servers, 100)
	before := sim.members()
	sim.failServers(serversInZone(servers, 0)...)
	update := sim.tick()
	if records := update.LogRecords; len(records) != 1 || records[0].String() != "event=subset_widened factor=4.0" {
		t.Errorf("log records %v, want one record of a widening with factor=4.0", records)
	}
	if n := sim.servingOutside(0); n < 260 || n > 800 {
		t.Errorf("%d servers of other zones are in service one second after 273 failed, want 260 to 800", n)
	}
	for id := range before {
		if !sim.members()[id] {
			t.Errorf("%s is no longer a member: widening must only add servers", id)
		}
	}
}

// When the list removes all servers of the home zone, servers of other zones replace them for as long as it stays empty.
func TestRemovedHomeZoneIsReplaced(t *testing.T) {
	servers := newServers(20, 273)
	sim := steadyState(servers, 100)
	sim.applyList(false, withState(balancer.Removed, serversInZone(servers, 0)...)...)
	sim.runSeconds(1)
	if n := sim.servingOutside(0); n < 260 || n > 800 {
		t.Errorf("%d servers of other zones are in service one second after 273 were removed, want 260 to 800", n)
	}
	sim.runSeconds(1800)
	if n := sim.servingOutside(0); n < 260 {
		t.Errorf("%d servers of other zones are in service half an hour later with the zone still empty, want at least 260", n)
	}
}

// The shortfall of a home zone is computed from the size that it had, not from the size of other zones.
func TestSizeOfLostHomeZoneIsRemembered(t *testing.T) {
	var home []Server
	for n := range 500 {
		home = append(home, newServer(0, 1000+n))
	}
	sim := steadyState(slices.Concat(home, newServers(20, 100)), 100)
	sim.applyList(false, withState(balancer.Removed, slices.Concat(home, serversInZone(newServers(1, 100), 0))...)...)
	sim.runSeconds(1)
	if n := float64(sim.servingOutside(0)); n < widenThreshold*700 {
		t.Errorf("%.0f servers of other zones are in service one second after 600 were removed, want at least %.0f", n, widenThreshold*700)
	}
}

// New members count as in service while their first health check is pending: they must not cause a widening, neither at
// the start nor after an earlier widening.
func TestNewMembersUnderHealthCheckCountAsServing(t *testing.T) {
	const pendingCheck = checkDuration - time.Second
	servers := newServers(20, 100)
	sim := newSimulation("n9", 100)
	sim.fleet.checkDuration = pendingCheck
	sim.applyList(true, servers...)
	sim.connectProxyIn(zoneName(0))
	sim.runSeconds(5)
	if width := sim.subset.Counts().Width; width != 1 {
		t.Errorf("width %.1f while the first members are being checked, want 1", width)
	}
	sim.failServers(serversInZone(servers, 0)...)
	sim.tick()
	width := sim.subset.Counts().Width
	sim.runSeconds(10)
	if laterWidth := sim.subset.Counts().Width; width < 1.5 || laterWidth != width {
		t.Errorf("width %.1f after the loss, want at least 1.5; %.1f while new members were being checked, want no change",
			width, laterWidth)
	}
}

// While a recovered zone is still in slow start, the subset stays wide. Once it is warm, the subset narrows by a few
// servers each second.
func TestNarrowingWaitsForWarmServersAndIsGradual(t *testing.T) {
	servers := newServers(20, 273)
	sim := steadyState(servers, 100)
	narrow := sim.members()
	sim.failServers(serversInZone(servers, 0)...)
	sim.runSeconds(60)
	clear(sim.fleet.failed)
	sim.fleet.warmFraction = 0.3
	sim.runSeconds(120)
	wide := len(sim.members())
	if wide < len(narrow)+150 {
		t.Fatalf("%d members while the zone is cold, want at least 150 more than the usual %d", wide, len(narrow))
	}
	sim.fleet.warmFraction = 1
	sim.runSeconds(int(narrowDelay/time.Second) - 1)
	if n := len(sim.members()); n != wide {
		t.Errorf("%d of %d members are left before the zone has been warm for %v, want all", n, wide, narrowDelay)
	}
	for range 600 {
		sim.requireGradualDrain(t)
	}
	if !maps.Equal(sim.members(), narrow) {
		t.Errorf("the members (%d) differ from those before the outage (%d)", len(sim.members()), len(narrow))
	}
	if n := len(sim.fleet.entries); n != len(narrow) {
		t.Errorf("the fleet still knows %d servers, want %d", n, len(narrow))
	}
}

// When all but one server fail, the subset must widen to the last healthy one within seconds, even if it is the most
// distant on the ring.
func TestWidensToTheLastHealthyServer(t *testing.T) {
	servers := newServers(88, 273)
	sim := steadyState(servers, 100)
	healthy := sim.subset.ring.records[len(sim.subset.ring.records)-1].server // the most distant
	if healthy.Zone == zoneName(0) {
		t.Fatalf("the most distant server %s is in the home zone", healthy.Server)
	}
	sim.failServers(servers...)
	delete(sim.fleet.failed, healthy.Server)
	seconds := 0
	for ; !sim.fleet.isAvailable(healthy.Server) && seconds < 60; seconds++ {
		sim.runSeconds(1)
	}
	t.Logf("healthy server reached after %d s", seconds)
	if seconds > 4 {
		t.Errorf("healthy server reached after %d s, want at most 4", seconds)
	}
}

// When most of the spill servers fail, others replace them even though the home zone is healthy.
func TestFailedSpillServersAreReplaced(t *testing.T) {
	servers := newServers(20, 100)
	sim := steadyState(servers, 50)
	for id := range sim.members() {
		if zone := sim.subset.records[id].server.Zone; zone != zoneName(0) && sim.servingOutside(0) > 10 {
			sim.fleet.failed[id] = true
		}
	}
	sim.runSeconds(1)
	if n := sim.servingOutside(0); n < 35 {
		t.Errorf("%d spill servers are in service, want at least 35", n)
	}
}
