package subset

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// requireGradualDrain advances one second, in which only a small fraction of the members may leave.
func (sim *simulation) requireGradualDrain(t *testing.T) {
	t.Helper()
	before := len(sim.members())
	sim.runSeconds(1)
	if left := before - len(sim.members()); left > max(minDrainPerTick, int(maxDrainFraction*float64(before))) {
		t.Errorf("%d of %d members left in one second, more than the drain limit", left, before)
	}
}

// A server that leaves the subset is published as draining, then as removed; once the balancer has forgotten it, its
// withdrawal is lifted.
func TestSurplusServerDrainsAndIsRestored(t *testing.T) {
	servers := newServers(20, 100)
	sim := steadyState(servers, 50)
	sim.failServers(serversInZone(servers, 0)...)
	sim.runSeconds(5)
	clear(sim.fleet.failed)
	last := map[balancer.ServerID]balancer.ServerState{}
	lifted := map[balancer.ServerID]bool{}
	drainedAt := map[balancer.ServerID]time.Duration{}
	for range 900 {
		update := sim.tick()
		for _, entry := range update.Servers {
			previous, published := last[entry.Server]
			if entry.State == balancer.Removed && (!published || previous != balancer.Draining || sim.now-drainedAt[entry.Server] < drainDuration) {
				t.Fatalf("%s was published as removed %v after it began to drain, want at least %v",
					entry.Server, sim.now-drainedAt[entry.Server], drainDuration)
			}
			if entry.State == balancer.Draining {
				drainedAt[entry.Server] = sim.now
			}
			last[entry.Server] = entry.State
		}
		for _, id := range update.Restore {
			if known, _, _ := sim.fleet.ServerStatus(id); known {
				t.Fatalf("the withdrawal of %s was lifted while the balancer still knows it", id)
			}
			lifted[id] = true
		}
	}
	if len(last) < 50 || len(lifted) != len(last) {
		t.Errorf("%d servers left, want at least 50; the withdrawals of %d were lifted, want all", len(last), len(lifted))
	}
}

// A server that is selected again at any point between the start of its drain and being forgotten becomes a member.
func TestDrainingServerSelectedAgainBecomesMember(t *testing.T) {
	for _, after := range []int{1, 20, 40, 70, 95, 130} {
		servers := newServers(20, 100)
		sim := steadyState(servers, 50)
		sim.failServers(serversInZone(servers, 0)...)
		sim.runSeconds(5)
		wide := sim.members()
		clear(sim.fleet.failed)
		sim.runSeconds(int(narrowDelay/time.Second) + after)
		leaving := sim.subset.Counts().Leaving
		for _, record := range sim.subset.published { // half of the other zones' servers fail too, so that the subset becomes as wide again
			if record.server.Zone != zoneName(0) && record.phase == phaseMember && record.distance%2 == 0 {
				sim.failServers(record.server)
			}
		}
		sim.failServers(serversInZone(servers, 0)...)
		sim.runSeconds(2)
		if n := sim.servingOutside(0); n < 105 {
			t.Errorf("%d s after narrowing began, with %d of %d leaving: %d servers of other zones are in service, want at least 105",
				after, leaving, len(wide), n)
		}
		for _, record := range sim.subset.ring.records {
			if sim.subset.selects(record) && record.phase != phaseMember {
				t.Errorf("%d s after narrowing began: %s is selected but not a member", after, record.server.Server)
			}
		}
	}
}

// After the last proxy of a zone disconnects, the zone's servers stay members for homeZoneTimeout, then drain gradually.
func TestZoneWithoutProxiesIsDrained(t *testing.T) {
	servers := newServers(10, 100)
	sim := steadyState(servers, 30)
	sim.connectProxyIn(zoneName(1))
	sim.runSeconds(5)
	withBothZones := len(sim.members())
	sim.subset.HandleProxyDisconnected(sim.now, zoneName(1))
	sim.runSeconds(50)
	if n := len(sim.members()); n != withBothZones {
		t.Errorf("%d of %d members are left before %v have passed", n, withBothZones, homeZoneTimeout)
	}
	sim.connectProxyIn(zoneName(1)) // reconnects within the timeout, as after a gap in the event stream
	sim.subset.HandleProxyDisconnected(sim.now, zoneName(1))
	for range 300 {
		sim.requireGradualDrain(t)
	}
	for id := range sim.members() {
		if record := sim.subset.records[id]; record.server.Zone == zoneName(1) && !sim.subset.limit.covers(record.distance) {
			t.Errorf("%s of the former home zone is still a member", id)
		}
	}
}

