package node

import (
	"sync"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

// backlog is the queue of commands from the router to the relay client. It is bounded: if too many batches are queued,
// they are merged into one that has the latest state of each setting. It is safe for concurrent use.
type backlog struct {
	limit   int           // maximum number of queued batches
	filled  chan struct{} // signalled when a batch is queued
	metrics *metrics

	mu    sync.Mutex // guards queue
	queue []balancer.Commands
}

func newBacklog(limit int, m *metrics) *backlog {
	return &backlog{limit: limit, filled: make(chan struct{}, 1), metrics: m}
}

// push appends a batch of commands and wakes the relay client.
func (b *backlog) push(batch balancer.Commands) {
	b.append(batch)
	notify(b.filled)
}

func (b *backlog) append(batch balancer.Commands) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, batch)
	if len(b.queue) > b.limit {
		b.metrics.add(callsMerged, int64(len(b.queue)-1))
		b.queue = []balancer.Commands{commands.Merge(b.queue...)}
	}
}

// next removes and returns the oldest batch. It returns false if none is queued.
func (b *backlog) next() (oldest balancer.Commands, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return balancer.Commands{}, false
	}
	oldest = b.queue[0]
	b.queue = b.queue[1:]
	return oldest, true
}

// takeAll removes and returns all queued batches, oldest first.
func (b *backlog) takeAll() []balancer.Commands {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.queue
	b.queue = nil
	return all
}
