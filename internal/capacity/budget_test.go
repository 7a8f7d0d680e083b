package capacity

import (
	"slices"
	"strings"
	"testing"
)

func TestSubsetNeverCostsMore(t *testing.T) {
	m := NewModel(repositoryPlan(t), exampleSlopes(t))
	for _, c := range m.Checks() {
		complete := c.Ratio[WholeList].Value
		subset := c.Ratio[Subset].Value
		cached := c.Ratio[CachedSubset].Value
		if subset > complete+1e-9 || cached > subset+1e-9 {
			t.Errorf("%s, %s, %s: a smaller scope costs more: %v with the whole list, %v with a subset, %v with a subset at a watch cache",
				c.Situation, c.Role, c.Resource, complete, subset, cached)
		}
	}
}

func checkWithRatio(ratio float64, m Mechanism) Check {
	return Check{Ratio: map[Scope]Figure{WholeList: known(ratio), Subset: known(ratio / 10), CachedSubset: known(ratio / 100)}, Mechanism: m}
}

func TestRankingOfMissingMechanisms(t *testing.T) {
	all := []Check{checkWithRatio(2, watchCache), checkWithRatio(30, aggregation), checkWithRatio(0.5, subsetting),
		checkWithRatio(20, subsetting), checkWithRatio(5, watchCache), checkWithRatio(40, delta),
		{Ratio: map[Scope]Figure{}, Mechanism: watchCache}}
	var got []float64
	for _, c := range Ranking(all) {
		got = append(got, c.Ratio[WholeList].Value)
	}
	if !slices.Equal(got, []float64{20, 5, 2, 0.5}) {
		t.Errorf("ranking of missing mechanisms: got ratios %v, want [20 5 2 0.5]", got)
	}
	ranks := MechanismRanks(all)
	if len(ranks) != 2 || ranks[0].Mechanism.Name != "subsetting" || ranks[1].Mechanism.Name != "watch cache" {
		t.Fatalf("got ranks %+v, want subsetting before watch cache", ranks)
	}
	if s := ranks[0]; s.ExceededRows != 1 || s.ResolvedRows != 0 {
		t.Errorf("subsetting: got %d rows over budget and %d resolved, want 1 and 0 (the ratio 20 becomes 2)", s.ExceededRows, s.ResolvedRows)
	}
	if s := ranks[1]; s.ExceededRows != 2 || s.ResolvedRows != 2 {
		t.Errorf("watch cache: got %d rows over budget and %d resolved, want 2 and 2", s.ExceededRows, s.ResolvedRows)
	}
	exceeded := ExceededDespiteMechanism(all)
	if len(exceeded) != 2 || exceeded[0].Mechanism.Name != delta.Name || exceeded[1].Mechanism.Name != aggregation.Name {
		t.Errorf("exceeded despite a mechanism: got %+v, want %s before %s", exceeded, delta.Name, aggregation.Name)
	}
}

func TestBuiltMechanismStaysInTheRanking(t *testing.T) {
	built := subsetting
	built.Status = Implemented
	if got := Ranking([]Check{checkWithRatio(3, built)}); len(got) != 1 {
		t.Errorf("got %d rows, want 1", len(got))
	}
}

func TestExceededBudgetsByScope(t *testing.T) {
	all := []Check{checkWithRatio(20, subsetting), checkWithRatio(5, watchCache), checkWithRatio(1, delta)}
	for scope, want := range map[Scope]int{WholeList: 2, Subset: 1, CachedSubset: 0} {
		if got := len(ExceededBudgets(all, scope)); got != want {
			t.Errorf("%s: got %d exceeded budgets, want %d", scope, got, want)
		}
	}
}

func TestVerdictUsesScopeFromPlan(t *testing.T) {
	p := repositoryPlan(t)
	for _, scope := range Scopes {
		p.VerdictScope = scope
		m := NewModel(p, exampleSlopes(t))
		var out strings.Builder
		exceeded := m.WriteTables(&out)
		if len(exceeded) == 0 || !strings.Contains(out.String(), "scope that the plan judges, `"+string(scope)+"`") {
			t.Errorf("%s: got %d exceeded budgets, want at least one and a verdict for this scope", scope, len(exceeded))
		}
		for _, c := range exceeded {
			if !strings.Contains(out.String(), "- "+c.Situation+", "+string(c.Role)+": "+string(c.Resource)) {
				t.Errorf("%s: the verdict does not list %s, %s, %s", scope, c.Situation, c.Role, c.Resource)
			}
		}
	}
}

func TestPlanWithinItsBudgets(t *testing.T) {
	m := NewModel(smallPlan(t), exampleSlopes(t))
	var out strings.Builder
	if exceeded := m.WriteTables(&out); len(exceeded) > 0 {
		t.Errorf("got exceeded budgets %+v, want none", exceeded)
	}
	if !strings.Contains(out.String(), "No budget is passed") {
		t.Error("the verdict does not say that no budget is exceeded")
	}
}

func TestLimits(t *testing.T) {
	m := NewModel(repositoryPlan(t), exampleSlopes(t))
	exceeded := map[string][]Scope{}
	for _, l := range m.Limits() {
		for _, scope := range Scopes {
			if l.Exceeded(scope) {
				exceeded[l.Name] = append(exceeded[l.Name], scope)
			}
		}
	}
	for name, want := range map[string][]Scope{
		"bytes of a whole list, which is one line":                    nil,
		"seconds of a whole list, sent at the budget's pace":          Scopes,
		"lines of a table, all of which the binding of a proxy sends": {WholeList},
		"proxies of all managers, and their numbers":                  Scopes,
		"servers asked at once":                                       {WholeList},
		"traffic groups":                                              nil,
	} {
		if !slices.Equal(exceeded[name], want) {
			t.Errorf("%s: exceeded in scopes %v, want %v", name, exceeded[name], want)
		}
	}
}
