package fleetmodel

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// testdata/tallies.txt holds the tally of each workload with the complete endpoint list and with subsets, as recorded by a
// version of the program that used other identifiers. The same inputs must give the same commands, and figures that are
// equal to the last digit. The file changes only with an intended change of the balancing decisions.
func TestWorkloadsMatchRecordedTallies(t *testing.T) {
	recorded, err := os.ReadFile("testdata/tallies.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(recorded)), "\n")
	const seed = 1
	var got []string
	for _, w := range workloads {
		for _, spill := range []int{0, 20, 100} {
			tally := w.play(seed, spill)
			got = append(got, fmt.Sprintf("%v %v %v %v spill %d: %s", tally.Offered, tally.Shed, tally.Failed, tally.CrossZone, spill, w.Name))
		}
	}
	if len(got) != len(want) {
		t.Fatalf("%d runs were played, but tallies.txt has %d", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("got  %s\nwant %s", got[i], want[i])
		}
	}
}
