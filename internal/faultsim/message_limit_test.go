package faultsim

import (
	"path/filepath"
	"testing"
)

// manyDrainsScenario returns a scenario in which many servers drain at overlapping times, calls are not answered and
// proxies reconnect, under a limit on the messages to one proxy.
func manyDrainsScenario(t *testing.T, maxMessages int) Scenario {
	t.Helper()
	s, err := ReadScenario(filepath.Join("testdata", "many-drains.sexp"))
	if err != nil {
		t.Fatal(err)
	}
	s.MaxMessages = maxMessages
	return s
}

// Regression test: drains and repeated calls used up the message limit, and later drains missed their grace. A run ends at
// its first violation, and those of other rules are reported by TestManyDrainsKeepAllRules.
func TestManyDrainsKeepTheirGraceUnderAMessageLimit(t *testing.T) {
	found, simulated := SearchSeeds(manyDrainsScenario(t, 20), 1, 200, 4, true, func(int) {})
	for _, f := range found {
		if rule := f.Violation.Rule; rule == RuleDrainsKept || rule == RuleShortQueue {
			t.Errorf("seed %d: got violation %v", f.Script.Seed, f.Violation)
		}
	}
	if simulated != 200 {
		t.Errorf("%d seeds were simulated, want 200", simulated)
	}
}

// All rules must hold when most servers are replaced within seconds.
func TestManyDrainsKeepAllRules(t *testing.T) {
	for _, maxMessages := range []int{14, 20} {
		found, _ := SearchSeeds(manyDrainsScenario(t, maxMessages), 1, 600, 4, true, func(int) {})
		for _, f := range found {
			t.Errorf("%d messages, seed %d: got violation %v", maxMessages, f.Script.Seed, f.Violation)
		}
	}
}
