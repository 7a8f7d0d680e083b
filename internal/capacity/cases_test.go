package capacity

import (
	"strings"
	"testing"
	"time"

	"tamarindshore/internal/scale"
)

func tablesOf(r scale.Report, t *testing.T) string {
	t.Helper()
	var out strings.Builder
	NewModel(repositoryPlan(t), r).WriteTables(&out)
	return out.String()
}

func TestPlanSizeCasesAreComparedWithSums(t *testing.T) {
	r := exampleSlopes(t)
	if !strings.Contains(tablesOf(r, t), "The slopes' file has none: not measured.") {
		t.Error("a file without cases is not called so")
	}
	r.PlanSize = []scale.PlanSizeCase{{
		Name:   "whole list",
		Sizes:  map[scale.Axis]float64{scale.Servers: 24000, scale.Proxies: 480, scale.Zones: 88, scale.OpeningListSize: 24000},
		Costs:  map[scale.Cost]float64{scale.CPUPerQuietSecond: 0.1056, scale.HeapBytes: 5e6, scale.LongestDecision: 0.2},
		Spread: map[scale.Cost]float64{scale.CPUPerQuietSecond: 0.25},
	}}
	text := tablesOf(r, t)
	for _, want := range []string{
		"| whole list | cpu-per-quiet-second | 106 ms | 25% | 52.8 ms | 2 |",
		"| whole list | heap-bytes | 5 MB | 0% | 25 MB | 0.2 |",
		"| whole list | longest-decision | 0.2 | 0% | not measured | none |",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no row %s", want)
		}
	}
	if strings.Contains(text, "| whole list | news-per-second") {
		t.Error("a cost that the case does not have is shown")
	}
}

func TestRealProcessesAreComparedWithHollowManagers(t *testing.T) {
	r := exampleSlopes(t)
	r.Processes = []scale.ProcessCase{
		{Name: "quiet", Servers: 60, Proxies: 40, CPU: []float64{0.03, 0.01, 0.02}, ContextSwitches: []float64{1000}, HollowCPU: []float64{0.005}, MemoryMB: 30, HollowHeapMB: 2},
		{Name: "alone", ReadInterval: 0.05, Servers: 60, Proxies: 40, CPU: []float64{0.01}},
	}
	text := tablesOf(r, t)
	for _, want := range []string{
		"| quiet | as it comes | 60 | 40 | 0 | 2% | 0.5% | 1.5% | 30 MB | 2 MB | 1,000 |",
		"| alone | 50 ms | 60 | 40 | 0 | 1% | not measured | not measured | 0 MB | 0 MB | not measured |",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no row %s", want)
		}
	}
}

// constant is a made-up slope that is the same at each size.
func constantSlope(cost scale.Cost, axis scale.Axis, value float64) scale.Slope {
	return scale.Slope{Cost: cost, Axis: axis, Unit: "seconds", Shape: scale.Constant, Base: value, Fits: true}
}

func TestPropagationMatchesHandCalculation(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.PropagationLast, scale.Managers, 2), constantSlope(scale.LongestDecision, scale.Servers, 0.011),
		constantSlope(scale.ControlCPUPerManager, scale.Managers, 0.08))
	p := smallPlan(t)
	m := NewModel(p, r)
	checkNear(t, "alone", m.propagation(WholeList).Value, 3)                             // 2 s, and a decision of 0.011 s on 1.1% of a core
	checkNear(t, "all openings of a machine", m.allOpenings(WholeList).Value, 2*0.08/16) // two readers, 16 cores
	checks := m.propagationChecks()
	checkNear(t, "against 19 s", checks[0].Ratio[WholeList].Value, 3.0/19)
	checkNear(t, "beside openings, against 19 s", checks[1].Ratio[WholeList].Value, 3.01/19)
}

func TestControlMachineCoreMatchesHandCalculation(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.ControlCPUPerManager, scale.Managers, 0.08), constantSlope(scale.ControlCPUPerChange, scale.Managers, 0.001))
	p := smallPlan(t)
	m := NewModel(p, r)
	openings := m.Load(ControlMachine, situation(t, p, "all managers restart"), WholeList)
	checkNear(t, "two openings in 19 s", openings.Core.Value, 2*0.08/19)
	lost := m.Load(ControlMachine, situation(t, p, "a zone is lost"), WholeList)
	// 10 entries in two lines of 5, to the 9 managers of other zones before 5 machines
	checkNear(t, "two lines told in 19 s", lost.Core.Value, 2.0/19*9/5*0.001)
	if lost.Core.Known {
		t.Error("signs of life are not measured, yet the sum is called known")
	}
	r.Slopes = append(r.Slopes, constantSlope(scale.ControlCPUPerQuietSecond, scale.Managers, 0.0001))
	alive := NewModel(p, r).Load(ControlMachine, situation(t, p, "a zone is lost"), WholeList)
	checkNear(t, "signs of life for 9/5 readers", alive.Core.Value-lost.Core.Value, 0.0001*9/5)
	if !alive.Core.Known {
		t.Error("all was measured, yet the sum is not called known")
	}
}

