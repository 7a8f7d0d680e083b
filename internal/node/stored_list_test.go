package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/store"
)

// awaitList waits until the manager uses a version of the list.
func (v *managerDeployment) awaitList(t *testing.T, version int64) {
	t.Helper()
	mustEventually(t, 10*time.Second, fmt.Sprintf("the manager uses version %d of the list", version), func() bool {
		return v.manager.currentStatus().List.Version == version
	})
}

// restartWith restarts the manager with an initial list in its start configuration.
func (v *managerDeployment) restartWith(t *testing.T, initial fakes.EndpointList) {
	t.Helper()
	if err := v.Manager.Stop(false); err != nil {
		t.Fatal(err)
	}
	start := fakes.ManagerConfig{Dir: t.TempDir(), Name: "n1", ListenAddress: v.ManagerAddress, StatusAddress: v.StatusAddress,
		DiscoveryAddress: v.Discovery.Address, RelayAddress: v.Relay.Address, Endpoints: initial,
		Options: fakes.ManagerOptions{Cores: 1, MemoryMB: 512, MaxDescriptors: 4096, Seed: 2, OperatorSettings: v.settings}}
	var err error
	if v.Manager, err = v.Site.StartManager(start, v.startManagerInProcess); err != nil {
		t.Fatal(err)
	}
	if err := fakes.AwaitReady(v.Manager, v.ManagerAddress, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}

// A manager may restart in a region that is cut off from discovery. It must start with the stored list, not with the one
// in its start configuration, which may be an hour old. Once discovery is back, it must request only the changes.
func TestARestartWithoutDiscoveryStartsWithTheStoredList(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(6, 20))
	v.assignAllProxies(t)
	old := v.Discovery.Snapshot()
	draining := v.Servers[0]
	removed := v.Servers[1]
	v.Discovery.Publish(draining.Entry("draining"))
	v.Discovery.Publish(removed.Entry("removed"))
	storedVersion := int64(old.Version + 2)
	v.awaitList(t, storedVersion)
	if list := v.manager.currentStatus().List; !list.Confirmed {
		t.Errorf("got %+v, want a confirmed list, as discovery has sent it", list)
	}

	v.Discovery.SetUnresponsive(true)
	v.restartWith(t, old)
	if list := v.manager.currentStatus().List; list.Version != storedVersion || list.Confirmed {
		t.Errorf("without discovery: got %+v, want version %d, unconfirmed", list, storedVersion)
	}
	v.awaitAssignments(t)
	for _, server := range []*fakes.Server{draining, removed} {
		if rate := v.Relay.RequestRate(server.ID); rate > 0 {
			t.Errorf("%s gets %g requests per second, want none", server.ID, rate)
		}
	}

	v.Discovery.SetUnresponsive(false)
	v.Discovery.Publish(draining.Entry("removed"))
	v.awaitList(t, storedVersion+1)
	watchedVersions := v.Discovery.WatchedVersions()
	if resumed := watchedVersions[len(watchedVersions)-1]; int64(resumed) != storedVersion || slices.Contains(watchedVersions, 0) {
		t.Errorf("watches requested changes after versions %v, want the last after %d and none after 0", watchedVersions, storedVersion)
	}
}

func TestANewerInitialListReplacesTheStoredOne(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(4, 8))
	v.assignAllProxies(t)
	v.awaitList(t, int64(v.Discovery.Snapshot().Version))
	initial := v.Discovery.Snapshot()
	initial.Version += 100
	initial.Endpoints = initial.Endpoints[:3]
	v.Discovery.SetUnresponsive(true)
	v.restartWith(t, initial)
	v.awaitList(t, int64(initial.Version))
	v.restartWith(t, fakes.EndpointList{Version: 1, Complete: true, Endpoints: []fakes.Endpoint{}})
	v.awaitList(t, int64(initial.Version)) // the store holds the list that the last manager used
	if servers := len(v.manager.initialList.entries); servers != 3 {
		t.Errorf("the manager started with %d servers, want 3", servers)
	}
}

// The stored list is validated like a list from discovery. An invalid one must not prevent the manager from starting.
func TestAnInvalidStoredListIsIgnored(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(4, 8))
	initial := v.Discovery.Snapshot()
	if err := v.Manager.Stop(false); err != nil {
		t.Fatal(err)
	}
	kept, _, err := store.Open(v.store, 0, store.DefaultLimits(), nil)
	if err != nil {
		t.Fatal(err)
	}
	faulty := store.ListChange{Complete: true, Generation: 900, Entries: []store.ListEntry{{ID: "s-1", Zone: "a", Lifecycle: "confused"}}}
	if err := kept.Save(store.Change{ServerList: &faulty}); err != nil {
		t.Fatal(err)
	}
	kept.Close()
	v.restartWith(t, initial)
	if version := v.manager.currentStatus().List.Version; version != int64(initial.Version) {
		t.Errorf("the manager started with version %d of the list, want %d", version, initial.Version)
	}
}

// While a save hangs, the queued changes of the list must be bounded by the number of servers, not grow with time.
func TestChangesQueuedForAHungDiskAreBounded(t *testing.T) {
	const servers, changes = 10, 5000
	writer := &storeWriter{wake: make(chan struct{}, 1)}
	for n := range changes {
		writer.saveList(endpointList{version: int64(n + 1), complete: true, snapshot: n == 0,
			instances: []instance{{InstanceID: fmt.Sprint("s-", n%servers), Zone: "a", Lifecycle: "up", StartedAtMs: int64(n)}}})
	}
	entries := 0
	for _, change := range writer.unsaved.lists {
		entries += len(change.Entries)
	}
	if len(writer.unsaved.lists) > maxUnsavedListChanges || entries > maxUnsavedListChanges+servers {
		t.Errorf("%d changes with %d entries are queued, want at most %d and %d",
			len(writer.unsaved.lists), entries, maxUnsavedListChanges, maxUnsavedListChanges+servers)
	}
	last := mergeLists(writer.unsaved.lists)
	if len(last) != 1 || !last[0].Complete || last[0].Generation != changes || len(last[0].Entries) != servers {
		t.Fatalf("got %+v, want one complete change of generation %d with %d entries", last, changes, servers)
	}
	for _, entry := range last[0].Entries {
		if entry.StartedAtMs < changes-servers {
			t.Errorf("the entry of %s is %d changes old", entry.ID, changes-entry.StartedAtMs)
		}
	}
}
