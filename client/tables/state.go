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
type Level struct {
	Amount float64 `json:"Amount"`
	Tries  uint8   `json:"Tries"`
}

// Table is one shared weighted table. It never changes: a change makes another.
type Table struct {
	Lines  map[string]float64 // weights by server, above 0
	Levels map[uint64]Level   // by mask of traffic groups

	digest Digest
}

// State is all tables and the servers that are withdrawn from them. It never changes: Apply makes another.
type State struct {
	tables    map[uint32]*Table
	withdrawn map[string]bool
	digest    Digest
}

// Kind says what an op does.
type Kind uint8

const (
	SetLine  Kind = 1 + iota // a weight; 0 takes the line out
	SetLevel                 // what is let in of a mask of groups
	Withdraw                 // a server, from all tables
	// Readmit a withdrawn server.
	Readmit
	Clear // a table, its lines and levels
)

// Op is one change of a state.
type Op struct {
	Kind   Kind    `json:"Kind"`
	Table  uint32  `json:"Table"`
	Server string  `json:"Server"`
	Weight float64 `json:"Weight"`
	Mask   uint64  `json:"Mask"`
	Level  Level   `json:"Level"`
}

const longestName = 255 // bytes of a server's id

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// check tells what is wrong with an op by itself.
func (o Op) check() error {
	named := o.Kind == SetLine || o.Kind == Withdraw || o.Kind == Readmit
	switch {
	case o.Kind < SetLine || o.Kind > Clear:
		return fmt.Errorf("op %d is none", o.Kind)
	case named && (o.Server == "" || len(o.Server) > longestName):
		return errors.New("a server's id has 1 to 255 bytes")
	case o.Kind == SetLine && !finite(o.Weight):
		return fmt.Errorf("weight %v of %s is not finite and from 0 up", o.Weight, o.Server)
	case o.Kind == SetLevel && !finite(o.Level.Amount):
		return fmt.Errorf("amount %v of table %d is not finite and from 0 up", o.Level.Amount, o.Table)
	}
	return nil
}

// Empty is the state before the first version.
func Empty() *State {
	s := &State{tables: map[uint32]*Table{}, withdrawn: map[string]bool{}}
	s.digest = s.sum()
	return s
}

// Digest is that of the canonical form.
func (s *State) Digest() Digest { return s.digest }

// IDs are the tables that hold anything, in order.
func (s *State) IDs() []uint32 { return slices.Sorted(maps.Keys(s.tables)) }

// Table gives a table; one that holds nothing is empty. The caller must not change it.
func (s *State) Table(id uint32) *Table {
	if t := s.tables[id]; t != nil {
		return t
	}
	return &Table{}
}

// Withdrawn tells whether a server is withdrawn.
func (s *State) Withdrawn(server string) bool { return s.withdrawn[server] }

// AllWithdrawn are the withdrawn servers in order.
func (s *State) AllWithdrawn() []string { return slices.Sorted(maps.Keys(s.withdrawn)) }

// Lines is how many lines all tables hold.
func (s *State) Lines() (n int) {
	for _, t := range s.tables {
		n += len(t.Lines)
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
			t = &Table{Lines: map[string]float64{}, Levels: map[uint64]Level{}}
			if was := s.tables[id]; was != nil {
				maps.Copy(t.Lines, was.Lines)
				maps.Copy(t.Levels, was.Levels)
			}
			fresh[id], next.tables[id] = t, t
		}
		return t
	}
	for i, o := range ops {
		if err := o.check(); err != nil {
			return nil, fmt.Errorf("op %d: %w", i, err)
		}
		if (o.Kind == Withdraw || o.Kind == Readmit) && !pulled {
			next.withdrawn, pulled = maps.Clone(s.withdrawn), true
		}
		switch o.Kind {
		case SetLine:
			if t := table(o.Table); o.Weight == 0 {
				delete(t.Lines, o.Server)
			} else {
				t.Lines[o.Server] = o.Weight
			}
		case SetLevel:
			table(o.Table).Levels[o.Mask] = Level{o.Level.Amount + 0, o.Level.Tries} // +0: no negative zero
		case Withdraw:
			next.withdrawn[o.Server] = true
		case Readmit:
			delete(next.withdrawn, o.Server)
		case Clear:
			t := table(o.Table)
			clear(t.Lines)
			clear(t.Levels)
		}
	}
	for id, t := range fresh {
		if len(t.Lines)+len(t.Levels) == 0 {
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
	b = binary.AppendUvarint(b, uint64(len(t.Lines)))
	for _, id := range slices.Sorted(maps.Keys(t.Lines)) {
		b = appendText(b, id)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(t.Lines[id]))
	}
	b = binary.AppendUvarint(b, uint64(len(t.Levels)))
	for _, mask := range slices.Sorted(maps.Keys(t.Levels)) {
		b = binary.AppendUvarint(b, mask)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(t.Levels[mask].Amount))
		b = append(b, t.Levels[mask].Tries)
	}
	return b
}

// sum is the digest of the whole: the tables' digests by their numbers, then the withdrawn servers.
func (s *State) sum() Digest {
	b := binary.AppendUvarint([]byte("TSSt1"), uint64(len(s.tables)))
	for _, id := range s.IDs() {
		b = binary.AppendUvarint(b, uint64(id))
		d := s.tables[id].digest
		b = append(b, d[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(s.withdrawn)))
	for _, id := range s.AllWithdrawn() {
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
	for _, id := range to.AllWithdrawn() {
		if !from.withdrawn[id] {
			ops = append(ops, Op{Kind: Withdraw, Server: id})
		}
	}
	ids := append(from.IDs(), to.IDs()...)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		a, b := from.Table(id), to.Table(id)
		if a.digest == b.digest {
			continue
		}
		if len(b.Lines)+len(b.Levels) == 0 {
			ops = append(ops, Op{Kind: Clear, Table: id})
			continue
		}
		for mask := range a.Levels {
			if _, stays := b.Levels[mask]; !stays { // a level can't be taken out alone
				ops = append(ops, Op{Kind: Clear, Table: id})
				a = &Table{}
				break
			}
		}
		names := slices.AppendSeq(slices.Collect(maps.Keys(a.Lines)), maps.Keys(b.Lines))
		slices.Sort(names)
		for _, n := range slices.Compact(names) {
			if a.Lines[n] != b.Lines[n] {
				ops = append(ops, Op{Kind: SetLine, Table: id, Server: n, Weight: b.Lines[n]})
			}
		}
		for _, mask := range slices.Sorted(maps.Keys(b.Levels)) {
			if was, stands := a.Levels[mask]; !stands || was != b.Levels[mask] {
				ops = append(ops, Op{Kind: SetLevel, Table: id, Mask: mask, Level: b.Levels[mask]})
			}
		}
	}
	for _, id := range from.AllWithdrawn() {
		if !to.withdrawn[id] {
			ops = append(ops, Op{Kind: Readmit, Server: id})
		}
	}
	return ops
}
