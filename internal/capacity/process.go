package capacity

import "tamarindshore/internal/scale"

// States in which real processes are measured, that stand for a second without collectors' lines and for a busy one.
const (
	quietState = "proxies joined, nothing reported"
	busyState  = "200 reports and one list change a second"
)

// processOverhead is what a real process takes beyond a hollow manager in a state, as part of a core: sockets, the
// runtime, waking up. It is the mean over the sizes that both were measured at.
func (m *Model) processOverhead(state string) Figure {
	var differences []float64
	for _, c := range m.Costs.report.Real {
		if c.Name == state && len(c.CPU) > 0 && len(c.HollowCPU) > 0 {
			differences = append(differences, overheadOf(c))
		}
	}
	if len(differences) == 0 {
		return Figure{}
	}
	return known(mean(differences))
}

func overheadOf(c scale.RealCase) float64 {
	return max(0, median(c.CPU)-median(c.HollowCPU))
}
