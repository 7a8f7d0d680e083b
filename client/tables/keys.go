package tables

import (
	"crypto/subtle"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// KeyID names a key without revealing it.
type KeyID [4]byte

// secretLen is the length of a key's secret, macLen that of a message authentication code.
const (
	secretLen = 32
	macLen    = 32
)

// Prefixes of what is hashed or authenticated besides deltas.
const (
	keyIDDomain = "TSKey1"
	signDomain  = "TSSum1"
)

// ErrKeyLength is wrapped by the error for a secret of the wrong length.
var ErrKeyLength = errors.New("wrong length of a key")

// Key authenticates deltas and greetings by a shared secret.
type Key struct {
	ID     KeyID
	secret [secretLen]byte
}

// NewKey makes a key of 32 secret bytes. Its ID is the start of their digest.
func NewKey(secret []byte) (Key, error) {
	if len(secret) != secretLen {
		return Key{}, fmt.Errorf("%w: a key has %d bytes, not %d", ErrKeyLength, secretLen, len(secret))
	}
	key := Key{secret: [secretLen]byte(secret)}
	digest := blake3.Sum256(append([]byte(keyIDDomain), secret...))
	key.ID = KeyID(digest[:len(key.ID)])
	return key, nil
}

// mac is BLAKE3 keyed by the secret.
func (k Key) mac(message []byte) (mac [macLen]byte) {
	hasher, err := blake3.NewKeyed(k.secret[:])
	if err != nil {
		panic(err) // only for a key of another length
	}
	hasher.Write(message)
	hasher.Sum(mac[:0])
	return mac
}

// Sign authenticates a message that is not a delta.
func (k Key) Sign(message []byte) [32]byte { return k.mac(append([]byte(signDomain), message...)) }

// Keys are the valid keys, the one that signs first. Two are valid while one replaces the other.
type Keys []Key

func (k Keys) find(id KeyID) (Key, bool) {
	for _, key := range k {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// Verify tells whether a message was signed by the key with an ID, and that key is valid.
func (k Keys) Verify(id KeyID, message []byte, signature [32]byte) bool {
	key, valid := k.find(id)
	return valid && equalMACs(key.Sign(message), signature)
}

// equalMACs compares in constant time: the time must not tell where the first difference is.
func equalMACs(a, b [macLen]byte) bool { return subtle.ConstantTimeCompare(a[:], b[:]) == 1 }
