package faultsim

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

const (
	// messageOverhead is what the channel counts for a message beside its changes: one command more than
	// balancer.Settings.MessageOverhead, for the barrier.
	messageOverhead = 5
	messageWindow   = 10 * time.Second // in which the messages to one proxy are counted
	sizeTolerance   = 1e-6             // commands: rounding of what is left of a message
)

// channel sends messages one after another from a queue, at a pace in commands per second.
type channel struct {
	queue      []queuedMessage // the first of them is being sent
	queued     float64         // size of the queue in commands, of the first message what is left
	advancedTo time.Duration   // what was sent until then is counted
	speed      float64         // factor on the scenario's pace
	timer      int             // number of the last timer set; earlier ones do nothing
}

type queuedMessage struct {
	size float64 // that is left to send, in commands
	sent func()  // called once all of it is sent
}

// reset drops what waits.
func (c *channel) reset(now time.Duration) {
	c.queue = nil
	c.queued = 0
	c.advancedTo = now
}

// advanceChannel sends what the channel could send until now at the speed so far, then goes on at a speed. The timer for
// the rest of the first message holds unless the channel changes by then.
func (s *Simulation) advanceChannel(speed float64) {
	c := &s.channel
	sendable := (s.now - c.advancedTo).Seconds() * s.scenario.CommandsPerSecond * c.speed
	c.advancedTo = s.now
	c.speed = speed
	for len(c.queue) > 0 && sendable >= c.queue[0].size-sizeTolerance {
		first := c.queue[0]
		sendable -= first.size
		c.queued -= first.size
		c.queue = c.queue[1:]
		first.sent()
	}
	if len(c.queue) == 0 {
		c.queued = 0
		return
	}
	c.queue[0].size -= sendable
	c.queued -= sendable
	c.timer++
	timer := c.timer
	left := c.queue[0].size / (s.scenario.CommandsPerSecond * c.speed)
	s.scheduleAfter(time.Duration(left*float64(time.Second))+1, func() {
		if c.timer == timer {
			s.advanceChannel(c.speed)
		}
	})
}

// send puts a message of a size in commands into the channel. The proxy applies it, unless it has another session by
// then, and acknowledges the barrier, if there is one.
func (s *Simulation) send(p *proxy, changes []func(*proxy), size float64, barrier balancer.BarrierID) {
	if size > 0 {
		s.countMessage(p)
	}
	receive := s.receiver(p, changes, barrier)
	delay := s.scenario.MessageDelay.draw(s.rng)
	p.sentAt = s.now
	s.advanceChannel(s.channel.speed)
	c := &s.channel
	c.queue = append(c.queue, queuedMessage{size: size, sent: func() {
		p.receivedAt = max(p.receivedAt+1, s.now+delay) // messages to one proxy keep their order
		s.schedule(p.receivedAt, receive)
	}})
	c.queued += size
	if len(c.queue) == 1 {
		s.advanceChannel(c.speed)
	}
}

func (s *Simulation) countMessage(p *proxy) {
	p.recentSends = slices.DeleteFunc(p.recentSends, func(at time.Duration) bool { return s.now-at > messageWindow })
	p.recentSends = append(p.recentSends, s.now)
	s.rules.checkMessages(p)
}

// receiver is what a proxy does with a message as it arrives.
func (s *Simulation) receiver(p *proxy, changes []func(*proxy), barrier balancer.BarrierID) func() {
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
