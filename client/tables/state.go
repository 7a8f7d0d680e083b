// Package tables holds versioned tables: the state that a manager gives its proxies, its canonical form and digest, the
// authenticated deltas between versions, and a Replica that users embed in a relay or proxy. docs/tables-format.md
// specifies the bytes. The package does no I/O, reads no clock and starts no goroutine. It never applies a part of a
// version.
package tables

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/blake3"
)

// Digest identifies a state by its content: BLAKE3-256 of its canonical form.
type Digest [32]byte

// String returns the first six bytes in hex, for people.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:6]) }

// Prefixes of what is hashed, so that no two kinds of content have the same digest.
const (
	tableDomain = "TSTb1"
	stateDomain = "TSSt1"
)

// AdmissionLevel is how many requests of some traffic classes a table admits, and how a proxy retries them.
type AdmissionLevel struct {
	Amount float64 `json:"Amount"` // a share up to 1, or a rate
	Retry  uint8   `json:"Tries"`  // retry policy
}

// Table is one weighted table. It never changes: a change makes another, so it is safe for use by several goroutines.
type Table struct {
	Weights         map[string]float64        // by server, above 0
	AdmissionLevels map[uint64]AdmissionLevel // by mask of traffic classes

	digest Digest
}

func (t *Table) isEmpty() bool { return len(t.Weights)+len(t.AdmissionLevels) == 0 }

// appendCanonical appends the canonical form: weights by server, admission levels by mask.
func (t *Table) appendCanonical(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(t.Weights)))
	for _, server := range slices.Sorted(maps.Keys(t.Weights)) {
		b = appendText(b, server)
		b = appendNumber(b, t.Weights[server])
	}
	b = binary.AppendUvarint(b, uint64(len(t.AdmissionLevels)))
	for _, classes := range slices.Sorted(maps.Keys(t.AdmissionLevels)) {
		level := t.AdmissionLevels[classes]
		b = binary.AppendUvarint(b, classes)
		b = appendNumber(b, level.Amount)
		b = append(b, level.Retry)
	}
	return b
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func appendNumber(b []byte, number float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(number))
}

// State is all tables, and the servers that are withdrawn from them. It never changes: Apply makes another, so it is safe
// for use by several goroutines.
type State struct {
	tables    map[uint32]*Table
	withdrawn map[string]bool
	digest    Digest
}

// EmptyState returns the state before the first version.
func EmptyState() *State {
	s := &State{tables: map[uint32]*Table{}, withdrawn: map[string]bool{}}
	s.digest = s.computeDigest()
	return s
}

// computeDigest hashes the tables' digests by their numbers, then the withdrawn servers.
func (s *State) computeDigest() Digest {
	b := binary.AppendUvarint([]byte(stateDomain), uint64(len(s.tables)))
	for _, id := range s.TableIDs() {
		b = binary.AppendUvarint(b, uint64(id))
		b = append(b, s.tables[id].digest[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(s.withdrawn)))
	for _, server := range s.WithdrawnServers() {
		b = appendText(b, server)
	}
	return blake3.Sum256(b)
}

// Digest returns the digest of the canonical form.
func (s *State) Digest() Digest { return s.digest }

// TableIDs returns the numbers of the tables that hold anything, sorted.
func (s *State) TableIDs() []uint32 { return slices.Sorted(maps.Keys(s.tables)) }

// Table returns a table; one that holds nothing is empty. The caller must not change it.
func (s *State) Table(id uint32) *Table {
	if table := s.tables[id]; table != nil {
		return table
	}
	return &Table{}
}

// IsWithdrawn tells whether a server is withdrawn.
func (s *State) IsWithdrawn(server string) bool { return s.withdrawn[server] }

// WithdrawnServers returns the withdrawn servers, sorted.
func (s *State) WithdrawnServers() []string { return slices.Sorted(maps.Keys(s.withdrawn)) }

// WeightCount returns how many weights all tables hold.
func (s *State) WeightCount() int {
	count := 0
	for _, table := range s.tables {
		count += len(table.Weights)
	}
	return count
}
