// Package tables implements versioned tables: the state that a manager distributes to its proxies, its canonical form and
// digest, the authenticated deltas between versions, and a Replica that users embed in a relay or proxy.
// docs/tables-format.md specifies the encoding. The package does no I/O, does not read the clock and starts no goroutines.
// A version is applied completely or not at all.
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

// String returns the first six bytes in hex, a short form for logs and messages.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:6]) }

// Domain separation prefixes of hashed content: different kinds of content never have the same digest.
const (
	tableDomain = "TSTb1"
	stateDomain = "TSSt1"
)

// AdmissionLevel defines how many requests of a set of traffic classes a table admits, and how a proxy retries them.
type AdmissionLevel struct {
	Amount float64 `json:"Amount"` // a fraction of the requests, up to 1, or a request rate
	Retry  uint8   `json:"Tries"`  // number of the retry policy
}

// Table holds the server weights and admission levels of one table. It is immutable, since each change makes a new Table,
// and so it is safe for concurrent use.
type Table struct {
	Weights         map[string]float64        // by server ID; all above 0
	AdmissionLevels map[uint64]AdmissionLevel // by bit mask of traffic classes

	digest Digest
}

func (t *Table) isEmpty() bool { return len(t.Weights)+len(t.AdmissionLevels) == 0 }

// appendCanonical appends the canonical form: the weights sorted by server, then the admission levels sorted by bit mask.
func (t *Table) appendCanonical(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(t.Weights)))
	for _, server := range slices.Sorted(maps.Keys(t.Weights)) {
		b = appendString(b, server)
		b = appendFloat64(b, t.Weights[server])
	}
	b = binary.AppendUvarint(b, uint64(len(t.AdmissionLevels)))
	for _, classes := range slices.Sorted(maps.Keys(t.AdmissionLevels)) {
		level := t.AdmissionLevels[classes]
		b = binary.AppendUvarint(b, classes)
		b = appendFloat64(b, level.Amount)
		b = append(b, level.Retry)
	}
	return b
}

func appendString(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func appendFloat64(b []byte, number float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(number))
}

// State holds all tables and the servers that are withdrawn from them. It is immutable, since Apply makes a new State, and
// so it is safe for concurrent use.
type State struct {
	tables    map[uint32]*Table
	withdrawn map[string]bool
	digest    Digest
}

// EmptyState returns the state before the first version: no tables and no withdrawn servers.
func EmptyState() *State {
	s := &State{tables: map[uint32]*Table{}, withdrawn: map[string]bool{}}
	s.digest = s.computeDigest()
	return s
}

// computeDigest hashes the IDs and digests of the tables, sorted by ID, then the withdrawn servers.
func (s *State) computeDigest() Digest {
	b := binary.AppendUvarint([]byte(stateDomain), uint64(len(s.tables)))
	for _, id := range s.TableIDs() {
		b = binary.AppendUvarint(b, uint64(id))
		b = append(b, s.tables[id].digest[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(s.withdrawn)))
	for _, server := range s.WithdrawnServers() {
		b = appendString(b, server)
	}
	return blake3.Sum256(b)
}

// Digest returns the digest of the state's canonical form.
func (s *State) Digest() Digest { return s.digest }

// TableIDs returns the IDs of the tables that are not empty, sorted.
func (s *State) TableIDs() []uint32 { return slices.Sorted(maps.Keys(s.tables)) }

// Table returns the table with the given ID, or an empty table if there is none. The caller must not change it.
func (s *State) Table(id uint32) *Table {
	if table := s.tables[id]; table != nil {
		return table
	}
	return &Table{}
}

// IsWithdrawn reports whether a server is withdrawn.
func (s *State) IsWithdrawn(server string) bool { return s.withdrawn[server] }

// WithdrawnServers returns the IDs of the withdrawn servers, sorted.
func (s *State) WithdrawnServers() []string { return slices.Sorted(maps.Keys(s.withdrawn)) }

// WeightCount returns the number of weights in all tables together.
func (s *State) WeightCount() int {
	count := 0
	for _, table := range s.tables {
		count += len(table.Weights)
	}
	return count
}
