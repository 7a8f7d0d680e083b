package balancer

import (
	"testing"
	"time"
)

func TestBarrierAckReleasesTheProxysMessage(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies, 95)
	m.HandleBarrierAck(m.now, 0, m.channel.lastBarrier)
	wantNear(t, "queued commands", m.queuedCommands(), 100)
}

func TestChannelIsAssumedSlowUntilBarriersAreAcknowledged(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies, 240)
	m.now = time.Second
	if m.fits(m.proxies, 100, normalPriority) || !m.fits(m.proxies, 100, drainPriority) {
		t.Errorf("with %.0f queued commands, 100 more must not fit at normal priority, but must fit as a drain", m.queuedCommands())
	}
	m.reserve(m.proxies[:1], 1)
	m.HandleBarrierAck(m.now, 0, m.channel.lastBarrier)
	if !m.fits(m.proxies, 100, normalPriority) {
		t.Errorf("100 normal commands do not fit after the acknowledgement; %.0f commands are queued", m.queuedCommands())
	}
}

func TestMessagesAreReservedForDrains(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	for i := range 12 {
		m.proxies[0].messageTimes = append(m.proxies[0].messageTimes, time.Duration(i)*time.Second/2)
	}
	if m.fits(m.proxies, 1, normalPriority) || !m.fits(m.proxies, 1, drainPriority) {
		t.Error("with 12 of 20 messages used, a normal command must not fit, but a drain must")
	}
}

// Regression test: resent commands that were not counted overflowed the queue when the relay became reachable again.
func TestResentCommandsCountAgainstTheQueue(t *testing.T) {
	m := newTestManager(2)
	m.sendTimeLimits[urgentPriority] = 15
	m.queueLimits[urgentPriority] = 15
	commands := Commands{Weights: []EndpointWeight{{0, "a0", 1}, {0, "a1", 2}, {1, "b0", 1}, {1, "b1", 1}}, Assign: []TableAssignment{{Proxy: 0}, {Proxy: 9}}}
	n, barrier := m.Resend(time.Second, 0, false, commands)
	if n != 4 || barrier != 1 || m.queuedCommands() != 4+2*5 {
		t.Errorf("got %d commands under barrier %d with %v queued, want 4 under barrier 1 with 14 queued", n, barrier, m.queuedCommands())
	}
	n, barrier = m.Resend(time.Second+1, barrier, true, commands)
	if n != 0 || barrier != 0 {
		t.Errorf("got %d commands under barrier %d while earlier ones may have been carried out, want none", n, barrier)
	}
	m = newTestManager(2)
	m.sendTimeLimits[urgentPriority] = 15
	m.queueLimits[urgentPriority] = 15
	m.Resend(time.Second, 0, false, commands)
	n, barrier = m.Resend(time.Second+2, 1, false, commands)
	if n != 4 || barrier != 2 || len(m.channel.pending) != 1 {
		t.Errorf("got %d commands under barrier %d, want 4 under barrier 2 that replace the unsent batch; pending: %v", n, barrier, m.channel.pending)
	}
}

// A relay that was unreachable for seconds may accept all commands reserved in the meantime at once, so unsent commands
// must not be assumed to leave the channel over time.
func TestUnsentCommandsCountInFull(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies, 100)
	m.now = time.Minute
	if m.queuedCommands() != 2*105 {
		t.Errorf("%v commands queued while the relay is unreachable, want 210", m.queuedCommands())
	}
	m.HandleCommandsSent(m.now, 1)
	m.now += time.Second
	if m.queuedCommands() != 2*105-m.assumedSendRate {
		t.Errorf("%v commands queued a second after they entered the channel, want 210 less one second of sending", m.queuedCommands())
	}
	m.reserve(m.proxies[:1], 10)
	m.now += 200 * time.Millisecond
	if m.queuedCommands() != 2*105-1.2*m.assumedSendRate+15 {
		t.Errorf("%v commands queued with 15 unsent ones behind them, want 225 less 1.2 seconds of sending", m.queuedCommands())
	}
	m.now += time.Hour
	if m.queuedCommands() != 15 {
		t.Errorf("%v commands queued after the first batch has left, want 15", m.queuedCommands())
	}
}

