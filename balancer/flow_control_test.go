package balancer

import (
	"testing"
	"time"
)

func TestABarrierAckReleasesTheProxysMessage(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies, 95)
	m.HandleBarrierAck(m.now, 0, m.channel.lastBarrier)
	wantNear(t, "waiting", m.queuedCommands(), 100)
}

func TestTheChannelIsTakenForSlowUntilBarriersAreAcknowledged(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies, 240)
	m.now = time.Second
	if m.fits(m.proxies, 100, normalPriority) || !m.fits(m.proxies, 100, drainPriority) {
		t.Errorf("with %.0f commands waiting", m.queuedCommands())
	}
	m.reserve(m.proxies[:1], 1)
	m.HandleBarrierAck(m.now, 0, m.channel.lastBarrier)
	if !m.fits(m.proxies, 100, normalPriority) {
		t.Errorf("still %.0f commands waiting", m.queuedCommands())
	}
}

func TestMessagesAreKeptForDrains(t *testing.T) {
	m := newTestManager(2)
	m.now = 10 * time.Second
	for i := range 12 {
		m.proxies[0].messageTimes = append(m.proxies[0].messageTimes, time.Duration(i)*time.Second/2)
	}
	if m.fits(m.proxies, 1, normalPriority) || !m.fits(m.proxies, 1, drainPriority) {
		t.Error("an ordinary publication may not take the last messages, a drain may")
	}
}

// Resent commands that are not counted would overrun the queue once the relay is back.
func TestResentCommandsCountAgainstTheQueue(t *testing.T) {
	m := newTestManager(2)
	m.sendableSoon[urgentPriority] = 15
	m.queueLimits[urgentPriority] = 15
	o := Commands{Weights: []EndpointWeight{{0, "a0", 1}, {0, "a1", 2}, {1, "b0", 1}, {1, "b1", 1}}, Assign: []TableAssignment{{Proxy: 0}, {Proxy: 9}}}
	n, mark := m.Resend(time.Second, 0, false, o)
	if n != 4 || mark != 1 || m.queuedCommands() != 4+2*5 {
		t.Errorf("%d commands under barrier %d, %v commands wait", n, mark, m.queuedCommands())
	}
	n, mark = m.Resend(time.Second+1, mark, true, o)
	if n != 0 || mark != 0 {
		t.Errorf("%d commands under barrier %d beside those that may have been carried out", n, mark)
	}
	m = newTestManager(2)
	m.sendableSoon[urgentPriority] = 15
	m.queueLimits[urgentPriority] = 15
	m.Resend(time.Second, 0, false, o)
	n, mark = m.Resend(time.Second+2, 1, false, o)
	if n != 4 || mark != 2 || len(m.channel.pending) != 1 {
		t.Errorf("%d commands under barrier %d in place of those that were not carried out: %v", n, mark, m.channel.pending)
	}
}

// A relay that was out of reach for seconds may take at once what was reserved meanwhile.
func TestUnsentCommandsCountInFull(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies, 100)
	m.now = time.Minute
	if m.queuedCommands() != 2*105 {
		t.Errorf("%v commands wait while the relay is out of reach", m.queuedCommands())
	}
	m.HandleCommandsSent(m.now, 1)
	m.now += time.Second
	if m.queuedCommands() != 2*105-m.slowestRate {
		t.Errorf("%v commands wait a second after they entered", m.queuedCommands())
	}
	m.reserve(m.proxies[:1], 10)
	m.now += 200 * time.Millisecond
	if m.queuedCommands() != 2*105-1.2*m.slowestRate+15 {
		t.Errorf("%v commands wait with others behind them", m.queuedCommands())
	}
	m.now += time.Hour
	if m.queuedCommands() != 15 {
		t.Errorf("%v commands wait once the first have left", m.queuedCommands())
	}
}

// A queue that may hold half a minute of what the channel sends must not be filled: tables and drains would come late.
func TestNormalCommandsLeaveWithinTheNextSecond(t *testing.T) {
	wide := testSettings
	wide.QueueCapacity = 40000
	m := New(1, wide)
	m.channel.pending = []pendingBatch{{commands: 990}}
	for u, want := range []float64{10, 1010, 35010} {
		wantNear(t, "room", m.available(priority(u)), want)
	}
	p := []*proxy{{}}
	if m.fits(p, 1200, normalPriority) {
		t.Error("1200 commands fit behind 990, of 1000 a second")
	}
	m.channel.pending = nil
	m.channel.totalsValid = false
	if !m.fits(p, 1200, normalPriority) || m.fits(p, 30000, normalPriority) {
		t.Error("what never fits beside others goes when nothing waits, up to half the queue")
	}
}

// Commands must not wait for the room that they hold themselves.
func TestWaitingCommandsAreNotReservedTwice(t *testing.T) {
	m := newTestManager(2)
	m.sendableSoon[urgentPriority] = 15
	m.queueLimits[urgentPriority] = 15
	o := Commands{Weights: []EndpointWeight{{0, "a0", 1}, {1, "b0", 1}}}
	m.reserve(m.proxies, 1) // decided while an earlier part waited
	if n, _ := m.Resend(time.Second, 0, false, o); n != 2 || m.queuedCommands() != 2*6 {
		t.Errorf("%d commands, %v commands wait", n, m.queuedCommands())
	}
}

// The acknowledgement of a short message must not count for the long ones behind it.
func TestAnAckReleasesItsOwnMessageOnly(t *testing.T) {
	m := newTestManager(2)
	m.reserve(m.proxies[:1], 1)
	m.reserve(m.proxies[1:], 200)
	m.acknowledge(0, 1)
	if m.queuedCommands() != 205 {
		t.Errorf("%v commands wait behind the one that was answered", m.queuedCommands())
	}
}

// The protocol bounds the number of a barrier.
func TestBarriersBeginAnewPastTheirBound(t *testing.T) {
	m := newTestManager(2)
	m.channel.lastBarrier = 65534
	for _, want := range []BarrierID{65535, 1} {
		m.now += time.Second
		m.reserve(m.proxies, 1)
		if m.commands.Barrier != want {
			t.Errorf("barrier %d, not %d", m.commands.Barrier, want)
		}
	}
}

// Once the relay is back, each proxy's message would be as long as all that waited, and the last proxy would get its
// withdrawals seconds later.
func TestLittleGoesAlongWithLateWithdrawals(t *testing.T) {
	m := newTestManager(4)
	m.proxy(0) // the index is there
	for id := range ProxyID(30) {
		m.addProxy(&proxy{id: 10 + id, assigned: true, usage: make([][]sample, 2)})
	}
	o := Commands{Withdraw: []ServerID{"a0", "a1"}}
	for range 20 {
		o.Weights = append(o.Weights, EndpointWeight{0, "a2", 1})
	}
	n, _ := m.Resend(m.now+1, 0, false, o)
	if most := besideDrainsShare*m.sendableSoon[normalPriority] + 31; n < 3 || n == o.Count() || m.queuedCommands() > most {
		t.Errorf("%d of %d commands, %v commands wait, %v at most", n, o.Count(), m.queuedCommands(), most)
	}
	late := newTestManager(4)
	late.proxy(0)
	for id := range ProxyID(30) {
		late.addProxy(&proxy{id: 10 + id, assigned: true, usage: make([][]sample, 2)})
	}
	o.Withdraw = nil
	if more, _ := late.Resend(late.now+1, 0, false, o); more <= n-2 {
		t.Errorf("%d commands without withdrawals, %d with them", more, n-2)
	}
}
