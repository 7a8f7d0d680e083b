package capacity

import (
	"cmp"
	"slices"
)

// Resource is what a budget bounds.
type Resource string

// Resources. In the strict reading all that is no request counts; beside it stands the reading without collectors' lines.
const (
	CoreStrict            Resource = "core, strict"
	CoreWithoutCollectors Resource = "core, without collectors' lines"
	Memory                Resource = "memory"
	BytesStrict           Resource = "bytes, strict"
	BytesWithout          Resource = "bytes, without collectors' lines"
	InForce               Resource = "change in force"
)

// Check holds one role's load in one situation against one budget.
type Check struct {
	Situation string
	Role      Role
	Resource  Resource
	Ratio     map[Scope]Figure // of what is spent to the budget
	Mechanism Mechanism
}

// Passed tells whether a budget is passed in a scope, by what was measured of it.
func (c Check) Passed(scope Scope) bool { return c.Ratio[scope].Value > 1 }

const bytesPerMB = 1 << 20

// Checks holds all roles that have a budget against it, in the order of the situations.
func (m *Model) Checks() []Check {
	situations := m.Plan.situations()
	all := []Check{m.check(Manager, Memory, situations[0])} // it is the same in all
	for _, s := range situations {
		for _, resource := range []Resource{CoreStrict, CoreWithoutCollectors, BytesStrict, BytesWithout} {
			all = append(all, m.check(Manager, resource, s))
		}
		for _, resource := range []Resource{CoreStrict, Memory, BytesStrict} {
			all = append(all, m.check(ControlMachine, resource, s))
		}
	}
	return append(all, m.inForce()...)
}

func (m *Model) check(role Role, resource Resource, s Situation) Check {
	c := Check{Situation: s.Name, Role: role, Resource: resource, Ratio: map[Scope]Figure{}, Mechanism: carrying(role, resource, s)}
	if role == Manager && resource == BytesStrict {
		c.Mechanism = carryingStrict(m.manager(s, WholeList), s)
	}
	for _, scope := range Scopes {
		c.Ratio[scope] = m.spent(m.Load(role, s, scope), resource).times(1 / m.budget(role, resource))
	}
	return c
}

func (m *Model) spent(l Load, resource Resource) Figure {
	switch resource {
	case CoreStrict:
		return l.Core
	case CoreWithoutCollectors:
		return l.CoreWithoutCollectors
	case Memory:
		return l.Memory
	case BytesStrict:
		return l.bytes()
	}
	return l.bytesWithoutCollectors()
}

func (m *Model) budget(role Role, resource Resource) float64 {
	b, c := m.Plan.Budgets, m.Plan.Control
	switch {
	case role == ControlMachine && resource == CoreStrict:
		return float64(c.Cores)
	case role == ControlMachine && resource == Memory:
		return c.MemoryMB * bytesPerMB
	case role == ControlMachine:
		return c.BytesPerSecond
	case resource == CoreStrict, resource == CoreWithoutCollectors:
		return b.Core
	case resource == Memory:
		return b.MemoryMB * bytesPerMB
	}
	return b.BytesPerSecond
}

// Ranking is the checks whose mechanism is missing, the worst first by what is spent with the whole list. It chooses the
// mechanism that is built first.
func Ranking(all []Check) []Check {
	var ranked []Check
	for _, c := range all {
		if (c.Mechanism.Status == Missing || c.Mechanism.Chosen) && c.Ratio[WholeList].Value > 0 {
			ranked = append(ranked, c)
		}
	}
	slices.SortStableFunc(ranked, func(a, b Check) int {
		return cmp.Compare(b.Ratio[WholeList].Value, a.Ratio[WholeList].Value)
	})
	return ranked
}

// PassedPartly are the checks that pass their budget with the whole list though their mechanism stands, wholly or in
// part, the worst first.
func PassedPartly(all []Check) []Check {
	var passed []Check
	for _, c := range PassedBudgets(all, WholeList) {
		if c.Mechanism.Status != Missing && !c.Mechanism.Chosen {
			passed = append(passed, c)
		}
	}
	slices.SortStableFunc(passed, func(a, b Check) int {
		return cmp.Compare(b.Ratio[WholeList].Value, a.Ratio[WholeList].Value)
	})
	return passed
}

// PassedBudgets are the checks that pass their budget in a scope.
func PassedBudgets(all []Check, scope Scope) []Check {
	var passed []Check
	for _, c := range all {
		if c.Passed(scope) {
			passed = append(passed, c)
		}
	}
	return passed
}

// Standing is how one missing mechanism fares in the ranking.
type Standing struct {
	Mechanism Mechanism
	Worst     Check
	Passed    int // rows over budget with the whole list
	Mended    int // of them, rows under budget in the scope that the mechanism makes
}

// Standings are the missing mechanisms, the one with the worst row first.
func Standings(all []Check) []Standing {
	var standings []Standing
	for _, c := range Ranking(all) {
		i := slices.IndexFunc(standings, func(s Standing) bool { return s.Mechanism.Name == c.Mechanism.Name })
		if i < 0 {
			i = len(standings)
			standings = append(standings, Standing{Mechanism: c.Mechanism, Worst: c})
		}
		if !c.Passed(WholeList) {
			continue
		}
		standings[i].Passed++
		if !c.Passed(scopeMadeBy(c.Mechanism)) {
			standings[i].Mended++
		}
	}
	return standings
}

// scopeMadeBy is the scope that a mechanism makes.
func scopeMadeBy(m Mechanism) Scope {
	if m.Name == subsetting.Name {
		return Subset
	}
	return CachedSubset
}
