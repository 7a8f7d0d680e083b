package node

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/versions"
)

// subsetHarness drives a router with a subset against a fake relay that accepts all commands at once, and servers that
// answer or do not. Its clock advances by the second.
type subsetHarness struct {
	t       *testing.T
	router  *router
	list    map[balancer.ServerID]balancer.Endpoint // discovery's list
	failed  map[balancer.ServerID]bool              // servers that do not answer
	tables  map[balancer.ProxyID]balancer.TableID   // assigned
	watch   *watchState
	version int64 // of the list
}

const (
	harnessStart       = time.Hour // so that servers may have started before
	harnessProxies     = 1000      // of the site; the balancer divides zones into tables by it
	harnessRequestRate = 50        // a second at each proxy

	zoneLossDetection     = 2  // seconds until the balancer takes a silent zone for lost, with or without a subset
	unresponsiveDetection = 12 // seconds until it has noticed that a few servers among many are silent
)

func newSubsetHarness(t *testing.T, name string, zones, spill int) *subsetHarness {
	site := testSettings
	site.Zones = nil
	for z := range zones {
		site.Zones = append(site.Zones, testZone(z))
	}
	site.QueueCapacity = 1e6
	site.CommandsPerSecond = 1e6
	site.Proxies = harnessProxies
	start := config.Config{Name: name, Spill: spill, Balancer: site, Seed: 1, Limits: testLimits}
	start.Limits.MaxQueuedHealthChecks = 1 << 16
	r := newRouter(start, time.Now(), newMetrics(time.Hour, zerolog.Nop()))
	r.onProxyEventsOpened = func() {}
	r.now = harnessStart
	chain := versions.DefaultSettings(1)
	chain.StartedAt = time.Now()
	chain.MaxCommands = 1 << 20
	r.chain = versions.New(chain)
	r.subsetFilter = newSubsetFilter(start)
	return &subsetHarness{
		t:      t,
		router: r,
		list:   map[balancer.ServerID]balancer.Endpoint{},
		failed: map[balancer.ServerID]bool{},
		tables: map[balancer.ProxyID]balancer.TableID{},
		watch:  &watchState{lowestReset: noReset},
	}
}

func testZone(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprintf("z%02d", z)) }

func testServerID(zone, number int) balancer.ServerID {
	return balancer.ServerID(fmt.Sprintf("s-%02d-%04d", zone, number))
}

// addServers lists servers that started long ago, each of them in each zone.
func (g *subsetHarness) addServers(zones, each int) {
	for z := range zones {
		for n := range each {
			id := testServerID(z, n)
			g.list[id] = balancer.Endpoint{Server: id, Zone: testZone(z), Weight: 1, RecentlyStarted: true, Started: time.Minute}
		}
	}
}

