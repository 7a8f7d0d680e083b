package capacity

import (
	"errors"
	"io/fs"
	"regexp"
	"slices"
	"strings"
	"testing"

	"tamarindshore/internal/sexp"
)

// keyLine matches a line of the plan that sets a single key to a number or duration.
var keyLine = regexp.MustCompile(`^\s*\(([a-z-]+) ([0-9][^\s()]*)\)`)

func TestInvalidValueOfAnyPlanKeyIsRejected(t *testing.T) {
	lines := strings.Split(readFile(t, planFile), "\n")
	keys := 0
	for i, line := range lines {
		found := keyLine.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		keys++
		key := found[1]
		value := found[2]
		original := "(" + key + " " + value + ")"
		for defect, replacement := range map[string]string{
			"missing":       "",
			"negative":      "(" + key + " -1)",
			"not a number":  "(" + key + " many)",
			"out of range":  "(" + key + " 1e300)",
			"without value": "(" + key + ")",
			"twice":         original + " " + original,
		} {
			changed := slices.Clone(lines)
			changed[i] = strings.Replace(line, original, replacement, 1)
			_, err := ParsePlan("plan.sexp", []byte(strings.Join(changed, "\n")))
			if err == nil {
				t.Errorf("%s, %s: got no error", key, defect)
				continue
			}
			if !regexp.MustCompile(`^plan\.sexp:[0-9]+: .*`+key).MatchString(err.Error()) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s, %s: got error %q, want one line with file, line and key", key, defect, err)
			}
		}
	}
	const all = 8 + 5 + 8 + 1 + 4 + 12 + 3 + 9 // fleet, budgets, day, events, control machines, managers, subset, messages
	if keys != all {
		t.Errorf("got %d keys in the plan, want %d", keys, all)
	}
}

func TestInvalidPlansNameFileLineAndKey(t *testing.T) {
	plan := readFile(t, planFile)
	change := func(from, to string) string {
		if !strings.Contains(plan, from) {
			t.Fatalf("the plan does not contain %q", from)
		}
		return strings.Replace(plan, from, to, 1)
	}
	for name, test := range map[string]struct{ text, want string }{
		"empty":                   {"", `^plan\.sexp:1: expected exactly one form \(capacity \.\.\.\)$`},
		"other form":              {"(tamarindshore)", `^plan\.sexp:1: expected exactly one form`},
		"truncated":               {plan[:len(plan)/2], `^plan\.sexp:[0-9]+: a parenthesis is not closed$`},
		"unknown section":         {change("(subset ", "(subsets "), `^plan\.sexp:[0-9]+: subsets: unknown key`},
		"unknown key":             {change("(zones 88)", "(zones 88) (racks 3)"), `^plan\.sexp:[0-9]+: racks: unknown key`},
		"unknown scope":           {change("(judged subset)", "(judged half)"), `^plan\.sexp:[0-9]+: judged: half is not one of`},
		"missing scope":           {change("(judged subset)", ""), `^plan\.sexp:[0-9]+: judged: is missing$`},
		"more zones than servers": {change("(zones 88)", "(zones 24001)"), `^plan\.sexp:[0-9]+: zones: 24001 is more than the 24000 servers$`},
		"more regions than zones": {change("(regions 27)", "(regions 89)"), `^plan\.sexp:[0-9]+: regions: 89 is more than the 88 zones$`},
		"more home zones than zones": {change("(home-zones 1)", "(home-zones 89)"),
			`^plan\.sexp:[0-9]+: home-zones: 89 is more than the 88 zones$`},
		"not a number": {change("(core 1.1%)", "(core NaN)"), `^plan\.sexp:[0-9]+: core: NaN is not a number`},
		"not a boolean": {change("(list-stored yes)", "(list-stored perhaps)"),
			`^plan\.sexp:[0-9]+: list-stored: perhaps is not one of`},
		"missing boolean": {change("(list-stored yes)", ""), `^plan\.sexp:[0-9]+: list-stored: is missing$`},
		"duration without unit": {change("(change-in-force 19s)", "(change-in-force 19)"),
			`^plan\.sexp:[0-9]+: change-in-force: 19 is not a duration`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParsePlan("plan.sexp", []byte(test.text))
			if err == nil || !regexp.MustCompile(test.want).MatchString(err.Error()) {
				t.Errorf("got error %v, want match for %s", err, test.want)
			}
			var planError *sexp.Error
			if !errors.As(err, &planError) || planError.File != "plan.sexp" || planError.Line < 1 {
				t.Errorf("got error type %T, want *sexp.Error with file and line", err)
			}
		})
	}
	if _, err := ReadPlan("testdata/none.sexp"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing plan file: got error %v, want fs.ErrNotExist", err)
	}
}
