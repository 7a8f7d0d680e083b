package node

import (
	"slices"
	"sync"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// storeWriter saves versions, completed commands and the endpoint list in a goroutine of its own, so that the router never
// waits for the disk. It owns the changes that are not saved yet. If a save fails, it logs the first failure, keeps the
// changes and retries; the first save that succeeds stores the complete state again. Failures must not affect the router's
// decisions. Its methods are safe for concurrent use, except for those that only its own goroutine calls: save and close.
type storeWriter struct {
	store      *store.Store
	metrics    *metrics
	stop       <-chan struct{} // closed to end the goroutine, after a last save
	retryDelay time.Duration
	wake       chan struct{} // signalled when there are unsaved changes
	done       chan struct{} // closed when the goroutine has ended

	mu      sync.Mutex // guards the fields below
	unsaved unsavedChanges
	saved   tables.Digest        // digest of the last version saved
	drains  map[string]time.Time // by server: when it was first withdrawn, as last saved
	failing bool                 // whether the last save failed
}

// unsavedChanges holds the changes that are not saved yet, each kind oldest first.
type unsavedChanges struct {
	versions []*versions.Version
	commands []versions.CompletedCommand
	lists    []store.ListChange
}

func (u unsavedChanges) empty() bool { return len(u.versions)+len(u.commands)+len(u.lists) == 0 }

// concat returns the changes followed by later ones. It bounds their number, which would otherwise grow without limit while
// the disk hangs: of too many versions only the newest is kept, which is then saved as a snapshot, and too many changes of
// the list are merged into one, which contains each server once.
func (u unsavedChanges) concat(later unsavedChanges) unsavedChanges {
	joined := unsavedChanges{
		versions: slices.Concat(u.versions, later.versions),
		commands: slices.Concat(u.commands, later.commands),
		lists:    slices.Concat(u.lists, later.lists),
	}
	if excess := len(joined.versions) - maxUnsavedVersions; excess > 0 {
		joined.versions = joined.versions[len(joined.versions)-1:]
	}
	if len(joined.lists) > maxUnsavedListChanges {
		joined.lists = mergeLists(joined.lists)
	}
	return joined
}

const (
	maxUnsavedVersions    = 64  // beyond this only the newest is saved, as a snapshot
	maxUnsavedListChanges = 256 // beyond this they are merged into one
	storeRetryDelay       = 5 * time.Second
)

func newStoreWriter(s *store.Store, stored store.Contents, m *metrics, stop <-chan struct{}) *storeWriter {
	w := &storeWriter{
		store:      s,
		metrics:    m,
		stop:       stop,
		retryDelay: storeRetryDelay,
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		saved:      stored.State.Digest(),
		drains:     stored.Drains,
	}
	go w.run()
	return w
}

// enqueue adds changes to the unsaved ones and wakes up the goroutine that saves them.
func (w *storeWriter) enqueue(changes unsavedChanges) {
	w.append(changes)
	notify(w.wake)
}

func (w *storeWriter) append(changes unsavedChanges) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsaved = w.unsaved.concat(changes)
}

func (w *storeWriter) saveVersion(version *versions.Version) {
	w.enqueue(unsavedChanges{versions: []*versions.Version{version}})
}

func (w *storeWriter) saveCompleted(command versions.CompletedCommand) {
	w.enqueue(unsavedChanges{commands: []versions.CompletedCommand{command}})
}

// saveList enqueues a list, or changes of it, for saving. A list that was read from the store is not saved again.
func (w *storeWriter) saveList(in endpointList) {
	if in.stored {
		return
	}
	change := store.ListChange{Complete: in.snapshot, Entries: toStoreEntries(in.instances)}
	if in.complete {
		change.Generation = in.version
	}
	w.enqueue(unsavedChanges{lists: []store.ListChange{change}})
}

// mergeLists merges changes of the list into one, which contains each server once. Its cost is proportional to the number
// of servers, so it normally runs in the goroutine that saves; enqueue calls it only if too many changes are unsaved.
func mergeLists(changes []store.ListChange) []store.ListChange {
	if len(changes) < 2 {
		return changes
	}
	merged := changes[0]
	for _, change := range changes[1:] {
		merged = merged.Merge(change)
	}
	return []store.ListChange{merged}
}

