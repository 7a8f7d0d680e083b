package sexp

import (
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

// singleValue returns the only argument of a list, which must be a word or a string.
func (n *Node) singleValue() (*Node, error) {
	if args := n.Args(); len(args) == 1 && args[0].List == nil {
		return args[0], nil
	}
	return nil, n.Errorf("%s: expected exactly one value", n.Head())
}

// value returns the text of a word or, without its quotes, of a string.
func (n *Node) value() string {
	if n.String != nil {
		return *n.String
	}
	return *n.Word
}

// Text reads the single value of a list unchanged.
func (n *Node) Text(target *string) error {
	v, err := n.singleValue()
	if err == nil {
		*target = v.value()
	}
	return err
}

// OneOf reads a value that must be one of choices.
func (n *Node) OneOf(target *string, choices ...string) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	for _, choice := range choices {
		if v.value() == choice {
			*target = choice
			return nil
		}
	}
	return v.Errorf("%s: %s is not one of %s", n.Head(), v.display(), strings.Join(choices, ", "))
}

// Int reads an integer within bounds.
func (n *Node) Int(target *int, minimum, maximum int) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	x, err := strconv.Atoi(v.value())
	if err != nil || x < minimum || x > maximum {
		return v.Errorf("%s: %s is not an integer between %d and %d", n.Head(), v.display(), minimum, maximum)
	}
	*target = x
	return nil
}

// Float reads a number within bounds. A percentage is accepted too: 12% is 0.12.
func (n *Node) Float(target *float64, minimum, maximum float64) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	text, isPercent := strings.CutSuffix(v.value(), "%")
	x, err := strconv.ParseFloat(text, 64)
	if isPercent {
		x /= 100
	}
	if err != nil || math.IsNaN(x) || x < minimum || x > maximum {
		return v.Errorf("%s: %s is not a number between %v and %v", n.Head(), v.display(), minimum, maximum)
	}
	*target = x
	return nil
}

// Duration reads a duration within bounds, such as 250ms, 13s or 1m30s.
func (n *Node) Duration(target *time.Duration, minimum, maximum time.Duration) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	x, err := time.ParseDuration(v.value())
	if err != nil || x < minimum || x > maximum {
		return v.Errorf("%s: %s is not a duration between %v and %v", n.Head(), v.display(), minimum, maximum)
	}
	*target = x
	return nil
}

// HostPort reads an address, host:port, whose host isn't empty and whose port is between 1 and 65535.
func (n *Node) HostPort(target *string) error {
	v, err := n.singleValue()
	if err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(v.value())
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || portErr != nil || number == 0 {
		return v.Errorf("%s: %s is not a valid host:port", n.Head(), v.display())
	}
	*target = v.value()
	return nil
}
