package node

import (
	"slices"
	"testing"

	"tamarindshore/balancer"
)

// regionSplit is a network split between the manager's own region (zones 0 and 1, "near") and another region (zones 2
// and 3, "far"). During the split the manager receives list changes of the near zones only, and far servers do not
// respond to it. The fields record what happened to servers of both regions meanwhile.
type regionSplit struct {
	*subsetHarness
	drained   []balancer.ServerID
	removed   []balancer.ServerID
	restarted []balancer.ServerID
}

// changeBothRegions drains, removes or restarts one server in each region, depending on the minute. The manager receives
// only the change to the near server.
func (s *regionSplit) changeBothRegions(minute int) {
	s.t.Helper()
	nearZone := minute % 2
	farZone := 2 + minute%2
	switch minute % 3 {
	case 0:
		near, far := s.firstReady(nearZone), s.firstReady(farZone)
		s.sendChanges(s.setState(balancer.Draining, near))
		s.setState(balancer.Draining, far)
		s.drained = append(s.drained, near, far)
		s.advanceSecond()
		s.mustNotUse("a second after it began to drain", near)
	case 1:
		near, far := s.serversInZone(nearZone)[0], s.serversInZone(farZone)[0]
		s.sendChanges(s.setState(balancer.Removed, near))
		s.setState(balancer.Removed, far)
		s.removed = append(s.removed, near, far)
	case 2:
		near, far := s.firstReady(nearZone), s.firstReady(farZone)
		s.sendChanges(s.restart(near))
		s.restart(far)
		s.restarted = append(s.restarted, near, far)
	}
}

// mustHaveRecovered fails the test unless the manager's state is as it would be without the split.
func (s *regionSplit) mustHaveRecovered() {
	s.t.Helper()
	for _, id := range s.restarted {
		entry, listed := s.list[id]
		if !listed || entry.State != balancer.Ready || entry.Zone != testZone(0) {
			continue
		}
		if _, available, warmFraction := s.router.manager.ServerStatus(id); !available || warmFraction < 1 {
			s.t.Errorf("server %s restarted during the split and is not in service ten minutes after its end", id)
		}
	}
	if home := len(s.membersIn(0)); home != s.countInState(balancer.Ready, 0) {
		s.t.Errorf("%d members in the home zone, want the %d ready servers", home, s.countInState(balancer.Ready, 0))
	}
	if width := s.router.subsetFilter.subset.Counts().Width; width > 1.2 {
		s.t.Errorf("the width factor is %.1f ten minutes after the split, want at most 1.2", width)
	}
}

// The network between two regions of two zones each is split for an hour, while servers of both regions drain, are removed
// and restart. After the split the manager must reject lists and changes from before it, and recover its state.
func TestANetworkSplitBetweenRegionsForAnHour(t *testing.T) {
	s := &regionSplit{subsetHarness: newSubsetHarness(t, "n3", 4, 30)}
	s.addServers(4, 60)
	s.start(10)
	versionBefore := s.version
	listBefore := s.entries()
	far := slices.Concat(s.serversInZone(2), s.serversInZone(3))
	for _, id := range far {
		s.failed[id] = true
	}
	s.advance(unresponsiveDetection, func() { s.mustServe("at the start of the split") })
	for minute := range 60 {
		s.changeBothRegions(minute)
		s.advance(58, func() {
			s.mustServe("during the split")
			s.mustNotUse("during the split", far...)
		})
	}
	clear(s.failed)
	if s.sendListIfNewer(versionBefore, true, listBefore...) {
		t.Fatal("a list from before the split was accepted")
	}
	s.version += 100
	s.sendSnapshot()
	s.advance(600, func() {
		s.mustServe("after the split")
		s.mustNotUse("drained, after the split", s.inState(balancer.Draining, s.drained)...)
		s.mustNotUse("removed, after the split", s.removed...)
	})
	if s.sendListIfNewer(versionBefore+1, false, balancer.Endpoint{Server: s.removed[0], Zone: testZone(0), Weight: 1}) {
		t.Error("a change from before the split was accepted")
	}
	s.mustHaveRecovered()
}