// A queue with a capacity of more than half a minute of sending must not be filled: tables and drains would be
// late.
func TestNormalCommandsLeaveWithinTheNextSecond(t *testing.T) {
	settings := testSettings
	settings.QueueCapacity = 40000
	m := New(1, settings)
	m.channel.pending = []pendingBatch{{commands: 990}}
	for level, want := range []float64{10, 1010, 35010} {
		wantNear(t, "available commands", m.availableCapacity(priority(level)), want)
	}
	proxies := []*proxy{{}}
	if m.fits(proxies, 1200, normalPriority) {
		t.Error("1200 commands fit behind 990 queued ones, but the channel sends only 1000 per second")
	}
	m.channel.pending = nil
	m.channel.totalsValid = false
	if !m.fits(proxies, 1200, normalPriority) || m.fits(proxies, 30000, normalPriority) {
		t.Error("with an empty queue, 1200 normal commands must fit, but 30000 exceed half of the queue and must not")
	}
}

// Commands that are resent must not wait for queue capacity that is still reserved for themselves.
func TestWaitingCommandsAreNotReservedTwice(t *testing.T) {
	m := newTestManager(2)
	m.sendTimeLimits[urgentPriority] = 15
	m.queueLimits[urgentPriority] = 15
	commands := Commands{Weights: []EndpointWeight{{0, "a0", 1}, {1, "b0", 1}}}
	m.reserve(m.proxies, 1) // reserved when they were decided; they were not sent
	if n, _ := m.Resend(time.Second, 0, false, commands); n != 2 || m.queuedCommands() != 2*6 {
		t.Errorf("got %d commands with %v queued, want 2 with 12 queued", n, m.queuedCommands())
	}
}

// The acknowledgement of a short message must not release longer messages to other proxies.
func TestBarrierAckReleasesNoOtherMessage(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies[:1], 1)
	m.reserve(m.proxies[1:], 200)
	m.acknowledge(0, 1)
	if m.queuedCommands() != 205 {
		t.Errorf("%v commands queued after the acknowledgement of the short message, want 205", m.queuedCommands())
	}
}

// The protocol limits barrier numbers to 65535.
func TestBarrierNumbersWrapAround(t *testing.T) {
	m := newTestManager(2)
	m.channel.lastBarrier = 65534
	for _, want := range []BarrierID{65535, 1} {
		m.now += time.Second
		m.reserve(m.proxies, 1)
		if m.commands.Barrier != want {
			t.Errorf("got barrier %d, want %d", m.commands.Barrier, want)
		}
	}
}

// When the relay becomes reachable again, a message with all waiting commands to each proxy would take so long to send
// that the last proxy would get its withdrawals seconds late.
func TestFewCommandsAreResentWithLateWithdrawals(t *testing.T) {
	m := newTestManager(4)
	m.proxy(0) // builds proxyByID
	for id := range ProxyID(30) {
		m.addProxy(&proxy{id: 10 + id, assigned: true, usage: make([][]sample, 2)})
	}
	commands := Commands{Withdraw: []ServerID{"a0", "a1"}}
	for range 20 {
		commands.Weights = append(commands.Weights, EndpointWeight{0, "a2", 1})
	}
	n, _ := m.Resend(m.now+1, 0, false, commands)
	if limit := resendWithDrainsShare*m.sendTimeLimits[normalPriority] + 31; n < 3 || n == commands.Count() || m.queuedCommands() > limit {
		t.Errorf("got %d of %d commands with %v queued, want some after the withdrawals and at most %v queued", n, commands.Count(), m.queuedCommands(), limit)
	}
	withoutDrains := newTestManager(4)
	withoutDrains.proxy(0)
	for id := range ProxyID(30) {
		withoutDrains.addProxy(&proxy{id: 10 + id, assigned: true, usage: make([][]sample, 2)})
	}
	commands.Withdraw = nil
	if more, _ := withoutDrains.Resend(withoutDrains.now+1, 0, false, commands); more <= n-2 {
		t.Errorf("got %d commands without withdrawals, want more than the %d with them", more, n-2)
	}
}
