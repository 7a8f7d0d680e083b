package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"tamarindshore/internal/faultsim"
)

type searchCmd struct {
	Seeds    string `help:"FIRST-LAST." default:"1-1000"`
	Scenario string `help:"Scenario file; without, the standard one." placeholder:"FILE"`
	Cores    int    `help:"Cores; 0 for all." default:"0"`
	GoOn     bool   `help:"Play all seeds, also after a rule broke."`
	Out      string `help:"Write the first break's script to a file, for replay." placeholder:"FILE"`
}

func scenario(path string) (faultsim.Scenario, error) {
	if path == "" {
		return faultsim.DefaultScenario(), nil
	}
	return faultsim.ReadScenario(path)
}

// Run plays seeds until a rule breaks.
func (s searchCmd) Run() error {
	from, to, _ := strings.Cut(s.Seeds, "-")
	first, err := strconv.ParseUint(from, 10, 62)
	last, bad := strconv.ParseUint(to, 10, 62)
	if err != nil || bad != nil || last < first || last-first > 100_000_000 {
		return fmt.Errorf("--seeds: %q is not FIRST-LAST", s.Seeds)
	}
	sc, err := scenario(s.Scenario)
	if err != nil {
		return err
	}
	cores := s.Cores
	if cores <= 0 {
		cores = runtime.NumCPU()
	}
	began, shown := time.Now(), time.Now()
	all, played := faultsim.SearchSeeds(sc, first, last, cores, s.GoOn, func(done int) {
		if done%100 == 0 && time.Since(shown) > time.Second {
			shown = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d seeds, %.0f a second\n", done, last-first+1, float64(done)/time.Since(began).Seconds())
		}
	})
	took := time.Since(began).Seconds()
	fmt.Printf("%d seeds in %.1fs on %d cores, %.0f a second: %d broke a rule\n", played, took, cores, float64(played)/took, len(all))
	for _, f := range all {
		fmt.Printf("seed %d: %v\n", f.Script.Seed, f.Violation)
	}
	if len(all) == 0 {
		return nil
	}
	if s.Out != "" {
		if err := os.WriteFile(s.Out, []byte(all[0].Script.String()), 0o644); err != nil {
			return err
		}
	}
	return errNotGood
}

type replayCmd struct {
	Script   string `arg:"" help:"A replay file, or a seed."`
	Scenario string `help:"Scenario file; without, the standard one." placeholder:"FILE"`
	All      bool   `help:"Show the whole trace, not the end before the break."`
	Shrink   bool   `help:"Drop what is not needed for the break, and print the least script."`
}

// Run plays a script and shows what led to the break.
func (r replayCmd) Run() error {
	sc, err := scenario(r.Scenario)
	if err != nil {
		return err
	}
	var script faultsim.Script
	if seed, bad := strconv.ParseUint(r.Script, 10, 62); bad == nil {
		script = faultsim.GenerateScript(sc, seed)
	} else if text, err := os.ReadFile(r.Script); err != nil {
		return err
	} else if script, err = faultsim.ParseScript(r.Script, text); err != nil {
		return err
	}
	var lines []string
	broken, w := faultsim.Run(sc, script, func(line string) {
		if lines = append(lines, line); !r.All && len(lines) > 400 {
			lines = lines[200:]
		}
	})
	if !r.All {
		lines = lines[max(0, len(lines)-80):]
	}
	if r.Shrink && broken != nil {
		less, played := faultsim.Shrink(sc, faultsim.Failure{Script: script, Violation: broken}, 500)
		fmt.Printf("; %d scripts played; %v\n%v", played, less.Violation, less.Script)
		return errNotGood
	}
	fmt.Print(script)
	for _, line := range lines {
		fmt.Println(line)
	}
	fmt.Printf("%d steps, digest %s\n", w.Steps(), w.Digest())
	if broken != nil {
		fmt.Println(broken)
		return errNotGood
	}
	return nil
}
