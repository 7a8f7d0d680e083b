package faultsim

import (
	"fmt"
	"strings"
	"time"

	"tamarindshore/internal/sexp"
)

const (
	maxFaultTime = time.Hour
	maxFileSeed  = 1 << 62
)

// String is a script as a replay file holds it.
func (s Script) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "(replay\n  (seed %d)", s.Seed)
	for _, f := range s.Faults {
		fmt.Fprintf(&out, "\n  (%s (at %v) (for %v) (part %g) (whom %d))", f.Kind, f.At, f.Duration, f.Fraction, f.TargetSeed)
	}
	out.WriteString(")\n")
	return out.String()
}

// ParseScript reads the text of a replay file. An error calls the file by name, and names the line and the key.
func ParseScript(name string, text []byte) (Script, error) {
	var s Script
	form, err := parseForm(name, text, "replay")
	if err != nil {
		return s, err
	}
	keys := []sexp.Key{{Name: "seed", Required: true, Read: seedReader(&s.Seed)}}
	for _, kind := range FaultKinds() {
		keys = append(keys, sexp.Key{Name: kind.String(), Repeated: true, Read: func(node *sexp.Node) error {
			fault, err := readFault(node, kind)
			s.Faults = append(s.Faults, fault)
			return err
		}})
	}
	return s, sexp.Read(form, form.Args(), keys...)
}

func readFault(node *sexp.Node, kind FaultKind) (Fault, error) {
	f := Fault{Kind: kind}
	err := sexp.Read(node, node.Args(),
		sexp.Key{Name: "at", Required: true, Read: func(n *sexp.Node) error { return n.Duration(&f.At, 0, maxFaultTime) }},
		sexp.Key{Name: "for", Required: true, Read: func(n *sexp.Node) error { return n.Duration(&f.Duration, 0, maxFaultTime) }},
		sexp.Key{Name: "part", Required: true, Read: func(n *sexp.Node) error { return n.Float(&f.Fraction, 0, 1) }},
		sexp.Key{Name: "whom", Required: true, Read: seedReader(&f.TargetSeed)})
	return f, err
}

func seedReader(seed *uint64) func(*sexp.Node) error {
	return func(node *sexp.Node) error {
		value := 0
		err := node.Int(&value, 0, maxFileSeed)
		*seed = uint64(value)
		return err
	}
}

// parseForm reads a text that consists of one list with a head.
func parseForm(name string, text []byte, head string) (*sexp.Node, error) {
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != head {
		return nil, &sexp.Error{File: name, Line: 1, Problem: fmt.Sprintf("one form (%s ...) is due", head)}
	}
	return nodes[0], nil
}