// A manager receives no list updates for an hour. Meanwhile a third of all servers drain or are removed, or a new server is
// added in their place; then all changes arrive at once. The manager must end with the same subset as one that starts then.
func TestAnHourWithoutListUpdates(t *testing.T) {
	h := newSubsetHarness(t, "n4", 6, 30)
	h.addServers(6, 40)
	h.start(10)
	var changes []balancer.Endpoint
	var drained, removed []balancer.ServerID
	for z := range 6 {
		for n := 0; n < 40; n += 3 {
			id := testServerID(z, n)
			added := testServerID(z, 100+n)
			switch n % 9 {
			case 0:
				changes = append(changes, h.setState(balancer.Draining, id)...)
				drained = append(drained, id)
			case 3:
				changes = append(changes, h.setState(balancer.Removed, id)...)
				removed = append(removed, id)
			case 6:
				h.list[added] = balancer.Endpoint{Server: added, Zone: testZone(z), Weight: 1, RecentlyStarted: true, Started: h.router.now}
				changes = append(changes, h.list[added])
			}
		}
	}
	for _, id := range removed {
		h.failed[id] = true
	}
	h.advance(3600, func() { h.mustServe("without list updates") })
	h.mustNotUse("unresponsive, without list updates", removed...)
	h.sendChanges(changes)
	h.advanceSecond()
	h.mustNotUse("a second after the list update", drained...)
	h.advance(300, func() {
		h.mustServe("after the list update")
		h.mustNotUse("draining, after the list update", drained...)
		h.mustNotUse("removed, after the list update", removed...)
	})
	restarted := newSubsetHarness(t, "n4", 6, 30)
	restarted.list = h.list
	restarted.start(10)
	if got, want := h.memberIDs(), restarted.memberIDs(); !slices.Equal(got, want) {
		t.Errorf("%d members differ from the %d of a manager that starts now", len(got), len(want))
	}
}

// A home zone of 273 servers is lost and returns with restarted servers that still warm up, while servers of other zones
// drain.
func TestALostZoneReturnsColdWhileOtherZonesDrain(t *testing.T) {
	h := newSubsetHarness(t, "n6", 8, 100)
	h.addServers(8, 273)
	h.start(20)
	home := h.serversInZone(0)
	for _, id := range home {
		h.failed[id] = true
	}
	h.advance(zoneLossDetection, func() {})
	h.advance(4, func() { h.mustServe("just after the zone loss") })
	if n := len(h.membersIn(otherZones)); n < 250 {
		t.Errorf("%d servers of other zones are in the subset 6 s after 273 were lost, want at least 250", n)
	}
	h.advance(60, func() { h.mustServe("while the zone is lost") })
	h.sendChanges(h.restart(home...))
	clear(h.failed)
	var drained []balancer.ServerID
	for i := range 60 {
		if i%2 == 0 {
			next := h.membersIn(otherZones)[0]
			h.sendChanges(h.setState(balancer.Draining, next))
			drained = append(drained, next)
		}
		h.advanceSecond()
		h.mustServe("while the zone warms up")
		h.mustNotUse("draining, while the zone warms up", drained...)
	}
	h.advance(300, func() {
		h.mustServe("after the zone has warmed up")
		h.mustNotUse("draining, after the zone has warmed up", drained...)
	})
	if home, others := len(h.membersIn(0)), len(h.membersIn(otherZones)); home != 273 || others < 70 || others > 130 {
		t.Errorf("five minutes later: %d members in the home zone, want 273; %d in other zones, want 70 to 130", home, others)
	}
}

// All servers of a subset fail at once, and only one zone has healthy servers left. All proxies must have a server in
// service again within 6 s.
func TestAllServersOfASubsetFail(t *testing.T) {
	h := newSubsetHarness(t, "n8", 8, 20)
	h.addServers(8, 60)
	h.start(10)
	for z := range 8 {
		for _, id := range h.serversInZone(z) {
			h.failed[id] = z != 5
		}
	}
	for _, id := range h.memberIDs() {
		h.failed[id] = true
	}
	seconds := 0
	served := func() bool {
		for p := range h.router.proxies {
			if _, inService := h.endpointsOf(p); inService == 0 {
				return false
			}
		}
		return true
	}
	for ; !served() && seconds < 60; seconds++ {
		h.advanceSecond()
	}
	t.Logf("all proxies have a server in service after %d s", seconds)
	if seconds > 6 {
		t.Errorf("proxies are without a server in service for %d s", seconds)
	}
	h.advance(120, func() { h.mustServe("with one healthy zone") })
}
