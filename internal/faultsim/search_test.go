package faultsim

import (
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestSameSeedGivesSameRun(t *testing.T) {
	s := DefaultScenario()
	want := map[uint64]string{}
	for seed := range uint64(6) {
		_, simulation := Run(s, GenerateScript(s, seed), nil)
		want[seed] = simulation.Digest()
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for n := range 6 {
		runtime.GOMAXPROCS(1 + n%4)
		for seed := range uint64(6) {
			if _, simulation := Run(s, GenerateScript(s, seed), nil); simulation.Digest() != want[seed] {
				t.Fatalf("seed %d: the digest of the trace differs from the first run", seed)
			}
		}
	}
	if want[1] == want[2] {
		t.Error("seeds 1 and 2 give the same run")
	}
}

func TestHundredSeedsKeepAllRules(t *testing.T) {
	found, simulated := SearchSeeds(DefaultScenario(), 1, 100, 4, true, func(int) {})
	for _, f := range found {
		t.Errorf("got violation %v by the script\n%v", f.Violation, f.Script)
	}
	if simulated != 100 {
		t.Errorf("%d seeds were simulated, want 100", simulated)
	}
}

// The manager must not fill the channel's queue just because the limit allows it: tables then reach the proxies half a
// minute late.
func TestLargeFleetKeepsAllRules(t *testing.T) {
	found, simulated := SearchSeeds(LargeFleetScenario(), 1, 16, 4, true, func(int) {})
	for _, f := range found {
		t.Errorf("got violation %v by the script\n%v", f.Violation, f.Script)
	}
	if simulated != 16 {
		t.Errorf("%d seeds were simulated, want 16", simulated)
	}
}

func TestScriptsRoundTrip(t *testing.T) {
	want := GenerateScript(DefaultScenario(), 7)
	got, err := ParseScript("f", []byte(want.String()))
	if err != nil || got.String() != want.String() || len(got.Faults) == 0 {
		t.Errorf("got error %v and script\n%v\nwant no error and at least one fault in\n%v", err, got, want)
	}
	for text, wantPrefix := range map[string]string{
		"(replay)":                            "f:1: seed: is missing",
		"(replay (seed 1)\n (crash (at 1s)))": "f:2: for: is missing",
		"(replay (seed 1)\n (fire (at 1s) (for 1s) (part 1) (whom 1)))":    "f:2: fire: unknown key",
		"(replay (seed 1) (crash (at 1s) (for 1s)\n (part 1.5) (whom 1)))": "f:2: part: 1.5 is not a number between 0 and 1",
	} {
		if _, err := ParseScript("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), wantPrefix) {
			t.Errorf("%q: got error %v, want one that begins with %q", text, err, wantPrefix)
		}
	}
}

func TestScenariosAreReadWithDefaults(t *testing.T) {
	s, err := ParseScenario("f", []byte("(scenario (servers 9) (reports-late (least 1s) (most 2s)) (weights (crash 0)))"))
	if err != nil || s.Servers != 9 || s.ReportDelay.Max != 2*time.Second || s.FaultWeights[Crash] != 0 ||
		s.FaultWeights[SlowServers] != 1 || s.Proxies != DefaultScenario().Proxies {
		t.Errorf("got scenario %+v and error %v, want the given values, defaults for all others, and no error", s, err)
	}
	if _, err := ParseScenario("f", []byte("(scenario\n (transit (least 2s) (most 1s)))")); err == nil ||
		err.Error() != "f:2: transit: most 1s is less than least 2s" {
		t.Errorf("reversed range: got error %v, want one that states both bounds", err)
	}
}

func TestShrinkKeepsTheViolation(t *testing.T) {
	s := DefaultScenario()
	s.QueueCapacity = 40 // too small to assign all proxies
	s.FaultCount = CountRange{4, 4}
	for seed := uint64(1); seed < 40; seed++ {
		script := GenerateScript(s, seed)
		violation, _ := Run(s, script, nil)
		if violation == nil {
			continue
		}
		shrunk, runs := Shrink(s, Failure{script, violation}, 60)
		if shrunk.Violation.Rule != violation.Rule || len(shrunk.Script.Faults) > len(script.Faults) || runs > 60 {
			t.Errorf("shrunk to %v after %d runs, want a violation of %q with at most %d faults after at most 60 runs",
				shrunk, runs, violation.Rule, len(script.Faults))
		}
		return
	}
	t.Fatal("no seed violates a rule in this scenario: nothing to shrink")
}

func BenchmarkRun(b *testing.B) {
	s := DefaultScenario()
	for i := 0; b.Loop(); i++ {
		Run(s, GenerateScript(s, uint64(i)), nil)
	}
}

// A proxy sends only the requests that its admission levels let in.
func TestAdmissionLevelsLimitTheRequestsOfAProxy(t *testing.T) {
	first, second := balancer.AdmissionLevel{Classes: 1, Amount: 0.5}, balancer.AdmissionLevel{Classes: 2, Amount: 0}
	for want, shed := range map[float64]shedFractions{
		1:   {},
		0.6: shedFractions{}.with(first),
		0.8: shedFractions{}.with(second),
		0.4: shedFractions{}.with(first).with(second),
	} {
		if got := shed.admittedFraction(); math.Abs(got-want) > 1e-9 {
			t.Errorf("shed fractions %v admit %v of the requests, want %v", shed, got, want)
		}
	}
}
