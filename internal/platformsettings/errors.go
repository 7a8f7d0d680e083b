package platformsettings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// KeyError names the key of a JSON text that is at fault.
type KeyError struct {
	Key     string // its path, with dots and places: domain.queueCap, classes[0]
	Problem string // what was found and what was expected
}

// Error begins with the key.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Within gives the same error for a text that stands under a key of another.
func (e *KeyError) Within(key string) *KeyError {
	return &KeyError{Key: key + "." + e.Key, Problem: e.Problem}
}

// WithKey turns an error of encoding/json about a value of another type into a *KeyError. Other errors stay as they are.
func WithKey(err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) || wrong.Field == "" {
		return err
	}
	parts := strings.Split(wrong.Field, ".")
	for i, part := range parts {
		parts[i] = string(unicode.ToLower(rune(part[0]))) + part[1:] // a field without a tag has its Go name
	}
	problem := fmt.Sprintf("a %s stands where %s is due", wrong.Value, wrong.Type)
	return &KeyError{Key: strings.Join(parts, "."), Problem: problem}
}
