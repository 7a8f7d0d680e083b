package tables

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// ID identifies a version and orders it among the others. Numbers increase within an epoch. A new epoch begins when
// another manager takes over or the same one restarts.
type ID struct {
	Epoch  uint64 `json:"Epoch"`
	Number uint64 `json:"Number"`
}

// String returns the ID in the form EPOCH.NUMBER.
func (id ID) String() string { return fmt.Sprintf("%d.%d", id.Epoch, id.Number) }

// Before reports whether the version is older than the other.
func (id ID) Before(other ID) bool {
	return id.Epoch < other.Epoch || id.Epoch == other.Epoch && id.Number < other.Number
}

// Delta is a list of operations that change the state of one version, its base, into that of another. A snapshot is a
// delta whose base is the empty state.
type Delta struct {
	ID          ID
	Base        ID     // the version that the delta applies to; zero for a snapshot
	BaseDigest  Digest // of the state before the operations
	Digest      Digest // of the state after the operations
	CreatedAtMs uint64 // Unix milliseconds
	Cause       string // why the manager made the version, in words for operators
	Ops         []Op
	KeyID       KeyID // the key that signed the delta; set by Decode, ignored by Encode, which signs with the first key
}

// IsSnapshot reports whether the base of the delta is the empty state.
func (d *Delta) IsSnapshot() bool { return d.Base == ID{} }

// MaxDeltaBytes is the maximum length of an encoded delta.
const MaxDeltaBytes = 16 << 20

const (
	magic       = "TSD1"
	maxCauseLen = 4096

	keyIDLen        = len(KeyID{})
	digestLen       = len(Digest{})
	minDeltaLen     = len(magic) + 5 /* numbers */ + 2*digestLen + 2 /* cause and count of operations */ + keyIDLen + macLen
	approxHeaderLen = 160 // approximate length of an encoded delta without operations
	approxOpLen     = 24  // approximate length of an encoded operation
)

// Errors that Decode wraps with the details of what was found.
var (
	ErrMalformed       = errors.New("malformed")
	ErrUnauthenticated = errors.New("not authenticated")
)

// Errors that Encode wraps or returns.
var (
	ErrNoKey    = errors.New("no key to sign with")
	ErrTooLarge = errors.New("delta too large")
)

// Encode returns the encoded delta, signed with the first key. Errors wrap ErrNoKey or ErrTooLarge.
func (d *Delta) Encode(keys Keys) ([]byte, error) {
	if len(keys) == 0 {
		return nil, ErrNoKey
	}
	key := keys[0]
	b := make([]byte, 0, approxHeaderLen+len(d.Ops)*approxOpLen)
	b = append(b, magic...)
	for _, number := range []uint64{d.ID.Epoch, d.ID.Number, d.Base.Epoch, d.Base.Number, d.CreatedAtMs} {
		b = binary.AppendUvarint(b, number)
	}
	b = append(b, d.BaseDigest[:]...)
	b = append(b, d.Digest[:]...)
	b = appendString(b, d.Cause)
	b = binary.AppendUvarint(b, uint64(len(d.Ops)))
	for i := range d.Ops {
		b = d.Ops[i].append(b)
	}
	b = append(b, key.ID[:]...)
	mac := key.mac(b)
	b = append(b, mac[:]...)
	if len(b) > MaxDeltaBytes {
		return nil, fmt.Errorf("%w: %d bytes, expected at most %d", ErrTooLarge, len(b), MaxDeltaBytes)
	}
	return b, nil
}

// append appends the encoded operation to b.
func (o *Op) append(b []byte) []byte {
	b = append(b, byte(o.Kind))
	switch o.Kind {
	case SetWeight:
		b = binary.AppendUvarint(b, uint64(o.Table))
		b = appendString(b, o.Server)
		return appendFloat64(b, o.Weight)
	case SetAdmissionLevel:
		b = binary.AppendUvarint(b, uint64(o.Table))
		b = binary.AppendUvarint(b, o.Classes)
		b = appendFloat64(b, o.AdmissionLevel.Amount)
		return append(b, o.AdmissionLevel.Retry)
	case ClearTable:
		return binary.AppendUvarint(b, uint64(o.Table))
	default: // Withdraw, Restore
		return appendString(b, o.Server)
	}
}

