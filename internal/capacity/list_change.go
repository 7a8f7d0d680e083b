package capacity

import "tamarindshore/internal/scale"

// listChanges are changes of the list as they reach one reader, within a situation's window: messages of some entries each.
type listChanges struct {
	messages float64
	entries  float64 // of each line
}

// listChanges is what a part of a situation's changes comes to. Entries that change together are in one message, as is
// all that a reader missed.
func (p Plan) listChanges(s Situation, share float64) listChanges {
	if s.MissedEntries > 0 {
		return listChanges{1, max(1, s.MissedEntries*share)}
	}
	entries := s.ListChanges * share
	if entries == 0 {
		return listChanges{}
	}
	messages := min(s.ListChanges/float64(p.Day.Batch), entries)
	return listChanges{messages, entries / messages}
}

// listChangeBytes is what changes of the list come to on the wire.
func (m *Model) listChangeBytes(c listChanges) Figure {
	if c.messages == 0 {
		return known(0)
	}
	source := m.Costs.OrPlan(scale.BytesOfListChange, Sizes{scale.RestartsAtOnce: c.entries}, c.entries*m.Plan.Messages.ListEntry)
	return m.recordSource(source).times(c.messages)
}

// listChangeCore is what one message of changes costs a manager. One of more entries than were measured is counted as no
// dearer than an opening, which takes all entries that the manager holds.
func (m *Model) listChangeCore(counts serverCounts, entries float64) Figure {
	sizes := m.managerSizes(counts)
	sizes[scale.RestartsAtOnce] = entries
	change := m.cost(scale.CPUPerListChange, sizes)
	measured, found := m.Costs.report.Find(scale.CPUPerListChange, scale.RestartsAtOnce)
	if !found || entries <= measured.LargestSize() {
		return change
	}
	if opening := m.cost(scale.CPUPerOpening, m.openingSizes(counts)); opening.Known && opening.Value < change.Value {
		return opening
	}
	return change
}
