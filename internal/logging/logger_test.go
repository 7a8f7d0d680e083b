package logging

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"testing"
)

func TestBothFormatsWriteTheSameFields(t *testing.T) {
	for format, want := range map[string]string{
		Text: `^\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d{6} event=start name=n1 note="a b" servers=30\n$`,
		JSON: `^\{"level":"info","event":"start","name":"n1","servers":30,"note":"a b","time":"[^"]+"\}\n$`,
	} {
		var out bytes.Buffer
		log := New(NewFormatWriter(format, &out), "info")
		log.Info().Str("event", "start").Str("name", "n1").Int("servers", 30).Str("note", "a b").Send()
		log.Debug().Msg("below the level")
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("format %s: wrote %q, want a match for %s", format, out.String(), want)
		}
		if format == JSON && !json.Valid(out.Bytes()) {
			t.Error("the line is not valid JSON")
		}
	}
}

// Each level name of the operator's settings must enable that level and those above; an empty or unknown name means info.
func TestLevelsByName(t *testing.T) {
	for level, want := range map[string]string{
		"debug": "debug info warn error", "info": "info warn error", "warn": "warn error", "error": "error",
		"": "info warn error", "loud": "info warn error",
	} {
		var out bytes.Buffer
		log := New(&out, level)
		log.Debug().Send()
		log.Info().Send()
		log.Warn().Send()
		log.Error().Send()
		var got []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			var record struct {
				Level string `json:"level"`
				Time  string `json:"time"`
			}
			if err := json.Unmarshal([]byte(line), &record); err != nil || record.Time == "" {
				t.Fatalf("%q: %v", line, err)
			}
			got = append(got, record.Level)
		}
		if text := strings.Join(got, " "); text != want {
			t.Errorf("level %q: logged %s, want %s", level, text, want)
		}
	}
	if got := strings.Join(Levels, " "); got != "debug info warn error" {
		t.Error(got)
	}
}
