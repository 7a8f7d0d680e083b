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

// LocatedError says on which line of the file that PROXY_CONFIG names an error stands.
type LocatedError struct {
	Line int // from 1
	Err  error
}

// Error gives the cause and its line.
func (e *LocatedError) Error() string { return fmt.Sprintf("%v (line %d)", e.Err, e.Line) }

// Unwrap gives the cause.
func (e *LocatedError) Unwrap() error { return e.Err }

// locate finds the line of an error by its offset or by its key. The error stays as it is where nothing is found.
func locate(text []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &LocatedError{Line: lineAt(text, syntax.Offset), Err: err}
	}
	var fault *platformsettings.KeyError
	if !errors.As(err, &fault) {
		return err
	}
	path := strings.FieldsFunc(fault.Key, func(r rune) bool { return strings.ContainsRune(".[]", r) })
	if line := lineOf(text, path); line > 0 {
		return &LocatedError{Line: line, Err: err}
	}
	return err
}

func lineAt(text []byte, offset int64) int {
	end := min(max(0, int(offset)), len(text))
	return 1 + bytes.Count(text[:end], []byte{'\n'})
}

// lineOf is the line of a value by its path of keys and places, or of the last on that path that is there; 0 without
// even the first.
func lineOf(text []byte, path []string) (line int) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return 0
	}
	within := json.Delim('{')
	for position := 0; len(path) > 0 && decoder.More(); position++ {
		name, err := nextName(decoder, within, position)
		if err != nil {
			return line
		}
		if !strings.EqualFold(name, path[0]) { // as encoding/json takes keys
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
		within = next
		path = path[1:]
		position = -1
	}
	return line
}

// nextName is the key of the next value of an object, or its position in a list.
func nextName(decoder *json.Decoder, within json.Delim, position int) (string, error) {
	if within != '{' {
		return strconv.Itoa(position), nil
	}
	key, err := decoder.Token()
	name, _ := key.(string)
	return name, err
}
