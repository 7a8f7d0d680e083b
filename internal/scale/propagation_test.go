package scale

import (
	"context"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

func testControl() controlSide {
	return controlSide{changeWriteTime: time.Millisecond, listWriteTime: 160 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2))}
}

func TestChangeReachesEachManager(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const managers = 12
	f, err := newHollowFleet(propagationScenario(1), managerCoreShare)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	ctx := context.Background()
	r := &propagationRun{fleet: f, control: testControl(), listReadTime: time.Millisecond, version: firstVersion}
	opening, err := r.duringOpenings(ctx, Memory{2 << 30}, managers)
	if err != nil {
		t.Fatal(err)
	}
	// Two lists of 10 ms are written before the change, and reading one takes 1 ms at a part of a core.
	least := 20*time.Millisecond + time.Millisecond + minTransit
	expectTimes(t, "beside openings", opening, managers, least)
	quiet, err := r.drain(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
	if err != nil {
		t.Fatal(err)
	}
	expectTimes(t, "quiet", quiet, managers, time.Millisecond+minTransit)
	reconnect := reconnectSettings{watchTimeout: 2 * time.Second, minBackoff: 50 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	lost, err := r.drain(ctx, 4*propagationInterval, r.control.arrivalsDuringControlLoss(managers, reconnect))
	if err != nil {
		t.Fatal(err)
	}
	expectTimes(t, "machines lost", lost, managers, time.Millisecond+minTransit)
	late := slices.IndexFunc(lost, func(seconds float64) bool { return seconds > reconnect.watchTimeout.Seconds() })
	if reopened := managers - late; late < 0 || reopened < 2 || reopened > 4 { // those of two machines in seven
		t.Errorf("machines lost: %v", lost)
	}
}

func expectTimes(t *testing.T, circumstance string, times []float64, managers int, least time.Duration) {
	t.Helper()
	if len(times) != managers || !slices.IsSorted(times) || times[0] < least.Seconds() || times[len(times)-1] > propagationTimeout.Seconds() {
		t.Errorf("%s: %v", circumstance, times)
	}
}

func TestManagerThatReadsALongListAppliesTheChangeLater(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const managers = 3
	last := func(reading time.Duration) float64 {
		f, err := newHollowFleet(propagationScenario(1), managerCoreShare)
		if err != nil {
			t.Fatal(err)
		}
		defer f.close()
		r := &propagationRun{fleet: f, control: testControl(), listReadTime: reading, version: firstVersion}
		times, err := r.duringOpenings(context.Background(), Memory{2 << 30}, managers)
		if err != nil {
			t.Fatal(err)
		}
		return times[managers-1]
	}
	const reading = 100 * time.Millisecond
	if long := last(reading); long < reading.Seconds()/managerCoreShare {
		t.Errorf("a list that takes %v is read within %.3f s on %g of a core", reading, long, managerCoreShare)
	}
}

func TestOpeningsAreWrittenBeforeTheChange(t *testing.T) {
	control := testControl()
	const managers = 70
	for manager, arrival := range control.arrivalsDuringOpenings(managers) {
		written := managers / controlMachines * control.listWriteInterval()
		if arrival.list < control.listWriteInterval() || arrival.change <= written || arrival.change < arrival.list {
			t.Errorf("manager %d: %+v", manager, arrival)
		}
	}
}

func TestManagersOfLostControlMachinesGetTheListFromOthers(t *testing.T) {
	control := testControl()
	const managers = 700
	reconnect := reconnectSettings{watchTimeout: 2 * time.Second, minBackoff: 50 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	var lists []time.Duration
	for manager, arrival := range control.arrivalsDuringControlLoss(managers, reconnect) {
		if (arrival.list == 0) == (arrival.change == 0) {
			t.Errorf("manager %d gets both or neither: %+v", manager, arrival)
		}
		if arrival.list > 0 {
			lists = append(lists, arrival.list)
		}
	}
	if len(lists) != managers*lostControlMachines/controlMachines {
		t.Errorf("%d managers reopen", len(lists))
	}
	slices.Sort(lists)
	if first := reconnect.watchTimeout + reconnect.minBackoff + control.listWriteInterval(); lists[0] < first {
		t.Errorf("the first list comes after %v, before %v", lists[0], first)
	}
	// Each of five machines writes forty lists one after another.
	if last, least := lists[len(lists)-1], reconnect.watchTimeout+reconnect.minBackoff+40*control.listWriteInterval(); last < least {
		t.Errorf("the last list comes after %v, before %v", last, least)
	}
}

func TestSubsetIsTakenFromACompleteList(t *testing.T) {
	samples, err := measureSubsetRead(context.Background(), subsetScenario(1, 2400), 1)
	if err != nil || len(samples) != 1 || samples[0][CPUPerSubsetRead] <= 0 {
		t.Errorf("%v, %v", samples, err)
	}
}

func TestTimesAreSummarizedByMedianTailAndLast(t *testing.T) {
	var hundred []float64
	for second := range 100 {
		hundred = append(hundred, float64(second))
	}
	for _, one := range []struct {
		name               string
		sorted             []float64
		median, tail, last float64
	}{
		{"one manager", []float64{7}, 7, 7, 7},
		{"two managers", []float64{1, 2}, 2, 2, 2},
		{"a hundred managers", hundred, 50, 99, 99},
	} {
		got := sample{}
		got.addTimes(one.sorted, PropagationMedian, PropagationTail, PropagationLast)
		want := sample{PropagationMedian: one.median, PropagationTail: one.tail, PropagationLast: one.last}
		if !maps.Equal(got, want) {
			t.Errorf("%s: %v, want %v", one.name, got, want)
		}
	}
}

func TestUnknownPhaseOfAScriptIsNil(t *testing.T) {
	recorded := script{phases: []phase{{name: PhaseList}}}
	if found := recorded.phase(PhaseList); found == nil || found.name != PhaseList {
		t.Errorf("%+v is not the phase %s", found, PhaseList)
	}
	if found := recorded.phase(PhaseBusy); found != nil {
		t.Errorf("%+v is found for a phase that was not recorded", found)
	}
}
