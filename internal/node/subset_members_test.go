package node

import (
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestTheBalancerReceivesASubset(t *testing.T) {
	g := newSubsetHarness(t, "n1", 10, 20)
	g.addServers(10, 40)
	g.start(5)
	if home, others := len(g.membersIn(0)), len(g.membersIn(otherZones)); home != 40 || others < 16 || others > 25 {
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
	outside := g.router.metrics.counts[outsideSubset].Load()
	unknown := g.router.metrics.counts[unknownNames].Load()
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

// A proxy that connects again, as after a gap in the event stream, counts once; one that moves counts where it is.
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

// A server that left the subset and was forgotten comes back when it is needed again, and gets requests.
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
	wide := g.membersIn(otherZones)
	clear(g.failed)
	g.advance(600, func() { g.mustServe("back") })
	narrow := g.membersIn(otherZones)
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
			t.Errorf("%s is needed again and gets no requests", id)
		}
	}
}

// Without a subset the balancer receives the whole list.
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
	if _, inService := subset.endpointsOf(0); inService == 0 {
		t.Error("a subset with a home zone of 400 servers: no endpoint")
	}
	whole := newSubsetHarness(t, "n8", zones, 100)
	whole.router.subsetFilter = nil
	whole.addServers(zones, 40)
	whole.start(proxies)
	for _, id := range whole.zone(0) {
		whole.failed[id] = true
	}
	whole.advance(20, func() {})
	if _, inService := whole.endpointsOf(0); inService == 0 {
		t.Error("the whole list of 1200 servers, home zone lost for 20 s: no endpoint in service")
	}
}
