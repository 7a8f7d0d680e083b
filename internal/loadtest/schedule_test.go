package loadtest

import (
	"math"
	"testing"
	"time"
)

func TestScheduleKeepsMessagesDueDuringAStall(t *testing.T) {
	s := Schedule{Rate: 1000}
	if n, last := s.Due(10 * time.Millisecond); n != 10 || last != 10*time.Millisecond {
		t.Errorf("%d, the last at %v", n, last)
	}
	if n, _ := s.Due(10 * time.Millisecond); n != 0 {
		t.Errorf("%d more at once", n)
	}
	if n, last := s.Due(time.Second); n != 990 || last != time.Second { // after a stall all are still due
		t.Errorf("%d, the last at %v", n, last)
	}
}

func TestRampFindsTheMaxRate(t *testing.T) {
	for _, top := range []float64{3000, 47_000, 900_000} {
		r := NewRamp(20_000)
		steps := 1
		for r.Step(min(1, top/r.Rate()), 0) {
			if steps++; steps > 30 {
				t.Fatal("no end")
			}
		}
		if got := r.MaxRate(); math.Abs(got-top) > 0.13*top {
			t.Errorf("%.0f for %.0f", got, top)
		}
	}
}

func TestRampRejectsASlowStep(t *testing.T) {
	r := NewRamp(1000)
	r.Step(1, time.Second)
	if r.MaxRate() != 0 || r.Rate() >= 1000 {
		t.Errorf("top %.0f, next %.0f", r.MaxRate(), r.Rate())
	}
}
