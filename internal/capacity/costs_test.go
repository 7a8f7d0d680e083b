package capacity

import (
	"slices"
	"testing"

	"tamarindshore/internal/scale"
)

// The reference is 1,000 servers and 100 proxies. Both example slopes give 3 ms there.
func TestCostAtGivenSize(t *testing.T) {
	c := Costs{exampleSlopes(t)}
	s := c.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 1000, scale.Proxies: 100})
	assertNear(t, "at the reference", s.Value.Value, 0.003)
	s = c.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 24000, scale.Proxies: 480, scale.Zones: 88})
	assertNear(t, "at the given size", s.Value.Value, 0.003+0.000002*23000+0.00001*380)
	if !slices.Equal(s.UnmeasuredAxes, []scale.Axis{scale.Zones}) {
		t.Errorf("unmeasured axes: got %v, want [%s]", s.UnmeasuredAxes, scale.Zones)
	}
	if !slices.Equal(s.ExtrapolatedAxes, []scale.Axis{scale.Servers}) {
		t.Errorf("extrapolated axes: got %v, want [%s]", s.ExtrapolatedAxes, scale.Servers)
	}
}

func TestCostIsNeverNegative(t *testing.T) {
	r := exampleSlopes(t)
	r.Slopes[0].PerUnit = 1
	r.Slopes[0].Base = -1000
	s := Costs{r}.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 1})
	assertNear(t, "far below the reference", s.Value.Value, 0)
}

func TestUnmeasuredCostIsUnknown(t *testing.T) {
	c := Costs{exampleSlopes(t)}
	if s := c.At(scale.LongestDecision, Sizes{scale.Servers: 1000}); s.Value.Known {
		t.Errorf("unmeasured cost: got known value %v, want unknown", s.Value)
	}
	s := c.AtOrAssumed(scale.BytesOfReport, nil, 100)
	assertNear(t, "the assumption of the plan", s.Value.Value, 100)
	if !s.Assumed {
		t.Error("the value is not marked as assumed")
	}
}
