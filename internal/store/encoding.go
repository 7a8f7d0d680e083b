package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/zeebo/blake3"
	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// Bucket names and keys. They are part of the file format.
var (
	metaBucket     = []byte("meta")
	versionsBucket = []byte("versions") // keyed by encodeVersionKey
	drainsBucket   = []byte("drains")   // keyed by server ID
	commandsBucket = []byte("done")     // keyed by idempotency key
	serversBucket  = []byte("list")     // keyed by server ID

	// Keys in metaBucket.
	formatKey      = []byte("form")
	epochKey       = []byte("epoch")
	listSummaryKey = []byte("list-head")
)

// encodedNumberLen is the number of bytes that encodeNumber returns.
const encodedNumberLen = 8

// encodeNumber encodes a number in big-endian order, so that keys sort in numeric order.
func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encodeVersionKey returns the key of a version in versionsBucket.
func encodeVersionKey(id tables.ID) []byte {
	return append(encodeNumber(id.Epoch), encodeNumber(id.Number)...)
}

// digestSize is the number of bytes of a value's digest that are stored in front of the value.
const digestSize = 16

// valueDigest holds the first digestSize bytes of a value's BLAKE3 digest.
type valueDigest [digestSize]byte

func digestOf(value []byte) valueDigest {
	sum := blake3.Sum256(value)
	return valueDigest(sum[:digestSize])
}

// encodeValue encodes a value as JSON and prepends the digest of the JSON text. The digest detects bit rot within a
// page, which bbolt does not check.
func encodeValue(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	digest := digestOf(text)
	encoded := make([]byte, digestSize, digestSize+len(text))
	copy(encoded, digest[:])
	return append(encoded, text...), nil
}

// decodeValue verifies the digest of an encoded value and decodes it. Errors wrap ErrDamaged.
func decodeValue(encoded []byte, value any) error {
	if len(encoded) < digestSize {
		return fmt.Errorf("%w: a value has %d bytes, expected at least %d", ErrDamaged, len(encoded), digestSize)
	}
	text := encoded[digestSize:]
	if got, want := digestOf(text), valueDigest(encoded[:digestSize]); got != want {
		return fmt.Errorf("%w: a value has digest %x, expected %x", ErrDamaged, got, want)
	}
	// A damaged page number can lead to a value of another bucket, which has a valid digest but another type.
	if err := json.Unmarshal(text, value); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// forEachValue decodes each value of a bucket with text keys and passes it to use. Errors state the kind and the key.
func forEachValue[T any](bucket *bbolt.Bucket, kind string, use func(key string, value T)) error {
	return bucket.ForEach(func(key, encoded []byte) error {
		var value T
		if err := decodeValue(encoded, &value); err != nil {
			return fmt.Errorf("%s %q: %w", kind, key, err)
		}
		use(string(key), value)
		return nil
	})
}

func putValue(bucket *bbolt.Bucket, key []byte, value any) error {
	encoded, err := encodeValue(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}
