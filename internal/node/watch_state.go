package node

import (
	"sync"
	"time"
)

// watchState holds the version of the list that the manager uses, and what is needed to recognize a stale list. It is
// safe for concurrent use.
type watchState struct {
	mu                 sync.Mutex // guards the fields below
	version            int64      // version of the current list
	unconfirmedVersion int64      // version of the last rejected older snapshot, which another watch may confirm, or noUnconfirmedVersion
	staleWatches       int        // consecutive watches that sent only older lists
	confirmedAt        time.Time  // when discovery last sent or confirmed the list; until then, when the manager started
	confirmed          bool       // whether discovery has sent or confirmed the list since the manager started
}

// currentList describes the list that a manager uses, for the log and the status page.
type currentList struct {
	version   int64
	age       time.Duration // time since discovery last sent or confirmed the list, or since the manager started
	confirmed bool          // whether discovery has sent or confirmed the list since the manager started
}

func newWatchState(version int64, startedAt time.Time) *watchState {
	return &watchState{version: version, unconfirmedVersion: noUnconfirmedVersion, confirmedAt: startedAt}
}

func (s *watchState) current(now time.Time) currentList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return currentList{version: s.version, age: now.Sub(s.confirmedAt), confirmed: s.confirmed}
}

// recordConfirmation records that discovery confirmed the current list.
func (s *watchState) recordConfirmation(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = now
	s.confirmed = true
}

// noUnconfirmedVersion means that no older snapshot awaits confirmation by a second watch.
const noUnconfirmedVersion = -1

// maxStaleWatches is the maximum number of consecutive watches that sent only older lists. After more than these, the
// complete list is requested.
const maxStaleWatches = 1

func (s *watchState) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// resumeVersion returns the version after which the next watch requests changes: the current one, or 0 for the complete
// list if discovery has been sending only older lists. The current version may be wrong, and discovery may take it for a
// version that it has not reached yet.
func (s *watchState) resumeVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleWatches > maxStaleWatches {
		return 0
	}
	return s.version
}

func (s *watchState) recordStaleWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleWatches++
}

// accepts reports whether a list may be used. isFirst is whether it is the first one of its watch. So that an older list
// doesn't replace a newer one by accident, a snapshot with a lower version is accepted only if another watch started with
// an older snapshot before, whose version was not higher. This happens after a restart of discovery.
func (s *watchState) accepts(list endpointList, isFirst bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sameVersionChange := list.version == s.version && !list.snapshot && len(list.entries) > 0
	if list.version >= s.version && !sameVersionChange {
		return true
	}
	if !isFirst || !list.snapshot {
		return false
	}
	if s.unconfirmedVersion >= 0 && list.version >= s.unconfirmedVersion {
		return true
	}
	s.unconfirmedVersion = list.version
	return false
}

// advance sets the current version to that of a list that was passed to the router.
func (s *watchState) advance(list endpointList, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = now
	s.confirmed = true
	s.version = list.version
	s.unconfirmedVersion = noUnconfirmedVersion
	s.staleWatches = 0
}
