package platformsettings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// KeyError is an error about the value of a key in a JSON text.
type KeyError struct {
	Key     string // path of the key, with indexes of lists: domain.queueCap, classes[0]
	Problem string // what was found or expected
}

// Error formats the error as KEY: PROBLEM.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// WithPrefix returns the error with the key of the enclosing object put before its own.
func (e *KeyError) WithPrefix(prefix string) *KeyError {
	return &KeyError{Key: prefix + "." + e.Key, Problem: e.Problem}
}

// AsKeyError converts a *json.UnmarshalTypeError that names a field to a *KeyError. It returns other errors unchanged.
func AsKeyError(err error) error {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) || typeError.Field == "" {
		return err
	}
	parts := strings.Split(typeError.Field, ".")
	for i, part := range parts {
		parts[i] = string(unicode.ToLower(rune(part[0]))) + part[1:] // without a tag, the field has its Go name
	}
	problem := fmt.Sprintf("found %s, expected %s", typeError.Value, typeError.Type)
	return &KeyError{Key: strings.Join(parts, "."), Problem: problem}
}
