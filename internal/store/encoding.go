package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/zeebo/blake3"
	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// Names in the file. They are part of its format.
var (
	metaBucket     = []byte("meta")
	versionsBucket = []byte("versions") // by encodeID
	drainsBucket   = []byte("drains")   // by server
	commandsBucket = []byte("done")     // by idempotency key
	serversBucket  = []byte("list")     // by server

	// Keys in metaBucket.
	formatKey      = []byte("form")
	epochKey       = []byte("epoch")
	listSummaryKey = []byte("list-head")
)

// encodedNumberLen is how many bytes encodeNumber returns.
const encodedNumberLen = 8

// encodeNumber encodes a number so that keys sort as their numbers do.
func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encodeID is the key of a version.
func encodeID(id tables.ID) []byte { return append(encodeNumber(id.Epoch), encodeNumber(id.Number)...) }

// digestSize is how many bytes of a value's digest are stored before it.
const digestSize = 16

// valueDigest is the stored part of a value's digest.
type valueDigest [digestSize]byte

func digestOf(value []byte) valueDigest {
	sum := blake3.Sum256(value)
	return valueDigest(sum[:digestSize])
}

// seal encodes a value as JSON behind the digest of that text: it detects bit rot within a page, which the library
// doesn't check.
func seal(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	digest := digestOf(text)
	sealed := make([]byte, digestSize, digestSize+len(text))
	copy(sealed, digest[:])
	return append(sealed, text...), nil
}

// unseal verifies the digest of a sealed value and decodes it. Errors wrap ErrDamaged.
func unseal(sealed []byte, value any) error {
	if len(sealed) < digestSize {
		return fmt.Errorf("%w: a value has %d bytes, expected at least %d", ErrDamaged, len(sealed), digestSize)
	}
	text := sealed[digestSize:]
	if got, want := digestOf(text), valueDigest(sealed[:digestSize]); got != want {
		return fmt.Errorf("%w: a value has digest %x, expected %x", ErrDamaged, got, want)
	}
	if err := json.Unmarshal(text, value); err != nil { // a value of another bucket, by a damaged page number
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// eachSealed calls a function with each value of a bucket whose keys are text. Errors name the key.
func eachSealed[T any](bucket *bbolt.Bucket, kind string, use func(key string, value T)) error {
	return bucket.ForEach(func(key, sealed []byte) error {
		var value T
		if err := unseal(sealed, &value); err != nil {
			return fmt.Errorf("%s %q: %w", kind, key, err)
		}
		use(string(key), value)
		return nil
	})
}

func putSealed(bucket *bbolt.Bucket, key []byte, value any) error {
	sealed, err := seal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, sealed)
}
