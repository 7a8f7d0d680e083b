package fleetmodel

import (
	"slices"
	"time"

	"tamarindshore/balancer"
)

// input is a call of one of the manager's Handle methods.
type input func(now time.Duration) balancer.Commands

// scheduledInput is an input that is due at a later time.
type scheduledInput struct {
	at    time.Duration
	input input
}

// clock holds the virtual time of a fleet and its pending inputs.
type clock struct {
	now       time.Duration
	scheduled []scheduledInput // by time; inputs of the same time in the order in which they were scheduled
	timer     time.Duration    // when the manager's timer fires; no timer is set unless this is after now
}

// scheduleAfter schedules an input after a delay.
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

// setTimer sets the manager's timer, unless an earlier one is already set.
func (c *clock) setTimer(due time.Duration) {
	if c.timer <= c.now || due < c.timer {
		c.timer = due
	}
}

// playUntil delivers all inputs that are due before end, and advances the clock to it.
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
