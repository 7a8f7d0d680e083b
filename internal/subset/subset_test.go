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

// fakeFleet stands for the decision module: it keeps what it is handed, and says what is in service.
type fakeFleet struct {
	entries map[balancer.ServerID]balancer.Endpoint
	failed  map[balancer.ServerID]bool
	climbed float64
	now     time.Duration
	probing time.Duration // until a server that was added is in service
	addedAt map[balancer.ServerID]time.Duration
	goneAt  map[balancer.ServerID]time.Duration
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{entries: map[balancer.ServerID]balancer.Endpoint{}, failed: map[balancer.ServerID]bool{}, climbed: 1,
		addedAt: map[balancer.ServerID]time.Duration{}, goneAt: map[balancer.ServerID]time.Duration{}}
}

// forgetAfter is how long the decision module remembers a server that is gone.
const forgetAfter = time.Minute

func (f *fakeFleet) open(id balancer.ServerID) bool {
	e, known := f.entries[id]
	return known && e.State == balancer.Ready && !f.failed[id] && f.now-f.addedAt[id] >= f.probing
}

func (f *fakeFleet) ServerStatus(id balancer.ServerID) (known, open bool, climbed float64) {
	_, known = f.entries[id]
	return known, f.open(id), f.climbed
}

func (f *fakeFleet) ReadyServers() (all, warm int) {
	for id := range f.entries {
		if f.open(id) {
			all++
		}
	}
	return all, all
}

// take applies an update as the decision module does.
func (f *fakeFleet) take(now time.Duration, u Update) {
	handed := map[balancer.ServerID]bool{}
	for _, one := range u.Servers {
		handed[one.Server] = true
		if _, known := f.entries[one.Server]; !known {
			f.addedAt[one.Server] = now
		}
		f.entries[one.Server] = one.Endpoint
		if one.State != balancer.Removed {
			delete(f.goneAt, one.Server)
		} else if _, gone := f.goneAt[one.Server]; !gone {
			f.goneAt[one.Server] = now
		}
	}
	for id, e := range f.entries {
		if u.Complete && !handed[id] {
			e.State = balancer.Removed
			f.entries[id] = e
			if _, gone := f.goneAt[id]; !gone {
				f.goneAt[id] = now
			}
		}
	}
	for id, at := range f.goneAt {
		if now-at > forgetAfter {
			delete(f.entries, id)
			delete(f.goneAt, id)
		}
	}
}

// run is a subset with a fleet that it is handed to.
type run struct {
	subset *Subset
	fleet  *fakeFleet
	now    time.Duration
}

func newRun(manager string, spill int) *run {
	return &run{subset: New(Settings{ManagerName: manager, Spill: spill, WarmUpDuration: 16 * time.Second}), fleet: newFakeFleet()}
}

func (r *run) take(u Update) Update {
	r.fleet.take(r.now, u)
	return u
}

func (r *run) list(whole bool, servers ...Server) Update {
	return r.take(r.subset.HandleEndpointList(r.now, whole, servers))
}

// joinElsewhere joins a proxy of a zone without servers, so that all members are spill servers.
func (r *run) joinElsewhere() *run {
	r.join("elsewhere")
	return r
}

func (r *run) join(zone balancer.ZoneID) Update {
	return r.take(r.subset.HandleProxyConnected(r.now, zone))
}

// seconds looks once a second.
func (r *run) seconds(n int) {
	for range n {
		r.look()
	}
}

// look plays one second.
func (r *run) look() Update {
	r.now += time.Second
	r.fleet.now = r.now
	return r.take(r.subset.HandleTick(r.now, r.fleet))
}

// members are the servers that the fleet may send flows to, but for failures.
func (r *run) members() map[balancer.ServerID]bool {
	ids := map[balancer.ServerID]bool{}
	for id, e := range r.fleet.entries {
		if e.State == balancer.Ready {
			ids[id] = true
		}
	}
	return ids
}

func zoneName(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprintf("z%02d", z)) }

func serverOf(zone, number int) Server {
	id := balancer.ServerID(fmt.Sprintf("s-%02d-%05d", zone, number))
	return Server{Endpoint: balancer.Endpoint{Server: id, Zone: zoneName(zone), Weight: 1}, Address: fmt.Sprintf("10.0.%d.%d:80", zone, number)}
}

// fleetOf lists servers of some zones, equally large.
func fleetOf(zones, each int) (servers []Server) {
	for z := range zones {
		for n := range each {
			servers = append(servers, serverOf(z, n))
		}
	}
	return servers
}

func in(state balancer.ServerState, servers ...Server) []Server {
	changed := slices.Clone(servers)
	for i := range changed {
		changed[i].State = state
	}
	return changed
}

func ofZone(servers []Server, zone int) (some []Server) {
	for _, s := range servers {
		if s.Zone == zoneName(zone) {
			some = append(some, s)
		}
	}
	return some
}

// drawFleet draws zones of uneven sizes.
func drawFleet(t *rapid.T) (servers []Server, zones int) {
	zones = rapid.IntRange(2, 12).Draw(t, "zones")
	for z := range zones {
		for n := range rapid.IntRange(1, 60).Draw(t, "servers") {
			servers = append(servers, serverOf(z, n))
		}
	}
	return servers, zones
}

