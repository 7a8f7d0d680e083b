package node

import (
	"sync"

	"tamarindshore/internal/sharding"
)

// sampleQueue holds the samples that several cores decoded and that wait for the router. It is bounded: where it is
// full, samples of the same kind are folded, and connections wait.
type sampleQueue struct {
	mu         sync.Mutex
	samples    *sharding.Mailbox
	filled     chan struct{}
	spaceFreed chan struct{} // closed once some of it was taken
	metrics    *metrics
}

func newSampleQueue(limit int, m *metrics) *sampleQueue {
	return &sampleQueue{
		samples:    sharding.NewMailbox(limit),
		filled:     make(chan struct{}, 1),
		spaceFreed: make(chan struct{}),
		metrics:    m,
	}
}

// full is nil where there is room for samples; else it is closed once there may be.
func (q *sampleQueue) full() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	folds := q.samples.Merged
	hasRoom := q.samples.HasRoom()
	q.noteChange(folds)
	if hasRoom {
		return nil
	}
	return q.spaceFreed
}

// push appends samples for which there was room a moment ago.
func (q *sampleQueue) push(samples []any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	folds := q.samples.Merged
	q.samples.Put(samples)
	q.noteChange(folds)
}

// next appends up to limit samples to into.
func (q *sampleQueue) next(limit int, into []any) []any {
	q.mu.Lock()
	defer q.mu.Unlock()
	into = q.samples.Take(limit, into)
	if len(into) > 0 {
		close(q.spaceFreed)
		q.spaceFreed = make(chan struct{})
	}
	if q.samples.Len() > 0 {
		notify(q.filled)
	}
	return into
}

func (q *sampleQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.samples.Len()
}

// noteChange counts what was folded since and wakes the router. mu is held.
func (q *sampleQueue) noteChange(foldsBefore int) {
	q.metrics.add(samplesMerged, int64(q.samples.Merged-foldsBefore))
	notify(q.filled)
}
