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

// Options selects what a run measures.
type Options struct {
	Axes     []Axis    // empty: all axes
	Sizes    []float64 // sizes along the one selected axis; empty, and always for the control plane: default sizes
	Seed     uint64    // seed of all random numbers
	Runs     int       // number of runs at each size
	Small    bool      // measure at fewer and smaller sizes
	Memory   Memory    // limit on the memory in use
	Progress io.Writer // receives a line for each size
	Program  string    // executable started as a real manager and as the control process; empty: neither is measured
}

// OptionError reports an invalid option.
type OptionError struct {
	Flag    string // command-line flag that sets the option
	Problem string // why the value is invalid
}

// Error returns the flag and why its value is invalid.
func (e *OptionError) Error() string { return e.Flag + ": " + e.Problem }

// Validate returns an OptionError for the first invalid option.
func (o Options) Validate() error {
	for _, axis := range o.Axes {
		if !slices.Contains(Axes(), axis) {
			return &OptionError{"--axis", fmt.Sprintf("unknown axis %q, expected one of %v", axis, Axes())}
		}
	}
	switch {
	case o.Runs < 1 || o.Runs > 100:
		return &OptionError{"--runs", fmt.Sprintf("%d is not between 1 and 100", o.Runs)}
	case len(o.Sizes) > 0 && len(o.Axes) != 1:
		return &OptionError{"--sizes", "requires exactly one --axis"}
	}
	for _, size := range o.Sizes {
		if !(size >= 1 && size <= maxAxisSize) {
			return &OptionError{"--sizes", fmt.Sprintf("%g is not between 1 and %g", size, float64(maxAxisSize))}
		}
	}
	return nil
}

// maxAxisSize is the largest size along an axis that an option may ask for.
const maxAxisSize = 1e9

// Run measures what the options select. It returns a LimitError before it measures anything if a size exceeds the limits.
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
	selected := run.selectSurveys()
	for _, s := range selected {
		for _, size := range s.sizes {
			if err := s.check(run, size, s); err != nil {
				return report, err
			}
		}
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(options.Memory.Bytes)))
	for _, s := range selected {
		slopes, err := run.measureSurvey(ctx, s)
		if err != nil {
			return report, err
		}
		report.Slopes = append(report.Slopes, slopes...)
	}
	return report, run.measureFullRunCases(ctx, &report)
}

// selectSurveys returns the surveys that the options select, each with its sizes.
func (r *session) selectSurveys() (selected []survey) {
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
		selected = append(selected, s)
	}
	return selected
}

// measureSurvey measures all costs of a survey, size by size, and fits a slope to each cost.
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
		slopes = append(slopes, fitSlope(Slope{Cost: cost, Axis: s.axis, Unit: unitOf(cost), Hollow: !s.realProcesses, Points: points[cost]}))
	}
	return slopes, nil
}

// measureFullRunCases measures single cases, to which no slope is fitted: managers at the capacity plan's size, and real
// processes. It does nothing unless the run covers all axes at their full sizes.
func (r *session) measureFullRunCases(ctx context.Context, report *Report) (err error) {
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

// pointOf returns the point of a cost at a size, with the values of all runs.
func pointOf(size float64, cost Cost, samples []sample) Point {
	point := Point{Size: size}
	for _, measured := range samples {
		point.Runs = append(point.Runs, measured[cost])
	}
	return point
}

// sizes returns the scenario's size along each axis.
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
