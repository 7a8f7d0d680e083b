package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// With numbered manager names, spill memberships are spread evenly over servers and zones, and no server is left out.
func TestSubsetsAreBalanced(t *testing.T) {
	const managers, zones, each, spill = 2000, 8, 100, 40
	servers := newServers(zones, each)
	subsets, sizes := map[balancer.ServerID]int{}, []int{}
	for m := range managers {
		sim := newSimulation(fmt.Sprint("n", m), spill).connectProxyInEmptyZone()
		sim.applyList(true, servers...)
		members := sim.members()
		sizes = append(sizes, len(members))
		inZone := map[balancer.ZoneID]int{}
		for id := range members {
			subsets[id]++
			inZone[sim.subset.records[id].server.Zone]++
		}
		for zone, n := range inZone {
			if n > spill/2 {
				t.Errorf("manager %d has %d of its %d spill servers in zone %s", m, n, len(members), zone)
			}
		}
	}
	expected := managers * spill / (zones * each)
	for _, s := range servers {
		if n := subsets[s.Server]; n < expected*4/5 || n > expected*6/5 {
			t.Errorf("server %s is in %d subsets, want about %d", s.Server, n, expected)
		}
	}
	if least, most := slices.Min(sizes), slices.Max(sizes); float64(least) < minSizeRatio*spill || float64(most) > maxSizeRatio*spill {
		t.Errorf("subsets have %d to %d servers, outside the allowed range", least, most)
	}
}

// Adding or removing one server must change, over all managers, only about as many memberships as one server has.
func TestRemovingOneServerMovesFewMemberships(t *testing.T) {
	const managers, spill = 60, 20
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(4, 10).Draw(t, "zones")
		servers := newServers(zones, rapid.IntRange(30, 80).Draw(t, "each"))
		removed := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
		share := float64(managers) * spill / float64(len(servers))
		changed := 0.0
		for m := range managers {
			with, without := newSimulation(fmt.Sprint("n", m), spill).connectProxyInEmptyZone(),
				newSimulation(fmt.Sprint("n", m), spill).connectProxyInEmptyZone()
			with.applyList(true, servers...)
			without.applyList(true, slices.Delete(slices.Clone(servers), removed, removed+1)...)
			a, b := with.members(), without.members()
			for id := range a {
				if !b[id] {
					changed++
				}
			}
			for id := range b {
				if !a[id] {
					changed++
				}
			}
		}
		// the server's own memberships end, and about as many others change so that each subset keeps its size
		if most := 3*share + 12; changed > most {
			t.Fatalf("%.0f memberships changed, want at most %.0f: one server has %.1f on average", changed, most, share)
		}
	})
}

// Replaces 60 % of the servers one after another: the other servers stay members, and the subset keeps its size.
func TestReplacingServersKeepsOtherMembers(t *testing.T) {
	servers := newServers(20, 100)
	sim := steadyState(servers, 100)
	before := sim.members()
	for i, old := range servers {
		if i%10 < 6 {
			replacement := newServer(i/100, 1000+i)
			sim.applyList(false, withState(balancer.Removed, old)[0], replacement)
		}
		if i%40 == 0 {
			sim.runSeconds(1)
		}
	}
	sim.runSeconds(300)
	left := difference(before, sim.members())
	leftUnreplaced := 0
	for _, id := range left {
		if sim.subset.records[id] != nil {
			leftUnreplaced++ // still listed
		}
	}
	if leftUnreplaced > 8 {
		t.Errorf("%d members that were not replaced left the subset of %d", leftUnreplaced, len(before))
	}
	if n := len(sim.members()); n < 150 || n > 260 {
		t.Errorf("the subset has %d members, and had %d before the replacements", n, len(before))
	}
	if len(sim.subset.records) != len(servers) {
		t.Errorf("%d records for %d listed servers: replaced servers must be forgotten", len(sim.subset.records), len(servers))
	}
}

// An added zone must move only its share of the memberships, and removing it must restore the previous members. A change
// of the number of managers moves nothing, since it is not an input.
func TestAddedAndRemovedZoneMovesFewMemberships(t *testing.T) {
	servers := newServers(21, 100)
	sim := steadyState(servers[:2000], 100)
	before := sim.members()
	sim.applyList(false, servers[2000:]...) // the 21st zone
	sim.runSeconds(60)
	if n := len(difference(before, sim.members())); n > 12 {
		t.Errorf("%d of %d members left when a 21st zone was added", n, len(before))
	}
	sim.applyList(false, withState(balancer.Removed, servers[2000:]...)...)
	sim.runSeconds(200)
	if after := sim.members(); !maps.Equal(before, after) {
		t.Errorf("the members (%d) differ from those before the zone was added and removed (%d)", len(after), len(before))
	}
}

// A thousand managers start at once with the same list. No subset starts widened, and the memberships are spread evenly:
// a manager's selection depends neither on the other managers nor on the order in which they start.
func TestThousandManagersStartAtOnce(t *testing.T) {
	const managers, zones, each, spill = 1000, 20, 60, 60
	servers := newServers(zones, each)
	subsets := map[balancer.ServerID]int{}
	for m := range managers {
		sim := newSimulation(fmt.Sprint("n", m), spill)
		sim.applyList(true, servers...)
		sim.connectProxyIn(zoneName(m % zones))
		sim.runSeconds(5)
		for id := range sim.members() {
			subsets[id]++
		}
		if width := sim.subset.Counts().Width; width != 1 {
			t.Fatalf("manager %d starts with width %.1f, want 1", m, width)
		}
	}
	counts := slices.Sorted(maps.Values(subsets))
	// each server is in the subsets of the 50 managers of its zone and of about 50 others
	if least, most := counts[0], counts[len(counts)-1]; len(counts) != len(servers) || least < 90 || most > 112 {
		t.Errorf("%d of %d servers are in a subset, each in %d to %d, want 90 to 112", len(counts), len(servers), least, most)
	}
}
