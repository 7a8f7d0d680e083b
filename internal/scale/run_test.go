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

// The test binary is the control process that is measured, where it is started as one.
func TestMain(m *testing.M) {
	if at := slices.Index(os.Args, ControlFlag); at > 0 && at+1 < len(os.Args) {
		servers, err := strconv.Atoi(os.Args[at+1])
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

func options(axes ...Axis) Options {
	return Options{Axes: axes, Seed: 1, Runs: 1, Small: true, Memory: Memory{2 << 30}, Progress: io.Discard}
}

func TestSameSeedDoesTheSameWork(t *testing.T) {
	counts := func() map[Cost][]Point {
		o := options(Servers)
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
		t.Errorf("%v\n%v", first, second)
	}
}

func TestProxiesAreAssignedInAScenario(t *testing.T) {
	samples, err := measure(context.Background(), smaller(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if assigned := samples[0][ProxiesAssigned]; int(assigned) != smaller().Proxies {
		t.Errorf("%g proxies are assigned", assigned)
	}
}

func TestInvalidOptionsAreNamed(t *testing.T) {
	for _, one := range []struct {
		name   string
		change func(*Options)
		flag   string
		want   string
	}{
		{"unknown axis", func(o *Options) { o.Axes = []Axis{"height"} }, "--axis", `"height" is none of`},
		{"no runs", func(o *Options) { o.Runs = 0 }, "--runs", "0 is not from 1 to 100"},
		{"too many runs", func(o *Options) { o.Runs = 101 }, "--runs", "101 is not from 1 to 100"},
		{"sizes without an axis", func(o *Options) { o.Sizes = []float64{60} }, "--sizes", "one --axis is due"},
		{"size of zero", func(o *Options) {
			o.Axes = []Axis{Servers}
			o.Sizes = []float64{0}
		}, "--sizes", "0 is not from 1"},
		{"size that is no number", func(o *Options) {
			o.Axes = []Axis{Servers}
			o.Sizes = []float64{math.NaN()}
		}, "--sizes", "NaN is not from 1"},
	} {
		t.Run(one.name, func(t *testing.T) {
			o := options()
			one.change(&o)
			_, err := Run(context.Background(), o)
			var option *OptionError
			if !errors.As(err, &option) || option.Flag != one.flag || !strings.Contains(err.Error(), one.flag+": "+one.want) {
				t.Errorf("got %v, want %s: %s", err, one.flag, one.want)
			}
		})
	}
}

func TestSizeBeyondTheLimitIsRefusedBeforeMeasuring(t *testing.T) {
	for _, axis := range []Axis{Servers, Proxies, Reports, ListChanges, Managers} {
		o := options(axis)
		progress := bytes.Buffer{}
		o.Progress = &progress
		o.Sizes = []float64{60, 1e8}
		_, err := Run(context.Background(), o)
		var limit *LimitError
		if !errors.As(err, &limit) || !strings.Contains(err.Error(), " fit") || progress.Len() > 0 {
			t.Errorf("%s: %v after %q", axis, err, progress.String())
			continue
		}
		fits, err := strconv.ParseFloat(strings.Fields(limit.Fits)[0], 64)
		if err != nil || fits < 100 || fits >= 1e8 {
			t.Errorf("%s: %s", axis, limit.Fits)
			continue
		}
		session := &session{options: o, reference: Reference()}
		for _, s := range surveys {
			if s.axis == axis && !s.realProcesses && s.check(session, fits, s) != nil {
				t.Errorf("%s: %g are said to fit and don't", axis, fits)
			}
		}
	}
}

func TestManagersAboveTheMemoryEstimateAreRefused(t *testing.T) {
	o := options(Managers)
	o.Memory = Memory{64 << 20}
	f, err := newHollowFleet(propagationScenario(1), managerCoreShare)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	r := &propagationRun{fleet: f, control: testControl(), version: firstVersion}
	_, err = r.duringOpenings(context.Background(), o.Memory, 1000)
	var limit *LimitError
	if !errors.As(err, &limit) || len(f.managers) > managersBeforeMemoryCheck {
		t.Errorf("%v after %d", err, len(f.managers))
	}
}

func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	session := &session{options: options()}
	if err := session.readersFit(MaxReaders+1, survey{axis: Managers}); err == nil || !strings.Contains(err.Error(), "1200 fit") {
		t.Error(err)
	}
}

func TestMemoryEstimateIsAnUpperBound(t *testing.T) {
	for _, scenario := range []Scenario{smaller(), smaller().With(Servers, 2400), smaller().With(Proxies, 2000), smaller().With(Reports, 2000),
		smaller().With(ListChanges, 10)} {
		before := heapInUse()
		busy, err := record(context.Background(), scenario, false)
		if err != nil {
			t.Fatal(err)
		}
		costs, err := replay(context.Background(), busy)
		if err != nil {
			t.Fatal(err)
		}
		held := heapInUse() - before + costs[PhaseChanges].heapBytes
		if most := scenario.estimate(); held > most {
			t.Errorf("%+v holds %.0f bytes, %.0f are estimated", scenario, held, most)
		}
		if len(busy.phases) == 0 {
			t.Fatal("no script")
		}
	}
}

func TestMemoryLimitOfTheMachine(t *testing.T) {
	if got, err := totalMemory([]byte("MemFree: 1 kB\nMemTotal:       2048 kB\n")); err != nil || got != 2<<20 {
		t.Errorf("%g, %v", got, err)
	}
	if _, err := totalMemory([]byte("MemFree: 1 kB\n")); !errors.Is(err, ErrNoMemTotal) {
		t.Errorf("without a total: %v", err)
	}
	if limit, err := MemoryLimit(); err != nil || limit.Bytes <= 0 || limit.Bytes > maxMemory {
		t.Errorf("%v, %v", limit, err)
	}
}

func TestRunEndsWithinASecondOfCancellation(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, axis := range []Axis{Servers, Managers, OpeningListSize} {
		o := options(axis)
		o.Small = false
		o.Runs = 100
		o.Program = program
		o.Memory = Memory{maxMemory}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(500*time.Millisecond, cancel)
		began := time.Now()
		if _, err := Run(ctx, o); !errors.Is(err, context.Canceled) {
			t.Errorf("%s: %v", axis, err)
		}
		if took := time.Since(began) - 500*time.Millisecond; took > time.Second {
			t.Errorf("%s: ended after %v", axis, took)
		}
	}
	if left := childProcesses(); len(left) > 0 {
		t.Errorf("processes %v go on", left)
	}
}

func TestControlSideIsMeasured(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	one, err := measureControl(context.Background(), program, 60, 5, 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	list := len(Reference().With(Servers, 60).completeList(Reference().With(Servers, 60).site(), firstVersion))
	if bytes := one[ControlBytesPerManager]; bytes < float64(list) || bytes > float64(list)+500 {
		t.Errorf("%g bytes of an opening, the list has %d", bytes, list)
	}
	if one[ControlCPUPerManager] <= 0 || one[ControlCPUPerChange] <= 0 || one[ControlCPUPerQuietSecond] <= 0 || one[ControlConnections] != 5 || one[OpeningLast] <= 0 {
		t.Errorf("%v", one)
	}
}

func TestPlotsAreWritten(t *testing.T) {
	dir := t.TempDir()
	if err := WritePlots(dir, sound()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "heap-bytes-by-servers.svg"))
	if err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("%v", err)
	}
	out := bytes.Buffer{}
	WriteTable(&out, sound())
	if !strings.Contains(out.String(), string(HeapBytes)) {
		t.Error(out.String())
	}
}
