package faultsim

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The files under testdata were written by a version of the program that used other identifiers. They pin the formats of
// scenario and replay files, and the outcome of runs. An intended change of the balancing decisions changes lines of
// runs.txt; the failing test prints the new version of each of these lines.

func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func fixtureScenario(t *testing.T) Scenario {
	t.Helper()
	scenario, err := ReadScenario(filepath.Join("testdata", "scenario.sexp"))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func fixtureScript(t *testing.T, name string) Script {
	t.Helper()
	script, err := ParseScript(name, readFixture(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return script
}

func TestScenarioFixtureHoldsEachKey(t *testing.T) {
	const ms = time.Millisecond
	want := Scenario{
		Zones: 2, Servers: 9, Proxies: 11, RequestRate: 5.5, ServerCapacity: 13.5, ServiceTime: 140 * ms,
		ReportDelay: DurationRange{300 * ms, 1500 * ms}, ListDelay: DurationRange{400 * ms, 2500 * ms},
		MessageDelay: DurationRange{70 * ms, 290 * ms}, CommandsPerSecond: 1200, QueueCapacity: 2500, MaxMessages: 90,
		ColdCapacity: 0.25, WarmUpDuration: 15 * time.Second, DrainGracePeriod: 1600 * ms, MaxTimeWithoutServer: 3500 * ms,
		OverloadFactor: 3.5, MaxOverloadTime: 2500 * ms, FaultPhase: 35 * time.Second, SettlePhase: 24 * time.Second,
		FaultCount: CountRange{2, 6}, FaultWeights: map[FaultKind]float64{},
	}
	for kind := range FaultKind(len(faultNames)) {
		want.FaultWeights[kind] = 2 + float64(kind)
	}
	if got := fixtureScenario(t); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

func TestScriptFixtureRoundTripsByteForByte(t *testing.T) {
	const ms = time.Millisecond
	want := Script{Seed: 1<<61 + 7, Faults: []Fault{
		{Kind: Rollback, At: 18080 * ms, Duration: 4207 * ms, Fraction: 0.11, TargetSeed: 751453801},
		{Kind: ZoneOutage, At: 18130 * ms, Duration: 11456 * ms, Fraction: 0.24, TargetSeed: 2096964189},
		{Kind: WrongEndpointList, At: 21768 * ms, Duration: 11518 * ms, Fraction: 0.28, TargetSeed: 2924797225},
		{Kind: RelayUnreachable, At: 23563 * ms, Duration: 10222 * ms, Fraction: 0.23, TargetSeed: 3686555912},
		{Kind: Drain, At: 23941 * ms, Duration: 7762 * ms, Fraction: 0.15, TargetSeed: 3206754600},
		{Kind: Crash, At: 24680 * ms, Duration: 4248 * ms, Fraction: 0.1, TargetSeed: 3407495777},
	}}
	got := fixtureScript(t, "script.replay")
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	if text := string(readFixture(t, "script.replay")); got.String() != text {
		t.Errorf("wrote %s, want %s", got, text)
	}
}

// TestFaultNamesOfFiles pins the name of each kind of fault in scenario and replay files.
func TestFaultNamesOfFiles(t *testing.T) {
	want := map[FaultKind]string{
		Crash: "crash", Unresponsive: "silence", SlowServers: "slow", ServerErrors: "errors", Drain: "drain",
		ZoneOutage: "zone-lost", ZonePartition: "zone-cut", ReportsLost: "deaf", RelayUnreachable: "unreachable",
		ResponsesLost: "lost-answers", SlowChannel: "slow-channel", ManagerRestart: "restart", ManagerStall: "stall",
		ProxyReconnect: "rejoin", WrongEndpointList: "wrong-list", DuplicateReports: "doubled",
		DelayedEndpointList: "late-list", Rollback: "rollback",
	}
	got := map[FaultKind]string{}
	for kind := range FaultKind(len(faultNames)) {
		got[kind] = kind.String()
	}
	if !maps.Equal(got, want) {
		t.Errorf("kinds %v, want %v", got, want)
	}
}

// fixtureScenarios returns the scenarios of the runs in testdata/runs.txt, by name. Some have limits so strict that rules
// are violated.
func fixtureScenarios(t *testing.T) map[string]Scenario {
	t.Helper()
	changed := func(change func(*Scenario)) Scenario {
		s := DefaultScenario()
		change(&s)
		return s
	}
	unsettled := changed(func(s *Scenario) { s.SettlePhase = time.Millisecond })
	return map[string]Scenario{
		"default":       DefaultScenario(),
		"large":         LargeFleetScenario(),
		"file":          fixtureScenario(t),
		"script.replay": fixtureScenario(t),
		"unsettled":     unsettled,
		"stuck.replay":  unsettled,
		"short-queue": changed(func(s *Scenario) {
			s.QueueCapacity = 40
			s.FaultCount = CountRange{4, 4}
		}),
		"few-messages": changed(func(s *Scenario) { s.MaxMessages = 2 }),
		"bare":         changed(func(s *Scenario) { s.MaxTimeWithoutServer = time.Millisecond }),
		"cold-overload": changed(func(s *Scenario) {
			s.OverloadFactor = 1
			s.MaxOverloadTime = time.Millisecond
		}),
		"sensitive": changed(func(s *Scenario) {
			s.MaxTimeWithoutServer = 200 * time.Millisecond
			s.DrainGracePeriod = 100 * time.Millisecond
			s.OverloadFactor = 1
			s.MaxOverloadTime = 300 * time.Millisecond
		}),
	}
}

// withoutWording removes the text of other packages' log records from a trace line, and keeps their kind and time.
func withoutWording(line string) string {
	const timeWidth = 10
	at := line[:timeWidth]
	event := line[timeWidth:]
	for _, kind := range []string{"note ", "version ", "rollback "} {
		if strings.HasPrefix(event, kind) {
			return at + kind
		}
	}
	return line
}

// outcome runs a script and returns a line as in testdata/runs.txt: scenario, seed, number of events, digest of the trace,
// verdict.
func outcome(name string, scenario Scenario, script Script) string {
	sum := sha256.New()
	violation, simulation := Run(scenario, script, func(line string) { fmt.Fprintln(sum, withoutWording(line)) })
	verdict := "all rules kept"
	if violation != nil {
		verdict = violation.String()
	}
	return fmt.Sprintf("%s %d %d %x %s", name, script.Seed, simulation.Steps(), sum.Sum(nil)[:16], verdict)
}

func TestRunsMatchRecordedVerdictsAndTraces(t *testing.T) {
	scenarios := fixtureScenarios(t)
	const recorded = 100
	runs := 0
	for lines := bufio.NewScanner(strings.NewReader(string(readFixture(t, "runs.txt")))); lines.Scan(); runs++ {
		want := lines.Text()
		fields := strings.SplitN(want, " ", 3)
		name := fields[0]
		scenario, known := scenarios[name]
		if !known {
			t.Fatalf("runs.txt names an unknown scenario: %s", name)
		}
		seed, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		script := Script{}
		if strings.HasSuffix(name, ".replay") {
			script = fixtureScript(t, name)
		} else {
			script = GenerateScript(scenario, seed)
		}
		if got := outcome(name, scenario, script); got != want {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	}
	if runs != recorded {
		t.Errorf("runs.txt has %d runs, want %d", runs, recorded)
	}
}
