package capacity

import (
	"testing"
	"time"
)

// TestPlanFixtureHoldsEachKey reads a plan of today's format in which each key has a value of its own. What is wanted
// is what the program read from it before its names were changed.
func TestPlanFixtureHoldsEachKey(t *testing.T) {
	want := Plan{
		Fleet: Fleet{Managers: 5601, Servers: 24002, Services: 423, RequestsPerSecond: 1400004.5, Routes: 11005, Tenants: 170006,
			Regions: 27, Zones: 88},
		Budgets: Budgets{RequestTail: 5500 * time.Microsecond, MaxPropagation: 19 * time.Second, Core: 0.0125, MemoryMB: 256.5,
			BytesPerSecond: 8001},
		Day: Day{Failures: 34, Restarts: 2501, Changes: 7302, EntriesPerFailure: 2.5, EntriesPerRestart: 3.25,
			EntriesPerChange: 1.125, BusyHour: 0.25, Batch: 20},
		Events:  Events{RegionCut: 90 * time.Minute},
		Control: ControlMachines{Count: 7, Cores: 16, MemoryMB: 65536.5, BytesPerSecond: 1250000001},
		Managers: Managers{Proxies: 481, ProxyZones: 2, TrafficClasses: 3, AttemptsPerRequest: 1.0625, ListStored: true,
			ReportInterval: 1100 * time.Millisecond, CollectorsPerZone: 4, RelaysPerZone: 5, QueueCapacity: 8601,
			HealthCheckInterval: 2 * time.Second, HealthCheckTimeout: 600 * time.Millisecond, MaxHealthChecks: 64},
		Subset: SubsetSize{HomeZones: 6, Others: 101, WidenBelow: 0.75},
		Messages: MessageBytes{Report: 100.5, Usage: 61, RelayEvent: 82, ListEntry: 167, HealthCheck: 303, UnansweredHealthCheck: 74,
			Heartbeat: 20.25, Calls: 1004, Command: 45},
		Judged: CachedSubset,
	}
	got, err := ReadPlan("testdata/plan.sexp")
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
