package subset

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

// fakeFleet stands in for the balancer: it stores the published entries and reports which servers are in service.
type fakeFleet struct {
	entries       map[balancer.ServerID]balancer.Endpoint
	failed        map[balancer.ServerID]bool
	warmFraction  float64
	now           time.Duration
	checkDuration time.Duration // time until an added server is in service
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

// forgetAfter is how long the balancer remembers a removed server.
const forgetAfter = time.Minute

func (fleet *fakeFleet) isAvailable(id balancer.ServerID) bool {
	entry, known := fleet.entries[id]
	return known && entry.State == balancer.Ready && !fleet.failed[id] && fleet.now-fleet.addedAt[id] >= fleet.checkDuration
}

func (fleet *fakeFleet) ServerStatus(id balancer.ServerID) (known, available bool, warmFraction float64) {
	_, known = fleet.entries[id]
	return known, fleet.isAvailable(id), fleet.warmFraction
}

func (fleet *fakeFleet) ReadyServers() (all, warm int) {
	for id := range fleet.entries {
		if fleet.isAvailable(id) {
			all++
		}
	}
	return all, all
}

// apply applies an update in the same way as the balancer.
func (fleet *fakeFleet) apply(now time.Duration, update Update) {
	published := map[balancer.ServerID]bool{}
	for _, server := range update.Servers {
		published[server.Server] = true
		if _, known := fleet.entries[server.Server]; !known {
			fleet.addedAt[server.Server] = now
		}
		fleet.entries[server.Server] = server.Endpoint
		if server.State != balancer.Removed {
			delete(fleet.removedAt, server.Server)
		} else if _, removed := fleet.removedAt[server.Server]; !removed {
			fleet.removedAt[server.Server] = now
		}
	}
	for id, entry := range fleet.entries {
		if update.Complete && !published[id] {
			entry.State = balancer.Removed
			fleet.entries[id] = entry
			if _, removed := fleet.removedAt[id]; !removed {
				fleet.removedAt[id] = now
			}
		}
	}
	for id, at := range fleet.removedAt {
		if now-at > forgetAfter {
			delete(fleet.entries, id)
			delete(fleet.removedAt, id)
		}
	}
}

// simulation is a subset together with the fake fleet that it publishes to.
type simulation struct {
	subset *Subset
	fleet  *fakeFleet
	now    time.Duration
}

func newSimulation(manager string, spill int) *simulation {
	return &simulation{subset: New(Settings{ManagerName: manager, Spill: spill, WarmUpDuration: 16 * time.Second}), fleet: newFakeFleet()}
}

// steadyState returns a simulation with home zone 0 after a few seconds.
func steadyState(servers []Server, spill int) *simulation {
	sim := newSimulation("n9", spill)
	sim.applyList(true, servers...)
	sim.connectProxyIn(zoneName(0))
	sim.runSeconds(5)
	return sim
}

func (sim *simulation) apply(u Update) Update {
	sim.fleet.apply(sim.now, u)
	return u
}

func (sim *simulation) applyList(complete bool, servers ...Server) Update {
	return sim.apply(sim.subset.HandleEndpointList(sim.now, complete, servers))
}

// connectProxyInEmptyZone connects a proxy of a zone without servers, so that all members are spill servers.
func (sim *simulation) connectProxyInEmptyZone() *simulation {
	sim.connectProxyIn("elsewhere")
	return sim
}

func (sim *simulation) connectProxyIn(zone balancer.ZoneID) Update {
	return sim.apply(sim.subset.HandleProxyConnected(sim.now, zone))
}

// runSeconds advances n seconds, with one tick each.
func (sim *simulation) runSeconds(n int) {
	for range n {
		sim.tick()
	}
}

// tick advances one second.
func (sim *simulation) tick() Update {
	sim.now += time.Second
	sim.fleet.now = sim.now
	return sim.apply(sim.subset.HandleTick(sim.now, sim.fleet))
}

// members returns the servers that are published as ready, including failed ones.
func (sim *simulation) members() map[balancer.ServerID]bool {
	ids := map[balancer.ServerID]bool{}
	for id, e := range sim.fleet.entries {
		if e.State == balancer.Ready {
			ids[id] = true
		}
	}
	return ids
}

func (sim *simulation) failServers(servers ...Server) {
	for _, s := range servers {
		sim.fleet.failed[s.Server] = true
	}
}

// servingOutside counts the members outside a home zone that are in service.
func (sim *simulation) servingOutside(home int) (n int) {
	for id, e := range sim.fleet.entries {
		if e.Zone != zoneName(home) && sim.fleet.isAvailable(id) {
			n++
		}
	}
	return n
}

func zoneName(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprintf("z%02d", z)) }

func newServer(zone, number int) Server {
	id := balancer.ServerID(fmt.Sprintf("s-%02d-%05d", zone, number))
	return Server{Endpoint: balancer.Endpoint{Server: id, Zone: zoneName(zone), Weight: 1},
		Address: fmt.Sprintf("10.0.%d.%d:80", zone, number)}
}

// newServers returns a list of servers in equally large zones.
func newServers(zones, each int) (servers []Server) {
	for z := range zones {
		for n := range each {
			servers = append(servers, newServer(z, n))
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

func serversInZone(servers []Server, zone int) (inZone []Server) {
	for _, s := range servers {
		if s.Zone == zoneName(zone) {
			inZone = append(inZone, s)
		}
	}
	return inZone
}

// drawServers draws the servers of zones of different sizes.
func drawServers(t *rapid.T) (servers []Server, zones int) {
	zones = rapid.IntRange(2, 12).Draw(t, "zones")
	for z := range zones {
		for n := range rapid.IntRange(1, 60).Draw(t, "servers") {
			servers = append(servers, newServer(z, n))
		}
	}
	return servers, zones
}

// difference returns the servers of a that are not in b.
func difference(a, b map[balancer.ServerID]bool) (missing []balancer.ServerID) {
	for id := range a {
		if !b[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
