package node

import (
	"slices"
	"testing"

	"tamarindshore/balancer"
)

// regionSplit is a split of the zones 0 and 1, which the manager hears of, from the zones 2 and 3, whose servers do not
// answer. It notes what happened to servers on both sides.
type regionSplit struct {
	*subsetHarness
	drained   []balancer.ServerID
	removed   []balancer.ServerID
	restarted []balancer.ServerID
}

// changeBothSides has a server on each side drain, be removed or restart, by turns; the manager hears of the near one.
func (s *regionSplit) changeBothSides(minute int) {
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
		s.mustNotUse("a second after it drained", near)
	case 1:
		near, far := s.zone(nearZone)[0], s.zone(farZone)[0]
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

// mustHaveRecovered fails where the manager is not as it would be without the split.
func (s *regionSplit) mustHaveRecovered() {
	s.t.Helper()
	for _, id := range s.restarted {
		entry, listed := s.list[id]
		if !listed || entry.State != balancer.Ready || entry.Zone != testZone(0) {
			continue
		}
		if _, open, warmFraction := s.router.manager.ServerStatus(id); !open || warmFraction < 1 {
			s.t.Errorf("%s restarted, and is not in service ten minutes after the split", id)
		}
	}
	if home := len(s.membersIn(0)); home != s.count(balancer.Ready, 0) {
		s.t.Errorf("%d members of the home zone, %d are ready", home, s.count(balancer.Ready, 0))
	}
	if width := s.router.subsetFilter.subset.Counts().Width; width > 1.2 {
		s.t.Errorf("the subset is %.1f times as wide ten minutes after the split", width)
	}
}

// Two regions of two zones each are split for an hour: the manager hears of its own region alone, and the other's
// servers do not answer. On both sides servers drain, are removed and restart; then the split ends.
func TestASplitOfRegionsForAnHour(t *testing.T) {
	s := &regionSplit{subsetHarness: newSubsetHarness(t, "n3", 4, 30)}
	s.addServers(4, 60)
	s.start(10)
	versionBefore := s.version
	listBefore := s.entries()
	far := slices.Concat(s.zone(2), s.zone(3))
	for _, id := range far {
		s.failed[id] = true
	}
	s.advance(unresponsiveDetection, func() { s.mustServe("at the split") })
	for minute := range 60 {
		s.changeBothSides(minute)
		s.advance(58, func() {
			s.mustServe("in the split")
			s.mustNotUse("in the split", far...)
		})
	}
	clear(s.failed)
	if s.sendListIfNewer(versionBefore, true, listBefore...) {
		t.Fatal("a list from before the split is accepted")
	}
	s.version += 100
	s.sendSnapshot()
	s.advance(600, func() {
		s.mustServe("after the split")
		s.mustNotUse("drained, after the split", s.inState(balancer.Draining, s.drained)...)
		s.mustNotUse("removed, after the split", s.removed...)
	})
	if s.sendListIfNewer(versionBefore+1, false, balancer.Endpoint{Server: s.removed[0], Zone: testZone(0), Weight: 1}) {
		t.Error("a change from before the split is accepted")
	}
	s.mustHaveRecovered()
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
			id := testServerID(z, n)
			fresh := testServerID(z, 100+n)
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
	if n := len(g.membersIn(otherZones)); n < 250 {
		t.Errorf("%d servers of other zones are in the subset 6 s after 273 were lost", n)
	}
	g.advance(60, func() { g.mustServe("lost") })
	g.sendChanges(g.restart(home...))
	clear(g.failed)
	var drained []balancer.ServerID
	for i := range 60 {
		if i%2 == 0 {
			next := g.membersIn(otherZones)[0]
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
	if home, others := len(g.membersIn(0)), len(g.membersIn(otherZones)); home != 273 || others < 70 || others > 130 {
		t.Errorf("%d members of the home zone and %d others five minutes later", home, others)
	}
}

// All servers of a subset fail at once, and one zone of all is in service.
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
			if _, inService := g.endpointsOf(p); inService == 0 {
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
