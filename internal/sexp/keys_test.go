package sexp

import (
	"errors"
	"testing"
	"time"
)

// exampleForm has a key of each type.
type exampleForm struct {
	name    string
	level   string
	stored  bool
	cores   int
	share   float64
	wait    time.Duration
	address string
}

func (e *exampleForm) keys() []Key {
	return Required(
		TextKey("name", &e.name),
		ChoiceKey("level", &e.level, "low", "high"),
		FlagKey("stored", &e.stored),
		Section("machine",
			IntKey("cores", &e.cores, 1, 8),
			FloatKey("share", &e.share, 0, 1)),
		DurationKey("wait", &e.wait, time.Second, time.Hour),
		HostPortKey("at", &e.address))
}

func TestReadFormTakesEachTypeOfKey(t *testing.T) {
	var got exampleForm
	form, err := ReadForm("f", []byte("(example (name n) (level high) (stored yes) (machine\n (cores 4) (share 12%)) (wait 2s) (at a:80))"),
		"example", got.keys()...)
	if err != nil {
		t.Fatal(err)
	}
	want := exampleForm{name: "n", level: "high", stored: true, cores: 4, share: 0.12, wait: 2 * time.Second, address: "a:80"}
	if got != want {
		t.Errorf("read %+v, want %+v", got, want)
	}
	for name, place := range map[string]struct {
		node *Node
		line int
	}{
		"a key of a section":                {form.Child("machine").Child("cores"), 2},
		"a key that is not there":           {form.Child("none"), 1},
		"a key of a section that is absent": {form.Child("none").Child("cores"), 1},
	} {
		if place.node.Pos.Line != place.line {
			t.Errorf("%s: line %d, want %d", name, place.node.Pos.Line, place.line)
		}
	}
}

func TestReadFormNamesWhatIsInvalid(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "f:1: one form (example ...) is due",
		"(other)":                       "f:1: one form (example ...) is due",
		"(example) (example)":           "f:1: one form (example ...) is due",
		"(example":                      "f:1: a bracket is not closed",
		"(example)":                     "f:1: name: is missing",
		"(example (name))":              "f:1: name: one value is due",
		"(example (level mid))":         "f:1: level: mid is none of low, high",
		"(example\n (stored maybe))":    "f:2: stored: maybe is none of yes, no",
		"(example (machine\n (a)))":     "f:2: a: is no key here; known are cores, share",
		"(example (machine (cores 9)))": "f:1: cores: 9 is no whole number from 1 to 8",
		"(example (machine (share 2)))": "f:1: share: 2 is no number from 0 to 1",
		"(example (wait 1ms))":          "f:1: wait: 1ms is no time from 1s to 1h0m0s",
		"(example (at a))":              "f:1: at: a is no host:port",
		"(example (machine (cores 1) (cores 2)))":    "f:1: cores: stands twice",
		"(example (name n) (level low) (stored no))": "f:1: machine: is missing",
	} {
		var form exampleForm
		_, err := ReadForm("f", []byte(text), "example", form.keys()...)
		var place *Error
		if !errors.As(err, &place) || err.Error() != want {
			t.Errorf("%q: %v, not %s", text, err, want)
		}
	}
}
