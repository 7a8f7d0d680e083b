package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"tamarindshore/internal/scale"
)

type scaleCmd struct {
	Axis  []string `help:"Axes to measure along; all where none is named." placeholder:"AXIS"`
	Seed  uint64   `help:"Settles all chance." default:"1"`
	Runs  int      `help:"Runs at each size." default:"3"`
	Small bool     `help:"Fewer and smaller sizes: under a minute."`
	JSON  string   `help:"Write the slopes to a file." placeholder:"FILE"`
	Plots string   `help:"Write a plot of each slope to a directory, as SVG." placeholder:"DIR"`
	Quiet bool     `help:"No line of progress."`
}

func (c scaleCmd) Help() string {
	return "Hollow managers, which are the manager's code without its process, are driven through fleets of growing size, one " +
		"axis at a time, and a curve is fitted to what each cost comes to. docs/operators/scale.md says how to read it."
}

// Run measures and shows the slopes.
func (c scaleCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := os.Stderr
	if c.Quiet {
		var err error
		if progress, err = os.Open(os.DevNull); err != nil {
			return err
		}
	}
	options := scale.Options{Seed: c.Seed, Runs: c.Runs, Small: c.Small, Progress: progress}
	for _, axis := range c.Axis {
		options.Axes = append(options.Axes, scale.Axis(axis))
	}
	report, err := scale.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		return scale.WriteReport(c.JSON, report)
	}
	fmt.Println(len(report.Slopes), "slopes")
	return nil
}