// toStoreEntries converts servers from the form of discovery to that of the store.
func toStoreEntries(instances []instance) (entries []store.ListEntry) {
	for _, server := range instances {
		entries = append(entries, store.ListEntry{ID: server.InstanceID, HostPort: server.HostPort, Zone: server.Zone,
			Lifecycle: server.Lifecycle, Weight: server.Weight, StartedAtMs: server.StartedAtMs})
	}
	return entries
}

// fromStoreEntries converts servers from the form of the store to that of discovery.
func fromStoreEntries(entries []store.ListEntry) (instances []instance) {
	for _, entry := range entries {
		instances = append(instances, instance{InstanceID: entry.ID, HostPort: entry.HostPort, Zone: entry.Zone, Lifecycle: entry.Lifecycle,
			Weight: entry.Weight, StartedAtMs: entry.StartedAtMs})
	}
	return instances
}

// run saves changes until stop is closed. After a failure it retries after retryDelay, or when stop is closed.
func (w *storeWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			w.save()
			w.close()
			return
		}
		if !w.save() {
			select {
			case <-time.After(w.retryDelay):
				notify(w.wake)
			case <-w.stop:
				notify(w.wake)
			}
		}
	}
}

// close closes the store. It logs an error, because saved changes may then be missing on the disk.
func (w *storeWriter) close() {
	if err := w.store.Close(); err != nil {
		w.metrics.logger.Error().Str("event", "store_close_failed").Err(err).Send()
	}
}

// save saves all unsaved changes in one transaction. It returns false if that failed, and keeps the changes as unsaved.
func (w *storeWriter) save() bool {
	unsaved := w.takeUnsaved()
	if unsaved.empty() {
		return true
	}
	unsaved.lists = mergeLists(unsaved.lists)
	change, saved := w.toStoreChange(unsaved)
	err := w.store.Save(change)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.recordFailure(err)
		w.unsaved = unsaved.concat(w.unsaved)
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

func (w *storeWriter) takeUnsaved() unsavedChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	unsaved := w.unsaved
	w.unsaved = unsavedChanges{}
	return unsaved
}

// recordFailure counts a failed save, and logs it if it is the first in a row. The caller holds mu.
func (w *storeWriter) recordFailure(err error) {
	w.metrics.add(storeWriteFailures, 1)
	if !w.failing {
		w.metrics.logger.Error().Str("event", "store_write_failed").Err(err).Send()
	}
	w.failing = true
}

// toStoreChange converts unsaved changes to the form of the store. It also returns the digest that the newest version in
// the store will have once the change is saved.
func (w *storeWriter) toStoreChange(unsaved unsavedChanges) (change store.Change, saved tables.Digest) {
	if len(unsaved.lists) > 0 {
		change.ServerList = &unsaved.lists[0]
	}
	saved = w.saved
	for _, version := range unsaved.versions {
		change.Versions = append(change.Versions, toStoredVersion(version, saved))
		saved = version.Digest
	}
	if n := len(unsaved.versions); n > 0 {
		change.Drains = w.drainTimes(unsaved.versions[n-1])
	}
	for _, command := range unsaved.commands {
		change.CompletedCommands = append(change.CompletedCommands, store.CompletedCommand(command))
	}
	return change, saved
}

// toStoredVersion converts a version to the form of the store. The result is a snapshot if the version before it is not
// the last saved one.
func toStoredVersion(version *versions.Version, saved tables.Digest) store.Version {
	stored := store.Version{
		ID:         version.ID,
		Digest:     version.Digest,
		Parent:     version.Parent,
		CreatedAt:  version.CreatedAt,
		Cause:      version.Cause,
		Layout:     version.Layout,
		CommandKey: version.CommandKey,
		Ops:        version.Ops,
	}
	if version.Parent != saved {
		stored.Snapshot = true
		stored.Ops = tables.Diff(tables.EmptyState(), version.State)
	}
	return stored
}

// drainTimes returns the time at which each withdrawn server of a version was withdrawn.
func (w *storeWriter) drainTimes(version *versions.Version) map[string]time.Time {
	drains := map[string]time.Time{}
	for _, server := range version.State.WithdrawnServers() {
		drains[server] = version.CreatedAt
		if since := w.drains[server]; !since.IsZero() {
			drains[server] = since
		}
	}
	return drains
}
