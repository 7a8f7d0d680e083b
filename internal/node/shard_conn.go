package node

import (
	"slices"
	"sync"
	"sync/atomic"

	"tamarindshore/internal/sharding"
)

// shardConn is one connection on its way through a lane. All that must go along when it moves stands here; nothing of it
// is in a worker.
type shardConn struct {
	id        sharding.ConnID
	collector *collectorConn
	workNanos atomic.Int64  // nanoseconds in this window
	pieceDone chan struct{} // there may be room for another piece

	mu               sync.Mutex
	owner            sharding.Owner
	acquired         bool     // the owner has taken it over
	releaseRequested bool     // the owner is to stop, and to say so
	queued           bool     // for its owner
	pieces           [][]byte // that were read, oldest first
	partial          []byte   // the half line before them
	ended            bool     // nothing more is read
	err              error    // why
	closed           bool
	isolateLines     bool // a worker failed over it: each line is decoded by itself
}

// shardTask is what is due next for a connection, by an owner.
type shardTask struct {
	epoch        sharding.Epoch
	acquired     bool // the owner had taken it over before
	release      bool
	isolateLines bool
	partial      []byte
	piece        []byte // nil: none waits
	last         bool   // nothing more will come
}

// nextTask is what is due next for the connection; false where it is not the lane's.
func (c *shardConn) nextTask(lane sharding.ShardID) (task shardTask, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner.Shard != lane || c.closed || !c.queued {
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
	if len(c.pieces) > 0 {
		task.piece = c.pieces[0]
	}
	task.last = c.ended && task.piece == nil
	c.closed = task.last && !task.release
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

// queueFor notes that the connection is to be queued for an owner; false where it is queued already, or has another
// owner.
func (c *shardConn) queueFor(owner sharding.Owner, hold bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != owner {
		return false
	}
	if hold {
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

// markEnded notes that nothing more is read, and why.
func (c *shardConn) markEnded(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		c.err = err
	}
}

// abort ends the connection, whatever was read and not yet delivered.
func (c *shardConn) abort(err error) {
	c.collector.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.err = err
	c.pieces = nil
}

// isolate has each line decoded by itself from now on.
func (c *shardConn) isolate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolateLines = true
}

// pushResult is what became of a piece that was read.
type pushResult int

const (
	pushFull   pushResult = iota // it has to wait
	pushEnded                    // nothing more is wanted
	pushWake                     // it was appended, and the owner is to be woken
	pushQueued                   // it was appended, and the owner will see it
)

// tryPush appends a piece that was read, if fewer than limit wait.
func (c *shardConn) tryPush(piece []byte, limit int) pushResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return pushEnded
	case len(c.pieces) >= limit:
		return pushFull
	}
	c.pieces = append(c.pieces, piece)
	if c.queued {
		return pushQueued
	}
	return pushWake
}