// zone gives the listed servers of a zone, by id.
func (g *subsetHarness) zone(z int) (ids []balancer.ServerID) {
	for id, e := range g.list {
		if e.Zone == testZone(z) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setState changes the list without sending it, and gives the changes.
func (g *subsetHarness) setState(state balancer.ServerState, ids ...balancer.ServerID) []balancer.Endpoint {
	var changes []balancer.Endpoint
	for _, id := range ids {
		e := g.list[id]
		e.State = state
		changes = append(changes, e)
		g.list[id] = e
		if state == balancer.Removed {
			delete(g.list, id)
		}
	}
	return changes
}

// restart has servers start now, without sending it, and gives the changes of the list.
func (g *subsetHarness) restart(ids ...balancer.ServerID) (changes []balancer.Endpoint) {
	for _, id := range ids {
		e := g.list[id]
		e.Started = g.router.now
		e.RecentlyStarted = true
		e.State = balancer.Ready
		g.list[id] = e
		changes = append(changes, e)
	}
	return changes
}

// sendListIfNewer sends changes of the list, or a snapshot of it, as the watch does: what is older than the list held is
// not accepted.
func (g *subsetHarness) sendListIfNewer(version int64, snapshot bool, changes ...balancer.Endpoint) (accepted bool) {
	in := endpointList{generation: version, snapshot: snapshot, entries: changes, addresses: map[balancer.ServerID]string{}}
	for _, e := range changes {
		in.addresses[e.Server] = "10.0.0.1:80"
	}
	if !g.watch.accepts(in, snapshot) {
		return false
	}
	g.router.handle(in)
	g.watch.advance(in, time.Now())
	return true
}

// sendChanges sends changes of the list as the next version.
func (g *subsetHarness) sendChanges(changes []balancer.Endpoint) {
	g.t.Helper()
	g.version++
	if !g.sendListIfNewer(g.version, false, changes...) {
		g.t.Fatalf("version %d is not accepted", g.version)
	}
}

// sendSnapshot sends the complete list as the next version.
func (g *subsetHarness) sendSnapshot() {
	g.t.Helper()
	g.version++
	if !g.sendListIfNewer(g.version, true, g.entries()...) {
		g.t.Fatalf("version %d is not accepted", g.version)
	}
}

// start sends the list, connects proxies of zone 0 and lets the tables settle.
func (g *subsetHarness) start(proxies int) {
	g.t.Helper()
	g.sendSnapshot()
	for p := range proxies {
		g.router.handle(proxyConnected{balancer.ProxyID(p), testZone(0), 5})
	}
	g.advance(20, func() {})
}

// advance advances the clock by seconds, with a check after each.
func (g *subsetHarness) advance(seconds int, check func()) {
	g.t.Helper()
	for range seconds {
		g.advanceSecond()
		check()
	}
}

func (g *subsetHarness) advanceSecond() {
	r := g.router
	for step := range 4 { // the balancer's timers come a few times a second
		r.now += time.Second / 4
		if step == 0 {
			g.sendReports()
		}
		r.apply(r.manager.HandleTimer(r.now))
		r.updateSubset()
		r.flush()
		g.acceptCommands()
		g.answerHealthChecks()
		r.flush()
		g.acceptCommands()
	}
}

// sendReports reports on each server that gets requests, which are answered or all fail, and on each proxy.
func (g *subsetHarness) sendReports() {
	r := g.router
	for _, id := range slices.Sorted(maps.Keys(r.addresses)) {
		if !g.hasTraffic(id) {
			continue
		}
		in := balancer.LoadReport{Server: id, Zone: testZone(0), Attempts: 10, Latency: 50 * time.Millisecond, Interval: time.Second, InFlight: -1}
		if g.failed[id] {
			in.Failed = in.Attempts
			in.Latency = 0
		}
		r.handle(loadReport{in})
	}
	for _, p := range slices.Sorted(maps.Keys(g.tables)) {
		r.handle(usageReport{balancer.UsageReport{Proxy: p, Requests: harnessRequestRate, Interval: time.Second}})
	}
}

// hasTraffic tells whether a table sends requests to a server.
func (g *subsetHarness) hasTraffic(id balancer.ServerID) bool {
	state := g.router.chain.State()
	if state.IsWithdrawn(string(id)) {
		return false
	}
	for _, table := range state.TableIDs() {
		if state.Table(table).Weights[string(id)] > 0 {
			return true
		}
	}
	return false
}

// acceptCommands accepts all commands, and has all proxies acknowledge them.
func (g *subsetHarness) acceptCommands() {
	r := g.router
	for _, o := range r.backlog.takeAll() {
		for _, b := range o.Assign {
			g.tables[b.Proxy] = b.Table
		}
		if o.Barrier > 0 {
			r.handle(callCompleted{o.Barrier, true})
			for _, p := range slices.Sorted(maps.Keys(r.proxies)) {
				r.handle(barrierAck{p, o.Barrier})
			}
		}
	}
}

// answerHealthChecks answers all health checks that were requested.
func (g *subsetHarness) answerHealthChecks() {
	for len(g.router.healthChecks) > 0 {
		p := <-g.router.healthChecks
		in := healthCheckResult{server: p.server, address: p.address, outcome: balancer.HealthCheckPassed, latency: 2 * time.Millisecond, inFlight: -1}
		if _, there := g.list[p.server]; g.failed[p.server] || !there {
			in.outcome = balancer.HealthCheckUnreachable
		}
		g.router.handle(in)
	}
}

// endpointsOf counts the endpoints of a proxy's table, and those of them that are in service.
func (g *subsetHarness) endpointsOf(p balancer.ProxyID) (all, inService int) {
	state := g.router.chain.State()
	for id, weight := range state.Table(uint32(g.tables[p])).Weights {
		if weight <= 0 || state.IsWithdrawn(id) {
			continue
		}
		all++
		if _, there := g.list[balancer.ServerID(id)]; there && !g.failed[balancer.ServerID(id)] {
			inService++
		}
	}
	return all, inService
}

// mustServe fails where a proxy has no server in service.
func (g *subsetHarness) mustServe(what string) {
	g.t.Helper()
	for p := range g.router.proxies {
		if all, inService := g.endpointsOf(p); inService == 0 {
			g.t.Fatalf("%s, at %v: proxy %d has %d endpoints, none in service", what, g.router.now-harnessStart, p, all)
		}
	}
}

// mustNotUse fails where a table sends requests to one of some servers.
func (g *subsetHarness) mustNotUse(what string, ids ...balancer.ServerID) {
	g.t.Helper()
	for _, id := range ids {
		if g.hasTraffic(id) {
			g.t.Fatalf("%s, at %v: %s gets requests", what, g.router.now-harnessStart, id)
		}
	}
}

// members gives the servers that the balancer may use, by id.
func (g *subsetHarness) members() (ids []balancer.ServerID) {
	for id := range g.router.addresses {
		if _, open, _ := g.router.manager.ServerStatus(id); open {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// otherZones stands for all zones but the first.
const otherZones = -1

// membersIn gives the members of a zone or, for otherZones, of all zones but the first.
func (g *subsetHarness) membersIn(zone int) (ids []balancer.ServerID) {
	for _, id := range g.members() {
		at := g.list[id].Zone
		if zone == otherZones && at != testZone(0) || zone != otherZones && at == testZone(zone) {
			ids = append(ids, id)
		}
	}
	return ids
}

// entries gives the list, by server.
func (g *subsetHarness) entries() (all []balancer.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(g.list)) {
		all = append(all, g.list[id])
	}
	return all
}

// firstReady gives the first server of a zone that the list calls ready.
func (g *subsetHarness) firstReady(zone int) balancer.ServerID {
	g.t.Helper()
	for _, id := range g.zone(zone) {
		if g.list[id].State == balancer.Ready {
			return id
		}
	}
	g.t.Fatalf("no server of zone %d is ready", zone)
	return ""
}

// count counts the servers of a zone that the list holds in a state.
func (g *subsetHarness) count(state balancer.ServerState, zone int) (n int) {
	for _, id := range g.zone(zone) {
		if g.list[id].State == state {
			n++
		}
	}
	return n
}

// inState gives those of some servers that the list holds in a state.
func (g *subsetHarness) inState(state balancer.ServerState, ids []balancer.ServerID) (some []balancer.ServerID) {
	for _, id := range ids {
		if e, there := g.list[id]; there && e.State == state {
			some = append(some, id)
		}
	}
	return some
}
