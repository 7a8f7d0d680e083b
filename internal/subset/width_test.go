package subset

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestLostHomeZoneIsReplacedAtOnce(t *testing.T) {
	servers := fleetOf(20, 273)
	r := steadyState(servers, 100)
	before := r.members()
	r.fail(ofZone(servers, 0)...)
	update := r.tick()
	if records := update.LogRecords; len(records) != 1 || records[0].String() != "event=subset_widened factor=4.0" {
		t.Errorf("log records %v", records)
	}
	if n := r.servingOutside(0); n < 260 || n > 800 {
		t.Errorf("%d servers of other zones serve in the second after 273 were lost", n)
	}
	for id := range before {
		if !r.members()[id] {
			t.Errorf("%s is no member any more: widening only adds", id)
		}
	}
}

func TestRemovedHomeZoneIsReplaced(t *testing.T) {
	servers := fleetOf(20, 273)
	r := steadyState(servers, 100)
	r.list(false, withState(balancer.Removed, ofZone(servers, 0)...)...)
	r.seconds(1)
	if n := r.servingOutside(0); n < 260 || n > 800 {
		t.Errorf("%d servers of other zones serve in the second after 273 were removed", n)
	}
	r.seconds(1800)
	if n := r.servingOutside(0); n < 260 {
		t.Errorf("%d servers of other zones are left half an hour later, and the zone is not back", n)
	}
}

// What a home zone lacks is the size that it had, not that of other zones.
func TestSizeOfLostHomeZoneIsRemembered(t *testing.T) {
	var home []Server
	for n := range 500 {
		home = append(home, serverOf(0, 1000+n))
	}
	r := steadyState(slices.Concat(home, fleetOf(20, 100)), 100)
	r.list(false, withState(balancer.Removed, slices.Concat(home, ofZone(fleetOf(1, 100), 0))...)...)
	r.seconds(1)
	if n := float64(r.servingOutside(0)); n < widenThreshold*700 {
		t.Errorf("%.0f servers of other zones serve in the second after 600 were removed", n)
	}
}

// Members that are being checked are waited for: neither at the start nor after a widening is the subset widened for them.
func TestNewMembersUnderHealthCheckCountAsServing(t *testing.T) {
	const probing = checkDuration - time.Second
	servers := fleetOf(20, 100)
	r := newSimulation("n9", 100)
	r.fleet.checkDuration = probing
	r.list(true, servers...)
	r.join(zoneName(0))
	r.seconds(5)
	if width := r.subset.Counts().Width; width != 1 {
		t.Errorf("%.1f times as wide while the first members are checked", width)
	}
	r.fail(ofZone(servers, 0)...)
	r.tick()
	width := r.subset.Counts().Width
	r.seconds(10)
	if later := r.subset.Counts().Width; width < 1.5 || later != width {
		t.Errorf("%.1f times as wide after the loss, %.1f while new members were checked", width, later)
	}
}

// A zone that comes back cold keeps the subset wide until it is warm; then it narrows, a few servers each second.
func TestNarrowingWaitsForWarmServersAndIsGradual(t *testing.T) {
	servers := fleetOf(20, 273)
	r := steadyState(servers, 100)
	narrow := r.members()
	r.fail(ofZone(servers, 0)...)
	r.seconds(60)
	clear(r.fleet.failed)
	r.fleet.warmFraction = 0.3
	r.seconds(120)
	wide := len(r.members())
	if wide < len(narrow)+150 {
		t.Fatalf("%d members while the zone is cold, %d usually", wide, len(narrow))
	}
	r.fleet.warmFraction = 1
	r.seconds(int(narrowDelay/time.Second) - 1)
	if n := len(r.members()); n != wide {
		t.Errorf("%d of %d members %v after the zone is warm", n, wide, narrowDelay)
	}
	for range 600 {
		r.requireGradualDrain(t)
	}
	if !maps.Equal(r.members(), narrow) {
		t.Errorf("%d members in the end, %d before", len(r.members()), len(narrow))
	}
	if n := len(r.fleet.entries); n != len(narrow) {
		t.Errorf("the fleet still knows %d servers, not %d", n, len(narrow))
	}
}

// A subset whose servers all fail reaches any healthy server within seconds.
func TestSubsetWithAllServersFailedReachesTheLastHealthyOne(t *testing.T) {
	servers := fleetOf(88, 273)
	r := steadyState(servers, 100)
	healthy := r.subset.ring.records[len(r.subset.ring.records)-1].server // the farthest
	if healthy.Zone == zoneName(0) {
		t.Fatal("the farthest server is at home")
	}
	r.fail(servers...)
	delete(r.fleet.failed, healthy.Server)
	seconds := 0
	for ; !r.fleet.isAvailable(healthy.Server) && seconds < 60; seconds++ {
		r.seconds(1)
	}
	t.Logf("reached after %d looks", seconds)
	if seconds > 4 {
		t.Errorf("reached after %d looks", seconds)
	}
}

// Most of the spill servers fail, and home is healthy.
func TestFailedSpillServersAreReplaced(t *testing.T) {
	servers := fleetOf(20, 100)
	r := steadyState(servers, 50)
	for id := range r.members() {
		if zone := r.subset.records[id].server.Zone; zone != zoneName(0) && r.servingOutside(0) > 10 {
			r.fleet.failed[id] = true
		}
	}
	r.seconds(1)
	if n := r.servingOutside(0); n < 35 {
		t.Errorf("%d spill servers serve", n)
	}
}
