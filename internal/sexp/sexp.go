// Package sexp reads S-expressions: the form of the operator's settings, scenarios and scripts. It has the grammar, the
// place of each word and the typed reading of values; what a key means is the caller's. An error about a text is an
// *Error, which names file, line and word.
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
	var fault participle.Error
	if errors.As(err, &fault) {
		return nil, &Error{File: name, Line: fault.Position().Line, Problem: syntaxProblem(fault.Message())}
	}
	return nil, fmt.Errorf("%s: %w", name, err)
}

// syntaxProblem says in words what the parser's commonest messages mean.
func syntaxProblem(message string) string {
	switch {
	case strings.Contains(message, "<EOF>") && strings.Contains(message, `")"`):
		return "a bracket is not closed"
	case strings.Contains(message, `invalid input text "\"`):
		return "a quote is not closed"
	}
	return message
}

// Error says what is wrong at a place in a file.
type Error struct {
	File    string
	Line    int    // from 1
	Problem string // the key, what was found and what was expected
}

// Error gives FILE:LINE: and the problem.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }

// Errorf is an *Error at a node.
func (n *Node) Errorf(format string, values ...any) error {
	return &Error{File: n.Pos.Filename, Line: n.Pos.Line, Problem: fmt.Sprintf(format, values...)}
}

// display is a node as an error shows it.
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
	Required bool
	Repeated bool // it may be there more than once
}

// Read goes through lists and hands each to its key. What is no list, is unknown, comes twice or is missing is an
// error; `in` is where the lists stand.
func Read(in *Node, lists []*Node, keys ...Key) error {
	seen := map[string]bool{}
	for _, n := range lists {
		key, err := findKey(n, keys)
		if err != nil {
			return err
		}
		if seen[key.Name] && !key.Repeated {
			return n.Errorf("%s: stands twice", key.Name)
		}
		seen[key.Name] = true
		if err := key.Read(n); err != nil {
			return err
		}
	}
	for _, key := range keys {
		if key.Required && !seen[key.Name] {
			return in.Errorf("%s: is missing", key.Name)
		}
	}
	return nil
}

// findKey is the key that a list begins with.
func findKey(n *Node, keys []Key) (Key, error) {
	name := n.Head()
	if name == "" {
		return Key{}, n.Errorf("%s stands where (key value ...) is due", n.display())
	}
	var known []string
	for _, key := range keys {
		if key.Name == name {
			return key, nil
		}
		known = append(known, key.Name)
	}
	return Key{}, n.Errorf("%s: is no key here; known are %s", name, strings.Join(known, ", "))
}

// singleValue is the one value of a list.
func (n *Node) singleValue() (*Node, error) {
	if a := n.Args(); len(a) == 1 && a[0].List == nil {
		return a[0], nil
	}
	return nil, n.Errorf("%s: one value is due", n.Head())
}

// value is a string or a word without its quotes.
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

// Int reads a whole number within bounds.
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

// Float reads a number within bounds; 12% is 0.12.
func (n *Node) Float(to *float64, least, most float64) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	text, isPercent := strings.CutSuffix(v.value(), "%")
	x, err := strconv.ParseFloat(text, 64)
	if isPercent {
		x /= 100
	}
	if err != nil || math.IsNaN(x) || x < least || x > most {
		return v.Errorf("%s: %s is no number from %v to %v", n.Head(), v.display(), least, most)
	}
	*to = x
	return nil
}

// Duration reads a time such as 250ms, 13s or 1m30s within bounds.
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

// HostPort reads host:port.
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