func TestListChangeLongerThanMeasuredCostsNoMoreThanAnOpening(t *testing.T) {
	r := exampleSlopes(t)
	r.Reference[scale.RestartsAtOnce] = 1
	r.Slopes = append(r.Slopes, scale.Slope{Cost: scale.CPUPerListChange, Axis: scale.RestartsAtOnce, Shape: scale.Quadratic, PerUnit: 0.001, Fits: true,
		Points: []scale.Point{{Size: 10, Runs: []float64{0.1}}}})
	p := smallPlan(t)
	m := NewModel(p, r)
	h := p.normalServerCounts(WholeList)
	checkNear(t, "as measured", m.listChangeCore(h, 10).Value, 0.1)
	checkNear(t, "beyond it", m.listChangeCore(h, 1000).Value, 0.00002*100) // an opening of 100 entries
}

func TestProcessOverheadOverHollowManager(t *testing.T) {
	r := exampleSlopes(t)
	p := smallPlan(t)
	p.Managers.ReadInterval = 0
	before := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	if before.Core.Known {
		t.Error("no real process was measured, yet the core is called known")
	}
	r.Processes = []scale.ProcessCase{
		{Name: busyState, Servers: 60, CPU: []float64{0.02, 0.03, 0.04}, HollowCPU: []float64{0.01}},
		{Name: busyState, Servers: 240, CPU: []float64{0.05}, HollowCPU: []float64{0.01}},
		{Name: quietState, Servers: 60, CPU: []float64{0.004}, HollowCPU: []float64{0.001}},
		{Name: "another state", Servers: 60, CPU: []float64{0.9}, HollowCPU: []float64{0.1}},
	}
	after := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	checkNear(t, "strict", after.Core.Value-before.Core.Value, 0.03) // the mean of 0.02 and 0.04
	checkNear(t, "without collectors' lines", after.CoreWithoutCollectors.Value-before.CoreWithoutCollectors.Value, 0.003)
	if !after.Core.Known {
		t.Error("all was measured, yet the core is not called known")
	}

	p.Managers.ReadInterval = 50 * time.Millisecond
	if spaced := NewModel(p, r).Load(Manager, p.situations()[0], WholeList); spaced.Core.Known {
		t.Error("no real process was measured with reads 50 ms apart, yet the core is called known")
	}
	r.Processes = append(r.Processes, scale.ProcessCase{Name: busyState, ReadInterval: 0.05, CPU: []float64{0.004}, HollowCPU: []float64{0.001}})
	spaced := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	checkNear(t, "strict, reads 50 ms apart", spaced.Core.Value-before.Core.Value, 0.003)
}

func TestPropagationDuringOpeningsMatchesMeasurement(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.PropagationLast, scale.Managers, 2), constantSlope(scale.LongestDecision, scale.Servers, 0.011),
		constantSlope(scale.PropagationDuringOpeningsLast, scale.Managers, 6), constantSlope(scale.PropagationDuringControlLossLast, scale.Managers, 8),
		constantSlope(scale.CPUPerSubsetRead, scale.OpeningListSize, 0.022), constantSlope(scale.CPUPerListRead, scale.OpeningListSize, 0.033))
	m := NewModel(smallPlan(t), r)
	checks := m.propagationChecks()
	checkNear(t, "beside openings, subset", checks[1].Ratio[Subset].Value, (6.0+1)/19)          // and a decision of 0.011 s on 1.1% of a core
	checkNear(t, "beside openings, whole list", checks[1].Ratio[WholeList].Value, (6.0+1+1)/19) // it reads for 1 s more
	checkNear(t, "machines lost, subset", checks[2].Ratio[Subset].Value, (8.0+1)/19)
	if checks[1].Ratio[Subset].Known != true {
		t.Error("all was measured, yet the time is not called known")
	}
}

func TestUnmeasuredPropagationDuringControlLossIsUnknown(t *testing.T) {
	checks := NewModel(smallPlan(t), exampleSlopes(t)).propagationChecks()
	if len(checks) != 3 || checks[2].Ratio[Subset].Known {
		t.Errorf("%+v", checks)
	}
}

func TestOpeningReadsEntriesThatItDrops(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.CPUPerSubsetRead, scale.OpeningListSize, 0.022), constantSlope(scale.CPUPerListRead, scale.OpeningListSize, 0.002))
	p := smallPlan(t)
	m := NewModel(p, r)
	held := p.normalServerCounts(CachedSubset)
	checkNear(t, "a subset of what is sent", m.openingCore(p.normalServerCounts(Subset)).Value-m.openingCore(held).Value, 0.02)
}
