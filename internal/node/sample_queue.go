package node

import (
	"sync"

	"tamarindshore/internal/sharding"
)

// sampleQueue holds the samples that several cores have decoded until the router takes them. It is bounded: when it is
// full, samples of the same kind are merged and connections wait. It is safe for concurrent use.
type sampleQueue struct {
	metrics *metrics
	filled  chan struct{} // signalled when samples are queued

	mu         sync.Mutex // guards the fields below
	samples    *sharding.Mailbox
	spaceFreed chan struct{} // closed when samples are taken, then replaced by a new channel
}

func newSampleQueue(limit int, m *metrics) *sampleQueue {
	return &sampleQueue{
		samples:    sharding.NewMailbox(limit),
		filled:     make(chan struct{}, 1),
		spaceFreed: make(chan struct{}),
		metrics:    m,
	}
}

// full returns nil if there is room for samples, otherwise a channel that is closed when there may be room again.
func (q *sampleQueue) full() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	mergedBefore := q.samples.Merged
	hasRoom := q.samples.HasRoom()
	q.recordMergesAndNotify(mergedBefore)
	if hasRoom {
		return nil
	}
	return q.spaceFreed
}

// push queues samples, even beyond the limit. The caller has checked with full that there was room.
func (q *sampleQueue) push(samples []sharding.Sample) {
	q.mu.Lock()
	defer q.mu.Unlock()
	mergedBefore := q.samples.Merged
	q.samples.Put(samples)
	q.recordMergesAndNotify(mergedBefore)
}

// next takes up to limit of the oldest samples; the result reuses the memory of into.
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

// recordMergesAndNotify counts the samples merged since the total was mergedBefore, and wakes the router. The caller
// holds mu.
func (q *sampleQueue) recordMergesAndNotify(mergedBefore int) {
	q.metrics.add(samplesMerged, int64(q.samples.Merged-mergedBefore))
	notify(q.filled)
}
