package node

import (
	"slices"
	"sync"
	"sync/atomic"

	"tamarindshore/internal/sharding"
)

// shardConn is one connection on its way through a shard. All that must go along when the connection moves to another
// shard is here; nothing of it is in a worker. Any goroutine may call its methods.
type shardConn struct {
	id        sharding.ConnID
	collector *collectorConn
	workNanos atomic.Int64  // in this window
	chunkDone chan struct{} // there may be room for another chunk

	mu               sync.Mutex // of all below
	phase            connPhase
	err              error // why the phase is no longer connReading
	owner            sharding.Owner
	acquired         bool     // the owner has begun
	releaseRequested bool     // the owner is to stop, and to say so
	queued           bool     // for its owner's worker
	isolateLines     bool     // a worker panicked on it: each line is decoded by itself
	chunks           [][]byte // that were read and not delivered, oldest first
	partial          []byte   // the partial line before them
}

// connPhase says how far a connection has come.
type connPhase int

const (
	connReading connPhase = iota // its bytes are read
	connEnded                    // nothing more is read; chunks may still be queued
	connClosed                   // all of it was delivered
)

// shardTask is what is due next for a connection, by an owner.
type shardTask struct {
	epoch        sharding.Epoch
	acquired     bool // the owner had begun before
	release      bool
	isolateLines bool
	partial      []byte
	chunk        []byte // nil: none is queued
	last         bool   // nothing more will come
}

// nextTask gives what is due next for the connection; false where it is not the shard's.
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

// assign gives the connection to another owner.
func (c *shardConn) assign(owner sharding.Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	c.acquired = false
	c.releaseRequested = false
	c.queued = false
}

// queueFor notes that the connection is to be queued for an owner, with release to be released by it; false where it is
// queued already, or has another owner.
func (c *shardConn) queueFor(owner sharding.Owner, release bool) bool {
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

// markEnded notes that nothing more is read, and why. The first reason counts.
func (c *shardConn) markEnded(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connReading {
		c.phase = connEnded
		c.err = err
	}
}

// abort ends the connection and drops what was read and not delivered.
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

// isolate has each line decoded by itself from now on.
func (c *shardConn) isolate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolateLines = true
}

// pushResult is what became of a chunk that was read.
type pushResult int

const (
	pushFull     pushResult = iota // too many chunks are queued
	pushEnded                      // nothing more is wanted
	pushWake                       // it was appended, and the owner is to be woken
	pushAccepted                   // it was appended, and the owner will see it
)

// tryPush appends a chunk that was read, where fewer than limit are queued.
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
