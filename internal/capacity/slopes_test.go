package capacity

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"tamarindshore/internal/scale"
)

// The reference is 1,000 servers and 100 proxies; both made-up slopes say 3 ms there.
func TestACostAtASize(t *testing.T) {
	c := Costs{madeUp(t)}
	s := c.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 1000, scale.Proxies: 100})
	near(t, "at the reference", s.Value.Value, 0.003)
	s = c.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 24000, scale.Proxies: 480, scale.Zones: 88})
	near(t, "at a size", s.Value.Value, 0.003+0.000002*23000+0.00001*380)
	if !slices.Equal(s.Missing, []scale.Axis{scale.Zones}) {
		t.Errorf("missing: %v", s.Missing)
	}
	if !slices.Equal(s.Beyond, []scale.Axis{scale.Servers}) {
		t.Errorf("beyond what was measured: %v", s.Beyond)
	}
}

func TestACostIsNeverBelowNothing(t *testing.T) {
	r := madeUp(t)
	r.Slopes[0].PerUnit, r.Slopes[0].Base = 1, -1000
	s := Costs{r}.At(scale.CPUPerQuietSecond, Sizes{scale.Servers: 1})
	near(t, "far below the reference", s.Value.Value, 0)
}

func TestACostThatWasNotMeasuredIsUnknown(t *testing.T) {
	c := Costs{madeUp(t)}
	if s := c.At(scale.LongestDecision, Sizes{scale.Servers: 1000}); s.Value.Known {
		t.Errorf("known: %v", s.Value)
	}
	s := c.OrPlan(scale.BytesOfReport, nil, 100)
	near(t, "the plan's figure", s.Value.Value, 100)
	if !s.Assumed {
		t.Error("it is not called assumed")
	}
}

func TestFaultySlopes(t *testing.T) {
	slopes := read(t, "testdata/slopes.json")
	change := func(from, to string) string {
		if !strings.Contains(slopes, from) {
			t.Fatalf("the slopes have no %q", from)
		}
		return strings.Replace(slopes, from, to, 1)
	}
	for name, one := range map[string]struct{ text, want string }{
		"empty":             {"", `^slopes\.json:1: version: the file is cut short$`},
		"cut short":         {slopes[:len(slopes)/2], `^slopes\.json:1?[0-9]: [a-zA-Z]+: the file is cut short$`},
		"another version":   {change(`"version": 1`, `"version": 2`), `^slopes\.json:2: version: 2 is not 1$`},
		"no version":        {change(`"version": 1,`, ``), `^slopes\.json:1: version: 0 is not 1$`},
		"a word for number": {change(`"seed": 1`, `"seed": "one"`), `^slopes\.json:3: seed: string is no uint64$`},
		"no JSON":           {change(`"cores": 1,`, `"cores" 1,`), `^slopes\.json:4: `},
		"no slopes":         {`{"version": 1}`, `^slopes\.json:1: slopes: is missing or empty$`},
		"no reference":      {change(`"servers": 1000, `, ``), `^slopes\.json:6: reference: servers is missing`},
		"no known shape":    {change(`"shape": "linear"`, `"shape": "cubic"`), `^slopes\.json:7: slopes: slopes\[0\], cpu-per-quiet-second along servers, has no cost or no known shape$`},
		"out of range":      {change(`"base": 0.001`, `"base": 1e300`), `^slopes\.json:7: slopes: slopes\[0\], cpu-per-quiet-second along servers, is out of range$`},
	} {
		_, err := ParseSlopes("slopes.json", []byte(one.text))
		if err == nil || !regexp.MustCompile(one.want).MatchString(err.Error()) {
			t.Errorf("%s: %v, not %s", name, err, one.want)
		}
	}
	if _, err := ReadSlopes("testdata/none.json"); err == nil {
		t.Error("slopes that are not there: no error")
	}
}

// Where no shape fits, a cost between two measured sizes lies between their medians; beyond them it is the curve's.
func TestACostWithoutAFittingShape(t *testing.T) {
	points := []scale.Point{{Size: 100, Runs: []float64{9, 5, 7}}, {Size: 10, Runs: []float64{1, 3}}}
	s := scale.Slope{Shape: scale.Linear, Base: 1000, PerUnit: 1, Points: points}
	for size, want := range map[float64]float64{10: 2, 100: 7, 28: 3, 55: 4.5, 5: 1005, 200: 1200} {
		near(t, "no shape fits", costAt(s, size), want)
	}
	s.Fits = true
	near(t, "one fits", costAt(s, 55), 1055)
}
