package versions

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// failingCheck is a test case with weights that fail a check.
type failingCheck struct {
	check         string
	weights       []balancer.EndpointWeight
	view          fakeFleet
	wantSent      int    // expected number of sent weights and admission levels; those for table 1 are valid
	wantLogRecord string // expected log record
}

func failingChecks() []failingCheck {
	return []failingCheck{
		{"invalid_number", []balancer.EndpointWeight{weight(0, "a0", math.NaN())}, allReady, 0,
			"event=version_check_failed check=invalid_number table=0 server=a0 weight=NaN"},
		{"unknown_server", []balancer.EndpointWeight{weight(0, "ghost", 5)}, fakeFleet{"ghost": {}}, 2,
			"event=version_check_failed check=unknown_server server=ghost table=0"},
		{"unavailable_server", []balancer.EndpointWeight{weight(0, "a0", 150)}, fakeFleet{"a0": unavailable}, 2,
			"event=version_check_failed check=unavailable_server server=a0 table=0 weight=150 current_weight=100"},
		{"empty_table", []balancer.EndpointWeight{weight(0, "a0", 0), weight(0, "a1", 0)}, allReady, 2,
			"event=version_check_failed check=empty_table table=0 server=a0"},
		{"warming_server", []balancer.EndpointWeight{weight(0, "a0", 400)}, fakeFleet{"a0": warming(0.1)}, 2,
			"event=version_check_failed check=warming_server server=a0 warm_fraction=0.10 request_rate=32.0 total_request_rate=80.0 servers=4"},
	}
}

// A check that fails for one server or table must not delay changes to the tables of the whole fleet.
func TestOnlyCommandsThatFailACheckAreHeldBack(t *testing.T) {
	for _, test := range failingChecks() {
		t.Run(test.check, func(t *testing.T) {
			chain := newTestChain(t)
			before := chain.State().Digest()
			commands := balancer.Commands{
				Weights:         append(test.weights, weight(1, "b0", 90)),
				AdmissionLevels: []balancer.AdmissionLevel{{Table: 1, Classes: 1, Amount: 0.5}},
				Assign:          []balancer.TableAssignment{{Proxy: 3, Table: 0}},
				Barrier:         2,
			}
			result := chain.Propose(2*time.Second, commands, "health", test.view)
			sent := len(result.Commands.Weights) + len(result.Commands.AdmissionLevels)
			unchanged := chain.State().Digest() == before
			if !result.Modified || unchanged != (test.wantSent == 0) || sent != test.wantSent {
				t.Errorf("sent %d commands, want %d; unchanged %v: %+v", sent, test.wantSent, unchanged, result)
			}
			expectWeight(t, chain, 0, "a0", 100)
			if len(result.Commands.Assign) != 1 || result.Commands.Barrier != 2 {
				t.Errorf("assignment or barrier was held back: %+v", result.Commands)
			}
			expectRecords(t, result, test.wantLogRecord)
			expectRecords(t, chain.Propose(3*time.Second, commands, "health", test.view)) // the same check fails again, which is not logged
			valid := weights(weight(1, "b0", 80))
			expectRecords(t, chain.Propose(4*time.Second, valid, "health", allReady), "event=version_check_passed check="+test.check)
		})
	}
}

