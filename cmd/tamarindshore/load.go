package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/loadtest"
)

type loads struct {
	Cores      []int         `help:"One manager after another with so many cores." default:"1"`
	Servers    int           `help:"Stand-in servers." default:"60"`
	Proxies    int           `help:"Stand-in proxies." default:"600"`
	Collectors int           `help:"Connections that report for each zone." default:"4"`
	Rate       float64       `help:"Messages a second; 0 searches for the most and holds 80% of it." default:"0"`
	For        time.Duration `help:"How long a rate is held." default:"8s"`
	Step       time.Duration `help:"How long a step of the search takes." default:"1500ms"`
	Faults     float64       `help:"Part of the relay's calls that go wrong, from 0 to 0.5." default:"0"`
	Seed       uint64        `help:"Settles all chance." default:"1"`
	JSON       string        `help:"Write the figures to a file as JSON." placeholder:"FILE"`
	Log        string        `help:"Keep the managers' log." placeholder:"FILE"`
	Quiet      bool          `help:"No line of progress."`
}

func (l loads) Help() string {
	return "Discovery, a relay, servers, proxies and collectors are raised on loopback, and this program once more as the " +
		"manager. Messages go out by the clock, so that a stall shows. All is closed at the end."
}

// Run loads and judges.
func (l loads) Run() error {
	plan := loadtest.DefaultPlan()
	plan.Cores, plan.Servers, plan.Proxies, plan.CollectorsPerZone, plan.Rate = l.Cores, l.Servers, l.Proxies, l.Collectors, l.Rate
	plan.HoldDuration, plan.StepDuration, plan.FaultFraction, plan.Seed = l.For, l.Step, l.Faults, l.Seed
	for _, one := range []struct {
		key         string
		value       float64
		least, most float64
	}{
		{"servers", float64(l.Servers), 1, 5000}, {"proxies", float64(l.Proxies), 1, 65535}, {"collectors", float64(l.Collectors), 1, 10},
		{"rate", l.Rate, 0, 1e7}, {"for", l.For.Seconds(), 0.5, 600}, {"step", l.Step.Seconds(), 0.2, 60}, {"faults", l.Faults, 0, 0.5},
	} {
		if one.value < one.least || one.value > one.most {
			return fmt.Errorf("--%s: %v is not from %v to %v", one.key, one.value, one.least, one.most)
		}
	}
	for _, c := range l.Cores {
		if c < 1 || c > 64 {
			return fmt.Errorf("--cores: %d is not from 1 to 64", c)
		}
	}
	program, err := loadtest.ExecutablePath()
	if err != nil {
		return err
	}
	log := l.Log
	if log == "" {
		dir, err := os.MkdirTemp("", "tamarindshore-load-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		log = filepath.Join(dir, "manager.log")
	}
	progress := os.Stderr
	if l.Quiet {
		if progress, err = os.Open(os.DevNull); err != nil {
			return err
		}
	}
	all, err := loadtest.Run(plan, fakes.ProcessStarter(program, log), progress)
	loadtest.WriteTable(os.Stdout, all)
	if err == nil && l.JSON != "" {
		err = writeJSON(l.JSON, all)
	}
	if err != nil {
		return err
	}
	for _, r := range all {
		if !r.OK() {
			return errNotGood
		}
	}
	return nil
}

func writeJSON(path string, all []loadtest.Result) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(loadtest.WriteJSON(f, all), f.Close())
}
