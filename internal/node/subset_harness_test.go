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

// subsetHarness drives a router with a subset filter on a virtual clock, which advances by the second. A fake relay accepts
// all commands at once, and fake servers respond or fail.
type subsetHarness struct {
	t       *testing.T
	router  *router
	list    map[balancer.ServerID]balancer.Endpoint // discovery's list, by server
	failed  map[balancer.ServerID]bool              // servers that do not respond
	tables  map[balancer.ProxyID]balancer.TableID   // table assigned to each proxy
	watch   *watchState
	version int64 // of the list last sent
}

const (
	harnessStart       = time.Hour // late enough for servers to have started before
	harnessProxies     = 1000      // proxies of the whole site; the balancer divides zones into tables by this number
	harnessRequestRate = 50        // requests per second at each proxy

	// zoneLossDetection is how many seconds the balancer takes to detect that all servers of a zone do not respond, with
	// or without a subset.
	zoneLossDetection = 2
	// unresponsiveDetection is how many seconds it takes to detect that a few servers among many do not respond.
	unresponsiveDetection = 12
)

func newSubsetHarness(t *testing.T, name string, zones, spill int) *subsetHarness {
	settings := testSettings
	settings.Zones = nil
	for z := range zones {
		settings.Zones = append(settings.Zones, testZone(z))
	}
	settings.QueueCapacity = 1e6
	settings.CommandsPerSecond = 1e6
	settings.Proxies = harnessProxies
	cfg := config.Config{Name: name, Spill: spill, Balancer: settings, Seed: 1, Limits: testLimits}
	cfg.Limits.MaxQueuedHealthChecks = 1 << 16
	r := newRouter(cfg, time.Now(), newMetrics(time.Hour, zerolog.Nop()))
	r.onProxyEventsOpened = func() {}
	r.now = harnessStart
	chainSettings := versions.DefaultSettings(1)
	chainSettings.StartedAt = time.Now()
	chainSettings.MaxCommands = 1 << 20
	r.chain = versions.New(chainSettings)
	r.subsetFilter = newSubsetFilter(cfg)
	return &subsetHarness{
		t:      t,
		router: r,
		list:   map[balancer.ServerID]balancer.Endpoint{},
		failed: map[balancer.ServerID]bool{},
		tables: map[balancer.ProxyID]balancer.TableID{},
		watch:  &watchState{unconfirmedVersion: noUnconfirmedVersion},
	}
}

func testZone(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprintf("z%02d", z)) }

func testServerID(zone, number int) balancer.ServerID {
	return balancer.ServerID(fmt.Sprintf("s-%02d-%04d", zone, number))
}

// addServers adds servers that started long ago to the list, the same number in each zone.
func (h *subsetHarness) addServers(zones, serversPerZone int) {
	for z := range zones {
		for n := range serversPerZone {
			id := testServerID(z, n)
			h.list[id] = balancer.Endpoint{Server: id, Zone: testZone(z), Weight: 1, RecentlyStarted: true, Started: time.Minute}
		}
	}
}

