package tables

import "time"

// RetrySettings configures exponential backoff with jitter between attempts.
type RetrySettings struct {
	InitialInterval time.Duration
	MaxInterval     time.Duration
}

// maxDoublings limits how often Delay doubles the interval, so that the shift does not overflow.
const maxDoublings = 20

// Delay returns how long to wait before the next attempt. The interval is InitialInterval, doubled for each previous
// failure and limited to MaxInterval. The random number, from 0 up to but not including 1, adds jitter: it selects a
// delay between half of the interval and all of it.
func (s RetrySettings) Delay(failures int, random float64) time.Duration {
	interval := s.InitialInterval << min(failures, maxDoublings)
	if interval <= 0 || interval > s.MaxInterval {
		interval = s.MaxInterval
	}
	half := interval / 2
	return half + time.Duration(random*float64(half))
}
