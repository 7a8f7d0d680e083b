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
		t.Error("the example slopes lack the cost of a list change, but the core is known")
	}
	if got := formatFigure(load.Core, formatPercent); !strings.HasPrefix(got, "at least 5.7") {
		t.Errorf("core with an unmeasured part: got %q, want a lower bound that begins with 5.7", got)
	}
	if got := formatFigure(Figure{}, formatPercent); got != unmeasured {
		t.Errorf("unmeasured figure: got %q, want %q", got, unmeasured)
	}
}

func TestNumberFormats(t *testing.T) {
	for x, want := range map[float64]string{
		0: "0", 0.0001: "under 0.001", 0.00417: "0.00417", 1.23456: "1.23", 63.63: "63.6", 272.7: "273", 1400000: "1,400,000",
	} {
		if got := formatNumber(x); got != want {
			t.Errorf("%v: got %q, want %q", x, got, want)
		}
	}
	if got := formatBytes(3600100); got != "3.6 MB" {
		t.Errorf("bytes: got %q, want \"3.6 MB\"", got)
	}
	if got := formatSeconds(0.0528); got != "52.8 ms" {
		t.Errorf("seconds: got %q, want \"52.8 ms\"", got)
	}
}

// A row with missing cells must not go unnoticed: a truncated table would look like a complete one.
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
			t.Errorf("line %d: got %d columns, want %d: %s", n+1, got+1, columns+1, line)
		} else {
			columns = got
		}
	}
}

func TestReplaceTablesInAPage(t *testing.T) {
	page := "before\n" + BeginMarker + "old\n" + EndMarker + "after\n"
	updated, err := ReplaceTables(page, "new\n")
	if err != nil {
		t.Fatal(err)
	}
	if want := "before\n" + BeginMarker + "new\n" + EndMarker + "after\n"; updated != want {
		t.Errorf("got page %q, want %q", updated, want)
	}
	for _, invalid := range []string{"", BeginMarker, EndMarker + BeginMarker} {
		if _, err := ReplaceTables(invalid, "new\n"); err == nil {
			t.Errorf("page %q without valid markers: got no error", invalid)
		}
		if _, err := ExtractTables(invalid); err == nil {
			t.Errorf("page %q without valid markers: got no error", invalid)
		}
	}
}
