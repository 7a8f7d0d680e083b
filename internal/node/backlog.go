package node

import (
	"sync"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

// backlog holds the commands that the router has flushed and the relay client has not taken, in their order. It is
// bounded: where too many are queued, they are merged to their latest state. It is safe for concurrent use.
type backlog struct {
	limit   int           // calls
	filled  chan struct{} // signalled once something is queued
	metrics *metrics

	mu    sync.Mutex // of queue
	queue []balancer.Commands
}

func newBacklog(limit int, m *metrics) *backlog {
	return &backlog{limit: limit, filled: make(chan struct{}, 1), metrics: m}
}

// push queues commands behind those that wait.
func (b *backlog) push(one balancer.Commands) {
	b.append(one)
	notify(b.filled)
}

func (b *backlog) append(one balancer.Commands) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, one)
	if len(b.queue) > b.limit {
		b.metrics.add(callsMerged, int64(len(b.queue)-1))
		b.queue = []balancer.Commands{commands.Merge(b.queue...)}
	}
}

// next takes the oldest commands; false where none are queued.
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

// takeAll takes all that are queued, oldest first.
func (b *backlog) takeAll() []balancer.Commands {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.queue
	b.queue = nil
	return all
}
