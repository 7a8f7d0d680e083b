package sexp

import (
	"fmt"
	"strings"
)

// Key describes a key of a form: the lists whose head is its name, and how they are read.
type Key struct {
	Name     string
	Read     func(n *Node) error
	Required bool
	Repeated bool // the key may occur more than once
}

// Required returns copies of keys that are marked as required.
func Required(keys ...Key) []Key {
	required := make([]Key, len(keys))
	for i, key := range keys {
		key.Required = true
		required[i] = key
	}
	return required
}

// ParseForm parses a text that must consist of a single list with the given head, (head ...). It doesn't read the list's
// arguments. Errors use name as the name of the text's file.
func ParseForm(name string, text []byte, head string) (*Node, error) {
	nodes, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != head {
		return nil, &Error{File: name, Line: 1, Problem: fmt.Sprintf("expected exactly one form (%s ...)", head)}
	}
	return nodes[0], nil
}

// ReadForm parses a text of the form (head (key value) ...) and reads its keys. It returns the form, which a caller needs
// for errors about values that are inconsistent with each other.
func ReadForm(name string, text []byte, head string, keys ...Key) (*Node, error) {
	form, err := ParseForm(name, text, head)
	if err != nil {
		return nil, err
	}
	return form, Read(form, form.Args(), keys...)
}

// Read reads each list with the key that its head names. A node that isn't a list, an unknown key, a duplicate of a key
// that isn't Repeated, and a missing required key are errors; the last is reported at the position of parent.
func Read(parent *Node, lists []*Node, keys ...Key) error {
	seen := map[string]bool{}
	for _, n := range lists {
		key, err := findKey(n, keys)
		if err != nil {
			return err
		}
		if seen[key.Name] && !key.Repeated {
			return n.Errorf("%s: duplicate key", key.Name)
		}
		seen[key.Name] = true
		if err := key.Read(n); err != nil {
			return err
		}
	}
	for _, key := range keys {
		if key.Required && !seen[key.Name] {
			return parent.Errorf("%s: is missing", key.Name)
		}
	}
	return nil
}

// findKey returns the key that the list's head names.
func findKey(n *Node, keys []Key) (Key, error) {
	name := n.Head()
	if name == "" {
		return Key{}, n.Errorf("found %s, expected (key value ...)", n.display())
	}
	var names []string
	for _, key := range keys {
		if key.Name == name {
			return key, nil
		}
		names = append(names, key.Name)
	}
	return Key{}, n.Errorf("%s: unknown key, expected one of %s", name, strings.Join(names, ", "))
}
