package scale

// Tests that fail where a cost grows with the wrong axis. They count allocations, bytes and commands, which are the same
// on each machine and in each run, and no times.

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

// openedManager is a manager that has read its list and assigned its proxies, between two timers.
type openedManager struct {
	*recorder
	t *testing.T
}

func open(t *testing.T, scenario Scenario) openedManager {
	t.Helper()
	site := scenario.site()
	start, err := scenario.managerConfig(site)
	if err != nil {
		t.Fatal(err)
	}
	manager, err := node.NewHollowManager(start, scriptEpoch)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(manager.Close)
	r := &recorder{messageSource: newMessageSource(scenario, site), ctx: context.Background(), manager: manager,
		proxies: newProxyTables(), script: &script{}, current: &phase{}}
	for server := range scenario.Servers {
		r.serverOrder = append(r.serverOrder, server)
	}
	for _, do := range []func() error{r.playList, r.playJoin, r.stopTraffic, func() error { return r.playBusy(2 * time.Second) }} {
		if err := do(); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.advance(r.manager.NextWake() + 2*ackDelay); err != nil {
		t.Fatal(err)
	}
	if bound := len(r.proxies.tableOf); bound != scenario.Proxies {
		t.Fatalf("%d of %d proxies are bound", bound, scenario.Proxies)
	}
	return openedManager{r, t}
}

// deliver steps the manager at the next instant.
func (o openedManager) deliver(messages ...node.Message) node.StepResult {
	o.now += time.Microsecond
	result, err := o.manager.Step(o.now, messages...)
	if err != nil {
		o.t.Fatal(err)
	}
	return result
}

// work counts what one input takes.
type work struct {
	allocations float64
	bytes       float64
}

const inputsCounted = 400

// inputWork is what a collector's line takes, on the average of many.
func (o openedManager) inputWork(input func(node.Message)) (w work) {
	var messages []node.Message
	for range 2 * inputsCounted {
		messages = append(messages, o.nextReport())
	}
	for _, message := range messages[:inputsCounted] { // the history of samples has its full length after these
		input(message)
	}
	next := inputsCounted
	before := allocated()
	w.allocations = testing.AllocsPerRun(inputsCounted-1, func() {
		input(messages[next])
		next++
	})
	w.bytes = (allocated() - before) / inputsCounted
	return w
}

func allocated() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}

// Bounds on how far the work of an input may differ between two sizes.
const (
	allocationsDiffer = 1
	bytesDiffer       = 256
)

// grows says how the work of one input differs between two sizes; empty where it doesn't.
func grows(small, large work) string {
	switch {
	case math.Abs(large.allocations-small.allocations) > allocationsDiffer:
		return fmt.Sprintf("%g allocations, %g at the larger size", small.allocations, large.allocations)
	case math.Abs(large.bytes-small.bytes) > bytesDiffer:
		return fmt.Sprintf("%.0f bytes allocated, %.0f at the larger size", small.bytes, large.bytes)
	}
	return ""
}

// smaller is a scenario small enough for each CI run.
func smaller() Scenario {
	scenario := Reference()
	scenario.Servers = 240
	scenario.Proxies = 200
	scenario.ListChanges = 0
	return scenario
}

func TestInputCostIsIndependentOfFleetSize(t *testing.T) {
	for _, one := range []struct {
		axis         Axis
		small, large float64
	}{{Servers, 60, 6000}, {Proxies, 40, 2000}, {Zones, 2, 40}} {
		t.Run(string(one.axis), func(t *testing.T) {
			few := open(t, smaller().With(one.axis, one.small))
			many := open(t, smaller().With(one.axis, one.large))
			least := few.inputWork(func(m node.Message) { few.deliver(m) })
			most := many.inputWork(func(m node.Message) { many.deliver(m) })
			if grown := grows(least, most); grown != "" {
				t.Errorf("an input: %s", grown)
			}
		})
	}
}

// The check above must be able to fail: here each input walks over all servers first, as a rule without an index would.
func TestAWalkOverAllServersIsFound(t *testing.T) {
	walking := func(o openedManager) work {
		return o.inputWork(func(m node.Message) {
			var known []string
			for server := range o.scenario.Servers {
				known = append(known, o.site.Zone(server))
			}
			if len(known) != o.scenario.Servers {
				t.Fatal("no walk")
			}
			o.deliver(m)
		})
	}
	few := open(t, smaller().With(Servers, 60))
	many := open(t, smaller().With(Servers, 6000))
	if grows(walking(few), walking(many)) == "" {
		t.Error("a walk over all servers with each input is not found")
	}
}

func TestListChangeHasTheSameBytesInAnyFleet(t *testing.T) {
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
		t.Errorf("%d bytes of a change with 60 servers, %d with 6000", few, many)
	}
}

func TestDrainSendsOneWithdrawalInAnyFleet(t *testing.T) {
	size := func(servers int) (orders int, bytes int64) {
		o := open(t, smaller().With(Servers, float64(servers)))
		before := o.manager.Traffic(node.RelayCallMessage).Out
		for _, call := range o.deliver(o.nextListChange(o.now, 1)).RelayCalls {
			orders += call.Count()
		}
		return orders, o.manager.Traffic(node.RelayCallMessage).Out - before
	}
	fewOrders, fewBytes := size(60)
	manyOrders, manyBytes := size(6000)
	if fewOrders != 1 || manyOrders != 1 {
		t.Errorf("a drain orders %d with 60 servers, %d with 6000", fewOrders, manyOrders)
	}
	const digitsOfMark = 8
	if math.Abs(float64(manyBytes-fewBytes)) > digitsOfMark {
		t.Errorf("a drain's call has %d bytes with 60 servers, %d with 6000", fewBytes, manyBytes)
	}
}

func TestMemoryOfAServerAndAProxyIsBounded(t *testing.T) {
	held := func(scenario Scenario) float64 {
		before := heapInUse()
		o := open(t, scenario)
		o.script = nil
		o.current = nil
		o.pending = nil
		o.serverOrder = nil
		bytes := heapInUse() - before
		runtime.KeepAlive(o.recorder)
		return bytes
	}
	for _, one := range []struct {
		axis         Axis
		small, large float64
		most         float64 // bytes of one more
	}{{Servers, 600, 6000, 2000}, {Proxies, 200, 2000, 2000}, {Zones, 4, 40, 40000}} {
		per := (held(smaller().With(one.axis, one.large)) - held(smaller().With(one.axis, one.small))) / (one.large - one.small)
		t.Logf("%s: %.0f bytes for one more", one.axis, per)
		if per > one.most {
			t.Errorf("%s: %.0f bytes for one more, up to %.0f are allowed", one.axis, per, one.most)
		}
	}
}

// A second's decision walks over all servers, once: what it allocates may grow with them, but not with their square.
func TestPeriodicDecisionGrowsAtMostLinearly(t *testing.T) {
	second := func(servers float64) float64 {
		o := open(t, smaller().With(Servers, servers))
		before := allocated()
		if err := o.advance(o.now + time.Second); err != nil {
			t.Fatal(err)
		}
		return allocated() - before
	}
	const factor, room = 10, 2
	if few, many := second(600), second(600*factor); many > factor*room*few {
		t.Errorf("a second allocates %.0f bytes with 600 servers, %.0f with 6000", few, many)
	}
}
