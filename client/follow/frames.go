// Package follow keeps a tables.Replica up to date from a manager, over connections that the user dials. It owns the
// frames of such a connection and when to dial again; the Replica decides what becomes of a version.
package follow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/blake3"

	"tamarindshore/client/tables"
)

// Kinds of frames, the first byte of each; docs/tables-format.md specifies their bodies.
const (
	FrameNonce           = 'N' // from the manager: random bytes that the hello must answer
	FrameHello           = 'H' // from the replica: its name and version, authenticated
	FrameDelta           = 'D' // from the manager: an encoded delta
	FrameAck             = 'A' // from the replica: it applied a delta; its version
	FrameRejection       = 'R' // from the replica: the outcome of a delta that it rejected; its version
	FrameSnapshotRequest = 'W' // from the replica: its version
)

const (
	frameHeaderLen = 1 + 4 // kind, length of the body
	nonceLen       = 16
	maxNonceFrame  = 64
	versionRefLen  = 8 + 8 + 32
	maxNameLen     = 64
	keyIDLen       = len(tables.KeyID{})
	signatureLen   = 32

	// helloDomain keeps what a hello signs apart from other signed content.
	helloDomain = "TSHello1"
)

// Errors of frames. Each is wrapped with what was found.
var (
	ErrTooLong    = errors.New("frame too long")
	ErrMalformed  = errors.New("malformed frame")
	ErrUnexpected = errors.New("unexpected frame")
)

// WriteFrame writes one frame, by one call of Write.
func WriteFrame(w io.Writer, kind byte, body []byte) error {
	frame := make([]byte, 0, frameHeaderLen+len(body))
	frame = append(frame, kind)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one frame with a body of up to maxBody bytes. Errors wrap ErrTooLong, or are those of the reader.
func ReadFrame(r io.Reader, maxBody int) (kind byte, body []byte, err error) {
	var header [frameHeaderLen]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if int64(length) > int64(maxBody) {
		return 0, nil, fmt.Errorf("%w: a frame of %d bytes is longer than %d", ErrTooLong, length, maxBody)
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// AppendVersionRef appends the bytes of a version's ID and digest.
func AppendVersionRef(b []byte, version tables.VersionRef) []byte {
	b = binary.BigEndian.AppendUint64(b, version.ID.Epoch)
	b = binary.BigEndian.AppendUint64(b, version.ID.Number)
	return append(b, version.Digest[:]...)
}

// ParseVersionRef reads what AppendVersionRef wrote, and returns the bytes behind it. Errors wrap ErrMalformed.
func ParseVersionRef(b []byte) (version tables.VersionRef, rest []byte, err error) {
	if len(b) < versionRefLen {
		return version, nil, fmt.Errorf("%w: a version has %d bytes, expected %d", ErrMalformed, len(b), versionRefLen)
	}
	version.ID.Epoch = binary.BigEndian.Uint64(b)
	version.ID.Number = binary.BigEndian.Uint64(b[8:])
	version.Digest = tables.Digest(b[16:versionRefLen])
	return version, b[versionRefLen:], nil
}

// EncodeHello returns the body of a hello: the version that the replica runs, its name of up to 64 bytes, and a signature
// that answers the manager's nonce.
func EncodeHello(nonce []byte, key tables.Key, name string, version tables.VersionRef) []byte {
	body := AppendVersionRef(nil, version)
	body = append(body, name...)
	body = append(body, key.ID[:]...)
	signature := key.Sign(helloDigest(nonce, body))
	return append(body, signature[:]...)
}

// helloDigest is what a hello signs.
func helloDigest(nonce, body []byte) []byte {
	message := append([]byte(helloDomain), nonce...)
	message = append(message, body...)
	digest := blake3.Sum256(message)
	return digest[:]
}

// VerifyHello reads the body of a hello and verifies that one of the keys signed it for this nonce. Errors wrap
// ErrMalformed or tables.ErrUnauthenticated.
func VerifyHello(nonce []byte, keys tables.Keys, hello []byte) (name string, version tables.VersionRef, err error) {
	const minLen = versionRefLen + keyIDLen + signatureLen
	const maxLen = minLen + maxNameLen
	if len(hello) < minLen || len(hello) > maxLen {
		return "", version, fmt.Errorf("%w: a hello has %d bytes, expected %d to %d", ErrMalformed, len(hello), minLen, maxLen)
	}
	signed := hello[:len(hello)-signatureLen]
	signature := [signatureLen]byte(hello[len(hello)-signatureLen:])
	content := signed[:len(signed)-keyIDLen]
	keyID := tables.KeyID(signed[len(signed)-keyIDLen:])
	if !keys.Verify(keyID, helloDigest(nonce, signed), signature) {
		return "", version, fmt.Errorf("%w: key %x is not valid here, or its signature is wrong", tables.ErrUnauthenticated, keyID)
	}
	version, rest, err := ParseVersionRef(content)
	return string(rest), version, err
}
