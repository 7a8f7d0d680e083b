package capacity

import (
	"cmp"
	"slices"
)

// Resource is what a budget bounds.
type Resource string

// Resources. In the strict reading all counts that is no request; the other leaves out what collectors send.
const (
	CoreStrict             Resource = "core, strict"
	CoreWithoutCollectors  Resource = "core, without collectors' lines"
	Memory                 Resource = "memory"
	BytesStrict            Resource = "bytes, strict"
	BytesWithoutCollectors Resource = "bytes, without collectors' lines"
	Propagation            Resource = "change in force"
)

// Check compares one role's load in one situation with one budget.
type Check struct {
	Situation string
	Role      Role
	Resource  Resource
	Ratio     map[Scope]Figure // of what is spent to the budget
	Mechanism Mechanism
}

// Exceeded reports whether a budget is exceeded in a scope, by what was measured of it.
func (c Check) Exceeded(scope Scope) bool { return c.Ratio[scope].Value > 1 }

const bytesPerMB = 1 << 20

// Checks compares all roles that have a budget with it, in the order of the situations.
func (m *Model) Checks() []Check {
	situations := m.Plan.situations()
	all := []Check{m.check(Manager, Memory, situations[0])} // it is the same in all
	for _, s := range situations {
		for _, resource := range []Resource{CoreStrict, CoreWithoutCollectors, BytesStrict, BytesWithoutCollectors} {
			all = append(all, m.check(Manager, resource, s))
		}
		for _, resource := range []Resource{CoreStrict, Memory, BytesStrict} {
			all = append(all, m.check(ControlMachine, resource, s))
		}
	}
	return append(all, m.propagationChecks()...)
}

func (m *Model) check(role Role, resource Resource, s Situation) Check {
	c := Check{Situation: s.Name, Role: role, Resource: resource, Ratio: map[Scope]Figure{}, Mechanism: mechanismFor(role, resource, s)}
	if role == Manager && resource == BytesStrict {
		c.Mechanism = mechanismForAllBytes(m.manager(s, WholeList), s)
	}
	for _, scope := range Scopes {
		c.Ratio[scope] = m.spending(m.Load(role, s, scope), resource).times(1 / m.budget(role, resource))
	}
	return c
}

func (m *Model) spending(l Load, resource Resource) Figure {
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
	if role == ControlMachine {
		return m.Plan.Control.budget(resource)
	}
	return m.Plan.Budgets.budget(resource)
}

// budget is what one control machine has of a resource.
func (c ControlMachines) budget(resource Resource) float64 {
	switch resource {
	case CoreStrict:
		return float64(c.Cores)
	case Memory:
		return c.MemoryMB * bytesPerMB
	}
	return c.BytesPerSecond
}

// budget is what one manager may spend of a resource.
func (b Budgets) budget(resource Resource) float64 {
	switch resource {
	case CoreStrict, CoreWithoutCollectors:
		return b.Core
	case Memory:
		return b.MemoryMB * bytesPerMB
	}
	return b.BytesPerSecond
}

// Ranking is the checks whose mechanism is missing, the worst first by what is spent with the whole list. The mechanism
// of the first is built first.
func Ranking(all []Check) []Check {
	var ranked []Check
	for _, c := range all {
		if (c.Mechanism.Status == Missing || c.Mechanism.Chosen) && c.Ratio[WholeList].Value > 0 {
			ranked = append(ranked, c)
		}
	}
	sortWorstFirst(ranked)
	return ranked
}

// ExceededThoughBuilt are the checks that exceed their budget with the whole list although their mechanism is built, at
// least in part; the worst first.
func ExceededThoughBuilt(all []Check) []Check {
	var passed []Check
	for _, c := range ExceededBudgets(all, WholeList) {
		if c.Mechanism.Status != Missing && !c.Mechanism.Chosen {
			passed = append(passed, c)
		}
	}
	sortWorstFirst(passed)
	return passed
}

// sortWorstFirst sorts checks by what is spent with the whole list.
func sortWorstFirst(checks []Check) {
	slices.SortStableFunc(checks, func(a, b Check) int {
		return cmp.Compare(b.Ratio[WholeList].Value, a.Ratio[WholeList].Value)
	})
}

// ExceededBudgets are the checks that exceed their budget in a scope.
func ExceededBudgets(all []Check, scope Scope) []Check {
	var passed []Check
	for _, c := range all {
		if c.Exceeded(scope) {
			passed = append(passed, c)
		}
	}
	return passed
}

// MechanismRank is how one missing mechanism fares in the ranking.
type MechanismRank struct {
	Mechanism    Mechanism
	Worst        Check
	ExceededRows int // rows over budget with the whole list
	MendedRows   int // of them, rows under budget in the scope that the mechanism makes
}

// MechanismRanks are the missing mechanisms, the one with the worst row first.
func MechanismRanks(all []Check) []MechanismRank {
	var standings []MechanismRank
	for _, c := range Ranking(all) {
		i := slices.IndexFunc(standings, func(s MechanismRank) bool { return s.Mechanism.Name == c.Mechanism.Name })
		if i < 0 {
			i = len(standings)
			standings = append(standings, MechanismRank{Mechanism: c.Mechanism, Worst: c})
		}
		if !c.Exceeded(WholeList) {
			continue
		}
		standings[i].ExceededRows++
		if !c.Exceeded(scopeMadeBy(c.Mechanism)) {
			standings[i].MendedRows++
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
