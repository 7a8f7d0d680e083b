package capacity

import (
	"slices"
	"time"

	"tamarindshore/internal/scale"
)

// States of real processes, as scale names them, that represent a second without reports and a busy one.
const (
	quietState = "proxies joined, nothing reported"
	busyState  = "200 reports and one list change a second"
)

// processOverhead is what a real process takes beyond a hollow manager in a state, as part of a core: sockets, the
// runtime, waking up. It is the mean over the sizes that both were measured at with the plan's interval between reads.
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

// readIntervals are the intervals between reads that real processes were measured with, the shortest first.
func (c Costs) readIntervals() (intervals []time.Duration) {
	for _, one := range c.report.Processes {
		interval := time.Duration(one.ReadInterval * float64(time.Second))
		if !slices.Contains(intervals, interval) {
			intervals = append(intervals, interval)
		}
	}
	slices.Sort(intervals)
	return intervals
}

func overheadOf(c scale.ProcessCase) float64 {
	return max(0, scale.Median(c.CPU)-scale.Median(c.HollowCPU))
}
