package node

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition that has no event to wait for.
const pollInterval = time.Millisecond

// mustEventually waits until a condition holds, and fails the test if it does not hold within a timeout.
func mustEventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition %q does not hold after %v", description, timeout)
		}
	}
}
