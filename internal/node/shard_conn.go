package node

import (
	"slices"
	"sync"
	"sync/atomic"

	"tamarindshore/internal/sharding"
)

// shardConn is a collector's connection as the shards process it. It holds all state that must follow the connection to
// another shard; workers hold none of it. Its methods are safe for concurrent use.
type shardConn struct {
	id        sharding.ConnID
	collector *collectorConn
	workNanos atomic.Int64  // time spent on the connection in the current rebalance window
	chunkDone chan struct{} // signalled when there may be room for another chunk

	mu               sync.Mutex // guards the fields below
	phase            connPhase
	err              error // why reading ended; nil while the phase is connReading
	owner            sharding.Owner
	acquired         bool     // the owner has started to process the connection
	releaseRequested bool     // the owner must stop processing the connection and notify the assigner
	queued           bool     // the connection is in the queue of its owner's worker
	isolateLines     bool     // a worker panicked on this connection, so each line is decoded under a recover of its own
	chunks           [][]byte // read and not delivered yet, oldest first
	partial          []byte   // the partial line that the first chunk continues
}

// connPhase is the phase of a connection's life.
type connPhase int

const (
	connReading connPhase = iota // its bytes are being read
	connEnded                    // reading has ended; chunks may still be queued
	connClosed                   // everything read has been delivered
)

// shardTask is the next piece of work for a connection's owner.
type shardTask struct {
	epoch        sharding.Epoch
	acquired     bool // the owner had started to process the connection before this task
	release      bool // the owner must release the connection
	isolateLines bool
	partial      []byte
	chunk        []byte // nil: none is queued
	last         bool   // no more chunks will follow
}

// nextTask returns the next task for the connection; ok is false if the shard does not own the connection, or the
// connection is closed or not queued.
func (c *shardConn) nextTask(shard sharding.ShardID) (task shardTask, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.Shard != shard || c.phase == connClosed || !c.queued {
		return shardTask{}, false
	}
	task = shardTask{
		epoch:        c.owner.Epoch,
		acquired:     c.acquired,
		release:      c.releaseRequested,
		isolateLines: c.isolateLines,
		partial:      slices.Clone(c.partial),
	}
	c.queued = false
	c.acquired = true
	c.releaseRequested = false
	if len(c.chunks) > 0 {
		task.chunk = c.chunks[0]
	}
	task.last = c.phase == connEnded && task.chunk == nil
	if task.last && !task.release {
		c.phase = connClosed
	}
	return task, true
}

// assign makes another owner responsible for the connection.
func (c *shardConn) assign(owner sharding.Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	c.acquired = false
	c.releaseRequested = false
	c.queued = false
}

// markQueued marks the connection as queued for an owner, which must release it if release is set. It returns false if
// the connection was queued already or has another owner.
func (c *shardConn) markQueued(owner sharding.Owner, release bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != owner {
		return false
	}
	if release {
		c.releaseRequested = true
	}
	wasQueued := c.queued
	c.queued = true
	return !wasQueued
}

func (c *shardConn) currentOwner() sharding.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner
}

// markEnded records that reading has ended, and why; it does nothing if reading had ended before.
func (c *shardConn) markEnded(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connReading {
		c.phase = connEnded
		c.err = err
	}
}

// abort closes the connection and drops everything that was read and not delivered.
func (c *shardConn) abort(err error) {
	c.collector.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connReading {
		c.phase = connEnded
	}
	c.err = err
	c.chunks = nil
}

// isolate has each line decoded under a recover of its own from now on, so that a panic costs only the line that caused it.
func (c *shardConn) isolate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolateLines = true
}

// pushResult is the outcome of tryPush.
type pushResult int

const (
	pushFull     pushResult = iota // not appended: too many chunks are queued
	pushEnded                      // not appended: the connection has ended
	pushWake                       // appended; the caller must wake the owner
	pushAccepted                   // appended; the connection is queued, so its owner will see it
)

// tryPush appends a chunk that was read, if fewer than limit chunks are queued.
func (c *shardConn) tryPush(chunk []byte, limit int) pushResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != connReading:
		return pushEnded
	case len(c.chunks) >= limit:
		return pushFull
	}
	c.chunks = append(c.chunks, chunk)
	if c.queued {
		return pushAccepted
	}
	return pushWake
}
