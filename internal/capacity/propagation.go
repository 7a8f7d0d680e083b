package capacity

import "tamarindshore/internal/scale"

// propagationChecks compares the time until a change is in force at the last manager with its budget: in a quiet
// second, during the openings of all managers, and while two control machines are lost.
func (m *Model) propagationChecks() []Check {
	return []Check{
		m.propagationCheck("a change in a quiet second", subsetting, m.propagation),
		m.propagationCheck("a change beside all managers' openings", watchCache, m.propagationDuringOpenings),
		m.propagationCheck("a change as two control machines are lost", deltaWithResume, m.propagationDuringControlLoss),
	}
}

func (m *Model) propagationCheck(situation string, mechanism Mechanism, seconds func(Scope) Figure) Check {
	budget := m.Plan.Budgets.MaxPropagation.Seconds()
	ratio := perScope(func(scope Scope) Figure { return seconds(scope).times(1 / budget) })
	return Check{Situation: situation, Role: Manager, Resource: Propagation, Ratio: ratio, Mechanism: mechanism}
}

// propagation returns the seconds until the last manager has sent the commands for a change. It is the time measured
// with the small managers of package scale, plus the longest decision of a manager of the plan's size on its share of
// a core, because a change may have to wait for that decision.
func (m *Model) propagation(scope Scope) Figure {
	return m.allManagers(scale.PropagationLast).plus(m.waitForDecision(scope))
}

// propagationDuringOpenings returns the propagation time if all managers open at the time of the change. Without a
// measurement it is the time of the change alone plus the time that a control machine needs for its openings.
func (m *Model) propagationDuringOpenings(scope Scope) Figure {
	if !m.Costs.measured(scale.PropagationDuringOpeningsLast) {
		return m.propagation(scope).plus(m.allOpenings(scope))
	}
	return m.propagationWithListRead(scale.PropagationDuringOpeningsLast, scope)
}

// propagationDuringControlLoss returns the propagation time if two control machines are lost at the time of the
// change.
func (m *Model) propagationDuringControlLoss(scope Scope) Figure {
	return m.propagationWithListRead(scale.PropagationDuringControlLossLast, scope)
}

// propagationWithListRead returns a propagation time that was measured with managers that read a complete list of the
// plan's size and keep a subset of it. Their time for reading the list is replaced with that of the given scope.
func (m *Model) propagationWithListRead(cost scale.Cost, scope Scope) Figure {
	difference := m.listReadTime(scope).plus(m.listReadTime(Subset).times(-1))
	return m.allManagers(cost).plus(difference.times(1 / m.Plan.Budgets.Core)).plus(m.waitForDecision(scope))
}

// listReadTime returns the processor time that a manager needs to read the list that it is sent at an opening.
func (m *Model) listReadTime(scope Scope) Figure {
	counts := m.Plan.normalServerCounts(scope)
	if scope == Subset {
		return m.cost(scale.CPUPerSubsetRead, Sizes{scale.OpeningListSize: counts.sent})
	}
	return m.cost(scale.CPUPerListRead, m.listSizes(scale.CPUPerListRead, counts.sent))
}

// allManagers returns a cost at the number of managers of the plan.
func (m *Model) allManagers(cost scale.Cost) Figure {
	return m.cost(cost, Sizes{scale.Managers: float64(m.Plan.Fleet.Managers)})
}

// waitForDecision returns the time of the longest decision on a manager's share of a core.
func (m *Model) waitForDecision(scope Scope) Figure {
	decision := m.cost(scale.LongestDecision, m.managerSizes(m.Plan.normalServerCounts(scope)))
	return decision.times(1 / m.Plan.Budgets.Core)
}

// allOpenings returns the time that a control machine's cores need for the openings of all its managers, which a
// change may have to wait for.
func (m *Model) allOpenings(scope Scope) Figure {
	quiet := m.Plan.situations()[0]
	opening := m.cost(scale.ControlCPUPerManager, m.controlSizes(scale.ControlCPUPerManager, quiet, m.Plan.normalServerCounts(scope)))
	return opening.times(m.managersPerControlMachine(quiet) / float64(m.Plan.Control.Cores))
}
