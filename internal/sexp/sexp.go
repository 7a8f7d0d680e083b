// Package sexp reads S-expressions: the form of the operator's settings, scenarios and scripts. It owns the grammar,
// where each word stood, and the typed reading of values; an error names file, line and word. It must never know what
// a key means.
package sexp

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Node is a list, a string or a word, and where it stands.
type Node struct {
	Pos    lexer.Position
	List   *List   `parser:"  @@"`
	String *string `parser:"| @String"`
	Word   *string `parser:"| @Word"`
}

// List is what stands between a pair of brackets.
type List struct {
	Pos   lexer.Position
	Items []*Node `parser:"'(' @@* ')'"`
}

type file struct {
	Nodes []*Node `parser:"@@*"`
}

var parser = participle.MustBuild[file](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "space", Pattern: `[\s]+`},
		{Name: "comment", Pattern: `;[^\n]*`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Bracket", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
	participle.Elide("space", "comment"),
	participle.Unquote("String"),
)

// Parse reads a whole text; name is that of its file, for errors.
func Parse(name string, text []byte) ([]*Node, error) {
	f, err := parser.ParseBytes(name, text)
	if err == nil {
		return f.Nodes, nil
	}
	var at participle.Error
	if errors.As(err, &at) {
		what := at.Message()
		if strings.Contains(what, "<EOF>") && strings.Contains(what, `")"`) {
			what = "a bracket is not closed"
		} else if strings.Contains(what, `invalid input text "\"`) {
			what = "a quote is not closed"
		}
		return nil, fmt.Errorf("%s:%d: %s", name, at.Position().Line, what)
	}
	return nil, fmt.Errorf("%s: %v", name, err)
}

// Fail is an error at a node.
func (n *Node) Errorf(format string, values ...any) error {
	return fmt.Errorf("%s:%d: %s", n.Pos.Filename, n.Pos.Line, fmt.Sprintf(format, values...))
}

// text is a node as it may be shown.
func (n *Node) display() string {
	switch {
	case n.Word != nil:
		return *n.Word
	case n.String != nil:
		return strconv.Quote(*n.String)
	}
	return "(" + n.Head() + " ...)"
}

// Head is the word that a list begins with; empty where it begins with none.
func (n *Node) Head() string {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Word == nil {
		return ""
	}
	return *n.List.Items[0].Word
}

// Args are what follows a list's head.
func (n *Node) Args() []*Node {
	if n.Head() == "" {
		return nil
	}
	return n.List.Items[1:]
}

// Key is what reads the values of a list that begins with its name.
type Key struct {
	Name     string
	Read     func(n *Node) error
	Required bool // it has to be there
	Repeated bool // it may be there more than once
}

// Read goes through lists and hands each to its key. What is no list, is unknown, comes twice or is missing is an
// error; `in` is where the lists stand.
func Read(in *Node, lists []*Node, keys ...Key) error {
	seen := map[string]bool{}
	for _, n := range lists {
		name, found := n.Head(), false
		if name == "" {
			return n.Errorf("%s stands where (key value ...) is due", n.display())
		}
		for _, k := range keys {
			if k.Name != name {
				continue
			}
			if found = true; seen[name] && !k.Repeated {
				return n.Errorf("%s: stands twice", name)
			}
			seen[name] = true
			if err := k.Read(n); err != nil {
				return err
			}
		}
		if !found {
			var names []string
			for _, k := range keys {
				names = append(names, k.Name)
			}
			return n.Errorf("%s: is no key here; known are %s", name, strings.Join(names, ", "))
		}
	}
	for _, k := range keys {
		if k.Required && !seen[k.Name] {
			return in.Errorf("%s: is missing", k.Name)
		}
	}
	return nil
}

// one is the single value of a list.
func (n *Node) singleValue() (*Node, error) {
	if a := n.Args(); len(a) == 1 && a[0].List == nil {
		return a[0], nil
	}
	return nil, n.Errorf("%s: one value is due", n.Head())
}

func (n *Node) value() string {
	if n.String != nil {
		return *n.String
	}
	return *n.Word
}

// Text reads the single value of a list as it stands.
func (n *Node) Text(to *string) error {
	v, err := n.singleValue()
	if err == nil {
		*to = v.value()
	}
	return err
}

// OneOf reads a word of a few.
func (n *Node) OneOf(to *string, words ...string) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	for _, w := range words {
		if v.value() == w {
			*to = w
			return nil
		}
	}
	return v.Errorf("%s: %s is none of %s", n.Head(), v.display(), strings.Join(words, ", "))
}

// Whole reads a whole number within bounds.
func (n *Node) Int(to *int, least, most int) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	x, err := strconv.Atoi(v.value())
	if err != nil || x < least || x > most {
		return v.Errorf("%s: %s is no whole number from %d to %d", n.Head(), v.display(), least, most)
	}
	*to = x
	return nil
}

// Number reads a number within bounds; 12% is 0.12.
func (n *Node) Float(to *float64, least, most float64) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	text, by := strings.CutSuffix(v.value(), "%")
	x, err := strconv.ParseFloat(text, 64)
	if by {
		x /= 100
	}
	if err != nil || math.IsNaN(x) || x < least || x > most {
		return v.Errorf("%s: %s is no number from %v to %v", n.Head(), v.display(), least, most)
	}
	*to = x
	return nil
}

// Span reads a time such as 250ms, 13s or 1m30s within bounds.
func (n *Node) Duration(to *time.Duration, least, most time.Duration) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	x, err := time.ParseDuration(v.value())
	if err != nil || x < least || x > most {
		return v.Errorf("%s: %s is no time from %v to %v", n.Head(), v.display(), least, most)
	}
	*to = x
	return nil
}

// Address reads host:port.
func (n *Node) HostPort(to *string) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(v.value())
	if p, bad := strconv.ParseUint(port, 10, 16); err != nil || host == "" || bad != nil || p == 0 {
		return v.Errorf("%s: %s is no host:port", n.Head(), v.display())
	}
	*to = v.value()
	return nil
}
