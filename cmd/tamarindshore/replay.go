package main

import (
	"fmt"
	"os"
	"strconv"

	"tamarindshore/internal/faultsim"
)

type replayCommand struct {
	Script   string `arg:"" help:"Replay file or seed."`
	Scenario string `help:"Scenario file; by default the built-in scenario." placeholder:"FILE"`
	All      bool   `help:"Print the whole trace instead of its end."`
	Shrink   bool   `help:"Remove the faults that the violation does not need, and print the smallest script."`
}

const (
	shownTraceLines = 80  // without --all
	keptTraceLines  = 400 // the older half goes when there are more
	maxShrinkRuns   = 500
)

// Run plays a script and prints the trace that led to the violation.
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
		smallest, played := faultsim.Shrink(scenario, faultsim.Failure{Script: script, Violation: violation}, maxShrinkRuns)
		fmt.Printf("; %d scripts played; %v\n%v", played, smallest.Violation, smallest.Script)
		return errBadVerdict
	}
	fmt.Print(script)
	for _, line := range trace {
		fmt.Println(line)
	}
	fmt.Printf("%d steps, digest %s\n", simulation.Steps(), simulation.Digest())
	if violation != nil {
		fmt.Println(violation)
		return errBadVerdict
	}
	return nil
}

// readScript takes a seed, from which a script is drawn, or a script's file.
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
