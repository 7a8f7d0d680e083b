package capacity

import (
	"slices"
	"testing"

	"tamarindshore/internal/scale"
)

// The reference is 1,000 servers and 100 proxies; both made-up slopes say 3 ms there.
func TestCostAtASize(t *testing.T) {
	c := Costs{exampleSlopes(t)}
	s := c.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 1000, scale.Proxies: 100})
	checkNear(t, "at the reference", s.Value.Value, 0.003)
	s = c.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 24000, scale.Proxies: 480, scale.Zones: 88})
	checkNear(t, "at a size", s.Value.Value, 0.003+0.000002*23000+0.00001*380)
	if !slices.Equal(s.UnmeasuredAxes, []scale.Axis{scale.Zones}) {
		t.Errorf("missing: %v", s.UnmeasuredAxes)
	}
	if !slices.Equal(s.ExtrapolatedAxes, []scale.Axis{scale.Servers}) {
		t.Errorf("beyond what was measured: %v", s.ExtrapolatedAxes)
	}
}

func TestCostIsNeverNegative(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes[0].PerUnit = 1
	r.Slopes[0].Base = -1000
	s := Costs{r}.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 1})
	checkNear(t, "far below the reference", s.Value.Value, 0)
}

func TestUnmeasuredCostIsUnknown(t *testing.T) {
	c := Costs{exampleSlopes(t)}
	if s := c.At(scale.LongestDecision, Sizes{scale.Servers: 1000}); s.Value.Known {
		t.Errorf("known: %v", s.Value)
	}
	s := c.OrPlan(scale.BytesOfReport, nil, 100)
	checkNear(t, "the plan's figure", s.Value.Value, 100)
	if !s.Assumed {
		t.Error("it is not called assumed")
	}
}
