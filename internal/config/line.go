package config

// Line finds where in the file an error stands, by its offset or by the key that it begins with. It owns that search
// alone; it must never change what the error says, nor fail where nothing is found.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// located names the line of the file at which an error stands.
func located(text []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("%w (line %d)", err, lineAt(text, syntax.Offset))
	}
	key, _, _ := strings.Cut(err.Error(), ": ")
	if line := lineOf(text, strings.FieldsFunc(key, func(r rune) bool { return strings.ContainsRune(".[]", r) })); line > 0 {
		return fmt.Errorf("%w (line %d)", err, line)
	}
	return err
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(0, int(offset)), len(text))], []byte{'\n'})
}

// lineOf is the line of a value by its path of keys and places, or of the last on that path that is there; 0 without
// even the first.
func lineOf(text []byte, path []string) (line int) {
	in := json.NewDecoder(bytes.NewReader(text))
	if open, err := in.Token(); err != nil || open != json.Delim('{') {
		return 0
	}
	within := json.Delim('{')
	for at := 0; len(path) > 0 && in.More(); at++ {
		name := strconv.Itoa(at)
		if within == '{' {
			key, err := in.Token()
			if name, _ = key.(string); err != nil {
				return line
			}
		}
		if !strings.EqualFold(name, path[0]) { // as the decoder takes keys
			var skipped json.RawMessage
			if in.Decode(&skipped) != nil {
				return line
			}
			continue
		}
		value, err := in.Token()
		if err != nil {
			return line
		}
		line, path, at = lineAt(text, in.InputOffset()), path[1:], -1
		next, nested := value.(json.Delim)
		if !nested {
			return line
		}
		within = next
	}
	return line
}
