package faultsim

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

func TestSameSeedGivesSameRun(t *testing.T) {
	s := DefaultScenario()
	want := map[uint64]string{}
	for seed := range uint64(6) {
		_, w := Run(s, GenerateScript(s, seed), nil)
		want[seed] = w.Digest()
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for n := range 6 {
		runtime.GOMAXPROCS(1 + n%4)
		for seed := range uint64(6) {
			if _, w := Run(s, GenerateScript(s, seed), nil); w.Digest() != want[seed] {
				t.Fatalf("seed %d: another run", seed)
			}
		}
	}
	if want[1] == want[2] {
		t.Error("two seeds give one run")
	}
}

func TestHundredSeedsKeepAllRules(t *testing.T) {
	found, played := SearchSeeds(DefaultScenario(), 1, 100, 4, true, func(int) {})
	for _, f := range found {
		t.Errorf("%v\n%v", f.Violation, f.Script)
	}
	if played != 100 {
		t.Errorf("%d played", played)
	}
}

// Guards against a queue that is filled because it may be: tables then come half a minute late.
func TestLargeFleetKeepsAllRules(t *testing.T) {
	found, played := SearchSeeds(LargeFleetScenario(), 1, 16, 4, true, func(int) {})
	for _, f := range found {
		t.Errorf("%v\n%v", f.Violation, f.Script)
	}
	if played != 16 {
		t.Errorf("%d played", played)
	}
}

func TestScriptsRoundTrip(t *testing.T) {
	want := GenerateScript(DefaultScenario(), 7)
	got, err := ParseScript("f", []byte(want.String()))
	if err != nil || got.String() != want.String() || len(got.Faults) == 0 {
		t.Errorf("%v\n%v\n%v", err, got, want)
	}
	for text, fault := range map[string]string{
		"(replay)":                            "f:1: seed: is missing",
		"(replay (seed 1)\n (crash (at 1s)))": "f:2: for: is missing",
		"(replay (seed 1)\n (fire (at 1s) (for 1s) (part 1) (whom 1)))":    "f:2: fire: is no key here",
		"(replay (seed 1) (crash (at 1s) (for 1s)\n (part 1.5) (whom 1)))": "f:2: part: 1.5 is no number from 0 to 1",
	} {
		if _, err := ParseScript("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), fault) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestScenariosAreReadWithDefaults(t *testing.T) {
	s, err := ParseScenario("f", []byte("(scenario (servers 9) (reports-late (least 1s) (most 2s)) (weights (crash 0)))"))
	if err != nil || s.Servers != 9 || s.ReportDelay.Max != 2*time.Second || s.FaultWeights[Crash] != 0 || s.FaultWeights[SlowServers] != 1 || s.Proxies != DefaultScenario().Proxies {
		t.Errorf("%+v %v", s, err)
	}
	if _, err := ParseScenario("f", []byte("(scenario\n (transit (least 2s) (most 1s)))")); err == nil || err.Error() != "f:2: transit: most is under least" {
		t.Error(err)
	}
}

func TestShrinkKeepsTheViolation(t *testing.T) {
	s := DefaultScenario()
	s.QueueCapacity = 40 // far too few to assign all proxies
	s.FaultCount = CountRange{4, 4}
	for seed := uint64(1); seed < 40; seed++ {
		script := GenerateScript(s, seed)
		b, _ := Run(s, script, nil)
		if b == nil {
			continue
		}
		less, played := Shrink(s, Failure{script, b}, 60)
		if less.Violation.Rule != b.Rule || len(less.Script.Faults) > len(script.Faults) || played > 60 {
			t.Errorf("%v after %d", less, played)
		}
		return
	}
	t.Fatal("no seed breaks a rule there: nothing was shrunk")
}

func BenchmarkRun(b *testing.B) {
	s := DefaultScenario()
	for i := 0; b.Loop(); i++ {
		Run(s, GenerateScript(s, uint64(i)), nil)
	}
}
