package scale

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestMain runs the control process if the test binary was started with ControlFlag, and the tests otherwise.
func TestMain(m *testing.M) {
	if index := slices.Index(os.Args, ControlFlag); index > 0 && index+1 < len(os.Args) {
		servers, err := strconv.Atoi(os.Args[index+1])
		if err == nil {
			err = ServeControl(servers, os.Stdin, os.Stdout)
		}
		if err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func testOptions(axes ...Axis) Options {
	return Options{Axes: axes, Seed: 1, Runs: 1, Small: true, Memory: Memory{2 << 30}, Progress: io.Discard}
}

func TestSameSeedDoesTheSameWork(t *testing.T) {
	counts := func() map[Cost][]Point {
		o := testOptions(Servers)
		o.Sizes = []float64{60, 240}
		report, err := Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		all := map[Cost][]Point{}
		for _, s := range report.Slopes {
			if s.Unit == unitPerSecond || s.Unit == unitBytes && s.Cost != HeapBytes {
				all[s.Cost] = s.Points
			}
		}
		return all
	}
	first := counts()
	second := counts()
	if !reflect.DeepEqual(first, second) || len(first) < 8 {
		t.Errorf("two runs with the same seed differ, or have too few costs:\n%v\n%v", first, second)
	}
}

func TestProxiesAreAssignedInAScenario(t *testing.T) {
	samples, err := measure(context.Background(), smallScenario(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if assigned := samples[0][ProxiesAssigned]; int(assigned) != smallScenario().Proxies {
		t.Errorf("got %g assigned proxies, want %d", assigned, smallScenario().Proxies)
	}
}

func TestInvalidOptionErrorsNameTheFlag(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Options)
		flag   string
		want   string
	}{
		{"unknown axis", func(o *Options) { o.Axes = []Axis{"height"} }, "--axis", `unknown axis "height", expected one of`},
		{"no runs", func(o *Options) { o.Runs = 0 }, "--runs", "0 is not between 1 and 100"},
		{"too many runs", func(o *Options) { o.Runs = 101 }, "--runs", "101 is not between 1 and 100"},
		{"sizes without an axis", func(o *Options) { o.Sizes = []float64{60} }, "--sizes", "requires exactly one --axis"},
		{"size of zero", func(o *Options) {
			o.Axes = []Axis{Servers}
			o.Sizes = []float64{0}
		}, "--sizes", "0 is not between 1 and"},
		{"size that is not a number", func(o *Options) {
			o.Axes = []Axis{Servers}
			o.Sizes = []float64{math.NaN()}
		}, "--sizes", "NaN is not between 1 and"},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := testOptions()
			test.change(&o)
			_, err := Run(context.Background(), o)
			var option *OptionError
			if !errors.As(err, &option) || option.Flag != test.flag || !strings.Contains(err.Error(), test.flag+": "+test.want) {
				t.Errorf("got error %v, want %s: %s", err, test.flag, test.want)
			}
		})
	}
}

func TestSizeBeyondTheLimitIsRefusedBeforeMeasuring(t *testing.T) {
	for _, axis := range []Axis{Servers, Proxies, Reports, ListChanges, Managers} {
		o := testOptions(axis)
		progress := bytes.Buffer{}
		o.Progress = &progress
		o.Sizes = []float64{60, 1e8}
		_, err := Run(context.Background(), o)
		var limit *LimitError
		if !errors.As(err, &limit) || !strings.Contains(err.Error(), " fit") || progress.Len() > 0 {
			t.Errorf("%s: got error %v after progress %q, want a LimitError before any progress", axis, err, progress.String())
			continue
		}
		fits, err := strconv.ParseFloat(strings.Fields(limit.Fits)[0], 64)
		if err != nil || fits < 100 || fits >= 1e8 {
			t.Errorf("%s: got %q, want a number of at least 100 and below 1e8 that fits", axis, limit.Fits)
			continue
		}
		session := &session{options: o, reference: Reference()}
		for _, s := range surveys {
			if s.axis == axis && !s.realProcesses && s.check(session, fits, s) != nil {
				t.Errorf("%s: the error states that %g fit, but the check rejects this size", axis, fits)
			}
		}
	}
}

