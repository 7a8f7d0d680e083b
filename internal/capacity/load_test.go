package capacity

import (
	"math"
	"os"
	"testing"

	"tamarindshore/internal/scale"
)

const (
	planFile   = "../../deploy/capacity.sexp"
	slopesFile = "../../docs/scale/slopes.json"
	pageFile   = "../../docs/CAPACITY.md"
)

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// madeUp are slopes whose figures were made up for these tests.
func exampleSlopes(t *testing.T) scale.Report {
	t.Helper()
	r, err := scale.ReadReport("testdata/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func repositoryPlan(t *testing.T) Plan {
	t.Helper()
	p, err := ReadPlan(planFile)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// small is a plan whose figures are easy to calculate by hand: 10 managers before 100 servers in 10 zones, 100 requests
// a second.
func smallPlan(t *testing.T) Plan {
	p := repositoryPlan(t)
	p.Managers.ListStored = false
	p.Fleet = Fleet{Managers: 10, Servers: 100, Services: 2, RequestsPerSecond: 100, Regions: 5, Zones: 10}
	p.Managers.Proxies = 50
	p.Managers.TrafficClasses = 1
	p.Managers.AttemptsPerRequest = 1
	p.Control.Count = 5
	p.Day.Failures = 1
	p.Day.Restarts = 10
	p.Day.Changes = 69
	p.Day.Batch = 5
	p.Subset = SubsetSize{HomeZones: 1, Others: 9, WidenBelow: 0.7}
	return p
}

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s: %v, not %v", what, got, want)
	}
}

func TestSubsetSizes(t *testing.T) {
	p := smallPlan(t)
	whole := p.normalServerCounts(WholeList)
	subset := p.normalServerCounts(Subset)
	cached := p.normalServerCounts(CachedSubset)
	checkNear(t, "held, whole list", whole.held, 100)
	checkNear(t, "held, subset", subset.held, 19)               // 10 of the home zone and 9 others
	checkNear(t, "sent, subset", subset.sent, 100)              // dropped where it is decoded
	checkNear(t, "sent, subset at a cache", cached.sent, 19)    // dropped before it is sent
	checkNear(t, "holders of a server", p.holders(subset), 1.9) // of 10 managers
	checkNear(t, "share of others", subset.share(true), 0.1)    // 9 of 90
	checkNear(t, "share of all", subset.share(false), 0.19)     // 19 of 100
	checkNear(t, "share of a whole list", whole.share(true), 1) // all
	checkNear(t, "sent share at a cache", cached.sentShare(true), 0.1)
	checkNear(t, "sent share", subset.sentShare(true), 1)
}

func TestHomeZonesMayCoverTheWholeFleet(t *testing.T) {
	p := smallPlan(t)
	p.Subset = SubsetSize{HomeZones: 10, Others: 50}
	checkNear(t, "held", p.normalServerCounts(Subset).held, 100)
	checkNear(t, "share of others", p.normalServerCounts(Subset).share(true), 1)
}

func TestRatesOfLoadAndUsageReports(t *testing.T) {
	p := smallPlan(t)
	checkNear(t, "reports, whole list", p.loadReports(p.normalServerCounts(WholeList)), 100*(1-math.Exp(-0.1))) // 10 tries on 100 servers
	checkNear(t, "reports, subset", p.loadReports(p.normalServerCounts(Subset)), 19*(1-math.Exp(-10.0/19)))
	checkNear(t, "usages", p.usageReports(), 50*(1-math.Exp(-0.2))) // 10 requests on 50 proxies
}

func TestHealthCheckRateIsBounded(t *testing.T) {
	p := smallPlan(t)
	checkNear(t, "a few silent servers", p.healthChecks(10), 5) // each once in 2 s
	checkNear(t, "a silent fleet", p.healthChecks(1e6), 64/0.6) // 64 at once, 0.6 s each
}

func TestBusiestSecond(t *testing.T) {
	p := repositoryPlan(t)
	checkNear(t, "entries a day", p.entriesPerDay(), 34*2+2500*3+7300)
	// 3,717 entries in the busiest hour are 186 batches, 0.052 a second: more than two together come in 2 of 100,000
	// seconds, more than one in 130
	checkNear(t, "busiest second", p.busiestSecond(), 40)
	p.Day = Day{Batch: 20, BusyHour: 0.25}
	checkNear(t, "a day without changes", p.busiestSecond(), 0)
}

func TestPoissonQuantile(t *testing.T) {
	for _, one := range []struct {
		mean, probability float64
		want              int
	}{{0, 0.9, 0}, {1, 0.36, 0}, {1, 0.37, 1}, {1, 0.92, 3}, {2, 0.95, 5}} {
		if got := poissonQuantile(one.mean, one.probability); got != one.want {
			t.Errorf("mean %v, probability %v: %d, not %d", one.mean, one.probability, got, one.want)
		}
	}
	if got := poissonQuantile(10000, 0.5); got != 10000 {
		t.Errorf("a large mean's median: %d", got)
	}
}

