package faultsim

import (
	"fmt"
	"strings"
	"time"

	"tamarindshore/internal/sexp"
)

const (
	scriptForm   = "replay"
	maxFaultTime = time.Hour
	maxFileSeed  = 1 << 62
)

// String returns the script in the format of a replay file.
func (s Script) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "(%s\n  (seed %d)", scriptForm, s.Seed)
	for _, f := range s.Faults {
		fmt.Fprintf(&out, "\n  (%s (at %v) (for %v) (part %g) (whom %d))", f.Kind, f.At, f.Duration, f.Fraction, f.TargetSeed)
	}
	out.WriteString(")\n")
	return out.String()
}

// ParseScript parses the text of a replay file. Errors contain the line, the key, and name as the name of the file.
func ParseScript(name string, text []byte) (Script, error) {
	var s Script
	keys := sexp.Required(seedKey("seed", &s.Seed))
	for _, kind := range FaultKinds() {
		keys = append(keys, sexp.Key{Name: kind.String(), Repeated: true, Read: func(node *sexp.Node) error {
			fault, err := readFault(node, kind)
			s.Faults = append(s.Faults, fault)
			return err
		}})
	}
	_, err := sexp.ReadForm(name, text, scriptForm, keys...)
	return s, err
}

// readFault reads a fault of a replay file.
func readFault(node *sexp.Node, kind FaultKind) (Fault, error) {
	f := Fault{Kind: kind}
	keys := sexp.Required(
		sexp.DurationKey("at", &f.At, 0, maxFaultTime),
		sexp.DurationKey("for", &f.Duration, 0, maxFaultTime),
		sexp.FloatKey("part", &f.Fraction, 0, 1),
		seedKey("whom", &f.TargetSeed))
	return f, sexp.Read(node, node.Args(), keys...)
}

// seedKey returns a key whose value is a seed of random numbers.
func seedKey(name string, seed *uint64) sexp.Key {
	return sexp.Key{Name: name, Read: func(node *sexp.Node) error {
		value := 0
		err := node.Int(&value, 0, maxFileSeed)
		*seed = uint64(value)
		return err
	}}
}
