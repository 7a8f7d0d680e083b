package config

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tamarindshore/internal/logging"
	"tamarindshore/internal/sexp"
)

func TestOperatorSettingsHaveDefaults(t *testing.T) {
	o, err := ParseOperatorSettings("f", []byte(`(tamarindshore (cores 4) (log (form json)) (listen (status "127.0.0.1:9801")))`))
	if err != nil || o.Shards != 4 || o.LogFormat != logging.JSON || o.LogLevel != "info" || o.StatusAddress != "127.0.0.1:9801" {
		t.Errorf("%+v %v", o, err)
	}
	s, err := parse(emptyEnvironment, []byte(validPlatformFile), false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = s.WithOperator(o); err == nil || err.Error() != "f:1: cores: 4 is more than the platform's limits.cores, 1" {
		t.Error(err)
	}
	s.coresConfigured = false
	if s, err = s.WithOperator(o); err != nil || s.Limits.Shards != 4 || s.Limits.Cores != 4 {
		t.Errorf("%+v %v", s.Limits, err)
	}
}

func TestInvalidOperatorSettingsNameTheirKey(t *testing.T) {
	for text, want := range map[string]string{
		"(tamarindshore\n (cores 0))":                         "f:2: cores: 0 is no whole number from 1 to 64",
		"(tamarindshore\n (log (level loud)))":                "f:2: level: loud is none of debug, info, warn, error",
		"(tamarindshore\n (listen (status \"10.0.0.1:80\")))": "f:2: status: 10.0.0.1:80 is not on loopback: it tells of the fleet without asking who reads",
		"(tamarindshore (zones 3))":                           "f:1: zones: is no key here; known are cores, log, listen, admin, tables, store, subset, read-interval",
		"(tamarindshore\n (subset))":                          "f:2: spill: is missing",
		"(tamarindshore\n (subset\n  (spill 0)))":             "f:3: spill: 0 is no whole number from 1 to 1048576",
		"(tamarindshore\n (subset (spill -3)))":               "f:2: spill: -3 is no whole number from 1 to 1048576",
		"(tamarindshore\n (subset (spill many)))":             "f:2: spill: many is no whole number from 1 to 1048576",
		"(tamarindshore\n (subset (spill 1) (spill 2)))":      "f:2: spill: stands twice",
		"(tamarindshore\n (subset (managers 5)))":             "f:2: managers: is no key here; known are spill",
		"(tamarindshore\n (admin (socket \"a/b\")))":          `f:2: socket: "a/b" is no path from the root`,
		"(tamarindshore\n (store (path x)))":                  `f:2: path: "x" is no path from the root`,
		"(tamarindshore\n (tables (keys x)))":                 `f:2: keys: "x" is no path from the root`,
		"(tamarindshore\n (tables (listen a:1)))":             "f:2: tables: keys: is missing: versions are signed",
		"(tamarindshore\n (tables (listen a)))":               "f:2: listen: a is no host:port",
		"(tamarindshore\n (log (form xml)))":                  "f:2: form: xml is none of text, json",
		"(tamarindshore\n (cores 4)":                          "f:2: a bracket is not closed",
		"":                                                    "f:1: one form (tamarindshore ...) is due",
		"(other)":                                             "f:1: one form (tamarindshore ...) is due",
		"(tamarindshore) (tamarindshore)":                     "f:1: one form (tamarindshore ...) is due",
	} {
		_, err := ParseOperatorSettings("f", []byte(text))
		var place *sexp.Error
		if !errors.As(err, &place) || place.File != "f" || err.Error() != want {
			t.Errorf("%q: %v, not %s", text, err, want)
		}
	}
}

func TestMissingOperatorFileIsAnError(t *testing.T) {
	if _, err := ReadOperatorSettings(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}

// newConfig is a configuration joined to the operator's settings.
func newConfig(t *testing.T, settings string) Config {
	t.Helper()
	operator, err := ParseOperatorSettings("f", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	start, err := parse(emptyEnvironment, []byte(validPlatformFile), false)
	if err != nil {
		t.Fatal(err)
	}
	if start, err = start.WithOperator(operator); err != nil {
		t.Fatal(err)
	}
	return start
}

func TestSubsetIsOffByDefault(t *testing.T) {
	for text, want := range map[string]int{"(tamarindshore)": 0, "(tamarindshore (subset (spill 100)))": 100} {
		if s := newConfig(t, text); s.Spill != want {
			t.Errorf("%s: %d", text, s.Spill)
		}
	}
}

func TestReadIntervalIsOffByDefault(t *testing.T) {
	for text, want := range map[string]time.Duration{"(tamarindshore)": 0, "(tamarindshore (read-interval 50ms))": 50 * time.Millisecond} {
		if s := newConfig(t, text); s.Limits.ReadInterval != want {
			t.Errorf("%s: %v", text, s.Limits.ReadInterval)
		}
	}
	for _, text := range []string{"0s", "1us", "201ms", "-1ms", "soon"} {
		if _, err := ParseOperatorSettings("f", []byte("(tamarindshore\n (read-interval "+text+"))")); err == nil || !strings.HasPrefix(err.Error(), "f:2: read-interval") {
			t.Errorf("%s: %v", text, err)
		}
	}
}
