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
	madeUpSlopes   = "../../internal/capacity/testdata/slopes.json"
	generousBudget = "(bytes-per-second 1000000)"
)

// planFile writes a plan that differs from the repository's.
func planFile(t *testing.T, changes ...string) string {
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

func TestCapacityEndsByItsVerdict(t *testing.T) {
	if err := (capacityCmd{Plan: capacityPlan, Slopes: madeUpSlopes}).Run(); !errors.Is(err, errNotGood) {
		t.Errorf("budgets are passed: %v, not %v", err, errNotGood)
	}
	rich := planFile(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", "(core 100%)")
	if err := (capacityCmd{Plan: rich, Slopes: madeUpSlopes}).Run(); err != nil {
		t.Errorf("no budget is passed: %v", err)
	}
	const coreBetween = "(core 2%)" // over what a subset takes while it is widened, under what the whole list takes
	const judgedSubset, judgedWhole = "(judged subset)", "(judged whole-list)"
	onlyCore := planFile(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", coreBetween, judgedSubset, judgedWhole)
	if err := (capacityCmd{Plan: onlyCore, Slopes: madeUpSlopes}).Run(); !errors.Is(err, errNotGood) {
		t.Errorf("the core's budget alone is passed: %v, not %v", err, errNotGood)
	}
	divided := planFile(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", coreBetween, judgedWhole, judgedSubset)
	if err := (capacityCmd{Plan: divided, Slopes: madeUpSlopes}).Run(); err != nil {
		t.Errorf("with a subset no budget is passed: %v", err)
	}
}

func TestCapacityNamesWhatIsFaulty(t *testing.T) {
	missing := planFile(t, "(servers 24000)", "")
	cut := filepath.Join(t.TempDir(), "cut.json")
	if err := os.WriteFile(cut, []byte(`{"version": 1, "slopes": [`), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, one := range map[string]struct {
		command capacityCmd
		want    string
	}{
		"plan":       {capacityCmd{Plan: missing, Slopes: madeUpSlopes}, `^plan\.sexp:[0-9]+: servers: is missing$`},
		"slopes":     {capacityCmd{Plan: capacityPlan, Slopes: cut}, `^cut\.json:1: slopes: the file is cut short$`},
		"no plan":    {capacityCmd{Plan: "none.sexp", Slopes: madeUpSlopes}, `none\.sexp`},
		"no slopes":  {capacityCmd{Plan: capacityPlan, Slopes: "none.json"}, `none\.json`},
		"no page":    {capacityCmd{Plan: capacityPlan, Slopes: madeUpSlopes, Page: "none.md"}, `none\.md`},
		"other page": {capacityCmd{Plan: capacityPlan, Slopes: madeUpSlopes, Page: madeUpSlopes}, `slopes\.json: the page has no marks`},
	} {
		err := one.command.Run()
		if err == nil || errors.Is(err, errNotGood) || !regexp.MustCompile(one.want).MatchString(err.Error()) {
			t.Errorf("%s: %v, not %s", name, err, one.want)
		}
	}
}
