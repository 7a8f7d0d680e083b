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

// shapes are the kinds of day on which the commands must stay the same, to the byte.
var shapes = []fleetmodel.Scenario{
	{Name: "calm", Zones: 3, Servers: 30, Proxies: 40, RequestRate: 6, ServerCapacity: 12},
	{Name: "drains", Zones: 3, Servers: 24, Proxies: 60, RequestRate: 3, ServerCapacity: 12, DrainFraction: 0.5, ChurnInterval: 200 * time.Millisecond},
	{Name: "overload", Zones: 3, Servers: 18, Proxies: 40, RequestRate: 4, ServerCapacity: 10, SlowFraction: 0.3, SurgeFactor: 2.5},
	{Name: "rates", Zones: 2, Servers: 16, Proxies: 24, RequestRate: 6, ServerCapacity: 10, SlowFraction: 0.2, SurgeFactor: 2, AdmitByRate: true, RemovedMayServe: true, DrainFraction: 0.2},
	{Name: "blocks", Zones: 3, Servers: 120, Proxies: 240, RequestRate: 2, ServerCapacity: 6, DrainFraction: 0.2, SlowFraction: 0.1, ChurnInterval: 50 * time.Millisecond},
	{Name: "tight", Zones: 4, Servers: 40, Proxies: 400, RequestRate: 1, ServerCapacity: 12, DrainFraction: 0.4, ChurnInterval: 20 * time.Millisecond, MaxMessages: 12},
}

// goldenRun is what one run of a shape must come to.
type goldenRun struct {
	commands       int    // commands for proxies
	commandsDigest string // over all commands and their times, without log records
	records        int
	recordsDigest  string // over each record's event, time and figures, without the wording
}

func (r goldenRun) String() string {
	return fmt.Sprintf("%d %s %d %s", r.commands, r.commandsDigest, r.records, r.recordsDigest)
}

func TestCommandsAndLogRecordsStayTheSame(t *testing.T) {
	known := readGolden(t)
	for _, shape := range shapes {
		for seed := range uint64(3) {
			name := fmt.Sprintf("%s/%d", shape.Name, seed)
			t.Run(name, func(t *testing.T) {
				got, byEvent := play(shape, seed)
				if got.String() != known[name] {
					t.Errorf("%s %v, not %s; records by event: %v", name, got, known[name], byEvent)
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
	known := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, run, _ := strings.Cut(strings.TrimSpace(line), " ")
		known[name] = run
	}
	return known
}

// play runs forty seconds of a shape and digests what the manager commands and what it logs.
func play(shape fleetmodel.Scenario, seed uint64) (run goldenRun, byEvent map[balancer.LogEvent]int) {
	fleet := fleetmodel.New(shape, seed)
	commandsSum := blake3.New()
	recordsSum := blake3.New()
	byEvent = map[balancer.LogEvent]int{}
	fleet.OnCommands = func(now time.Duration, commands balancer.Commands) {
		fmt.Fprintf(commandsSum, "%d %v\n", now, withoutRecords(commands))
		run.commands += commands.Count()
		for _, record := range commands.LogRecords {
			fmt.Fprintf(recordsSum, "%d %s %q\n", now, record.Event, figuresOf(record))
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

// figuresOf are the values of a record, in their order.
func figuresOf(record balancer.LogRecord) []string {
	var figures []string
	for _, field := range record.Fields {
		figures = append(figures, field.Value)
	}
	return figures
}

// withoutRecords has a fixed form for the digest: all commands but the log records, and assignments without classes
// where they are for all of them.
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

// BenchmarkSecond is a second of inputs: a report for each server and zone, a usage for each proxy and class.
func BenchmarkSecond(b *testing.B) {
	for _, size := range [][2]int{{400, 30}, {1000, 500}, {4000, 500}, {4000, 2000}, {20000, 5000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			s := fleetmodel.Scenario{Zones: 4, Proxies: size[0], Servers: size[1], RequestRate: 2, ServerCapacity: 4 * float64(size[0]) / float64(size[1])}
			f := fleetmodel.New(s, 1)
			f.Start()
			for n := range 3 {
				f.PlaySecond(n, 100)
			}
			inputs, spent := f.InputCount, f.ManagerTime
			for b.Loop() {
				f.PlaySecond(50, 100)
			}
			per := float64(f.ManagerTime-spent) / float64(b.N)
			b.ReportMetric(per/1e6, "module-ms/s")
			b.ReportMetric(per/(float64(f.InputCount-inputs)/float64(b.N)), "ns/input")
		})
	}
}

// BenchmarkJoins is the first list and all proxies, one after another.
func BenchmarkJoins(b *testing.B) {
	for _, size := range [][2]int{{400, 30}, {4000, 2000}, {20000, 5000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				f := fleetmodel.New(fleetmodel.Scenario{Zones: 4, Proxies: size[0], Servers: size[1], RequestRate: 2, ServerCapacity: 100}, 1)
				f.Start()
				b.ReportMetric(float64(f.ManagerTime)/1e6, "module-ms")
			}
		})
	}
}
