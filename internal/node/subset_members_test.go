package node

import (
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestTheBalancerReceivesASubset(t *testing.T) {
	h := newSubsetHarness(t, "n1", 10, 20)
	h.addServers(10, 40)
	h.start(5)
	if home, others := len(h.membersIn(0)), len(h.membersIn(otherZones)); home != 40 || others < 16 || others > 25 {
		t.Errorf("%d servers in the home zone, want 40; %d in other zones, want 16 to 25", home, others)
	}
	if n := len(h.router.addresses); n > 65 {
		t.Errorf("%d addresses are kept, want at most 65", n)
	}
	h.mustServe("in a steady state")
}

func TestReportsOnServersOutsideTheSubsetAreCountedSeparately(t *testing.T) {
	h := newSubsetHarness(t, "n1", 4, 5)
	h.addServers(4, 40)
	h.start(5)
	for _, id := range h.serversInZone(2) {
		h.router.handle(loadReport{balancer.LoadReport{Server: id, Zone: testZone(0), Attempts: 5, Interval: time.Second}})
	}
	h.router.handle(loadReport{balancer.LoadReport{Server: "none", Zone: testZone(0), Attempts: 5, Interval: time.Second}})
	outside := h.router.metrics.counts[outsideSubset].Load()
	unknown := h.router.metrics.counts[unknownNames].Load()
	if outside < 30 || outside > 40 || unknown != 1 {
		t.Errorf("%d reports on servers outside the subset, want 30 to 40; %d on unknown servers, want 1", outside, unknown)
	}
}

// A restarted manager selects the same members from a list of the same servers.
func TestARestartedManagerHasTheSameSubset(t *testing.T) {
	var members [2][]balancer.ServerID
	for i := range members {
		h := newSubsetHarness(t, "n17", 8, 20)
		h.addServers(8, 30)
		h.start(3)
		members[i] = h.memberIDs()
	}
	if !slices.Equal(members[0], members[1]) {
		t.Errorf("members before the restart:\n%v\nafterwards:\n%v", members[0], members[1])
	}
}

// A proxy that connects again, as after a gap in the event stream, is counted once. One that reconnects in another zone is
// counted only there.
func TestEachProxyIsCountedOnceInItsZone(t *testing.T) {
	h := newSubsetHarness(t, "n1", 4, 4)
	h.addServers(4, 20)
	h.start(1)
	h.router.handle(proxyConnected{0, testZone(0), 5})
	h.router.handle(proxyConnected{0, testZone(1), 5})
	h.router.handle(proxyConnected{7, testZone(2), 5})
	h.router.handle(proxyDisconnected{7})
	h.advance(150, func() { h.mustServe("after the proxy changed its zone") })
	if zero, one, two := len(h.membersIn(0)), len(h.membersIn(1)), len(h.membersIn(2)); zero > 5 || one != 20 || two > 5 {
		t.Errorf("%d, %d and %d members in zones 0 to 2, want at most 5, 20 and at most 5", zero, one, two)
	}
}

// A server that left the subset and that the balancer has forgotten must get requests once it is needed again.
func TestAServerThatLeftTheSubsetGetsRequestsAgain(t *testing.T) {
	h := newSubsetHarness(t, "n8", 6, 20)
	h.addServers(6, 60)
	h.start(10)
	failHomeZone := func() {
		for _, id := range h.serversInZone(0) {
			h.failed[id] = true
		}
		h.advance(zoneLossDetection, func() {})
		h.advance(20, func() { h.mustServe("while the home zone is lost") })
	}
	failHomeZone()
	wide := h.membersIn(otherZones)
	clear(h.failed)
	h.advance(600, func() { h.mustServe("after the home zone is back") })
	narrow := h.membersIn(otherZones)
	if len(wide) < 50 || len(narrow) > 30 {
		t.Fatalf("members in other zones: %d while the home zone is lost, want at least 50; %d afterwards, want at most 30",
			len(wide), len(narrow))
	}
	for _, id := range wide {
		if !slices.Contains(narrow, id) && h.router.chain.State().IsWithdrawn(string(id)) {
			t.Errorf("server %s left the subset and is still withdrawn", id)
		}
	}
	failHomeZone()
	for _, id := range wide {
		if !h.hasTraffic(id) {
			t.Errorf("server %s is needed again but gets no requests", id)
		}
	}
}

func TestTheBalancerReceivesTheWholeListWithoutASubset(t *testing.T) {
	h := newSubsetHarness(t, "n1", 4, 5)
	h.router.subsetFilter = nil
	h.addServers(4, 40)
	h.start(5)
	if n := len(h.router.addresses); n != 160 {
		t.Errorf("%d servers, want 160", n)
	}
}

// A table with many servers, each with a small share of the requests, must still have endpoints in service. Two cases: a
// large home zone in one table, with a subset; and a lost home zone among many zones, without a subset.
func TestProxiesAreServedByTablesOfManyServers(t *testing.T) {
	const zones, proxies = 30, 10 // with 30 zones, no zone is divided into several tables
	subset := newSubsetHarness(t, "n8", zones, 100)
	subset.addServers(zones, 400)
	subset.start(proxies)
	if _, inService := subset.endpointsOf(0); inService == 0 {
		t.Error("subset with a home zone of 400 servers: no endpoint in service")
	}
	complete := newSubsetHarness(t, "n8", zones, 100)
	complete.router.subsetFilter = nil
	complete.addServers(zones, 40)
	complete.start(proxies)
	for _, id := range complete.serversInZone(0) {
		complete.failed[id] = true
	}
	complete.advance(20, func() {})
	if _, inService := complete.endpointsOf(0); inService == 0 {
		t.Error("complete list of 1200 servers, home zone lost for 20 s: no endpoint in service")
	}
}
