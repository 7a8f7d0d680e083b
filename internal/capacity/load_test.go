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

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// exampleSlopes returns slopes with invented figures.
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

// smallPlan returns a plan whose figures are easy to calculate by hand: 10 managers and 100 servers in 10 zones, and
// 100 requests per second.
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
	p.Subset = SubsetSize{HomeZones: 1, OtherServers: 9, WidenBelow: 0.7}
	return p
}

func assertNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

func TestSubsetSizes(t *testing.T) {
	p := smallPlan(t)
	complete := p.normalServerCounts(WholeList)
	subset := p.normalServerCounts(Subset)
	cached := p.normalServerCounts(CachedSubset)
	assertNear(t, "held, whole list", complete.held, 100)
	assertNear(t, "held, subset", subset.held, 19)                                    // 10 of the home zone and 9 others
	assertNear(t, "sent, subset", subset.sent, 100)                                   // servers outside the subset are dropped after decoding
	assertNear(t, "sent, subset at a watch cache", cached.sent, 19)                   // servers outside the subset are not sent
	assertNear(t, "managers per server", p.managersPerServer(subset), 1.9)            // 19 of 100 servers are held by each of 10 managers
	assertNear(t, "share of servers outside the home zones", subset.share(true), 0.1) // 9 of 90
	assertNear(t, "share of all", subset.share(false), 0.19)                          // 19 of 100
	assertNear(t, "share of a whole list", complete.share(true), 1)                   // every server is held
	assertNear(t, "sent share, subset at a watch cache", cached.sentShare(true), 0.1)
	assertNear(t, "sent share, subset", subset.sentShare(true), 1)
}

func TestHomeZonesMayCoverTheWholeFleet(t *testing.T) {
	p := smallPlan(t)
	p.Subset = SubsetSize{HomeZones: 10, OtherServers: 50}
	assertNear(t, "held", p.normalServerCounts(Subset).held, 100)
	assertNear(t, "share of servers outside the home zones", p.normalServerCounts(Subset).share(true), 1)
}

func TestRatesOfLoadAndUsageReports(t *testing.T) {
	p := smallPlan(t)
	assertNear(t, "load reports, whole list", p.loadReportRate(p.normalServerCounts(WholeList)),
		100*(1-math.Exp(-0.1))) // 10 attempts on 100 servers
	assertNear(t, "load reports, subset", p.loadReportRate(p.normalServerCounts(Subset)), 19*(1-math.Exp(-10.0/19)))
	assertNear(t, "usage reports", p.usageReportRate(), 50*(1-math.Exp(-0.2))) // 10 requests at 50 proxies
}

func TestHealthCheckRateIsBounded(t *testing.T) {
	p := smallPlan(t)
	assertNear(t, "a few unresponsive servers", p.healthCheckRate(10), 5)  // each server is checked once in 2 s
	assertNear(t, "an unresponsive fleet", p.healthCheckRate(1e6), 64/0.6) // 64 checks at a time, 0.6 s each
}

func TestBusiestSecond(t *testing.T) {
	p := repositoryPlan(t)
	assertNear(t, "entries per day", p.entriesPerDay(), 34*2+2500*3+7300)
	// 3,717 entries in the busiest hour are 186 batches or 0.052 per second. More than two batches in a second occur in
	// 2 of 100,000 seconds, more than one batch in 130 of 100,000 seconds.
	assertNear(t, "busiest second", p.busiestSecond(), 40)
	p.Day = Day{Batch: 20, BusyHour: 0.25}
	assertNear(t, "a day without changes", p.busiestSecond(), 0)
}

func TestPoissonQuantile(t *testing.T) {
	for _, test := range []struct {
		mean, probability float64
		want              int
	}{{0, 0.9, 0}, {1, 0.36, 0}, {1, 0.37, 1}, {1, 0.92, 3}, {2, 0.95, 5}} {
		if got := poissonQuantile(test.mean, test.probability); got != test.want {
			t.Errorf("mean %v, probability %v: got %d, want %d", test.mean, test.probability, got, test.want)
		}
	}
	if got := poissonQuantile(10000, 0.5); got != 10000 {
		t.Errorf("median for mean 10000: got %d, want 10000", got)
	}
}

