package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// drainRun plays a manager on a virtual clock, with a relay that executes all commands at once. It records how long each
// server took to be withdrawn, and the messages to each proxy.
type drainRun struct {
	manager   *Manager
	now       time.Duration
	timer     time.Duration
	noticedAt map[ServerID]time.Duration // servers that are draining and not withdrawn
	delays    map[ServerID]time.Duration // from the notice of a drain until the withdrawal
	tables    map[TableID]map[ServerID]bool
	messages  map[ProxyID][]time.Duration
	acks      []barrierAck
}

// barrierAck is an acknowledgement on its way to the manager.
type barrierAck struct {
	proxy   ProxyID
	barrier BarrierID
	at      time.Duration
}

// newDrainRun returns a run with the given number of servers in each of two zones, all of them in both zones' tables.
func newDrainRun(serversPerZone int, settings Settings) *drainRun {
	m := newTestManager(serversPerZone)
	m.parameters = newParameters(settings)
	m.nextTick = 0
	m.timerAt = 0
	r := &drainRun{
		manager:   m,
		noticedAt: map[ServerID]time.Duration{},
		delays:    map[ServerID]time.Duration{},
		tables:    map[TableID]map[ServerID]bool{},
		messages:  map[ProxyID][]time.Duration{},
	}
	for i, t := range m.tables {
		r.tables[TableID(i)] = map[ServerID]bool{}
		for _, s := range m.servers {
			t.publishedWeights[s.id] = 100
			t.targetShares[s.id] = 1 / float64(len(m.servers))
			r.tables[TableID(i)][s.id] = true
		}
	}
	return r
}

// playUntil delivers the timer and the acknowledgements that are due before a time.
func (r *drainRun) playUntil(end time.Duration) {
	for {
		next := end
		if r.timer > 0 {
			next = min(next, r.timer)
		}
		if len(r.acks) > 0 {
			next = min(next, r.acks[0].at)
		}
		r.now = max(r.now+1, next)
		switch {
		case next == end:
			return
		case len(r.acks) > 0 && next == r.acks[0].at:
			ack := r.acks[0]
			r.acks = r.acks[1:]
			r.execute(r.manager.HandleBarrierAck(r.now, ack.proxy, ack.barrier))
		default:
			r.timer = 0
			r.execute(r.manager.HandleTimer(r.now))
		}
	}
}

// drain tells the manager that a server is draining.
func (r *drainRun) drain(id ServerID) {
	r.now++
	r.noticedAt[id] = r.now
	r.execute(r.manager.HandleEndpointList(r.now, false, []Endpoint{{Server: id, Zone: ZoneID(id[:1]), Weight: 1, State: Draining}}))
}

// replace adds a server to the endpoint list and drains another one of the same zone.
func (r *drainRun) replace(id ServerID) {
	r.now++
	successor := Endpoint{Server: id + "-new", Zone: ZoneID(id[:1]), Weight: 1, Started: r.now, RecentlyStarted: true}
	r.execute(r.manager.HandleEndpointList(r.now, false, []Endpoint{successor}))
	r.drain(id)
}

// execute applies the manager's commands.
func (r *drainRun) execute(commands Commands) {
	if commands.NextTimer > 0 {
		r.timer = commands.NextTimer
	}
	var recipients []ProxyID
	addTableProxy := func(table TableID) { recipients = append(recipients, ProxyID(table)) } // one proxy for each table
	for _, id := range commands.Withdraw {
		r.recordEnd(id)
		for table, servers := range r.tables {
			if servers[id] {
				addTableProxy(table)
			}
		}
	}
	for _, weight := range commands.Weights {
		r.tables[weight.Table][weight.Server] = weight.Weight > 0
		addTableProxy(weight.Table)
	}
	for _, level := range commands.AdmissionLevels {
		addTableProxy(level.Table)
	}
	for id := range r.noticedAt {
		if !r.tables[0][id] && !r.tables[1][id] {
			r.recordEnd(id)
		}
	}
	slices.Sort(recipients)
	r.deliver(slices.Compact(recipients), commands.Barrier)
}

// recordEnd records that no proxy may send to a draining server any more.
func (r *drainRun) recordEnd(id ServerID) {
	r.delays[id] = r.now - r.noticedAt[id]
	delete(r.noticedAt, id)
}

