// Package sexp reads S-expressions: the form of the operator's settings, of scenarios and replay files, and of the
// capacity plan. It has the grammar, the place of each word and the typed reading of values; what a key means is the
// caller's, who lists the keys of a form in a table of Key. An error about a text is an *Error, which names file, line
// and word.
package sexp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

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

// Child is the first list within a list that begins with a head; the list itself where there is none, so that an error
// still has a place.
func (n *Node) Child(head string) *Node {
	for _, child := range n.Args() {
		if child.Head() == head {
			return child
		}
	}
	return n
}
