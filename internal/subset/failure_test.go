package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// raised is a run in steady state: zone 0 is home.
func raised(servers []Server, spill int) *run {
	r := newRun("n9", spill)
	r.list(true, servers...)
	r.join(zoneName(0))
	r.seconds(5)
	return r
}

func (r *run) fail(servers ...Server) {
	for _, s := range servers {
		r.fleet.failed[s.Server] = true
	}
}

// serving counts the members of other zones than a home zone that are in service.
func (r *run) serving(home int) (n int) {
	for id, e := range r.fleet.entries {
		if e.Zone != zoneName(home) && r.fleet.open(id) {
			n++
		}
	}
	return n
}

func TestALostHomeZoneIsMadeUpForAtOnce(t *testing.T) {
	servers := fleetOf(20, 273)
	r := raised(servers, 100)
	before := r.members()
	r.fail(ofZone(servers, 0)...)
	r.seconds(1)
	if n := r.serving(0); n < 260 || n > 800 {
		t.Errorf("%d servers of other zones serve in the second after 273 were lost", n)
	}
	for id := range before {
		if !r.members()[id] {
			t.Errorf("%s is no member any more: widening only adds", id)
		}
	}
}

func TestAHomeZoneThatTheListDropsIsMadeUpFor(t *testing.T) {
	servers := fleetOf(20, 273)
	r := raised(servers, 100)
	r.list(false, in(balancer.Removed, ofZone(servers, 0)...)...)
	r.seconds(1)
	if n := r.serving(0); n < 260 || n > 800 {
		t.Errorf("%d servers of other zones serve in the second after 273 were removed", n)
	}
	r.seconds(1800)
	if n := r.serving(0); n < 260 {
		t.Errorf("%d servers of other zones are left half an hour later, and the zone is not back", n)
	}
}

// What a home zone lacks is the size that it had, not that of other zones.
func TestTheSizeOfALostHomeZoneIsRemembered(t *testing.T) {
	var home []Server
	for n := range 500 {
		home = append(home, serverOf(0, 1000+n))
	}
	r := raised(slices.Concat(home, fleetOf(20, 100)), 100)
	r.list(false, in(balancer.Removed, slices.Concat(home, ofZone(fleetOf(1, 100), 0))...)...)
	r.seconds(1)
	if n := float64(r.serving(0)); n < widenBelow*700 {
		t.Errorf("%.0f servers of other zones serve in the second after 600 were removed", n)
	}
}

// Members that are being probed are waited for: neither at the start nor after a widening is the subset widened for them.
func TestMembersThatAreProbedAreWaitedFor(t *testing.T) {
	const probing = settleTime - time.Second
	servers := fleetOf(20, 100)
	r := newRun("n9", 100)
	r.fleet.probing = probing
	r.list(true, servers...)
	r.join(zoneName(0))
	r.seconds(5)
	if width := r.subset.Counts().Width; width != 1 {
		t.Errorf("%.1f times as wide while the first members are probed", width)
	}
	r.fail(ofZone(servers, 0)...)
	r.look()
	width := r.subset.Counts().Width
	r.seconds(10)
	if later := r.subset.Counts().Width; width < 1.5 || later != width {
		t.Errorf("%.1f times as wide after the loss, %.1f while new members were probed", width, later)
	}
}

// A zone that comes back cold keeps the subset wide until it is warm; then it narrows, a few servers each second.
func TestNarrowingWaitsForWarmServersAndIsGentle(t *testing.T) {
	servers := fleetOf(20, 273)
	r := raised(servers, 100)
	narrow := r.members()
	r.fail(ofZone(servers, 0)...)
	r.seconds(60)
	clear(r.fleet.failed)
	r.fleet.climbed = 0.3
	r.seconds(120)
	wide := len(r.members())
	if wide < len(narrow)+150 {
		t.Fatalf("%d members while the zone is cold, %d usually", wide, len(narrow))
	}
	r.fleet.climbed = 1
	r.seconds(int(calmFor/time.Second) - 1)
	if n := len(r.members()); n != wide {
		t.Errorf("%d of %d members %v after the zone is warm", n, wide, calmFor)
	}
	for range 600 {
		r.mustLeaveFewByFew(t)
	}
	if !maps.Equal(r.members(), narrow) {
		t.Errorf("%d members in the end, %d before", len(r.members()), len(narrow))
	}
	if n := len(r.fleet.entries); n != len(narrow) {
		t.Errorf("the fleet still knows %d servers, not %d", n, len(narrow))
	}
}

// mustLeaveFewByFew plays a second, in which a small part of the members may leave.
func (r *run) mustLeaveFewByFew(t *testing.T) {
	t.Helper()
	before := len(r.members())
	r.seconds(1)
	if left := before - len(r.members()); left > max(leaveAtLeast, int(leavePart*float64(before))) {
		t.Errorf("%d of %d members left in one second", left, before)
	}
}

