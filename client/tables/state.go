// Package tables holds versioned tables: the state that a manager gives its proxies, its canonical form and digest,
// the deltas between versions with their authentication, and a Holder that users embed in a relay or proxy. docs/
// tables-format.md specifies the bytes. The package does no I/O, keeps no clock and starts no goroutine; it must never
// apply a part of a version.
package tables

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/blake3"
)

// Digest names a state by its content: BLAKE3-256 of its canonical form.
type Digest [32]byte

// String is the first six bytes in hex, for people.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:6]) }

// Level is what a table lets in of some traffic groups: a share or a rate, and how a proxy tries again.
type AdmissionLevel struct {
	Amount float64 `json:"Amount"`
	Retry  uint8   `json:"Tries"`
}

// Table is one shared weighted table. It never changes: a change makes another.
type Table struct {
	Weights         map[string]float64        // weights by server, above 0
	AdmissionLevels map[uint64]AdmissionLevel // by mask of traffic groups

	digest Digest
}

// State is all tables and the servers that are withdrawn from them. It never changes: Apply makes another.
type State struct {
	tables    map[uint32]*Table
	withdrawn map[string]bool
	digest    Digest
}

// Kind says what an op does.
type OpKind uint8

const (
	SetWeight         OpKind = 1 + iota // a weight; 0 takes the line out
	SetAdmissionLevel                   // what is let in of a mask of groups
	Withdraw                            // a server, from all tables
	// Readmit a withdrawn server.
	Restore
	ClearTable // a table, its lines and levels
)

// Op is one change of a state.
type Op struct {
	Kind           OpKind         `json:"Kind"`
	Table          uint32         `json:"Table"`
	Server         string         `json:"Server"`
	Weight         float64        `json:"Weight"`
	Classes        uint64         `json:"Mask"`
	AdmissionLevel AdmissionLevel `json:"Level"`
}

const longestName = 255 // bytes of a server's id

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// check tells what is wrong with an op by itself.
func (o Op) check() error {
	named := o.Kind == SetWeight || o.Kind == Withdraw || o.Kind == Restore
	switch {
	case o.Kind < SetWeight || o.Kind > ClearTable:
		return fmt.Errorf("op %d is none", o.Kind)
	case named && (o.Server == "" || len(o.Server) > longestName):
		return errors.New("a server's id has 1 to 255 bytes")
	case o.Kind == SetWeight && !finite(o.Weight):
		return fmt.Errorf("weight %v of %s is not finite and from 0 up", o.Weight, o.Server)
	case o.Kind == SetAdmissionLevel && !finite(o.AdmissionLevel.Amount):
		return fmt.Errorf("amount %v of table %d is not finite and from 0 up", o.AdmissionLevel.Amount, o.Table)
	}
	return nil
}

// Empty is the state before the first version.
func EmptyState() *State {
	s := &State{tables: map[uint32]*Table{}, withdrawn: map[string]bool{}}
	s.digest = s.sum()
	return s
}

// Digest is that of the canonical form.
func (s *State) Digest() Digest { return s.digest }

// IDs are the tables that hold anything, in order.
func (s *State) TableIDs() []uint32 { return slices.Sorted(maps.Keys(s.tables)) }

// Table gives a table; one that holds nothing is empty. The caller must not change it.
func (s *State) Table(id uint32) *Table {
	if t := s.tables[id]; t != nil {
		return t
	}
	return &Table{}
}

// Withdrawn tells whether a server is withdrawn.
func (s *State) IsWithdrawn(server string) bool { return s.withdrawn[server] }

// AllWithdrawn are the withdrawn servers in order.
func (s *State) WithdrawnServers() []string { return slices.Sorted(maps.Keys(s.withdrawn)) }

// Lines is how many lines all tables hold.
func (s *State) WeightCount() (n int) {
	for _, t := range s.tables {
		n += len(t.Weights)
	}
	return n
}

