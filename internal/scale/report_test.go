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

func sound() Report {
	return Report{Version: ReportVersion, Seed: 7, Cores: 8, GoVersion: "go", Reference: map[Axis]float64{Servers: 600},
		Slopes: []Slope{fitted(Slope{Cost: HeapBytes, Axis: Servers, Unit: unitBytes, Hollow: true,
			Points: []Point{{1, []float64{10, 11}}, {100, []float64{1000, 1100}}}})}}
}

func TestReportRoundTrips(t *testing.T) {
	path := filepath.Join(t.TempDir(), "slopes.json")
	if err := WriteReport(path, sound()); err != nil {
		t.Fatal(err)
	}
	got, err := ReadReport(path)
	if err != nil || !reflect.DeepEqual(got, sound()) {
		t.Errorf("%+v, %v", got, err)
	}
}

// badReport is a text that is no report, and a pattern of its error.
type badReport struct{ text, want string }

// badReports are changes of a sound report's text, by what is wrong.
func badReports(t *testing.T, whole string) map[string]badReport {
	t.Helper()
	changed := func(old, new string) string {
		if !strings.Contains(whole, old) {
			t.Fatalf("no %s in the file", old)
		}
		return strings.Replace(whole, old, new, 1)
	}
	return map[string]badReport{
		"empty":             {"", `:1: version: the file is cut short$`},
		"cut short":         {whole[:len(whole)/2], `:[0-9]+: [a-zA-Z]+: the file is cut short$`},
		"no JSON":           {"slopes\n", `:1: `},
		"a colon less":      {changed(`"cores": 8,`, `"cores" 8,`), `:4: `},
		"other version":     {changed(`"version": 1`, `"version": 2`), `:2: version: 2 is not 1`},
		"no version":        {changed(`"version": 1,`, ``), `:1: version: is missing$`},
		"a word for number": {changed(`"seed": 7`, `"seed": "x"`), `:3: seed: a string stands where uint64 is due$`},
		"unknown field":     {changed(`"seed": 7`, `"sead": 7`), `"sead"`},
		"no reference":      {changed(`"servers": 600`, ``), `:6: reference: is missing$`},
		"other reference":   {changed(`"servers": 600`, `"zones": 8`), `:6: reference: servers is missing, along which slopes\[0\] was measured$`},
		"no slopes":         {`{"version": 1, "reference": {"servers": 1}}`, `:1: slopes: is missing or empty$`},
		"shape":             {changed(`"shape": "linear"`, `"shape": "cubic"`), `:11: slopes\[0\]\.shape: "cubic" is none of`},
		"cost":              {changed(`"cost": "heap-bytes"`, `"cost": ""`), `:11: slopes\[0\]\.cost: is missing$`},
		"axis":              {changed(`"axis": "servers"`, `"axis": ""`), `:11: slopes\[0\]\.axis: is missing$`},
		"base":              {changed(`"base": `, `"base": -1, "was": `), `was`},
		"out of range":      {changed(`"size": 100`, `"size": 1e300`), `:11: slopes\[0\]\.points\[1\]\.size: `},
		"no points":         {changed(`"points": [`, `"points": [], "rest": [`), `rest`},
		"negative size":     {changed(`"size": 100`, `"size": -100`), `:11: slopes\[0\]\.points\[1\]\.size: `},
		"something after":   {whole + "{}", `:[0-9]+: `},
	}
}

func TestInvalidReportsNameThePlaceInOneLine(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "slopes.json")
	if err := WriteReport(path, sound()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, one := range badReports(t, string(text)) {
		t.Run(name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(one.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadReport(path)
			if err == nil || !regexp.MustCompile(one.want).MatchString(err.Error()) {
				t.Fatalf("got %v, want %q", err, one.want)
			}
			if !strings.HasPrefix(err.Error(), "slopes.json:") || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q is no line that begins with the file", err)
			}
			var report *ReportError
			if !errors.As(err, &report) || report.File != "slopes.json" {
				t.Errorf("%T is no ReportError", err)
			}
		})
	}
	if _, err := ReadReport(filepath.Join(dir, "none.json")); !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("no file: %v", err)
	}
}

func TestErrorsOfReportsAreTyped(t *testing.T) {
	for _, one := range []struct {
		name, text string
		want       error
		key        string
	}{
		{"cut short", `{"version": 1, "seed"`, ErrTruncated, "version"},
		{"no version", `{}`, ErrMissing, "version"},
		{"no slopes", `{"version": 1, "reference": {"servers": 1}}`, ErrMissing, "slopes"},
		{"out of range", `{"version": 1, "reference": {"servers": 1}, "slopes": [{"cost": "c", "axis": "servers", "shape": "linear", "base": -1}]}`,
			ErrOutOfRange, "slopes[0].base"},
	} {
		_, err := ParseReport("f", []byte(one.text))
		var report *ReportError
		if !errors.Is(err, one.want) || !errors.As(err, &report) || report.File != "f" || report.Line != 1 || report.Key != one.key {
			t.Errorf("%s: %v", one.name, err)
		}
	}
}

func TestEachFieldOfASlopeIsChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Slope){
		"base":           func(s *Slope) { s.Base = -1 },
		"perUnit":        func(s *Slope) { s.PerUnit = 1e300 },
		"points":         func(s *Slope) { s.Points = nil },
		"points[0].runs": func(s *Slope) { s.Points[0].Runs = nil },
		"shape":          func(s *Slope) { s.Shape = "" },
	} {
		report := sound()
		spoil(&report.Slopes[0])
		if got, err := report.problem(); got != "slopes[0]."+field || err == nil {
			t.Errorf("%s: %q %v", field, got, err)
		}
	}
}

// The file that the capacity page reckons from must be read by this program.
func TestCommittedReportIsValid(t *testing.T) {
	report, err := ReadReport("../../docs/scale/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, axis := range []Axis{Servers, Proxies, Zones} {
		for _, cost := range []Cost{CPUPerQuietSecond, CPUPerBusySecond, CPUPerInput, LongestDecision, CPUPerOpening, HeapBytes} {
			if s, found := report.Find(cost, axis); !found || len(s.Points) < 4 || len(s.Points[0].Runs) < 3 {
				t.Errorf("%s along %s: four sizes of three runs are due", cost, axis)
			}
		}
	}
}