func expectRecords(t *testing.T, result Result, want ...string) {
	t.Helper()
	var got []string
	for _, record := range result.LogRecords {
		got = append(got, record.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("log records %q, want %q", got, want)
	}
}

func TestTooManyCommandsAreHeldBack(t *testing.T) {
	chain := newTestChain(t)
	chain.settings.MaxCommands = 1
	result := chain.Propose(2*time.Second, weights(weight(0, "a0", 90), weight(1, "b0", 90)), "health", allReady)
	if result.Version != nil || result.Commands.Count() != 0 || fieldOf(result.LogRecords[0], "check") != "too_many_commands" {
		t.Errorf("commands beyond the limit were not held back: %+v", result)
	}
}

func TestUnavailableServerIsNotRestored(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(2*time.Second, balancer.Commands{Withdraw: []balancer.ServerID{"a0"}}, "list", allReady)
	restore := balancer.Commands{Restore: []balancer.ServerID{"a0"}}
	chain.Propose(3*time.Second, restore, "list", fakeFleet{"a0": unavailable})
	if !chain.State().IsWithdrawn("a0") {
		t.Error("a0 was restored although it is unavailable")
	}
	chain.Propose(4*time.Second, restore, "list", allReady)
	if chain.State().IsWithdrawn("a0") {
		t.Error("a0 was not restored although it is available")
	}
}

// Regression test: a check held back what an unresponsive server got as the last one of its zone.
func TestTheLastResortOfAZoneIsRestoredAndGetsAWeight(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(2*time.Second, balancer.Commands{Withdraw: []balancer.ServerID{"a0"}}, "list", allReady)
	commands := weights(weight(0, "a2", 1))
	commands.Restore = []balancer.ServerID{"a0"}
	lastResort := ServerStatus{Known: true, LastResort: true, WarmFraction: 1}
	result := chain.Propose(3*time.Second, commands, "health", fakeFleet{"a0": lastResort, "a2": lastResort})
	if result.Modified || chain.State().IsWithdrawn("a0") {
		t.Errorf("commands for servers that are the last resort are held back: %+v", result.Commands)
	}
	expectWeight(t, chain, 0, "a2", 1)
}

// An invalid number holds back all commands but urgent ones.
func TestTheLastResortOfAnEmptyTableIsUrgent(t *testing.T) {
	chain := newTestChain(t)
	commands := weights(weight(0, "a2", 1), weight(1, "b1", math.NaN()))
	commands.Withdraw = []balancer.ServerID{"a0", "a1"}
	lastResort := ServerStatus{Known: true, LastResort: true, WarmFraction: 1}
	chain.Propose(2*time.Second, commands, "list", fakeFleet{"a0": unavailable, "a1": unavailable, "a2": lastResort})
	expectWeight(t, chain, 0, "a2", 1)
}

func TestDrainIsSentDespiteUnrelatedViolation(t *testing.T) {
	chain := newTestChain(t)
	commands := weights(weight(0, "a0", 1), weight(1, "b0", math.Inf(1)))
	commands.Withdraw = []balancer.ServerID{"a0"}
	result := chain.Propose(2*time.Second, commands, "list", fakeFleet{"a0": unavailable})
	if result.Version == nil || !slices.Equal(result.Commands.Withdraw, commands.Withdraw) || len(result.Commands.Weights) != 1 {
		t.Errorf("want the withdrawal and only the weight of a0: %+v", result)
	}
	if !chain.State().IsWithdrawn("a0") {
		t.Error("a0 is not withdrawn")
	}
	expectWeight(t, chain, 1, "b0", 100)
}

func TestTableWithoutUsableServerGetsOneDespiteViolation(t *testing.T) {
	chain := newTestChain(t)
	commands := weights(weight(0, "b0", 100), weight(1, "b1", math.NaN()))
	commands.Withdraw = []balancer.ServerID{"a0", "a1"}
	result := chain.Propose(2*time.Second, commands, "list", fakeFleet{"a0": unavailable, "a1": unavailable})
	if len(result.Commands.Weights) != 1 {
		t.Errorf("want only the weight of b0: %+v", result.Commands)
	}
	expectWeight(t, chain, 0, "b0", 100)
}

// An urgent weight must not fail a check, because the failure would delay the changes for the rest of the fleet.
func TestUrgentWeightsFailNoCheck(t *testing.T) {
	chain := newTestChain(t)
	commands := weights(weight(0, "c0", 100), weight(1, "b0", 90))
	commands.Withdraw = []balancer.ServerID{"a0", "a1"}
	view := fakeFleet{"a0": unavailable, "a1": unavailable, "c0": warming(0.01)}
	result := chain.Propose(2*time.Second, commands, "list", view)
	if result.Modified || len(result.Commands.Weights) != 2 {
		t.Errorf("want both weights: %+v", result)
	}
}

// movedSince returns the fraction of a table's weight that has moved since an earlier state.
func movedSince(before *proposal, chain *Chain, table uint32) float64 {
	p := proposal{current: before.current, next: chain.State(), view: before.view}
	return p.movedFraction(table)
}

func TestLargeMovementIsSplitIntoSteps(t *testing.T) {
	chain := newTestChain(t)
	chain.settings.MaxMovedFraction = 0.1
	steps := 0
	for second := 2; second < 20 && weightOf(chain, 0, "a0") > 10.5; second++ {
		before := &proposal{current: chain.State(), view: allReady}
		commands := weights(weight(0, "a0", 10), weight(0, "a1", 190))
		result := chain.Propose(time.Duration(second)*time.Second, commands, "health", allReady)
		moved := movedSince(before, chain, 0)
		if result.Version == nil || moved > 0.21 { // the limit of 0.1 of all requests is 0.2 of this table's, which gets half of them
			t.Fatalf("%.2f of the table moved in one version, or none was made: %+v", moved, result.Version)
		}
		steps++
	}
	if steps < 3 || steps > 6 {
		t.Errorf("%d steps, want 3 to 6", steps)
	}
}

func TestWeightLostByUnavailableServerIsNotMovement(t *testing.T) {
	chain := newTestChain(t)
	chain.settings.MaxMovedFraction = 0.2
	result := chain.Propose(2*time.Second, weights(weight(0, "a0", 0)), "unresponsive", fakeFleet{"a0": unavailable})
	if result.Modified {
		t.Errorf("the commands were modified: %+v", result)
	}
}

func TestWeightLostByWithdrawnServerIsNotMovement(t *testing.T) {
	chain := newTestChain(t)
	chain.Propose(2*time.Second, balancer.Commands{Withdraw: []balancer.ServerID{"a0"}}, "list", allReady)
	chain.settings.MaxMovedFraction = 0.2
	result := chain.Propose(3*time.Second, weights(weight(0, "a0", 0)), "list", allReady)
	if result.Modified {
		t.Errorf("the commands were modified: %+v", result)
	}
	expectWeight(t, chain, 0, "a0", 0)
}

func TestLimitingLeavesTheCallersCommandsUnchanged(t *testing.T) {
	chain := newTestChain(t)
	chain.phase = resuming
	levels := []balancer.AdmissionLevel{{Table: 0, Classes: 1, Amount: 0.5}}
	chain.Propose(2*time.Second, balancer.Commands{AdmissionLevels: levels}, "overload", allReady)
	chain.phase = resuming
	levels[0].Amount = 1
	commands := weights(weight(0, "a0", 1))
	commands.AdmissionLevels = levels
	result := chain.Propose(3*time.Second, commands, "health", allReady)
	if !result.Modified || result.Commands.AdmissionLevels[0].Amount != 0.6 {
		t.Errorf("want an admission level limited to 0.6: %+v", result)
	}
	if commands.Weights[0].Weight != 1 || levels[0].Amount != 1 {
		t.Errorf("the caller's commands were changed: %+v", commands)
	}
}

func TestUnchangedTablesCreateNoVersion(t *testing.T) {
	chain := newTestChain(t)
	commands := weights(weight(0, "a0", 100))
	commands.Assign = []balancer.TableAssignment{{}}
	commands.Barrier = 4
	result := chain.Propose(2*time.Second, commands, "x", allReady)
	if result.Version != nil || result.Modified {
		t.Errorf("want no version and unmodified commands: %+v", result)
	}
}

func BenchmarkPropose(b *testing.B) {
	for _, servers := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			chain := New(DefaultSettings(1))
			var all balancer.Commands
			for i := range servers {
				all.Weights = append(all.Weights, weight(i/50, fmt.Sprintf("s-%05d", i), 100))
			}
			chain.Propose(0, all, "list", allReady)
			i := 0
			for b.Loop() {
				i++
				var commands balancer.Commands
				for j := range max(1, servers/100) {
					commands.Weights = append(commands.Weights, weight(j*2, fmt.Sprintf("s-%05d", j*100), float64(100+i%7)))
				}
				if result := chain.Propose(0, commands, "health", allReady); result.Version == nil && i%7 != 0 {
					b.Fatalf("no version was made: %+v", result)
				}
			}
		})
	}
}
