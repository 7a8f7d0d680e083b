package capacity

import (
	"slices"
	"time"

	"tamarindshore/internal/scale"
)

// Names, as in package scale, of the process states that represent a second without reports and a busy second.
const (
	quietState = "proxies joined, nothing reported"
	busyState  = "200 reports and one list change a second"
)

// processOverhead returns the fraction of a core that a real process uses beyond a hollow manager in a state, for
// sockets, the Go runtime and wake-ups. It is the mean over the sizes at which both were measured with the plan's read
// interval.
func (m *Model) processOverhead(state string) Figure {
	interval := m.Plan.Managers.ReadInterval.Seconds()
	var differences []float64
	for _, c := range m.Costs.report.Processes {
		if c.Name == state && c.ReadInterval == interval && len(c.CPU) > 0 && len(c.HollowCPU) > 0 {
			differences = append(differences, overheadOf(c))
		}
	}
	if len(differences) == 0 {
		return Figure{}
	}
	return known(mean(differences))
}

// readIntervals returns the read intervals with which real processes were measured, in ascending order.
func (c Costs) readIntervals() (intervals []time.Duration) {
	for _, process := range c.report.Processes {
		interval := time.Duration(process.ReadInterval * float64(time.Second))
		if !slices.Contains(intervals, interval) {
			intervals = append(intervals, interval)
		}
	}
	slices.Sort(intervals)
	return intervals
}

// overheadOf returns the median CPU use of the process less that of the hollow manager, at least 0.
func overheadOf(c scale.ProcessCase) float64 {
	return max(0, scale.Median(c.CPU)-scale.Median(c.HollowCPU))
}
