package node

// Vault hands versions and commands to the store, behind the decisions: they never wait for a disk. It owns what is not
// saved yet. Where saving fails it says so once, goes on without, and saves the whole state once it succeeds again; it
// must never change what is decided.

import (
	"sync"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

type vault struct {
	store   *store.Store
	metrics *metrics
	stop    <-chan struct{}
	again   time.Duration // between two tries
	filled  chan struct{}
	ended   chan struct{}

	mu      sync.Mutex
	waits   []*versions.Version
	dones   []versions.Done
	lists   *store.ListChange // nil: none waits
	saved   tables.Digest     // of the last version saved
	drains  map[string]time.Time
	failing bool
}

const vaultMost = 64 // versions that wait; past that only the newest is saved, whole

func newVault(s *store.Store, kept store.Kept, m *metrics, stop <-chan struct{}) *vault {
	v := &vault{store: s, metrics: m, stop: stop, again: 5 * time.Second, filled: make(chan struct{}, 1), ended: make(chan struct{}),
		saved: kept.State.Digest(), drains: kept.Drains}
	go v.run()
	return v
}

func (v *vault) version(one *versions.Version) {
	v.mu.Lock()
	if v.waits = append(v.waits, one); len(v.waits) > vaultMost {
		v.waits = v.waits[len(v.waits)-1:]
	}
	v.mu.Unlock()
	signal(v.filled)
}

func (v *vault) done(d versions.Done) {
	v.mu.Lock()
	v.dones = append(v.dones, d)
	v.mu.Unlock()
	signal(v.filled)
}

// list takes what discovery told of its list. What waits is folded, so that it never holds a server twice.
func (v *vault) list(in listed) {
	if in.stored {
		return
	}
	change := store.ListChange{Whole: in.snapshot, Entries: entriesOf(in.instances)}
	if in.complete {
		change.Generation = in.generation
	}
	v.mu.Lock()
	v.lists = foldLists(v.lists, &change)
	v.mu.Unlock()
	signal(v.filled)
}

// foldLists joins a later change of the list to an earlier one, either of which may be none.
func foldLists(earlier, later *store.ListChange) *store.ListChange {
	if earlier == nil {
		return later
	}
	if later == nil {
		return earlier
	}
	folded := earlier.Fold(*later)
	return &folded
}

// entriesOf are servers in the form of the store.
func entriesOf(instances []instance) (entries []store.ListEntry) {
	for _, one := range instances {
		entries = append(entries, store.ListEntry{ID: one.InstanceID, HostPort: one.HostPort, Zone: one.Zone, Lifecycle: one.Lifecycle,
			Weight: one.Weight, StartedAtMs: one.StartedAtMs})
	}
	return entries
}

// instancesOf are servers in the form of discovery.
func instancesOf(entries []store.ListEntry) (instances []instance) {
	for _, one := range entries {
		instances = append(instances, instance{InstanceID: one.ID, HostPort: one.HostPort, Zone: one.Zone, Lifecycle: one.Lifecycle,
			Weight: one.Weight, StartedAtMs: one.StartedAtMs})
	}
	return instances
}

func (v *vault) run() {
	defer close(v.ended)
	for {
		select {
		case <-v.filled:
		case <-v.stop:
			v.save()
			v.store.Close()
			return
		}
		if !v.save() {
			select {
			case <-time.After(v.again):
				signal(v.filled)
			case <-v.stop:
				signal(v.filled)
			}
		}
	}
}

// save keeps all that waits as one change; false where that failed, and all of it waits on.
func (v *vault) save() bool {
	v.mu.Lock()
	waits, dones, lists := v.waits, v.dones, v.lists
	v.waits, v.dones, v.lists = nil, nil, nil
	v.mu.Unlock()
	if len(waits)+len(dones) == 0 && lists == nil {
		return true
	}
	c, saved := store.Change{List: lists}, v.saved
	for _, one := range waits {
		k := store.Version{ID: one.ID, Digest: one.Digest, Parent: one.Parent, At: one.At, Cause: one.Cause, Layout: one.Layout, Key: one.Key, Ops: one.Ops}
		if one.Parent != saved {
			k.Whole, k.Ops = true, tables.Diff(tables.Empty(), one.State)
		}
		c.Versions, saved = append(c.Versions, k), one.Digest
	}
	if n := len(waits); n > 0 {
		last, drains := waits[n-1], map[string]time.Time{}
		for _, s := range last.State.AllWithdrawn() {
			if drains[s] = last.At; !v.drains[s].IsZero() {
				drains[s] = v.drains[s]
			}
		}
		c.Drains = drains
	}
	for _, d := range dones {
		c.Done = append(c.Done, store.Done(d))
	}
	err := v.store.Save(c)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.metrics.add(storeFailed, 1)
		if !v.failing {
			v.metrics.logger.Error().Str("event", "store_failed").Err(err).Send()
		}
		v.failing = true
		v.waits, v.dones, v.lists = append(waits, v.waits...), append(dones, v.dones...), foldLists(lists, v.lists)
		if len(v.waits) > vaultMost {
			v.waits = v.waits[len(v.waits)-1:]
		}
		return false
	}
	if v.failing {
		v.metrics.logEvent("store_again", "versions", len(c.Versions), "commands", len(c.Done))
	}
	v.failing, v.saved = false, saved
	if c.Drains != nil {
		v.drains = c.Drains
	}
	return true
}
