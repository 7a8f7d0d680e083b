// Package loadtest loads a manager on loopback, through stand-ins, and measures it: an open loop in which each message has
// a time when it is due, so that a stall is seen and not left out. plan.go decides rates and what is due, free of I/O;
// feed.go speaks for the collectors; run.go joins both to a rig; report.go shows figures. It must never be imported by
// the daemon, nor change what the manager decides.
package loadtest

import "time"

// Schedule says how many messages of an even flow are due.
type Schedule struct {
	Rate float64 // messages a second
	sent int
}

// Due is how many are due at a time since the start and were not taken, and when the last of them was.
func (s *Schedule) Due(now time.Duration) (n int, last time.Duration) {
	n = int(s.Rate*now.Seconds()) - s.sent
	if n <= 0 {
		return 0, 0
	}
	s.sent += n
	return n, time.Duration(float64(s.sent) / s.Rate * float64(time.Second))
}

// Terms of a ramp.
const (
	growth      = 1.6                    // of the rate, from step to step, until one is too much
	halvings    = 3                      // of what is between the last that was not and the first that was
	lateMost    = 200 * time.Millisecond // 99th percentile from a message's time to its place in the manager
	acceptLeast = 0.97                   // of what was due
)

// Ramp finds the highest rate that a manager takes: it grows until a step is too much, then halves what is between.
type Ramp struct {
	rate, good, bad float64
	halved          int
}

// NewRamp begins with a rate.
func NewRamp(rate float64) *Ramp { return &Ramp{rate: rate} }

// Rate is that of the next step.
func (r *Ramp) Rate() float64 { return r.rate }

// Top is the highest rate that was not too much; 0 where none was.
func (r *Ramp) Top() float64 { return r.good }

// Step takes what a step came to: the part of what was due that was accepted, and how late that was. It tells whether
// another is due.
func (r *Ramp) Step(accepted float64, late time.Duration) bool {
	if accepted >= acceptLeast && late <= lateMost {
		r.good = max(r.good, r.rate)
	} else if r.bad == 0 || r.rate < r.bad {
		r.bad = r.rate
	}
	switch {
	case r.bad == 0:
		r.rate *= growth
		return true
	case r.halved == halvings || r.bad < 1:
		return false
	}
	if r.good > 0 {
		r.halved++
	}
	r.rate = (r.good + r.bad) / 2
	return true
}
