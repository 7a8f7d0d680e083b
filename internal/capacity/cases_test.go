package capacity

import (
	"strings"
	"testing"
	"time"

	"tamarindshore/internal/scale"
)

func renderTables(r scale.Report, t *testing.T) string {
	t.Helper()
	var out strings.Builder
	NewModel(repositoryPlan(t), r).WriteTables(&out)
	return out.String()
}

func TestPlanSizeCasesAreComparedWithSums(t *testing.T) {
	r := exampleSlopes(t)
	if !strings.Contains(renderTables(r, t), "The slopes' file has none: not measured.") {
		t.Error("the tables do not say that the slopes file has no cases")
	}
	r.PlanSize = []scale.PlanSizeCase{{
		Name:   "whole list",
		Sizes:  map[scale.Axis]float64{scale.Servers: 24000, scale.Proxies: 480, scale.Zones: 88, scale.OpeningListSize: 24000},
		Costs:  map[scale.Cost]float64{scale.CPUPerQuietSecond: 0.1056, scale.HeapBytes: 5e6, scale.LongestDecision: 0.2},
		Spread: map[scale.Cost]float64{scale.CPUPerQuietSecond: 0.25},
	}}
	text := renderTables(r, t)
	for _, want := range []string{
		"| whole list | cpu-per-quiet-second | 106 ms | 25% | 52.8 ms | 2 |",
		"| whole list | heap-bytes | 5 MB | 0% | 25 MB | 0.2 |",
		"| whole list | longest-decision | 0.2 | 0% | not measured | none |",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the tables lack the row %s", want)
		}
	}
	if strings.Contains(text, "| whole list | news-per-second") {
		t.Error("the tables show a cost that was not measured in the case")
	}
}

func TestRealProcessesAreComparedWithHollowManagers(t *testing.T) {
	r := exampleSlopes(t)
	r.Processes = []scale.ProcessCase{
		{Name: "quiet", Servers: 60, Proxies: 40, CPU: []float64{0.03, 0.01, 0.02}, ContextSwitches: []float64{1000}, HollowCPU: []float64{0.005},
			MemoryMB: 30, HollowHeapMB: 2},
		{Name: "alone", ReadInterval: 0.05, Servers: 60, Proxies: 40, CPU: []float64{0.01}},
	}
	text := renderTables(r, t)
	for _, want := range []string{
		"| quiet | as it comes | 60 | 40 | 0 | 2% | 0.5% | 1.5% | 30 MB | 2 MB | 1,000 |",
		"| alone | 50 ms | 60 | 40 | 0 | 1% | not measured | not measured | 0 MB | 0 MB | not measured |",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the tables lack the row %s", want)
		}
	}
}

// constantSlope returns an invented slope whose value is the same at every size.
func constantSlope(cost scale.Cost, axis scale.Axis, value float64) scale.Slope {
	return scale.Slope{Cost: cost, Axis: axis, Unit: "seconds", Shape: scale.Constant, Base: value, Fits: true}
}

func TestPropagationMatchesHandCalculation(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.PropagationLast, scale.Managers, 2),
		constantSlope(scale.LongestDecision, scale.Servers, 0.011),
		constantSlope(scale.ControlCPUPerManager, scale.Managers, 0.08))
	p := smallPlan(t)
	m := NewModel(p, r)
	// 2 s of propagation, and 1 s for a decision of 0.011 s on 1.1% of a core
	assertNear(t, "change in a quiet second", m.propagation(WholeList).Value, 3)
	assertNear(t, "all openings of a machine", m.allOpenings(WholeList).Value, 2*0.08/16) // 2 managers, 16 cores
	checks := m.propagationChecks()
	assertNear(t, "ratio to the budget of 19 s", checks[0].Ratio[WholeList].Value, 3.0/19)
	assertNear(t, "ratio to the budget of 19 s, during openings", checks[1].Ratio[WholeList].Value, 3.01/19)
}

func TestControlMachineCoreMatchesHandCalculation(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.ControlCPUPerManager, scale.Managers, 0.08),
		constantSlope(scale.ControlCPUPerChange, scale.Managers, 0.001))
	p := smallPlan(t)
	m := NewModel(p, r)
	openings := m.Load(ControlMachine, situation(t, p, "all managers restart"), WholeList)
	assertNear(t, "two openings in 19 s", openings.Core.Value, 2*0.08/19)
	lost := m.Load(ControlMachine, situation(t, p, "a zone is lost"), WholeList)
	// 10 entries in 2 messages of 5, sent by 5 control machines to the 9 managers of other zones
	assertNear(t, "two messages sent in 19 s", lost.Core.Value, 2.0/19*9/5*0.001)
	if lost.Core.Known {
		t.Error("heartbeats were not measured, but the core is known")
	}
	r.Slopes = append(r.Slopes, constantSlope(scale.ControlCPUPerQuietSecond, scale.Managers, 0.0001))
	withHeartbeats := NewModel(p, r).Load(ControlMachine, situation(t, p, "a zone is lost"), WholeList)
	assertNear(t, "heartbeats to 9/5 managers", withHeartbeats.Core.Value-lost.Core.Value, 0.0001*9/5)
	if !withHeartbeats.Core.Known {
		t.Error("everything was measured, but the core is not known")
	}
}

