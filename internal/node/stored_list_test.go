package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tamarindshore/internal/fakes"
	"tamarindshore/internal/store"
)

// awaitList waits until a manager holds a version of the list.
func (v *managerDeployment) awaitList(t *testing.T, version int64) {
	t.Helper()
	mustEventually(t, 10*time.Second, fmt.Sprintf("version %d of the list held", version), func() bool {
		return v.manager.currentStatus().List.Version == version
	})
}

// restartWith restarts the manager with an initial list.
func (v *managerDeployment) restartWith(t *testing.T, initial fakes.EndpointList) {
	t.Helper()
	if err := v.Manager.Stop(false); err != nil {
		t.Fatal(err)
	}
	start := fakes.ManagerConfig{Dir: t.TempDir(), Name: "n1", ListenAddress: v.ManagerAddress, StatusAddress: v.StatusAddress, DiscoveryAddress: v.Discovery.Address,
		RelayAddress: v.Relay.Address, Endpoints: initial, Options: fakes.ManagerOptions{Cores: 1, MemoryMB: 512, MaxDescriptors: 4096, Seed: 2, OperatorSettings: v.settings}}
	var err error
	if v.Manager, err = v.Site.StartManager(start, v.begin); err != nil {
		t.Fatal(err)
	}
	if err := fakes.AwaitReady(v.Manager, v.ManagerAddress, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}

// A region that is cut off has no discovery. A manager that restarts there must not use an hour-old list, and once
// discovery is back it must not ask for the complete list.
func TestARestartWithoutDiscoveryBeginsWithTheStoredList(t *testing.T) {
	v := startDeployment(t, fakes.DefaultSite(6, 20))
	v.assignAllProxies(t)
	old := v.Discovery.Snapshot()
	drains := v.Servers[0]
	leaves := v.Servers[1]
	v.Discovery.Publish(drains.Entry("draining"))
	v.Discovery.Publish(leaves.Entry("removed"))
	held := int64(old.Version + 2)
	v.awaitList(t, held)
	if list := v.manager.currentStatus().List; !list.Confirmed {
		t.Errorf("sent by discovery, and yet %+v", list)
	}

	v.Discovery.SetUnresponsive(true)
	v.restartWith(t, old)
	if list := v.manager.currentStatus().List; list.Version != held || list.Confirmed {
		t.Errorf("without discovery: %+v, not version %d unconfirmed", list, held)
	}
	v.awaitAssignments(t)
	for _, server := range []*fakes.Server{drains, leaves} {
		if rate := v.Relay.RequestRate(server.ID); rate > 0 {
			t.Errorf("%s gets %g requests a second", server.ID, rate)
		}
	}

	v.Discovery.SetUnresponsive(false)
	v.Discovery.Publish(drains.Entry("removed"))
	v.awaitList(t, held+1)
	asked := v.Discovery.WatchedVersions()
	if resumed := asked[len(asked)-1]; int64(resumed) != held || slices.Contains(asked, 0) {
		t.Errorf("watches asked from %v, the list held was %d", asked, held)
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
	v.awaitList(t, int64(initial.Version)) // the store has the one used since
	if servers := len(v.manager.initialList.entries); servers != 3 {
		t.Errorf("%d servers at the start, not 3", servers)
	}
}

// The stored list is checked as one that discovery sends; an invalid one must not keep the manager from starting.
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
		t.Errorf("began with version %d, not %d", version, initial.Version)
	}
}

// A save that hangs accepts nothing more; what is queued meanwhile must not grow with time, only with the fleet.
func TestChangesQueuedForAHungDiskAreBounded(t *testing.T) {
	const servers, changes = 10, 5000
	writer := &storeWriter{filled: make(chan struct{}, 1)}
	for n := range changes {
		writer.saveList(endpointList{generation: int64(n + 1), complete: true, snapshot: n == 0,
			instances: []instance{{InstanceID: fmt.Sprint("s-", n%servers), Zone: "a", Lifecycle: "up", StartedAtMs: int64(n)}}})
	}
	entries := 0
	for _, change := range writer.waiting.lists {
		entries += len(change.Entries)
	}
	if len(writer.waiting.lists) > maxWaitingLists || entries > maxWaitingLists+servers {
		t.Errorf("%d changes with %d entries wait", len(writer.waiting.lists), entries)
	}
	last := mergeLists(writer.waiting.lists)
	if len(last) != 1 || !last[0].Complete || last[0].Generation != changes || len(last[0].Entries) != servers {
		t.Fatalf("%+v", last)
	}
	for _, entry := range last[0].Entries {
		if entry.StartedAtMs < changes-servers {
			t.Errorf("%s is as sent %d changes ago", entry.ID, changes-entry.StartedAtMs)
		}
	}
}
