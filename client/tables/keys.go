package tables

import (
	"crypto/subtle"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// KeyID identifies a key without revealing its secret.
type KeyID [4]byte

// Lengths in bytes.
const (
	secretLen = 32 // secret of a key
	macLen    = 32 // message authentication code
)

// Domain separation prefixes of hashed and authenticated content other than deltas.
const (
	keyIDDomain = "TSKey1" // for the digest that a key's ID is taken from
	signDomain  = "TSSum1" // for messages authenticated by Key.Sign
)

// ErrKeyLength is wrapped by the error that NewKey returns for a secret of the wrong length.
var ErrKeyLength = errors.New("wrong key length")

// Key authenticates deltas and hello frames with a shared secret.
type Key struct {
	ID     KeyID
	secret [secretLen]byte
}

// NewKey returns the key with the given secret of 32 bytes. Its ID is the first bytes of the secret's digest.
func NewKey(secret []byte) (Key, error) {
	if len(secret) != secretLen {
		return Key{}, fmt.Errorf("%w: expected %d bytes, found %d", ErrKeyLength, secretLen, len(secret))
	}
	key := Key{secret: [secretLen]byte(secret)}
	digest := blake3.Sum256(append([]byte(keyIDDomain), secret...))
	key.ID = KeyID(digest[:len(key.ID)])
	return key, nil
}

// mac returns the message authentication code of a message: BLAKE3 keyed with the secret.
func (k Key) mac(message []byte) (mac [macLen]byte) {
	hasher, err := blake3.NewKeyed(k.secret[:])
	if err != nil {
		panic(err) // NewKeyed fails only for a secret of the wrong length
	}
	hasher.Write(message)
	hasher.Sum(mac[:0])
	return mac
}

// Sign returns the signature of a message that is not a delta. It is a message authentication code.
func (k Key) Sign(message []byte) [32]byte { return k.mac(append([]byte(signDomain), message...)) }

// Keys holds the valid keys. The first one signs. During key rotation, both the old and the new key are valid.
type Keys []Key

func (k Keys) find(id KeyID) (Key, bool) {
	for _, key := range k {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// Verify reports whether the key with the given ID is valid and has signed the message.
func (k Keys) Verify(id KeyID, message []byte, signature [32]byte) bool {
	key, valid := k.find(id)
	return valid && equalMACs(key.Sign(message), signature)
}

// equalMACs compares in constant time, so that the duration does not reveal the position of the first difference.
func equalMACs(a, b [macLen]byte) bool { return subtle.ConstantTimeCompare(a[:], b[:]) == 1 }
