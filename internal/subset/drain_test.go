package subset

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// requireGradualDrain plays a second, in which a small part of the members may leave.
func (r *simulation) requireGradualDrain(t *testing.T) {
	t.Helper()
	before := len(r.members())
	r.seconds(1)
	if left := before - len(r.members()); left > max(minDrainPerTick, int(maxDrainFraction*float64(before))) {
		t.Errorf("%d of %d members left in one second", left, before)
	}
}

// One that leaves drains first, then is gone, and once it is forgotten its withdrawal is lifted.
func TestSurplusServerDrainsAndIsRestored(t *testing.T) {
	servers := fleetOf(20, 100)
	r := steadyState(servers, 50)
	r.fail(ofZone(servers, 0)...)
	r.seconds(5)
	clear(r.fleet.failed)
	last := map[balancer.ServerID]balancer.ServerState{}
	lifted := map[balancer.ServerID]bool{}
	drainedAt := map[balancer.ServerID]time.Duration{}
	for range 900 {
		u := r.tick()
		for _, one := range u.Servers {
			was, left := last[one.Server]
			if one.State == balancer.Removed && (!left || was != balancer.Draining || r.now-drainedAt[one.Server] < drainDuration) {
				t.Fatalf("%s is gone %v after it began to drain", one.Server, r.now-drainedAt[one.Server])
			}
			if one.State == balancer.Draining {
				drainedAt[one.Server] = r.now
			}
			last[one.Server] = one.State
		}
		for _, id := range u.Restore {
			if known, _, _ := r.fleet.ServerStatus(id); known {
				t.Fatalf("%s is let back in and still known", id)
			}
			lifted[id] = true
		}
	}
	if len(last) < 50 || len(lifted) != len(last) {
		t.Errorf("%d servers left, the withdrawals of %d are lifted", len(last), len(lifted))
	}
}

// A server that is selected again before it is forgotten goes on as a member, at each point of its leave.
func TestDrainingServerThatIsNeededAgainReturns(t *testing.T) {
	for _, after := range []int{1, 20, 40, 70, 95, 130} {
		servers := fleetOf(20, 100)
		r := steadyState(servers, 50)
		r.fail(ofZone(servers, 0)...)
		r.seconds(5)
		wide := r.members()
		clear(r.fleet.failed)
		r.seconds(int(narrowDelay/time.Second) + after)
		leaving := r.subset.Counts().Leaving
		for _, record := range r.subset.published { // half of the others fail too, so that it gets as wide again
			if record.server.Zone != zoneName(0) && record.phase == phaseMember && record.distance%2 == 0 {
				r.fail(record.server)
			}
		}
		r.fail(ofZone(servers, 0)...)
		r.seconds(2)
		if n := r.servingOutside(0); n < 105 {
			t.Errorf("%d s after narrowing began, with %d leaving of %d: %d servers of other zones serve", after, leaving, len(wide), n)
		}
		for _, record := range r.subset.ring.records {
			if r.subset.selects(record) && record.phase != phaseMember {
				t.Errorf("%d s after narrowing began: %s is selected and no member", after, record.server.Server)
			}
		}
	}
}

// The last proxy of a zone leaves: its servers stay for a while, then leave few by few.
func TestZoneWithoutProxiesIsDrained(t *testing.T) {
	servers := fleetOf(10, 100)
	r := steadyState(servers, 30)
	r.join(zoneName(1))
	r.seconds(5)
	both := len(r.members())
	r.subset.HandleProxyDisconnected(r.now, zoneName(1))
	r.seconds(50)
	if n := len(r.members()); n != both {
		t.Errorf("%d members of %d within %v", n, both, homeZoneTimeout)
	}
	r.join(zoneName(1)) // the news had a gap
	r.subset.HandleProxyDisconnected(r.now, zoneName(1))
	for range 300 {
		r.requireGradualDrain(t)
	}
	for id := range r.members() {
		if record := r.subset.records[id]; record.server.Zone == zoneName(1) && !r.subset.limit.covers(record.distance) {
			t.Errorf("%s is a member still", id)
		}
	}
}

