package tables

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// ID is the place of a version. Numbers count within an epoch; a later epoch is that of another manager, or of the same
// one after a restart.
type ID struct {
	Epoch  uint64 `json:"Epoch"`
	Number uint64 `json:"Number"`
}

// String returns EPOCH.NUMBER.
func (id ID) String() string { return fmt.Sprintf("%d.%d", id.Epoch, id.Number) }

// Before tells whether a version is older than another.
func (id ID) Before(other ID) bool {
	return id.Epoch < other.Epoch || id.Epoch == other.Epoch && id.Number < other.Number
}

// Delta leads from one state to the next. A snapshot is a delta that leads from the empty state.
type Delta struct {
	ID          ID
	Base        ID     // the version that it leads from; zero: it is a snapshot
	BaseDigest  Digest // of the state that it leads from
	Digest      Digest // of the state that it leads to
	CreatedAtMs uint64 // Unix milliseconds
	Cause       string
	Ops         []Op
	KeyID       KeyID // of the key that signed it; Encode signs by the first key
}

// IsSnapshot tells whether a delta leads from the empty state.
func (d *Delta) IsSnapshot() bool { return d.Base == ID{} }

// MaxDeltaBytes is the most bytes of an encoded delta.
const MaxDeltaBytes = 16 << 20

const (
	magic       = "TSD1"
	maxCauseLen = 4096

	keyIDLen     = len(KeyID{})
	digestLen    = len(Digest{})
	minDeltaLen  = len(magic) + 5 /* numbers */ + 2*digestLen + 2 /* cause and count of operations */ + keyIDLen + macLen
	headerLen    = 160 // about, of an encoded delta without operations
	usualOpBytes = 24
)

// Errors of Decode. Each is wrapped with what was found.
var (
	ErrMalformed       = errors.New("malformed")
	ErrUnauthenticated = errors.New("not authenticated")
)

// Errors of Encode.
var (
	ErrNoKey    = errors.New("no key to sign with")
	ErrTooLarge = errors.New("the delta is too large")
)

// Encode returns the bytes of a delta, signed by the first key. Errors wrap ErrNoKey or ErrTooLarge.
func (d *Delta) Encode(keys Keys) ([]byte, error) {
	if len(keys) == 0 {
		return nil, ErrNoKey
	}
	key := keys[0]
	b := make([]byte, 0, headerLen+len(d.Ops)*usualOpBytes)
	b = append(b, magic...)
	for _, number := range []uint64{d.ID.Epoch, d.ID.Number, d.Base.Epoch, d.Base.Number, d.CreatedAtMs} {
		b = binary.AppendUvarint(b, number)
	}
	b = append(b, d.BaseDigest[:]...)
	b = append(b, d.Digest[:]...)
	b = appendText(b, d.Cause)
	b = binary.AppendUvarint(b, uint64(len(d.Ops)))
	for i := range d.Ops {
		b = d.Ops[i].append(b)
	}
	b = append(b, key.ID[:]...)
	mac := key.mac(b)
	b = append(b, mac[:]...)
	if len(b) > MaxDeltaBytes {
		return nil, fmt.Errorf("%w: a delta of %d bytes is longer than %d", ErrTooLarge, len(b), MaxDeltaBytes)
	}
	return b, nil
}

// append appends the bytes of an operation.
func (o *Op) append(b []byte) []byte {
	b = append(b, byte(o.Kind))
	switch o.Kind {
	case SetWeight:
		b = binary.AppendUvarint(b, uint64(o.Table))
		b = appendText(b, o.Server)
		return appendNumber(b, o.Weight)
	case SetAdmissionLevel:
		b = binary.AppendUvarint(b, uint64(o.Table))
		b = binary.AppendUvarint(b, o.Classes)
		b = appendNumber(b, o.AdmissionLevel.Amount)
		return append(b, o.AdmissionLevel.Retry)
	case ClearTable:
		return binary.AppendUvarint(b, uint64(o.Table))
	default: // Withdraw, Restore
		return appendText(b, o.Server)
	}
}

