package loadtest

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
)

// fixtureResults returns the results in testdata/results.json and testdata/results.txt. Both files were written before
// identifiers in the program were renamed.
func fixtureResults() []Result {
	latencies := func(n int64) LatencySummary {
		d := time.Duration(n) * 1100 * time.Microsecond
		return LatencySummary{Count: n, P50: d, P99: 2 * d, P999: 3 * d, Max: 4 * d}
	}
	return []Result{
		{
			Cores: 1, MachineCores: 8, MaxRate: 1000.5, HeldRate: 800.4, Sent: 20, Accepted: 19,
			AcceptLatency: latencies(1), SendDelay: latencies(2), AssignLatency: latencies(3), WithdrawLatency: latencies(4),
			AllAssignedAfter: 1500 * time.Millisecond, CPU: 0.75, MemoryMB: 33.5, BrokenConnections: 2,
			Counters: map[string]int64{"reports_in": 5, "usages_in": 6},
			Rules: []fakes.RuleResult{
				{Name: "drains", Worst: 1.25, Bound: 2, Unit: "s", At: time.Second, Checks: 7},
				{Name: "twice", Worst: 3, Unit: "times", At: 2 * time.Second, Subject: "s-1", Violations: 3, Checks: 9},
			},
			Relay: fakes.Counts{Calls: 1, CommandsAccepted: 2, CommandsRejected: 3, StateChanges: 4, ConnectedProxies: 5,
				AssignedProxies: 6, Tables: 7, TableWeights: 8, Withdrawn: 9, Faults: map[string]int{"lost": 10}},
			Steps:          []StepResult{{Rate: 20000, AcceptedFraction: 0.98, AcceptLatency: 3 * time.Millisecond}},
			MergedFraction: 0.125,
		},
		{Cores: 16, MachineCores: 8, HeldRate: 5000, Rules: []fakes.RuleResult{{Name: "drains", Bound: 2, Unit: "s"}}},
		{Cores: 2, MachineCores: 8, MaxRate: 2001, HeldRate: 1600.8, Sent: 10, Accepted: 10},
	}
}

// The JSON and the table that operators read must stay the same, byte for byte, when names in the code change.
func TestResultsMatchGoldenFiles(t *testing.T) {
	for _, test := range []struct {
		file  string
		write func(*bytes.Buffer) error
	}{
		{"results.json", func(out *bytes.Buffer) error { return WriteJSON(out, fixtureResults()) }},
		{"results.txt", func(out *bytes.Buffer) error {
			WriteTable(out, fixtureResults())
			return nil
		}},
	} {
		t.Run(test.file, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", test.file))
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			if err := test.write(&got); err != nil {
				t.Fatal(err)
			}
			if got.String() != string(want) {
				t.Errorf("got:\n%s\nwant:\n%s", &got, want)
			}
		})
	}
}

func TestResultOK(t *testing.T) {
	for _, test := range []struct {
		name   string
		result Result
		want   bool
	}{
		{"no violation", Result{Sent: 2, Accepted: 2, Rules: []fakes.RuleResult{{Checks: 1}}}, true},
		{"a rule violated", Result{Rules: []fakes.RuleResult{{Checks: 1}, {Violations: 1}}}, false},
		{"a connection broken", Result{BrokenConnections: 1}, false},
		{"a message lost", Result{Sent: 2, Accepted: 1}, false},
	} {
		if got := test.result.OK(); got != test.want {
			t.Errorf("%s: OK() = %v, want %v", test.name, got, test.want)
		}
	}
}

func TestAssignTimeoutErrorCountsAssignedProxies(t *testing.T) {
	relay, err := fakes.NewRelay("127.0.0.1:0", fakes.DefaultSite(1, 3))
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	connectAll(relay, 3) // no manager runs, so none is assigned
	var timeout *AssignTimeoutError
	if err := awaitAssigned(relay, 3, 20*time.Millisecond); !errors.As(err, &timeout) || timeout.Assigned != 0 || timeout.Proxies != 3 {
		t.Errorf("got error %v, want AssignTimeoutError with 0 of 3 proxies assigned", err)
	}
}
