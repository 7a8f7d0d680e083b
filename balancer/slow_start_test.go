package balancer

import (
	"testing"
	"time"
)

func TestAStartingServerGetsLessThanItsColdCapacity(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].warmingUp = true
	m.redistribution = warmUpAdvanced
	m.redistribute()
	if x := m.tables[0].target["a0"] / m.tables[0].target["a1"]; x <= 0 || x >= testSettings.ColdCapacity {
		t.Errorf("a warming server gets %.2f of its peer's weight", x)
	}
}

func TestAWarmingServerGetsNoPartOfItsLostPeers(t *testing.T) {
	m := newTestManager(3)
	for _, s := range m.servers[1:] {
		s.ejected = s.zone == 0
	}
	m.servers[0].warmingUp = true
	m.now = testSettings.WarmUpDuration - time.Second
	m.redistribute()
	sum := 0.0
	for z := range m.tables {
		sum += m.tables[z].target["a0"] * m.distributedRates[z]
	}
	if sum > 80.0/6+1e-6 {
		t.Errorf("a warming server is to take %.1f of 80 requests as one of six", sum)
	}
}

func TestSlowStartPausesWhilePeersRejectRequests(t *testing.T) {
	m := newTestManager(3)
	for _, s := range m.servers {
		m.report(s.id, 20, 15, time.Second)
	}
	m.servers[0].warmingUp = true
	m.now = 3 * time.Second
	m.updateSlowStart()
	m.redistribute()
	if m.slowStartPause != 1 || m.tables[0].target["a0"] != 0 {
		t.Errorf("wanted %v", m.tables[0].target)
	}
}

func TestSlowStartPausesUntilPeersAreReportedOn(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].warmingUp = true
	m.servers[0].withdrawn = true
	m.slowStartPause = pauseUnreported
	m.updateSlowStart()
	if m.slowStartPause != pauseUnreported || m.nextRestore() != nil {
		t.Error("a warming server comes back though no peer is reported")
	}
	m.servers[0].warmUpFrom = -m.warmUpDuration * 3 / 4
	if m.nextRestore() == nil {
		t.Error("a server that is nearly warm waits for reports")
	}
}

// A limit that already rejects requests must not also lower the part of warming servers, which would stay idle.
func TestAnAdmissionLimitDoesNotLowerAWarmingServersPart(t *testing.T) {
	m := newTestManager(4)
	m.now = 4 * time.Second
	m.servers[0].warmingUp = true
	m.servers[0].warmUpFrom = -4 * time.Second
	m.redistribute()
	open := m.tables[0].target["a0"]
	m.admission.limit = 20
	m.redistribute()
	wantNear(t, "its part of the table under a limit", m.tables[0].target["a0"], open)
}

// Warming servers must not get the requests of all that drain beside them until the next tick.
func TestWarmingServersDoNotGetTheRequestsOfThoseThatDrain(t *testing.T) {
	m := newTestManager(4)
	t0, cold := m.tables[0], m.servers[0]
	cold.warmingUp = true
	cold.warmUpFrom = 0
	cold.listedStart = 0
	t0.target = map[ServerID]float64{"a0": 0.04, "a1": 0.32, "a2": 0.32, "a3": 0.32}
	t0.published = map[ServerID]float64{"a0": 12.5, "a1": 100, "a2": 100, "a3": 100}
	m.listReceived = true
	o := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a1", Zone: "a", State: Draining}, {Server: "a2", Zone: "a", State: Draining}, {Server: "a3", Zone: "a", State: Draining}})
	all := 0.0
	for id, w := range t0.published {
		if !m.server(id).withdrawn {
			all += w
		}
	}
	if len(o.Withdraw) != 3 || t0.published["a0"] > 0.2*all {
		t.Errorf("%v withdrawn, the cold one gets %.2f of the table", o.Withdraw, t0.published["a0"]/all)
	}
}

// In a fleet of which most is cold, the few warm servers would be overloaded while the cold ones wait.
func TestWarmingServersTakeMoreWhileMostAreWarmingUp(t *testing.T) {
	for _, since := range []time.Duration{8 * time.Second, time.Second} {
		m := newTestManager(4)
		m.now = time.Second
		for _, s := range m.servers[:6] {
			s.warmingUp = true
			s.warmUpFrom = m.now - since
		}
		m.redistribute()
		gets, climbed := 0.0, m.warmUpProgress(m.servers[0])
		for z, t := range m.tables {
			gets += t.target["a0"] * m.distributedRates[z]
		}
		wantNear(t, "a cold one's flows", gets, climbed*80/max(2+6*climbed, 8/maxWarmingFill))
	}
}

// A restarted manager must not begin the warm-up of all servers anew.
func TestAWarmUpCountsFromAStartBeforeTheManagers(t *testing.T) {
	m := New(1, testSettings)
	m.HandleEndpointList(0, true, []Endpoint{{Server: "old", Zone: "a", Weight: 1, Started: -8 * time.Second, RecentlyStarted: true},
		{Server: "back", Zone: "a", Weight: 1}})
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "back", Zone: "a", Weight: 1, Started: -8 * time.Second, RecentlyStarted: true},
		{Server: "new", Zone: "a", Weight: 1, Started: time.Second / 2, RecentlyStarted: true}})
	for id, want := range map[ServerID]time.Duration{"old": -8 * time.Second, "back": -8 * time.Second, "new": time.Second} {
		if s := m.server(id); !s.warmingUp || s.warmUpFrom != want {
			t.Errorf("%s: warming up %v from %v", id, s.warmingUp, s.warmUpFrom)
		}
	}
}
