package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestEmptyTableIsPublishedAtOnce(t *testing.T) {
	m := newTestManager(2)
	commands := m.HandleEndpointList(time.Second, false, []Endpoint{{Server: "a0", Zone: "a", Weight: 1, State: Removed},
		{Server: "a1", Zone: "a", Weight: 1, State: Removed}})
	if len(commands.Withdraw) != 2 || len(commands.Weights) != 2 || commands.Weights[0].Table != 0 || commands.Weights[0].Server[0] != 'b' {
		t.Errorf("withdrawn %v, want a0 and a1; weights %v, want two of zone b's servers in table 0", commands.Withdraw, commands.Weights)
	}
}

func TestWeightChangesNeverEmptyATable(t *testing.T) {
	m := newTestManager(2)
	clear(m.tables[0].targetShares)
	if got := m.weightChanges(0); len(got) != 0 {
		t.Errorf("changes %v of a table without target shares, want none", got)
	}
}

func TestOnlyWeightsBeyondTheToleranceArePublished(t *testing.T) {
	m := newTestManager(3)
	m.tables[0].targetShares = map[ServerID]float64{"a0": 0.34, "a1": 0.33, "a2": 0.1}
	if got := m.weightChanges(0); len(got) != 1 || got[0].Server != "a2" || got[0].rate < 8 {
		t.Errorf("changes %v, want one of a2 that moves at least 8 requests/s", got)
	}
}

func TestLargestChangesArePublishedIfNotAllFit(t *testing.T) {
	m := newTestManager(12)
	m.sendTimeLimits[normalPriority] = 7
	m.queueLimits[normalPriority] = 7
	for _, s := range m.servers[:3] {
		m.tables[0].targetShares[s.id] *= 0.8
	}
	m.tables[0].targetShares["a7"] *= 1.5
	m.publish()
	if len(m.commands.Weights) != 2 || m.commands.Weights[0].Server != "a7" || m.redistribution != changesUnpublished {
		t.Errorf("weights %v, want 2 beginning with a7; redistribution reason %v, want changesUnpublished",
			m.commands.Weights, m.redistribution)
	}
	if m.publishReady() {
		t.Error("the remaining changes do not wait for the next tick")
	}
}

// In a table whose other servers were withdrawn, a warming server's weight must not be published before the weights of
// other usable servers, because the warming server would be overloaded until then.
func TestWarmingServerWeightWaitsForOtherWeights(t *testing.T) {
	m := newTestManager(3)
	m.servers[0].warmingUp = true
	m.servers[1].withdrawn = true
	m.servers[2].withdrawn = true
	m.tables[0].publishedWeights = map[ServerID]float64{"a1": 100, "a2": 100, "b0": 1}
	m.tables[0].targetShares = map[ServerID]float64{"a0": 0.1, "b0": 0.45, "b1": 0.45}
	m.now = time.Second
	m.sendTimeLimits[normalPriority] = 7
	m.publish()
	for _, weight := range m.commands.Weights {
		if weight.Server == "a0" {
			t.Errorf("the weight of warming server a0 was published: %v", m.commands.Weights)
		}
	}
	if len(m.commands.Weights) == 0 || m.redistribution != changesUnpublished {
		t.Errorf("weights %v, want some; redistribution reason %v, want changesUnpublished", m.commands.Weights, m.redistribution)
	}
}

// Small admission level changes in each tick and a message overhead for each weight must not use up the channel while
// the changes that move the most requests find no room.
func TestTableThatMovesTheMostRequestsIsPublishedFirst(t *testing.T) {
	m := newTestManager(12)
	m.admission.limit = 70
	for table := range m.tables {
		m.tables[table].publishedLevels[1] = AdmissionLevel{TableID(table), 1, 0.9, NoRetry}
		m.tables[table].publishedLevels[2] = AdmissionLevel{TableID(table), 2, 1, NoRetry}
	}
	for _, s := range m.servers[12:15] {
		m.tables[1].targetShares[s.id] *= 1.5
	}
	m.sendTimeLimits[normalPriority] = 10
	m.queueLimits[normalPriority] = 10 // room for one message of up to five commands
	m.publish()
	if len(m.commands.Weights) != 3 || m.commands.Weights[0].Table != 1 ||
		len(m.commands.AdmissionLevels) != 1 || m.commands.AdmissionLevels[0].Table != 1 {
		t.Errorf("weights %v, want 3 of table 1; admission levels %v, want 1 of table 1", m.commands.Weights, m.commands.AdmissionLevels)
	}
}

