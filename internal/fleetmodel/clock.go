package fleetmodel

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

// input is a call of the manager.
type input func(now time.Duration) balancer.Commands

type scheduledInput struct {
	at    time.Duration
	input input
}

// clock is the virtual time of a fleet, and the inputs that are due later.
type clock struct {
	now       time.Duration
	scheduled []scheduledInput // by time; those of one time in the order in which they were scheduled
	timer     time.Duration    // when the manager's timer goes off; not after now: it is not set
}

// scheduleAfter delivers an input after a delay.
func (c *clock) scheduleAfter(delay time.Duration, input input) {
	next := scheduledInput{c.now + delay, input}
	i, _ := slices.BinarySearchFunc(c.scheduled, next, func(a, b scheduledInput) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	c.scheduled = slices.Insert(c.scheduled, i, next)
}

// setTimer sets the manager's timer, unless it goes off earlier anyway.
func (c *clock) setTimer(due time.Duration) {
	if c.timer <= c.now || due < c.timer {
		c.timer = due
	}
}

// playUntil delivers all inputs that are due before a time.
func (f *Fleet) playUntil(end time.Duration) {
	for {
		timerDue := f.timer > f.now && f.timer < end
		inputDue := len(f.scheduled) > 0 && f.scheduled[0].at < end
		switch {
		case timerDue && (!inputDue || f.timer < f.scheduled[0].at):
			f.now = max(f.now, f.timer)
			f.timer = 0
			f.deliver(f.Manager.HandleTimer)
		case inputDue:
			next := f.scheduled[0]
			f.scheduled = f.scheduled[1:]
			f.now = max(f.now, next.at)
			f.deliver(next.input)
		default:
			f.now = max(f.now, end)
			return
		}
	}
}
