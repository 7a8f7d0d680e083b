package capacity

import "tamarindshore/internal/scale"

// propagationChecks compare the time until a change is in force at the last manager with its budget: alone, during the
// openings of all managers, and while two control machines are lost.
func (m *Model) propagationChecks() []Check {
	return []Check{
		m.propagationCheck("a change in a quiet second", subsetting, m.propagation),
		m.propagationCheck("a change beside all managers' openings", watchCache, m.propagationDuringOpenings),
		m.propagationCheck("a change as two control machines are lost", resume, m.propagationDuringControlLoss),
	}
}

func (m *Model) propagationCheck(situation string, mechanism Mechanism, seconds func(Scope) Figure) Check {
	budget := m.Plan.Budgets.MaxPropagation.Seconds()
	ratio := perScope(func(scope Scope) Figure { return seconds(scope).times(1 / budget) })
	return Check{Situation: situation, Role: Manager, Resource: Propagation, Ratio: ratio, Mechanism: mechanism}
}

// propagation is the seconds until the last manager's commands carry a change: as measured with managers of the smallest useful state,
// and the longest decision of a manager of the plan's size, for which a change may wait, on its share of a core.
func (m *Model) propagation(scope Scope) Figure {
	return m.allManagers(scale.PropagationLast).plus(m.waitForDecision(scope))
}

// propagationDuringOpenings is the same where all managers open as the change comes: as measured, or else the change alone
// and what a control machine needs for its openings.
func (m *Model) propagationDuringOpenings(scope Scope) Figure {
	if !m.Costs.measured(scale.PropagationDuringOpeningsLast) {
		return m.propagation(scope).plus(m.allOpenings(scope))
	}
	return m.afterListRead(scale.PropagationDuringOpeningsLast, scope)
}

// propagationDuringControlLoss is the same where two control machines are lost as the change comes.
func (m *Model) propagationDuringControlLoss(scope Scope) Figure {
	return m.afterListRead(scale.PropagationDuringControlLossLast, scope)
}

// afterListRead is a time that was measured with managers that read a complete list of the plan's size and take a subset
// of it; the reading of a scope takes the place of theirs.
func (m *Model) afterListRead(cost scale.Cost, scope Scope) Figure {
	other := m.listReadTime(scope).plus(m.listReadTime(Subset).times(-1))
	return m.allManagers(cost).plus(other.times(1 / m.Plan.Budgets.Core)).plus(m.waitForDecision(scope))
}

// listReadTime is the processor time in which a manager reads the list that it is sent at an opening.
func (m *Model) listReadTime(scope Scope) Figure {
	counts := m.Plan.normalServerCounts(scope)
	if scope == Subset {
		return m.cost(scale.CPUPerSubsetRead, Sizes{scale.OpeningListSize: counts.sent})
	}
	return m.cost(scale.CPUPerListRead, m.listSizes(scale.CPUPerListRead, counts.sent))
}

func (m *Model) allManagers(cost scale.Cost) Figure {
	return m.cost(cost, Sizes{scale.Managers: float64(m.Plan.Fleet.Managers)})
}

func (m *Model) waitForDecision(scope Scope) Figure {
	decision := m.cost(scale.LongestDecision, m.managerSizes(m.Plan.normalServerCounts(scope)))
	return decision.times(1 / m.Plan.Budgets.Core)
}

// allOpenings is how long a control machine's cores need to open all its managers, for which a change may wait.
func (m *Model) allOpenings(scope Scope) Figure {
	quiet := m.Plan.situations()[0]
	opening := m.cost(scale.ControlCPUPerManager, m.controlSizes(scale.ControlCPUPerManager, quiet, m.Plan.normalServerCounts(scope)))
	return opening.times(m.readers(quiet) / float64(m.Plan.Control.Cores))
}
