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
		t.Errorf("settings %+v, error %v", o, err)
	}
	s, err := parse(emptyEnvironment, []byte(validPlatformFile), false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = s.WithOperator(o); err == nil || err.Error() != "f:1: cores: 4 is more than limits.cores of the platform's file, 1" {
		t.Error(err)
	}
	s.coresConfigured = false
	if s, err = s.WithOperator(o); err != nil || s.Limits.Shards != 4 || s.Limits.Cores != 4 {
		t.Errorf("limits %+v, error %v", s.Limits, err)
	}
}

func TestInvalidOperatorSettingsNameTheirKey(t *testing.T) {
	for text, want := range map[string]string{
		"(tamarindshore\n (cores 0))":                         "f:2: cores: 0 is not an integer between 1 and 64",
		"(tamarindshore\n (log (level loud)))":                "f:2: level: loud is not one of debug, info, warn, error",
		"(tamarindshore\n (listen (status \"10.0.0.1:80\")))": "f:2: status: 10.0.0.1:80 is not a loopback address; the status listener exposes the fleet without authentication",
		"(tamarindshore (zones 3))":                           "f:1: zones: unknown key, expected one of cores, log, listen, admin, tables, store, subset, read-interval",
		"(tamarindshore\n (subset))":                          "f:2: spill: is missing",
		"(tamarindshore\n (subset\n  (spill 0)))":             "f:3: spill: 0 is not an integer between 1 and 1048576",
		"(tamarindshore\n (subset (spill -3)))":               "f:2: spill: -3 is not an integer between 1 and 1048576",
		"(tamarindshore\n (subset (spill many)))":             "f:2: spill: many is not an integer between 1 and 1048576",
		"(tamarindshore\n (subset (spill 1) (spill 2)))":      "f:2: spill: duplicate key",
		"(tamarindshore\n (subset (managers 5)))":             "f:2: managers: unknown key, expected one of spill",
		"(tamarindshore\n (admin (socket \"a/b\")))":          `f:2: socket: "a/b" is not an absolute path`,
		"(tamarindshore\n (store (path x)))":                  `f:2: path: "x" is not an absolute path`,
		"(tamarindshore\n (tables (keys x)))":                 `f:2: keys: "x" is not an absolute path`,
		"(tamarindshore\n (tables (listen a:1)))":             "f:2: tables: keys: is missing; it is required to sign versions",
		"(tamarindshore\n (tables (listen a)))":               "f:2: listen: a is not a valid host:port",
		"(tamarindshore\n (log (form xml)))":                  "f:2: form: xml is not one of text, json",
		"(tamarindshore\n (cores 4)":                          "f:2: a parenthesis is not closed",
		"":                                                    "f:1: expected exactly one form (tamarindshore ...)",
		"(other)":                                             "f:1: expected exactly one form (tamarindshore ...)",
		"(tamarindshore) (tamarindshore)":                     "f:1: expected exactly one form (tamarindshore ...)",
	} {
		_, err := ParseOperatorSettings("f", []byte(text))
		var located *sexp.Error
		if !errors.As(err, &located) || located.File != "f" || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}

func TestMissingOperatorFileIsAnError(t *testing.T) {
	if _, err := ReadOperatorSettings(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}

// newConfig returns a valid platform configuration with operator settings applied.
func newConfig(t *testing.T, settings string) Config {
	t.Helper()
	operator, err := ParseOperatorSettings("f", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	config, err := parse(emptyEnvironment, []byte(validPlatformFile), false)
	if err != nil {
		t.Fatal(err)
	}
	if config, err = config.WithOperator(operator); err != nil {
		t.Fatal(err)
	}
	return config
}

func TestSubsetIsOffByDefault(t *testing.T) {
	for text, want := range map[string]int{"(tamarindshore)": 0, "(tamarindshore (subset (spill 100)))": 100} {
		if s := newConfig(t, text); s.Spill != want {
			t.Errorf("%s: spill %d, want %d", text, s.Spill, want)
		}
	}
}

func TestReadIntervalIsOffByDefault(t *testing.T) {
	for text, want := range map[string]time.Duration{"(tamarindshore)": 0, "(tamarindshore (read-interval 50ms))": 50 * time.Millisecond} {
		if s := newConfig(t, text); s.Limits.ReadInterval != want {
			t.Errorf("%s: read interval %v, want %v", text, s.Limits.ReadInterval, want)
		}
	}
	for _, text := range []string{"0s", "1us", "201ms", "-1ms", "soon"} {
		if _, err := ParseOperatorSettings("f", []byte("(tamarindshore\n (read-interval "+text+"))")); err == nil || !strings.HasPrefix(err.Error(), "f:2: read-interval") {
			t.Errorf("%s: error %v does not name the key", text, err)
		}
	}
}
