package capacity

import "tamarindshore/internal/scale"

// listChanges describes the changes of the list that one manager receives within a situation's window.
type listChanges struct {
	messages float64
	entries  float64 // per message
}

// listChanges returns the messages for a share of the changes in a situation. Entries that change together are sent in
// one message, and so is everything that a manager missed.
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

// listChangeBytes returns the bytes of list changes on the wire.
func (m *Model) listChangeBytes(c listChanges) Figure {
	if c.messages == 0 {
		return known(0)
	}
	source := m.Costs.AtOrAssumed(scale.BytesOfListChange, Sizes{scale.RestartsAtOnce: c.entries}, c.entries*m.Plan.Messages.ListEntry)
	return m.recordSource(source).times(c.messages)
}

// listChangeCore returns the processor time of a manager for one message of list changes. A message with more entries
// than were measured costs at most as much as an opening, which reads all entries that the manager holds.
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