// deliver records a message to each recipient, which acknowledges the barrier 100 ms later.
func (r *drainRun) deliver(recipients []ProxyID, barrier BarrierID) {
	const ackDelay = 100 * time.Millisecond
	for _, id := range recipients {
		r.messages[id] = append(r.messages[id], r.now)
		if barrier > 0 {
			r.acks = append(r.acks, barrierAck{id, barrier, r.now + ackDelay})
		}
	}
	if barrier > 0 {
		r.manager.HandleCommandsSent(r.now, barrier)
	}
}

// mostMessages returns the largest number of messages that a proxy got within a window.
func (r *drainRun) mostMessages(window time.Duration) int {
	most := 0
	for _, times := range r.messages {
		for i := range times {
			from := slices.IndexFunc(times, func(at time.Duration) bool { return times[i]-at <= window })
			most = max(most, i-from+1)
		}
	}
	return most
}

// check fails the test if a withdrawal took longer than allowed, or a proxy got more messages than the limit.
func (r *drainRun) check(t *testing.T, description string, settings Settings, allowed time.Duration) {
	t.Helper()
	for id, at := range r.noticedAt {
		t.Errorf("%s: %s is draining since %v and was never withdrawn", description, id, at)
	}
	for id, delay := range r.delays {
		if delay > allowed {
			t.Errorf("%s: %s was withdrawn %v after the notice, want at most %v", description, id, delay, allowed)
		}
	}
	if most := r.mostMessages(settings.MessageWindow); most > settings.MaxMessages {
		t.Errorf("%s: a proxy got %d messages within %v, want at most %d", description, most, settings.MessageWindow, settings.MaxMessages)
	}
}

func settingsWithGrace(grace time.Duration) Settings {
	settings := testSettings
	settings.DrainGrace = grace
	settings.QueueCapacity = 10000
	settings.CommandsPerSecond = 7000
	return settings
}

// Regression test: each of many drains took a message of its own, and the last ones waited for longer than the grace until
// the message limit allowed another one.
func TestDrainsInQuickSuccessionAllKeepTheGrace(t *testing.T) {
	settings := settingsWithGrace(2 * time.Second)
	r := newDrainRun(25, settings)
	r.playUntil(12 * time.Second)
	const drains = 30
	for i := range drains {
		r.replace(ServerID(fmt.Sprint([]string{"a", "b"}[i/25], i%25)))
		r.playUntil(r.now + 7*time.Second/drains)
	}
	r.playUntil(r.now + 16*time.Second)
	r.check(t, "30 drains in 7 s", settings, settings.DrainGrace)
}

// Regression test: a withdrawal whose call was not answered was repeated until the message limit was used up, and later
// drains waited for longer than the grace.
func TestRepeatedWithdrawalsLeaveMessagesForLaterDrains(t *testing.T) {
	settings := settingsWithGrace(2 * time.Second)
	r := newDrainRun(15, settings)
	r.playUntil(12 * time.Second)
	r.drain("a0")
	unanswered := Commands{Withdraw: []ServerID{"a0"}}
	barrier := r.manager.channel.lastBarrier
	for end := r.now + 4*time.Second; r.now < end; r.now += 125 * time.Millisecond {
		if _, resent := r.manager.Resend(r.now, barrier, true, unanswered); resent > 0 {
			barrier = resent
		}
	}
	r.playUntil(r.now + 500*time.Millisecond)
	r.drain("a1")
	r.playUntil(r.now + 12*time.Second)
	r.check(t, "a drain after repeated withdrawals", settings, settings.DrainGrace)
}

// Regression test: publications in quick succession used up the message limit, and drains waited until these messages had
// left the window.
func TestPublicationsLeaveMessagesForDrains(t *testing.T) {
	for _, priority := range []priority{normalPriority, urgentPriority, drainPriority} {
		m := newTestManager(2)
		m.parameters = newParameters(settingsWithGrace(2 * time.Second))
		m.now = 10 * time.Second
		for m.fits(m.proxies, 1, priority) {
			m.reserve(m.proxies, 1)
			m.now += 20 * time.Millisecond
		}
		start := m.now
		for m.now < start+3*m.messageWindow {
			m.now += m.messageInterval
			if !m.withinMessageLimit(m.proxies, drainPriority) {
				t.Fatalf("priority %d: no message for a drain is left %v after a burst of publications", priority, m.now-start)
			}
			m.reserve(m.proxies, 1)
		}
	}
}

// A limit that allows fewer messages than the grace would need still lets single drains go at once or after half of the
// grace.
func TestDrainsUnderASmallMessageLimit(t *testing.T) {
	settings := settingsWithGrace(2 * time.Second)
	settings.MaxMessages = 4
	r := newDrainRun(4, settings)
	r.playUntil(22 * time.Second)
	r.drain("a0")
	r.playUntil(r.now + 12*time.Second)
	r.check(t, "one drain with 4 messages in 10 s", settings, settings.DrainGrace)
}

