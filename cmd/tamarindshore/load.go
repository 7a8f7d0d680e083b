package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/loadtest"
)

type loadCommand struct {
	Cores      []int         `help:"Cores of the manager; with several values, one manager is tested after another." default:"1"`
	Servers    int           `help:"Fake servers." default:"60"`
	Proxies    int           `help:"Fake proxies." default:"600"`
	Collectors int           `help:"Collector connections per zone." default:"4"`
	Rate       float64       `help:"Messages per second; 0 searches for the maximum rate and then holds 80% of it." default:"0"`
	For        time.Duration `help:"How long to hold the rate." default:"8s"`
	Step       time.Duration `help:"Duration of each step of the search." default:"1500ms"`
	Faults     float64       `help:"Fraction of calls to the relay that fail, from 0 to 0.5." default:"0"`
	Seed       uint64        `help:"Seed of the random number generator." default:"1"`
	JSON       string        `help:"Write the results to a file as JSON." placeholder:"FILE"`
	Log        string        `help:"File for the managers' logs; by default they are discarded." placeholder:"FILE"`
	Quiet      bool          `help:"Do not print progress."`
}

// Help returns the detailed help text.
func (c loadCommand) Help() string {
	return "Starts fakes of discovery, a relay, servers, proxies and collectors on loopback, and this program as the manager. " +
		"Messages are sent on a fixed schedule, so that the results include stalls of the manager. All of it is stopped at the end."
}

// Run load-tests the managers one after another and prints the results. It returns errViolation if a rule is violated, a
// connection broke or a message was not accepted.
func (c loadCommand) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	program, err := loadtest.ExecutablePath()
	if err != nil {
		return err
	}
	log, removeLog, err := c.logPath()
	if err != nil {
		return err
	}
	defer removeLog()
	results, err := loadtest.Run(c.plan(), fakes.ProcessStarter(program, log), c.progress())
	loadtest.WriteTable(os.Stdout, results)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeLoadResults(c.JSON, results); err != nil {
			return err
		}
	}
	for _, result := range results {
		if !result.OK() {
			return errViolation
		}
	}
	return nil
}

// check returns an error for the first flag whose value is out of range.
func (c loadCommand) check() error {
	for _, flag := range []struct {
		name             string
		value            float64
		minimum, maximum float64
	}{
		{"servers", float64(c.Servers), 1, 5000},
		{"proxies", float64(c.Proxies), 1, 65535},
		{"collectors", float64(c.Collectors), 1, 10},
		{"rate", c.Rate, 0, 1e7},
		{"for", c.For.Seconds(), 0.5, 600},
		{"step", c.Step.Seconds(), 0.2, 60},
		{"faults", c.Faults, 0, 0.5},
	} {
		if flag.value < flag.minimum || flag.value > flag.maximum {
			return fmt.Errorf("--%s: %v is not between %v and %v", flag.name, flag.value, flag.minimum, flag.maximum)
		}
	}
	for _, cores := range c.Cores {
		if cores < 1 || cores > 64 {
			return fmt.Errorf("--cores: %d is not between 1 and 64", cores)
		}
	}
	return nil
}

// plan converts the flags to a load test plan.
func (c loadCommand) plan() loadtest.Plan {
	plan := loadtest.DefaultPlan()
	plan.Cores = c.Cores
	plan.Servers = c.Servers
	plan.Proxies = c.Proxies
	plan.CollectorsPerZone = c.Collectors
	plan.Rate = c.Rate
	plan.HoldDuration = c.For
	plan.StepDuration = c.Step
	plan.FaultFraction = c.Faults
	plan.Seed = c.Seed
	return plan
}

// logPath returns the path of the managers' log. remove deletes the log unless --log was given.
func (c loadCommand) logPath() (path string, remove func(), err error) {
	if c.Log != "" {
		return c.Log, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "tamarindshore-load-")
	if err != nil {
		return "", nil, err
	}
	return filepath.Join(dir, "manager.log"), func() { os.RemoveAll(dir) }, nil
}

// progress returns the writer for progress messages.
func (c loadCommand) progress() io.Writer {
	if c.Quiet {
		return io.Discard
	}
	return os.Stderr
}

// writeLoadResults writes the results to a JSON file.
func writeLoadResults(path string, results []loadtest.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(loadtest.WriteJSON(file, results), file.Close())
}