// Decode reads a delta, verifies that one of the keys signed it, and validates its operations; it applies nothing. Errors
// wrap ErrMalformed or ErrUnauthenticated.
func Decode(encoded []byte, keys Keys) (*Delta, error) {
	if len(encoded) > MaxDeltaBytes || len(encoded) < minDeltaLen || string(encoded[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: %d bytes are no delta", ErrMalformed, len(encoded))
	}
	signed := encoded[:len(encoded)-macLen]
	mac := [macLen]byte(encoded[len(encoded)-macLen:])
	body := signed[len(magic) : len(signed)-keyIDLen]
	keyID := KeyID(signed[len(signed)-keyIDLen:])
	key, valid := keys.find(keyID)
	if !valid {
		return nil, fmt.Errorf("%w: key %x is not valid here", ErrUnauthenticated, keyID)
	}
	if !equalMACs(key.mac(signed), mac) {
		return nil, fmt.Errorf("%w: the signature by key %x is wrong", ErrUnauthenticated, keyID)
	}
	d := decoder{rest: body}
	delta := d.delta()
	delta.KeyID = keyID
	if d.err == nil && len(d.rest) > 0 {
		d.fail("%d bytes are left over", len(d.rest))
	}
	if d.err != nil {
		return nil, d.err
	}
	return delta, nil
}

// decoder reads the body of a delta. After the first error, which stays in err, it returns zero values.
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

// delta reads the fields in the order of the format.
func (d *decoder) delta() *Delta {
	delta := &Delta{}
	delta.ID = d.id()
	delta.Base = d.id()
	delta.CreatedAtMs = d.uvarint()
	delta.BaseDigest = d.digest()
	delta.Digest = d.digest()
	delta.Cause = d.text(maxCauseLen)
	count := d.uvarint()
	if count > uint64(len(d.rest)) {
		d.fail("%d operations in %d bytes", count, len(d.rest))
	}
	for i := uint64(0); i < count && d.err == nil; i++ {
		delta.Ops = append(delta.Ops, d.op())
	}
	return delta
}

func (d *decoder) op() Op {
	op := Op{Kind: OpKind(d.byte())}
	switch op.Kind {
	case SetWeight:
		op.Table = d.table()
		op.Server = d.text(maxServerLen)
		op.Weight = d.number()
	case SetAdmissionLevel:
		op.Table = d.table()
		op.Classes = d.uvarint()
		op.AdmissionLevel.Amount = d.number()
		op.AdmissionLevel.Retry = d.byte()
	case ClearTable:
		op.Table = d.table()
	default:
		op.Server = d.text(maxServerLen)
	}
	if err := op.validate(); err != nil {
		d.fail("%w", err)
	}
	return op
}

func (d *decoder) id() ID {
	epoch := d.uvarint()
	number := d.uvarint()
	return ID{Epoch: epoch, Number: number}
}

func (d *decoder) digest() (digest Digest) {
	copy(digest[:], d.bytes(digestLen))
	return digest
}

// uvarint reads an unsigned LEB128 number in its shortest form: each number has one form.
func (d *decoder) uvarint() uint64 {
	number, n := binary.Uvarint(d.rest)
	isLonger := n > 1 && d.rest[n-1] == 0
	if n <= 0 || isLonger {
		d.fail("a number is cut off or too long")
		return 0
	}
	d.rest = d.rest[n:]
	return number
}

// bytes reads n bytes; nil: there are not as many.
func (d *decoder) bytes(n int) []byte {
	if n > len(d.rest) {
		d.fail("it ends %d bytes too early", n-len(d.rest))
		return nil
	}
	read := d.rest[:n]
	d.rest = d.rest[n:]
	return read
}

func (d *decoder) byte() byte {
	if read := d.bytes(1); read != nil {
		return read[0]
	}
	return 0
}

func (d *decoder) text(maxLen int) string {
	n := d.uvarint()
	if n > uint64(maxLen) {
		d.fail("a text has %d bytes, expected up to %d", n, maxLen)
		return ""
	}
	return string(d.bytes(int(n)))
}

func (d *decoder) table() uint32 {
	number := d.uvarint()
	if number > math.MaxUint32 {
		d.fail("table %d is above %d", number, uint32(math.MaxUint32))
		return 0
	}
	return uint32(number)
}

func (d *decoder) number() float64 {
	if read := d.bytes(8); read != nil {
		return math.Float64frombits(binary.BigEndian.Uint64(read))
	}
	return 0
}
