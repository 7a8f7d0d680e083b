package node

import (
	"testing"

	"tamarindshore/balancer"
)

// Six in ten servers are replaced within ten minutes.
func TestSixInTenServersAreReplaced(t *testing.T) {
	g := newSubsetHarness(t, "n9", 8, 40)
	g.addServers(8, 50)
	g.start(10)
	var removed []balancer.ServerID
	for n := range 30 {
		for z := range 8 {
			old := testServerID(z, n)
			fresh := testServerID(z, 100+n)
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
	if home, others := len(g.membersIn(0)), len(g.membersIn(otherZones)); home != 50 || others < 32 || others > 60 {
		t.Errorf("%d members of the home zone and %d others", home, others)
	}
	for id := range g.router.addresses {
		if !g.router.manager.KnowsServer(id) {
			t.Errorf("the address of %s is kept, and the balancer has forgotten it", id)
		}
	}
}

// A snapshot that lacks a member says that it is gone.
func TestAMemberAbsentFromASnapshotIsWithdrawn(t *testing.T) {
	g := newSubsetHarness(t, "n8", 6, 20)
	g.addServers(6, 30)
	g.start(10)
	absent := g.zone(0)[3]
	if !g.hasTraffic(absent) {
		t.Fatal("it gets no requests before")
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
