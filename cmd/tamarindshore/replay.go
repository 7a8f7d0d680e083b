package main

import (
	"fmt"
	"os"
	"strconv"

	"tamarindshore/internal/faultsim"
)

type replayCommand struct {
	Script   string `arg:"" help:"Script file or seed."`
	Scenario string `help:"Scenario file; by default the built-in scenario." placeholder:"FILE"`
	All      bool   `help:"Print the whole trace instead of its end."`
	Shrink   bool   `help:"Remove faults that are not needed to reproduce the violation, and print the smallest script."`
}

const (
	shownTraceLines = 80  // lines printed without --all
	keptTraceLines  = 400 // without --all, the older half is discarded once the trace exceeds this
	maxShrinkRuns   = 500
)

// Run replays a script and prints its trace and the violation, if any. It returns errViolation if a rule is violated.
func (c replayCommand) Run() error {
	scenario, err := readScenario(c.Scenario)
	if err != nil {
		return err
	}
	script, err := readScript(scenario, c.Script)
	if err != nil {
		return err
	}
	var trace []string
	violation, simulation := faultsim.Run(scenario, script, func(line string) {
		trace = append(trace, line)
		if !c.All && len(trace) > keptTraceLines {
			trace = trace[keptTraceLines/2:]
		}
	})
	if !c.All {
		trace = trace[max(0, len(trace)-shownTraceLines):]
	}
	if c.Shrink && violation != nil {
		smallest, simulated := faultsim.Shrink(scenario, faultsim.Failure{Script: script, Violation: violation}, maxShrinkRuns)
		fmt.Printf("; %d scripts simulated; %v\n%v", simulated, smallest.Violation, smallest.Script)
		return errViolation
	}
	fmt.Print(script)
	for _, line := range trace {
		fmt.Println(line)
	}
	fmt.Printf("%d steps, digest %s\n", simulation.Steps(), simulation.Digest())
	if violation != nil {
		fmt.Println(violation)
		return errViolation
	}
	return nil
}

// readScript returns the script that a seed generates, or the script in a file.
func readScript(scenario faultsim.Scenario, source string) (faultsim.Script, error) {
	if seed, err := strconv.ParseUint(source, 10, seedBits); err == nil {
		return faultsim.GenerateScript(scenario, seed), nil
	}
	text, err := os.ReadFile(source)
	if err != nil {
		return faultsim.Script{}, err
	}
	return faultsim.ParseScript(source, text)
}
