package tables

import "time"

// RetrySettings say how long to wait between attempts.
type RetrySettings struct {
	InitialInterval time.Duration
	MaxInterval     time.Duration
}

// maxDoublings keeps an interval from overflowing.
const maxDoublings = 20

// Delay returns how long to wait after a number of failed attempts before this one: the initial interval, doubled for
// each of them up to the most, then spread from half of that to all of it by a random number from 0 up to 1.
func (s RetrySettings) Delay(failures int, random float64) time.Duration {
	interval := s.InitialInterval << min(failures, maxDoublings)
	if interval <= 0 || interval > s.MaxInterval {
		interval = s.MaxInterval
	}
	half := interval / 2
	return half + time.Duration(random*float64(half))
}