// A limit that leaves no message for each half of the grace leaves one in the shortest interval that it can serve, and none
// if that is longer than the grace.
func TestMessagesLeftForDrainsFollowTheLimit(t *testing.T) {
	const grace = 2 * time.Second
	for _, test := range []struct {
		maxMessages int
		interval    time.Duration
		burst       int // messages in immediate succession: all but one, less one for each interval that ends within the window
	}{
		{maxMessages: 20, interval: time.Second, burst: 19 - 9},
		{maxMessages: 12, interval: time.Second, burst: 11 - 9},
		{maxMessages: 10, interval: 1250 * time.Millisecond, burst: 9 - 7},
		{maxMessages: 4, interval: 0, burst: 3},
	} {
		settings := settingsWithGrace(grace)
		settings.MaxMessages = test.maxMessages
		m := newTestManager(2)
		m.parameters = newParameters(settings)
		burst := 0
		for m.now = 10 * time.Second; m.fits(m.proxies, 1, drainPriority); m.now += time.Millisecond {
			m.reserve(m.proxies, 1)
			burst++
		}
		if m.messageInterval != test.interval || burst != test.burst {
			t.Errorf("%d messages: got an interval of %v and a burst of %d messages, want %v and %d",
				test.maxMessages, m.messageInterval, burst, test.interval, test.burst)
		}
	}
}

// Regression test: a limit of one message was taken for no limit.
func TestALimitOfOneMessageIsKept(t *testing.T) {
	settings := settingsWithGrace(2 * time.Second)
	settings.MaxMessages = 1
	r := newDrainRun(4, settings)
	for _, id := range []ServerID{"a0", "a1", "a2"} {
		r.playUntil(r.now + 4*time.Second)
		r.drain(id)
	}
	r.playUntil(r.now + 4*time.Second)
	if most := r.mostMessages(settings.MessageWindow); most != settings.MaxMessages {
		t.Errorf("a proxy got %d messages within %v, want %d", most, settings.MessageWindow, settings.MaxMessages)
	}
}

// Under any limit that leaves a message for each half of the grace, no order of drains and publications makes a drain wait
// for longer than that, and the time until the next retry.
func TestAnySuccessionOfDrainsKeepsTheGrace(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		settings := settingsWithGrace(time.Duration(1500+random.IntN(1500)) * time.Millisecond)
		minMessages := int(2*settings.MessageWindow/settings.DrainGrace) + 3
		settings.MaxMessages = minMessages + random.IntN(20)
		r := newDrainRun(20, settings)
		r.playUntil(time.Duration(random.IntN(12000)) * time.Millisecond)
		gap := time.Duration(20+random.IntN(800)) * time.Millisecond
		for _, i := range random.Perm(30) {
			id := ServerID(fmt.Sprint([]string{"a", "b"}[i%2], i/2))
			if random.IntN(2) == 0 {
				r.replace(id)
			} else {
				r.drain(id)
			}
			r.playUntil(r.now + time.Duration(random.Float64()*2*float64(gap)))
		}
		r.playUntil(r.now + 16*time.Second)
		r.check(t, fmt.Sprintf("seed %d, %d messages, grace %v", seed, settings.MaxMessages, settings.DrainGrace),
			settings, settings.DrainGrace/2+retryInterval)
	}
}

// Regression test: a withdrawal that was repeated together with the change that removes its server from a table did not
// count as a message to the table's proxies, which may still use the server, and exceeded the message limit.
func TestRepeatedWithdrawalsCountForTablesThatMayStillNameTheServer(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	m.proxies[0].messageTimes = slices.Repeat([]time.Duration{9 * time.Second}, m.messageLimits[drainPriority])
	delete(m.tables[0].publishedWeights, "a0")
	for _, unexecuted := range []Commands{
		{Withdraw: []ServerID{"a0"}, Weights: []EndpointWeight{{0, "a0", 0}}},
		{Weights: []EndpointWeight{{1, "a0", 0}, {0, "a0", 0}}, Restore: []ServerID{"a0"}},
	} {
		if n, _ := m.Resend(m.now, 0, true, unexecuted); n > len(unexecuted.Weights)-1 {
			t.Errorf("%d of %v are resent although a proxy may get no further message", n, unexecuted)
		}
	}
}
