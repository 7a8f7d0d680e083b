package capacity

import (
	"path/filepath"
	"strings"
	"testing"

	"tamarindshore/internal/scale"
)

// The tables of the page must be what the command prints for the plan and the slopes of the repository. To update
// them: tamarindshore capacity --page docs/CAPACITY.md
func TestCapacityPageMatchesCommandOutput(t *testing.T) {
	slopes, err := scale.ReadReport(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ExtractTables(readFile(t, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	NewModel(repositoryPlan(t), slopes).WriteTables(&want)
	if got != want.String() {
		t.Errorf("the tables of %s differ from the output of the command; first difference: %s",
			filepath.Base(pageFile), firstDifference(got, want.String()))
	}
}

func firstDifference(page, command string) string {
	pageLines := strings.Split(page, "\n")
	commandLines := strings.Split(command, "\n")
	for i := range min(len(pageLines), len(commandLines)) {
		if pageLines[i] != commandLines[i] {
			return "\npage:    " + pageLines[i] + "\ncommand: " + commandLines[i]
		}
	}
	return "one of them has more lines"
}
