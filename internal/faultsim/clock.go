package faultsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is an action that is due at a time of the virtual clock.
type event struct {
	at       time.Duration
	sequence int // events of one time run in the order in which they were scheduled
	action   func()
}

// eventQueue is a heap of events, the next one first.
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

// clock is the virtual time of a run and all that is due later. Its zero value is at the start of a run.
type clock struct {
	now      time.Duration
	queue    eventQueue
	sequence int
}

// schedule lets an action run at a time, or as soon as possible where that has passed.
func (c *clock) schedule(at time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.queue, event{max(at, c.now), c.sequence, action})
}

// scheduleAfter lets an action run after a delay.
func (c *clock) scheduleAfter(delay time.Duration, action func()) { c.schedule(c.now+delay, action) }

// runNext advances the clock to the next event and runs it, unless that is due after the end. It reports whether it ran
// one.
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

// DurationRange bounds durations that are drawn evenly from Min to Max.
type DurationRange struct {
	Min, Max time.Duration
}

func (r DurationRange) draw(rng *rand.Rand) time.Duration {
	return r.Min + time.Duration(rng.Float64()*float64(r.Max-r.Min))
}
