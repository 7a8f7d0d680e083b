package node

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// storeWriter hands versions, commands and the server list to the store, behind the decisions: they never wait for a
// disk. It owns what is not saved yet. Where saving fails it says so once, goes on without, and saves the whole state once
// it succeeds again; it must never change what is decided.
type storeWriter struct {
	store      *store.Store
	metrics    *metrics
	stop       <-chan struct{}
	retryAfter time.Duration
	filled     chan struct{}
	done       chan struct{}

	mu      sync.Mutex // of all below
	waiting unsavedChanges
	saved   tables.Digest        // of the last version saved
	drains  map[string]time.Time // that were saved last
	failing bool
}

// unsavedChanges is what waits for the store.
type unsavedChanges struct {
	versions []*versions.Version
	commands []versions.CompletedCommand
	lists    []store.ListChange
}

func (u unsavedChanges) empty() bool { return len(u.versions)+len(u.commands)+len(u.lists) == 0 }

// followedBy joins what waits to what came after it. Of too many versions only the newest is kept; it is saved whole. Too
// many changes of the list become one, which holds a server once. Guards against a disk that hangs, behind which they
// would gather without end.
func (u unsavedChanges) followedBy(later unsavedChanges) unsavedChanges {
	joined := unsavedChanges{
		versions: slices.Concat(u.versions, later.versions),
		commands: slices.Concat(u.commands, later.commands),
		lists:    slices.Concat(u.lists, later.lists),
	}
	if excess := len(joined.versions) - maxWaitingVersions; excess > 0 {
		joined.versions = joined.versions[len(joined.versions)-1:]
	}
	if len(joined.lists) > maxWaitingLists {
		joined.lists = mergeLists(joined.lists)
	}
	return joined
}

const (
	maxWaitingVersions = 64 // past that only the newest is saved, whole
	maxWaitingLists    = 256
	storeRetry         = 5 * time.Second
)

func newStoreWriter(s *store.Store, kept store.Contents, m *metrics, stop <-chan struct{}) *storeWriter {
	v := &storeWriter{
		store:      s,
		metrics:    m,
		stop:       stop,
		retryAfter: storeRetry,
		filled:     make(chan struct{}, 1),
		done:       make(chan struct{}),
		saved:      kept.State.Digest(),
		drains:     kept.Drains,
	}
	go v.run()
	return v
}

// enqueue has something saved soon.
func (v *storeWriter) enqueue(one unsavedChanges) {
	v.mu.Lock()
	v.waiting = v.waiting.followedBy(one)
	v.mu.Unlock()
	notify(v.filled)
}

func (v *storeWriter) saveVersion(one *versions.Version) {
	v.enqueue(unsavedChanges{versions: []*versions.Version{one}})
}

func (v *storeWriter) saveCompleted(command versions.CompletedCommand) {
	v.enqueue(unsavedChanges{commands: []versions.CompletedCommand{command}})
}

// list takes what discovery told of its list.
func (v *storeWriter) saveList(in endpointList) {
	if in.stored {
		return
	}
	change := store.ListChange{Complete: in.snapshot, Entries: entriesOf(in.instances)}
	if in.complete {
		change.Generation = in.generation
	}
	v.enqueue(unsavedChanges{lists: []store.ListChange{change}})
}

// mergeLists are changes of the list as one, which holds a server once. It takes as long as there are servers in it, so it is
// done where the store is written, and not where a change comes in unless very many wait.
func mergeLists(changes []store.ListChange) []store.ListChange {
	if len(changes) < 2 {
		return changes
	}
	all := changes[0]
	for _, change := range changes[1:] {
		all = all.Merge(change)
	}
	return []store.ListChange{all}
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

func (v *storeWriter) run() {
	defer close(v.done)
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
			case <-time.After(v.retryAfter):
				notify(v.filled)
			case <-v.stop:
				notify(v.filled)
			}
		}
	}
}

// save keeps all that waits as one change; false where that failed, and all of it waits on.
func (v *storeWriter) save() bool {
	v.mu.Lock()
	waiting := v.waiting
	v.waiting = unsavedChanges{}
	v.mu.Unlock()
	if waiting.empty() {
		return true
	}
	waiting.lists = mergeLists(waiting.lists)
	change, saved := v.changeOf(waiting)
	err := v.store.Save(change)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.noteFailure(err)
		v.waiting = waiting.followedBy(v.waiting)
		return false
	}
	if v.failing {
		v.metrics.logEvent("store_recovered", "versions", len(change.Versions), "commands", len(change.CompletedCommands))
	}
	v.failing = false
	v.saved = saved
	if change.Drains != nil {
		v.drains = change.Drains
	}
	return true
}

// noteFailure counts a save that failed and logs the first of several. mu is held.
func (v *storeWriter) noteFailure(err error) {
	v.metrics.add(storeWriteFailures, 1)
	if !v.failing {
		v.metrics.logger.Error().Str("event", "store_write_failed").Err(err).Send()
	}
	v.failing = true
}

// changeOf is what waits in the form of the store, and the digest of its last version.
func (v *storeWriter) changeOf(waiting unsavedChanges) (change store.Change, saved tables.Digest) {
	if len(waiting.lists) > 0 {
		change.ServerList = &waiting.lists[0]
	}
	saved = v.saved
	for _, one := range waiting.versions {
		change.Versions = append(change.Versions, storedVersion(one, saved))
		saved = one.Digest
	}
	if n := len(waiting.versions); n > 0 {
		change.Drains = v.drainsOf(waiting.versions[n-1])
	}
	for _, command := range waiting.commands {
		change.CompletedCommands = append(change.CompletedCommands, store.CompletedCommand(command))
	}
	return change, saved
}

// storedVersion is a version in the form of the store: whole where the one before it was not saved.
func storedVersion(one *versions.Version, saved tables.Digest) store.Version {
	stored := store.Version{
		ID:         one.ID,
		Digest:     one.Digest,
		Parent:     one.Parent,
		CreatedAt:  one.CreatedAt,
		Cause:      one.Cause,
		Layout:     one.Layout,
		CommandKey: one.CommandKey,
		Ops:        one.Ops,
	}
	if one.Parent != saved {
		stored.Snapshot = true
		stored.Ops = tables.Diff(tables.EmptyState(), one.State)
	}
	return stored
}

// drainsOf are the servers that a version withdraws, since when.
func (v *storeWriter) drainsOf(last *versions.Version) map[string]time.Time {
	drains := map[string]time.Time{}
	for _, server := range last.State.WithdrawnServers() {
		drains[server] = last.CreatedAt
		if since := v.drains[server]; !since.IsZero() {
			drains[server] = since
		}
	}
	return drains
}
