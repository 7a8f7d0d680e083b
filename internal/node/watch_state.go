package node

import (
	"sync"
	"time"
)

// watchState is the version of discovery's list that is held, and what is needed to tell an older one. It is safe for
// concurrent use.
type watchState struct {
	mu           sync.Mutex // of all below
	version      int64
	lowestReset  int64     // version of an older snapshot at the opening of the last watch; or noReset
	staleWatches int       // watches in a row that sent only older lists
	confirmedAt  time.Time // when discovery last sent or confirmed the list; at first, when the manager started
	confirmed    bool      // by discovery, since the manager started
}

// heldList is the list that a manager uses, as operators see it.
type heldList struct {
	version   int64
	age       time.Duration // since discovery sent or confirmed it, or since the manager started with it
	confirmed bool          // by discovery, since the manager started
}

func newWatchState(version int64, began time.Time) *watchState {
	return &watchState{version: version, lowestReset: noReset, confirmedAt: began}
}

func (s *watchState) held(now time.Time) heldList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return heldList{version: s.version, age: now.Sub(s.confirmedAt), confirmed: s.confirmed}
}

// noteConfirmed notes that discovery confirmed the list that is held.
func (s *watchState) noteConfirmed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = now
	s.confirmed = true
}

// noReset stands for no older snapshot at the opening of the last watch.
const noReset = -1

// maxStaleWatches is how many watches in a row may send only older lists before the list is asked for from its beginning.
const maxStaleWatches = 1

func (s *watchState) heldVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// resumeVersion is the version to ask from: that held, or the beginning where discovery sends only older lists.
// Guards against a version that was never true, which a discovery may take for one to come.
func (s *watchState) resumeVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleWatches > maxStaleWatches {
		return 0
	}
	return s.version
}

func (s *watchState) noteStaleWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleWatches++
}

// accepts tells whether a list is new. An older one never replaces a newer by accident: a snapshot with a lower version
// is accepted only where two watches in a row open with one, as after a restart of discovery.
func (s *watchState) accepts(list endpointList, opening bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sameVersionChange := list.generation == s.version && !list.snapshot && len(list.entries) > 0
	if list.generation >= s.version && !sameVersionChange {
		return true
	}
	if !opening || !list.snapshot {
		return false
	}
	if s.lowestReset >= 0 && list.generation >= s.lowestReset {
		return true
	}
	s.lowestReset = list.generation
	return false
}

// advance moves the version held to that of a list that was handed on.
func (s *watchState) advance(list endpointList, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = now
	s.confirmed = true
	s.version = list.generation
	s.lowestReset = noReset
	s.staleWatches = 0
}
