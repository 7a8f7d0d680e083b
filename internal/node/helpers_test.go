package node

import (
	"testing"
	"time"
)

// pollInterval is the time between two looks at something that has no event to wait for.
const pollInterval = time.Millisecond

// mustEventually waits until something holds, and ends the test where it does not within a timeout.
func mustEventually(t testing.TB, timeout time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, timeout)
		}
	}
}
