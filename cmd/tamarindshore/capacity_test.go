package main

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	capacityPlan   = "../../deploy/capacity.sexp"
	testSlopes     = "../../internal/capacity/testdata/slopes.json"
	generousBudget = "(bytes-per-second 1000000)"
)

// writePlan writes a copy of the repository's plan with changes, which are pairs of old and new text, and returns its path.
func writePlan(t *testing.T, changes ...string) string {
	t.Helper()
	text, err := os.ReadFile(capacityPlan)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "plan.sexp")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(changes...).Replace(string(text))), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCapacityReportsExceededBudgets(t *testing.T) {
	if err := (capacityCommand{Plan: capacityPlan, Slopes: testSlopes}).Run(); !errors.Is(err, errViolation) {
		t.Errorf("exceeded budgets: got error %v, want %v", err, errViolation)
	}
	highBudgets := writePlan(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", "(core 100%)")
	if err := (capacityCommand{Plan: highBudgets, Slopes: testSlopes}).Run(); err != nil {
		t.Errorf("no exceeded budget: got error %v, want none", err)
	}
	const coreBudget = "(core 2%)" // above the cost of a widened subset, below the cost of the whole list
	const subsetScope, wholeListScope = "(judged subset)", "(judged whole-list)"
	wholeListPlan := writePlan(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", coreBudget, subsetScope, wholeListScope)
	if err := (capacityCommand{Plan: wholeListPlan, Slopes: testSlopes}).Run(); !errors.Is(err, errViolation) {
		t.Errorf("only the core budget exceeded: got error %v, want %v", err, errViolation)
	}
	subsetPlan := writePlan(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", coreBudget, wholeListScope, subsetScope)
	if err := (capacityCommand{Plan: subsetPlan, Slopes: testSlopes}).Run(); err != nil {
		t.Errorf("no exceeded budget with a subset: got error %v, want none", err)
	}
}

func TestCapacityErrorsNameTheFile(t *testing.T) {
	missing := writePlan(t, "(servers 24000)", "")
	truncated := filepath.Join(t.TempDir(), "cut.json")
	if err := os.WriteFile(truncated, []byte(`{"version": 1, "slopes": [`), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		command capacityCommand
		want    string
	}{
		"plan":       {capacityCommand{Plan: missing, Slopes: testSlopes}, `^plan\.sexp:[0-9]+: servers: is missing$`},
		"slopes":     {capacityCommand{Plan: capacityPlan, Slopes: truncated}, `^cut\.json:1: slopes: unexpected end of file$`},
		"no plan":    {capacityCommand{Plan: "none.sexp", Slopes: testSlopes}, `none\.sexp`},
		"no slopes":  {capacityCommand{Plan: capacityPlan, Slopes: "none.json"}, `none\.json`},
		"no page":    {capacityCommand{Plan: capacityPlan, Slopes: testSlopes, Page: "none.md"}, `none\.md`},
		"other page": {capacityCommand{Plan: capacityPlan, Slopes: testSlopes, Page: testSlopes}, `slopes\.json: the page has no begin and end markers`},
	} {
		err := test.command.Run()
		if err == nil || errors.Is(err, errViolation) || !regexp.MustCompile(test.want).MatchString(err.Error()) {
			t.Errorf("%s: got error %v, want match for %s", name, err, test.want)
		}
	}
}
