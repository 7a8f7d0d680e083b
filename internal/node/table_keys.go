package node

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"

	"tamarindshore/client/tables"
)

// maxTableKeys is the maximum number of keys that are valid at once. During key rotation both the old and the new key are
// valid.
const maxTableKeys = 2

var (
	errInvalidKey  = errors.New("expected 64 hexadecimal digits")
	errTooManyKeys = errors.New("expected at most two")
)

// readKeys reads a file with the keys for the versioned tables: one key of 64 hexadecimal digits per line, and at most
// maxTableKeys lines. The first key signs.
func readKeys(path string) (tables.Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys tables.Keys
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		secret, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil { // not wrapped, because its text contains a part of the secret
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, errInvalidKey)
		}
		key, err := tables.NewKey(secret)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		keys = append(keys, key)
	}
	if len(keys) > maxTableKeys {
		return nil, fmt.Errorf("%s: found %d keys, %w", path, len(keys), errTooManyKeys)
	}
	return keys, nil
}
