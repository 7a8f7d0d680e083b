package node

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadKeysReportsTheFileAndLineOfAnError(t *testing.T) {
	key := strings.Repeat("0a", 32)
	for name, test := range map[string]struct {
		text string
		keys int
		err  string // expected after the file name; empty if no error is expected
	}{
		"one":          {key + "\n", 1, ""},
		"two":          {key + "\n " + strings.ToUpper(key) + "\n\n", 2, ""},
		"three":        {key + "\n" + key + "\n" + key, 0, ": found 3 keys, expected at most two"},
		"empty":        {"", 0, ":1: "},
		"no digits":    {key + "\nkey", 0, ":2: expected 64 hexadecimal digits"},
		"odd":          {key[1:], 0, ":1: expected 64 hexadecimal digits"},
		"short":        {key[2:], 0, ":1: "},
		"long":         {key + "00", 0, ":1: "},
		"line between": {key + "\n\n" + key, 0, ":2: "},
	} {
		path := filepath.Join(t.TempDir(), "keys")
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := readKeys(path)
		switch {
		case test.err == "" && (err != nil || len(keys) != test.keys):
			t.Errorf("%s: got %d keys, %v, want %d keys", name, len(keys), err, test.keys)
		case test.err != "" && (err == nil || !strings.HasPrefix(err.Error(), path+test.err)):
			t.Errorf("%s: got error %v, want %s%s", name, err, path, test.err)
		}
	}
	if _, err := readKeys(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a file that does not exist: got error %v, want fs.ErrNotExist", err)
	}
}
