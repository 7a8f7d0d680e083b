package subset

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"

	"tamarindshore/balancer"
)

// goldenStep is 2^64 divided by the golden ratio. Its multiples are spread evenly over the ring, however many there are:
// consecutive numbers make a sequence of low discrepancy (Kronecker).
const goldenStep = 0x9E3779B97F4A7C15

// position is the place of a text on the ring: the first 8 bytes of its BLAKE3 hash, the same on every machine.
func position(text string) uint64 {
	sum := blake3.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:8])
}

// managerPosition is the place of a manager. Names that differ in a number at their end are spread evenly, so that each
// server is in as many subsets as any other; names without a number are spread by their hash alone.
func managerPosition(name string) uint64 {
	prefix := strings.TrimRight(name, "0123456789")
	number, err := strconv.ParseUint(name[len(prefix):], 10, 64)
	if err != nil {
		return position(name)
	}
	return position(prefix) + number*goldenStep
}

// ring holds the listed servers in the order of their distance from the manager.
type ring struct {
	origin  uint64 // the manager's position
	records []*record
}

// newRing makes an empty ring of a manager.
func newRing(manager string) ring { return ring{origin: managerPosition(manager)} }

// distance is how far a server lies behind the manager, once round.
func (r *ring) distance(id balancer.ServerID) uint64 { return position(string(id)) - r.origin }

// compare orders records by distance.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.distance, other.distance), cmp.Compare(r.server.Server, other.server.Server))
}

// insert adds a record in its place, once.
func (r *ring) insert(one *record) {
	if one.onRing {
		return
	}
	at, _ := slices.BinarySearchFunc(r.records, one, (*record).compare)
	r.records = slices.Insert(r.records, at, one)
	one.onRing = true
}

// remove takes a record off.
func (r *ring) remove(one *record) {
	if at, found := slices.BinarySearchFunc(r.records, one, (*record).compare); found {
		r.records = slices.Delete(r.records, at, at+1)
	}
	one.onRing = false
}

// rebuild takes over all records at once.
func (r *ring) rebuild(records map[balancer.ServerID]*record) {
	r.records = make([]*record, 0, len(records))
	for _, one := range records {
		one.onRing = true
		r.records = append(r.records, one)
	}
	slices.SortFunc(r.records, (*record).compare)
}

// between are the records that one of two limits covers and the other does not.
func (r *ring) between(a, b limit) []*record {
	from := r.coveredCount(a)
	to := r.coveredCount(b)
	return r.records[min(from, to):max(from, to)]
}

// covered is how many records a limit covers.
func (r *ring) coveredCount(l limit) int {
	at, _ := slices.BinarySearchFunc(r.records, l, func(one *record, l limit) int {
		if l.covers(one.distance) {
			return -1
		}
		return 1
	})
	return at
}

// limit is the distance up to which servers are selected.
type limit struct {
	all   bool
	below uint64 // without all: distances under it
}

// The sizes of subsets, against the number that is wanted: servers lie unevenly on the ring.
const (
	minSizeRatio = 0.8
	maxSizeRatio = 1.25
)

// limitFor is the limit that selects about as many foreign servers as wanted, of all that there are. It is a fixed part
// of the ring, so that each server is in about as many subsets as any other, but where that selects far fewer or more.
func (r *ring) limitFor(wanted float64, servers int, isForeign func(*record) bool) limit {
	fraction := wanted / max(1, float64(servers))
	if fraction >= 1 {
		return limit{all: true}
	}
	below := uint64(fraction * math.MaxUint64)
	least := int(math.Ceil(minSizeRatio * wanted))
	most := int(maxSizeRatio * wanted)
	passed := 0
	for _, one := range r.records {
		if !isForeign(one) {
			continue
		}
		passed++
		if passed > most && one.distance < below {
			return limit{below: one.distance}
		}
		if one.distance >= below {
			if passed > least {
				break
			}
			below = one.distance + 1
		}
	}
	return limit{below: below}
}

// covers tells whether a server at a distance is selected.
func (l limit) covers(distance uint64) bool { return l.all || distance < l.below }
