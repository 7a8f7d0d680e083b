package sexp

import "time"

// Values of a BoolKey.
const (
	wordYes = "yes"
	wordNo  = "no"
)

// Section returns a key that contains other keys: (name (key value) ...).
func Section(name string, keys ...Key) Key {
	return Key{Name: name, Read: func(n *Node) error { return Read(n, n.Args(), keys...) }}
}

// TextKey returns a key whose value is any word or string.
func TextKey(name string, target *string) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Text(target) }}
}

// ChoiceKey returns a key whose value is one of choices.
func ChoiceKey(name string, target *string, choices ...string) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.OneOf(target, choices...) }}
}

// BoolKey returns a key whose value is yes or no.
func BoolKey(name string, target *bool) Key {
	return Key{Name: name, Read: func(n *Node) error {
		var word string
		err := n.OneOf(&word, wordYes, wordNo)
		*target = word == wordYes
		return err
	}}
}

// IntKey returns a key whose value is an integer within bounds.
func IntKey(name string, target *int, minimum, maximum int) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Int(target, minimum, maximum) }}
}

// FloatKey returns a key whose value is a number within bounds; a percentage is accepted too: 12% is 0.12.
func FloatKey(name string, target *float64, minimum, maximum float64) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Float(target, minimum, maximum) }}
}

// DurationKey returns a key whose value is a duration within bounds, such as 250ms.
func DurationKey(name string, target *time.Duration, minimum, maximum time.Duration) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Duration(target, minimum, maximum) }}
}

// HostPortKey returns a key whose value is an address, host:port.
func HostPortKey(name string, target *string) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.HostPort(target) }}
}