// An urgent change in one table must not make the ordinary changes of all tables urgent, which would fill the queue.
func TestOnlyInvariantChangesAreUrgent(t *testing.T) {
	m := newTestManager(2)
	clear(m.tables[0].publishedWeights)
	m.tables[1].targetShares = map[ServerID]float64{"b0": 0.9, "b1": 0.1}
	m.now = time.Second
	m.publication.urgent = true
	m.sendTimeLimits[normalPriority] = 0
	m.publish()
	for _, weight := range m.commands.Weights {
		if weight.Table != 0 {
			t.Errorf("weight %v is not urgent but was published", weight)
		}
	}
	if len(m.commands.Weights) != 2 || m.publication.due || m.redistribution != changesUnpublished {
		t.Errorf("weights %v, want 2; publication due %v, want false; redistribution reason %v, want changesUnpublished",
			m.commands.Weights, m.publication.due, m.redistribution)
	}
}

// A table must not lose its last endpoint while the replacement waits for room in the channel.
func TestLastEndpointIsRemovedAfterItsReplacement(t *testing.T) {
	m := newTestManager(2)
	m.tables[0].publishedWeights = map[ServerID]float64{"a0": 100}
	m.tables[0].targetShares = map[ServerID]float64{"a1": 1}
	m.sendTimeLimits[normalPriority] = 6
	m.queueLimits[normalPriority] = 6
	m.now = time.Second
	m.publish()
	if weights := m.commands.Weights; len(weights) != 1 || weights[0] != (EndpointWeight{0, "a1", 100}) {
		t.Errorf("with room for one change: weights %v, want only a1 = 100", weights)
	}
	m.commands = Commands{}
	m.sendTimeLimits[normalPriority] = 100
	m.queueLimits[normalPriority] = 100
	m.publish()
	if weights := m.commands.Weights; len(weights) != 1 || weights[0] != (EndpointWeight{0, "a0", 0}) {
		t.Errorf("with room for all changes: weights %v, want only a0 = 0", weights)
	}
}

// A large fleet sends thousands of inputs per second. A blocked publication must not be tried again on each of them.
func TestBlockedPublicationWaitsUntilItsSmallestChangeFits(t *testing.T) {
	m := newTestManager(2)
	m.now = time.Second
	m.sendTimeLimits[drainPriority] = 3
	m.queueLimits[drainPriority] = 3
	m.publication.urgent = true
	m.tables[0].targetShares = map[ServerID]float64{"a0": 0.9, "a1": 0.1}
	clear(m.tables[0].publishedWeights)
	m.publish()
	if len(m.commands.Weights) > 0 || !m.publication.due {
		t.Fatalf("publication without room: weights %v, want none; due %v, want true", m.commands.Weights, m.publication.due)
	}
	m.now += time.Millisecond
	if m.publishReady() {
		t.Error("the publication is tried again without room")
	}
	m.sendTimeLimits[drainPriority] = 6
	m.queueLimits[drainPriority] = 6
	if !m.publishReady() {
		t.Error("the publication waits although its smallest change fits")
	}
	m.sendTimeLimits[drainPriority] = 3
	m.queueLimits[drainPriority] = 3
	m.tick()
	if !m.publishReady() {
		t.Error("the publication is not tried again at the next tick")
	}
}

func TestTheSmallestBlockedChangeIsRemembered(t *testing.T) {
	var p publication
	for _, change := range []blockedChange{{5, 2}, {2, 3}, {9, 1}} {
		p.noteBlocked(change, false)
	}
	if want := (blockedChange{2, 3}); p.smallestBlocked != want {
		t.Errorf("got %v, want %v", p.smallestBlocked, want)
	}
}

// Regression test: a publication that a proxy's message limit blocked was tried again at every input.
func TestPublicationBlockedByAMessageLimitWaitsForTheNextRetry(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	m.publication.urgent = true
	m.tables[0].targetShares = map[ServerID]float64{"a0": 0.9, "a1": 0.1}
	clear(m.tables[0].publishedWeights)
	m.proxies[0].messageTimes = slices.Repeat([]time.Duration{9 * time.Second}, m.messageLimits[drainPriority])
	m.publish()
	m.scheduleRetry()
	m.setTimer()
	if want := m.now + retryInterval; len(m.commands.Weights) > 0 || m.commands.NextTimer != want {
		t.Fatalf("weights %v and the next timer at %v, want none and %v", m.commands.Weights, m.commands.NextTimer, want)
	}
	m.now += time.Millisecond
	if m.publishReady() {
		t.Error("the publication is tried again a millisecond later")
	}
	m.now += retryInterval
	if !m.publishReady() {
		t.Error("the publication is not tried again after the retry interval")
	}
}
