package subset

import (
	"cmp"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// The size that is planned for.
const (
	planManagers = 5600
	planZones    = 88
	planServers  = 24000
	planSpill    = 100
)

// planServerID spreads the plan's servers over its zones in turn.
func planServerID(n int) balancer.ServerID { return balancer.ServerID(fmt.Sprintf("s-%05x", n)) }

// countMemberships counts the plan's spill memberships, by server and by manager: each manager's home is one zone. All managers
// share one ring of servers in order, of which each takes what its limit covers.
func countMemberships(name func(manager int) string) (perServer map[balancer.ServerID]int, perManager, zonesCovered []int) {
	const copies = 2 // the ring twice over, so that a manager's part of it is never cut
	places := make([]*record, planServers, copies*planServers)
	for n := range places {
		one := serverOf(n%planZones, n)
		one.Server = planServerID(n)
		places[n] = &record{server: one, distance: position(string(one.Server))}
	}
	slices.SortFunc(places, (*record).compare)
	places = append(places, places...)
	perServer = make(map[balancer.ServerID]int, planServers)
	for m := range planManagers {
		origin, home := managerPosition(name(m)), zoneName(m%planZones)
		at, _ := slices.BinarySearchFunc(places[:planServers], origin, func(r *record, origin uint64) int {
			return cmp.Compare(r.distance, origin)
		})
		near := ring{}
		for _, r := range places[at : at+3*planSpill] {
			near.records = append(near.records, &record{server: r.server, distance: r.distance - origin})
		}
		foreign := func(r *record) bool { return r.server.Zone != home }
		limit := near.limitFor(planSpill, planServers-planServers/planZones, foreign)
		size, zones := 0, map[balancer.ZoneID]bool{}
		for _, r := range near.records[:near.coveredCount(limit)] {
			if foreign(r) {
				perServer[r.server.Server]++
				zones[r.server.Zone] = true
				size++
			}
		}
		perManager = append(perManager, size)
		zonesCovered = append(zonesCovered, len(zones))
	}
	return perServer, perManager, zonesCovered
}

// planList is the whole list at the plan's size, with strings of its own.
func planList() (servers []Server) {
	for n := range planServers {
		one := serverOf(n%planZones, n/planZones)
		one.Server = planServerID(n)
		servers = append(servers, one)
	}
	return servers
}

// heap is what is in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// The entries outside the subset are kept in a few megabytes: a manager may use 256.
func TestMemoryAtPlannedSize(t *testing.T) {
	const most = 12 << 20
	before := heap()
	s := New(Settings{ManagerName: "n1", Spill: planSpill, WarmUpDuration: 16 * time.Second})
	s.HandleEndpointList(0, true, planList())
	s.HandleProxyConnected(0, zoneName(0))
	used := heap() - before
	t.Logf("%.1f MB for %d listed servers, %d of them members", float64(used)/(1<<20), planServers, s.Counts().Members)
	if used > most {
		t.Errorf("%d bytes, %d at most", used, most)
	}
	runtime.KeepAlive(s)
}

// At the plan's size, names with a running number put each server into as many subsets as any other; other names
// leave none out either.
func TestBalanceAtPlannedSize(t *testing.T) {
	for _, style := range []struct {
		what        string
		name        func(m int) string
		least, most int
	}{
		{"numbered through", func(m int) string { return fmt.Sprint("n", m) }, 19, 27},
		{"numbered by zone", func(m int) string { return fmt.Sprintf("z%02d-%d", m%planZones, m/planZones) }, 5, 50},
		{"no numbers", func(m int) string { return fmt.Sprintf("n%04x-manager", m*2654435761%65521) }, 5, 50},
	} {
		perServer, managers, zones := countMemberships(style.name)
		servers := slices.Sorted(maps.Values(perServer))
		if len(servers) != planServers {
			t.Errorf("%s: %d of %d servers are in a subset", style.what, len(servers), planServers)
		}
		slices.Sort(managers)
		slices.Sort(zones)
		t.Logf("%s: a server is in %d to %d subsets (1st and 99th percentile %d and %d), a subset has %d to %d spill servers of %d to %d zones",
			style.what, servers[0], servers[len(servers)-1], servers[len(servers)/100], servers[len(servers)*99/100],
			managers[0], managers[len(managers)-1], zones[0], zones[len(zones)-1])
		if servers[0] < style.least || servers[len(servers)-1] > style.most {
			t.Errorf("%s: a server is in %d to %d subsets, not in %d to %d", style.what, servers[0], servers[len(servers)-1], style.least, style.most)
		}
		if managers[0] < minSizeRatio*planSpill || managers[len(managers)-1] > maxSizeRatio*planSpill {
			t.Errorf("%s: subsets of %d to %d spill servers", style.what, managers[0], managers[len(managers)-1])
		}
	}
}

// An input costs what it changes: a change of the list does not walk it.
func BenchmarkEndpointListChange(b *testing.B) {
	r := newSimulation("n1", planSpill)
	servers := planList()
	r.list(true, servers...)
	r.join(zoneName(0))
	for i := 0; b.Loop(); i++ {
		r.subset.HandleEndpointList(time.Second, false, withState(balancer.ServerState(i%2), servers[i%len(servers)]))
	}
}

func BenchmarkStart(b *testing.B) {
	servers := planList()
	b.ReportAllocs()
	for b.Loop() {
		r := newSimulation("n1", planSpill)
		r.list(true, servers...)
		r.join(zoneName(0))
	}
}

func BenchmarkTick(b *testing.B) {
	r := newSimulation("n1", planSpill)
	servers := planList()
	r.list(true, servers...)
	r.join(zoneName(0))
	b.ReportAllocs()
	for b.Loop() {
		r.now += time.Second
		r.subset.HandleTick(r.now, r.fleet)
	}
}
