package node

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// storeWriter saves versions, completed commands and the endpoint list in a goroutine of its own, so that decisions never
// wait for a disk. It owns what is not saved yet. Where saving fails it logs that once, goes on without, and saves the
// complete state once saving succeeds again; it must never change what is decided. Its methods are safe for concurrent
// use; save is for its own goroutine.
type storeWriter struct {
	store      *store.Store
	metrics    *metrics
	stop       <-chan struct{} // ends the goroutine, after a last save
	retryAfter time.Duration
	filled     chan struct{} // signalled once something waits
	done       chan struct{} // closed once the goroutine has ended

	mu      sync.Mutex // of all below
	waiting unsavedChanges
	saved   tables.Digest        // of the last version saved
	drains  map[string]time.Time // saved last, by server: since when
	failing bool                 // the last save failed
}

// unsavedChanges is what waits to be saved, each kind oldest first.
type unsavedChanges struct {
	versions []*versions.Version
	commands []versions.CompletedCommand
	lists    []store.ListChange
}

func (u unsavedChanges) empty() bool { return len(u.versions)+len(u.commands)+len(u.lists) == 0 }

// followedBy joins what waits to what came later. Of too many versions only the newest is kept, to be saved as a
// snapshot. Too many changes of the list are merged into one, which has each server once. Guards against a disk that
// hangs, behind which they would grow without bound.
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
	maxWaitingVersions = 64 // past that only the newest is saved, as a snapshot
	maxWaitingLists    = 256
	storeRetry         = 5 * time.Second
)

func newStoreWriter(s *store.Store, kept store.Contents, m *metrics, stop <-chan struct{}) *storeWriter {
	w := &storeWriter{
		store:      s,
		metrics:    m,
		stop:       stop,
		retryAfter: storeRetry,
		filled:     make(chan struct{}, 1),
		done:       make(chan struct{}),
		saved:      kept.State.Digest(),
		drains:     kept.Drains,
	}
	go w.run()
	return w
}

// enqueue has changes saved soon.
func (w *storeWriter) enqueue(one unsavedChanges) {
	w.append(one)
	notify(w.filled)
}

func (w *storeWriter) append(one unsavedChanges) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = w.waiting.followedBy(one)
}

func (w *storeWriter) saveVersion(one *versions.Version) {
	w.enqueue(unsavedChanges{versions: []*versions.Version{one}})
}

func (w *storeWriter) saveCompleted(command versions.CompletedCommand) {
	w.enqueue(unsavedChanges{commands: []versions.CompletedCommand{command}})
}

// saveList has a list, or changes of it, saved.
func (w *storeWriter) saveList(in endpointList) {
	if in.stored {
		return
	}
	change := store.ListChange{Complete: in.snapshot, Entries: entriesOf(in.instances)}
	if in.complete {
		change.Generation = in.generation
	}
	w.enqueue(unsavedChanges{lists: []store.ListChange{change}})
}

// mergeLists merges changes of the list into one, which has each server once. It takes time in proportion to the servers,
// so it is done where the store is written, and not where a change comes in unless very many wait.
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

// entriesOf gives servers in the form of the store.
func entriesOf(instances []instance) (entries []store.ListEntry) {
	for _, one := range instances {
		entries = append(entries, store.ListEntry{ID: one.InstanceID, HostPort: one.HostPort, Zone: one.Zone, Lifecycle: one.Lifecycle,
			Weight: one.Weight, StartedAtMs: one.StartedAtMs})
	}
	return entries
}

// instancesOf gives servers in the form of discovery.
func instancesOf(entries []store.ListEntry) (instances []instance) {
	for _, one := range entries {
		instances = append(instances, instance{InstanceID: one.ID, HostPort: one.HostPort, Zone: one.Zone, Lifecycle: one.Lifecycle,
			Weight: one.Weight, StartedAtMs: one.StartedAtMs})
	}
	return instances
}

// run saves what waits until stop is closed. After a failure it tries again after a while, or at the end.
func (w *storeWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.filled:
		case <-w.stop:
			w.save()
			w.close()
			return
		}
		if !w.save() {
			select {
			case <-time.After(w.retryAfter):
				notify(w.filled)
			case <-w.stop:
				notify(w.filled)
			}
		}
	}
}

// close closes the store, which may hold what the disk has not.
func (w *storeWriter) close() {
	if err := w.store.Close(); err != nil {
		w.metrics.logger.Error().Str("event", "store_close_failed").Err(err).Send()
	}
}

// save saves all that waits as one change; false where that failed, and all of it waits on.
func (w *storeWriter) save() bool {
	waiting := w.takeWaiting()
	if waiting.empty() {
		return true
	}
	waiting.lists = mergeLists(waiting.lists)
	change, saved := w.changeOf(waiting)
	err := w.store.Save(change)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.noteFailure(err)
		w.waiting = waiting.followedBy(w.waiting)
		return false
	}
	if w.failing {
		w.metrics.logEvent("store_recovered", "versions", len(change.Versions), "commands", len(change.CompletedCommands))
	}
	w.failing = false
	w.saved = saved
	if change.Drains != nil {
		w.drains = change.Drains
	}
	return true
}

func (w *storeWriter) takeWaiting() unsavedChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.waiting
	w.waiting = unsavedChanges{}
	return waiting
}

// noteFailure counts a save that failed and logs the first of several. mu is held.
func (w *storeWriter) noteFailure(err error) {
	w.metrics.add(storeWriteFailures, 1)
	if !w.failing {
		w.metrics.logger.Error().Str("event", "store_write_failed").Err(err).Send()
	}
	w.failing = true
}

// changeOf gives what waits in the form of the store, and the digest of its last version.
func (w *storeWriter) changeOf(waiting unsavedChanges) (change store.Change, saved tables.Digest) {
	if len(waiting.lists) > 0 {
		change.ServerList = &waiting.lists[0]
	}
	saved = w.saved
	for _, one := range waiting.versions {
		change.Versions = append(change.Versions, storedVersion(one, saved))
		saved = one.Digest
	}
	if n := len(waiting.versions); n > 0 {
		change.Drains = w.drainsOf(waiting.versions[n-1])
	}
	for _, command := range waiting.commands {
		change.CompletedCommands = append(change.CompletedCommands, store.CompletedCommand(command))
	}
	return change, saved
}

// storedVersion gives a version in the form of the store: a snapshot where the one before it was not saved.
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

// drainsOf gives the servers that a version withdraws, and since when each is.
func (w *storeWriter) drainsOf(last *versions.Version) map[string]time.Time {
	drains := map[string]time.Time{}
	for _, server := range last.State.WithdrawnServers() {
		drains[server] = last.CreatedAt
		if since := w.drains[server]; !since.IsZero() {
			drains[server] = since
		}
	}
	return drains
}