// serversInZone returns the listed servers of a zone, ordered by id.
func (h *subsetHarness) serversInZone(z int) (ids []balancer.ServerID) {
	for id, e := range h.list {
		if e.Zone == testZone(z) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setState changes the list without sending it, and returns the changes.
func (h *subsetHarness) setState(state balancer.ServerState, ids ...balancer.ServerID) []balancer.Endpoint {
	var changes []balancer.Endpoint
	for _, id := range ids {
		e := h.list[id]
		e.State = state
		changes = append(changes, e)
		h.list[id] = e
		if state == balancer.Removed {
			delete(h.list, id)
		}
	}
	return changes
}

// restart records in the list that servers started just now, without sending it, and returns the changes.
func (h *subsetHarness) restart(ids ...balancer.ServerID) (changes []balancer.Endpoint) {
	for _, id := range ids {
		e := h.list[id]
		e.Started = h.router.now
		e.RecentlyStarted = true
		e.State = balancer.Ready
		h.list[id] = e
		changes = append(changes, e)
	}
	return changes
}

// sendListIfNewer sends changes of the list, or a snapshot of it, as the watch does: a version older than the one held is
// not accepted.
func (h *subsetHarness) sendListIfNewer(version int64, snapshot bool, changes ...balancer.Endpoint) (accepted bool) {
	in := endpointList{version: version, snapshot: snapshot, entries: changes, addresses: map[balancer.ServerID]string{}}
	for _, e := range changes {
		in.addresses[e.Server] = "10.0.0.1:80"
	}
	if !h.watch.accepts(in, snapshot) {
		return false
	}
	h.router.handle(in)
	h.watch.advance(in, time.Now())
	return true
}

// sendChanges sends changes of the list as the next version.
func (h *subsetHarness) sendChanges(changes []balancer.Endpoint) {
	h.t.Helper()
	h.version++
	if !h.sendListIfNewer(h.version, false, changes...) {
		h.t.Fatalf("list version %d was not accepted", h.version)
	}
}

// sendSnapshot sends the complete list as the next version.
func (h *subsetHarness) sendSnapshot() {
	h.t.Helper()
	h.version++
	if !h.sendListIfNewer(h.version, true, h.entries()...) {
		h.t.Fatalf("list version %d was not accepted", h.version)
	}
}

// start sends the list, connects proxies in zone 0 and waits until the tables have settled.
func (h *subsetHarness) start(proxies int) {
	h.t.Helper()
	h.sendSnapshot()
	for p := range proxies {
		h.router.handle(proxyConnected{balancer.ProxyID(p), testZone(0), 5})
	}
	h.advance(20, func() {})
}

// advance advances the clock by some seconds, and calls check after each.
func (h *subsetHarness) advance(seconds int, check func()) {
	h.t.Helper()
	for range seconds {
		h.advanceSecond()
		check()
	}
}

func (h *subsetHarness) advanceSecond() {
	r := h.router
	for step := range 4 { // the balancer's timers run a few times a second
		r.now += time.Second / 4
		if step == 0 {
			h.sendReports()
		}
		r.apply(r.manager.HandleTimer(r.now))
		r.updateSubset()
		r.flush()
		h.acceptCommands()
		h.answerHealthChecks()
		r.flush()
		h.acceptCommands()
	}
}

// sendReports sends a load report on each server that gets requests and a usage report on each proxy. All requests to a
// failed server fail.
func (h *subsetHarness) sendReports() {
	r := h.router
	for _, id := range slices.Sorted(maps.Keys(r.addresses)) {
		if !h.hasTraffic(id) {
			continue
		}
		in := balancer.LoadReport{Server: id, Zone: testZone(0), Attempts: 10, Latency: 50 * time.Millisecond,
			Interval: time.Second, InFlight: -1}
		if h.failed[id] {
			in.Failed = in.Attempts
			in.Latency = 0
		}
		r.handle(loadReport{in})
	}
	for _, p := range slices.Sorted(maps.Keys(h.tables)) {
		r.handle(usageReport{balancer.UsageReport{Proxy: p, Requests: harnessRequestRate, Interval: time.Second}})
	}
}

// hasTraffic reports whether any table sends requests to a server.
func (h *subsetHarness) hasTraffic(id balancer.ServerID) bool {
	state := h.router.chain.State()
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

// acceptCommands accepts all queued commands, and lets all proxies acknowledge their barriers.
func (h *subsetHarness) acceptCommands() {
	r := h.router
	for _, commands := range r.backlog.takeAll() {
		for _, assignment := range commands.Assign {
			h.tables[assignment.Proxy] = assignment.Table
		}
		if commands.Barrier > 0 {
			r.handle(callCompleted{commands.Barrier, true})
			for _, p := range slices.Sorted(maps.Keys(r.proxies)) {
				r.handle(barrierAck{p, commands.Barrier})
			}
		}
	}
}

// answerHealthChecks answers all requested health checks; those of failed or unlisted servers fail.
func (h *subsetHarness) answerHealthChecks() {
	for len(h.router.healthChecks) > 0 {
		request := <-h.router.healthChecks
		in := healthCheckResult{server: request.server, address: request.address,
			outcome: balancer.HealthCheckPassed, latency: 2 * time.Millisecond, inFlight: -1}
		if _, listed := h.list[request.server]; h.failed[request.server] || !listed {
			in.outcome = balancer.HealthCheckUnreachable
		}
		h.router.handle(in)
	}
}

// endpointsOf counts the endpoints in a proxy's table, and how many of them are in service.
func (h *subsetHarness) endpointsOf(p balancer.ProxyID) (all, inService int) {
	state := h.router.chain.State()
	for id, weight := range state.Table(uint32(h.tables[p])).Weights {
		if weight <= 0 || state.IsWithdrawn(id) {
			continue
		}
		all++
		if _, listed := h.list[balancer.ServerID(id)]; listed && !h.failed[balancer.ServerID(id)] {
			inService++
		}
	}
	return all, inService
}

// mustServe fails the test if a proxy's table has no server in service.
func (h *subsetHarness) mustServe(phase string) {
	h.t.Helper()
	for p := range h.router.proxies {
		if all, inService := h.endpointsOf(p); inService == 0 {
			h.t.Fatalf("%s, after %v: proxy %d has %d endpoints, none of them in service", phase, h.router.now-harnessStart, p, all)
		}
	}
}

// mustNotUse fails the test if a table sends requests to one of the given servers.
func (h *subsetHarness) mustNotUse(phase string, ids ...balancer.ServerID) {
	h.t.Helper()
	for _, id := range ids {
		if h.hasTraffic(id) {
			h.t.Fatalf("%s, after %v: server %s gets requests", phase, h.router.now-harnessStart, id)
		}
	}
}

// memberIDs returns the servers that the balancer may use, ordered by id.
func (h *subsetHarness) memberIDs() (ids []balancer.ServerID) {
	for id := range h.router.addresses {
		if _, available, _ := h.router.manager.ServerStatus(id); available {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// otherZones stands for all zones but zone 0.
const otherZones = -1

// membersIn returns the members in a zone or, for otherZones, in all zones but zone 0.
func (h *subsetHarness) membersIn(zone int) (ids []balancer.ServerID) {
	for _, id := range h.memberIDs() {
		memberZone := h.list[id].Zone
		if zone == otherZones && memberZone != testZone(0) || zone != otherZones && memberZone == testZone(zone) {
			ids = append(ids, id)
		}
	}
	return ids
}

// entries returns the list, ordered by server.
func (h *subsetHarness) entries() (all []balancer.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(h.list)) {
		all = append(all, h.list[id])
	}
	return all
}

// firstReady returns the first server of a zone that is ready according to the list.
func (h *subsetHarness) firstReady(zone int) balancer.ServerID {
	h.t.Helper()
	for _, id := range h.serversInZone(zone) {
		if h.list[id].State == balancer.Ready {
			return id
		}
	}
	h.t.Fatalf("no server in zone %d is ready", zone)
	return ""
}

// countInState counts the servers of a zone that are in a state according to the list.
func (h *subsetHarness) countInState(state balancer.ServerState, zone int) (n int) {
	for _, id := range h.serversInZone(zone) {
		if h.list[id].State == state {
			n++
		}
	}
	return n
}

// inState returns those of the given servers that are in a state according to the list.
func (h *subsetHarness) inState(state balancer.ServerState, ids []balancer.ServerID) (matching []balancer.ServerID) {
	for _, id := range ids {
		if e, listed := h.list[id]; listed && e.State == state {
			matching = append(matching, id)
		}
	}
	return matching
}
