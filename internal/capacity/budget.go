package capacity

import (
	"cmp"
	"slices"
)

// Resource is a quantity that a budget limits.
type Resource string

// Resources. The strict variants count everything except requests; the others also leave out what collectors send.
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
	Ratio     map[Scope]Figure // usage divided by the budget
	Mechanism Mechanism
}

// Exceeded reports whether the measured part of the usage exceeds the budget in a scope.
func (c Check) Exceeded(scope Scope) bool { return c.Ratio[scope].Value > 1 }

const bytesPerMB = 1 << 20

// Checks compares the load of every role that has budgets with those budgets, in the order of the situations.
func (m *Model) Checks() []Check {
	situations := m.Plan.situations()
	all := []Check{m.check(Manager, Memory, situations[0])} // memory is the same in all situations
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

// spending returns how much of a resource a load uses.
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

// budget returns the budget of a role for a resource.
func (m *Model) budget(role Role, resource Resource) float64 {
	if role == ControlMachine {
		return m.Plan.Control.budget(resource)
	}
	return m.Plan.Budgets.budget(resource)
}

// budget returns how much of a resource one control machine has.
func (c ControlMachines) budget(resource Resource) float64 {
	switch resource {
	case CoreStrict:
		return float64(c.Cores)
	case Memory:
		return c.MemoryMB * bytesPerMB
	}
	return c.BytesPerSecond
}

// budget returns how much of a resource one manager may use.
func (b Budgets) budget(resource Resource) float64 {
	switch resource {
	case CoreStrict, CoreWithoutCollectors:
		return b.Core
	case Memory:
		return b.MemoryMB * bytesPerMB
	}
	return b.BytesPerSecond
}

// Ranking returns the checks whose mechanism is missing or was built because of this ranking, sorted by the ratio with
// the whole list, largest first. The mechanism of the first check is the one to build first.
func Ranking(all []Check) []Check {
	var ranked []Check
	for _, c := range all {
		if (c.Mechanism.Status == Missing || c.Mechanism.KeptInRanking) && c.Ratio[WholeList].Value > 0 {
			ranked = append(ranked, c)
		}
	}
	sortWorstFirst(ranked)
	return ranked
}

// ExceededDespiteMechanism returns the checks that exceed their budget with the whole list although their mechanism is
// at least partly implemented, sorted by ratio, largest first.
func ExceededDespiteMechanism(all []Check) []Check {
	var exceeded []Check
	for _, c := range ExceededBudgets(all, WholeList) {
		if c.Mechanism.Status != Missing && !c.Mechanism.KeptInRanking {
			exceeded = append(exceeded, c)
		}
	}
	sortWorstFirst(exceeded)
	return exceeded
}

// sortWorstFirst sorts checks by their ratio with the whole list, largest first.
func sortWorstFirst(checks []Check) {
	slices.SortStableFunc(checks, func(a, b Check) int {
		return cmp.Compare(b.Ratio[WholeList].Value, a.Ratio[WholeList].Value)
	})
}

// ExceededBudgets returns the checks that exceed their budget in a scope.
func ExceededBudgets(all []Check, scope Scope) []Check {
	var exceeded []Check
	for _, c := range all {
		if c.Exceeded(scope) {
			exceeded = append(exceeded, c)
		}
	}
	return exceeded
}

// MechanismRank summarizes the rows of one mechanism in the ranking.
type MechanismRank struct {
	Mechanism    Mechanism
	Worst        Check // the row with the largest ratio
	ExceededRows int   // rows over budget with the whole list
	ResolvedRows int   // those of ExceededRows that are within budget in the scope that the mechanism creates
}

// MechanismRanks returns the mechanisms of the ranking, the one with the largest ratio first.
func MechanismRanks(all []Check) []MechanismRank {
	var ranks []MechanismRank
	for _, c := range Ranking(all) {
		i := slices.IndexFunc(ranks, func(s MechanismRank) bool { return s.Mechanism.Name == c.Mechanism.Name })
		if i < 0 {
			i = len(ranks)
			ranks = append(ranks, MechanismRank{Mechanism: c.Mechanism, Worst: c})
		}
		if !c.Exceeded(WholeList) {
			continue
		}
		ranks[i].ExceededRows++
		if !c.Exceeded(scopeWithMechanism(c.Mechanism)) {
			ranks[i].ResolvedRows++
		}
	}
	return ranks
}

// scopeWithMechanism returns the scope that a mechanism creates.
func scopeWithMechanism(m Mechanism) Scope {
	if m.Name == subsetting.Name {
		return Subset
	}
	return CachedSubset
}
