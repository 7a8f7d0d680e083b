package loadtest

import (
	"math"
	"testing"
	"time"
)

// A stall must not reduce the load: messages that were due during the stall remain due.
func TestScheduleKeepsMessagesDueDuringAStall(t *testing.T) {
	s := Schedule{Rate: 1000}
	if n, last := s.TakeDue(10 * time.Millisecond); n != 10 || last != 10*time.Millisecond {
		t.Errorf("%d messages due, the last at %v; want 10 at 10ms", n, last)
	}
	if n, _ := s.TakeDue(10 * time.Millisecond); n != 0 {
		t.Errorf("%d messages due at the same time again, want none", n)
	}
	if n, last := s.TakeDue(time.Second); n != 990 || last != time.Second {
		t.Errorf("%d messages due after a stall, the last at %v; want 990 at 1s", n, last)
	}
}

// A manager that accepts at most wantMaxRate must be measured within 13% of it, in at most 30 steps.
func TestRampFindsTheMaxRate(t *testing.T) {
	for _, wantMaxRate := range []float64{3000, 47_000, 900_000} {
		r := NewRamp(20_000)
		steps := 1
		for r.RecordStep(min(1, wantMaxRate/r.Rate()), 0) {
			if steps++; steps > 30 {
				t.Fatal("the search did not end after 30 steps")
			}
		}
		if got := r.MaxRate(); math.Abs(got-wantMaxRate) > 0.13*wantMaxRate {
			t.Errorf("found a maximum rate of %.0f, want %.0f", got, wantMaxRate)
		}
	}
}

// A step with a high latency is not sustained, even if all messages are accepted.
func TestRampCountsASlowStepAsNotSustained(t *testing.T) {
	r := NewRamp(1000)
	r.RecordStep(1, time.Second)
	if r.MaxRate() != 0 || r.Rate() >= 1000 {
		t.Errorf("maximum rate %.0f, next rate %.0f after a slow step; want 0 and less than 1000", r.MaxRate(), r.Rate())
	}
}
