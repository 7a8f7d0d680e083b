package sexp

import (
	"errors"
	"testing"
	"time"
)

func TestReadTakesTypedValues(t *testing.T) {
	nodes, err := Parse("f", []byte("; a remark\n(fleet (cores 4) (part 12%) (wait 1m30s)\n (at \"127.0.0.1:80\") (form text))"))
	if err != nil {
		t.Fatal(err)
	}
	var cores int
	var part float64
	var wait time.Duration
	var at, form string
	err = Read(nodes[0], nodes[0].Args(),
		Key{Name: "cores", Read: func(n *Node) error { return n.Int(&cores, 1, 8) }},
		Key{Name: "part", Read: func(n *Node) error { return n.Float(&part, 0, 1) }},
		Key{Name: "wait", Read: func(n *Node) error { return n.Duration(&wait, 0, time.Hour) }},
		Key{Name: "at", Read: func(n *Node) error { return n.HostPort(&at) }},
		Key{Name: "form", Read: func(n *Node) error { return n.OneOf(&form, "text", "json") }})
	if err != nil || cores != 4 || part != 0.12 || wait != 90*time.Second || at != "127.0.0.1:80" || form != "text" {
		t.Errorf("%v: %d %v %v %s %s", err, cores, part, wait, at, form)
	}
}

// invalidForms are texts with what is wrong with each.
var invalidForms = map[string]string{
	"(a\n (cores 9))":             `f:2: cores: 9 is no whole number from 1 to 8`,
	"(a\n (cores 1.5))":           `f:2: cores: 1.5 is no whole number from 1 to 8`,
	"(a\n (cores))":               `f:2: cores: one value is due`,
	"(a\n (cores 1 2))":           `f:2: cores: one value is due`,
	"(a\n (cores (x)))":           `f:2: cores: one value is due`,
	"(a (cores 1)\n (cores 2))":   `f:2: cores: stands twice`,
	"(a\n (core 1))":              `f:2: core: is no key here; known are cores, part, wait, at, form, name`,
	"(a\n cores)":                 `f:2: cores stands where (key value ...) is due`,
	"(a\n \"cores\")":             `f:2: "cores" stands where (key value ...) is due`,
	"(a\n ((cores 1)))":           `f:2: ( ...) stands where (key value ...) is due`,
	"\n(a)":                       `f:2: cores: is missing`,
	"(a\n (cores 1)":              `f:2: a bracket is not closed`,
	"(a (cores 1))\n)":            `f:2: unexpected token ")"`,
	"(a (cores \"1))\n(cores 2))": `f:1: a quote is not closed`,
	"(a\n (part 101%))":           `f:2: part: 101% is no number from 0 to 1`,
	"(a\n (part NaN))":            `f:2: part: NaN is no number from 0 to 1`,
	"(a\n (part))":                `f:2: part: one value is due`,
	"(a\n (wait 1))":              `f:2: wait: 1 is no time from 1s to 1h0m0s`,
	"(a\n (wait 2h))":             `f:2: wait: 2h is no time from 1s to 1h0m0s`,
	"(a\n (wait))":                `f:2: wait: one value is due`,
	"(a\n (at 127.0.0.1))":        `f:2: at: 127.0.0.1 is no host:port`,
	"(a\n (at :80))":              `f:2: at: :80 is no host:port`,
	"(a\n (at a:0))":              `f:2: at: a:0 is no host:port`,
	"(a\n (at))":                  `f:2: at: one value is due`,
	"(a\n (form xml))":            `f:2: form: xml is none of text, json`,
	"(a\n (form))":                `f:2: form: one value is due`,
	"(a (name x)\n (name))":       `f:2: name: one value is due`,
}

func TestErrorsNameFileLineAndWord(t *testing.T) {
	var cores int
	var part float64
	var wait time.Duration
	var at, form, name string
	keys := []Key{
		{Name: "cores", Required: true, Read: func(n *Node) error { return n.Int(&cores, 1, 8) }},
		{Name: "part", Read: func(n *Node) error { return n.Float(&part, 0, 1) }},
		{Name: "wait", Read: func(n *Node) error { return n.Duration(&wait, time.Second, time.Hour) }},
		{Name: "at", Read: func(n *Node) error { return n.HostPort(&at) }},
		{Name: "form", Read: func(n *Node) error { return n.OneOf(&form, "text", "json") }},
		{Name: "name", Repeated: true, Read: func(n *Node) error { return n.Text(&name) }},
	}
	for text, want := range invalidForms {
		nodes, err := Parse("f", []byte(text))
		if err == nil {
			err = Read(nodes[0], nodes[0].Args(), keys...)
		}
		var place *Error
		if !errors.As(err, &place) || place.File != "f" || err.Error() != want {
			t.Errorf("%q: %v, not %s", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("(a (b 1) \"c\" ; d\n)"))
	f.Fuzz(func(t *testing.T, text []byte) {
		nodes, err := Parse("f", text)
		if err != nil {
			return
		}
		for _, n := range nodes {
			if n.List == nil && n.Word == nil && n.String == nil {
				t.Error("a node that is nothing")
			}
			Read(n, n.Args(), Key{Name: "b", Read: func(n *Node) error { var x int; return n.Int(&x, 0, 9) }})
		}
	})
}
