package sexp

import (
	"fmt"
	"strings"
)

// Key is a key of a form: it reads the lists that begin with its name.
type Key struct {
	Name     string
	Read     func(n *Node) error
	Required bool
	Repeated bool // it may be there more than once
}

// Required gives keys that must all be there.
func Required(keys ...Key) []Key {
	required := make([]Key, len(keys))
	for i, key := range keys {
		key.Required = true
		required[i] = key
	}
	return required
}

// ParseForm reads a text that consists of one list with a head, (head ...), whose values are still to be read. Errors
// call the text by name.
func ParseForm(name string, text []byte, head string) (*Node, error) {
	nodes, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != head {
		return nil, &Error{File: name, Line: 1, Problem: fmt.Sprintf("one form (%s ...) is due", head)}
	}
	return nodes[0], nil
}

// ReadForm reads a text of the form (head (key value) ...) by its keys, and gives the form for errors about it.
func ReadForm(name string, text []byte, head string, keys ...Key) (*Node, error) {
	form, err := ParseForm(name, text, head)
	if err != nil {
		return nil, err
	}
	return form, Read(form, form.Args(), keys...)
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
