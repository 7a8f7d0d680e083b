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

// The deployment size that the package is designed for.
const (
	planManagers = 5600
	planZones    = 88
	planServers  = 24000
	planSpill    = 100
)

// planServerID returns the id of the server with this number. Servers are assigned to the zones in turn.
func planServerID(n int) balancer.ServerID { return balancer.ServerID(fmt.Sprintf("s-%05x", n)) }

// countMemberships counts the spill memberships at the planned size by server and by manager, and the zones that each
// manager's spill servers are in. Each manager has one home zone. All managers share one sorted ring of servers, of which
// each manager takes the part that its limit covers.
func countMemberships(name func(manager int) string) (perServer map[balancer.ServerID]int, perManager, zonesCovered []int) {
	const copies = 2 // the ring is repeated so that no manager's part of it is cut off at the end
	sorted := make([]*record, planServers, copies*planServers)
	for n := range sorted {
		server := newServer(n%planZones, n)
		server.Server = planServerID(n)
		sorted[n] = &record{server: server, distance: position(string(server.Server))}
	}
	slices.SortFunc(sorted, (*record).compare)
	sorted = append(sorted, sorted...)
	perServer = make(map[balancer.ServerID]int, planServers)
	for m := range planManagers {
		origin, home := managerPosition(name(m)), zoneName(m%planZones)
		start, _ := slices.BinarySearchFunc(sorted[:planServers], origin, func(r *record, origin uint64) int {
			return cmp.Compare(r.distance, origin)
		})
		nearby := ring{}
		for _, r := range sorted[start : start+3*planSpill] {
			nearby.records = append(nearby.records, &record{server: r.server, distance: r.distance - origin})
		}
		isForeign := func(r *record) bool { return r.server.Zone != home }
		limit := nearby.limitFor(planSpill, planServers-planServers/planZones, isForeign)
		size, zones := 0, map[balancer.ZoneID]bool{}
		for _, r := range nearby.records[:nearby.coveredCount(limit)] {
			if isForeign(r) {
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

// planList returns the complete list at the planned size; its strings are not shared with other lists.
func planList() (servers []Server) {
	for n := range planServers {
		server := newServer(n%planZones, n/planZones)
		server.Server = planServerID(n)
		servers = append(servers, server)
	}
	return servers
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// The records of the servers outside the subset must fit into a few megabytes, since a manager may use only 256 MB.
func TestMemoryAtPlannedSize(t *testing.T) {
	const most = 12 << 20
	before := heapInUse()
	s := New(Settings{ManagerName: "n1", Spill: planSpill, WarmUpDuration: 16 * time.Second})
	s.HandleEndpointList(0, true, planList())
	s.HandleProxyConnected(0, zoneName(0))
	used := heapInUse() - before
	t.Logf("%.1f MB for %d listed servers, %d of them members", float64(used)/(1<<20), planServers, s.Counts().Members)
	if used > most {
		t.Errorf("%d bytes of heap in use, want at most %d", used, most)
	}
	runtime.KeepAlive(s)
}

// At the planned size, manager names with consecutive numbers put each server into about the same number of subsets.
// With other names the numbers vary more, but no server is left out.
func TestBalanceAtPlannedSize(t *testing.T) {
	for _, style := range []struct {
		description string
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
			t.Errorf("%s: %d of %d servers are in a subset, want all", style.description, len(servers), planServers)
		}
		slices.Sort(managers)
		slices.Sort(zones)
		t.Logf("%s: a server is in %d to %d subsets (1st and 99th percentile %d and %d), a subset has %d to %d spill servers in %d to %d zones",
			style.description, servers[0], servers[len(servers)-1], servers[len(servers)/100], servers[len(servers)*99/100],
			managers[0], managers[len(managers)-1], zones[0], zones[len(zones)-1])
		if servers[0] < style.least || servers[len(servers)-1] > style.most {
			t.Errorf("%s: a server is in %d to %d subsets, want %d to %d",
				style.description, servers[0], servers[len(servers)-1], style.least, style.most)
		}
		if managers[0] < minSizeRatio*planSpill || managers[len(managers)-1] > maxSizeRatio*planSpill {
			t.Errorf("%s: subsets have %d to %d spill servers, outside the allowed range", style.description, managers[0], managers[len(managers)-1])
		}
	}
}

// BenchmarkEndpointListChange measures a change of one server: its cost must not depend on the length of the list.
func BenchmarkEndpointListChange(b *testing.B) {
	sim := newSimulation("n1", planSpill)
	servers := planList()
	sim.applyList(true, servers...)
	sim.connectProxyIn(zoneName(0))
	for i := 0; b.Loop(); i++ {
		sim.subset.HandleEndpointList(time.Second, false, withState(balancer.ServerState(i%2), servers[i%len(servers)]))
	}
}

// BenchmarkStart measures the first list and the first proxy at the planned size.
func BenchmarkStart(b *testing.B) {
	servers := planList()
	b.ReportAllocs()
	for b.Loop() {
		sim := newSimulation("n1", planSpill)
		sim.applyList(true, servers...)
		sim.connectProxyIn(zoneName(0))
	}
}

// BenchmarkTick measures one tick at the planned size.
func BenchmarkTick(b *testing.B) {
	sim := newSimulation("n1", planSpill)
	servers := planList()
	sim.applyList(true, servers...)
	sim.connectProxyIn(zoneName(0))
	b.ReportAllocs()
	for b.Loop() {
		sim.now += time.Second
		sim.subset.HandleTick(sim.now, sim.fleet)
	}
}
