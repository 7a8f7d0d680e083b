package capacity

import "testing"

func TestManagerWithStoredListReadsOnlyChanges(t *testing.T) {
	p := smallPlan(t)
	withoutStore := situation(t, p, "all managers restart")
	p.Managers.ListStored = true
	withStore := situation(t, p, "all managers restart")
	missed := p.busyHourEntries() / 3600 * 19 // entries in the window of 19 s
	assertNear(t, "entries missed", withStore.MissedEntries, missed)
	m := NewModel(p, exampleSlopes(t))
	counts := p.normalServerCounts(WholeList)
	changeBytes := m.listChangeBytes(listChanges{messages: 1, entries: max(1, missed)}).Value
	assertNear(t, "bytes of the list", m.listBytes(withStore, counts).Value, changeBytes/19)
	assertNear(t, "bytes of a complete list", m.listBytes(withoutStore, counts).Value, m.openingBytes(counts).Value/19)
	if changeBytes >= m.openingBytes(counts).Value {
		t.Errorf("got %g bytes of changes, want less than the %g bytes of a complete list", changeBytes, m.openingBytes(counts).Value)
	}
	if m := mechanismFor(Manager, BytesWithoutCollectors, withStore); m.Status != Implemented || m.Name != "snapshot" {
		t.Errorf("with stored lists: got mechanism %+v, want the implemented snapshot", m)
	}
	if m := mechanismFor(Manager, BytesWithoutCollectors, withoutStore); m.Status != PartlyImplemented || m.Name != "snapshot" {
		t.Errorf("without stored lists: got mechanism %+v, want the partly implemented snapshot", m)
	}
	controlWithStore := m.Load(ControlMachine, withStore, WholeList)
	controlWithoutStore := m.Load(ControlMachine, withoutStore, WholeList)
	if controlWithStore.BytesOut.Value >= controlWithoutStore.BytesOut.Value {
		t.Errorf("a control machine sends %g bytes per second with stored lists, want less than the %g without",
			controlWithStore.BytesOut.Value, controlWithoutStore.BytesOut.Value)
	}
}
