package capacity

import (
	"strings"
	"testing"
)

func TestUnmeasuredFiguresAreShownAsLowerBounds(t *testing.T) {
	m := NewModel(repositoryPlan(t), exampleSlopes(t))
	busiest := m.Plan.situations()[1]
	load := m.Load(Manager, busiest, WholeList)
	if load.Core.Known {
		t.Error("the cost of a change of the list is not in the made-up slopes, yet the sum is known")
	}
	if got := formatFigure(load.Core, formatPercent); !strings.HasPrefix(got, "at least 5.7") {
		t.Errorf("the rest of it is shown as %q", got)
	}
	if got := formatFigure(Figure{}, formatPercent); got != unmeasured {
		t.Errorf("nothing measured is shown as %q", got)
	}
}

func TestNumberFormats(t *testing.T) {
	for x, want := range map[float64]string{0: "0", 0.0001: "under 0.001", 0.00417: "0.00417", 1.23456: "1.23", 63.63: "63.6", 272.7: "273", 1400000: "1,400,000"} {
		if got := formatNumber(x); got != want {
			t.Errorf("%v: %q, not %q", x, got, want)
		}
	}
	if got := formatBytes(3600100); got != "3.6 MB" {
		t.Errorf("bytes: %q", got)
	}
	if got := formatSeconds(0.0528); got != "52.8 ms" {
		t.Errorf("seconds: %q", got)
	}
}

// An unfinished table would pass for a whole one.
func TestTableRowsHaveEqualColumns(t *testing.T) {
	var out strings.Builder
	NewModel(repositoryPlan(t), exampleSlopes(t)).WriteTables(&out)
	columns := 0
	for n, line := range strings.Split(out.String(), "\n") {
		if !strings.HasPrefix(line, "|") {
			columns = 0
			continue
		}
		if got := strings.Count(line, " | "); columns != 0 && got != columns {
			t.Errorf("line %d has %d columns, not %d: %s", n+1, got+1, columns+1, line)
		} else {
			columns = got
		}
	}
}

func TestReplaceTablesInAPage(t *testing.T) {
	page := "before\n" + BeginMark + "old\n" + EndMark + "after\n"
	renewed, err := ReplaceTables(page, "new\n")
	if err != nil {
		t.Fatal(err)
	}
	if want := "before\n" + BeginMark + "new\n" + EndMark + "after\n"; renewed != want {
		t.Errorf("%q", renewed)
	}
	for _, invalid := range []string{"", BeginMark, EndMark + BeginMark} {
		if _, err := ReplaceTables(invalid, "new\n"); err == nil {
			t.Errorf("%q: no error", invalid)
		}
		if _, err := ExtractTables(invalid); err == nil {
			t.Errorf("%q: no error", invalid)
		}
	}
}
