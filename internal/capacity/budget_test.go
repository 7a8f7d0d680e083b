package capacity

import (
	"slices"
	"strings"
	"testing"
)

func TestSubsetNeverCostsMore(t *testing.T) {
	m := NewModel(repositoryPlan(t), exampleSlopes(t))
	for _, c := range m.Checks() {
		whole := c.Ratio[WholeList].Value
		subset := c.Ratio[Subset].Value
		cached := c.Ratio[CachedSubset].Value
		if subset > whole+1e-9 || cached > subset+1e-9 {
			t.Errorf("%s, %s, %s: %v with the whole list, %v with a subset, %v with a cached one", c.Situation, c.Role, c.Resource, whole, subset, cached)
		}
	}
}

func checkOf(ratio float64, m Mechanism) Check {
	return Check{Ratio: map[Scope]Figure{WholeList: known(ratio), Subset: known(ratio / 10), CachedSubset: known(ratio / 100)}, Mechanism: m}
}

func TestRankingOfMissingMechanisms(t *testing.T) {
	all := []Check{checkOf(2, watchCache), checkOf(30, aggregate), checkOf(0.5, subsetting), checkOf(20, subsetting), checkOf(5, watchCache),
		checkOf(40, delta), {Ratio: map[Scope]Figure{}, Mechanism: watchCache}}
	var got []float64
	for _, c := range Ranking(all) {
		got = append(got, c.Ratio[WholeList].Value)
	}
	if !slices.Equal(got, []float64{20, 5, 2, 0.5}) {
		t.Errorf("the ranking of missing mechanisms: %v", got)
	}
	standings := MechanismRanks(all)
	if len(standings) != 2 || standings[0].Mechanism.Name != "subsetting" || standings[1].Mechanism.Name != "watch cache" {
		t.Fatalf("mechanisms: %+v", standings)
	}
	if s := standings[0]; s.ExceededRows != 1 || s.MendedRows != 0 {
		t.Errorf("subsetting: %d over budget, %d mended, not 1 and 0 (20 times becomes 2)", s.ExceededRows, s.MendedRows)
	}
	if s := standings[1]; s.ExceededRows != 2 || s.MendedRows != 2 {
		t.Errorf("watch cache: %d over budget, %d mended, not 2 and 2", s.ExceededRows, s.MendedRows)
	}
	partly := ExceededThoughBuilt(all)
	if len(partly) != 2 || partly[0].Mechanism.Name != delta.Name || partly[1].Mechanism.Name != aggregate.Name {
		t.Errorf("passed though their mechanism stands, or partly: %+v", partly)
	}
}

func TestBuiltMechanismStaysInTheRanking(t *testing.T) {
	built := subsetting
	built.Status = Stands
	if got := Ranking([]Check{checkOf(3, built)}); len(got) != 1 {
		t.Errorf("%d rows", len(got))
	}
}

func TestExceededBudgetsByScope(t *testing.T) {
	all := []Check{checkOf(20, subsetting), checkOf(5, watchCache), checkOf(1, delta)}
	for scope, want := range map[Scope]int{WholeList: 2, Subset: 1, CachedSubset: 0} {
		if got := len(ExceededBudgets(all, scope)); got != want {
			t.Errorf("%s: %d budgets passed, not %d", scope, got, want)
		}
	}
}

func TestVerdictFollowsTheJudgedScope(t *testing.T) {
	p := repositoryPlan(t)
	for _, scope := range Scopes {
		p.Judged = scope
		m := NewModel(p, exampleSlopes(t))
		var out strings.Builder
		passed := m.WriteTables(&out)
		if len(passed) == 0 || !strings.Contains(out.String(), "scope that the plan judges, `"+string(scope)+"`") {
			t.Errorf("%s: %d passed", scope, len(passed))
		}
		for _, c := range passed {
			if !strings.Contains(out.String(), "- "+c.Situation+", "+string(c.Role)+": "+string(c.Resource)) {
				t.Errorf("%s: %s, %s is not named", scope, c.Situation, c.Resource)
			}
		}
	}
}

func TestPlanWithinItsBudgets(t *testing.T) {
	m := NewModel(smallPlan(t), exampleSlopes(t))
	var out strings.Builder
	if passed := m.WriteTables(&out); len(passed) > 0 {
		t.Errorf("passed: %+v", passed)
	}
	if !strings.Contains(out.String(), "No budget is passed") {
		t.Error("it is not said")
	}
}

func TestLimits(t *testing.T) {
	m := NewModel(repositoryPlan(t), exampleSlopes(t))
	passed := map[string][]Scope{}
	for _, l := range m.Limits() {
		for _, scope := range Scopes {
			if l.Exceeded(scope) {
				passed[l.What] = append(passed[l.What], scope)
			}
		}
	}
	for what, want := range map[string][]Scope{
		"bytes of a whole list, which is one line":                    nil,
		"seconds of a whole list, sent at the budget's pace":          Scopes,
		"lines of a table, all of which the binding of a proxy sends": {WholeList},
		"proxies of all managers, and their numbers":                  Scopes,
		"servers asked at once":                                       {WholeList},
		"traffic groups":                                              nil,
	} {
		if !slices.Equal(passed[what], want) {
			t.Errorf("%s: passed with %v, not %v", what, passed[what], want)
		}
	}
}
