package tables

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/zeebo/blake3"
)

// ID is a version's place: numbers count within an epoch, and a later epoch is another writer's.
type ID struct {
	Epoch  uint64 `json:"Epoch"`
	Number uint64 `json:"Number"`
}

// String is EPOCH.NUMBER.
func (id ID) String() string { return fmt.Sprintf("%d.%d", id.Epoch, id.Number) }

// Before tells whether a version is older than another.
func (id ID) Before(other ID) bool {
	return id.Epoch < other.Epoch || id.Epoch == other.Epoch && id.Number < other.Number
}

// Delta leads from one state to the next. A whole one leads from the empty state.
type Delta struct {
	ID          ID
	Base        ID // of a whole one: zero
	BaseDigest  Digest
	Digest      Digest
	CreatedAtMs uint64 // Unix milliseconds
	Cause       string
	Ops         []Op
	KeyID       KeyID
}

// Whole tells whether it leads from the empty state.
func (d *Delta) IsSnapshot() bool { return d.Base == ID{} }

// KeyID names a key without telling it.
type KeyID [4]byte

// Key authenticates deltas: 32 secret bytes.
type Key struct {
	ID     KeyID
	secret [32]byte
}

// NewKey makes a key of 32 secret bytes; its name is the head of their digest.
func NewKey(secret []byte) (Key, error) {
	if len(secret) != 32 {
		return Key{}, fmt.Errorf("a key has 32 bytes, not %d", len(secret))
	}
	k := Key{secret: [32]byte(secret)}
	sum := blake3.Sum256(append([]byte("TSKey1"), secret...))
	k.ID = KeyID(sum[:4])
	return k, nil
}

// mac is BLAKE3 keyed over all that goes before it.
func (k Key) mac(b []byte) (sum [32]byte) {
	h, err := blake3.NewKeyed(k.secret[:])
	if err != nil {
		panic(err) // the length is right by type
	}
	h.Write(b)
	h.Sum(sum[:0])
	return sum
}

// Keys are those that are valid, the one that signs first. Two are valid at once while one is turned over.
type Keys []Key

func (k Keys) find(id KeyID) (Key, bool) {
	for _, one := range k {
		if one.ID == id {
			return one, true
		}
	}
	return Key{}, false
}

// Longest is the most bytes of an encoded delta.
const MaxDeltaBytes = 16 << 20

// Errors of Decode. Each is wrapped with what was found.
var (
	ErrMalformed       = errors.New("spoilt")
	ErrUnauthenticated = errors.New("not authentic")
)

const magic = "TSD1"

// Encode writes a delta, signed by the first key.
func (d *Delta) Encode(keys Keys) ([]byte, error) {
	if len(keys) == 0 {
		return nil, errors.New("no key to sign with")
	}
	b := append(make([]byte, 0, 160+len(d.Ops)*24), magic...)
	for _, n := range []uint64{d.ID.Epoch, d.ID.Number, d.Base.Epoch, d.Base.Number, d.CreatedAtMs} {
		b = binary.AppendUvarint(b, n)
	}
	b = append(append(b, d.BaseDigest[:]...), d.Digest[:]...)
	b = appendText(b, d.Cause)
	b = binary.AppendUvarint(b, uint64(len(d.Ops)))
	for _, o := range d.Ops {
		b = append(b, byte(o.Kind))
		switch o.Kind {
		case SetWeight:
			b = appendText(binary.AppendUvarint(b, uint64(o.Table)), o.Server)
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(o.Weight))
		case SetAdmissionLevel:
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(o.Table)), o.Classes)
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(o.AdmissionLevel.Amount))
			b = append(b, o.AdmissionLevel.Retry)
		case ClearTable:
			b = binary.AppendUvarint(b, uint64(o.Table))
		default:
			b = appendText(b, o.Server)
		}
	}
	b = append(b, keys[0].ID[:]...)
	sum := keys[0].mac(b)
	if b = append(b, sum[:]...); len(b) > MaxDeltaBytes {
		return nil, fmt.Errorf("a delta of %d bytes is longer than %d", len(b), MaxDeltaBytes)
	}
	return b, nil
}