func TestManagerLoadMatchesHandCalculation(t *testing.T) {
	p := smallPlan(t)
	m := NewModel(p, exampleSlopes(t))
	reports := 100 * (1 - math.Exp(-0.1))
	usages := 50 * (1 - math.Exp(-0.2))

	quiet := m.Load(Manager, p.situations()[0], WholeList)
	checkNear(t, "messages in", quiet.MessagesIn.Value, 2+reports+usages+1)
	checkNear(t, "bytes in", quiet.BytesIn.Value, 100*reports+60*usages+80+20)
	checkNear(t, "bytes out", quiet.BytesOut.Value, 1000)
	checkNear(t, "bytes without collectors' lines", quiet.bytesWithoutCollectors().Value, 80+20+1000)
	base := 0.003 - 0.000002*900 - 0.00001*50 // 100 servers and 50 proxies
	checkNear(t, "core", quiet.Core.Value, base+0.00001*(reports+usages+1))
	checkNear(t, "core without collectors' lines", quiet.CoreWithoutCollectors.Value, base+0.00001)
	checkNear(t, "memory", quiet.Memory.Value, 1000000+1000*100)
	checkNear(t, "connections", quiet.Connections.Value, 4)

	restart := m.Load(Manager, situation(t, p, "all managers restart"), WholeList)
	checkNear(t, "an opening's bytes in", restart.BytesIn.Value-quiet.BytesIn.Value, (100+150*100)/19.0+80*50/19.0)
	checkNear(t, "an opening's orders", restart.BytesOut.Value-quiet.BytesOut.Value, (100+50)*40/19.0)
	checkNear(t, "an opening's core", restart.Core.Value-quiet.Core.Value, 0.00002*100/19+0.00001*50/19)

	cut := situation(t, p, "a region is cut off")
	checkNear(t, "probes of 9 others, of which 8 are outside the region", m.Load(Manager, cut, CachedSubset).MessagesOut.Value, 1+80.0/90*9/2)
	checkNear(t, "probes of a subset that widened", m.Load(Manager, cut, Subset).MessagesOut.Value, 1+80.0/90*72/2)
}

func TestSubsetWidensWhenARegionIsCutOff(t *testing.T) {
	p := smallPlan(t)
	// 10 of the 90 servers of other zones can be reached: of 9, 18, 36 and 72 others 1, 2, 4 and 8, where 6.3 are needed
	checkNear(t, "held", p.serverCounts(p.regionCut(), Subset).held, 10+72)
	checkNear(t, "held by what a cache sent before", p.serverCounts(p.regionCut(), CachedSubset).held, 10+9)
	p.Fleet.Regions = 10 // nothing but the home zone is left
	checkNear(t, "held where no other can be reached", p.serverCounts(p.regionCut(), Subset).held, 100)
	zoneLost := situation(t, p, "a zone is lost")
	checkNear(t, "held where one zone of many is lost", p.serverCounts(zoneLost, Subset).held, 10+9)
}

func situation(t *testing.T, p Plan, name string) Situation {
	t.Helper()
	for _, s := range p.situations() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no situation %q", name)
	return Situation{}
}

func TestControlMachineLoadMatchesHandCalculation(t *testing.T) {
	p := smallPlan(t)
	m := NewModel(p, exampleSlopes(t))
	quiet := m.Load(ControlMachine, p.situations()[0], WholeList)
	checkNear(t, "readers", quiet.Connections.Value, 2) // 10 managers before 5 machines
	checkNear(t, "signs of life", quiet.BytesOut.Value, 2*20)
	all := m.Load(ControlMachine, situation(t, p, "all managers restart"), WholeList)
	checkNear(t, "openings", all.BytesOut.Value-quiet.BytesOut.Value, 2*(100+150*100)/19.0)
	lost := m.Load(ControlMachine, situation(t, p, "two control machines are lost"), WholeList)
	checkNear(t, "readers of three machines", lost.Connections.Value, 10.0/3)
	checkNear(t, "openings of those that moved", lost.BytesOut.Value-10.0/3*20, 4.0/3*(100+150*100)/19)
}

func TestEntriesThatChangeTogetherShareOneMessage(t *testing.T) {
	p := smallPlan(t)
	p.Day.Batch = 20
	for _, one := range []struct {
		name           string
		situation      Situation
		share          float64
		lines, entries float64
	}{
		{"all of two batches", Situation{ListChanges: 40}, 1, 2, 20},
		{"a tenth of two batches", Situation{ListChanges: 40}, 0.1, 2, 2},
		{"a hundredth: less than one entry", Situation{ListChanges: 40}, 0.01, 0.4, 1},
		{"all that was missed", Situation{MissedEntries: 500}, 1, 1, 500},
		{"nothing of what was missed", Situation{MissedEntries: 50}, 0.001, 1, 1},
		{"nothing", Situation{}, 1, 0, 0},
	} {
		got := p.listChanges(one.situation, one.share)
		checkNear(t, one.name+": lines", got.messages, one.lines)
		checkNear(t, one.name+": entries of a line", got.entries, one.entries)
	}
}

func TestBusySecondMatchesMeasurement(t *testing.T) {
	r := exampleSlopes(t)
	r.Reference[scale.Reports] = 10
	busy := scale.Slope{Cost: scale.CPUPerBusySecond, Axis: scale.Reports, Unit: "seconds", Shape: scale.Linear, Base: 0.5, PerUnit: 0.001, Fits: true}
	news := scale.Slope{Cost: scale.RelayEventsPerSecond, Axis: scale.Reports, Unit: "per second", Shape: scale.Constant, Base: 30, Fits: true}
	r.Slopes = append(r.Slopes, busy, news)
	p := smallPlan(t)
	lines := 100*(1-math.Exp(-0.1)) + 50*(1-math.Exp(-0.2))
	load := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	checkNear(t, "core", load.Core.Value, 0.5+0.001*lines+0.00001*30)
	checkNear(t, "core without collectors' lines", load.CoreWithoutCollectors.Value, 0.003-0.000002*900-0.00001*50+0.00001*30)
	checkNear(t, "messages in", load.MessagesIn.Value, 2+lines+30)
}
