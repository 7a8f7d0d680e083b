package scale

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

// Options say what a run measures.
type Options struct {
	Axes     []Axis    // none: all
	Sizes    []float64 // in place of the usual ones, on one axis of hollow managers or of real processes
	Seed     uint64    // settles all that is drawn
	Runs     int       // at each size
	Small    bool      // fewer and smaller sizes
	Memory   Memory    // limit of what may be held
	Progress io.Writer // gets a line for each size
	Program  string    // started as a real manager and as the control side; none: neither is measured
}

// OptionError says which option is invalid, and why.
type OptionError struct {
	Flag    string // of the command that sets it
	Problem string
}

// Error names the flag and what is wrong.
func (e *OptionError) Error() string { return e.Flag + ": " + e.Problem }

// Validate returns an OptionError for the first option that is invalid.
func (o Options) Validate() error {
	for _, axis := range o.Axes {
		if !slices.Contains(Axes(), axis) {
			return &OptionError{"--axis", fmt.Sprintf("%q is none of %v", axis, Axes())}
		}
	}
	switch {
	case o.Runs < 1 || o.Runs > 100:
		return &OptionError{"--runs", fmt.Sprintf("%d is not from 1 to 100", o.Runs)}
	case len(o.Sizes) > 0 && len(o.Axes) != 1:
		return &OptionError{"--sizes", "one --axis is due with it"}
	}
	for _, size := range o.Sizes {
		if !(size >= 1 && size <= maxSize) {
			return &OptionError{"--sizes", fmt.Sprintf("%g is not from 1 to %g", size, float64(maxSize))}
		}
	}
	return nil
}

const maxSize = 1e9

// Run measures what the options ask for. A size that doesn't fit the limits is a LimitError before anything is begun.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	reference := Reference()
	reference.Seed = options.Seed
	report := Report{
		Version:   ReportVersion,
		Seed:      options.Seed,
		Cores:     runtime.NumCPU(),
		GoVersion: runtime.Version(),
		Reference: reference.sizes(),
	}
	run := &session{options: options, reference: reference}
	wanted := run.wanted()
	for _, s := range wanted {
		for _, size := range s.sizes {
			if err := s.check(run, size, s); err != nil {
				return report, err
			}
		}
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(options.Memory.Bytes)))
	for _, s := range wanted {
		slopes, err := run.measureSurvey(ctx, s)
		if err != nil {
			return report, err
		}
		report.Slopes = append(report.Slopes, slopes...)
	}
	return report, run.measureBeside(ctx, &report)
}

// wanted are the surveys that the options ask for, each with its sizes.
func (r *session) wanted() (all []survey) {
	for _, s := range surveys {
		if len(r.options.Axes) > 0 && !slices.Contains(r.options.Axes, s.axis) || s.realProcesses && r.options.Program == "" {
			continue
		}
		if r.options.Small {
			s.sizes = s.smallSizes
		}
		if len(r.options.Sizes) > 0 && (!s.realProcesses || s.axis == Processes || s.axis == Connections) {
			s.sizes = r.options.Sizes
		}
		all = append(all, s)
	}
	return all
}

// measureSurvey measures all costs along an axis, size by size, and fits a slope to each.
func (r *session) measureSurvey(ctx context.Context, s survey) ([]Slope, error) {
	points := map[Cost][]Point{}
	for _, size := range s.sizes {
		began := time.Now()
		samples, err := s.measure(r, ctx, size, s)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			return nil, fmt.Errorf("%s %g: %w", s.axis, size, err)
		}
		fmt.Fprintf(r.options.Progress, "%s %g: %d runs in %.1f s\n", s.axis, size, len(samples), time.Since(began).Seconds())
		for _, cost := range s.costs {
			points[cost] = append(points[cost], pointOf(size, cost, samples))
		}
	}
	var slopes []Slope
	for _, cost := range s.costs {
		slopes = append(slopes, fitted(Slope{Cost: cost, Axis: s.axis, Unit: unitOf(cost), Hollow: !s.realProcesses, Points: points[cost]}))
	}
	return slopes, nil
}

// measureBeside measures what is no slope, in a full run: the plan's size, and real processes.
func (r *session) measureBeside(ctx context.Context, report *Report) (err error) {
	if len(r.options.Axes) > 0 || r.options.Small {
		return nil
	}
	if report.PlanSize, err = measurePlanSize(ctx, r.options); err != nil {
		return err
	}
	if r.options.Program != "" {
		report.Processes, err = measureProcesses(ctx, r.options)
	}
	return err
}

// pointOf is a cost at a size, with all runs.
func pointOf(size float64, cost Cost, samples []sample) Point {
	point := Point{Size: size}
	for _, measured := range samples {
		point.Runs = append(point.Runs, measured[cost])
	}
	return point
}

// sizes are a scenario's by axis.
func (s Scenario) sizes() map[Axis]float64 {
	return map[Axis]float64{
		Servers:         float64(s.Servers),
		Proxies:         float64(s.Proxies),
		Zones:           float64(s.Zones),
		TrafficClasses:  float64(s.TrafficClasses),
		ListChanges:     s.ListChanges,
		Reports:         s.Reports,
		RestartsAtOnce:  float64(s.RestartsAtOnce),
		OpeningListSize: float64(s.Servers),
		Managers:        1,
		Processes:       1,
		Connections:     1,
	}
}
