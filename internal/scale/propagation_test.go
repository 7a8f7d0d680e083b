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

func testControl() controlPlane {
	return controlPlane{changeWriteTime: time.Millisecond, listWriteTime: 160 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2))}
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
	opening, err := r.drainDuringOpenings(ctx, Memory{2 << 30}, managers)
	if err != nil {
		t.Fatal(err)
	}
	// Each machine writes two lists in 10 ms each, then the change to its first manager in 1 ms.
	minimum := 20*time.Millisecond + time.Millisecond + minTransit
	checkTimes(t, "during openings", opening, managers, minimum)
	quiet, err := r.drainRunningFleet(ctx, 2*propagationInterval, r.control.quietArrivals(managers))
	if err != nil {
		t.Fatal(err)
	}
	checkTimes(t, "quiet", quiet, managers, time.Millisecond+minTransit)
	reconnect := reconnectSettings{watchTimeout: 2 * time.Second, minBackoff: 50 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	lost, err := r.drainRunningFleet(ctx, 4*propagationInterval, r.control.arrivalsDuringControlLoss(managers, reconnect))
	if err != nil {
		t.Fatal(err)
	}
	checkTimes(t, "machines lost", lost, managers, time.Millisecond+minTransit)
	firstLate := slices.IndexFunc(lost, func(seconds float64) bool { return seconds > reconnect.watchTimeout.Seconds() })
	if reopened := managers - firstLate; firstLate < 0 || reopened < 2 || reopened > 4 { // the managers of two machines out of seven
		t.Errorf("machines lost: got times %v, want 2 to 4 of them above %v", lost, reconnect.watchTimeout)
	}
}

func checkTimes(t *testing.T, circumstance string, times []float64, managers int, minimum time.Duration) {
	t.Helper()
	if len(times) != managers || !slices.IsSorted(times) || times[0] < minimum.Seconds() ||
		times[len(times)-1] > propagationTimeout.Seconds() {
		t.Errorf("%s: got times %v, want %d sorted ones from %v to %v", circumstance, times, managers, minimum, propagationTimeout)
	}
}

func TestLongListReadDelaysTheChange(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const managers = 3
	lastTime := func(listReadTime time.Duration) float64 {
		f, err := newHollowFleet(propagationScenario(1), managerCoreShare)
		if err != nil {
			t.Fatal(err)
		}
		defer f.close()
		r := &propagationRun{fleet: f, control: testControl(), listReadTime: listReadTime, version: firstVersion}
		times, err := r.drainDuringOpenings(context.Background(), Memory{2 << 30}, managers)
		if err != nil {
			t.Fatal(err)
		}
		return times[managers-1]
	}
	const listReadTime = 100 * time.Millisecond
	if seconds := lastTime(listReadTime); seconds < listReadTime.Seconds()/managerCoreShare {
		t.Errorf("the list takes %v of processor time to read, but the change is carried out after %.3f s on %g of a core",
			listReadTime, seconds, managerCoreShare)
	}
}

func TestOpeningsAreWrittenBeforeTheChange(t *testing.T) {
	control := testControl()
	const managers = 70
	for manager, arrival := range control.arrivalsDuringOpenings(managers) {
		written := managers / controlMachines * control.listWriteInterval()
		if arrival.list < control.listWriteInterval() || arrival.change <= written || arrival.change < arrival.list {
			t.Errorf("manager %d: got %+v, want the list after %v or later and the change after the list and after %v",
				manager, arrival, control.listWriteInterval(), written)
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
			t.Errorf("manager %d: got %+v, want either a list or a change", manager, arrival)
		}
		if arrival.list > 0 {
			lists = append(lists, arrival.list)
		}
	}
	if len(lists) != managers*lostControlMachines/controlMachines {
		t.Errorf("got %d managers that reconnect, want %d", len(lists), managers*lostControlMachines/controlMachines)
	}
	slices.Sort(lists)
	if first := reconnect.watchTimeout + reconnect.minBackoff + control.listWriteInterval(); lists[0] < first {
		t.Errorf("got the first list after %v, want it after %v or later", lists[0], first)
	}
	// Each of the five remaining machines writes forty lists, one after another.
	if last, minimum := lists[len(lists)-1], reconnect.watchTimeout+reconnect.minBackoff+40*control.listWriteInterval(); last < minimum {
		t.Errorf("got the last list after %v, want it after %v or later", last, minimum)
	}
}

func TestSubsetIsTakenFromACompleteList(t *testing.T) {
	samples, err := measureSubsetRead(context.Background(), subsetScenario(1, 2400), 1)
	if err != nil || len(samples) != 1 || samples[0][CPUPerSubsetRead] <= 0 {
		t.Errorf("got %v, %v, want one sample with a cost above 0", samples, err)
	}
}

func TestTimesAreSummarizedByMedianTailAndLast(t *testing.T) {
	var hundred []float64
	for second := range 100 {
		hundred = append(hundred, float64(second))
	}
	for _, test := range []struct {
		name               string
		sorted             []float64
		median, tail, last float64
	}{
		{"one manager", []float64{7}, 7, 7, 7},
		{"two managers", []float64{1, 2}, 2, 2, 2},
		{"a hundred managers", hundred, 50, 99, 99},
	} {
		got := sample{}
		got.addTimes(test.sorted, PropagationMedian, PropagationTail, PropagationLast)
		want := sample{PropagationMedian: test.median, PropagationTail: test.tail, PropagationLast: test.last}
		if !maps.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", test.name, got, want)
		}
	}
}

func TestPhaseReturnsNilForUnrecordedPhase(t *testing.T) {
	recorded := script{phases: []phase{{name: PhaseList}}}
	if found := recorded.phase(PhaseList); found == nil || found.name != PhaseList {
		t.Errorf("got phase %+v, want %s", found, PhaseList)
	}
	if found := recorded.phase(PhaseBusy); found != nil {
		t.Errorf("got phase %+v, want none: %s was not recorded", found, PhaseBusy)
	}
}
