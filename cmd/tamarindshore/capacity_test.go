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

func TestCapacityReturnsItsVerdict(t *testing.T) {
	if err := (capacityCommand{Plan: capacityPlan, Slopes: testSlopes}).Run(); !errors.Is(err, errBadVerdict) {
		t.Errorf("budgets are passed: %v, not %v", err, errBadVerdict)
	}
	rich := planFile(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", "(core 100%)")
	if err := (capacityCommand{Plan: rich, Slopes: testSlopes}).Run(); err != nil {
		t.Errorf("no budget is passed: %v", err)
	}
	const coreBetween = "(core 2%)" // over what a subset takes while it is widened, under what the whole list takes
	const judgedSubset, judgedWhole = "(judged subset)", "(judged whole-list)"
	onlyCore := planFile(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", coreBetween, judgedSubset, judgedWhole)
	if err := (capacityCommand{Plan: onlyCore, Slopes: testSlopes}).Run(); !errors.Is(err, errBadVerdict) {
		t.Errorf("the core's budget alone is passed: %v, not %v", err, errBadVerdict)
	}
	divided := planFile(t, "(bytes-per-second 8000)", generousBudget, "(core 1.1%)", coreBetween, judgedWhole, judgedSubset)
	if err := (capacityCommand{Plan: divided, Slopes: testSlopes}).Run(); err != nil {
		t.Errorf("with a subset no budget is passed: %v", err)
	}
}

func TestCapacityNamesInvalidFiles(t *testing.T) {
	missing := planFile(t, "(servers 24000)", "")
	cut := filepath.Join(t.TempDir(), "cut.json")
	if err := os.WriteFile(cut, []byte(`{"version": 1, "slopes": [`), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, one := range map[string]struct {
		command capacityCommand
		want    string
	}{
		"plan":       {capacityCommand{Plan: missing, Slopes: testSlopes}, `^plan\.sexp:[0-9]+: servers: is missing$`},
		"slopes":     {capacityCommand{Plan: capacityPlan, Slopes: cut}, `^cut\.json:1: slopes: the file is cut short$`},
		"no plan":    {capacityCommand{Plan: "none.sexp", Slopes: testSlopes}, `none\.sexp`},
		"no slopes":  {capacityCommand{Plan: capacityPlan, Slopes: "none.json"}, `none\.json`},
		"no page":    {capacityCommand{Plan: capacityPlan, Slopes: testSlopes, Page: "none.md"}, `none\.md`},
		"other page": {capacityCommand{Plan: capacityPlan, Slopes: testSlopes, Page: testSlopes}, `slopes\.json: the page has no marks`},
	} {
		err := one.command.Run()
		if err == nil || errors.Is(err, errBadVerdict) || !regexp.MustCompile(one.want).MatchString(err.Error()) {
			t.Errorf("%s: %v, not %s", name, err, one.want)
		}
	}
}
