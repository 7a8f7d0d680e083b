package balancer

import (
	"testing"
	"time"
)

func TestAnEmptyTableIsPublishedAtOnce(t *testing.T) {
	m := newTestManager(2)
	o := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Removed},
		{Server: "a1", Zone: "a", Weight: 1, State: Removed}})
	if len(o.Withdraw) != 2 || len(o.Weights) != 2 || o.Weights[0].Table != 0 || o.Weights[0].Server[0] != 'b' {
		t.Errorf("withdrawn %v, weights %v", o.Withdraw, o.Weights)
	}
}

func TestWeightChangesNeverEmptyATable(t *testing.T) {
	m := newTestManager(2)
	clear(m.tables[0].target)
	if got := m.weightChanges(0); len(got) != 0 {
		t.Errorf("changes %v", got)
	}
}

func TestOnlyWeightsThatMovedArePublished(t *testing.T) {
	m := newTestManager(3)
	m.tables[0].target = map[ServerID]float64{"a0": 0.34, "a1": 0.33, "a2": 0.1}
	if got := m.weightChanges(0); len(got) != 1 || got[0].Server != "a2" || got[0].rate < 8 {
		t.Errorf("changes %v", got)
	}
}

func TestWhatMovesMostIsPublishedWhenNotAllFits(t *testing.T) {
	m := newTestManager(12)
	m.sendableSoon[normalPriority] = 7
	m.queueLimits[normalPriority] = 7
	for _, s := range m.servers[:3] {
		m.tables[0].target[s.id] *= 0.8
	}
	m.tables[0].target["a7"] *= 1.5
	m.publish()
	if len(m.commands.Weights) != 2 || m.commands.Weights[0].Server != "a7" || m.redistribution != changesUnpublished {
		t.Errorf("weights %v, redistribution %v", m.commands.Weights, m.redistribution)
	}
	if m.publishReady() {
		t.Error("the rest does not wait for the next second")
	}
}

// A warming server's weight must not be published in a table that others have left before the weights beside it.
func TestAWarmingServersWeightWaitsForThoseBesideIt(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].warmingUp = true
	m.servers[1].withdrawn = true
	m.servers[2].withdrawn = true
	m.tables[0].published = map[ServerID]float64{"a1": 100, "a2": 100, "b0": 1}
	m.tables[0].target = map[ServerID]float64{"a0": 0.1, "b0": 0.45, "b1": 0.45}
	m.now = time.Second
	m.sendableSoon[normalPriority] = 7
	m.publish()
	for _, l := range m.commands.Weights {
		if l.Server == "a0" {
			t.Errorf("%v", m.commands.Weights)
		}
	}
	if len(m.commands.Weights) == 0 || m.redistribution != changesUnpublished {
		t.Errorf("%v, then %v", m.commands.Weights, m.redistribution)
	}
}

// The channel must not go to levels that move a little each tick, and to a message overhead for each weight, while the
// changes that move most requests find no room.
func TestTablesArePublishedWhereMostRequestsMove(t *testing.T) {
	m := newTestManager(12)
	m.admission.limit = 70
	for z := range m.tables {
		m.tables[z].publishedLevels[1] = AdmissionLevel{TableID(z), 1, 0.9, NoRetry}
		m.tables[z].publishedLevels[2] = AdmissionLevel{TableID(z), 2, 1, NoRetry}
	}
	for _, s := range m.servers[12:15] {
		m.tables[1].target[s.id] *= 1.5
	}
	m.sendableSoon[normalPriority] = 10
	m.queueLimits[normalPriority] = 10 // for one message of up to five commands
	m.publish()
	if len(m.commands.Weights) != 3 || m.commands.Weights[0].Table != 1 || len(m.commands.AdmissionLevels) != 1 || m.commands.AdmissionLevels[0].Table != 1 {
		t.Errorf("weights %v, levels %v", m.commands.Weights, m.commands.AdmissionLevels)
	}
}

// An urgent table must not take all others with it, of which little is urgent, and fill the queue.
func TestOnlyChangesThatKeepARuleAreUrgent(t *testing.T) {
	m := newTestManager(2)
	clear(m.tables[0].published)
	m.tables[1].target = map[ServerID]float64{"b0": 0.9, "b1": 0.1}
	m.now = time.Second
	m.publication.urgent = true
	m.sendableSoon[normalPriority] = 0
	m.publish()
	for _, l := range m.commands.Weights {
		if l.Table != 0 {
			t.Errorf("weight %v", l)
		}
	}
	if len(m.commands.Weights) != 2 || m.publication.due || m.redistribution != changesUnpublished {
		t.Errorf("%v, then %v %v", m.commands.Weights, m.publication.due, m.redistribution)
	}
}

// A table must not lose its last endpoint while the replacement waits for room.
func TestALastEndpointIsRemovedAfterItsReplacement(t *testing.T) {
	m := newTestManager(2)
	m.tables[0].published = map[ServerID]float64{"a0": 100}
	m.tables[0].target = map[ServerID]float64{"a1": 1}
	m.sendableSoon[normalPriority] = 6
	m.queueLimits[normalPriority] = 6
	m.now = time.Second
	m.publish()
	if l := m.commands.Weights; len(l) != 1 || l[0] != (EndpointWeight{0, "a1", 100}) {
		t.Errorf("with room for one: %v", l)
	}
	m.commands = Commands{}
	m.sendableSoon[normalPriority] = 100
	m.queueLimits[normalPriority] = 100
	m.publish()
	if l := m.commands.Weights; len(l) != 1 || l[0] != (EndpointWeight{0, "a0", 0}) {
		t.Errorf("then: %v", l)
	}
}

// A large fleet sends thousands of inputs a second; a publication without room is not tried again with each of them.
func TestABlockedPublicationWaitsUntilItsSmallestChangeFits(t *testing.T) {
	m := newTestManager(2)
	m.now = time.Second
	m.sendableSoon[drainPriority] = 3
	m.queueLimits[drainPriority] = 3
	m.publication.urgent = true
	m.tables[0].target = map[ServerID]float64{"a0": 0.9, "a1": 0.1}
	clear(m.tables[0].published)
	m.publish()
	if len(m.commands.Weights) > 0 || !m.publication.due {
		t.Fatalf("weights %v", m.commands.Weights)
	}
	m.now += time.Millisecond
	if m.publishReady() {
		t.Error("published anew without room")
	}
	m.sendableSoon[drainPriority] = 6
	m.queueLimits[drainPriority] = 6
	if !m.publishReady() {
		t.Error("waits though its least fits")
	}
	m.sendableSoon[drainPriority] = 3
	m.queueLimits[drainPriority] = 3
	m.tick()
	if !m.publishReady() {
		t.Error("not looked at with the next second")
	}
}
