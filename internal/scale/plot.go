package scale

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// WritePlots writes one SVG file per slope to a directory, with the runs as points and the curve as a line.
func WritePlots(dir string, report Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, slope := range report.Slopes {
		path := filepath.Join(dir, fmt.Sprintf("%s-by-%s.svg", slope.Cost, slope.Axis))
		if err := writePlot(path, slope); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

const (
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 10 * vg.Centimeter
	curvePoints = 64
)

// writePlot writes the plot of one slope.
func writePlot(path string, slope Slope) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s, worst %.0f%% off", slope.Cost, slope.Shape, 100*slope.WorstError)
	p.X.Label.Text = string(slope.Axis)
	p.Y.Label.Text = slope.Unit
	points, err := plotter.NewScatter(runsOf(slope))
	if err != nil {
		return err
	}
	points.Shape = draw.CircleGlyph{}
	curve, err := plotter.NewLine(curveOf(slope))
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), curve, points)
	return p.Save(plotWidth, plotHeight, path)
}

// runsOf returns one plot point for each run.
func runsOf(slope Slope) (points plotter.XYs) {
	for _, point := range slope.Points {
		for _, run := range point.Runs {
			points = append(points, plotter.XY{X: point.Size, Y: run})
		}
	}
	return points
}

// curveOf returns points of the slope's curve between the smallest and the largest measured size.
func curveOf(slope Slope) (points plotter.XYs) {
	smallest := slope.SmallestSize()
	largest := slope.LargestSize()
	for i := range curvePoints {
		size := smallest + (largest-smallest)*float64(i)/(curvePoints-1)
		points = append(points, plotter.XY{X: size, Y: slope.At(size)})
	}
	return points
}
