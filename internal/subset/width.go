package subset

import "time"

const (
	widenThreshold       = 0.7              // of the servers wanted of other zones: with fewer in service the subset is widened
	narrowThreshold      = 0.9              // of them: with more in service, and warm, it may be narrowed
	widenFactor          = 2.0              // of one widening
	emergencyWidenFactor = 8.0              // of one widening while no server at all is in service
	narrowFactor         = 0.97             // of one narrowing, once a second
	narrowDelay          = 30 * time.Second // without need, before the first narrowing
)

// width is the factor on the stated number of spill servers.
type width struct {
	factor    float64       // from 1 up
	calmSince time.Duration // nothing has spoken against narrowing since then
}

func newWidth() width { return width{factor: 1} }

// adjust widens at once and narrows by a small step; true where it widened.
func (w *width) adjust(now time.Duration, d demand) (widened bool) {
	if d.isShort() && w.fraction(d) < 1 {
		w.widen(d)
		w.calmSince = now
		return true
	}
	if w.factor == 1 || !w.mayNarrow(d) {
		w.calmSince = now
		return false
	}
	if now-w.calmSince >= narrowDelay {
		useful := d.available / max(1, d.spill) // a wider factor selects no more servers
		w.factor = max(1, min(w.factor, useful)*narrowFactor)
	}
	return false
}

// fraction is the part of the other zones' servers that are selected.
func (w *width) fraction(d demand) float64 { return w.factor * d.spill / max(1, d.available) }

// widen raises the factor until the servers that it adds make up for what lacks.
func (w *width) widen(d demand) {
	if d.noneInService {
		w.factor *= emergencyWidenFactor
		return
	}
	before := w.factor * d.spill
	for {
		w.factor *= widenFactor
		added := min(w.factor*d.spill, d.available) - before
		if d.serving+added >= widenThreshold*d.wanted || w.fraction(d) >= 1 {
			return
		}
	}
}

// mayNarrow tells whether enough warm servers would be left by the next step.
func (w *width) mayNarrow(d demand) bool {
	return !d.noneInService && d.warm*narrowFactor >= narrowThreshold*min(d.wantedWarm, d.available)
}
