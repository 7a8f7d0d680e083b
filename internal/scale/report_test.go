package scale

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

func validReport() Report {
	return Report{Version: ReportVersion, Seed: 7, Cores: 8, GoVersion: "go", Reference: map[Axis]float64{Servers: 600},
		Slopes: []Slope{fitSlope(Slope{Cost: HeapBytes, Axis: Servers, Unit: unitBytes, Hollow: true,
			Points: []Point{{1, []float64{10, 11}}, {100, []float64{1000, 1100}}}})}}
}

func TestReportRoundTrips(t *testing.T) {
	path := filepath.Join(t.TempDir(), "slopes.json")
	if err := WriteReport(path, validReport()); err != nil {
		t.Fatal(err)
	}
	got, err := ReadReport(path)
	if err != nil || !reflect.DeepEqual(got, validReport()) {
		t.Errorf("got %+v, %v, want the report that was written", got, err)
	}
}

// invalidReport holds an invalid text of a report file and a pattern that its error must match.
type invalidReport struct{ text, want string }

// invalidReports returns invalid variants of a valid report's text, by a short description of the fault.
func invalidReports(t *testing.T, valid string) map[string]invalidReport {
	t.Helper()
	changed := func(old, new string) string {
		if !strings.Contains(valid, old) {
			t.Fatalf("the valid report does not contain %s", old)
		}
		return strings.Replace(valid, old, new, 1)
	}
	return map[string]invalidReport{
		"empty":             {"", `:1: version: unexpected end of file$`},
		"truncated":         {valid[:len(valid)/2], `:[0-9]+: [a-zA-Z]+: unexpected end of file$`},
		"not JSON":          {"slopes\n", `:1: `},
		"missing colon":     {changed(`"cores": 8,`, `"cores" 8,`), `:4: `},
		"other version":     {changed(`"version": 1`, `"version": 2`), `:2: version: 2 is not supported, expected 1$`},
		"no version":        {changed(`"version": 1,`, ``), `:1: version: required value is missing$`},
		"string for number": {changed(`"seed": 7`, `"seed": "x"`), `:3: seed: found a JSON string, expected a value of type uint64$`},
		"unknown field":     {changed(`"seed": 7`, `"sead": 7`), `"sead"`},
		"no reference":      {changed(`"servers": 600`, ``), `:6: reference: required value is missing$`},
		"other axis in reference": {changed(`"servers": 600`, `"zones": 8`),
			`:6: reference: required value is missing: no size for axis "servers", along which slopes\[0\] was measured$`},
		"no slopes": {`{"version": 1, "reference": {"servers": 1}}`, `:1: slopes: required value is missing or empty$`},
		"shape": {changed(`"shape": "linear"`, `"shape": "cubic"`),
			`:11: slopes\[0\]\.shape: unknown shape "cubic", expected one of`},
		"cost":          {changed(`"cost": "heap-bytes"`, `"cost": ""`), `:11: slopes\[0\]\.cost: required value is missing$`},
		"axis":          {changed(`"axis": "servers"`, `"axis": ""`), `:11: slopes\[0\]\.axis: required value is missing$`},
		"base":          {changed(`"base": `, `"base": -1, "was": `), `was`},
		"out of range":  {changed(`"size": 100`, `"size": 1e300`), `:11: slopes\[0\]\.points\[1\]\.size: `},
		"no points":     {changed(`"points": [`, `"points": [], "rest": [`), `rest`},
		"negative size": {changed(`"size": 100`, `"size": -100`), `:11: slopes\[0\]\.points\[1\]\.size: `},
		"trailing data": {valid + "{}", `:[0-9]+: `},
	}
}

func TestInvalidReportErrorsNameFileAndLine(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "slopes.json")
	if err := WriteReport(path, validReport()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range invalidReports(t, string(text)) {
		t.Run(name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadReport(path)
			if err == nil || !regexp.MustCompile(test.want).MatchString(err.Error()) {
				t.Fatalf("got error %v, want match for %q", err, test.want)
			}
			if !strings.HasPrefix(err.Error(), "slopes.json:") || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q is not a single line that begins with the file name", err)
			}
			var report *ReportError
			if !errors.As(err, &report) || report.File != "slopes.json" {
				t.Errorf("got an error of type %T, want a ReportError for slopes.json", err)
			}
		})
	}
	if _, err := ReadReport(filepath.Join(dir, "none.json")); !errors.Is(err, fs.ErrNotExist) ||
		!strings.Contains(err.Error(), "none.json") {
		t.Errorf("missing file: got error %v, want fs.ErrNotExist with the file name", err)
	}
}

func TestReportErrorsAreTyped(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       error
		key        string
	}{
		{"truncated", `{"version": 1, "seed"`, ErrTruncated, "version"},
		{"no version", `{}`, ErrMissing, "version"},
		{"no slopes", `{"version": 1, "reference": {"servers": 1}}`, ErrMissing, "slopes"},
		{"out of range", `{"version": 1, "reference": {"servers": 1}, "slopes": [{"cost": "c", "axis": "servers", "shape": "linear", "base": -1}]}`,
			ErrOutOfRange, "slopes[0].base"},
	} {
		_, err := ParseReport("f", []byte(test.text))
		var report *ReportError
		if !errors.Is(err, test.want) || !errors.As(err, &report) || report.File != "f" || report.Line != 1 ||
			report.Key != test.key {
			t.Errorf("%s: got error %v, want %v at f:1: %s", test.name, err, test.want, test.key)
		}
	}
}

func TestEachFieldOfASlopeIsChecked(t *testing.T) {
	for field, corrupt := range map[string]func(*Slope){
		"base":           func(s *Slope) { s.Base = -1 },
		"perUnit":        func(s *Slope) { s.PerUnit = 1e300 },
		"points":         func(s *Slope) { s.Points = nil },
		"points[0].runs": func(s *Slope) { s.Points[0].Runs = nil },
		"shape":          func(s *Slope) { s.Shape = "" },
	} {
		report := validReport()
		corrupt(&report.Slopes[0])
		if got, err := report.firstInvalidField(); got != "slopes[0]."+field || err == nil {
			t.Errorf("got field %q and error %v, want an error in slopes[0].%s", got, err, field)
		}
	}
}

// The committed report, from which the capacity page is computed, must be valid for the current code.
func TestCommittedReportIsValid(t *testing.T) {
	report, err := ReadReport("../../docs/scale/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, axis := range []Axis{Servers, Proxies, Zones} {
		for _, cost := range []Cost{CPUPerQuietSecond, CPUPerBusySecond, CPUPerInput, LongestDecision, CPUPerOpening, HeapBytes} {
			if s, found := report.Find(cost, axis); !found || len(s.Points) < 4 || len(s.Points[0].Runs) < 3 {
				t.Errorf("%s along %s: want at least four sizes with three runs each", cost, axis)
			}
		}
	}
}
