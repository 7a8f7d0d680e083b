package capacity

import "testing"

func TestManagerWithStoredListReadsOnlyChanges(t *testing.T) {
	p := smallPlan(t)
	whole := situation(t, p, "all managers restart")
	p.Managers.ListStored = true
	stored := situation(t, p, "all managers restart")
	missed := p.busyHourEntries() / 3600 * 19 // the window of 19 s
	checkNear(t, "entries missed", stored.MissedEntries, missed)
	m := NewModel(p, exampleSlopes(t))
	h := p.normalServerCounts(WholeList)
	resumed := m.listChangeBytes(listChanges{messages: 1, entries: max(1, missed)}).Value
	checkNear(t, "bytes of the list", m.listBytes(stored, h).Value, resumed/19)
	checkNear(t, "bytes of a whole list", m.listBytes(whole, h).Value, m.openingBytes(h).Value/19)
	if resumed >= m.openingBytes(h).Value {
		t.Errorf("%g bytes of changes, %g of a whole list", resumed, m.openingBytes(h).Value)
	}
	if c := mechanismFor(Manager, BytesWithoutCollectors, stored); c.Status != Stands || c.Name != "snapshot" {
		t.Errorf("carried by %+v", c)
	}
	if c := mechanismFor(Manager, BytesWithoutCollectors, whole); c.Status != Partly || c.Name != "snapshot" {
		t.Errorf("without a store carried by %+v", c)
	}
	control := m.Load(ControlMachine, stored, WholeList)
	before := m.Load(ControlMachine, whole, WholeList)
	if control.BytesOut.Value >= before.BytesOut.Value {
		t.Errorf("a control machine writes %g bytes a second, %g without stored lists", control.BytesOut.Value, before.BytesOut.Value)
	}
}
