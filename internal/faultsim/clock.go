package faultsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is an action scheduled for a time of the virtual clock.
type event struct {
	at       time.Duration
	sequence int // orders events of the same time by when they were scheduled
	action   func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	next := (*q)[last]
	*q = (*q)[:last]
	return next
}

// clock holds the virtual time of a run and its pending events. The zero value is a clock at the start of a run.
type clock struct {
	now      time.Duration
	queue    eventQueue
	sequence int
}

// schedule runs an action at the given time, or at the current time if the given time has passed.
func (c *clock) schedule(at time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.queue, event{max(at, c.now), c.sequence, action})
}

// scheduleAfter runs an action after a delay.
func (c *clock) scheduleAfter(delay time.Duration, action func()) { c.schedule(c.now+delay, action) }

// runNext advances the clock to the next event and runs it, unless the event is due after end. It reports whether an
// event was run.
func (c *clock) runNext(end time.Duration) bool {
	if len(c.queue) == 0 {
		return false
	}
	next := heap.Pop(&c.queue).(event)
	if next.at > end {
		return false
	}
	c.now = next.at
	next.action()
	return true
}

// DurationRange is a range from which durations are drawn with a uniform distribution.
type DurationRange struct {
	Min, Max time.Duration
}

func (r DurationRange) draw(rng *rand.Rand) time.Duration {
	return r.Min + time.Duration(rng.Float64()*float64(r.Max-r.Min))
}