// A drain or a removal outside the subset is published too: a proxy that comes from another manager may hold a table
// that names the server. Once that is over, the server is forgotten, and let back in if it is ready.
func TestDrainsOutsideTheSubsetArePublished(t *testing.T) {
	servers := fleetOf(10, 20)
	r := steadyState(servers, 10)
	var outsiders []Server
	for _, s := range servers {
		if _, isPublished := r.fleet.entries[s.Server]; !isPublished {
			outsiders = append(outsiders, s)
		}
	}
	drained := outsiders[0]
	removed := outsiders[1]
	back := outsiders[2]
	r.list(false, withState(balancer.Draining, drained, back)...)
	r.list(false, withState(balancer.Removed, removed)...)
	for _, s := range []Server{drained, removed, back} {
		if e := r.fleet.entries[s.Server]; e.State != balancer.Draining {
			t.Errorf("%s is published as %+v", s.Server, e)
		}
	}
	for range 200 {
		r.tick()
		if e, known := r.fleet.entries[drained.Server]; !known || e.State != balancer.Draining {
			t.Fatalf("%s drains still and is published as %+v", drained.Server, e)
		}
	}
	if known, _, _ := r.fleet.ServerStatus(removed.Server); known || r.subset.Tracks(removed.Server) {
		t.Errorf("%s is not forgotten", removed.Server)
	}
	r.list(false, back)
	lifted := false
	for range 200 {
		lifted = lifted || slices.Contains(r.tick().Restore, back.Server)
	}
	if known, _, _ := r.fleet.ServerStatus(back.Server); known || !lifted {
		t.Errorf("%s is ready again: known %v, its withdrawal is lifted %v", back.Server, known, lifted)
	}
}

// listSimulation draws changes of the list and of proxies, and remembers what was said last.
type listSimulation struct {
	*simulation
	servers []Server
	zones   int
	said    map[balancer.ServerID]balancer.ServerState // of each server that the list named
	proxies map[int]int                                // connected, by zone
}

func (l *listSimulation) changeList(t *rapid.T) {
	some := rapid.SliceOfN(rapid.SampledFrom(l.servers), 1, 20).Draw(t, "servers")
	states := []balancer.ServerState{balancer.Ready, balancer.Draining, balancer.Removed}
	to := rapid.SampledFrom(states).Draw(t, "state")
	for _, server := range some {
		l.said[server.Server] = to
	}
	l.list(false, withState(to, some...)...)
}

func (l *listSimulation) replaceList(t *rapid.T) {
	absent := rapid.SliceOfN(rapid.SampledFrom(l.servers), 0, 10).Draw(t, "absent")
	for _, server := range absent { // removed, without another word
		l.said[server.Server] = balancer.Removed
	}
	var all []Server
	for _, server := range l.servers {
		server.State = l.said[server.Server]
		if server.State != balancer.Removed {
			all = append(all, server)
		}
	}
	l.list(true, all...)
}

func (l *listSimulation) connectProxy(t *rapid.T) {
	zone := rapid.IntRange(0, l.zones-1).Draw(t, "zone")
	l.proxies[zone]++
	l.join(zoneName(zone))
}

func (l *listSimulation) disconnectProxy(t *rapid.T) {
	zone := rapid.IntRange(0, l.zones-1).Draw(t, "zone")
	if l.proxies[zone] > 0 {
		l.proxies[zone]--
		l.subset.HandleProxyDisconnected(l.now, zoneName(zone))
	}
}

// isReleased tells whether a server waits for the next tick, which tells whether the balancer has forgotten it.
func (l *listSimulation) isReleased(id balancer.ServerID) bool {
	record := l.subset.records[id]
	return record != nil && record.phase == phaseReleased
}

func (l *listSimulation) check(t *rapid.T) {
	for id, entry := range l.fleet.entries {
		if entry.State == balancer.Ready && l.said[id] != balancer.Ready {
			t.Fatalf("%s is published as ready, and the list says %v", id, l.said[id])
		}
	}
	for id, state := range l.said {
		known, _, _ := l.fleet.ServerStatus(id)
		if l.subset.active && state == balancer.Draining && !known && !l.isReleased(id) {
			t.Fatalf("%s drains and is not published", id)
		}
	}
	for zone, proxies := range l.proxies {
		if proxies == 0 {
			continue
		}
		for _, server := range ofZone(l.servers, zone) {
			entry, known := l.fleet.entries[server.Server]
			isPublished := known && entry.State == balancer.Ready
			if l.said[server.Server] == balancer.Ready && !l.isReleased(server.Server) && !isPublished {
				t.Fatalf("%s of a home zone is ready and not published", server.Server)
			}
		}
	}
}

// Whatever the list does, the last that it said of a server is what the fleet was told: no drain is lost, and no server
// that is removed or drains gets requests.
func TestNoDrainIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, zones := drawFleet(t)
		l := &listSimulation{
			simulation: newSimulation("n5", rapid.IntRange(1, 40).Draw(t, "spill")),
			servers:    servers,
			zones:      zones,
			said:       map[balancer.ServerID]balancer.ServerState{},
			proxies:    map[int]int{},
		}
		l.list(true, servers...)
		t.Repeat(map[string]func(*rapid.T){
			"change":     l.changeList,
			"whole list": l.replaceList,
			"connect":    l.connectProxy,
			"disconnect": l.disconnectProxy,
			"fail": func(t *rapid.T) {
				l.fleet.failed[rapid.SampledFrom(servers).Draw(t, "server").Server] = true
			},
			"mend": func(*rapid.T) { clear(l.fleet.failed) },
			"time": func(t *rapid.T) { l.seconds(rapid.IntRange(1, 40).Draw(t, "seconds")) },
			"":     l.check,
		})
	})
}
