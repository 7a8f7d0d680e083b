package scale

// Tests that fail if a cost grows along an axis on which it must not depend. They count allocations, bytes and commands
// instead of time, since these are the same on each machine and in each run.

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/node"
)

// testManager is a hollow manager that has read its endpoint list and assigned its proxies, and whose next timer isn't due
// yet.
type testManager struct {
	*recorder
	t *testing.T
}

// openTestManager starts a manager of a scenario and advances it to the state that testManager describes.
func openTestManager(t *testing.T, scenario Scenario) testManager {
	t.Helper()
	site := scenario.site()
	config, err := scenario.managerConfig(site)
	if err != nil {
		t.Fatal(err)
	}
	manager, err := node.NewHollowManager(config, scriptEpoch)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(manager.Close)
	r := &recorder{messageSource: newMessageSource(scenario, site), ctx: context.Background(), manager: manager,
		proxies: newProxyTables(), script: &script{}, current: &phase{}}
	for server := range scenario.Servers {
		r.serverOrder = append(r.serverOrder, server)
	}
	for _, play := range []func() error{r.playList, r.playJoin, r.stopTraffic, func() error { return r.playBusy(2 * time.Second) }} {
		if err := play(); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.advance(r.manager.NextWake() + 2*ackDelay); err != nil {
		t.Fatal(err)
	}
	if assigned := len(r.proxies.tableOf); assigned != scenario.Proxies {
		t.Fatalf("%d of %d proxies are assigned to a table", assigned, scenario.Proxies)
	}
	return testManager{r, t}
}

// deliver sends messages to the manager one microsecond later.
func (opened testManager) deliver(messages ...node.Message) node.StepResult {
	opened.now += time.Microsecond
	result, err := opened.manager.Step(opened.now, messages...)
	if err != nil {
		opened.t.Fatal(err)
	}
	return result
}

// allocationWork is the memory allocated for one input.
type allocationWork struct {
	allocations float64 // number of allocations
	bytes       float64 // allocated bytes
}

// countedReports is the number of reports over which the allocated memory is averaged.
const countedReports = 400

// workPerReport returns the mean memory that the manager allocates for one report of a collector.
func (opened testManager) workPerReport(input func(node.Message)) (w allocationWork) {
	var messages []node.Message
	for range 2 * countedReports {
		messages = append(messages, opened.nextReport())
	}
	for _, message := range messages[:countedReports] { // fills the sample history to its full length
		input(message)
	}
	next := countedReports
	before := totalAllocatedBytes()
	w.allocations = testing.AllocsPerRun(countedReports-1, func() {
		input(messages[next])
		next++
	})
	w.bytes = (totalAllocatedBytes() - before) / countedReports
	return w
}

// totalAllocatedBytes returns the bytes that this process has allocated so far.
func totalAllocatedBytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}

// Largest differences of the memory allocated for one input between two sizes that count as equal.
const (
	maxAllocationDifference = 1
	maxByteDifference       = 256
)

// growthBetween describes how the memory allocated for one input differs between two sizes, or returns an empty string if
// it doesn't.
func growthBetween(small, large allocationWork) string {
	switch {
	case math.Abs(large.allocations-small.allocations) > maxAllocationDifference:
		return fmt.Sprintf("%g allocations at the smaller size, %g at the larger", small.allocations, large.allocations)
	case math.Abs(large.bytes-small.bytes) > maxByteDifference:
		return fmt.Sprintf("%.0f bytes allocated at the smaller size, %.0f at the larger", small.bytes, large.bytes)
	}
	return ""
}

// smallScenario returns a scenario that is small enough for each CI run.
func smallScenario() Scenario {
	scenario := Reference()
	scenario.Servers = 240
	scenario.Proxies = 200
	scenario.ListChanges = 0
	return scenario
}

func TestInputCostIsIndependentOfFleetSize(t *testing.T) {
	for _, test := range []struct {
		axis         Axis
		small, large float64
	}{{Servers, 60, 6000}, {Proxies, 40, 2000}, {Zones, 2, 40}} {
		t.Run(string(test.axis), func(t *testing.T) {
			few := openTestManager(t, smallScenario().With(test.axis, test.small))
			many := openTestManager(t, smallScenario().With(test.axis, test.large))
			fewWork := few.workPerReport(func(m node.Message) { few.deliver(m) })
			manyWork := many.workPerReport(func(m node.Message) { many.deliver(m) })
			if growth := growthBetween(fewWork, manyWork); growth != "" {
				t.Errorf("work for one input: %s", growth)
			}
		})
	}
}

