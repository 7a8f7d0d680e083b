package sexp

import (
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

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