func TestManagerLoadMatchesHandCalculation(t *testing.T) {
	p := smallPlan(t)
	m := NewModel(p, exampleSlopes(t))
	loadReports := 100 * (1 - math.Exp(-0.1))
	usageReports := 50 * (1 - math.Exp(-0.2))

	quiet := m.Load(Manager, p.situations()[0], WholeList)
	assertNear(t, "messages in", quiet.MessagesIn.Value, 2+loadReports+usageReports+1)
	assertNear(t, "bytes in", quiet.BytesIn.Value, 100*loadReports+60*usageReports+80+20)
	assertNear(t, "bytes out", quiet.BytesOut.Value, 1000)
	assertNear(t, "bytes without collectors' lines", quiet.bytesWithoutCollectors().Value, 80+20+1000)
	base := 0.003 - 0.000002*900 - 0.00001*50 // 100 servers and 50 proxies
	assertNear(t, "core", quiet.Core.Value, base+0.00001*(loadReports+usageReports+1))
	assertNear(t, "core without collectors' lines", quiet.CoreWithoutCollectors.Value, base+0.00001)
	assertNear(t, "memory", quiet.Memory.Value, 1000000+1000*100)
	assertNear(t, "connections", quiet.Connections.Value, 4)

	restart := m.Load(Manager, situation(t, p, "all managers restart"), WholeList)
	assertNear(t, "bytes in of an opening", restart.BytesIn.Value-quiet.BytesIn.Value, (100+150*100)/19.0+80*50/19.0)
	assertNear(t, "bytes of the commands of an opening", restart.BytesOut.Value-quiet.BytesOut.Value, (100+50)*40/19.0)
	assertNear(t, "core of an opening", restart.Core.Value-quiet.Core.Value, 0.00002*100/19+0.00001*50/19)

	regionCut := situation(t, p, "a region is cut off")
	assertNear(t, "health checks of 9 other servers, 8 of them outside the region",
		m.Load(Manager, regionCut, CachedSubset).MessagesOut.Value, 1+80.0/90*9/2)
	assertNear(t, "health checks of a widened subset", m.Load(Manager, regionCut, Subset).MessagesOut.Value, 1+80.0/90*72/2)
}

func TestSubsetWidensWhenARegionIsCutOff(t *testing.T) {
	p := smallPlan(t)
	// 10 of the 90 servers of other zones are reachable. The subset needs 6.3 reachable ones (0.7 of 9): of 9, 18, 36 and
	// 72 other servers, 1, 2, 4 and 8 are reachable.
	assertNear(t, "held", p.serverCounts(p.regionCut(), Subset).held, 10+72)
	assertNear(t, "held, subset at a watch cache", p.serverCounts(p.regionCut(), CachedSubset).held, 10+9)
	p.Fleet.Regions = 10 // only the home zone is left
	assertNear(t, "held if no other server is reachable", p.serverCounts(p.regionCut(), Subset).held, 100)
	zoneLost := situation(t, p, "a zone is lost")
	assertNear(t, "held if one zone of many is lost", p.serverCounts(zoneLost, Subset).held, 10+9)
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
	assertNear(t, "managers", quiet.Connections.Value, 2) // 10 managers on 5 machines
	assertNear(t, "heartbeats", quiet.BytesOut.Value, 2*20)
	all := m.Load(ControlMachine, situation(t, p, "all managers restart"), WholeList)
	assertNear(t, "openings", all.BytesOut.Value-quiet.BytesOut.Value, 2*(100+150*100)/19.0)
	lost := m.Load(ControlMachine, situation(t, p, "two control machines are lost"), WholeList)
	assertNear(t, "managers of each remaining machine", lost.Connections.Value, 10.0/3)
	assertNear(t, "openings of managers that reconnected", lost.BytesOut.Value-10.0/3*20, 4.0/3*(100+150*100)/19)
}

func TestEntriesThatChangeTogetherShareOneMessage(t *testing.T) {
	p := smallPlan(t)
	p.Day.Batch = 20
	for _, test := range []struct {
		name              string
		situation         Situation
		share             float64
		messages, entries float64
	}{
		{"all of two batches", Situation{ListChanges: 40}, 1, 2, 20},
		{"a tenth of two batches", Situation{ListChanges: 40}, 0.1, 2, 2},
		{"a hundredth of two batches, less than one entry", Situation{ListChanges: 40}, 0.01, 0.4, 1},
		{"all missed entries", Situation{MissedEntries: 500}, 1, 1, 500},
		{"less than one missed entry", Situation{MissedEntries: 50}, 0.001, 1, 1},
		{"no changes", Situation{}, 1, 0, 0},
	} {
		got := p.listChanges(test.situation, test.share)
		assertNear(t, test.name+": messages", got.messages, test.messages)
		assertNear(t, test.name+": entries per message", got.entries, test.entries)
	}
}

func TestBusySecondMatchesMeasurement(t *testing.T) {
	r := exampleSlopes(t)
	r.Reference[scale.Reports] = 10
	busy := scale.Slope{Cost: scale.CPUPerBusySecond, Axis: scale.Reports, Unit: "seconds", Shape: scale.Linear, Base: 0.5,
		PerUnit: 0.001, Fits: true}
	relayEvents := scale.Slope{Cost: scale.RelayEventsPerSecond, Axis: scale.Reports, Unit: "per second", Shape: scale.Constant,
		Base: 30, Fits: true}
	r.Slopes = append(r.Slopes, busy, relayEvents)
	p := smallPlan(t)
	reports := 100*(1-math.Exp(-0.1)) + 50*(1-math.Exp(-0.2))
	load := NewModel(p, r).Load(Manager, p.situations()[0], WholeList)
	assertNear(t, "core", load.Core.Value, 0.5+0.001*reports+0.00001*30)
	assertNear(t, "core without collectors' lines", load.CoreWithoutCollectors.Value, 0.003-0.000002*900-0.00001*50+0.00001*30)
	assertNear(t, "messages in", load.MessagesIn.Value, 2+reports+30)
}
