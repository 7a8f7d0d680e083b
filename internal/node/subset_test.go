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

// subsetRig is a router with a subset, a relay that takes all orders at once, and servers that answer or don't. Its clock
// moves by the second.
type subsetRig struct {
	t       *testing.T
	router  *router
	list    map[balancer.ServerID]balancer.Endpoint // as the list tells it
	failed  map[balancer.ServerID]bool              // don't answer
	bound   map[balancer.ProxyID]balancer.TableID
	held    *watchState
	version int64
}

const (
	rigStart   = time.Hour // so that starts of processes may lie before
	rigProxies = 1000      // of the site, which settles into how many tables a zone is divided
	rigFlows   = 50        // a second at each proxy
	// The module needs that long to take a lost zone for lost, with a subset or without, and to learn that a few
	// servers among many are silent.
	lossHeard    = 2
	silenceHeard = 12
)

func newSubsetRig(t *testing.T, name string, zones, spill int) *subsetRig {
	site := terms
	site.Zones = nil
	for z := range zones {
		site.Zones = append(site.Zones, rigZone(z))
	}
	site.QueueCapacity, site.CommandsPerSecond, site.Proxies = 1e6, 1e6, rigProxies
	wide := limits
	wide.MaxQueuedHealthChecks = 1 << 16
	r := &router{limits: wide, born: time.Now(), manager: balancer.New(1, site), inputs: make(chan any, limits.MaxQueuedInputs),
		probes: make(chan probeTarget, wide.MaxQueuedHealthChecks), listen: make(chan struct{}, 1), opened: func() {}, metrics: newMetrics(time.Hour, zerolog.Nop()),
		proxies: map[balancer.ProxyID]bool{}, unseen: map[balancer.ProxyID]bool{}, servers: map[balancer.ServerID]string{}, now: rigStart}
	r.backlog = newBacklog(limits.MaxQueuedCalls, r.metrics)
	chain := versions.DefaultSettings(1)
	chain.StartedAt, chain.MaxCommands = time.Now(), 1<<20
	r.chain = versions.New(chain)
	r.filter = newSubsetFilter(config.Config{Name: name, Spill: spill, Balancer: site})
	return &subsetRig{t: t, router: r, list: map[balancer.ServerID]balancer.Endpoint{}, failed: map[balancer.ServerID]bool{},
		bound: map[balancer.ProxyID]balancer.TableID{}, held: &watchState{lowestReset: -1}}
}

func rigZone(z int) balancer.ZoneID { return balancer.ZoneID(fmt.Sprintf("z%02d", z)) }

func rigServer(zone, number int) balancer.ServerID {
	return balancer.ServerID(fmt.Sprintf("s-%02d-%04d", zone, number))
}

// fill lists servers that started long ago.
func (g *subsetRig) fill(zones, each int) {
	for z := range zones {
		for n := range each {
			id := rigServer(z, n)
			g.list[id] = balancer.Endpoint{Server: id, Zone: rigZone(z), Weight: 1, RecentlyStarted: true, Started: time.Minute}
		}
	}
}

