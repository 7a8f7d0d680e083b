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

// goldenRatioStep is 2^64 divided by the golden ratio. The multiples of consecutive numbers are a low-discrepancy
// sequence (Kronecker sequence): they are spread evenly over the ring, however many there are.
const goldenRatioStep = 0x9E3779B97F4A7C15

// position returns the position of a name on the ring: the first 8 bytes of its BLAKE3 hash, the same on every machine.
func position(text string) uint64 {
	sum := blake3.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:8])
}

// managerPosition returns the position of a manager. Names that differ only in a number at their end are spread evenly,
// so that each server is in about the same number of subsets. Names without a number are spread by their hash alone.
func managerPosition(name string) uint64 {
	prefix := strings.TrimRight(name, "0123456789")
	number, err := strconv.ParseUint(name[len(prefix):], 10, 64)
	if err != nil {
		return position(name)
	}
	return position(prefix) + number*goldenRatioStep
}

// ring holds the listed servers sorted by their distance from the manager.
type ring struct {
	origin  uint64 // the manager's position
	records []*record
}

// newRing returns the empty ring of a manager.
func newRing(manager string) ring { return ring{origin: managerPosition(manager)} }

// distance returns how far a server is from the manager in ascending ring order; the subtraction wraps around the ring.
func (r *ring) distance(id balancer.ServerID) uint64 { return position(string(id)) - r.origin }

// compare orders records by distance, then by server id.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.distance, other.distance), cmp.Compare(r.server.Server, other.server.Server))
}

// insert adds a record at its sorted index unless it is on the ring already.
func (r *ring) insert(rec *record) {
	if rec.onRing {
		return
	}
	index, _ := slices.BinarySearchFunc(r.records, rec, (*record).compare)
	r.records = slices.Insert(r.records, index, rec)
	rec.onRing = true
}

// remove takes a record off the ring.
func (r *ring) remove(rec *record) {
	if index, found := slices.BinarySearchFunc(r.records, rec, (*record).compare); found {
		r.records = slices.Delete(r.records, index, index+1)
	}
	rec.onRing = false
}

// rebuild replaces the contents of the ring with the given records.
func (r *ring) rebuild(records map[balancer.ServerID]*record) {
	r.records = make([]*record, 0, len(records))
	for _, rec := range records {
		rec.onRing = true
		r.records = append(r.records, rec)
	}
	slices.SortFunc(r.records, (*record).compare)
}

// between returns the records that exactly one of two limits covers.
func (r *ring) between(a, b limit) []*record {
	from := r.coveredCount(a)
	to := r.coveredCount(b)
	return r.records[min(from, to):max(from, to)]
}

// coveredCount returns how many records a limit covers.
func (r *ring) coveredCount(l limit) int {
	index, _ := slices.BinarySearchFunc(r.records, l, func(rec *record, l limit) int {
		if l.covers(rec.distance) {
			return -1
		}
		return 1
	})
	return index
}

// limit is the distance from the manager below which servers are selected.
type limit struct {
	all   bool   // selects every server
	below uint64 // exclusive upper bound of the distance; ignored if all is set
}

// Bounds of the number of selected servers relative to the desired number. The numbers differ because the servers are
// unevenly spaced on the ring.
const (
	minSizeRatio = 0.8
	maxSizeRatio = 1.25
)

// limitFor returns the limit that selects about the desired number of foreign servers; servers is the number of all
// foreign servers. The limit is a fixed fraction of the ring, so that each server is in about the same number of subsets,
// unless that fraction selects fewer servers than minSizeRatio or more than maxSizeRatio allows.
func (r *ring) limitFor(desired float64, servers int, isForeign func(*record) bool) limit {
	fraction := desired / max(1, float64(servers))
	if fraction >= 1 {
		return limit{all: true}
	}
	below := uint64(fraction * math.MaxUint64)
	minServers := int(math.Ceil(minSizeRatio * desired))
	maxServers := int(maxSizeRatio * desired)
	seen := 0
	for _, rec := range r.records {
		if !isForeign(rec) {
			continue
		}
		seen++
		if seen > maxServers && rec.distance < below {
			return limit{below: rec.distance}
		}
		if rec.distance >= below {
			if seen > minServers {
				break
			}
			below = rec.distance + 1
		}
	}
	return limit{below: below}
}

// covers reports whether a server at this distance is selected.
func (l limit) covers(distance uint64) bool { return l.all || distance < l.below }
