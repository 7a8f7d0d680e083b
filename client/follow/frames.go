// Package follow keeps a tables.Holder up to date from a manager, over a connection that the user dials. It owns the
// frames of that connection and when to dial again; what a version is worth is the Holder's to say. It must never
// apply anything itself.
package follow

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/blake3"

	"tamarindshore/client/tables"
)

// Kinds of frames, by their first byte; docs/tables-format.md specifies them.
const (
	FrameNonce           = 'N' // from the manager: 16 bytes that the greeting must answer
	FrameHello           = 'H' // from the holder: who it is and what it holds, authenticated
	FrameDelta           = 'D' // from the manager: an encoded delta
	FrameAck             = 'A' // from the holder: what it runs now
	FrameRejection       = 'R' // from the holder: why, and what it runs
	FrameSnapshotRequest = 'W' // from the holder: it wants a whole table; what it runs
)

const heldLen = 8 + 8 + 32

// Write writes one frame.
func WriteFrame(w io.Writer, kind byte, body []byte) error {
	b := append(make([]byte, 0, 5+len(body)), kind)
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...)
	_, err := w.Write(b)
	return err
}

// Read reads one frame of at most so many bytes.
func ReadFrame(r io.Reader, most int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if int64(n) > int64(most) {
		return 0, nil, fmt.Errorf("a frame of %d bytes is longer than %d", n, most)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// AppendHeld adds what a holder runs.
func AppendVersionRef(b []byte, h tables.VersionRef) []byte {
	b = binary.BigEndian.AppendUint64(b, h.ID.Epoch)
	b = binary.BigEndian.AppendUint64(b, h.ID.Number)
	return append(b, h.Digest[:]...)
}

// ReadHeld takes it apart.
func ParseVersionRef(b []byte) (h tables.VersionRef, rest []byte, err error) {
	if len(b) < heldLen {
		return h, nil, errors.New("what is held is cut off")
	}
	h.ID = tables.ID{Epoch: binary.BigEndian.Uint64(b), Number: binary.BigEndian.Uint64(b[8:])}
	h.Digest = tables.Digest(b[16:heldLen])
	return h, b[heldLen:], nil
}

// Greet is a greeting's body: what is held, a name, and the proof by a key that answers the nonce.
func EncodeHello(nonce []byte, key tables.Key, name string, h tables.VersionRef) []byte {
	b := append(AppendVersionRef(nil, h), name...)
	b = append(b, key.ID[:]...)
	sum := key.Sign(proof(nonce, b))
	return append(b, sum[:]...)
}

func proof(nonce, body []byte) []byte {
	sum := blake3.Sum256(append(append([]byte("TSHello1"), nonce...), body...))
	return sum[:]
}

// Greeted checks a greeting.
func VerifyHello(nonce []byte, keys tables.Keys, b []byte) (name string, h tables.VersionRef, err error) {
	if len(b) < heldLen+4+32 || len(b) > heldLen+64+4+32 {
		return "", h, errors.New("a greeting is too short or too long")
	}
	body, sum := b[:len(b)-32], [32]byte(b[len(b)-32:])
	id := tables.KeyID(body[len(body)-4:])
	if !keys.Verify(id, proof(nonce, body), sum) {
		return "", h, fmt.Errorf("key %x is not valid here, or its proof is wrong", id)
	}
	h, rest, err := ParseVersionRef(body[:len(body)-4])
	return string(rest), h, err
}
