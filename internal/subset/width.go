package subset

import (
	"time"

	"tamarindshore/balancer"
)

const (
	widenBelow    = 0.7              // of the servers wanted of other zones: with fewer in service the subset is widened
	narrowAbove   = 0.9              // of them: with more in service, and warm, it may be narrowed
	zoneShort     = 0.7              // of a home zone's servers: with fewer in service the rest is wanted of other zones
	doubling      = 2.0              // factor of one widening
	emptyFactor   = 8.0              // factor of one widening while no server at all is in service
	calmFor       = 30 * time.Second // before the first narrowing
	narrowFactor  = 0.97             // factor of one narrowing, once a second
	settleTime    = 3 * time.Second  // within which a new member counts as in service: it is being probed
	referenceHeld = time.Hour        // that the size of a zone is remembered after it shrank
)

// demand is what one look found of the servers in other zones than home.
type demand struct {
	wanted     float64 // servers in service: the stated number, and those that home zones lack
	serving    float64 // in service, or so new that it is not known yet
	wantedWarm float64 // like wanted, with cold servers of home zones counted by their climb
	warm       float64 // in service, counted by their climb
	spill      float64 // the stated number
	available  float64 // listed
	empty      bool    // no server at all is in service
}

// width is the factor on the stated number of spill servers.
type width struct {
	factor    float64
	calmSince time.Duration
}

func newWidth() width { return width{factor: 1} }

// adjust widens at once and narrows by a small step; true where it widened.
func (w *width) adjust(now time.Duration, d demand) (widened bool) {
	if d.short() && w.fraction(d) < 1 {
		w.widen(d)
		w.calmSince = now
		return true
	}
	if w.factor == 1 || !w.mayNarrow(d) {
		w.calmSince = now
		return false
	}
	if now-w.calmSince >= calmFor {
		w.factor = max(1, min(w.factor, d.available/max(1, d.spill))*narrowFactor)
	}
	return false
}

func (d demand) short() bool { return d.empty || d.serving < widenBelow*min(d.wanted, d.available) }

// fraction is the part of the other zones' servers that are selected.
func (w *width) fraction(d demand) float64 { return w.factor * d.spill / max(1, d.available) }

// widen raises the factor until the servers that it adds make up for what lacks.
func (w *width) widen(d demand) {
	if d.empty {
		w.factor *= emptyFactor
		return
	}
	before := w.factor * d.spill
	for {
		w.factor *= doubling
		added := min(w.factor*d.spill, d.available) - before
		if d.serving+added >= widenBelow*d.wanted || w.fraction(d) >= 1 {
			return
		}
	}
}

// mayNarrow tells whether enough warm servers would be left by the next step.
func (w *width) mayNarrow(d demand) bool {
	return !d.empty && d.warm*narrowFactor >= narrowAbove*min(d.wantedWarm, d.available)
}

// zoneService counts the members of one zone.
type zoneService struct{ serving, warm float64 }

// demand holds the members in service against what the zones should have.
func (s *Subset) demand(now time.Duration, fleet Fleet) demand {
	all, _ := fleet.ReadyServers()
	d := demand{spill: float64(s.settings.Spill), available: float64(s.foreign())}
	d.empty = all == 0 && s.hasSettled(now)
	service := s.service(now, fleet, d.empty)
	d.wanted, d.wantedWarm = d.spill, d.spill
	for id, z := range s.zones {
		in := service[id]
		if !z.home {
			d.serving += in.serving
			d.warm += in.warm
			continue
		}
		reference := s.reference(now, z)
		d.wanted += missing(in.serving, reference)
		d.wantedWarm += missing(in.warm, reference)
	}
	return d
}

// missing is what a home zone lacks, where it is short.
func missing(has, reference float64) float64 {
	if has >= zoneShort*reference {
		return 0
	}
	return reference - has
}

// hasSettled tells whether some member is old enough to be in service. Guards against widening at the start, when all
// members are being probed.
func (s *Subset) hasSettled(now time.Duration) bool {
	for _, r := range s.handed {
		if r.phase == member && now-r.since >= settleTime {
			return true
		}
	}
	return false
}

// service counts members in service by zone. While none at all is, the module calls all of them open, and new ones do
// not count either.
func (s *Subset) service(now time.Duration, fleet Fleet, empty bool) map[balancer.ZoneID]zoneService {
	service := map[balancer.ZoneID]zoneService{}
	if empty {
		return service
	}
	for id, r := range s.handed {
		if r.phase != member {
			continue
		}
		in := service[r.server.Zone]
		_, open, climbed := fleet.ServerStatus(id)
		if open {
			in.serving++
			in.warm += climbed
		} else if r.server.State == balancer.Ready && now-r.since < settleTime {
			in.serving++
		}
		service[r.server.Zone] = in
	}
	return service
}

// reference is how many servers a home zone should have: the most that were listed lately, or, where none was, as many
// as a zone has on average.
func (s *Subset) reference(now time.Duration, z *zone) float64 {
	if z.listed >= z.reference || now-z.refreshed > referenceHeld {
		z.reference, z.refreshed = z.listed, now
	}
	if z.reference > 0 {
		return float64(z.reference)
	}
	return float64(s.listed()) / float64(max(1, len(s.zones)))
}
