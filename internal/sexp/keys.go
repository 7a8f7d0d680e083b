package sexp

import "time"

// Words of a flag.
const (
	wordYes = "yes"
	wordNo  = "no"
)

// Section is a key whose value is a list of keys: (name (key value) ...).
func Section(name string, keys ...Key) Key {
	return Key{Name: name, Read: func(n *Node) error { return Read(n, n.Args(), keys...) }}
}

// TextKey is a key with any text.
func TextKey(name string, to *string) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Text(to) }}
}

// ChoiceKey is a key with one of a few words.
func ChoiceKey(name string, to *string, words ...string) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.OneOf(to, words...) }}
}

// FlagKey is a key with yes or no.
func FlagKey(name string, to *bool) Key {
	return Key{Name: name, Read: func(n *Node) error {
		var word string
		err := n.OneOf(&word, wordYes, wordNo)
		*to = word == wordYes
		return err
	}}
}

// IntKey is a key with a whole number within bounds.
func IntKey(name string, to *int, least, most int) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Int(to, least, most) }}
}

// FloatKey is a key with a number within bounds; 12% is 0.12.
func FloatKey(name string, to *float64, least, most float64) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Float(to, least, most) }}
}

// DurationKey is a key with a time such as 250ms within bounds.
func DurationKey(name string, to *time.Duration, least, most time.Duration) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.Duration(to, least, most) }}
}

// HostPortKey is a key with host:port.
func HostPortKey(name string, to *string) Key {
	return Key{Name: name, Read: func(n *Node) error { return n.HostPort(to) }}
}
