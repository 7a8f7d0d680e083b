// Package sexp parses S-expressions, the syntax of the operator's settings, of scenario and replay files, and of the
// capacity plan. It provides the grammar, source positions and typed reading of values. A caller declares the keys of a
// form as a list of Key and so decides what they mean. Invalid input gives an *Error with the file, the line and, where
// there is one, the key.
package sexp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Node is a list, a string or a word, with its source position. Exactly one of List, String and Word is set.
type Node struct {
	Pos    lexer.Position
	List   *List   `parser:"  @@"`
	String *string `parser:"| @String"`
	Word   *string `parser:"| @Word"`
}

// List is a parenthesized sequence of nodes.
type List struct {
	Pos   lexer.Position
	Items []*Node `parser:"'(' @@* ')'"`
}

// file is the root of the grammar: all nodes of a source file.
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

// Parse parses all nodes of a text. Errors use name as the name of its file.
func Parse(name string, text []byte) ([]*Node, error) {
	f, err := parser.ParseBytes(name, text)
	if err == nil {
		return f.Nodes, nil
	}
	var parseError participle.Error
	if errors.As(err, &parseError) {
		return nil, &Error{File: name, Line: parseError.Position().Line, Problem: syntaxProblem(parseError.Message())}
	}
	return nil, fmt.Errorf("%s: %w", name, err)
}

// syntaxProblem replaces the most common messages of the parser with clearer ones.
func syntaxProblem(message string) string {
	switch {
	case strings.Contains(message, "<EOF>") && strings.Contains(message, `")"`):
		return "a parenthesis is not closed"
	case strings.Contains(message, `invalid input text "\"`):
		return "a quoted string is not closed"
	}
	return message
}

// Error is an error in a source file, with its position.
type Error struct {
	File    string
	Line    int    // starts at 1
	Problem string // the key, if there is one, with what was found or expected
}

// Error formats the error as FILE:LINE: PROBLEM.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }

// Errorf returns an *Error at the node's position.
func (n *Node) Errorf(format string, values ...any) error {
	return &Error{File: n.Pos.Filename, Line: n.Pos.Line, Problem: fmt.Sprintf(format, values...)}
}

// display formats the node for an error message; of a list it shows only the head.
func (n *Node) display() string {
	switch {
	case n.Word != nil:
		return *n.Word
	case n.String != nil:
		return strconv.Quote(*n.String)
	}
	return "(" + n.Head() + " ...)"
}

// Head returns the first item of a list if that is a word; otherwise, and for other nodes, it returns an empty string.
func (n *Node) Head() string {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Word == nil {
		return ""
	}
	return *n.List.Items[0].Word
}

// Args returns the items after a list's head; nil if there is no head.
func (n *Node) Args() []*Node {
	if n.Head() == "" {
		return nil
	}
	return n.List.Items[1:]
}

// Child returns the first list among the node's arguments that has the given head. If there is none, it returns the node
// itself, so that an error always has a position.
func (n *Node) Child(head string) *Node {
	for _, child := range n.Args() {
		if child.Head() == head {
			return child
		}
	}
	return n
}
