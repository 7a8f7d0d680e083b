package balancer

import (
	"testing"
	"time"
)

// newWarmingManager returns a test manager without admission levels whose zone a has lost its n servers, and whose servers
// in zone b are all in their warm-up, which began at 0.
func newWarmingManager(n int, now time.Duration) *Manager {
	m := newTestManager(n)
	m.admissionUnit = AdmitNone
	m.now = now
	for _, s := range m.servers {
		if s.zone == 0 {
			s.state = Removed
			s.withdrawn = true
		} else {
			s.warmingUp = true
		}
	}
	m.redistribution = endpointsChanged
	m.publication.markDue()
	m.redistribute()
	return m
}

// setRoom gives the channel room for a message with the given number of commands to one proxy.
func (m *Manager) setRoom(commands float64) {
	for priority := range priorityCount {
		m.sendTimeLimits[priority] = commands + m.messageCost()
		m.queueLimits[priority] = commands + m.messageCost()
	}
}

// publishedIn returns the published weights above 0 in a table of servers that are not withdrawn.
func (m *Manager) publishedIn(id TableID) int {
	return count(m.servers, func(s *server) bool { return !s.withdrawn && m.tables[id].publishedWeights[s.id] > 0 })
}

// Regression test: where all servers that could serve a table without endpoints were in their warm-up, each waited for
// the others, and the table's proxies had no server until one of them was warm.
func TestATableIsNotLeftEmptyWhileAllServersWarmUp(t *testing.T) {
	m := newTestManager(3)
	for _, s := range m.servers[3:] {
		s.warmingUp = true
	}
	commands := m.HandleEndpointList(12*time.Second, true, []Endpoint{{Server: "b0", Zone: "b"}, {Server: "b1", Zone: "b"}, {Server: "b2", Zone: "b"}})
	if got := m.publishedIn(0); len(commands.Withdraw) != 3 || got != 3 {
		t.Errorf("withdrawn %v, want three servers; table 0 has %d usable endpoints, want 3", commands.Withdraw, got)
	}
}

// A first endpoint alone would get all requests of its table, so the warming servers must be published together.
func TestFirstEndpointsAreNotPublishedOneByOne(t *testing.T) {
	for room, want := range map[float64]int{1: 0, 2: 2, 3: 3, 4: 4, 9: 4} {
		m := newWarmingManager(4, 12*time.Second)
		m.reserve(m.tableProxies(1), 1) // other commands wait, so the weights may find room later
		m.setRoom(room + m.queuedCommands())
		m.publish()
		if got := m.publishedIn(0); got != want {
			t.Errorf("with room for %v weights: table 0 has %d usable endpoints, want %d", room, got, want)
		}
		if m.publication.due != (want == 0) || (m.redistribution == changesUnpublished) != (want > 0 && want < 4) {
			t.Errorf("with room for %v weights: publication due %v, redistribution reason %v", room, m.publication.due, m.redistribution)
		}
		m.now++
		if m.publishReady() {
			t.Errorf("with room for %v weights: the publication is tried again at every input", room)
		}
	}
}

// A table must not stay empty for good because even an empty queue has no room for the endpoints that it needs.
func TestFirstEndpointsThatExceedTheQueueArePublishedInPart(t *testing.T) {
	m := newWarmingManager(4, 12*time.Second)
	m.setRoom(1)
	m.publish()
	if got := m.publishedIn(0); got != 1 {
		t.Errorf("table 0 has %d usable endpoints, want 1", got)
	}
}

// Servers that have just started must not get the requests of a lost zone before they can take them, unless one is warm
// according to the list: then rules demand an endpoint.
func TestFirstEndpointsWaitUntilWarmingServersCanTakeAllRequests(t *testing.T) {
	for _, test := range []struct {
		name        string
		now         time.Duration
		listedStart time.Duration
		want        int
	}{
		{"just started", 2 * time.Second, 0, 0},
		{"just below half of the warm-up", 7 * time.Second, 0, 0},
		{"half of the warm-up", 7300 * time.Millisecond, 0, 3},
		{"just started by the list, which has no start", 2 * time.Second, startUnknown, 0},
		{"reported late, warm by the listed start", 2 * time.Second, -14 * time.Second, 3},
	} {
		m := newWarmingManager(3, test.now)
		for _, s := range m.servers {
			s.listedStart = startUnknown
		}
		m.server("b2").listedStart = test.listedStart
		m.server("a2").listedStart = -time.Minute // is not used, since the server was removed
		m.publish()
		if got := m.publishedIn(0); got != test.want {
			t.Errorf("%s: table 0 has %d usable endpoints, want %d", test.name, got, test.want)
		}
	}
}

