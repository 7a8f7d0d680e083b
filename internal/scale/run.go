package scale

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
)

// Options say what a run measures.
type Options struct {
	Axes     []Axis // none: all
	Seed     uint64
	Runs     int
	Small    bool
	Progress io.Writer
}

// Run measures what the options ask for.
func Run(ctx context.Context, options Options) (Report, error) {
	reference := Reference()
	reference.Seed = options.Seed
	report := Report{Version: ReportVersion, Seed: options.Seed, Cores: runtime.NumCPU(), GoVersion: runtime.Version(), Reference: reference.sizes()}
	measured := map[Scenario][]sample{} // the reference stands on each axis
	for _, survey := range surveys {
		if len(options.Axes) > 0 && !slices.Contains(options.Axes, survey.axis) {
			continue
		}
		slopes, err := survey.run(ctx, options, reference, measured)
		if err != nil {
			return report, err
		}
		report.Slopes = append(report.Slopes, slopes...)
	}
	return report, nil
}

func (s survey) run(ctx context.Context, options Options, reference Scenario, measured map[Scenario][]sample) ([]Slope, error) {
	sizes := s.sizes
	if options.Small {
		sizes = s.small
	}
	points := map[Cost][]Point{}
	for _, size := range sizes {
		scenario := reference.With(s.axis, size)
		if measured[scenario] == nil {
			fmt.Fprintf(options.Progress, "%s %g: %d runs\n", s.axis, size, options.Runs)
			samples, err := measure(ctx, scenario, options.Runs)
			if err != nil {
				return nil, err
			}
			measured[scenario] = samples
		}
		for _, cost := range s.costs {
			points[cost] = append(points[cost], pointOf(size, cost, measured[scenario]))
		}
	}
	var slopes []Slope
	for _, cost := range s.costs {
		slopes = append(slopes, fitted(Slope{Cost: cost, Axis: s.axis, Unit: unitOf(cost), Hollow: true, Points: points[cost]}))
	}
	return slopes, nil
}

func pointOf(size float64, cost Cost, samples []sample) Point {
	point := Point{Size: size}
	for _, one := range samples {
		point.Runs = append(point.Runs, one[cost])
	}
	return point
}

// sizes are a scenario's by axis.
func (s Scenario) sizes() map[Axis]float64 {
	return map[Axis]float64{Servers: float64(s.Servers), Proxies: float64(s.Proxies), Zones: float64(s.Zones),
		TrafficGroups: float64(s.TrafficGroups), ListChanges: s.ListChanges, Reports: s.Reports, RestartsAtOnce: float64(s.RestartsAtOnce),
		OpeningListSize: float64(s.Servers), Managers: 1}
}