// A drain or removal of a server outside the subset is published too: a proxy that moves here from another manager may
// hold a table that names the server. When the drain is over, the server is forgotten, and its withdrawal is lifted if
// it is ready.
func TestDrainsOutsideTheSubsetArePublished(t *testing.T) {
	servers := newServers(10, 20)
	sim := steadyState(servers, 10)
	var outsiders []Server
	for _, s := range servers {
		if _, isPublished := sim.fleet.entries[s.Server]; !isPublished {
			outsiders = append(outsiders, s)
		}
	}
	drained := outsiders[0]
	removed := outsiders[1]
	returning := outsiders[2]
	sim.applyList(false, withState(balancer.Draining, drained, returning)...)
	sim.applyList(false, withState(balancer.Removed, removed)...)
	for _, s := range []Server{drained, removed, returning} {
		if e := sim.fleet.entries[s.Server]; e.State != balancer.Draining {
			t.Errorf("%s is published as %+v, want draining", s.Server, e)
		}
	}
	for range 200 {
		sim.tick()
		if e, known := sim.fleet.entries[drained.Server]; !known || e.State != balancer.Draining {
			t.Fatalf("%s is still draining, but is published as %+v (known: %v)", drained.Server, e, known)
		}
	}
	if known, _, _ := sim.fleet.ServerStatus(removed.Server); known || sim.subset.Tracks(removed.Server) {
		t.Errorf("%s was removed but is not forgotten", removed.Server)
	}
	sim.applyList(false, returning)
	lifted := false
	for range 200 {
		lifted = lifted || slices.Contains(sim.tick().Restore, returning.Server)
	}
	if known, _, _ := sim.fleet.ServerStatus(returning.Server); known || !lifted {
		t.Errorf("%s is ready again: known %v, want false; withdrawal lifted %v, want true", returning.Server, known, lifted)
	}
}

// listSimulation applies random changes of the list and of the proxies, and records the last listed state of each server.
type listSimulation struct {
	*simulation
	servers     []Server
	zones       int
	listedState map[balancer.ServerID]balancer.ServerState // last state of each server that was ever listed
	proxies     map[int]int                                // connected proxies by zone
}

func (l *listSimulation) changeList(t *rapid.T) {
	some := rapid.SliceOfN(rapid.SampledFrom(l.servers), 1, 20).Draw(t, "servers")
	states := []balancer.ServerState{balancer.Ready, balancer.Draining, balancer.Removed}
	to := rapid.SampledFrom(states).Draw(t, "state")
	for _, server := range some {
		l.listedState[server.Server] = to
	}
	l.applyList(false, withState(to, some...)...)
}

func (l *listSimulation) replaceList(t *rapid.T) {
	absent := rapid.SliceOfN(rapid.SampledFrom(l.servers), 0, 10).Draw(t, "absent")
	for _, server := range absent { // removed by its absence from the list
		l.listedState[server.Server] = balancer.Removed
	}
	var all []Server
	for _, server := range l.servers {
		server.State = l.listedState[server.Server]
		if server.State != balancer.Removed {
			all = append(all, server)
		}
	}
	l.applyList(true, all...)
}

func (l *listSimulation) connectProxy(t *rapid.T) {
	zone := rapid.IntRange(0, l.zones-1).Draw(t, "zone")
	l.proxies[zone]++
	l.connectProxyIn(zoneName(zone))
}

func (l *listSimulation) disconnectProxy(t *rapid.T) {
	zone := rapid.IntRange(0, l.zones-1).Draw(t, "zone")
	if l.proxies[zone] > 0 {
		l.proxies[zone]--
		l.subset.HandleProxyDisconnected(l.now, zoneName(zone))
	}
}

// isReleased reports whether a server waits to be forgotten by the balancer, which the next ticks check.
func (l *listSimulation) isReleased(id balancer.ServerID) bool {
	record := l.subset.records[id]
	return record != nil && record.phase == phaseReleased
}

func (l *listSimulation) check(t *rapid.T) {
	for id, entry := range l.fleet.entries {
		if entry.State == balancer.Ready && l.listedState[id] != balancer.Ready {
			t.Fatalf("%s is published as ready, but its listed state is %v", id, l.listedState[id])
		}
	}
	for id, state := range l.listedState {
		known, _, _ := l.fleet.ServerStatus(id)
		if l.subset.active && state == balancer.Draining && !known && !l.isReleased(id) {
			t.Fatalf("%s is draining, but is not published", id)
		}
	}
	for zone, proxies := range l.proxies {
		if proxies == 0 {
			continue
		}
		for _, server := range serversInZone(l.servers, zone) {
			entry, known := l.fleet.entries[server.Server]
			isPublished := known && entry.State == balancer.Ready
			if l.listedState[server.Server] == balancer.Ready && !l.isReleased(server.Server) && !isPublished {
				t.Fatalf("%s of a home zone is ready, but is not published as ready", server.Server)
			}
		}
	}
}

// After any sequence of list changes, the balancer has the last listed state of each server: every drain is published,
// and no draining or removed server gets requests.
func TestNoDrainIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, zones := drawServers(t)
		l := &listSimulation{
			simulation:  newSimulation("n5", rapid.IntRange(1, 40).Draw(t, "spill")),
			servers:     servers,
			zones:       zones,
			listedState: map[balancer.ServerID]balancer.ServerState{},
			proxies:     map[int]int{},
		}
		l.applyList(true, servers...)
		t.Repeat(map[string]func(*rapid.T){
			"change":     l.changeList,
			"whole list": l.replaceList,
			"connect":    l.connectProxy,
			"disconnect": l.disconnectProxy,
			"fail": func(t *rapid.T) {
				l.fleet.failed[rapid.SampledFrom(servers).Draw(t, "server").Server] = true
			},
			"mend": func(*rapid.T) { clear(l.fleet.failed) },
			"time": func(t *rapid.T) { l.runSeconds(rapid.IntRange(1, 40).Draw(t, "seconds")) },
			"":     l.check,
		})
	})
}
