package capacity

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
)

// TestPlanFixtureSetsEveryKey reads a plan in which each key has a different value. The expected values were read from
// it before the identifiers of the program were renamed.
func TestPlanFixtureSetsEveryKey(t *testing.T) {
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
		Subset: SubsetSize{HomeZones: 6, OtherServers: 101, WidenBelow: 0.75},
		Messages: MessageBytes{Report: 100.5, Usage: 61, RelayEvent: 82, ListEntry: 167, HealthCheck: 303, UnansweredHealthCheck: 74,
			Heartbeat: 20.25, Calls: 1004, Command: 45},
		VerdictScope: CachedSubset,
	}
	got, err := ReadPlan("testdata/plan.sexp")
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// codeNamePattern matches an identifier of the code in a table. The digests leave identifiers out because renaming the
// code changes them.
var codeNamePattern = regexp.MustCompile("`[^`]*`")

// limitsHeading is the heading of the section whose last column says where a limit is in the code.
const limitsHeading = "Fixed limits of today's code"

// lastCellPattern matches the last cell of a row.
var lastCellPattern = regexp.MustCompile(`(?m)\| [^|]* \|$`)

// sectionDigests returns a digest and the heading of each section of the tables. Identifiers and locations in the code
// are left out.
func sectionDigests(tables string) []string {
	var digests []string
	for _, section := range strings.Split(tables, "\n### ")[1:] {
		heading, _, _ := strings.Cut(section, "\n")
		if heading == limitsHeading {
			section = lastCellPattern.ReplaceAllString(section, "|")
		}
		sum := sha256.Sum256([]byte(codeNamePattern.ReplaceAllString(section, "``")))
		digests = append(digests, fmt.Sprintf("%x %s", sum[:12], heading))
	}
	return digests
}

// TestFixtureTablesMatchRecordedDigests calculates the tables for the plan and the slopes in testdata and compares
// each section with the digest recorded before the identifiers of the program were renamed.
func TestFixtureTablesMatchRecordedDigests(t *testing.T) {
	plan, err := ReadPlan("testdata/plan.sexp")
	if err != nil {
		t.Fatal(err)
	}
	var tables strings.Builder
	exceeded := NewModel(plan, exampleSlopes(t)).WriteTables(&tables)
	if len(exceeded) != 24 {
		t.Errorf("got %d exceeded budgets, want 24", len(exceeded))
	}
	got := sectionDigests("\n" + tables.String())
	want := strings.Split(strings.TrimSpace(readFile(t, "testdata/tables.txt")), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d sections, want %d", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("got %s, want %s", got[i], want[i])
		}
	}
}
