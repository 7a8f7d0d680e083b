package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tamarindshore/internal/platformsettings"
)

// LocatedError is an error with its line in the file that PROXY_CONFIG names.
type LocatedError struct {
	Line int // starts at 1
	Err  error
}

// Error formats the error as CAUSE (line LINE).
func (e *LocatedError) Error() string { return fmt.Sprintf("%v (line %d)", e.Err, e.Line) }

// Unwrap returns the cause.
func (e *LocatedError) Unwrap() error { return e.Err }

// locate adds the line to a syntax error, by its offset, or to an error about a key, by the path of the key. If it finds
// no line, it returns the error unchanged.
func locate(text []byte, err error) error {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return &LocatedError{Line: lineAt(text, syntaxError.Offset), Err: err}
	}
	var invalidKey *platformsettings.KeyError
	if !errors.As(err, &invalidKey) {
		return err
	}
	path := strings.FieldsFunc(invalidKey.Key, func(r rune) bool { return strings.ContainsRune(".[]", r) })
	if line := lineOf(text, path); line > 0 {
		return &LocatedError{Line: line, Err: err}
	}
	return err
}

// lineAt returns the line of a byte offset.
func lineAt(text []byte, offset int64) int {
	end := min(max(0, int(offset)), len(text))
	return 1 + bytes.Count(text[:end], []byte{'\n'})
}

// lineOf returns the line of the value at a path of keys and list indexes. If a part of the path is missing, it returns
// the line of the last value before that, and 0 if there is none.
func lineOf(text []byte, path []string) (line int) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return 0
	}
	container := json.Delim('{')
	for index := 0; len(path) > 0 && decoder.More(); index++ {
		name, err := nextName(decoder, container, index)
		if err != nil {
			return line
		}
		if !strings.EqualFold(name, path[0]) { // encoding/json ignores case as well
			var skipped json.RawMessage
			if decoder.Decode(&skipped) != nil {
				return line
			}
			continue
		}
		value, err := decoder.Token()
		if err != nil {
			return line
		}
		line = lineAt(text, decoder.InputOffset())
		next, nested := value.(json.Delim)
		if !nested {
			return line
		}
		container = next
		path = path[1:]
		index = -1
	}
	return line
}

// nextName reads the key of the next value of an object; in a list it returns the value's index.
func nextName(decoder *json.Decoder, container json.Delim, index int) (string, error) {
	if container != '{' {
		return strconv.Itoa(index), nil
	}
	key, err := decoder.Token()
	name, _ := key.(string)
	return name, err
}
