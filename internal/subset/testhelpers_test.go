package subset

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// fakeFleet stands for the balancer: it keeps what is published, and says what is in service.
type fakeFleet struct {
	entries       map[balancer.ServerID]balancer.Endpoint
	failed        map[balancer.ServerID]bool
	warmFraction  float64
	now           time.Duration
	checkDuration time.Duration // until a server that was added is in service
	addedAt       map[balancer.ServerID]time.Duration
	removedAt     map[balancer.ServerID]time.Duration
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		entries:      map[balancer.ServerID]balancer.Endpoint{},
		failed:       map[balancer.ServerID]bool{},
		warmFraction: 1,
		addedAt:      map[balancer.ServerID]time.Duration{},
		removedAt:    map[balancer.ServerID]time.Duration{},
	}
}

// forgetAfter is how long the balancer remembers a server that is gone.
const forgetAfter = time.Minute

func (f *fakeFleet) isAvailable(id balancer.ServerID) bool {
	e, known := f.entries[id]
	return known && e.State == balancer.Ready && !f.failed[id] && f.now-f.addedAt[id] >= f.checkDuration
}

func (f *fakeFleet) ServerStatus(id balancer.ServerID) (known, available bool, warmFraction float64) {
	_, known = f.entries[id]
	return known, f.isAvailable(id), f.warmFraction
}

func (f *fakeFleet) ReadyServers() (all, warm int) {
	for id := range f.entries {
		if f.isAvailable(id) {
			all++
		}
	}
	return all, all
}

// apply applies an update as the balancer does.
func (f *fakeFleet) apply(now time.Duration, u Update) {
	published := map[balancer.ServerID]bool{}
	for _, one := range u.Servers {
		published[one.Server] = true
		if _, known := f.entries[one.Server]; !known {
			f.addedAt[one.Server] = now
		}
		f.entries[one.Server] = one.Endpoint
		if one.State != balancer.Removed {
			delete(f.removedAt, one.Server)
		} else if _, gone := f.removedAt[one.Server]; !gone {
			f.removedAt[one.Server] = now
		}
	}
	for id, e := range f.entries {
		if u.Complete && !published[id] {
			e.State = balancer.Removed
			f.entries[id] = e
			if _, gone := f.removedAt[id]; !gone {
				f.removedAt[id] = now
			}
		}
	}
	for id, at := range f.removedAt {
		if now-at > forgetAfter {
			delete(f.entries, id)
			delete(f.removedAt, id)
		}
	}
}

// simulation is a subset with the fleet that it publishes to.
type simulation struct {
	subset *Subset
	fleet  *fakeFleet
	now    time.Duration
}

func newSimulation(manager string, spill int) *simulation {
	return &simulation{subset: New(Settings{ManagerName: manager, Spill: spill, WarmUpDuration: 16 * time.Second}), fleet: newFakeFleet()}
}

// steadyState is a simulation after some seconds: zone 0 is home.
func steadyState(servers []Server, spill int) *simulation {
	r := newSimulation("n9", spill)
	r.list(true, servers...)
	r.join(zoneName(0))
	r.seconds(5)
	return r
}

func (r *simulation) apply(u Update) Update {
	r.fleet.apply(r.now, u)
	return u
}

func (r *simulation) list(whole bool, servers ...Server) Update {
	return r.apply(r.subset.HandleEndpointList(r.now, whole, servers))
}

// joinZoneWithoutServers connects a proxy of a zone without servers, so that all members are spill servers.
func (r *simulation) joinZoneWithoutServers() *simulation {
	r.join("elsewhere")
	return r
}

func (r *simulation) join(zone balancer.ZoneID) Update {
	return r.apply(r.subset.HandleProxyConnected(r.now, zone))
}

// seconds plays seconds, with a tick each.
func (r *simulation) seconds(n int) {
	for range n {
		r.tick()
	}
}

// tick plays one second.
func (r *simulation) tick() Update {
	r.now += time.Second
	r.fleet.now = r.now
	return r.apply(r.subset.HandleTick(r.now, r.fleet))
}

// members are the servers that the fleet may send requests to, but for failures.
func (r *simulation) members() map[balancer.ServerID]bool {
	ids := map[balancer.ServerID]bool{}
	for id, e := range r.fleet.entries {
		if e.State == balancer.Ready {
			ids[id] = true
		}
	}
	return ids
}

func (r *simulation) fail(servers ...Server) {
	for _, s := range servers {
		r.fleet.failed[s.Server] = true
	}
}

// servingOutside counts the members of other zones than a home zone that are in service.
func (r *simulation) servingOutside(home int) (n int) {
	for id, e := range r.fleet.entries {
		if e.Zone != zoneName(home) && r.fleet.isAvailable(id) {
			n++
		}
	}
	return n
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

func withState(state balancer.ServerState, servers ...Server) []Server {
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

func difference(a, b map[balancer.ServerID]bool) (missing []balancer.ServerID) {
	for id := range a {
		if !b[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
