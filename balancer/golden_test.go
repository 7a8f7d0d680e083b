package balancer_test

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/blake3"

	"tamarindshore/balancer"
	"tamarindshore/internal/fleetmodel"
)

// goldenScenarios are the scenarios in which the commands must stay byte for byte the same.
var goldenScenarios = []fleetmodel.Scenario{
	{Name: "calm", Zones: 3, Servers: 30, Proxies: 40, RequestRate: 6, ServerCapacity: 12},
	{Name: "drains", Zones: 3, Servers: 24, Proxies: 60, RequestRate: 3, ServerCapacity: 12, DrainFraction: 0.5, ChurnInterval: 200 * time.Millisecond},
	{Name: "overload", Zones: 3, Servers: 18, Proxies: 40, RequestRate: 4, ServerCapacity: 10, SlowFraction: 0.3, SurgeFactor: 2.5},
	{Name: "rates", Zones: 2, Servers: 16, Proxies: 24, RequestRate: 6, ServerCapacity: 10, SlowFraction: 0.2, SurgeFactor: 2, AdmitByRate: true, RemovedMayServe: true, DrainFraction: 0.2},
	{Name: "blocks", Zones: 3, Servers: 120, Proxies: 240, RequestRate: 2, ServerCapacity: 6, DrainFraction: 0.2, SlowFraction: 0.1, ChurnInterval: 50 * time.Millisecond},
	{Name: "tight", Zones: 4, Servers: 40, Proxies: 400, RequestRate: 1, ServerCapacity: 12, DrainFraction: 0.4, ChurnInterval: 20 * time.Millisecond, MaxMessages: 12},
}

// goldenRun summarizes one run of a scenario.
type goldenRun struct {
	commands       int    // number of commands for proxies
	commandsDigest string // digest of all commands and their times, without log records
	records        int    // number of log records
	recordsDigest  string // digest of each record's time, event and values, without field names
}

func (r goldenRun) String() string {
	return fmt.Sprintf("%d %s %d %s", r.commands, r.commandsDigest, r.records, r.recordsDigest)
}

func TestCommandsAndLogRecordsStayTheSame(t *testing.T) {
	golden := readGolden(t)
	for _, scenario := range goldenScenarios {
		for seed := range uint64(3) {
			name := fmt.Sprintf("%s/%d", scenario.Name, seed)
			t.Run(name, func(t *testing.T) {
				got, byEvent := runScenario(scenario, seed)
				if got.String() != golden[name] {
					t.Errorf("%s: got %v, want %s; log records by event: %v", name, got, golden[name], byEvent)
				}
			})
		}
	}
}

func readGolden(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile("testdata/golden.txt")
	if err != nil {
		t.Fatal(err)
	}
	golden := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, run, _ := strings.Cut(strings.TrimSpace(line), " ")
		golden[name] = run
	}
	return golden
}

// runScenario runs 40 seconds of a scenario and computes digests of the manager's commands and log records.
func runScenario(scenario fleetmodel.Scenario, seed uint64) (run goldenRun, byEvent map[balancer.LogEvent]int) {
	fleet := fleetmodel.New(scenario, seed)
	commandsSum := blake3.New()
	recordsSum := blake3.New()
	byEvent = map[balancer.LogEvent]int{}
	fleet.OnCommands = func(now time.Duration, commands balancer.Commands) {
		fmt.Fprintf(commandsSum, "%d %v\n", now, withoutRecords(commands))
		run.commands += commands.Count()
		for _, record := range commands.LogRecords {
			fmt.Fprintf(recordsSum, "%d %s %q\n", now, record.Event, fieldValues(record))
			byEvent[record.Event]++
			run.records++
		}
	}
	fleet.Start()
	for second := range 40 {
		fleet.PlaySecond(second, 40)
	}
	run.commandsDigest = hex.EncodeToString(commandsSum.Sum(nil)[:16])
	run.recordsDigest = hex.EncodeToString(recordsSum.Sum(nil)[:16])
	return run, byEvent
}

// fieldValues returns the values of a record's fields in their order.
func fieldValues(record balancer.LogRecord) []string {
	var values []string
	for _, field := range record.Fields {
		values = append(values, field.Value)
	}
	return values
}

// withoutRecords returns the commands without log records in the fixed form on which the golden digests are based:
// assignments have no Classes field if all of them are for all classes.
func withoutRecords(c balancer.Commands) any {
	type assignment struct {
		Proxy balancer.ProxyID
		Table balancer.TableID
	}
	var assign []assignment
	for _, a := range c.Assign {
		if a.Classes != 0 {
			c.LogRecords = nil
			return c
		}
		assign = append(assign, assignment{a.Proxy, a.Table})
	}
	return struct {
		Withdraw        []balancer.ServerID
		Weights         []balancer.EndpointWeight
		AdmissionLevels []balancer.AdmissionLevel
		Restore         []balancer.ServerID
		Assign          []assignment
		Barrier         balancer.BarrierID
		HealthCheck     []balancer.ServerID
		Subscribe       bool
		NextTimer       time.Duration
	}{c.Withdraw, c.Weights, c.AdmissionLevels, c.Restore, assign, c.Barrier, c.HealthCheck, c.Subscribe, c.NextTimer}
}

// BenchmarkSecond measures one second of inputs: a load report for each server and zone, and a usage report for each
// proxy and class.
func BenchmarkSecond(b *testing.B) {
	for _, size := range [][2]int{{400, 30}, {1000, 500}, {4000, 500}, {4000, 2000}, {20000, 5000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			scenario := fleetmodel.Scenario{Zones: 4, Proxies: size[0], Servers: size[1], RequestRate: 2, ServerCapacity: 4 * float64(size[0]) / float64(size[1])}
			fleet := fleetmodel.New(scenario, 1)
			fleet.Start()
			for n := range 3 {
				fleet.PlaySecond(n, 100)
			}
			inputs, managerTime := fleet.InputCount, fleet.ManagerTime
			for b.Loop() {
				fleet.PlaySecond(50, 100)
			}
			timePerSecond := float64(fleet.ManagerTime-managerTime) / float64(b.N)
			b.ReportMetric(timePerSecond/1e6, "module-ms/s")
			b.ReportMetric(timePerSecond/(float64(fleet.InputCount-inputs)/float64(b.N)), "ns/input")
		})
	}
}

// BenchmarkJoins measures the first endpoint list and the connection of all proxies, one after another.
func BenchmarkJoins(b *testing.B) {
	for _, size := range [][2]int{{400, 30}, {4000, 2000}, {20000, 5000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				fleet := fleetmodel.New(fleetmodel.Scenario{Zones: 4, Proxies: size[0], Servers: size[1], RequestRate: 2, ServerCapacity: 100}, 1)
				fleet.Start()
				b.ReportMetric(float64(fleet.ManagerTime)/1e6, "module-ms")
			}
		})
	}
}
