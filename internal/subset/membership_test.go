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

// All servers of a home zone are members, and no server of another zone beyond the limit is.
func TestHomeZonesAreMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, zones := drawServers(t)
		sim := newSimulation("n7", rapid.IntRange(1, 100).Draw(t, "spill"))
		home := rapid.IntRange(0, zones-1).Draw(t, "home")
		if rapid.Bool().Draw(t, "proxies first") {
			sim.connectProxyIn(zoneName(home))
			sim.applyList(true, servers...)
		} else {
			sim.applyList(true, servers...)
			sim.connectProxyIn(zoneName(home))
		}
		members := sim.members()
		for _, s := range serversInZone(servers, home) {
			if !members[s.Server] {
				t.Fatalf("%s of the home zone is not a member", s.Server)
			}
		}
		for id := range members {
			if record := sim.subset.records[id]; !sim.subset.selects(record) {
				t.Fatalf("%s is a member but not selected", id)
			}
		}
	})
}

// The same list, home zones and manager name give the same members, in whatever order the servers were listed.
func TestMembersAreTheSameAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, _ := drawServers(t)
		first, second := newSimulation("n12", 20), newSimulation("n12", 20)
		first.applyList(true, servers...)
		first.connectProxyIn(zoneName(0))
		second.connectProxyIn(zoneName(0))
		shuffled := rapid.Permutation(servers).Draw(t, "order")
		half := len(shuffled) / 2
		second.applyList(true, shuffled[:half]...)
		second.applyList(false, shuffled[half:]...)
		for range 200 { // surplus servers leave gradually
			second.runSeconds(1)
		}
		if a, b := first.members(), second.members(); !maps.Equal(a, b) {
			t.Fatalf("members differ: %d in the first run, %d after the restart", len(a), len(b))
		}
	})
}

// Members depend on names alone: two managers have different members, and every machine selects the same ones, here
// compared with a recorded selection.
func TestMembersDependOnNamesAlone(t *testing.T) {
	var ids [2][]balancer.ServerID
	for i, name := range []string{"n1", "n2"} {
		sim := newSimulation(name, 6).connectProxyInEmptyZone()
		sim.applyList(true, newServers(4, 25)...)
		ids[i] = slices.Sorted(maps.Keys(sim.members()))
	}
	if slices.Equal(ids[0], ids[1]) {
		t.Error("two managers have the same spill servers")
	}
	want := "[s-00-00011 s-01-00007 s-01-00008 s-01-00021 s-02-00002]"
	if got := fmt.Sprint(ids[0]); got != want {
		t.Errorf("members of n1 are %s, want %s", got, want)
	}
}

// A wider subset contains all members of a narrower one.
func TestWideningOnlyAdds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, _ := drawServers(t)
		spill := rapid.IntRange(1, 60).Draw(t, "spill")
		narrow := newSimulation("n3", spill).connectProxyInEmptyZone()
		wide := newSimulation("n3", spill*rapid.IntRange(2, 8).Draw(t, "factor")).connectProxyInEmptyZone()
		narrow.applyList(true, servers...)
		wide.applyList(true, servers...)
		members := wide.members()
		for id := range narrow.members() {
			if !members[id] {
				t.Fatalf("%s is a member of the narrower subset only", id)
			}
		}
	})
}

// Nothing is published before the first proxy connects. Then the whole subset is published as one complete list.
func TestNothingIsPublishedBeforeTheFirstProxy(t *testing.T) {
	servers := newServers(10, 20)
	servers[25].State = balancer.Draining
	sim := newSimulation("n9", 10)
	sim.applyList(true, servers...)
	sim.applyList(false, withState(balancer.Draining, servers[30])...)
	sim.runSeconds(10)
	if n := len(sim.fleet.entries); n > 0 {
		t.Errorf("%d servers are published before the first proxy", n)
	}
	update := sim.connectProxyIn(zoneName(0))
	if !update.Complete || len(sim.members()) < 28 {
		t.Errorf("first update: complete %v, want true; %d members, want at least 28", update.Complete, len(sim.members()))
	}
	for _, i := range []int{25, 30} {
		if e := sim.fleet.entries[servers[i].Server]; e.State != balancer.Draining {
			t.Errorf("%s is draining, but is published as %+v", servers[i].Server, e)
		}
	}
}

// A warm server that becomes a member skips slow start, also when the list repeats its entry. After a restart it does not.
func TestWarmServerSkipsSlowStart(t *testing.T) {
	servers := newServers(4, 20)
	for i := range servers {
		servers[i].RecentlyStarted = true
		servers[i].Started = 10 * time.Second
	}
	sim := newSimulation("n9", 1)
	sim.now = time.Minute
	sim.applyList(true, servers...)
	sim.connectProxyIn(zoneName(0))
	id := servers[0].Server
	if e := sim.fleet.entries[id]; e.RecentlyStarted {
		t.Errorf("warm server is published as recently started: %+v", e)
	}
	sim.applyList(false, servers[0])
	if e := sim.fleet.entries[id]; e.RecentlyStarted {
		t.Errorf("warm server is published as recently started after its entry was repeated: %+v", e)
	}
	restarted := servers[0]
	restarted.Started = 50 * time.Second
	sim.applyList(false, restarted)
	if e := sim.fleet.entries[id]; !e.RecentlyStarted || e.Started != restarted.Started {
		t.Errorf("restart at %v is not published: %+v", restarted.Started, e)
	}
}
