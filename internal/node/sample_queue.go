package node

import (
	"sync"

	"tamarindshore/internal/sharding"
)

// sampleQueue holds the samples that several cores decoded, for the router. It is bounded: where it is full, samples of
// the same kind are merged, and connections wait. It is safe for concurrent use.
type sampleQueue struct {
	metrics *metrics
	filled  chan struct{} // signalled once samples are queued

	mu         sync.Mutex // of all below
	samples    *sharding.Mailbox
	spaceFreed chan struct{} // closed once samples are taken, and replaced
}

func newSampleQueue(limit int, m *metrics) *sampleQueue {
	return &sampleQueue{
		samples:    sharding.NewMailbox(limit),
		filled:     make(chan struct{}, 1),
		spaceFreed: make(chan struct{}),
		metrics:    m,
	}
}

// full returns nil where there is room for samples, else a channel that is closed once there may be.
func (q *sampleQueue) full() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	mergedBefore := q.samples.Merged
	hasRoom := q.samples.HasRoom()
	q.noteChange(mergedBefore)
	if hasRoom {
		return nil
	}
	return q.spaceFreed
}

// push queues samples for which there was room a moment ago.
func (q *sampleQueue) push(samples []sharding.Sample) {
	q.mu.Lock()
	defer q.mu.Unlock()
	mergedBefore := q.samples.Merged
	q.samples.Put(samples)
	q.noteChange(mergedBefore)
}

// next takes up to limit of the oldest samples, in the memory of into.
func (q *sampleQueue) next(limit int, into []sharding.Sample) []sharding.Sample {
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

// noteChange counts the samples that were merged since and wakes the router. mu is held.
func (q *sampleQueue) noteChange(mergedBefore int) {
	q.metrics.add(samplesMerged, int64(q.samples.Merged-mergedBefore))
	notify(q.filled)
}
