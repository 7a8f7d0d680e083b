package logging

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"
	"time"
)

func TestBothFormsTellTheSame(t *testing.T) {
	for form, want := range map[string]string{
		Text: `^\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d{6} event=start name=n1 note="a b" servers=30\n$`,
		JSON: `^\{"level":"info","event":"start","name":"n1","servers":30,"note":"a b","time":"[^"]+"\}\n$`,
	} {
		var out bytes.Buffer
		log := New(NewFormatWriter(form, &out), "info")
		log.Info().Str("event", "start").Str("name", "n1").Int("servers", 30).Str("note", "a b").Send()
		log.Debug().Msg("left out")
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("%s: %q", form, out.String())
		}
		if form == JSON && !json.Valid(out.Bytes()) {
			t.Error("no JSON")
		}
	}
}

type stuck struct{ free chan struct{} }

func (s stuck) Write(p []byte) (int, error) { <-s.free; return len(p), nil }

func TestOutletNeverWaitsForItsReader(t *testing.T) {
	s, dropped := stuck{make(chan struct{})}, 0
	o := NewAsyncWriter(s, 4, func() { dropped++ })
	for range 100 {
		o.Write([]byte("line\n"))
	}
	o.Shutdown(time.Millisecond)
	if dropped < 95 || dropped > 96 {
		t.Errorf("%d dropped", dropped)
	}
	close(s.free)
}