// Decode decodes a delta, verifies that one of the keys signed it, and validates its operations without applying them.
// Errors wrap ErrMalformed or ErrUnauthenticated.
func Decode(encoded []byte, keys Keys) (*Delta, error) {
	if len(encoded) > MaxDeltaBytes || len(encoded) < minDeltaLen || string(encoded[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: not a delta: %d bytes, expected %d to %d bytes that start with %q",
			ErrMalformed, len(encoded), minDeltaLen, MaxDeltaBytes, magic)
	}
	signed := encoded[:len(encoded)-macLen]
	mac := [macLen]byte(encoded[len(encoded)-macLen:])
	body := signed[len(magic) : len(signed)-keyIDLen]
	keyID := KeyID(signed[len(signed)-keyIDLen:])
	key, valid := keys.find(keyID)
	if !valid {
		return nil, fmt.Errorf("%w: key %x is not one of the valid keys", ErrUnauthenticated, keyID)
	}
	if !equalMACs(key.mac(signed), mac) {
		return nil, fmt.Errorf("%w: the signature does not match key %x", ErrUnauthenticated, keyID)
	}
	d := decoder{rest: body}
	delta := d.readDelta()
	delta.KeyID = keyID
	if d.err == nil && len(d.rest) > 0 {
		d.fail("%d unexpected bytes after the last operation", len(d.rest))
	}
	if d.err != nil {
		return nil, d.err
	}
	return delta, nil
}

// decoder reads the body of a delta. It keeps the first error in err and returns zero values from then on.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) fail(format string, values ...any) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, values...)...)
	}
	d.rest = nil
}

// readDelta reads the fields in the order in which they are encoded.
func (d *decoder) readDelta() *Delta {
	delta := &Delta{}
	delta.ID = d.readID()
	delta.Base = d.readID()
	delta.CreatedAtMs = d.readUvarint()
	delta.BaseDigest = d.readDigest()
	delta.Digest = d.readDigest()
	delta.Cause = d.readString(maxCauseLen)
	count := d.readUvarint()
	if count > uint64(len(d.rest)) {
		d.fail("%d operations, but only %d bytes are left", count, len(d.rest))
	}
	for i := uint64(0); i < count && d.err == nil; i++ {
		delta.Ops = append(delta.Ops, d.readOp())
	}
	return delta
}

func (d *decoder) readOp() Op {
	op := Op{Kind: OpKind(d.readByte())}
	switch op.Kind {
	case SetWeight:
		op.Table = d.readTableID()
		op.Server = d.readString(maxServerLen)
		op.Weight = d.readFloat64()
	case SetAdmissionLevel:
		op.Table = d.readTableID()
		op.Classes = d.readUvarint()
		op.AdmissionLevel.Amount = d.readFloat64()
		op.AdmissionLevel.Retry = d.readByte()
	case ClearTable:
		op.Table = d.readTableID()
	default:
		op.Server = d.readString(maxServerLen)
	}
	if err := op.validate(); err != nil {
		d.fail("%w", err)
	}
	return op
}

func (d *decoder) readID() ID {
	epoch := d.readUvarint()
	number := d.readUvarint()
	return ID{Epoch: epoch, Number: number}
}

func (d *decoder) readDigest() (digest Digest) {
	copy(digest[:], d.readBytes(digestLen))
	return digest
}

// readUvarint reads an unsigned LEB128 number. It accepts only the shortest form, so that each number has one encoding.
func (d *decoder) readUvarint() uint64 {
	number, n := binary.Uvarint(d.rest)
	isOverlong := n > 1 && d.rest[n-1] == 0
	if n <= 0 || isOverlong {
		d.fail("a number is truncated or not in its shortest form")
		return 0
	}
	d.rest = d.rest[n:]
	return number
}

// readBytes reads n bytes. It fails and returns nil if fewer than n bytes are left.
func (d *decoder) readBytes(n int) []byte {
	if n > len(d.rest) {
		d.fail("truncated: expected %d bytes, found %d", n, len(d.rest))
		return nil
	}
	read := d.rest[:n]
	d.rest = d.rest[n:]
	return read
}

func (d *decoder) readByte() byte {
	if read := d.readBytes(1); read != nil {
		return read[0]
	}
	return 0
}

func (d *decoder) readString(maxLen int) string {
	n := d.readUvarint()
	if n > uint64(maxLen) {
		d.fail("a string of %d bytes, expected at most %d", n, maxLen)
		return ""
	}
	return string(d.readBytes(int(n)))
}

func (d *decoder) readTableID() uint32 {
	number := d.readUvarint()
	if number > math.MaxUint32 {
		d.fail("table ID %d, expected at most %d", number, uint32(math.MaxUint32))
		return 0
	}
	return uint32(number)
}

func (d *decoder) readFloat64() float64 {
	if read := d.readBytes(8); read != nil {
		return math.Float64frombits(binary.BigEndian.Uint64(read))
	}
	return 0
}
