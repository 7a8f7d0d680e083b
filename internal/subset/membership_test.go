package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// Home zones are whole, and no server of another zone is published beyond the limit.
func TestHomeZonesAreMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, zones := drawFleet(t)
		r := newSimulation("n7", rapid.IntRange(1, 100).Draw(t, "spill"))
		home := rapid.IntRange(0, zones-1).Draw(t, "home")
		if rapid.Bool().Draw(t, "proxies first") {
			r.join(zoneName(home))
			r.list(true, servers...)
		} else {
			r.list(true, servers...)
			r.join(zoneName(home))
		}
		members := r.members()
		for _, s := range ofZone(servers, home) {
			if !members[s.Server] {
				t.Fatalf("%s of the home zone is no member", s.Server)
			}
		}
		for id := range members {
			if record := r.subset.records[id]; !r.subset.selects(record) {
				t.Fatalf("%s is a member and not selected", id)
			}
		}
	})
}

// The same list, home zones and name give the same members, in whatever order the list told them.
func TestMembersAreTheSameAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, _ := drawFleet(t)
		first, second := newSimulation("n12", 20), newSimulation("n12", 20)
		first.list(true, servers...)
		first.join(zoneName(0))
		second.join(zoneName(0))
		shuffled := rapid.Permutation(servers).Draw(t, "order")
		half := len(shuffled) / 2
		second.list(true, shuffled[:half]...)
		second.list(false, shuffled[half:]...)
		for range 200 { // surplus servers leave few by few
			second.seconds(1)
		}
		if a, b := first.members(), second.members(); !maps.Equal(a, b) {
			t.Fatalf("%d members and %d", len(a), len(b))
		}
	})
}

// Members are settled by names: another manager has others, and a recorded choice stays as it is on every machine.
func TestMembersDependOnNamesAlone(t *testing.T) {
	var ids [2][]balancer.ServerID
	for i, name := range []string{"n1", "n2"} {
		r := newSimulation(name, 6).joinZoneWithoutServers()
		r.list(true, fleetOf(4, 25)...)
		ids[i] = slices.Sorted(maps.Keys(r.members()))
	}
	if slices.Equal(ids[0], ids[1]) {
		t.Error("two managers have the same spill servers")
	}
	want := "[s-00-00011 s-01-00007 s-01-00008 s-01-00021 s-02-00002]"
	if got := fmt.Sprint(ids[0]); got != want {
		t.Errorf("n1 has %s, not %s", got, want)
	}
}

// A wider subset holds all of a narrower one.
func TestWideningOnlyAdds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, _ := drawFleet(t)
		spill := rapid.IntRange(1, 60).Draw(t, "spill")
		narrow := newSimulation("n3", spill).joinZoneWithoutServers()
		wide := newSimulation("n3", spill*rapid.IntRange(2, 8).Draw(t, "factor")).joinZoneWithoutServers()
		narrow.list(true, servers...)
		wide.list(true, servers...)
		members := wide.members()
		for id := range narrow.members() {
			if !members[id] {
				t.Fatalf("%s is a member of the narrower subset alone", id)
			}
		}
	})
}

// Before a proxy joins there is nobody to serve: nothing is published. Then it is the whole subset, in one list.
func TestNothingIsPublishedBeforeTheFirstProxy(t *testing.T) {
	servers := fleetOf(10, 20)
	servers[25].State = balancer.Draining
	r := newSimulation("n9", 10)
	r.list(true, servers...)
	r.list(false, withState(balancer.Draining, servers[30])...)
	r.seconds(10)
	if n := len(r.fleet.entries); n > 0 {
		t.Errorf("%d servers are published before the first proxy", n)
	}
	u := r.join(zoneName(0))
	if !u.Complete || len(r.members()) < 28 {
		t.Errorf("complete %v, %d members", u.Complete, len(r.members()))
	}
	for _, i := range []int{25, 30} {
		if e := r.fleet.entries[servers[i].Server]; e.State != balancer.Draining {
			t.Errorf("%s drains and is published as %+v", servers[i].Server, e)
		}
	}
}

// A warm server that becomes a member does not warm up again, also when the list tells it once more; one that restarts does.
func TestWarmServerSkipsSlowStart(t *testing.T) {
	servers := fleetOf(4, 20)
	for i := range servers {
		servers[i].RecentlyStarted = true
		servers[i].Started = 10 * time.Second
	}
	r := newSimulation("n9", 1)
	r.now = time.Minute
	r.list(true, servers...)
	r.join(zoneName(0))
	one := servers[0].Server
	if e := r.fleet.entries[one]; e.RecentlyStarted {
		t.Error("it is published as a fresh process")
	}
	r.list(false, servers[0])
	if e := r.fleet.entries[one]; e.RecentlyStarted {
		t.Error("it is published as a fresh process when it is told again")
	}
	restarted := servers[0]
	restarted.Started = 50 * time.Second
	r.list(false, restarted)
	if e := r.fleet.entries[one]; !e.RecentlyStarted || e.Started != restarted.Started {
		t.Error("a restart is not published")
	}
}
