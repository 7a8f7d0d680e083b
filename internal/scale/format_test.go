package scale

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// fixtureReport returns the contents of testdata/slopes.json, which the program wrote before its identifiers were renamed.
func fixtureReport() Report {
	return Report{
		Version: 1, Seed: 1<<63 + 5, Cores: 8, GoVersion: "go1.99",
		Reference: map[Axis]float64{
			"servers": 600, "proxies": 1000, "zones": 8, "traffic-groups": 3, "list-changes-per-second": 1,
			"reports-per-second": 200, "restarts-at-once": 1, "opening-list-size": 600, "managers": 1, "real-processes": 1,
			"connections": 1,
		},
		Slopes: []Slope{
			{Cost: "heap-bytes", Axis: "servers", Unit: "bytes", Shape: "linear", Base: 1.5e6, PerUnit: 1024.25,
				WorstError: 0.125, Spread: 0.0625, Fits: true, Hollow: true,
				Points: []Point{{Size: 60, Runs: []float64{1561440, 1561441.5}}, {Size: 600, Runs: []float64{2114550, 2100000}}}},
			{Cost: "opening-last", Axis: "managers", Unit: "seconds", Shape: "n-log-n", Base: 0.25, PerUnit: 3e-7,
				WorstError: 0.75, Spread: 0.5, Points: []Point{{Size: 4, Runs: []float64{0.5}}}},
			{Cost: "cpu-per-input", Axis: "zones", Unit: "seconds", Shape: "constant", Base: 1e-5,
				Points: []Point{{Size: 1, Runs: []float64{1e-5}}}},
			{Cost: "proxies-bound", Axis: "proxies", Unit: "proxies", Shape: "quadratic", PerUnit: 2,
				Points: []Point{{Size: 2, Runs: []float64{8}}}},
		},
		PlanSize: []PlanSizeCase{{Name: "whole list", Sizes: map[Axis]float64{"servers": 24000, "zones": 88}, HomeServers: 273,
			Costs:  map[Cost]float64{"cpu-per-list-read": 0.375, "change-in-force-last": 1.25},
			Spread: map[Cost]float64{"cpu-per-list-read": 0.03125}}},
		Processes: []ProcessCase{
			{Name: "busy", ReadInterval: 0.05, Servers: 600, Proxies: 480, ReportsPerSecond: 200, CPU: []float64{0.01, 0.02},
				ContextSwitches: []float64{30, 40}, HealthChecks: []float64{1, 2}, HollowCPU: []float64{0.005}, MemoryMB: 33.5, HollowHeapMB: 2.25},
			{Name: "as it comes", Servers: 1, Proxies: 2, ReportsPerSecond: 3, CPU: []float64{1}, ContextSwitches: []float64{2},
				HealthChecks: []float64{3}, MemoryMB: 4},
		},
	}
}

func TestSlopesFixtureIsReadAndWrittenByteForByte(t *testing.T) {
	const fixture = "testdata/slopes.json"
	got, err := ReadReport(fixture)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, fixtureReport()) {
		t.Errorf("read %+v, want %+v", got, fixtureReport())
	}
	path := filepath.Join(t.TempDir(), "slopes.json")
	if err := WriteReport(path, fixtureReport()); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(fixture)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != string(want) {
		t.Errorf("written %s, want %s", written, want)
	}
}

// TestNamesOfCostsAndAxesInFiles fixes the names in slopes files: files written by earlier versions must remain readable.
func TestNamesOfCostsAndAxesInFiles(t *testing.T) {
	costs := map[Cost]string{
		CPUPerInput: "cpu-per-input", CPUPerQuietSecond: "cpu-per-quiet-second", CPUPerBusySecond: "cpu-per-busy-second",
		CPUPerListChange: "cpu-per-list-change", CPUPerOpening: "cpu-per-opening", CPUPerListRead: "cpu-per-list-read",
		CPUPerSubsetRead: "cpu-per-subset-read", LongestDecision: "longest-decision", HeapBytes: "heap-bytes",
		BytesOfOpening: "bytes-of-opening", BytesOfListChange: "bytes-of-list-change", BytesOfReport: "bytes-of-report",
		BytesOfUsage: "bytes-of-usage", BytesOfRelayEvent: "bytes-of-news", BytesOfCalls: "bytes-of-calls",
		BytesOfHealthCheck: "bytes-of-probe", BytesOfHeartbeat: "bytes-of-heartbeat",
		HealthChecksPerSecond: "probes-per-second", RelayEventsPerSecond: "news-per-second",
		CommandsPerSecond: "orders-per-second", ProxiesAssigned: "proxies-bound", HollowBytes: "hollow-bytes",
		PropagationMedian: "change-in-force-p50", PropagationTail: "change-in-force-p99", PropagationLast: "change-in-force-last",
		PropagationDuringOpeningsMedian:    "change-beside-openings-p50",
		PropagationDuringOpeningsTail:      "change-beside-openings-p99",
		PropagationDuringOpeningsLast:      "change-beside-openings-last",
		PropagationDuringControlLossMedian: "change-machines-lost-p50",
		PropagationDuringControlLossTail:   "change-machines-lost-p99",
		PropagationDuringControlLossLast:   "change-machines-lost-last",
		ControlCPUPerManager:               "control-cpu-per-manager", ControlHeapPerManager: "control-heap-per-manager",
		ControlBytesPerManager: "control-bytes-per-manager", ControlConnections: "control-connections",
		ControlCPUPerChange: "control-cpu-per-change", ControlCPUPerQuietSecond: "control-cpu-per-quiet-second",
		OpeningLast: "opening-last", ProcessPropagationMedian: "process-in-force-p50",
		ProcessPropagationLast: "process-in-force-last", HollowPropagationMedian: "hollow-in-force-p50",
		HollowPropagationLast: "hollow-in-force-last", ProcessReadyMedian: "process-ready-p50",
		ProcessReadyLast: "process-ready-last", ProcessPropagationDuringOpeningsLast: "process-beside-openings-last",
		ProcessCPUPerQuietSecond: "process-cpu-per-quiet-second", ConnectionsMemory: "connections-memory",
		ProcessMemory: "process-memory",
	}
	for cost, name := range costs {
		if string(cost) != name {
			t.Errorf("cost name in files is %q, want %q", cost, name)
		}
	}
	axes := map[Axis]string{
		Servers: "servers", Proxies: "proxies", Zones: "zones", TrafficClasses: "traffic-groups", Managers: "managers",
		Processes: "real-processes", Connections: "connections", ListChanges: "list-changes-per-second",
		Reports: "reports-per-second", RestartsAtOnce: "restarts-at-once", OpeningListSize: "opening-list-size",
	}
	for axis, name := range axes {
		if string(axis) != name {
			t.Errorf("axis name in files is %q, want %q", axis, name)
		}
	}
}
