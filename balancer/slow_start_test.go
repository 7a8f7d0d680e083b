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
	if ratio := m.tables[0].targetShares["a0"] / m.tables[0].targetShares["a1"]; ratio <= 0 || ratio >= testSettings.ColdCapacity {
		t.Errorf("a warming server gets %.2f of the weight of its peer, want more than 0 and less than its cold capacity", ratio)
	}
}

func TestAWarmingServerGetsNoRequestsOfItsLostPeers(t *testing.T) {
	m := newTestManager(3)
	for _, s := range m.servers[1:] {
		s.ejected = s.zone == 0
	}
	m.servers[0].warmingUp = true
	m.now = testSettings.WarmUpDuration - time.Second
	m.redistribute()
	rate := 0.0
	for partition := range m.tables {
		rate += m.tables[partition].targetShares["a0"] * m.distributedRates[partition]
	}
	if rate > 80.0/6+1e-6 {
		t.Errorf("a warming server, one of six, gets %.1f of 80 requests per second, want at most a sixth", rate)
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
	if m.slowStartPause != 1 || m.tables[0].targetShares["a0"] != 0 {
		t.Errorf("slow start is not paused, or a0 has a target share: %v", m.tables[0].targetShares)
	}
}

func TestSlowStartPausesUntilPeersAreReportedOn(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].warmingUp = true
	m.servers[0].withdrawn = true
	m.slowStartPause = pauseUntilReported
	m.updateSlowStart()
	if m.slowStartPause != pauseUntilReported || m.nextRestore() != nil {
		t.Error("a withdrawn warming server is restored although no peer has been reported on")
	}
	m.servers[0].warmUpFrom = -m.warmUpDuration * 3 / 4
	if m.nextRestore() == nil {
		t.Error("a server late in its warm-up waits for reports on its peers")
	}
}

// An admission limit already rejects requests. It must not also lower the share of warming servers, which would then
// stay idle.
func TestAnAdmissionLimitDoesNotLowerTheShareOfAWarmingServer(t *testing.T) {
	m := newTestManager(4)
	m.now = 4 * time.Second
	m.servers[0].warmingUp = true
	m.servers[0].warmUpFrom = -4 * time.Second
	m.redistribute()
	open := m.tables[0].targetShares["a0"]
	m.admission.limit = 20
	m.redistribute()
	wantNear(t, "share of a0 in its table under a limit", m.tables[0].targetShares["a0"], open)
}

// Until the next tick, warming servers must not get the requests of all the servers that start to drain.
func TestWarmingServersDoNotGetTheRequestsOfDrainingServers(t *testing.T) {
	m := newTestManager(4)
	table, warming := m.tables[0], m.servers[0]
	warming.warmingUp = true
	warming.warmUpFrom = 0
	warming.listedStart = 0
	table.targetShares = map[ServerID]float64{"a0": 0.04, "a1": 0.32, "a2": 0.32, "a3": 0.32}
	table.publishedWeights = map[ServerID]float64{"a0": 12.5, "a1": 100, "a2": 100, "a3": 100}
	m.listReceived = true
	commands := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a1", Zone: "a", State: Draining}, {Server: "a2", Zone: "a", State: Draining}, {Server: "a3", Zone: "a", State: Draining}})
	total := 0.0
	for id, weight := range table.publishedWeights {
		if !m.server(id).withdrawn {
			total += weight
		}
	}
	if len(commands.Withdraw) != 3 || table.publishedWeights["a0"] > 0.2*total {
		t.Errorf("withdrawn %v, want three servers; the warming server gets %.2f of the table, want at most 0.2",
			commands.Withdraw, table.publishedWeights["a0"]/total)
	}
}

// When most servers are warming up, they must get more than usual. Otherwise the few warm servers would be overloaded.
func TestWarmingServersGetMoreWhileMostServersWarmUp(t *testing.T) {
	for _, elapsed := range []time.Duration{8 * time.Second, time.Second} {
		m := newTestManager(4)
		m.now = time.Second
		for _, s := range m.servers[:6] {
			s.warmingUp = true
			s.warmUpFrom = m.now - elapsed
		}
		m.redistribute()
		rate, progress := 0.0, m.warmUpProgress(m.servers[0])
		for partition, table := range m.tables {
			rate += table.targetShares["a0"] * m.distributedRates[partition]
		}
		wantNear(t, "requests per second of a warming server", rate, progress*80/max(2+6*progress, 8/maxWarmingShareFactor))
	}
}

// A restarted manager must not restart the warm-up of servers that started before it.
func TestAWarmUpCountsFromAStartBeforeTheManagerStarted(t *testing.T) {
	m := New(1, testSettings)
	m.HandleEndpointList(0, true, []Endpoint{{Server: "old", Zone: "a", Weight: 1, Started: -8 * time.Second, RecentlyStarted: true},
		{Server: "back", Zone: "a", Weight: 1}})
	m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "back", Zone: "a", Weight: 1, Started: -8 * time.Second, RecentlyStarted: true},
		{Server: "new", Zone: "a", Weight: 1, Started: time.Second / 2, RecentlyStarted: true}})
	for id, want := range map[ServerID]time.Duration{"old": -8 * time.Second, "back": -8 * time.Second, "new": time.Second} {
		if s := m.server(id); !s.warmingUp || s.warmUpFrom != want {
			t.Errorf("%s: warming up: %v, since %v; want true, since %v", id, s.warmingUp, s.warmUpFrom, want)
		}
	}
}
