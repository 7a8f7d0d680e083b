package capacity

import (
	"strings"
	"testing"

	"tamarindshore/internal/scale"
)

func measuredSlope(cost scale.Cost, axis scale.Axis, unit string, size float64, runs ...float64) scale.Slope {
	return scale.Slope{Cost: cost, Axis: axis, Unit: unit, Shape: scale.Constant, Fits: true, Spread: 0.25,
		Points: []scale.Point{{Size: size, Runs: runs}}}
}

func TestPropagationAndFleetsAreShownAsMeasured(t *testing.T) {
	r := exampleSlopes(t)
	text := renderTables(r, t)
	for _, want := range []string{
		"| two of seven machines are lost | not measured |",
		"as many hollow managers\n\nThe slopes' file has none",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the tables lack %q", want)
		}
	}
	r.Slopes = append(r.Slopes,
		measuredSlope(scale.PropagationDuringControlLossMedian, scale.Managers, "seconds", 56, 0.06),
		measuredSlope(scale.PropagationDuringControlLossLast, scale.Managers, "seconds", 56, 9, 8, 10),
		measuredSlope(scale.ProcessPropagationLast, scale.Processes, "seconds", 30, 0.004),
		measuredSlope(scale.ProcessMemory, scale.Processes, "bytes", 30, 27e6))
	text = renderTables(r, t)
	for _, want := range []string{
		"| two of seven machines are lost | 56 | 60 ms | not measured | 9 s | 25% |",
		"| 30 | not measured | 4 ms | not measured | not measured | not measured | not measured | not measured | not measured | 27 MB |",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the tables lack the row %s", want)
		}
	}
}

func TestCoreIsShownForEachReadInterval(t *testing.T) {
	r := exampleSlopes(t)
	r.Processes = []scale.ProcessCase{
		{Name: busyState, ReadInterval: 0.05, CPU: []float64{0.002}, HollowCPU: []float64{0.001}},
		{Name: busyState, CPU: []float64{0.02}, HollowCPU: []float64{0.001}},
	}
	text := renderTables(r, t)
	heading := strings.Index(text, "by the time between reads")
	withoutInterval := strings.Index(text[heading:], "| as it comes | whole-list |")
	withInterval := strings.Index(text[heading:], "| 50 ms | whole-list |")
	if heading < 0 || withoutInterval < 0 || withInterval < withoutInterval {
		t.Errorf("got offsets: heading %d, rows without interval %d, rows with 50 ms %d; want ascending row offsets",
			heading, withoutInterval, withInterval)
	}
}
