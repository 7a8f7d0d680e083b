package follow

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"tamarindshore/client/tables"
)

func TestInvalidFramesAreRejected(t *testing.T) {
	for _, test := range []struct {
		name  string
		bytes string
		want  error
	}{
		{"nothing", "", io.EOF},
		{"cut header", "D\x00\x00", io.ErrUnexpectedEOF},
		{"cut body", "D\x00\x00\x00\x03ab", io.ErrUnexpectedEOF},
		{"no body", "D\x00\x00\x00\x03", io.EOF},
		{"too long", "D\x00\x00\x00\x05abcde", ErrTooLong},
		{"length of 4 GiB", "D\xff\xff\xff\xff", ErrTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := ReadFrame(strings.NewReader(test.bytes), 4); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func TestInvalidHellosAreRejected(t *testing.T) {
	keys := testKeys(t)
	otherKey, err := tables.NewKey(bytes.Repeat([]byte{8}, 32))
	if err != nil {
		t.Fatal(err)
	}
	valid := EncodeHello(fixtureNonce, keys[0], "proxy-1", emptyVersion())
	flipBit := func(index int) []byte {
		hello := bytes.Clone(valid)
		hello[index] ^= 1
		return hello
	}
	for _, test := range []struct {
		name  string
		hello []byte
		want  error
	}{
		{"nothing", nil, ErrMalformed},
		{"too short", valid[:versionRefLen+keyIDLen+signatureLen-1], ErrMalformed},
		{"long name", EncodeHello(fixtureNonce, keys[0], strings.Repeat("x", maxNameLen+1), emptyVersion()), ErrMalformed},
		{"last byte cut", valid[:len(valid)-1], tables.ErrUnauthenticated},
		{"changed version", flipBit(0), tables.ErrUnauthenticated},
		{"changed name", flipBit(versionRefLen), tables.ErrUnauthenticated},
		{"changed signature", flipBit(len(valid) - 1), tables.ErrUnauthenticated},
		{"other nonce", EncodeHello([]byte("another nonce"), keys[0], "proxy-1", emptyVersion()), tables.ErrUnauthenticated},
		{"unknown key", EncodeHello(fixtureNonce, otherKey, "proxy-1", emptyVersion()), tables.ErrUnauthenticated},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := VerifyHello(fixtureNonce, keys, test.hello); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
	longest := EncodeHello(fixtureNonce, keys[0], strings.Repeat("x", maxNameLen), emptyVersion())
	if name, _, err := VerifyHello(fixtureNonce, keys, longest); err != nil || len(name) != maxNameLen {
		t.Errorf("hello with a name of %d bytes: name %q, error %v", maxNameLen, name, err)
	}
}

func TestParseVersionRefRejectsShortInput(t *testing.T) {
	valid := AppendVersionRef(nil, snapshotVersion(t))
	if _, _, err := ParseVersionRef(valid[:len(valid)-1]); !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v, want %v", err, ErrMalformed)
	}
	version, rest, err := ParseVersionRef(append(valid, "rest"...))
	if err != nil || version != snapshotVersion(t) || string(rest) != "rest" {
		t.Errorf("version %v, remaining bytes %q, error %v", version, rest, err)
	}
}
