package node

import (
	"time"
)

// runStream opens a stream again and again: at once when one that had opened ends, then with a jittered backoff, until
// its upstream is cancelled or another one replaces it.
func (r *receiver) runStream(up *upstream, name string, breaks counter, open func() (opened bool, err error)) {
	defer close(up.done)
	for tries := 0; up.redialCtx.Err() == nil; tries++ {
		began := time.Now()
		opened := false
		err := recoverPanic(r.metrics, name, func() (err error) {
			opened, err = open()
			return err
		})
		if up.ctx.Err() != nil {
			return
		}
		lasted := time.Since(began)
		r.metrics.add(breaks, 1)
		r.metrics.logLimited(name+"_closed", "lasted", roundedSeconds(lasted), "opened", opened, "error", err)
		if opened && lasted > r.limits.MaxBackoff {
			tries = 0
		}
		if tries > 0 && !r.waitBackoff(up.redialCtx.Done()) {
			return
		}
	}
}

// waitBackoff waits for a random time within the bounds of the backoff; false where it is stopped meanwhile.
func (r *receiver) waitBackoff(stop <-chan struct{}) bool {
	r.mu.Lock()
	spread := r.jitter.Float64()
	r.mu.Unlock()
	wait := r.limits.MinBackoff + time.Duration(spread*float64(r.limits.MaxBackoff-r.limits.MinBackoff))
	select {
	case <-time.After(wait):
		return true
	case <-stop:
		return false
	}
}

// roundedSeconds is a duration in seconds, cut to the millisecond.
func roundedSeconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }
