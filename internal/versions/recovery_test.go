package versions

import (
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestStoredListIsNewer(t *testing.T) {
	for _, test := range []struct {
		configured, stored int64
		servers            int
		want               bool
	}{
		{41, 0, 0, false},
		{41, 40, 10, false},
		{41, 41, 10, false},
		{41, 42, 10, true},
		{41, 42, 0, false}, // an empty stored list is not used
		{0, 1, 1, true},
	} {
		if got := StoredListIsNewer(test.configured, test.stored, test.servers); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
}

func TestDrainSurvivesOlderServerList(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	drainedAt := startedAt.Add(-5 * time.Second)
	drains := map[string]time.Time{"old": drainedAt, "restarted": drainedAt}
	list := []balancer.Endpoint{
		{Server: "old", RecentlyStarted: true, Started: -time.Minute},
		{Server: "restarted", RecentlyStarted: true, Started: -time.Second},
		{Server: "other"},
	}
	want := []balancer.ServerState{balancer.Draining, balancer.Ready, balancer.Ready}
	for i, entry := range ApplyStoredDrains(list, drains, startedAt) {
		if entry.State != want[i] {
			t.Errorf("%s: state %v, want %v", entry.Server, entry.State, want[i])
		}
	}
	if list[0].State != balancer.Ready {
		t.Error("the caller's list was changed")
	}
}