// Regression test: a server with most of a table's requests was published at once, even if it had just started and would
// get all requests of an empty table.
func TestASingleFirstEndpointWaitsUntilItCanTakeAllRequests(t *testing.T) {
	for now, want := range map[time.Duration]int{2 * time.Second: 0, 12 * time.Second: 1} {
		m := newWarmingManager(1, now)
		m.server("b0").listedStart = startUnknown
		m.publish()
		if got := m.publishedIn(0); got != want {
			t.Errorf("%v after its start: table 0 has %d usable endpoints, want %d", now, got, want)
		}
	}
}

// A single warming server that was left with a small weight gets all requests of its table, so the others must not wait
// for each other.
func TestASmallWeightDoesNotKeepOtherWarmingServersOut(t *testing.T) {
	m := newWarmingManager(6, 2*time.Second)
	m.tables[0].publishedWeights["b0"] = 1
	m.publish()
	if got := m.publishedIn(0); got != 6 {
		t.Errorf("table 0 has %d usable endpoints, want 6: %v", got, m.tables[0].publishedWeights)
	}
}

// The weight that a server already has must not count twice towards the total that its new weight needs.
func TestJointWeightsReplaceThePublishedOnes(t *testing.T) {
	m := newWarmingManager(5, 12*time.Second)
	m.tables[0].publishedWeights["b0"] = 90
	m.tables[0].targetShares = map[ServerID]float64{"b0": 0.2, "b1": 0.2, "b2": 0.2, "b3": 0.2, "b4": 0.2}
	joint := jointWeights{table: m.tables[0]}
	for _, id := range []ServerID{"b0", "b1", "b2", "b3", "b4"} {
		joint.weights = append(joint.weights, EndpointWeight{0, id, 100})
	}
	if n, found := m.minJointWeights(joint); n != 3 || !found {
		t.Errorf("got %d weights (found: %v), want 3, with which each has at most twice its target share", n, found)
	}
}

// While some server is warm, the distribution gives it what exceeds the shares of warming servers.
func TestFirstEndpointsDoNotWaitWhileAnyServerIsWarm(t *testing.T) {
	m := newWarmingManager(3, time.Second)
	if m.mayServeFirst(m.tables[0]) {
		t.Error("servers that have just started count as able to serve all requests")
	}
	m.server("b0").warmingUp = false
	m.redistribute()
	if !m.mayServeFirst(m.tables[0]) {
		t.Error("the warming servers have to wait although one server is warm")
	}
}

// While no server is warm, admission levels let in what the servers can take, in the same message as the first endpoints.
func TestFirstEndpointsComeWithAdmissionLevels(t *testing.T) {
	for name, limits := range map[string]func(m *Manager){
		"levels":                         func(m *Manager) {},
		"levels have the room of drains": func(m *Manager) { m.queueLimits[normalPriority] = 0 },
	} {
		m := newWarmingManager(4, 4*time.Second) // warm-up progress 0.3175
		m.admissionUnit = AdmitShare
		limits(m)
		m.publish()
		admitted := 0.0
		for _, level := range m.commands.AdmissionLevels {
			if level.Table == 0 {
				admitted += level.Amount * m.demandByClass()[level.Classes-1]
			}
		}
		if got := m.publishedIn(0); got != 4 {
			t.Errorf("%s: table 0 has %d usable endpoints, want 4", name, got)
		}
		wantNear(t, name+": rate that the changed level of table 0 lets in", admitted, 2*0.3175*80-20)
	}
}

// Without room for the levels, the first endpoints must wait too.
func TestFirstEndpointsWaitForTheirAdmissionLevels(t *testing.T) {
	m := newWarmingManager(4, 4*time.Second)
	m.admissionUnit = AdmitShare
	m.tables[0].levelsPublished = false
	if m.mayServeFirst(m.tables[0]) {
		t.Error("a table whose levels are not published may send its requests to servers that have just started")
	}
	m.setRoom(0)
	m.publish()
	if got := m.publishedIn(0); got != 0 || m.tables[0].levelsPublished {
		t.Errorf("table 0 has %d usable endpoints, levels published: %v; want none, false", got, m.tables[0].levelsPublished)
	}
	m.tables[0].levelsPublished = true
	m.pinned = &pinnedTables{}
	if m.mayServeFirst(m.tables[0]) {
		t.Error("pinned levels count as if they followed the warm-up")
	}
}

