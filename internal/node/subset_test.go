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

// subsetHarness is a router with a subset, a relay that takes all orders at once, and servers that answer or don't. Its clock
// moves by the second.
type subsetHarness struct {
	t       *testing.T
	router  *router
	list    map[balancer.ServerID]balancer.Endpoint // as the list tells it
	failed  map[balancer.ServerID]bool              // don't answer
	tables  map[balancer.ProxyID]balancer.TableID
	watch   *watchState
	version int64
}

const (
	harnessStart       = time.Hour // so that starts of processes may lie before
	harnessProxies     = 1000      // of the site, which settles into how many tables a zone is divided
	harnessRequestRate = 50        // a second at each proxy
	// The module needs that long to take a lost zone for lost, with a subset or without, and to learn that a few
	// servers among many are silent.
	zoneLossDetection     = 2
	unresponsiveDetection = 12
)

func newSubsetHarness(t *testing.T, name string, zones, spill int) *subsetHarness {
	site := testSettings
	site.Zones = nil
	for z := range zones {
		site.Zones = append(site.Zones, testZone(z))
	}
	site.QueueCapacity, site.CommandsPerSecond, site.Proxies = 1e6, 1e6, harnessProxies
	wide := testLimits
	wide.MaxQueuedHealthChecks = 1 << 16
	r := &router{limits: wide, startedAt: time.Now(), manager: balancer.New(1, site), inputs: make(chan input, testLimits.MaxQueuedInputs),
		healthChecks: make(chan healthCheckTarget, wide.MaxQueuedHealthChecks), listRequested: make(chan struct{}, 1), onProxyEventsOpened: func() {}, metrics: newMetrics(time.Hour, zerolog.Nop()),
		proxies: map[balancer.ProxyID]bool{}, unconfirmed: map[balancer.ProxyID]bool{}, addresses: map[balancer.ServerID]string{}, now: harnessStart}
	r.backlog = newBacklog(testLimits.MaxQueuedCalls, r.metrics)
	chain := versions.DefaultSettings(1)
	chain.StartedAt, chain.MaxCommands = time.Now(), 1<<20
	r.chain = versions.New(chain)
	r.subsetFilter = newSubsetFilter(config.Config{Name: name, Spill: spill, Balancer: site})
	return &subsetHarness{t: t, router: r, list: map[balancer.ServerID]balancer.Endpoint{}, failed: map[balancer.ServerID]bool{},
		tables: map[balancer.ProxyID]balancer.TableID{}, watch: &watchState{lowestReset: -1}}
}

func testZone(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprintf("z%02d", z)) }

func testServerID(zone, number int) balancer.ServerID {
	return balancer.ServerID(fmt.Sprintf("s-%02d-%04d", zone, number))
}

// addServers lists servers that started long ago.
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

// setState changes the list without telling.
func (g *subsetHarness) setState(state balancer.ServerState, ids ...balancer.ServerID) []balancer.Endpoint {
	var changes []balancer.Endpoint
	for _, id := range ids {
		e := g.list[id]
		e.State = state
		changes = append(changes, e)
		if g.list[id] = e; state == balancer.Removed {
			delete(g.list, id)
		}
	}
	return changes
}

// restart gives servers a start of now.
func (g *subsetHarness) restart(ids ...balancer.ServerID) (changes []balancer.Endpoint) {
	for _, id := range ids {
		e := g.list[id]
		e.Started, e.RecentlyStarted, e.State = g.router.now, true, balancer.Ready
		g.list[id] = e
		changes = append(changes, e)
	}
	return changes
}

// sendListIfNewer brings changes of the list, or the whole of it, as the watch does: what is older than the list held is refused.
func (g *subsetHarness) sendListIfNewer(version int64, whole bool, changes ...balancer.Endpoint) (taken bool) {
	in := endpointList{generation: version, snapshot: whole, entries: changes, addresses: map[balancer.ServerID]string{}}
	for _, e := range changes {
		in.addresses[e.Server] = "10.0.0.1:80"
	}
	if !g.watch.accepts(in, whole) {
		return false
	}
	g.router.handle(in)
	g.watch.advance(in, time.Now())
	return true
}

