package node

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"

	"tamarindshore/client/tables"
)

// maxTableKeys is how many keys are valid at once: the one in use and, while keys are changed, the next or the last one.
const maxTableKeys = 2

var (
	errInvalidKey  = errors.New("no hex digits")
	errTooManyKeys = errors.New("two at most are valid at once")
)

// readKeys reads a file of keys for versioned tables: 64 hex digits a line, at most maxTableKeys lines. The first key
// signs.
func readKeys(path string) (tables.Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys tables.Keys
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		secret, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil { // not wrapped: its text would show a part of the secret
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, errInvalidKey)
		}
		key, err := tables.NewKey(secret)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		keys = append(keys, key)
	}
	if len(keys) > maxTableKeys {
		return nil, fmt.Errorf("%s: %d keys, %w", path, len(keys), errTooManyKeys)
	}
	return keys, nil
}