// reader takes an encoded delta apart; the first thing wrong stays in err.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", ErrMalformed, what)
	}
	r.b = nil
}

func (r *reader) number() uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 || n > 1 && r.b[n-1] == 0 { // one form for each number
		r.fail("a number is cut off or too long")
		return 0
	}
	r.b = r.b[n:]
	return x
}

func (r *reader) bytes(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.fail("it ends too early")
		return make([]byte, max(0, min(n, 64)))
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) text(most int) string {
	n := r.number()
	if n > uint64(most) {
		r.fail("a text is too long")
		return ""
	}
	return string(r.bytes(int(n)))
}

func (r *reader) table() uint32 {
	n := r.number()
	if n > math.MaxUint32 {
		r.fail("a table's number is too high")
	}
	return uint32(n)
}

func (r *reader) figure() float64 { return math.Float64frombits(binary.BigEndian.Uint64(r.bytes(8))) }

// Decode reads a delta and checks its form and its authentication; nothing of it is applied.
func Decode(b []byte, keys Keys) (*Delta, error) {
	const tail = 4 + 32
	if len(b) > MaxDeltaBytes || len(b) < len(magic)+5+64+2+tail || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: %d bytes are no delta", ErrMalformed, len(b))
	}
	body, sum := b[:len(b)-32], [32]byte(b[len(b)-32:])
	id := KeyID(body[len(body)-4:])
	key, known := keys.find(id)
	if !known {
		return nil, fmt.Errorf("%w: key %x is not valid here", ErrUnauthenticated, id)
	}
	if mac := key.mac(body); !equal(mac, sum) {
		return nil, fmt.Errorf("%w: the sum by key %x is wrong", ErrUnauthenticated, id)
	}
	r := &reader{b: body[len(magic) : len(body)-4]}
	d := &Delta{KeyID: id}
	d.ID = ID{r.number(), r.number()}
	d.Base = ID{r.number(), r.number()}
	d.CreatedAtMs = r.number()
	d.BaseDigest, d.Digest = Digest(r.bytes(32)), Digest(r.bytes(32))
	d.Cause = r.text(4096)
	n := r.number()
	if n > uint64(len(r.b)) {
		r.fail("more ops than bytes")
	}
	for i := uint64(0); i < n && r.err == nil; i++ {
		o := Op{Kind: OpKind(r.bytes(1)[0])}
		switch o.Kind {
		case SetWeight:
			o.Table, o.Server, o.Weight = r.table(), r.text(longestName), r.figure()
		case SetAdmissionLevel:
			o.Table, o.Classes = r.table(), r.number()
			o.AdmissionLevel.Amount = r.figure()
			o.AdmissionLevel.Retry = r.bytes(1)[0]
		case ClearTable:
			o.Table = r.table()
		default:
			o.Server = r.text(longestName)
		}
		if err := o.check(); err != nil {
			r.fail(err.Error())
		}
		d.Ops = append(d.Ops, o)
	}
	if r.err == nil && len(r.b) > 0 {
		r.fail("bytes are left over")
	}
	if r.err != nil {
		return nil, r.err
	}
	return d, nil
}

// equal compares in a time that does not depend on where the first difference is.
func equal(a, b [32]byte) bool {
	diff := byte(0)
	for i := range a {
		diff |= a[i] ^ b[i]
	}
	return diff == 0
}

// Sum proves that this key was at hand: BLAKE3 keyed over what is given.
func (k Key) Sign(b []byte) [32]byte { return k.mac(append([]byte("TSSum1"), b...)) }

// Check tells whether a sum is that of the key named, if it is valid.
func (k Keys) Verify(id KeyID, b []byte, sum [32]byte) bool {
	key, known := k.find(id)
	return known && equal(key.Sign(b), sum)
}