// zone gives the listed servers of a zone, by id.
func (g *subsetRig) zone(z int) (ids []balancer.ServerID) {
	for id, e := range g.list {
		if e.Zone == rigZone(z) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// set changes the list without telling.
func (g *subsetRig) set(state balancer.ServerState, ids ...balancer.ServerID) []balancer.Endpoint {
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
func (g *subsetRig) restart(ids ...balancer.ServerID) (changes []balancer.Endpoint) {
	for _, id := range ids {
		e := g.list[id]
		e.Started, e.RecentlyStarted, e.State = g.router.now, true, balancer.Ready
		g.list[id] = e
		changes = append(changes, e)
	}
	return changes
}

// tell brings changes of the list, or the whole of it, as the watch does: what is older than the list held is refused.
func (g *subsetRig) tell(version int64, whole bool, changes ...balancer.Endpoint) (taken bool) {
	in := serverList{generation: version, snapshot: whole, entries: changes, addresses: map[balancer.ServerID]string{}}
	for _, e := range changes {
		in.addresses[e.Server] = "10.0.0.1:80"
	}
	if !g.held.accepts(in, whole) {
		return false
	}
	g.router.take(in)
	g.held.advance(in, time.Now())
	return true
}

// change tells changes of the list as they happen.
func (g *subsetRig) change(changes []balancer.Endpoint) {
	g.version++
	if !g.tell(g.version, false, changes...) {
		g.t.Fatalf("version %d is refused", g.version)
	}
}

// whole tells the whole list.
func (g *subsetRig) whole() {
	g.version++
	if !g.tell(g.version, true, g.entries()...) {
		g.t.Fatalf("version %d is refused", g.version)
	}
}

// raise opens the rig: the list, then some proxies of zone 0.
func (g *subsetRig) raise(proxies int) {
	g.whole()
	for p := range proxies {
		g.router.take(proxyJoined{balancer.ProxyID(p), rigZone(0), 5})
	}
	g.seconds(20, func() {})
}

// seconds plays some, with a look at the end of each.
func (g *subsetRig) seconds(n int, look func()) {
	for range n {
		g.second()
		look()
	}
}

func (g *subsetRig) second() {
	r := g.router
	for step := range 4 { // the module wakes a few times a second
		r.now += time.Second / 4
		if step == 0 {
			g.report()
		}
		r.decided(r.manager.HandleTimer(r.now))
		r.lookAtSubset()
		r.carry()
		g.relay()
		g.answer()
		r.carry()
		g.relay()
	}
}

// report tells of each server that a table names: flows that are answered, or all fail.
func (g *subsetRig) report() {
	r := g.router
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if !g.named(id) {
			continue
		}
		in := balancer.LoadReport{Server: id, Zone: rigZone(0), Attempts: 10, Latency: 50 * time.Millisecond, Interval: time.Second, InFlight: -1}
		if g.failed[id] {
			in.Failed, in.Latency = in.Attempts, 0
		}
		r.take(serverReport{in})
	}
	for _, p := range slices.Sorted(maps.Keys(g.bound)) {
		r.take(usageReport{balancer.UsageReport{Proxy: p, Requests: rigFlows, Interval: time.Second}})
	}
}

// named tells whether a table would send flows to a server.
func (g *subsetRig) named(id balancer.ServerID) bool {
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

// relay takes what was ordered, and all proxies answer.
func (g *subsetRig) relay() {
	r := g.router
	for _, o := range r.backlog.all() {
		for _, b := range o.Assign {
			g.bound[b.Proxy] = b.Table
		}
		if o.Barrier > 0 {
			r.take(callSettled{o.Barrier, true})
			for _, p := range slices.Sorted(maps.Keys(r.proxies)) {
				r.take(markApplied{p, o.Barrier})
			}
		}
	}
}

// answer ends all ordered probes.
func (g *subsetRig) answer() {
	for len(g.router.probes) > 0 {
		p := <-g.router.probes
		in := probeResult{server: p.server, address: p.address, answer: balancer.HealthCheckPassed, took: 2 * time.Millisecond, load: -1}
		if _, there := g.list[p.server]; g.failed[p.server] || !there {
			in.answer = balancer.HealthCheckUnreachable
		}
		g.router.take(in)
	}
}

// usable counts the lines that a proxy's table would pick, and those of them that lead to a server in service.
func (g *subsetRig) usable(p balancer.ProxyID) (lines, sound int) {
	state := g.router.chain.State()
	for id, weight := range state.Table(uint32(g.bound[p])).Weights {
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
func (g *subsetRig) mustServe(what string) {
	g.t.Helper()
	for p := range g.router.proxies {
		if lines, sound := g.usable(p); sound == 0 {
			g.t.Fatalf("%s, at %v: proxy %d has %d lines, none to a server in service", what, g.router.now-rigStart, p, lines)
		}
	}
}

// mustNotUse fails where a table would send flows to one of some servers.
func (g *subsetRig) mustNotUse(what string, ids ...balancer.ServerID) {
	g.t.Helper()
	for _, id := range ids {
		if g.named(id) {
			g.t.Fatalf("%s, at %v: %s gets flows", what, g.router.now-rigStart, id)
		}
	}
}

// members are the servers that the module may use, by id.
func (g *subsetRig) members() (ids []balancer.ServerID) {
	for id := range g.router.servers {
		if _, open, _ := g.router.manager.ServerStatus(id); open {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// some are the members of a zone or, below 0, of all zones but the first.
func (g *subsetRig) some(zone int) (ids []balancer.ServerID) {
	for _, id := range g.members() {
		if at := g.list[id].Zone; at == rigZone(max(zone, 0)) == (zone >= 0) {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestTheModuleIsHandedASubset(t *testing.T) {
	g := newSubsetRig(t, "n1", 10, 20)
	g.fill(10, 40)
	g.raise(5)
	if home, others := len(g.some(0)), len(g.some(-1)); home != 40 || others < 16 || others > 25 {
		t.Errorf("%d servers of the home zone and %d others", home, others)
	}
	if n := len(g.router.servers); n > 65 {
		t.Errorf("%d addresses are kept beside the subset", n)
	}
	g.mustServe("at rest")
}

func TestReportsAboutServersOutsideAreCountedApart(t *testing.T) {
	g := newSubsetRig(t, "n1", 4, 5)
	g.fill(4, 40)
	g.raise(5)
	for _, id := range g.zone(2) {
		g.router.take(serverReport{balancer.LoadReport{Server: id, Zone: rigZone(0), Attempts: 5, Interval: time.Second}})
	}
	g.router.take(serverReport{balancer.LoadReport{Server: "none", Zone: rigZone(0), Attempts: 5, Interval: time.Second}})
	outside, unknown := g.router.metrics.counts[outsideSubset].Load(), g.router.metrics.counts[unknownNames].Load()
	if outside < 30 || outside > 40 || unknown != 1 {
		t.Errorf("%d outside, %d unknown", outside, unknown)
	}
}

// Restarted managers have the same members, also on another list of the same servers.
func TestARestartedManagerHasTheSameSubset(t *testing.T) {
	var members [2][]balancer.ServerID
	for i := range members {
		g := newSubsetRig(t, "n17", 8, 20)
		g.fill(8, 30)
		g.raise(3)
		members[i] = g.members()
	}
	if !slices.Equal(members[0], members[1]) {
		t.Errorf("%v\n%v", members[0], members[1])
	}
}

// A proxy that is told again, as after a gap in the news, counts once; one that moves counts where it is.
func TestProxiesCountOnceForTheirZone(t *testing.T) {
	g := newSubsetRig(t, "n1", 4, 4)
	g.fill(4, 20)
	g.raise(1)
	g.router.take(proxyJoined{0, rigZone(0), 5})
	g.router.take(proxyJoined{0, rigZone(1), 5})
	g.router.take(proxyJoined{7, rigZone(2), 5})
	g.router.take(proxyLeft{7})
	g.seconds(150, func() { g.mustServe("while its proxy moves") })
	if zero, one, two := len(g.some(0)), len(g.some(1)), len(g.some(2)); zero > 5 || one != 20 || two > 5 {
		t.Errorf("%d, %d and %d members of the zones 0 to 2", zero, one, two)
	}
}

// Two regions of two zones each are split for an hour: the manager hears of its own region alone, and the other's
// servers do not answer. On both sides servers drain, are removed and restart; then the split ends.
func TestASplitOfRegionsForAnHour(t *testing.T) {
	g := newSubsetRig(t, "n3", 4, 30)
	g.fill(4, 60)
	g.raise(10)
	before := g.version
	old := g.entries()
	far := slices.Concat(g.zone(2), g.zone(3))
	for _, id := range far {
		g.failed[id] = true
	}
	g.seconds(silenceHeard, func() { g.mustServe("at the split") })
	var drained, removed, restarted []balancer.ServerID
	for minute := range 60 {
		near, there := g.zone(minute % 2)[0], g.zone(2 + minute%2)[0]
		switch minute % 3 {
		case 0:
			near, there = g.ready(minute%2), g.ready(2+minute%2)
			g.change(g.set(balancer.Draining, near))
			g.set(balancer.Draining, there)
			drained = append(drained, near, there)
			g.second()
			g.mustNotUse("a second after it drained", near)
		case 1:
			g.change(g.set(balancer.Removed, near))
			g.set(balancer.Removed, there)
			removed = append(removed, near, there)
		case 2:
			near, there = g.ready(minute%2), g.ready(2+minute%2)
			g.change(g.restart(near))
			g.restart(there)
			restarted = append(restarted, near, there)
		}
		g.seconds(58, func() {
			g.mustServe("in the split")
			g.mustNotUse("in the split", far...)
		})
	}
	clear(g.failed)
	if g.tell(before, true, old...) {
		t.Fatal("a list from before the split is taken back")
	}
	g.version += 100
	g.whole()
	g.seconds(600, func() {
		g.mustServe("after the split")
		g.mustNotUse("drained, after the split", g.still(balancer.Draining, drained)...)
		g.mustNotUse("removed, after the split", removed...)
	})
	if g.tell(before+1, false, balancer.Endpoint{Server: removed[0], Zone: rigZone(0), Weight: 1}) {
		t.Error("a change from before the split is taken back")
	}
	for _, id := range restarted {
		e, there := g.list[id]
		if _, open, climbed := g.router.manager.ServerStatus(id); there && e.State == balancer.Ready && e.Zone == rigZone(0) && (!open || climbed < 1) {
			t.Errorf("%s restarted, and is not in service ten minutes after the split", id)
		}
	}
	if home := len(g.some(0)); home != g.count(balancer.Ready, 0) {
		t.Errorf("%d members of the home zone, %d are ready", home, g.count(balancer.Ready, 0))
	}
	if width := g.router.filter.subset.Counts().Width; width > 1.2 {
		t.Errorf("the subset is %.1f times as wide ten minutes after the split", width)
	}
}

// entries is the list as it is now, by server.
func (g *subsetRig) entries() (all []balancer.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(g.list)) {
		all = append(all, g.list[id])
	}
	return all
}

// ready is a zone's first server that the list calls ready.
func (g *subsetRig) ready(zone int) balancer.ServerID {
	for _, id := range g.zone(zone) {
		if g.list[id].State == balancer.Ready {
			return id
		}
	}
	g.t.Fatalf("no server of zone %d is ready", zone)
	return ""
}

func (g *subsetRig) count(state balancer.ServerState, zone int) (n int) {
	for _, id := range g.zone(zone) {
		if g.list[id].State == state {
			n++
		}
	}
	return n
}

// still are those of some servers that the list holds in a state.
func (g *subsetRig) still(state balancer.ServerState, ids []balancer.ServerID) (some []balancer.ServerID) {
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
	g := newSubsetRig(t, "n4", 6, 30)
	g.fill(6, 40)
	g.raise(10)
	var changes []balancer.Endpoint
	var drained, removed []balancer.ServerID
	for z := range 6 {
		for n := 0; n < 40; n += 3 {
			id, fresh := rigServer(z, n), rigServer(z, 100+n)
			switch n % 9 {
			case 0:
				changes = append(changes, g.set(balancer.Draining, id)...)
				drained = append(drained, id)
			case 3:
				changes = append(changes, g.set(balancer.Removed, id)...)
				removed = append(removed, id)
			case 6:
				g.list[fresh] = balancer.Endpoint{Server: fresh, Zone: rigZone(z), Weight: 1, RecentlyStarted: true, Started: g.router.now}
				changes = append(changes, g.list[fresh])
			}
		}
	}
	for _, id := range removed {
		g.failed[id] = true
	}
	g.seconds(3600, func() { g.mustServe("behind") })
	g.mustNotUse("servers that do not answer, behind", removed...)
	g.change(changes)
	g.second()
	g.mustNotUse("a second after the list is back", drained...)
	g.seconds(300, func() {
		g.mustServe("after it is back")
		g.mustNotUse("after it is back", drained...)
		g.mustNotUse("after it is back", removed...)
	})
	fresh := newSubsetRig(t, "n4", 6, 30)
	fresh.list = g.list
	fresh.raise(10)
	if a, b := g.members(), fresh.members(); !slices.Equal(a, b) {
		t.Errorf("%d members, and %d in a manager that starts now", len(a), len(b))
	}
}

// A home zone of 273 servers is lost and comes back cold, while servers of its neighbours drain.
func TestALostZoneIsBackColdWhileItsNeighboursDrain(t *testing.T) {
	g := newSubsetRig(t, "n6", 8, 100)
	g.fill(8, 273)
	g.raise(20)
	home := g.zone(0)
	for _, id := range home {
		g.failed[id] = true
	}
	g.seconds(lossHeard, func() {})
	g.seconds(4, func() { g.mustServe("just lost") })
	if n := len(g.some(-1)); n < 250 {
		t.Errorf("%d servers of other zones are in the subset 6 s after 273 were lost", n)
	}
	g.seconds(60, func() { g.mustServe("lost") })
	g.change(g.restart(home...))
	clear(g.failed)
	var drained []balancer.ServerID
	for i := range 60 {
		if i%2 == 0 {
			next := g.some(-1)[0]
			g.change(g.set(balancer.Draining, next))
			drained = append(drained, next)
		}
		g.second()
		g.mustServe("back")
		g.mustNotUse("drained while the zone is back", drained...)
	}
	g.seconds(300, func() {
		g.mustServe("back for long")
		g.mustNotUse("back for long", drained...)
	})
	if home, others := len(g.some(0)), len(g.some(-1)); home != 273 || others < 70 || others > 130 {
		t.Errorf("%d members of the home zone and %d others five minutes later", home, others)
	}
}

// All servers of a subset fail at once, and one zone of all is sound.
func TestAllServersOfASubsetFail(t *testing.T) {
	g := newSubsetRig(t, "n8", 8, 20)
	g.fill(8, 60)
	g.raise(10)
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
			if _, sound := g.usable(p); sound == 0 {
				return false
			}
		}
		return true
	}
	for ; !served() && seconds < 60; seconds++ {
		g.second()
	}
	t.Logf("all proxies have a server in service after %d s", seconds)
	if seconds > 6 {
		t.Errorf("proxies are without a server in service for %d s", seconds)
	}
	g.seconds(120, func() { g.mustServe("with one zone") })
}

// Six in ten servers are replaced within ten minutes.
func TestSixInTenServersAreReplaced(t *testing.T) {
	g := newSubsetRig(t, "n9", 8, 40)
	g.fill(8, 50)
	g.raise(10)
	var removed []balancer.ServerID
	for n := range 30 {
		for z := range 8 {
			old, fresh := rigServer(z, n), rigServer(z, 100+n)
			g.change(g.set(balancer.Draining, old))
			g.list[fresh] = balancer.Endpoint{Server: fresh, Zone: rigZone(z), Weight: 1, RecentlyStarted: true, Started: g.router.now}
			g.change([]balancer.Endpoint{g.list[fresh]})
			g.second()
			g.mustServe("replacing")
			g.mustNotUse("replacing", old)
			g.change(g.set(balancer.Removed, old))
			removed = append(removed, old)
		}
		g.seconds(12, func() {
			g.mustServe("replacing")
			g.mustNotUse("replaced", removed...)
		})
	}
	g.seconds(200, func() { g.mustServe("replaced") })
	if home, others := len(g.some(0)), len(g.some(-1)); home != 50 || others < 32 || others > 60 {
		t.Errorf("%d members of the home zone and %d others", home, others)
	}
	for id := range g.router.servers {
		if !g.router.manager.KnowsServer(id) {
			t.Errorf("the address of %s is kept, and the module has forgotten it", id)
		}
	}
}

// A whole list that lacks a member says that it is gone.
func TestAMemberAbsentFromAWholeListIsWithdrawn(t *testing.T) {
	g := newSubsetRig(t, "n8", 6, 20)
	g.fill(6, 30)
	g.raise(10)
	absent := g.zone(0)[3]
	if !g.named(absent) {
		t.Fatal("it gets no flows before")
	}
	g.set(balancer.Removed, absent)
	g.whole()
	g.second()
	g.mustNotUse("absent", absent)
}

// A server outside the subset drains while proxies come from another manager, with tables that name it: it is withdrawn
// at once. When it is ready again, the withdrawal is lifted.
func TestADrainOutsideTheSubsetIsWithdrawn(t *testing.T) {
	g := newSubsetRig(t, "n8", 6, 20)
	g.fill(6, 60)
	g.raise(10)
	var outsider balancer.ServerID
	for _, id := range g.zone(3) {
		if _, handed := g.router.servers[id]; !handed {
			outsider = id
		}
	}
	for p := range 10 {
		g.router.take(proxyJoined{balancer.ProxyID(20 + p), rigZone(0), 5})
	}
	g.change(g.set(balancer.Draining, outsider))
	g.second()
	if !g.router.chain.State().IsWithdrawn(string(outsider)) {
		t.Error("it is not withdrawn")
	}
	g.change(g.restart(outsider))
	g.seconds(150, func() { g.mustServe("at rest") })
	if g.router.chain.State().IsWithdrawn(string(outsider)) {
		t.Error("it is withdrawn still")
	}
}

// A server that left the subset and was forgotten comes back when it is needed again, and gets flows.
func TestAServerThatLeftGetsFlowsAgain(t *testing.T) {
	g := newSubsetRig(t, "n8", 6, 20)
	g.fill(6, 60)
	g.raise(10)
	lose := func() {
		for _, id := range g.zone(0) {
			g.failed[id] = true
		}
		g.seconds(lossHeard, func() {})
		g.seconds(20, func() { g.mustServe("lost") })
	}
	lose()
	wide := g.some(-1)
	clear(g.failed)
	g.seconds(600, func() { g.mustServe("back") })
	narrow := g.some(-1)
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
		if !g.named(id) {
			t.Errorf("%s is needed again and gets no flows", id)
		}
	}
}

// Without a subset the module is handed the whole list.
func TestWithoutASubsetNothingIsLeftOut(t *testing.T) {
	g := newSubsetRig(t, "n1", 4, 5)
	g.router.filter = nil
	g.fill(4, 40)
	g.raise(5)
	if n := len(g.router.servers); n != 160 {
		t.Errorf("%d servers", n)
	}
}

// Tables of many servers, each of which gets a small part: a large home zone in one table with a subset, and, without
// one, a lost home zone among many others.
func TestProxiesAreServedByTablesOfManyServers(t *testing.T) {
	const zones, proxies = 30, 10 // so many zones that a zone is not divided into tables
	subset := newSubsetRig(t, "n8", zones, 100)
	subset.fill(zones, 400)
	subset.raise(proxies)
	if _, sound := subset.usable(0); sound == 0 {
		t.Error("a subset with a home zone of 400 servers: no line")
	}
	whole := newSubsetRig(t, "n8", zones, 100)
	whole.router.filter = nil
	whole.fill(zones, 40)
	whole.raise(proxies)
	for _, id := range whole.zone(0) {
		whole.failed[id] = true
	}
	whole.seconds(20, func() {})
	if _, sound := whole.usable(0); sound == 0 {
		t.Error("the whole list of 1200 servers, home zone lost for 20 s: no line to a server in service")
	}
}
