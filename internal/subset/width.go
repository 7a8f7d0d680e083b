package subset

import "time"

const (
	widenThreshold       = 0.7              // the subset widens if a smaller fraction of the needed spill servers is in service
	narrowThreshold      = 0.9              // the subset may narrow if at least this fraction of them is in service and warm
	widenFactor          = 2.0              // factor of one widening step
	emergencyWidenFactor = 8.0              // factor of one widening step while no server at all is in service
	narrowFactor         = 0.97             // factor of one narrowing step, applied once a second
	narrowDelay          = 30 * time.Second // how long narrowing must be possible without interruption before the first step
)

// width holds the factor applied to the configured number of spill servers.
type width struct {
	factor          float64       // at least 1
	narrowableSince time.Duration // narrowing has been possible without interruption since then
}

func newWidth() width { return width{factor: 1} }

// adjust widens immediately, or narrows by one small step after narrowDelay. It reports whether it widened.
func (w *width) adjust(now time.Duration, d demand) (widened bool) {
	if d.isShort() && w.fraction(d) < 1 {
		w.widen(d)
		w.narrowableSince = now
		return true
	}
	if w.factor == 1 || !w.mayNarrow(d) {
		w.narrowableSince = now
		return false
	}
	if now-w.narrowableSince >= narrowDelay {
		useful := d.available / max(1, d.spill) // a larger factor selects no more servers
		w.factor = max(1, min(w.factor, useful)*narrowFactor)
	}
	return false
}

// fraction returns the desired spill as a fraction of the available servers. At 1 or above, all of them are selected.
func (w *width) fraction(d demand) float64 { return w.factor * d.spill / max(1, d.available) }

// widen raises the factor until the added servers make up the shortfall or all servers are selected. While no server is
// in service, it takes one large step instead.
func (w *width) widen(d demand) {
	if d.noneInService {
		w.factor *= emergencyWidenFactor
		return
	}
	before := w.factor * d.spill
	for {
		w.factor *= widenFactor
		added := min(w.factor*d.spill, d.available) - before
		if d.serving+added >= widenThreshold*d.needed || w.fraction(d) >= 1 {
			return
		}
	}
}

// mayNarrow reports whether enough warm servers would remain after the next narrowing step.
func (w *width) mayNarrow(d demand) bool {
	return !d.noneInService && d.warm*narrowFactor >= narrowThreshold*min(d.neededWarm, d.available)
}
