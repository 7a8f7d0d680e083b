//go:build review

package main

import (
	"os/exec"
	"testing"
)

// TestReviewCases runs the cases of the review. The build tag keeps it out of CI and of the default test run; it needs the
// programs in bin and what review/build.sh builds.
func TestReviewCases(t *testing.T) {
	for _, number := range []string{"1", "2", "3"} {
		t.Run(number, func(t *testing.T) {
			t.Parallel()
			if output, err := exec.Command("../" + number + "/run.sh").CombinedOutput(); err != nil {
				t.Errorf("%v:\n%s", err, output)
			}
		})
	}
}
