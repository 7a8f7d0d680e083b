package scale

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// TestScriptsAndArrivalsMatchGoldenFile compares the messages that managers receive in each phase of a script, the times at
// which changes arrive at them, and the costs and sizes that are measured, with testdata/scripts.txt. The golden file was
// written before identifiers were renamed, and guards renames against changes of behaviour. Update it only together with an
// intended change of a decision or of a message of the protocol.
func TestScriptsAndArrivalsMatchGoldenFile(t *testing.T) {
	recorded, err := os.ReadFile("testdata/scripts.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	writeScripts(t, &out)
	writeArrivals(&out)
	writeMeasurements(&out)
	got := strings.Split(out.String(), "\n")
	want := strings.Split(string(recorded), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d lines, want %d", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("line %d:\ngot  %s\nwant %s", i+1, got[i], want[i])
		}
	}
}

func writeScripts(t *testing.T, out *strings.Builder) {
	t.Helper()
	for _, test := range []struct {
		name     string
		scenario Scenario
	}{
		{"spread", Scenario{Servers: 24, Proxies: 40, Zones: 3, TrafficClasses: 2, ListChanges: 3, Reports: 60, RestartsAtOnce: 2, Seed: 7}},
		{"home", Scenario{Servers: 60, Proxies: 20, Zones: 4, TrafficClasses: 1, ListChanges: 1, Reports: 40, RestartsAtOnce: 1, Seed: 3,
			HomeServers: 30, HomeProxies: true}},
	} {
		for _, quiet := range []bool{false, true} {
			script, err := record(context.Background(), test.scenario, quiet)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(out, "%s quiet=%v assigned=%d\n", test.name, quiet, script.assignedProxies)
			for _, p := range script.phases {
				writePhase(out, p)
			}
		}
	}
}

func writePhase(out *strings.Builder, p phase) {
	sum := sha256.New()
	for _, step := range p.steps {
		fmt.Fprintf(sum, "%d\n", step.at)
		for _, m := range step.messages {
			fmt.Fprintf(sum, " %d %q %q %q\n", m.Kind, m.Event, m.Text, m.Server)
		}
	}
	fmt.Fprintf(out, "  %s span=%v steps=%d inputs=%d commands=%d sha256=%x",
		p.name, p.span, len(p.steps), p.inputs, p.commands, sum.Sum(nil)[:12])
	for _, traffic := range p.traffic {
		fmt.Fprintf(out, " %d/%d/%d", traffic.Messages, traffic.In, traffic.Out)
	}
	fmt.Fprintln(out)
}

func writeArrivals(out *strings.Builder) {
	control := func() controlPlane {
		return controlPlane{changeWriteTime: 30 * time.Microsecond, listWriteTime: 9 * time.Millisecond, rng: rand.New(rand.NewPCG(5, 6))}
	}
	const managers = 9
	settings := reconnectSettings{watchTimeout: 3 * time.Second, minBackoff: 50 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	fmt.Fprintln(out, "quiet", control().quietArrivals(managers))
	fmt.Fprintln(out, "openings", control().arrivalsDuringOpenings(managers))
	fmt.Fprintln(out, "lost", control().arrivalsDuringControlLoss(managers, settings))
}

func writeMeasurements(out *strings.Builder) {
	for _, s := range surveys {
		fmt.Fprintln(out, "survey", s.axis, s.sizes, s.smallSizes, s.costs, s.realProcesses)
	}
	for _, c := range planCases(4) {
		fmt.Fprintf(out, "case %q %v %.0f\n", c.name, c.scenario, c.scenario.estimate())
	}
	for _, state := range processStates {
		fmt.Fprintf(out, "state %v\n", state)
	}
}
