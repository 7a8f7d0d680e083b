// Package follow keeps a tables.Replica up to date with a manager, over connections that the user's code dials. It
// implements the frames of the protocol and the reconnection with backoff; the Replica decides which versions to apply.
package follow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/zeebo/blake3"

	"tamarindshore/client/tables"
)

// Frame kinds. The kind is the first byte of a frame; docs/tables-format.md specifies the bodies.
const (
	FrameNonce           = 'N' // from the manager: random bytes that the signature of the hello must cover
	FrameHello           = 'H' // from the replica: its name and version, signed
	FrameDelta           = 'D' // from the manager: an encoded delta
	FrameHeartbeat       = 'B' // from the manager, every HeartbeatInterval: empty
	FrameAck             = 'A' // from the replica: it applied a delta; contains its new version
	FrameRejection       = 'R' // from the replica: it rejected a delta; contains the outcome and its version
	FrameSnapshotRequest = 'W' // from the replica: it needs a snapshot; contains its version
)

// HeartbeatInterval is the time between two heartbeats of a manager, by which a replica tells an idle connection from one
// whose manager vanished.
const HeartbeatInterval = time.Second

const (
	frameHeaderLen    = 1 + 4 // kind and length of the body
	nonceLen          = 16
	maxNonceFrameBody = 64         // maximum length of the body of a nonce frame
	versionRefLen     = 8 + 8 + 32 // epoch, number and digest
	maxNameLen        = 64         // of a replica's name
	keyIDLen          = len(tables.KeyID{})
	signatureLen      = 32

	// helloDomain is the domain separation prefix of signed hellos.
	helloDomain = "TSHello1"
)

// Errors for invalid frames. Each is wrapped with the details of what was found.
var (
	ErrTooLong    = errors.New("frame too long")
	ErrMalformed  = errors.New("malformed frame")
	ErrUnexpected = errors.New("unexpected frame")
	ErrSilent     = errors.New("the manager stopped sending heartbeats")
)

// WriteFrame writes one frame with a single call of Write.
func WriteFrame(w io.Writer, kind byte, body []byte) error {
	frame := make([]byte, 0, frameHeaderLen+len(body))
	frame = append(frame, kind)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one frame with a body of at most maxBody bytes. Errors wrap ErrTooLong or come from the reader.
func ReadFrame(r io.Reader, maxBody int) (kind byte, body []byte, err error) {
	var header [frameHeaderLen]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if int64(length) > int64(maxBody) {
		return 0, nil, fmt.Errorf("%w: body of %d bytes, expected at most %d", ErrTooLong, length, maxBody)
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// AppendVersionRef appends the encoded ID and digest of a version.
func AppendVersionRef(b []byte, version tables.VersionRef) []byte {
	b = binary.BigEndian.AppendUint64(b, version.ID.Epoch)
	b = binary.BigEndian.AppendUint64(b, version.ID.Number)
	return append(b, version.Digest[:]...)
}

// ParseVersionRef parses the encoding of AppendVersionRef at the start of b and returns the remaining bytes. Errors wrap
// ErrMalformed.
func ParseVersionRef(b []byte) (version tables.VersionRef, rest []byte, err error) {
	if len(b) < versionRefLen {
		return version, nil, fmt.Errorf("%w: version reference of %d bytes, expected at least %d", ErrMalformed, len(b), versionRefLen)
	}
	version.ID.Epoch = binary.BigEndian.Uint64(b)
	version.ID.Number = binary.BigEndian.Uint64(b[8:])
	version.Digest = tables.Digest(b[16:versionRefLen])
	return version, b[versionRefLen:], nil
}

// EncodeHello returns the body of a hello frame: the version that the replica runs, its name of at most 64 bytes, the ID of
// the key, and a signature that also covers the manager's nonce.
func EncodeHello(nonce []byte, key tables.Key, name string, version tables.VersionRef) []byte {
	body := AppendVersionRef(nil, version)
	body = append(body, name...)
	body = append(body, key.ID[:]...)
	signature := key.Sign(helloDigest(nonce, body))
	return append(body, signature[:]...)
}

// helloDigest returns the digest that the signature of a hello covers.
func helloDigest(nonce, body []byte) []byte {
	message := append([]byte(helloDomain), nonce...)
	message = append(message, body...)
	digest := blake3.Sum256(message)
	return digest[:]
}

// VerifyHello parses the body of a hello frame and verifies that one of the keys signed it for this nonce. Errors wrap
// ErrMalformed or tables.ErrUnauthenticated.
func VerifyHello(nonce []byte, keys tables.Keys, hello []byte) (name string, version tables.VersionRef, err error) {
	const minLen = versionRefLen + keyIDLen + signatureLen
	const maxLen = minLen + maxNameLen
	if len(hello) < minLen || len(hello) > maxLen {
		return "", version, fmt.Errorf("%w: hello of %d bytes, expected %d to %d", ErrMalformed, len(hello), minLen, maxLen)
	}
	signed := hello[:len(hello)-signatureLen]
	signature := [signatureLen]byte(hello[len(hello)-signatureLen:])
	content := signed[:len(signed)-keyIDLen]
	keyID := tables.KeyID(signed[len(signed)-keyIDLen:])
	if !keys.Verify(keyID, helloDigest(nonce, signed), signature) {
		return "", version, fmt.Errorf("%w: key %x is not one of the valid keys, or the signature is wrong", tables.ErrUnauthenticated, keyID)
	}
	version, rest, err := ParseVersionRef(content)
	return string(rest), version, err
}
