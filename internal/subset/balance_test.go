package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// Spill servers are spread over servers and zones: names with a number leave no server out.
func TestSubsetsAreBalanced(t *testing.T) {
	const managers, zones, each, spill = 2000, 8, 100, 40
	servers := fleetOf(zones, each)
	subsets, sizes := map[balancer.ServerID]int{}, []int{}
	for m := range managers {
		r := newSimulation(fmt.Sprint("n", m), spill).joinZoneWithoutServers()
		r.list(true, servers...)
		members := r.members()
		sizes = append(sizes, len(members))
		inZone := map[balancer.ZoneID]int{}
		for id := range members {
			subsets[id]++
			inZone[r.subset.records[id].server.Zone]++
		}
		for zone, n := range inZone {
			if n > spill/2 {
				t.Errorf("manager %d has %d of its %d spill servers in %s", m, n, len(members), zone)
			}
		}
	}
	expected := managers * spill / (zones * each)
	for _, s := range servers {
		if n := subsets[s.Server]; n < expected*4/5 || n > expected*6/5 {
			t.Errorf("%s is in %d subsets, not about %d", s.Server, n, expected)
		}
	}
	if least, most := slices.Min(sizes), slices.Max(sizes); float64(least) < minSizeRatio*spill || float64(most) > maxSizeRatio*spill {
		t.Errorf("subsets of %d to %d servers", least, most)
	}
}

// One server more or less moves its own share: over many managers, about as many memberships as a server has.
func TestOneServerMovesOnlyItsShare(t *testing.T) {
	const managers, spill = 60, 20
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(4, 10).Draw(t, "zones")
		servers := fleetOf(zones, rapid.IntRange(30, 80).Draw(t, "each"))
		one := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
		share := float64(managers) * spill / float64(len(servers))
		moved := 0.0
		for m := range managers {
			with, without := newSimulation(fmt.Sprint("n", m), spill).joinZoneWithoutServers(), newSimulation(fmt.Sprint("n", m), spill).joinZoneWithoutServers()
			with.list(true, servers...)
			without.list(true, slices.Delete(slices.Clone(servers), one, one+1)...)
			a, b := with.members(), without.members()
			for id := range a {
				if !b[id] {
					moved++
				}
			}
			for id := range b {
				if !a[id] {
					moved++
				}
			}
		}
		// its own memberships go, and about as many move elsewhere, so that each subset keeps its size
		if most := 3*share + 12; moved > most {
			t.Fatalf("%.0f memberships moved, %.0f at most: a server's share is %.1f", moved, most, share)
		}
	})
}

// Six in ten servers are replaced, one after another: the others stay, and the subset keeps its size.
func TestReplacedServersMoveOnlyTheirShare(t *testing.T) {
	servers := fleetOf(20, 100)
	r := steadyState(servers, 100)
	before := r.members()
	for i, old := range servers {
		if i%10 < 6 {
			fresh := serverOf(i/100, 1000+i)
			r.list(false, withState(balancer.Removed, old)[0], fresh)
		}
		if i%40 == 0 {
			r.seconds(1)
		}
	}
	r.seconds(300)
	gone := difference(before, r.members())
	kept := 0
	for _, id := range gone {
		if r.subset.records[id] != nil {
			kept++ // it is listed still
		}
	}
	if kept > 8 {
		t.Errorf("%d of %d members that were not replaced left", kept, len(before))
	}
	if n := len(r.members()); n < 150 || n > 260 {
		t.Errorf("%d members, %d before", n, len(before))
	}
	if len(r.subset.records) != len(servers) {
		t.Errorf("%d records of %d servers: those that were replaced are forgotten", len(r.subset.records), len(servers))
	}
}

// More or fewer managers move nothing, since their number is no input; more zones move a share.
func TestZonesThatComeAndGoMoveOnlyTheirShare(t *testing.T) {
	servers := fleetOf(21, 100)
	r := steadyState(servers[:2000], 100)
	before := r.members()
	r.list(false, servers[2000:]...) // the 21st zone
	r.seconds(60)
	if n := len(difference(before, r.members())); n > 12 {
		t.Errorf("%d of %d members left for one zone in 21", n, len(before))
	}
	r.list(false, withState(balancer.Removed, servers[2000:]...)...)
	r.seconds(200)
	if after := r.members(); !maps.Equal(before, after) {
		t.Errorf("%d members were %d once the zone had come and gone", len(after), len(before))
	}
}

// A thousand managers open at once on the same list: nothing they hold depends on one another, or on the order.
func TestThousandManagersStartAtOnce(t *testing.T) {
	const managers, zones, each, spill = 1000, 20, 60, 60
	servers := fleetOf(zones, each)
	subsets := map[balancer.ServerID]int{}
	for m := range managers {
		r := newSimulation(fmt.Sprint("n", m), spill)
		r.list(true, servers...)
		r.join(zoneName(m % zones))
		r.seconds(5)
		for id := range r.members() {
			subsets[id]++
		}
		if width := r.subset.Counts().Width; width != 1 {
			t.Fatalf("manager %d opens %.1f times as wide", m, width)
		}
	}
	counts := slices.Sorted(maps.Values(subsets))
	// each is in the subsets of its zone's 50 managers, and in some 50 others
	if least, most := counts[0], counts[len(counts)-1]; len(counts) != len(servers) || least < 90 || most > 112 {
		t.Errorf("%d servers are in %d to %d subsets", len(counts), least, most)
	}
}
