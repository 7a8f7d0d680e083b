package faultsim

import "time"

// interval is a span of the virtual clock.
type interval struct {
	from, to time.Duration
}

// outages records when a fault impaired the relay, its channel or the manager. Outages do not count towards the time
// limits of rules.
type outages struct {
	total     time.Duration
	intervals []interval // in order of time
	checkedAt time.Duration
}

// recordOutage counts the time since the last check as an outage if a component is impaired now.
func (s *Simulation) recordOutage() {
	o := &s.outages
	impaired := s.faults.relayUnreachable > 0 || s.faults.responsesLost > 0 || s.channel.speed < 1 || s.now < s.manager.stalledUntil
	if impaired {
		o.total += s.now - o.checkedAt
		o.intervals = append(o.intervals, interval{o.checkedAt, s.now})
	}
	o.checkedAt = s.now
}

// since returns the total duration of outages after start.
func (o *outages) since(start time.Duration) time.Duration {
	total := time.Duration(0)
	for i := len(o.intervals) - 1; i >= 0 && o.intervals[i].to > start; i-- {
		total += o.intervals[i].to - max(start, o.intervals[i].from)
	}
	return total
}
