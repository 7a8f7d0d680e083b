package sexp

import (
	"errors"
	"testing"
	"time"
)

func TestReadReadsTypedValues(t *testing.T) {
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
		t.Errorf("error %v: read %d %v %v %s %s", err, cores, part, wait, at, form)
	}
}

// invalidForms maps invalid texts to the errors that they give.
var invalidForms = map[string]string{
	"(a\n (cores 9))":             `f:2: cores: 9 is not an integer between 1 and 8`,
	"(a\n (cores 1.5))":           `f:2: cores: 1.5 is not an integer between 1 and 8`,
	"(a\n (cores))":               `f:2: cores: expected exactly one value`,
	"(a\n (cores 1 2))":           `f:2: cores: expected exactly one value`,
	"(a\n (cores (x)))":           `f:2: cores: expected exactly one value`,
	"(a (cores 1)\n (cores 2))":   `f:2: cores: duplicate key`,
	"(a\n (core 1))":              `f:2: core: unknown key, expected one of cores, part, wait, at, form, name`,
	"(a\n cores)":                 `f:2: found cores, expected (key value ...)`,
	"(a\n \"cores\")":             `f:2: found "cores", expected (key value ...)`,
	"(a\n ((cores 1)))":           `f:2: found ( ...), expected (key value ...)`,
	"\n(a)":                       `f:2: cores: is missing`,
	"(a\n (cores 1)":              `f:2: a parenthesis is not closed`,
	"(a (cores 1))\n)":            `f:2: unexpected token ")"`,
	"(a (cores \"1))\n(cores 2))": `f:1: a quoted string is not closed`,
	"(a\n (part 101%))":           `f:2: part: 101% is not a number between 0 and 1`,
	"(a\n (part NaN))":            `f:2: part: NaN is not a number between 0 and 1`,
	"(a\n (part))":                `f:2: part: expected exactly one value`,
	"(a\n (wait 1))":              `f:2: wait: 1 is not a duration between 1s and 1h0m0s`,
	"(a\n (wait 2h))":             `f:2: wait: 2h is not a duration between 1s and 1h0m0s`,
	"(a\n (wait))":                `f:2: wait: expected exactly one value`,
	"(a\n (at 127.0.0.1))":        `f:2: at: 127.0.0.1 is not a valid host:port`,
	"(a\n (at :80))":              `f:2: at: :80 is not a valid host:port`,
	"(a\n (at a:0))":              `f:2: at: a:0 is not a valid host:port`,
	"(a\n (at))":                  `f:2: at: expected exactly one value`,
	"(a\n (form xml))":            `f:2: form: xml is not one of text, json`,
	"(a\n (form))":                `f:2: form: expected exactly one value`,
	"(a (name x)\n (name))":       `f:2: name: expected exactly one value`,
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
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
		var located *Error
		if !errors.As(err, &located) || located.File != "f" || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", text, err, want)
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
				t.Error("a node is neither a list nor a word nor a string")
			}
			Read(n, n.Args(), Key{Name: "b", Read: func(n *Node) error { var x int; return n.Int(&x, 0, 9) }})
		}
	})
}