func TestManagersAboveTheMemoryEstimateAreRefused(t *testing.T) {
	o := testOptions(Managers)
	o.Memory = Memory{64 << 20}
	f, err := newHollowFleet(propagationScenario(1), managerCoreShare)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	r := &propagationRun{fleet: f, control: testControl(), version: firstVersion}
	_, err = r.drainDuringOpenings(context.Background(), o.Memory, 1000)
	var limit *LimitError
	if !errors.As(err, &limit) || len(f.managers) > managersBeforeMemoryCheck {
		t.Errorf("got error %v after %d managers, want a LimitError after at most %d", err, len(f.managers), managersBeforeMemoryCheck)
	}
}

func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	session := &session{options: testOptions()}
	if err := session.checkReaders(MaxReaders+1, survey{axis: Managers}); err == nil || !strings.Contains(err.Error(), "1200 fit") {
		t.Errorf("got error %v, want one with \"1200 fit\"", err)
	}
}

func TestMemoryEstimateIsAnUpperBound(t *testing.T) {
	for _, scenario := range []Scenario{smallScenario(), smallScenario().With(Servers, 2400), smallScenario().With(Proxies, 2000),
		smallScenario().With(Reports, 2000), smallScenario().With(ListChanges, 10)} {
		before := heapInUse()
		busy, err := record(context.Background(), scenario, false)
		if err != nil {
			t.Fatal(err)
		}
		costs, err := replay(context.Background(), busy)
		if err != nil {
			t.Fatal(err)
		}
		bytesInUse := heapInUse() - before + costs[PhaseChanges].heapBytes
		if estimate := scenario.estimate(); bytesInUse > estimate {
			t.Errorf("%+v: %.0f bytes in use, estimated at most %.0f", scenario, bytesInUse, estimate)
		}
		if len(busy.phases) == 0 {
			t.Fatal("the script has no phases")
		}
	}
}

func TestMemoryLimitOfTheMachine(t *testing.T) {
	if got, err := totalMemory([]byte("MemFree: 1 kB\nMemTotal:       2048 kB\n")); err != nil || got != 2<<20 {
		t.Errorf("got %g, %v, want %d bytes", got, err, 2<<20)
	}
	if _, err := totalMemory([]byte("MemFree: 1 kB\n")); !errors.Is(err, ErrNoMemTotal) {
		t.Errorf("without MemTotal: got error %v, want %v", err, ErrNoMemTotal)
	}
	if limit, err := MemoryLimit(); err != nil || limit.Bytes <= 0 || limit.Bytes > maxMemory {
		t.Errorf("got limit %v, %v, want one up to %v bytes", limit, err, maxMemory)
	}
}

func TestRunEndsWithinASecondOfCancellation(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, axis := range []Axis{Servers, Managers, OpeningListSize} {
		o := testOptions(axis)
		o.Small = false
		o.Runs = 100
		o.Program = program
		o.Memory = Memory{maxMemory}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(500*time.Millisecond, cancel)
		began := time.Now()
		if _, err := Run(ctx, o); !errors.Is(err, context.Canceled) {
			t.Errorf("%s: got error %v, want %v", axis, err, context.Canceled)
		}
		if took := time.Since(began) - 500*time.Millisecond; took > time.Second {
			t.Errorf("%s: ended %v after the cancellation", axis, took)
		}
	}
	if left := childProcesses(); len(left) > 0 {
		t.Errorf("child processes %v are still running", left)
	}
}

func TestControlPlaneIsMeasured(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	measured, err := measureControl(context.Background(), program, 60, 5, 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	listBytes := len(Reference().With(Servers, 60).completeList(Reference().With(Servers, 60).site(), firstVersion))
	if bytes := measured[ControlBytesPerManager]; bytes < float64(listBytes) || bytes > float64(listBytes)+500 {
		t.Errorf("got %g bytes for an opening, want at most 500 more than the list's %d", bytes, listBytes)
	}
	if measured[ControlCPUPerManager] <= 0 || measured[ControlCPUPerChange] <= 0 || measured[ControlCPUPerQuietSecond] <= 0 ||
		measured[ControlConnections] != 5 || measured[OpeningLast] <= 0 {
		t.Errorf("got %v, want 5 connections and all other costs above 0", measured)
	}
}

func TestPlotsAreWritten(t *testing.T) {
	dir := t.TempDir()
	if err := WritePlots(dir, validReport()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "heap-bytes-by-servers.svg"))
	if err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("plot of heap-bytes by servers: got error %v, text %.100q", err, text)
	}
	out := bytes.Buffer{}
	WriteTable(&out, validReport())
	if !strings.Contains(out.String(), string(HeapBytes)) {
		t.Errorf("the table does not contain %s:\n%s", HeapBytes, out.String())
	}
}