func TestListChangeLongerThanMeasuredCostsNoMoreThanAnOpening(t *testing.T) {
	r := exampleSlopes(t)
	r.Reference[scale.RestartsAtOnce] = 1
	r.Slopes = append(r.Slopes, scale.Slope{Cost: scale.CPUPerListChange, Axis: scale.RestartsAtOnce, Shape: scale.Quadratic,
		PerUnit: 0.001, Fits: true, Points: []scale.Point{{Size: 10, Runs: []float64{0.1}}}})
	p := smallPlan(t)
	m := NewModel(p, r)
	counts := p.normalServerCounts(WholeList)
	assertNear(t, "at the largest measured size", m.listChangeCore(counts, 10).Value, 0.1)
	assertNear(t, "beyond the largest measured size", m.listChangeCore(counts, 1000).Value, 0.00002*100) // an opening of 100 entries
}

func TestProcessOverheadOverHollowManager(t *testing.T) {
	r := exampleSlopes(t)
	p := smallPlan(t)
	p.Managers.ReadInterval = 0
	before := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	if before.Core.Known {
		t.Error("no real process was measured, but the core is known")
	}
	r.Processes = []scale.ProcessCase{
		{Name: busyState, Servers: 60, CPU: []float64{0.02, 0.03, 0.04}, HollowCPU: []float64{0.01}},
		{Name: busyState, Servers: 240, CPU: []float64{0.05}, HollowCPU: []float64{0.01}},
		{Name: quietState, Servers: 60, CPU: []float64{0.004}, HollowCPU: []float64{0.001}},
		{Name: "another state", Servers: 60, CPU: []float64{0.9}, HollowCPU: []float64{0.1}},
	}
	after := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	assertNear(t, "strict", after.Core.Value-before.Core.Value, 0.03) // the mean of 0.02 and 0.04
	assertNear(t, "without collectors' lines", after.CoreWithoutCollectors.Value-before.CoreWithoutCollectors.Value, 0.003)
	if !after.Core.Known {
		t.Error("everything was measured, but the core is not known")
	}

	p.Managers.ReadInterval = 50 * time.Millisecond
	if withInterval := NewModel(p, r).Load(Manager, p.situations()[0], WholeList); withInterval.Core.Known {
		t.Error("no real process was measured with a read interval of 50 ms, but the core is known")
	}
	r.Processes = append(r.Processes, scale.ProcessCase{Name: busyState, ReadInterval: 0.05, CPU: []float64{0.004},
		HollowCPU: []float64{0.001}})
	withInterval := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	assertNear(t, "strict, read interval of 50 ms", withInterval.Core.Value-before.Core.Value, 0.003)
}

func TestPropagationDuringOpeningsMatchesMeasurement(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.PropagationLast, scale.Managers, 2),
		constantSlope(scale.LongestDecision, scale.Servers, 0.011),
		constantSlope(scale.PropagationDuringOpeningsLast, scale.Managers, 6),
		constantSlope(scale.PropagationDuringControlLossLast, scale.Managers, 8),
		constantSlope(scale.CPUPerSubsetRead, scale.OpeningListSize, 0.022), constantSlope(scale.CPUPerListRead, scale.OpeningListSize, 0.033))
	m := NewModel(smallPlan(t), r)
	checks := m.propagationChecks()
	// 1 s for a decision of 0.011 s on 1.1% of a core
	assertNear(t, "during openings, subset", checks[1].Ratio[Subset].Value, (6.0+1)/19)
	assertNear(t, "during openings, whole list", checks[1].Ratio[WholeList].Value, (6.0+1+1)/19) // reading takes 1 s longer
	assertNear(t, "control machines lost, subset", checks[2].Ratio[Subset].Value, (8.0+1)/19)
	if checks[1].Ratio[Subset].Known != true {
		t.Error("everything was measured, but the time is not known")
	}
}

func TestUnmeasuredPropagationDuringControlLossIsUnknown(t *testing.T) {
	checks := NewModel(smallPlan(t), exampleSlopes(t)).propagationChecks()
	if len(checks) != 3 || checks[2].Ratio[Subset].Known {
		t.Errorf("got %+v, want three checks, the last with an unknown ratio", checks)
	}
}

func TestOpeningCostIncludesDecodingDroppedEntries(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes = append(r.Slopes, constantSlope(scale.CPUPerSubsetRead, scale.OpeningListSize, 0.022),
		constantSlope(scale.CPUPerListRead, scale.OpeningListSize, 0.002))
	p := smallPlan(t)
	m := NewModel(p, r)
	cached := p.normalServerCounts(CachedSubset)
	assertNear(t, "difference between a subset and a subset at a watch cache",
		m.openingCore(p.normalServerCounts(Subset)).Value-m.openingCore(cached).Value, 0.02)
}