// One that leaves drains first, then is gone, and once it is forgotten its withdrawal is lifted.
func TestAServerThatLeavesDrainsAndIsLetBackIn(t *testing.T) {
	servers := fleetOf(20, 100)
	r := raised(servers, 50)
	r.fail(ofZone(servers, 0)...)
	r.seconds(5)
	clear(r.fleet.failed)
	last := map[balancer.ServerID]balancer.ServerState{}
	lifted, drainedAt := map[balancer.ServerID]bool{}, map[balancer.ServerID]time.Duration{}
	for range 900 {
		u := r.look()
		for _, one := range u.Servers {
			was, left := last[one.Server]
			if one.State == balancer.Removed && (!left || was != balancer.Draining || r.now-drainedAt[one.Server] < drainGrace) {
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
func TestAServerThatIsNeededAgainReturns(t *testing.T) {
	for _, after := range []int{1, 20, 40, 70, 95, 130} {
		servers := fleetOf(20, 100)
		r := raised(servers, 50)
		r.fail(ofZone(servers, 0)...)
		r.seconds(5)
		wide := r.members()
		clear(r.fleet.failed)
		r.seconds(int(calmFor/time.Second) + after)
		leaving := r.subset.Counts().Leaving
		for _, record := range r.subset.handed { // half of the others fail too, so that it gets as wide again
			if record.server.Zone != zoneName(0) && record.phase == member && record.distance%2 == 0 {
				r.fail(record.server)
			}
		}
		r.fail(ofZone(servers, 0)...)
		r.seconds(2)
		if n := r.serving(0); n < 105 {
			t.Errorf("%d s after narrowing began, with %d leaving of %d: %d servers of other zones serve", after, leaving, len(wide), n)
		}
		for _, record := range r.subset.ring.records {
			if r.subset.selects(record) && record.phase != member {
				t.Errorf("%d s after narrowing began: %s is selected and no member", after, record.server.Server)
			}
		}
	}
}

func difference(a, b map[balancer.ServerID]bool) (missing []balancer.ServerID) {
	for id := range a {
		if !b[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// A subset whose servers all fail reaches any sound server within seconds.
func TestASubsetWhoseServersAllFailReachesTheLastSoundOne(t *testing.T) {
	servers := fleetOf(88, 273)
	r := raised(servers, 100)
	sound := r.subset.ring.records[len(r.subset.ring.records)-1].server // the farthest
	if sound.Zone == zoneName(0) {
		t.Fatal("the farthest server is at home")
	}
	r.fail(servers...)
	delete(r.fleet.failed, sound.Server)
	seconds := 0
	for ; !r.fleet.open(sound.Server) && seconds < 60; seconds++ {
		r.seconds(1)
	}
	t.Logf("reached after %d looks", seconds)
	if seconds > 4 {
		t.Errorf("reached after %d looks", seconds)
	}
}

// Most of the spill servers fail, and home is sound.
func TestSpillServersThatFailAreMadeUpFor(t *testing.T) {
	servers := fleetOf(20, 100)
	r := raised(servers, 50)
	for id := range r.members() {
		if zone := r.subset.records[id].server.Zone; zone != zoneName(0) && r.serving(0) > 10 {
			r.fleet.failed[id] = true
		}
	}
	r.seconds(1)
	if n := r.serving(0); n < 35 {
		t.Errorf("%d spill servers serve", n)
	}
}

// Six in ten servers are replaced, one after another: the others stay, and the subset keeps its size.
func TestReplacedServersMoveTheirShareOnly(t *testing.T) {
	servers := fleetOf(20, 100)
	r := raised(servers, 100)
	before := r.members()
	for i, old := range servers {
		if i%10 < 6 {
			fresh := serverOf(i/100, 1000+i)
			r.list(false, in(balancer.Removed, old)[0], fresh)
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
func TestZonesThatComeAndGoMoveTheirShareOnly(t *testing.T) {
	servers := fleetOf(21, 100)
	r := raised(servers[:2000], 100)
	before := r.members()
	r.list(false, servers[2000:]...) // the 21st zone
	r.seconds(60)
	if n := len(difference(before, r.members())); n > 12 {
		t.Errorf("%d of %d members left for one zone in 21", n, len(before))
	}
	r.list(false, in(balancer.Removed, servers[2000:]...)...)
	r.seconds(200)
	if after := r.members(); !maps.Equal(before, after) {
		t.Errorf("%d members were %d once the zone had come and gone", len(after), len(before))
	}
}

// The last proxy of a zone leaves: its servers stay for a while, then leave few by few.
func TestAZoneWithoutProxiesIsLetGo(t *testing.T) {
	servers := fleetOf(10, 100)
	r := raised(servers, 30)
	r.join(zoneName(1))
	r.seconds(5)
	both := len(r.members())
	r.subset.HandleProxyDisconnected(r.now, zoneName(1))
	r.seconds(50)
	if n := len(r.members()); n != both {
		t.Errorf("%d members of %d within %v", n, both, homeHeld)
	}
	r.join(zoneName(1)) // the news had a gap
	r.subset.HandleProxyDisconnected(r.now, zoneName(1))
	for range 300 {
		r.mustLeaveFewByFew(t)
	}
	for id := range r.members() {
		if record := r.subset.records[id]; record.server.Zone == zoneName(1) && !r.subset.limit.covers(record.distance) {
			t.Errorf("%s is a member still", id)
		}
	}
}

// A warm server that becomes a member does not climb, also when the list tells it once more; one that restarts does.
func TestAWarmServerDoesNotClimb(t *testing.T) {
	servers := fleetOf(4, 20)
	for i := range servers {
		servers[i].RecentlyStarted, servers[i].Started = true, 10*time.Second
	}
	r := newRun("n9", 1)
	r.now = time.Minute
	r.list(true, servers...)
	r.join(zoneName(0))
	one := servers[0].Server
	if e := r.fleet.entries[one]; e.RecentlyStarted {
		t.Error("it is handed on as a fresh process")
	}
	r.list(false, servers[0])
	if e := r.fleet.entries[one]; e.RecentlyStarted {
		t.Error("it is handed on as a fresh process when it is told again")
	}
	restarted := servers[0]
	restarted.Started = 50 * time.Second
	r.list(false, restarted)
	if e := r.fleet.entries[one]; !e.RecentlyStarted || e.Started != restarted.Started {
		t.Error("a restart is not handed on")
	}
}

// A thousand managers open at once on the same list: nothing they hold depends on one another, or on the order.
func TestAThousandManagersOpenAtOnce(t *testing.T) {
	const managers, zones, each, spill = 1000, 20, 60, 60
	servers := fleetOf(zones, each)
	subsets := map[balancer.ServerID]int{}
	for m := range managers {
		r := newRun(fmt.Sprint("n", m), spill)
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

// An input costs what it changes: a change of the list does not walk it.
func BenchmarkChangeOfTheList(b *testing.B) {
	r := newRun("n1", planSpill)
	servers := planList()
	r.list(true, servers...)
	r.join(zoneName(0))
	for i := 0; b.Loop(); i++ {
		r.subset.HandleEndpointList(time.Second, false, in(balancer.ServerState(i%2), servers[i%len(servers)]))
	}
}

func BenchmarkOpening(b *testing.B) {
	servers := planList()
	b.ReportAllocs()
	for b.Loop() {
		r := newRun("n1", planSpill)
		r.list(true, servers...)
		r.join(zoneName(0))
	}
}

func BenchmarkLook(b *testing.B) {
	r := newRun("n1", planSpill)
	servers := planList()
	r.list(true, servers...)
	r.join(zoneName(0))
	b.ReportAllocs()
	for b.Loop() {
		r.now += time.Second
		r.subset.HandleTick(r.now, r.fleet)
	}
}

// Before a proxy joins there is nobody to serve: nothing is handed on. Then it is the whole subset, in one list.
func TestNothingIsHandedOnBeforeTheFirstProxy(t *testing.T) {
	servers := fleetOf(10, 20)
	servers[25].State = balancer.Draining
	r := newRun("n9", 10)
	r.list(true, servers...)
	r.list(false, in(balancer.Draining, servers[30])...)
	r.seconds(10)
	if n := len(r.fleet.entries); n > 0 {
		t.Errorf("%d servers are handed on before the first proxy", n)
	}
	u := r.join(zoneName(0))
	if !u.Complete || len(r.members()) < 28 {
		t.Errorf("whole %v, %d members", u.Complete, len(r.members()))
	}
	for _, i := range []int{25, 30} {
		if e := r.fleet.entries[servers[i].Server]; e.State != balancer.Draining {
			t.Errorf("%s drains and is handed on as %+v", servers[i].Server, e)
		}
	}
}

// A drain or a removal outside the subset is handed on too: a proxy that comes from another manager may hold a table
// that names the server. Once that is over, the server is forgotten, and let back in if it is ready.
func TestDrainsOutsideTheSubsetAreHandedOn(t *testing.T) {
	servers := fleetOf(10, 20)
	r := raised(servers, 10)
	var outsiders []Server
	for _, s := range servers {
		if _, handed := r.fleet.entries[s.Server]; !handed {
			outsiders = append(outsiders, s)
		}
	}
	drained, removed, back := outsiders[0], outsiders[1], outsiders[2]
	r.list(false, in(balancer.Draining, drained, back)...)
	r.list(false, in(balancer.Removed, removed)...)
	for _, s := range []Server{drained, removed, back} {
		if e := r.fleet.entries[s.Server]; e.State != balancer.Draining {
			t.Errorf("%s is handed on as %+v", s.Server, e)
		}
	}
	for range 200 {
		r.look()
		if e, known := r.fleet.entries[drained.Server]; !known || e.State != balancer.Draining {
			t.Fatalf("%s drains still and is handed on as %+v", drained.Server, e)
		}
	}
	if known, _, _ := r.fleet.ServerStatus(removed.Server); known || r.subset.Tracks(removed.Server) {
		t.Errorf("%s is not forgotten", removed.Server)
	}
	r.list(false, back)
	lifted := false
	for range 200 {
		lifted = lifted || slices.Contains(r.look().Restore, back.Server)
	}
	if known, _, _ := r.fleet.ServerStatus(back.Server); known || !lifted {
		t.Errorf("%s is ready again: known %v, its withdrawal is lifted %v", back.Server, known, lifted)
	}
}
