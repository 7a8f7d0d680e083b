package balancer

import (
	"slices"
	"testing"
	"time"
)

// loseZoneA withdraws the servers of zone a, which the list no longer has, and lists them as ready again.
func (m *Manager) loseZoneA(t *testing.T, removedAt, listedAt time.Duration) {
	t.Helper()
	var removed, listed []Endpoint
	for _, s := range m.servers {
		if s.zone == 0 {
			removed = append(removed, Endpoint{Server: s.id, Zone: "a", Weight: 1, State: Removed})
			listed = append(listed, Endpoint{Server: s.id, Zone: "a", Weight: 1})
		}
	}
	commands := m.HandleEndpointList(removedAt, false, removed)
	if len(commands.Withdraw) != len(removed) {
		t.Fatalf("withdrawn %v, want %d servers", commands.Withdraw, len(removed))
	}
	m.HandleEndpointList(listedAt, false, listed)
}

// Regression test: while the tables were held, a lost zone that came back stayed withdrawn for the classes that keep to it,
// since the hold was set aside only for tables without any endpoint.
func TestAPinDoesNotKeepALostZoneFromItsOwnClasses(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	m.pinAt(100, 100, 100)
	m.loseZoneA(t, 2*time.Second, 3*time.Second)
	m.nextTick = 4 * time.Second
	commands := m.HandleTimer(4 * time.Second)
	if want := []ServerID{"a0", "a1", "a2"}; !slices.Equal(commands.Restore, want) {
		t.Errorf("restored %v, want %v", commands.Restore, want)
	}
	if m.isEmptyTable(m.tables[0]) || m.hasNoLocalEndpoint(m.tables[0]) {
		t.Errorf("table 0 still needs an endpoint: %v", m.tables[0].publishedWeights)
	}
}

// Regression test: a pause of slow start kept the returned servers of a lost zone withdrawn, so that the classes that keep to
// the zone had no server, while new servers of the zone got weights despite the pause.
func TestAPauseOfSlowStartDoesNotKeepALostZoneFromItsOwnClasses(t *testing.T) {
	m := newZoneLocalManager(3)
	m.now = time.Second
	m.loseZoneA(t, 2*time.Second, 3*time.Second)
	for _, s := range m.servers[:3] {
		s.warmingUp = true
		s.warmUpFrom = 3 * time.Second
	}
	for _, s := range m.servers[3:] {
		for second := range time.Duration(3) {
			s.reports = append(s.reports, receivedReport{LoadReport{Attempts: 9, Failed: 8}, (second + 2) * time.Second})
		}
	}
	m.nextTick = 4 * time.Second
	commands := m.HandleTimer(4 * time.Second)
	if m.slowStartPause != pauseAll {
		t.Fatalf("slow start is paused below %v, want %v", m.slowStartPause, pauseAll)
	}
	if want := []ServerID{"a0", "a1", "a2"}; !slices.Equal(commands.Restore, want) {
		t.Errorf("restored %v, want %v", commands.Restore, want)
	}
	if share := m.zoneLocalShare(m.tables[0]); share > 2*minWeightShare {
		t.Errorf("the paused servers get %v of their table, want hardly any of the other requests", share)
	}
}
