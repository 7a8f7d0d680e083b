package faultsim

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tamarindshore/internal/sexp"
)

func TestScenarioErrorsNameFileLineAndKey(t *testing.T) {
	for _, one := range []struct{ name, text, want string }{
		{"empty", "", "f:1: expected exactly one form (scenario ...)"},
		{"another form", "(replay (seed 1))", "f:1: expected exactly one form (scenario ...)"},
		{"two forms", "(scenario) (scenario)", "f:1: expected exactly one form (scenario ...)"},
		{"open bracket", "(scenario\n (zones 2)", "f:2: a parenthesis is not closed"},
		{"unknown key", "(scenario\n (racks 2))", "f:2: racks: unknown key"},
		{"key twice", "(scenario (zones 2)\n (zones 2))", "f:2: zones: "},
		{"no value", "(scenario\n (zones))", "f:2: zones: expected exactly one value"},
		{"no number", "(scenario\n (zones many))", "f:2: zones: many is not an integer between 1 and 16"},
		{"integer out of range", "(scenario\n (zones 17))", "f:2: zones: 17 is not an integer between 1 and 16"},
		{"number out of range", "(scenario\n (rate 0))", "f:2: rate: 0 is not a number between 0.01 and 10000"},
		{"no duration", "(scenario\n (service 5))", "f:2: service: 5 is not a duration"},
		{"reversed range", "(scenario\n (transit (least 2s) (most 1s)))", "f:2: transit: most 1s is less than least 2s"},
		{"reversed counts", "(scenario (faults (least 5) (most 4)))", "f:1: faults: most 4 is less than least 5"},
		{"unknown fault", "(scenario (weights\n (fire 1)))", "f:2: fire: unknown key"},
		{"negative weight", "(scenario (weights\n (crash -1)))", "f:2: crash: -1 is not a number between 0 and 100"},
	} {
		t.Run(one.name, func(t *testing.T) {
			_, err := ParseScenario("f", []byte(one.text))
			if err == nil || !strings.HasPrefix(err.Error(), one.want) {
				t.Errorf("got %v, want %s", err, one.want)
			}
		})
	}
}

func TestScriptErrorsNameFileLineAndKey(t *testing.T) {
	for _, one := range []struct{ name, text, want string }{
		{"empty", "", "f:1: expected exactly one form (replay ...)"},
		{"another form", "(scenario)", "f:1: expected exactly one form (replay ...)"},
		{"open bracket", "(replay\n (seed 1)", "f:2: a parenthesis is not closed"},
		{"no seed", "(replay)", "f:1: seed: is missing"},
		{"negative seed", "(replay\n (seed -1))", "f:2: seed: -1 is not an integer"},
		{"unknown fault", "(replay (seed 1)\n (fire (at 1s)))", "f:2: fire: unknown key"},
		{"no duration", "(replay (seed 1)\n (crash (at 1s) (part 1) (whom 1)))", "f:2: for: is missing"},
		{"fraction over 1", "(replay (seed 1)\n (crash (at 1s) (for 1s) (part 1.5) (whom 1)))", "f:2: part: 1.5 is not a number between 0 and 1"},
		{"late", "(replay (seed 1)\n (crash (at 2h) (for 1s) (part 1) (whom 1)))", "f:2: at: 2h is not a duration"},
	} {
		t.Run(one.name, func(t *testing.T) {
			_, err := ParseScript("f", []byte(one.text))
			if err == nil || !strings.HasPrefix(err.Error(), one.want) {
				t.Errorf("got %v, want %s", err, one.want)
			}
		})
	}
}

func TestFileErrorsAreTyped(t *testing.T) {
	for _, one := range []struct {
		text string
		line int
	}{{"(other)", 1}, {"(scenario\n (zones 17))", 2}, {"(scenario (faults (least 5) (most 4)))", 1}} {
		var file *sexp.Error
		if _, err := ParseScenario("f", []byte(one.text)); !errors.As(err, &file) || file.File != "f" || file.Line != one.line {
			t.Errorf("scenario %q: got error %v, want a sexp.Error at f:%d", one.text, err, one.line)
		}
	}
	for _, one := range []struct {
		text string
		line int
	}{{"(other)", 1}, {"(replay (seed 1)\n (fire))", 2}} {
		var file *sexp.Error
		if _, err := ParseScript("g", []byte(one.text)); !errors.As(err, &file) || file.File != "g" || file.Line != one.line {
			t.Errorf("replay %q: got error %v, want a sexp.Error at g:%d", one.text, err, one.line)
		}
	}
	if _, err := ReadScenario(filepath.Join(t.TempDir(), "none.sexp")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: got %v, want fs.ErrNotExist", err)
	}
}

// In this scenario several servers exceed a limit at the same time. The reported violation must not depend on the
// iteration order of a map.
func TestSameSeedGivesSameVerdict(t *testing.T) {
	s := DefaultScenario()
	s.DrainGracePeriod = 100 * time.Millisecond
	s.MaxTimeWithoutServer = 200 * time.Millisecond
	s.OverloadFactor = 1
	s.MaxOverloadTime = 300 * time.Millisecond
	want := ""
	for range 20 {
		violation, _ := Run(s, GenerateScript(s, 6), nil)
		if violation == nil || violation.Rule != RuleDrainsKept {
			t.Fatalf("got violation %v, want one of rule %q", violation, RuleDrainsKept)
		}
		if want == "" {
			want = violation.String()
		}
		if got := violation.String(); got != want {
			t.Fatalf("got %s, want the verdict of the first run: %s", got, want)
		}
	}
}