// Home zones are whole, and no server of another zone is handed on beyond the limit.
func TestHomeZonesAreCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, zones := drawFleet(t)
		r := newRun("n7", rapid.IntRange(1, 100).Draw(t, "spill"))
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
func TestMembersAreTheSameAtEachRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, _ := drawFleet(t)
		first, second := newRun("n12", 20), newRun("n12", 20)
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
		r := newRun(name, 6).joinElsewhere()
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

// One server more or less moves its own share: over many managers, about as many memberships as a server has.
func TestOneServerMovesItsOwnShareOnly(t *testing.T) {
	const managers, spill = 60, 20
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(4, 10).Draw(t, "zones")
		servers := fleetOf(zones, rapid.IntRange(30, 80).Draw(t, "each"))
		one := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
		share := float64(managers) * spill / float64(len(servers))
		moved := 0.0
		for m := range managers {
			with, without := newRun(fmt.Sprint("n", m), spill).joinElsewhere(), newRun(fmt.Sprint("n", m), spill).joinElsewhere()
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

// A wider subset holds all of a narrower one.
func TestWideningOnlyAdds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, _ := drawFleet(t)
		spill := rapid.IntRange(1, 60).Draw(t, "spill")
		narrow := newRun("n3", spill).joinElsewhere()
		wide := newRun("n3", spill*rapid.IntRange(2, 8).Draw(t, "factor")).joinElsewhere()
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

// Spill servers are spread over servers and zones: names with a number leave no server out.
func TestSubsetsAreBalanced(t *testing.T) {
	const managers, zones, each, spill = 2000, 8, 100, 40
	servers := fleetOf(zones, each)
	subsets, sizes := map[balancer.ServerID]int{}, []int{}
	for m := range managers {
		r := newRun(fmt.Sprint("n", m), spill).joinElsewhere()
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
	if least, most := slices.Min(sizes), slices.Max(sizes); float64(least) < leastSize*spill || float64(most) > mostSize*spill {
		t.Errorf("subsets of %d to %d servers", least, most)
	}
}

// Whatever the list does, the last that it said of a server is what the fleet was handed: no drain is lost, and no
// server that is gone or drains gets flows.
func TestNoDrainIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, zones := drawFleet(t)
		r := newRun("n5", rapid.IntRange(1, 40).Draw(t, "spill"))
		r.list(true, servers...)
		state := map[balancer.ServerID]balancer.ServerState{}
		joined := map[int]int{}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				some := rapid.SliceOfN(rapid.SampledFrom(servers), 1, 20).Draw(t, "servers")
				to := rapid.SampledFrom([]balancer.ServerState{balancer.Ready, balancer.Draining, balancer.Removed}).Draw(t, "state")
				for _, s := range some {
					state[s.Server] = to
				}
				r.list(false, in(to, some...)...)
			},
			"whole list": func(t *rapid.T) {
				absent := rapid.SliceOfN(rapid.SampledFrom(servers), 0, 10).Draw(t, "absent")
				for _, s := range absent { // gone, without another word
					state[s.Server] = balancer.Removed
				}
				var all []Server
				for _, s := range servers {
					if s.State = state[s.Server]; s.State != balancer.Removed {
						all = append(all, s)
					}
				}
				r.list(true, all...)
			},
			"join": func(t *rapid.T) {
				z := rapid.IntRange(0, zones-1).Draw(t, "zone")
				joined[z]++
				r.join(zoneName(z))
			},
			"leave": func(t *rapid.T) {
				z := rapid.IntRange(0, zones-1).Draw(t, "zone")
				if joined[z] > 0 {
					joined[z]--
					r.subset.HandleProxyDisconnected(r.now, zoneName(z))
				}
			},
			"fail": func(t *rapid.T) { r.fleet.failed[rapid.SampledFrom(servers).Draw(t, "server").Server] = true },
			"mend": func(t *rapid.T) { clear(r.fleet.failed) },
			"time": func(t *rapid.T) { r.seconds(rapid.IntRange(1, 40).Draw(t, "seconds")) },
			"": func(t *rapid.T) {
				for id, e := range r.fleet.entries {
					if e.State == balancer.Ready && state[id] != balancer.Ready {
						t.Fatalf("%s is handed on as ready, and the list says %v", id, state[id])
					}
				}
				for id, to := range state {
					known, _, _ := r.fleet.ServerStatus(id)
					forgotten := r.subset.records[id] != nil && r.subset.records[id].phase == released // until the next look
					if r.subset.started && to == balancer.Draining && !known && !forgotten {
						t.Fatalf("%s drains and is not handed on", id)
					}
				}
				for z, n := range joined {
					for _, s := range ofZone(servers, z) {
						known, _, _ := r.fleet.ServerStatus(s.Server)
						waits := r.subset.records[s.Server] != nil && r.subset.records[s.Server].phase == released
						if n > 0 && state[s.Server] == balancer.Ready && !waits && (!known || r.fleet.entries[s.Server].State != balancer.Ready) {
							t.Fatalf("%s of a home zone is ready and not handed on", s.Server)
						}
					}
				}
			},
		})
	})
}