// Apply makes the state that ops, one after another, come to: all of them, or an error and nothing.
func (s *State) Apply(ops []Op) (*State, error) {
	next := &State{tables: maps.Clone(s.tables), withdrawn: s.withdrawn}
	fresh, pulled := map[uint32]*Table{}, false
	table := func(id uint32) *Table {
		t := fresh[id]
		if t == nil {
			t = &Table{Weights: map[string]float64{}, AdmissionLevels: map[uint64]AdmissionLevel{}}
			if was := s.tables[id]; was != nil {
				maps.Copy(t.Weights, was.Weights)
				maps.Copy(t.AdmissionLevels, was.AdmissionLevels)
			}
			fresh[id], next.tables[id] = t, t
		}
		return t
	}
	for i, o := range ops {
		if err := o.check(); err != nil {
			return nil, fmt.Errorf("op %d: %w", i, err)
		}
		if (o.Kind == Withdraw || o.Kind == Restore) && !pulled {
			next.withdrawn, pulled = maps.Clone(s.withdrawn), true
		}
		switch o.Kind {
		case SetWeight:
			if t := table(o.Table); o.Weight == 0 {
				delete(t.Weights, o.Server)
			} else {
				t.Weights[o.Server] = o.Weight
			}
		case SetAdmissionLevel:
			table(o.Table).AdmissionLevels[o.Classes] = AdmissionLevel{o.AdmissionLevel.Amount + 0, o.AdmissionLevel.Retry} // +0: no negative zero
		case Withdraw:
			next.withdrawn[o.Server] = true
		case Restore:
			delete(next.withdrawn, o.Server)
		case ClearTable:
			t := table(o.Table)
			clear(t.Weights)
			clear(t.AdmissionLevels)
		}
	}
	for id, t := range fresh {
		if len(t.Weights)+len(t.AdmissionLevels) == 0 {
			delete(next.tables, id)
			continue
		}
		t.digest = Digest(blake3.Sum256(t.canonical([]byte("TSTb1"))))
	}
	next.digest = next.sum()
	return next, nil
}

// canonical appends a table's form: lines by server, levels by mask.
func (t *Table) canonical(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(t.Weights)))
	for _, id := range slices.Sorted(maps.Keys(t.Weights)) {
		b = appendText(b, id)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(t.Weights[id]))
	}
	b = binary.AppendUvarint(b, uint64(len(t.AdmissionLevels)))
	for _, mask := range slices.Sorted(maps.Keys(t.AdmissionLevels)) {
		b = binary.AppendUvarint(b, mask)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(t.AdmissionLevels[mask].Amount))
		b = append(b, t.AdmissionLevels[mask].Retry)
	}
	return b
}

// sum is the digest of the whole: the tables' digests by their numbers, then the withdrawn servers.
func (s *State) sum() Digest {
	b := binary.AppendUvarint([]byte("TSSt1"), uint64(len(s.tables)))
	for _, id := range s.TableIDs() {
		b = binary.AppendUvarint(b, uint64(id))
		d := s.tables[id].digest
		b = append(b, d[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(s.withdrawn)))
	for _, id := range s.WithdrawnServers() {
		b = appendText(b, id)
	}
	return blake3.Sum256(b)
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// Diff is the ops, in a fixed order, that make one state of another: withdrawals first, then lines and levels by
// table, then readmissions.
func Diff(from, to *State) (ops []Op) {
	for _, id := range to.WithdrawnServers() {
		if !from.withdrawn[id] {
			ops = append(ops, Op{Kind: Withdraw, Server: id})
		}
	}
	ids := append(from.TableIDs(), to.TableIDs()...)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		a, b := from.Table(id), to.Table(id)
		if a.digest == b.digest {
			continue
		}
		if len(b.Weights)+len(b.AdmissionLevels) == 0 {
			ops = append(ops, Op{Kind: ClearTable, Table: id})
			continue
		}
		for mask := range a.AdmissionLevels {
			if _, stays := b.AdmissionLevels[mask]; !stays { // a level can't be taken out alone
				ops = append(ops, Op{Kind: ClearTable, Table: id})
				a = &Table{}
				break
			}
		}
		names := slices.AppendSeq(slices.Collect(maps.Keys(a.Weights)), maps.Keys(b.Weights))
		slices.Sort(names)
		for _, n := range slices.Compact(names) {
			if a.Weights[n] != b.Weights[n] {
				ops = append(ops, Op{Kind: SetWeight, Table: id, Server: n, Weight: b.Weights[n]})
			}
		}
		for _, mask := range slices.Sorted(maps.Keys(b.AdmissionLevels)) {
			if was, stands := a.AdmissionLevels[mask]; !stands || was != b.AdmissionLevels[mask] {
				ops = append(ops, Op{Kind: SetAdmissionLevel, Table: id, Classes: mask, AdmissionLevel: b.AdmissionLevels[mask]})
			}
		}
	}
	for _, id := range from.WithdrawnServers() {
		if !to.withdrawn[id] {
			ops = append(ops, Op{Kind: Restore, Server: id})
		}
	}
	return ops
}
