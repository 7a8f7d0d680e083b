package loadtest

import "time"

// Schedule says how many messages of an even rate are due. Messages that were late stay due.
type Schedule struct {
	Rate float64 // messages a second
	sent int
}

// Due takes the messages that are due at a time since the start: how many they are, and when the last of them was due.
func (s *Schedule) Due(sinceStart time.Duration) (count int, last time.Duration) {
	count = int(s.Rate*sinceStart.Seconds()) - s.sent
	if count <= 0 {
		return 0, 0
	}
	s.sent += count
	return count, time.Duration(float64(s.sent) / s.Rate * float64(time.Second))
}

const (
	rampGrowth          = 1.6                    // of the rate from step to step, until one is not sustained
	maxHalvings         = 3                      // of the gap between the highest sustained rate and the lowest that was not
	minSustainedRate    = 1                      // messages a second: a ramp doesn't look for less
	maxAcceptLatency    = 200 * time.Millisecond // 99th percentile of a step that is sustained
	minAcceptedFraction = 0.97                   // of what was due in a step that is sustained
)

// Ramp searches for the highest rate that a manager sustains: it grows until a step is not sustained, then halves the
// gap.
type Ramp struct {
	rate        float64
	sustained   float64 // the highest; 0: none yet
	unsustained float64 // the lowest; 0: none yet
	halvings    int
}

// NewRamp begins with a rate in messages a second.
func NewRamp(rate float64) *Ramp { return &Ramp{rate: rate} }

// Rate is that of the next step.
func (r *Ramp) Rate() float64 { return r.rate }

// MaxRate is the highest rate that was sustained; 0 where none was.
func (r *Ramp) MaxRate() float64 { return r.sustained }

// Step takes the result of a step: the part of what was due that was accepted, and the 99th percentile of how late. It
// reports whether another step is due.
func (r *Ramp) Step(acceptedFraction float64, latency time.Duration) bool {
	if acceptedFraction >= minAcceptedFraction && latency <= maxAcceptLatency {
		r.sustained = max(r.sustained, r.rate)
	} else if r.unsustained == 0 || r.rate < r.unsustained {
		r.unsustained = r.rate
	}
	if r.unsustained == 0 {
		r.rate *= rampGrowth
		return true
	}
	if r.halvings == maxHalvings || r.unsustained < minSustainedRate {
		return false
	}
	if r.sustained > 0 {
		r.halvings++
	}
	r.rate = (r.sustained + r.unsustained) / 2
	return true
}