// sendChanges tells changes of the list as they happen.
func (g *subsetHarness) sendChanges(changes []balancer.Endpoint) {
	g.version++
	if !g.sendListIfNewer(g.version, false, changes...) {
		g.t.Fatalf("version %d is refused", g.version)
	}
}

// sendSnapshot tells the whole list.
func (g *subsetHarness) sendSnapshot() {
	g.version++
	if !g.sendListIfNewer(g.version, true, g.entries()...) {
		g.t.Fatalf("version %d is refused", g.version)
	}
}

// start opens the rig: the list, then some proxies of zone 0.
func (g *subsetHarness) start(proxies int) {
	g.sendSnapshot()
	for p := range proxies {
		g.router.handle(proxyConnected{balancer.ProxyID(p), testZone(0), 5})
	}
	g.advance(20, func() {})
}

// advance plays some, with a look at the end of each.
func (g *subsetHarness) advance(n int, look func()) {
	for range n {
		g.advanceSecond()
		look()
	}
}

func (g *subsetHarness) advanceSecond() {
	r := g.router
	for step := range 4 { // the module wakes a few times a second
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

// sendReports tells of each server that a table names: flows that are answered, or all fail.
func (g *subsetHarness) sendReports() {
	r := g.router
	for _, id := range slices.Sorted(maps.Keys(r.addresses)) {
		if !g.hasTraffic(id) {
			continue
		}
		in := balancer.LoadReport{Server: id, Zone: testZone(0), Attempts: 10, Latency: 50 * time.Millisecond, Interval: time.Second, InFlight: -1}
		if g.failed[id] {
			in.Failed, in.Latency = in.Attempts, 0
		}
		r.handle(loadReport{in})
	}
	for _, p := range slices.Sorted(maps.Keys(g.tables)) {
		r.handle(usageReport{balancer.UsageReport{Proxy: p, Requests: harnessRequestRate, Interval: time.Second}})
	}
}

// hasTraffic tells whether a table would send flows to a server.
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

// acceptCommands takes what was ordered, and all proxies answer.
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

// answerHealthChecks ends all ordered probes.
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

// endpointsOf counts the lines that a proxy's table would pick, and those of them that lead to a server in service.
func (g *subsetHarness) endpointsOf(p balancer.ProxyID) (lines, sound int) {
	state := g.router.chain.State()
	for id, weight := range state.Table(uint32(g.tables[p])).Weights {
		if weight <= 0 || state.IsWithdrawn(id) {
			continue
		}
		lines++
		if _, there := g.list[balancer.ServerID(id)]; there && !g.failed[balancer.ServerID(id)] {
			sound++
		}
	}
	return lines, sound
}

// mustServe fails where a proxy has no server in service.
func (g *subsetHarness) mustServe(what string) {
	g.t.Helper()
	for p := range g.router.proxies {
		if lines, sound := g.endpointsOf(p); sound == 0 {
			g.t.Fatalf("%s, at %v: proxy %d has %d lines, none to a server in service", what, g.router.now-harnessStart, p, lines)
		}
	}
}

// mustNotUse fails where a table would send flows to one of some servers.
func (g *subsetHarness) mustNotUse(what string, ids ...balancer.ServerID) {
	g.t.Helper()
	for _, id := range ids {
		if g.hasTraffic(id) {
			g.t.Fatalf("%s, at %v: %s gets flows", what, g.router.now-harnessStart, id)
		}
	}
}

// members are the servers that the module may use, by id.
func (g *subsetHarness) members() (ids []balancer.ServerID) {
	for id := range g.router.addresses {
		if _, open, _ := g.router.manager.ServerStatus(id); open {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// membersIn are the members of a zone or, below 0, of all zones but the first.
func (g *subsetHarness) membersIn(zone int) (ids []balancer.ServerID) {
	for _, id := range g.members() {
		if at := g.list[id].Zone; at == testZone(max(zone, 0)) == (zone >= 0) {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestTheBalancerReceivesASubset(t *testing.T) {
	g := newSubsetHarness(t, "n1", 10, 20)
	g.addServers(10, 40)
	g.start(5)
	if home, others := len(g.membersIn(0)), len(g.membersIn(-1)); home != 40 || others < 16 || others > 25 {
		t.Errorf("%d servers of the home zone and %d others", home, others)
	}
	if n := len(g.router.addresses); n > 65 {
		t.Errorf("%d addresses are kept beside the subset", n)
	}
	g.mustServe("at rest")
}

func TestReportsAboutServersOutsideAreCountedApart(t *testing.T) {
	g := newSubsetHarness(t, "n1", 4, 5)
	g.addServers(4, 40)
	g.start(5)
	for _, id := range g.zone(2) {
		g.router.handle(loadReport{balancer.LoadReport{Server: id, Zone: testZone(0), Attempts: 5, Interval: time.Second}})
	}
	g.router.handle(loadReport{balancer.LoadReport{Server: "none", Zone: testZone(0), Attempts: 5, Interval: time.Second}})
	outside, unknown := g.router.metrics.counts[outsideSubset].Load(), g.router.metrics.counts[unknownNames].Load()
	if outside < 30 || outside > 40 || unknown != 1 {
		t.Errorf("%d outside, %d unknown", outside, unknown)
	}
}

// Restarted managers have the same members, also on another list of the same servers.
func TestARestartedManagerHasTheSameSubset(t *testing.T) {
	var members [2][]balancer.ServerID
	for i := range members {
		g := newSubsetHarness(t, "n17", 8, 20)
		g.addServers(8, 30)
		g.start(3)
		members[i] = g.members()
	}
	if !slices.Equal(members[0], members[1]) {
		t.Errorf("%v\n%v", members[0], members[1])
	}
}

// A proxy that is told again, as after a gap in the news, counts once; one that moves counts where it is.
func TestProxiesCountOnceForTheirZone(t *testing.T) {
	g := newSubsetHarness(t, "n1", 4, 4)
	g.addServers(4, 20)
	g.start(1)
	g.router.handle(proxyConnected{0, testZone(0), 5})
	g.router.handle(proxyConnected{0, testZone(1), 5})
	g.router.handle(proxyConnected{7, testZone(2), 5})
	g.router.handle(proxyDisconnected{7})
	g.advance(150, func() { g.mustServe("while its proxy moves") })
	if zero, one, two := len(g.membersIn(0)), len(g.membersIn(1)), len(g.membersIn(2)); zero > 5 || one != 20 || two > 5 {
		t.Errorf("%d, %d and %d members of the zones 0 to 2", zero, one, two)
	}
}

// Two regions of two zones each are split for an hour: the manager hears of its own region alone, and the other's
// servers do not answer. On both sides servers drain, are removed and restart; then the split ends.
func TestASplitOfRegionsForAnHour(t *testing.T) {
	g := newSubsetHarness(t, "n3", 4, 30)
	g.addServers(4, 60)
	g.start(10)
	before := g.version
	old := g.entries()
	far := slices.Concat(g.zone(2), g.zone(3))
	for _, id := range far {
		g.failed[id] = true
	}
	g.advance(unresponsiveDetection, func() { g.mustServe("at the split") })
	var drained, removed, restarted []balancer.ServerID
	for minute := range 60 {
		near, there := g.zone(minute % 2)[0], g.zone(2 + minute%2)[0]
		switch minute % 3 {
		case 0:
			near, there = g.firstReady(minute%2), g.firstReady(2+minute%2)
			g.sendChanges(g.setState(balancer.Draining, near))
			g.setState(balancer.Draining, there)
			drained = append(drained, near, there)
			g.advanceSecond()
			g.mustNotUse("a second after it drained", near)
		case 1:
			g.sendChanges(g.setState(balancer.Removed, near))
			g.setState(balancer.Removed, there)
			removed = append(removed, near, there)
		case 2:
			near, there = g.firstReady(minute%2), g.firstReady(2+minute%2)
			g.sendChanges(g.restart(near))
			g.restart(there)
			restarted = append(restarted, near, there)
		}
		g.advance(58, func() {
			g.mustServe("in the split")
			g.mustNotUse("in the split", far...)
		})
	}
	clear(g.failed)
	if g.sendListIfNewer(before, true, old...) {
		t.Fatal("a list from before the split is taken back")
	}
	g.version += 100
	g.sendSnapshot()
	g.advance(600, func() {
		g.mustServe("after the split")
		g.mustNotUse("drained, after the split", g.inState(balancer.Draining, drained)...)
		g.mustNotUse("removed, after the split", removed...)
	})
	if g.sendListIfNewer(before+1, false, balancer.Endpoint{Server: removed[0], Zone: testZone(0), Weight: 1}) {
		t.Error("a change from before the split is taken back")
	}
	for _, id := range restarted {
		e, there := g.list[id]
		if _, open, climbed := g.router.manager.ServerStatus(id); there && e.State == balancer.Ready && e.Zone == testZone(0) && (!open || climbed < 1) {
			t.Errorf("%s restarted, and is not in service ten minutes after the split", id)
		}
	}
	if home := len(g.membersIn(0)); home != g.count(balancer.Ready, 0) {
		t.Errorf("%d members of the home zone, %d are ready", home, g.count(balancer.Ready, 0))
	}
	if width := g.router.subsetFilter.subset.Counts().Width; width > 1.2 {
		t.Errorf("the subset is %.1f times as wide ten minutes after the split", width)
	}
}

// entries is the list as it is now, by server.
func (g *subsetHarness) entries() (all []balancer.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(g.list)) {
		all = append(all, g.list[id])
	}
	return all
}

// firstReady is a zone's first server that the list calls ready.
func (g *subsetHarness) firstReady(zone int) balancer.ServerID {
	for _, id := range g.zone(zone) {
		if g.list[id].State == balancer.Ready {
			return id
		}
	}
	g.t.Fatalf("no server of zone %d is ready", zone)
	return ""
}

func (g *subsetHarness) count(state balancer.ServerState, zone int) (n int) {
	for _, id := range g.zone(zone) {
		if g.list[id].State == state {
			n++
		}
	}
	return n
}

// inState are those of some servers that the list holds in a state.
func (g *subsetHarness) inState(state balancer.ServerState, ids []balancer.ServerID) (some []balancer.ServerID) {
	for _, id := range ids {
		if e, there := g.list[id]; there && e.State == state {
			some = append(some, id)
		}
	}
	return some
}

// A manager hears nothing of the list for an hour, in which a third of all servers drain, go or are replaced; then the
// changes come, all at once.
func TestAManagerAnHourBehind(t *testing.T) {
	g := newSubsetHarness(t, "n4", 6, 30)
	g.addServers(6, 40)
	g.start(10)
	var changes []balancer.Endpoint
	var drained, removed []balancer.ServerID
	for z := range 6 {
		for n := 0; n < 40; n += 3 {
			id, fresh := testServerID(z, n), testServerID(z, 100+n)
			switch n % 9 {
			case 0:
				changes = append(changes, g.setState(balancer.Draining, id)...)
				drained = append(drained, id)
			case 3:
				changes = append(changes, g.setState(balancer.Removed, id)...)
				removed = append(removed, id)
			case 6:
				g.list[fresh] = balancer.Endpoint{Server: fresh, Zone: testZone(z), Weight: 1, RecentlyStarted: true, Started: g.router.now}
				changes = append(changes, g.list[fresh])
			}
		}
	}
	for _, id := range removed {
		g.failed[id] = true
	}
	g.advance(3600, func() { g.mustServe("behind") })
	g.mustNotUse("servers that do not answer, behind", removed...)
	g.sendChanges(changes)
	g.advanceSecond()
	g.mustNotUse("a second after the list is back", drained...)
	g.advance(300, func() {
		g.mustServe("after it is back")
		g.mustNotUse("after it is back", drained...)
		g.mustNotUse("after it is back", removed...)
	})
	fresh := newSubsetHarness(t, "n4", 6, 30)
	fresh.list = g.list
	fresh.start(10)
	if a, b := g.members(), fresh.members(); !slices.Equal(a, b) {
		t.Errorf("%d members, and %d in a manager that starts now", len(a), len(b))
	}
}

// A home zone of 273 servers is lost and comes back cold, while servers of its neighbours drain.
func TestALostZoneIsBackColdWhileItsNeighboursDrain(t *testing.T) {
	g := newSubsetHarness(t, "n6", 8, 100)
	g.addServers(8, 273)
	g.start(20)
	home := g.zone(0)
	for _, id := range home {
		g.failed[id] = true
	}
	g.advance(zoneLossDetection, func() {})
	g.advance(4, func() { g.mustServe("just lost") })
	if n := len(g.membersIn(-1)); n < 250 {
		t.Errorf("%d servers of other zones are in the subset 6 s after 273 were lost", n)
	}
	g.advance(60, func() { g.mustServe("lost") })
	g.sendChanges(g.restart(home...))
	clear(g.failed)
	var drained []balancer.ServerID
	for i := range 60 {
		if i%2 == 0 {
			next := g.membersIn(-1)[0]
			g.sendChanges(g.setState(balancer.Draining, next))
			drained = append(drained, next)
		}
		g.advanceSecond()
		g.mustServe("back")
		g.mustNotUse("drained while the zone is back", drained...)
	}
	g.advance(300, func() {
		g.mustServe("back for long")
		g.mustNotUse("back for long", drained...)
	})
	if home, others := len(g.membersIn(0)), len(g.membersIn(-1)); home != 273 || others < 70 || others > 130 {
		t.Errorf("%d members of the home zone and %d others five minutes later", home, others)
	}
}

// All servers of a subset fail at once, and one zone of all is sound.
func TestAllServersOfASubsetFail(t *testing.T) {
	g := newSubsetHarness(t, "n8", 8, 20)
	g.addServers(8, 60)
	g.start(10)
	for z := range 8 {
		for _, id := range g.zone(z) {
			g.failed[id] = z != 5
		}
	}
	for _, id := range g.members() {
		g.failed[id] = true
	}
	seconds := 0
	served := func() bool {
		for p := range g.router.proxies {
			if _, sound := g.endpointsOf(p); sound == 0 {
				return false
			}
		}
		return true
	}
	for ; !served() && seconds < 60; seconds++ {
		g.advanceSecond()
	}
	t.Logf("all proxies have a server in service after %d s", seconds)
	if seconds > 6 {
		t.Errorf("proxies are without a server in service for %d s", seconds)
	}
	g.advance(120, func() { g.mustServe("with one zone") })
}

// Six in ten servers are replaced within ten minutes.
func TestSixInTenServersAreReplaced(t *testing.T) {
	g := newSubsetHarness(t, "n9", 8, 40)
	g.addServers(8, 50)
	g.start(10)
	var removed []balancer.ServerID
	for n := range 30 {
		for z := range 8 {
			old, fresh := testServerID(z, n), testServerID(z, 100+n)
			g.sendChanges(g.setState(balancer.Draining, old))
			g.list[fresh] = balancer.Endpoint{Server: fresh, Zone: testZone(z), Weight: 1, RecentlyStarted: true, Started: g.router.now}
			g.sendChanges([]balancer.Endpoint{g.list[fresh]})
			g.advanceSecond()
			g.mustServe("replacing")
			g.mustNotUse("replacing", old)
			g.sendChanges(g.setState(balancer.Removed, old))
			removed = append(removed, old)
		}
		g.advance(12, func() {
			g.mustServe("replacing")
			g.mustNotUse("replaced", removed...)
		})
	}
	g.advance(200, func() { g.mustServe("replaced") })
	if home, others := len(g.membersIn(0)), len(g.membersIn(-1)); home != 50 || others < 32 || others > 60 {
		t.Errorf("%d members of the home zone and %d others", home, others)
	}
	for id := range g.router.addresses {
		if !g.router.manager.KnowsServer(id) {
			t.Errorf("the address of %s is kept, and the module has forgotten it", id)
		}
	}
}

// A whole list that lacks a member says that it is gone.
func TestAMemberAbsentFromASnapshotIsWithdrawn(t *testing.T) {
	g := newSubsetHarness(t, "n8", 6, 20)
	g.addServers(6, 30)
	g.start(10)
	absent := g.zone(0)[3]
	if !g.hasTraffic(absent) {
		t.Fatal("it gets no flows before")
	}
	g.setState(balancer.Removed, absent)
	g.sendSnapshot()
	g.advanceSecond()
	g.mustNotUse("absent", absent)
}

// A server outside the subset drains while proxies come from another manager, with tables that name it: it is withdrawn
// at once. When it is ready again, the withdrawal is lifted.
func TestADrainOutsideTheSubsetIsWithdrawn(t *testing.T) {
	g := newSubsetHarness(t, "n8", 6, 20)
	g.addServers(6, 60)
	g.start(10)
	var outsider balancer.ServerID
	for _, id := range g.zone(3) {
		if _, handed := g.router.addresses[id]; !handed {
			outsider = id
		}
	}
	for p := range 10 {
		g.router.handle(proxyConnected{balancer.ProxyID(20 + p), testZone(0), 5})
	}
	g.sendChanges(g.setState(balancer.Draining, outsider))
	g.advanceSecond()
	if !g.router.chain.State().IsWithdrawn(string(outsider)) {
		t.Error("it is not withdrawn")
	}
	g.sendChanges(g.restart(outsider))
	g.advance(150, func() { g.mustServe("at rest") })
	if g.router.chain.State().IsWithdrawn(string(outsider)) {
		t.Error("it is withdrawn still")
	}
}

// A server that left the subset and was forgotten comes back when it is needed again, and gets flows.
func TestAServerThatLeftTheSubsetGetsRequestsAgain(t *testing.T) {
	g := newSubsetHarness(t, "n8", 6, 20)
	g.addServers(6, 60)
	g.start(10)
	lose := func() {
		for _, id := range g.zone(0) {
			g.failed[id] = true
		}
		g.advance(zoneLossDetection, func() {})
		g.advance(20, func() { g.mustServe("lost") })
	}
	lose()
	wide := g.membersIn(-1)
	clear(g.failed)
	g.advance(600, func() { g.mustServe("back") })
	narrow := g.membersIn(-1)
	if len(wide) < 50 || len(narrow) > 30 {
		t.Fatalf("%d servers of other zones while home is lost, %d later", len(wide), len(narrow))
	}
	for _, id := range wide {
		if !slices.Contains(narrow, id) && g.router.chain.State().IsWithdrawn(string(id)) {
			t.Errorf("%s left, is forgotten and still withdrawn", id)
		}
	}
	lose()
	for _, id := range wide {
		if !g.hasTraffic(id) {
			t.Errorf("%s is needed again and gets no flows", id)
		}
	}
}

// Without a subset the module is handed the whole list.
func TestWithoutASubsetNothingIsLeftOut(t *testing.T) {
	g := newSubsetHarness(t, "n1", 4, 5)
	g.router.subsetFilter = nil
	g.addServers(4, 40)
	g.start(5)
	if n := len(g.router.addresses); n != 160 {
		t.Errorf("%d servers", n)
	}
}

// Tables of many servers, each of which gets a small part: a large home zone in one table with a subset, and, without
// one, a lost home zone among many others.
func TestProxiesAreServedByTablesOfManyServers(t *testing.T) {
	const zones, proxies = 30, 10 // so many zones that a zone is not divided into tables
	subset := newSubsetHarness(t, "n8", zones, 100)
	subset.addServers(zones, 400)
	subset.start(proxies)
	if _, sound := subset.endpointsOf(0); sound == 0 {
		t.Error("a subset with a home zone of 400 servers: no line")
	}
	whole := newSubsetHarness(t, "n8", zones, 100)
	whole.router.subsetFilter = nil
	whole.addServers(zones, 40)
	whole.start(proxies)
	for _, id := range whole.zone(0) {
		whole.failed[id] = true
	}
	whole.advance(20, func() {})
	if _, sound := whole.endpointsOf(0); sound == 0 {
		t.Error("the whole list of 1200 servers, home zone lost for 20 s: no line to a server in service")
	}
}