// Regression test: a server that returned was restored at once into tables without any endpoint, and got all of their
// requests by its old weights.
func TestTheFirstRestoredServersWaitUntilTheyCanTakeAllRequests(t *testing.T) {
	for now, want := range map[time.Duration]int{5 * time.Second: 0, 14 * time.Second: 3} {
		m := newTestManager(3)
		m.admissionUnit = AdmitNone
		m.now = time.Second
		for _, s := range m.servers[3:] {
			s.state = Removed
			s.withdrawn = true
		}
		m.loseZoneA(t, 2*time.Second, 3*time.Second)
		for _, s := range m.servers[:3] {
			s.warmingUp = true
			s.warmUpFrom = 3 * time.Second
			s.listedStart = startUnknown
		}
		m.nextTick = now
		if commands := m.HandleTimer(now); len(commands.Restore) != want {
			t.Errorf("at %v: restored %v, want %d servers", now, commands.Restore, want)
		}
	}
}

// Regression test: a single warming server was restored into a table without any endpoint if the channel had room for no
// more, and got all of its requests.
func TestTheFirstServersAreNotRestoredOneByOne(t *testing.T) {
	for _, test := range []struct {
		name    string
		room    float64 // number of restores
		prepare func(m *Manager)
		want    int
	}{
		{"room for one", 1, func(*Manager) {}, 0},
		{"room for all", 3, func(*Manager) {}, 3},
		{"room for one in an empty queue", 1, func(m *Manager) { m.channel = channel{barrierAt: unsetTime} }, 1},
		{"room for one, the tables have endpoints", 1, func(m *Manager) { m.tables[0].lacksEndpoint = false; m.tables[1].lacksEndpoint = false }, 1},
		{"room for one, the servers are warm", 1, func(m *Manager) { m.server("b0").warmingUp = false }, 1},
	} {
		m := newWarmingManager(3, 12*time.Second)
		m.publish()
		m.publication.clearBlocked()
		m.publication.due = false
		m.reserve(m.tableProxies(1), 1)
		m.now++
		for _, s := range m.servers[3:] {
			m.setWithdrawn(s, true)
		}
		m.checkEmptyTables()
		test.prepare(m)
		m.setRoom(m.queuedCommands() + 2*(test.room+m.messageCost()) - m.messageCost()) // for the proxies of two tables
		restored := 0
		for ; m.restoreReady(); restored++ {
			m.restore()
		}
		if restored != test.want {
			t.Errorf("%s: restored %d servers, want %d", test.name, restored, test.want)
		}
	}
}

// A server may return to tables that have endpoints, whatever its warm-up.
func TestAServerIsTooColdOnlyForAnEmptyTable(t *testing.T) {
	m := newWarmingManager(3, 2*time.Second)
	s := m.server("b0")
	s.listedStart = startUnknown
	m.updateTableIndex()
	m.tables[1].lacksEndpoint = false
	if m.isTooCold(s) {
		t.Error("a server is too cold for a table that has endpoints")
	}
	m.tables[1].lacksEndpoint = true
	if !m.isTooCold(s) {
		t.Error("a server that has just started is not too cold for an empty table")
	}
}

func TestWarmingServersLimitTheAdmittedRate(t *testing.T) {
	m := newTestManager(1)
	m.warmingCapacityShare = 1
	if got := m.admittedRate(80); got != unlimited {
		t.Errorf("with a share of 1: admitted rate %v, want no limit", got)
	}
	m.warmingCapacityShare = 0.25
	wantNear(t, "admitted rate with a share of 0.25", m.admittedRate(80), 20)
	m.admission.limit = 10
	wantNear(t, "admitted rate under a lower limit", m.admittedRate(80), 10)
	m.admissionUnit = AdmitNone
	m.admission.limit = unlimited
	if got := m.admittedRate(80); got != unlimited {
		t.Errorf("without admission levels: admitted rate %v, want no limit", got)
	}
}

// Joint weights must not replace the weights of warm servers that are about to be published or raised.
func TestJointWeightsWaitForWarmServers(t *testing.T) {
	for name, prepare := range map[string]func(m *Manager){
		"the table names a warm server with a small weight": func(m *Manager) {
			m.server("b0").warmingUp = false
			m.tables[0].publishedWeights["b0"] = 1
		},
		"most requests are for other servers": func(m *Manager) {
			for _, s := range m.servers {
				m.tables[0].targetShares[s.id] *= 0.4
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newWarmingManager(6, 12*time.Second)
			prepare(m)
			round := &publishRound{recipients: make([][]*proxy, 2)}
			for _, id := range []ServerID{"b1", "b2", "b3", "b4", "b5"} {
				round.joint = append(round.joint, EndpointWeight{0, id, 100 * m.tables[0].targetShares[id]})
			}
			m.publishJointWeights(round)
			if len(m.commands.Weights) > 0 || !round.incomplete {
				t.Errorf("published %v, incomplete %v; want none, and an incomplete round", m.commands.Weights, round.incomplete)
			}
		})
	}
}
