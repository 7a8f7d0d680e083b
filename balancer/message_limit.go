package balancer

import (
	"slices"
	"time"
)

const (
	// messageShareNormal and messageShareUrgent are the shares of a proxy's message limit that commands may use, by
	// priority. Drains may use all messages but one.
	messageShareNormal = 0.6
	messageShareUrgent = 0.8
	// drainDelayShare is the share of the drain grace for which a withdrawal may wait to share a message with others. The
	// rest is left for the call to the relay and for the channel.
	drainDelayShare = 0.5
)

// setMessageLimits derives the limits on the messages to one proxy.
func (p *parameters) setMessageLimits(maxMessages int, window, drainGrace time.Duration) {
	p.messageWindow = window
	p.drainDelay = time.Duration(drainDelayShare * float64(drainGrace))
	if maxMessages <= 0 {
		return
	}
	limit := float64(maxMessages)
	p.messageLimits = [priorityCount]int{
		normalPriority: int(max(1, messageShareNormal*limit)),
		urgentPriority: int(max(1, messageShareUrgent*limit)),
		drainPriority:  max(1, maxMessages-1),
	}
	// A message at the start and at the end of a window are both within it.
	intervals := max(1, p.messageLimits[drainPriority]-1)
	p.messageInterval = max(p.drainDelay, window/time.Duration(intervals))
	if p.messageInterval > drainGrace {
		p.messageInterval = 0 // too few messages to leave one for each grace
	}
}

// withinMessageLimit reports whether each of the proxies may get another command without exceeding its message limit, and
// without using messages that are left for drains.
func (m *Manager) withinMessageLimit(proxies []*proxy, priority priority) bool {
	return !slices.ContainsFunc(proxies, func(p *proxy) bool {
		return !m.hasMessageLeft(p, priority) || !m.leavesMessagesForDrains(p)
	})
}

// drainWithinMessageLimit reports whether each of the proxies may get the withdrawal of a leaving server. A withdrawal that
// has waited for drainDelay may use the messages that are left for drains. The withdrawals that waited with it join its
// messages.
func (m *Manager) drainWithinMessageLimit(s *server, proxies []*proxy) bool {
	if m.now-s.leavingSince < m.drainDelay {
		return m.withinMessageLimit(proxies, drainPriority)
	}
	return !slices.ContainsFunc(proxies, func(p *proxy) bool { return !m.hasMessageLeft(p, drainPriority) })
}

// hasMessageLeft reports whether a proxy may get another command without exceeding the message limit of a priority. A
// command joins a message of the same time.
func (m *Manager) hasMessageLeft(p *proxy, priority priority) bool {
	messages := len(m.messagesInWindow(p))
	limit := m.messageLimits[priority]
	return limit == 0 || messages < limit || p.hasMessageAt(m.now)
}

// leavesMessagesForDrains reports whether a proxy that gets a message now may also get one after each further
// messageInterval. Without this condition, a burst of messages would delay all drains until it has left the window.
func (m *Manager) leavesMessagesForDrains(p *proxy) bool {
	if m.messageInterval == 0 || p.hasMessageAt(m.now) {
		return true
	}
	limit := m.messageLimits[drainPriority]
	earlier := m.messagesInWindow(p)
	for sent := 1; len(earlier) > 0; sent++ {
		if len(earlier)+sent > limit {
			return false
		}
		next := m.now + time.Duration(sent)*m.messageInterval
		for len(earlier) > 0 && next-earlier[0] > m.messageWindow {
			earlier = earlier[1:]
		}
	}
	return true
}

// messagesInWindow returns the times of the messages to a proxy within messageWindow, and discards all others.
func (m *Manager) messagesInWindow(p *proxy) []time.Duration {
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Duration) bool { return m.now-at > m.messageWindow })
	return p.messageTimes
}

// releaseMessages no longer counts the messages of a time, which were not sent.
func (m *Manager) releaseMessages(decidedAt time.Duration) {
	for _, p := range m.proxies {
		p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Duration) bool { return at == decidedAt })
	}
}

// hasMessageAt reports whether a message to the proxy is already counted for this time.
func (p *proxy) hasMessageAt(now time.Duration) bool {
	return len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == now
}