// The comparison in the test above must be able to fail. Here each input first scans all servers, as a rule without an index
// would.
func TestWorkComparisonDetectsScanOfAllServers(t *testing.T) {
	workWithScan := func(opened testManager) allocationWork {
		return opened.workPerReport(func(m node.Message) {
			var zones []string
			for server := range opened.scenario.Servers {
				zones = append(zones, opened.site.Zone(server))
			}
			if len(zones) != opened.scenario.Servers {
				t.Fatalf("scanned %d servers, want %d", len(zones), opened.scenario.Servers)
			}
			opened.deliver(m)
		})
	}
	few := openTestManager(t, smallScenario().With(Servers, 60))
	many := openTestManager(t, smallScenario().With(Servers, 6000))
	if growthBetween(workWithScan(few), workWithScan(many)) == "" {
		t.Error("a scan of all servers for each input is not detected")
	}
}

func TestListChangeSizeIsIndependentOfFleetSize(t *testing.T) {
	size := func(servers int) int {
		scenario := Reference().With(Servers, float64(servers))
		site := scenario.site()
		var entries []fakes.Endpoint
		for server := range servers {
			entries = append(entries, scenario.endpoint(site, server, "up"))
		}
		discovery, err := fakes.NewDiscovery("127.0.0.1:0", entries)
		if err != nil {
			t.Fatal(err)
		}
		defer discovery.Close()
		r, err := openReader(discovery.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer r.connection.Close()
		if err := r.readUntil(`"instances"`); err != nil {
			t.Fatal(err)
		}
		before := r.bytes
		discovery.Publish(scenario.endpoint(site, 0, "draining"))
		if err := r.readUntil(`"draining"`); err != nil {
			t.Fatal(err)
		}
		return r.bytes - before
	}
	if few, many := size(60), size(6000); few != many || few > 300 {
		t.Errorf("a list change takes %d bytes with 60 servers and %d with 6000, want equal sizes up to 300", few, many)
	}
}

func TestDrainSendsOneWithdrawalForAnyFleetSize(t *testing.T) {
	size := func(servers int) (commands int, bytes int64) {
		opened := openTestManager(t, smallScenario().With(Servers, float64(servers)))
		before := opened.manager.Traffic(node.RelayCallMessage).Out
		for _, call := range opened.deliver(opened.nextListChange(opened.now, 1)).RelayCalls {
			commands += call.Count()
		}
		return commands, opened.manager.Traffic(node.RelayCallMessage).Out - before
	}
	fewCommands, fewBytes := size(60)
	manyCommands, manyBytes := size(6000)
	if fewCommands != 1 || manyCommands != 1 {
		t.Errorf("a drain causes %d commands with 60 servers and %d with 6000, want 1", fewCommands, manyCommands)
	}
	const maxBarrierDigits = 8 // calls differ in the digits of their barriers
	if math.Abs(float64(manyBytes-fewBytes)) > maxBarrierDigits {
		t.Errorf("the call for a drain has %d bytes with 60 servers and %d with 6000, want them to differ by at most %d",
			fewBytes, manyBytes, maxBarrierDigits)
	}
}

func TestMemoryOfAServerAndAProxyIsBounded(t *testing.T) {
	heapOfManager := func(scenario Scenario) float64 {
		before := heapInUse()
		opened := openTestManager(t, scenario)
		opened.script = nil
		opened.current = nil
		opened.pending = nil
		opened.serverOrder = nil
		bytes := heapInUse() - before
		runtime.KeepAlive(opened.recorder)
		return bytes
	}
	for _, test := range []struct {
		axis         Axis
		small, large float64
		maxBytes     float64 // for one more server, proxy or zone
	}{{Servers, 600, 6000, 2000}, {Proxies, 200, 2000, 2000}, {Zones, 4, 40, 40000}} {
		perUnit := (heapOfManager(smallScenario().With(test.axis, test.large)) - heapOfManager(smallScenario().With(test.axis, test.small))) /
			(test.large - test.small)
		t.Logf("%s: %.0f bytes per unit", test.axis, perUnit)
		if perUnit > test.maxBytes {
			t.Errorf("%s: %.0f bytes per unit, want at most %.0f", test.axis, perUnit, test.maxBytes)
		}
	}
}

// The decision of each second scans all servers once: the memory that it allocates may grow linearly with their number, but
// not with the square of it.
func TestPeriodicDecisionGrowsAtMostLinearly(t *testing.T) {
	bytesPerSecond := func(servers float64) float64 {
		opened := openTestManager(t, smallScenario().With(Servers, servers))
		before := totalAllocatedBytes()
		if err := opened.advance(opened.now + time.Second); err != nil {
			t.Fatal(err)
		}
		return totalAllocatedBytes() - before
	}
	const factor, tolerance = 10, 2
	if few, many := bytesPerSecond(600), bytesPerSecond(600*factor); many > factor*tolerance*few {
		t.Errorf("the decision of a second allocates %.0f bytes with 600 servers and %.0f with 6000, want at most %d times as many",
			few, many, factor*tolerance)
	}
}
