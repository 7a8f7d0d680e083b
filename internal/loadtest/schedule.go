package loadtest

import "time"

// Schedule computes how many messages are due at a constant rate. Messages that are late remain due.
type Schedule struct {
	Rate float64 // messages per second
	sent int     // number of messages that TakeDue has returned
}

// TakeDue returns the number of messages that have become due since the previous call, and when the last of them was due.
// Both times are relative to the start of the schedule.
func (s *Schedule) TakeDue(sinceStart time.Duration) (count int, last time.Duration) {
	count = int(s.Rate*sinceStart.Seconds()) - s.sent
	if count <= 0 {
		return 0, 0
	}
	s.sent += count
	return count, time.Duration(float64(s.sent) / s.Rate * float64(time.Second))
}

const (
	rampGrowth          = 1.6                    // factor between the rates of consecutive steps, until one is not sustained
	maxHalvings         = 3                      // bisections of the interval between sustained and unsustained rates
	minSustainedRate    = 1                      // messages per second; the search ends if a lower rate is not sustained
	maxAcceptLatency    = 200 * time.Millisecond // maximum 99th percentile of the latency in a sustained step
	minAcceptedFraction = 0.97                   // minimum accepted fraction of the due messages in a sustained step
)

// Ramp searches for the maximum rate that a manager sustains. It raises the rate until a step is not sustained and then
// bisects the interval between the highest sustained and the lowest unsustained rate.
type Ramp struct {
	rate        float64
	sustained   float64 // highest sustained rate; 0 if none yet
	unsustained float64 // lowest unsustained rate; 0 if none yet
	halvings    int
}

// NewRamp returns a ramp whose first step has the given rate in messages per second.
func NewRamp(rate float64) *Ramp { return &Ramp{rate: rate} }

// Rate returns the rate of the next step.
func (r *Ramp) Rate() float64 { return r.rate }

// MaxRate returns the highest sustained rate, or 0 if none was sustained.
func (r *Ramp) MaxRate() float64 { return r.sustained }

// RecordStep records the result of a step: the accepted fraction of the due messages and the 99th percentile of their
// latency. It reports whether the search continues with another step.
func (r *Ramp) RecordStep(acceptedFraction float64, latency time.Duration) bool {
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
