package node

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadKeysNamesWhatIsWrong(t *testing.T) {
	key := strings.Repeat("0a", 32)
	for name, one := range map[string]struct {
		text string
		keys int
		err  string // after the file's name; empty: none
	}{
		"one":          {key + "\n", 1, ""},
		"two":          {key + "\n " + strings.ToUpper(key) + "\n\n", 2, ""},
		"three":        {key + "\n" + key + "\n" + key, 0, ": 3 keys, two at most are valid at once"},
		"empty":        {"", 0, ":1: "},
		"no digits":    {key + "\nkey", 0, ":2: no hex digits"},
		"odd":          {key[1:], 0, ":1: no hex digits"},
		"short":        {key[2:], 0, ":1: "},
		"long":         {key + "00", 0, ":1: "},
		"line between": {key + "\n\n" + key, 0, ":2: "},
	} {
		path := filepath.Join(t.TempDir(), "keys")
		if err := os.WriteFile(path, []byte(one.text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := readKeys(path)
		switch {
		case one.err == "" && (err != nil || len(keys) != one.keys):
			t.Errorf("%s: %d keys, %v", name, len(keys), err)
		case one.err != "" && (err == nil || !strings.HasPrefix(err.Error(), path+one.err)):
			t.Errorf("%s: %v, not %s%s", name, err, path, one.err)
		}
	}
	if _, err := readKeys(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a file that does not exist: %v", err)
	}
}
