package capacity

import (
	"path/filepath"
	"strings"
	"testing"

	"tamarindshore/internal/scale"
)

// The page's tables are what the command prints from the plan and the slopes that stand in the repository:
// tamarindshore capacity --page docs/CAPACITY.md renews them.
func TestCapacityPageHoldsTheTablesOfTheCommand(t *testing.T) {
	slopes, err := scale.ReadReport(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ExtractTables(read(t, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	NewModel(repositoryPlan(t), slopes).WriteTables(&want)
	if got != want.String() {
		t.Errorf("the tables of %s are not those of the command; first difference: %s", filepath.Base(pageFile), difference(got, want.String()))
	}
}

func difference(a, b string) string {
	was := strings.Split(a, "\n")
	is := strings.Split(b, "\n")
	for i := range min(len(was), len(is)) {
		if was[i] != is[i] {
			return "\npage:    " + was[i] + "\ncommand: " + is[i]
		}
	}
	return "one is longer"
}
