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

type searchCommand struct {
	Seeds    string `help:"Range of seeds, as FIRST-LAST." default:"1-1000"`
	Scenario string `help:"Scenario file; by default the built-in scenario." placeholder:"FILE"`
	Cores    int    `help:"Cores to use; 0 for all." default:"0"`
	GoOn     bool   `help:"Run all seeds, even after a violation."`
	Out      string `help:"Write the script of the first violation to a file, for the replay command." placeholder:"FILE"`
}

const (
	seedBits = 62          // a seed has at most this many bits
	maxSeeds = 100_000_000 // maximum difference between the last and the first seed
)

// Run simulates seeds until one violates a rule, or all of them with --go-on. It returns errViolation if a rule is
// violated.
func (c searchCommand) Run() error {
	first, last, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	scenario, err := readScenario(c.Scenario)
	if err != nil {
		return err
	}
	cores := c.Cores
	if cores <= 0 {
		cores = runtime.NumCPU()
	}
	began := time.Now()
	failures, simulated := faultsim.SearchSeeds(scenario, first, last, cores, c.GoOn, seedProgress(began, last-first+1))
	took := time.Since(began).Seconds()
	fmt.Printf("%d seeds in %.1fs on %d cores, %.0f a second: %d violated a rule\n",
		simulated, took, cores, float64(simulated)/took, len(failures))
	for _, failure := range failures {
		fmt.Printf("seed %d: %v\n", failure.Script.Seed, failure.Violation)
	}
	if len(failures) == 0 {
		return nil
	}
	if c.Out != "" {
		if err := os.WriteFile(c.Out, []byte(failures[0].Script.String()), 0o644); err != nil {
			return err
		}
	}
	return errViolation
}

// parseSeeds parses a range of seeds of the form FIRST-LAST.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, _ := strings.Cut(text, "-")
	first, firstErr := strconv.ParseUint(from, 10, seedBits)
	last, lastErr := strconv.ParseUint(to, 10, seedBits)
	if firstErr != nil || lastErr != nil || last < first || last-first > maxSeeds {
		return 0, 0, fmt.Errorf("--seeds: %q is not FIRST-LAST with LAST between FIRST and FIRST+%d", text, maxSeeds)
	}
	return first, last, nil
}

// readScenario reads a scenario file, or returns the default scenario if path is empty.
func readScenario(path string) (faultsim.Scenario, error) {
	if path == "" {
		return faultsim.DefaultScenario(), nil
	}
	return faultsim.ReadScenario(path)
}

// seedProgress returns a callback that prints, at most once per second, how many of all seeds have been simulated.
func seedProgress(began time.Time, all uint64) func(simulated int) {
	shown := began
	return func(simulated int) {
		if simulated%100 != 0 || time.Since(shown) <= time.Second {
			return
		}
		shown = time.Now()
		fmt.Fprintf(os.Stderr, "%d of %d seeds, %.0f a second\n", simulated, all, float64(simulated)/time.Since(began).Seconds())
	}
}
