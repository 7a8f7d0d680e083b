package node

import (
	"testing"

	"tamarindshore/balancer"
)

// 30 of 50 servers in each zone are replaced within ten minutes. Proxies must keep servers in service, and draining or
// removed servers must get no requests.
func TestSixtyPercentOfServersAreReplaced(t *testing.T) {
	h := newSubsetHarness(t, "n9", 8, 40)
	h.addServers(8, 50)
	h.start(10)
	var removed []balancer.ServerID
	for n := range 30 {
		for z := range 8 {
			old := testServerID(z, n)
			replacement := testServerID(z, 100+n)
			h.sendChanges(h.setState(balancer.Draining, old))
			h.list[replacement] = balancer.Endpoint{Server: replacement, Zone: testZone(z), Weight: 1, RecentlyStarted: true, Started: h.router.now}
			h.sendChanges([]balancer.Endpoint{h.list[replacement]})
			h.advanceSecond()
			h.mustServe("while servers are replaced")
			h.mustNotUse("draining", old)
			h.sendChanges(h.setState(balancer.Removed, old))
			removed = append(removed, old)
		}
		h.advance(12, func() {
			h.mustServe("while servers are replaced")
			h.mustNotUse("removed", removed...)
		})
	}
	h.advance(200, func() { h.mustServe("after servers were replaced") })
	if home, others := len(h.membersIn(0)), len(h.membersIn(otherZones)); home != 50 || others < 32 || others > 60 {
		t.Errorf("%d members in the home zone, want 50; %d in other zones, want 32 to 60", home, others)
	}
	for id := range h.router.addresses {
		if !h.router.manager.KnowsServer(id) {
			t.Errorf("the address of server %s is kept although the balancer has forgotten the server", id)
		}
	}
}

// A member that is missing from a snapshot counts as removed.
func TestAMemberAbsentFromASnapshotIsWithdrawn(t *testing.T) {
	h := newSubsetHarness(t, "n8", 6, 20)
	h.addServers(6, 30)
	h.start(10)
	absent := h.serversInZone(0)[3]
	if !h.hasTraffic(absent) {
		t.Fatal("the server gets no requests before it is removed")
	}
	h.setState(balancer.Removed, absent)
	h.sendSnapshot()
	h.advanceSecond()
	h.mustNotUse("missing from the snapshot", absent)
}

// Proxies that come from another manager may hold tables that name a server outside the subset. If it drains, it must be
// withdrawn at once, and restored when it is ready again.
func TestADrainingServerOutsideTheSubsetIsWithdrawn(t *testing.T) {
	h := newSubsetHarness(t, "n8", 6, 20)
	h.addServers(6, 60)
	h.start(10)
	var nonMember balancer.ServerID
	for _, id := range h.serversInZone(3) {
		if _, published := h.router.addresses[id]; !published {
			nonMember = id
		}
	}
	for p := range 10 {
		h.router.handle(proxyConnected{balancer.ProxyID(20 + p), testZone(0), 5})
	}
	h.sendChanges(h.setState(balancer.Draining, nonMember))
	h.advanceSecond()
	if !h.router.chain.State().IsWithdrawn(string(nonMember)) {
		t.Error("the draining server is not withdrawn")
	}
	h.sendChanges(h.restart(nonMember))
	h.advance(150, func() { h.mustServe("after the drain") })
	if h.router.chain.State().IsWithdrawn(string(nonMember)) {
		t.Error("the restarted server is still withdrawn")
	}
}
