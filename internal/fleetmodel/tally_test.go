package fleetmodel

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// testdata/tallies.txt holds what became of the requests of each day with the whole list and with subsets, by the
// program before its names were changed: same inputs, same commands, same figures to the last digit. A decision that is
// meant to change changes it.
func TestWorkloadsMatchRecordedTallies(t *testing.T) {
	recorded, err := os.ReadFile("testdata/tallies.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(recorded)), "\n")
	const seed = 1
	var got []string
	for _, d := range workloads {
		for _, spill := range []int{0, 20, 100} {
			tally := d.play(seed, spill)
			got = append(got, fmt.Sprintf("%v %v %v %v spill %d: %s", tally.Offered, tally.Shed, tally.Failed, tally.CrossZone, spill, d.Name))
		}
	}
	if len(got) != len(want) {
		t.Fatalf("%d days were played, %d are recorded", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("got  %s\nwant %s", got[i], want[i])
		}
	}
}
