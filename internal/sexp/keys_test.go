package sexp

import (
	"errors"
	"testing"
	"time"
)

// exampleForm holds the values of a form with a key of each type.
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
		BoolKey("stored", &e.stored),
		Section("machine",
			IntKey("cores", &e.cores, 1, 8),
			FloatKey("share", &e.share, 0, 1)),
		DurationKey("wait", &e.wait, time.Second, time.Hour),
		HostPortKey("at", &e.address))
}

func TestReadFormReadsEachTypeOfKey(t *testing.T) {
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
		"a key of a section":         {form.Child("machine").Child("cores"), 2},
		"a missing key":              {form.Child("none"), 1},
		"a key of a missing section": {form.Child("none").Child("cores"), 1},
	} {
		if place.node.Pos.Line != place.line {
			t.Errorf("%s: line %d, want %d", name, place.node.Pos.Line, place.line)
		}
	}
}

func TestReadFormRejectsInvalidForms(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "f:1: expected exactly one form (example ...)",
		"(other)":                       "f:1: expected exactly one form (example ...)",
		"(example) (example)":           "f:1: expected exactly one form (example ...)",
		"(example":                      "f:1: a parenthesis is not closed",
		"(example)":                     "f:1: name: is missing",
		"(example (name))":              "f:1: name: expected exactly one value",
		"(example (level mid))":         "f:1: level: mid is not one of low, high",
		"(example\n (stored maybe))":    "f:2: stored: maybe is not one of yes, no",
		"(example (machine\n (a)))":     "f:2: a: unknown key, expected one of cores, share",
		"(example (machine (cores 9)))": "f:1: cores: 9 is not an integer between 1 and 8",
		"(example (machine (share 2)))": "f:1: share: 2 is not a number between 0 and 1",
		"(example (wait 1ms))":          "f:1: wait: 1ms is not a duration between 1s and 1h0m0s",
		"(example (at a))":              "f:1: at: a is not a valid host:port",
		"(example (machine (cores 1) (cores 2)))":    "f:1: cores: duplicate key",
		"(example (name n) (level low) (stored no))": "f:1: machine: is missing",
	} {
		var form exampleForm
		_, err := ReadForm("f", []byte(text), "example", form.keys()...)
		var located *Error
		if !errors.As(err, &located) || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}
