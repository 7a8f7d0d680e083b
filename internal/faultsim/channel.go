package faultsim

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

const (
	// messageOverhead is the size that each message has in addition to its changes, in commands. It is one command
	// more than balancer.Settings.MessageOverhead, to account for the barrier.
	messageOverhead = 5
	messageWindow   = 10 * time.Second // window in which messages to one proxy are counted
	sizeTolerance   = 1e-6             // in commands: tolerates rounding errors of the remaining message size
)

// channel sends messages from a FIFO queue, one at a time, at a rate limited in commands per second.
type channel struct {
	queue          []queuedMessage // the first message is being sent
	queuedCommands float64         // total unsent size of the queue, in commands
	advancedTo     time.Duration   // the queue reflects what was sent until this time
	speed          float64         // factor on the scenario's CommandsPerSecond
	lastTimer      int             // number of the last timer set; earlier timers are ignored
}

// queuedMessage is a message that has not been sent completely.
type queuedMessage struct {
	remaining float64 // unsent size, in commands
	onSent    func()  // called once the whole message is sent
}

// reset drops all queued messages.
func (c *channel) reset(now time.Duration) {
	c.queue = nil
	c.queuedCommands = 0
	c.advancedTo = now
}

// advanceChannel sends what the channel had time to send until now at its current speed, then switches to the new speed.
// It sets a timer for the end of the first remaining message. A later call replaces that timer.
func (s *Simulation) advanceChannel(speed float64) {
	c := &s.channel
	sendable := (s.now - c.advancedTo).Seconds() * s.scenario.CommandsPerSecond * c.speed
	c.advancedTo = s.now
	c.speed = speed
	for len(c.queue) > 0 && sendable >= c.queue[0].remaining-sizeTolerance {
		first := c.queue[0]
		sendable -= first.remaining
		c.queuedCommands -= first.remaining
		c.queue = c.queue[1:]
		first.onSent()
	}
	if len(c.queue) == 0 {
		c.queuedCommands = 0
		return
	}
	c.queue[0].remaining -= sendable
	c.queuedCommands -= sendable
	c.lastTimer++
	timer := c.lastTimer
	left := c.queue[0].remaining / (s.scenario.CommandsPerSecond * c.speed)
	s.scheduleAfter(time.Duration(left*float64(time.Second))+1, func() {
		if c.lastTimer == timer {
			s.advanceChannel(c.speed)
		}
	})
}

// send queues a message to a proxy; size is in commands. When the message arrives, the proxy applies the changes and
// acknowledges the barrier, if there is one. A proxy that has disconnected or opened a new session ignores the message.
func (s *Simulation) send(p *proxy, changes []func(*proxy), size float64, barrier balancer.BarrierID) {
	if size > 0 {
		s.countMessage(p)
	}
	receive := s.messageHandler(p, changes, barrier)
	delay := s.scenario.MessageDelay.draw(s.rng)
	p.lastQueued = s.now
	s.advanceChannel(s.channel.speed)
	c := &s.channel
	c.queue = append(c.queue, queuedMessage{remaining: size, onSent: func() {
		p.lastArrival = max(p.lastArrival+1, s.now+delay) // messages to one proxy keep their order
		s.schedule(p.lastArrival, receive)
	}})
	c.queuedCommands += size
	if len(c.queue) == 1 {
		s.advanceChannel(c.speed)
	}
}

// countMessage adds a message to the proxy's recent messages, and checks their number.
func (s *Simulation) countMessage(p *proxy) {
	p.recentSends = slices.DeleteFunc(p.recentSends, func(at time.Duration) bool { return s.now-at > messageWindow })
	p.recentSends = append(p.recentSends, s.now)
	s.rules.checkMessages(p)
}

// messageHandler returns the function that runs when a message arrives at a proxy.
func (s *Simulation) messageHandler(p *proxy, changes []func(*proxy), barrier balancer.BarrierID) func() {
	session := p.session
	incarnation := s.manager.incarnation
	return func() {
		if p.session != session || !p.connected {
			return
		}
		for _, change := range changes {
			change(p)
		}
		s.rules.tableReceived(p)
		if barrier > 0 && s.manager.incarnation == incarnation {
			s.deliver(func(now time.Duration) balancer.Commands {
				return s.manager.balancer.HandleBarrierAck(now, p.id, barrier)
			})
		}
	}
}
