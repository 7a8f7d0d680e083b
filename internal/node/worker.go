package node

import (
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/internal/sharding"
)

// worker decodes the lines of a shard's connections in a goroutine of its own. If it stalls or panics, the shard gets
// another worker.
type worker struct {
	shard     sharding.ShardID
	busySince atomic.Int64              // start of work on the current chunk, in nanoseconds since the pool started; 0: idle
	current   atomic.Pointer[shardConn] // connection being served, or served last
	filled    chan struct{}             // signalled when a connection is queued
	replaced  chan struct{}             // closed when another worker takes over the shard

	mu    sync.Mutex // guards queue
	queue []*shardConn
}

func newWorker(shard sharding.ShardID) *worker {
	return &worker{shard: shard, filled: make(chan struct{}, 1), replaced: make(chan struct{})}
}

// enqueue appends a connection to the worker's queue.
func (w *worker) enqueue(conn *shardConn) {
	w.mu.Lock()
	w.queue = append(w.queue, conn)
	w.mu.Unlock()
	notify(w.filled)
}

// next removes and returns the first connection of the queue, or nil if the queue is empty.
func (w *worker) next() *shardConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return nil
	}
	conn := w.queue[0]
	w.queue = slices.Delete(w.queue, 0, 1)
	return conn
}

// busyFor returns how long the worker has been busy with its current chunk, or false if it is idle.
func (w *worker) busyFor(now time.Duration) (time.Duration, bool) {
	since := w.busySince.Load()
	if since <= 0 {
		return 0, false
	}
	return now - time.Duration(since), true
}

// runWorker serves a shard until the worker is replaced or the receiver stops. After a panic it notifies the assigner and
// returns.
func (p *decoderPool) runWorker(w *worker) {
	defer func() {
		if cause := recover(); cause != nil {
			p.handlePanic(w, cause)
		}
	}()
	for {
		if conn := w.next(); conn != nil {
			p.serveNext(w, conn)
			continue
		}
		select {
		case <-w.filled:
		case <-w.replaced:
			return
		case <-p.receiver.stop:
			return
		}
	}
}

// handlePanic has the assigner replace a worker that panicked, unless the worker has been replaced already.
func (p *decoderPool) handlePanic(w *worker, cause any) {
	conn := w.current.Load()
	p.receiver.metrics.logEvent("shard_worker_panic", "shard", int(w.shard), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.replaced:
		return
	default:
	}
	conn.isolate()
	p.apply(func(now time.Duration) sharding.Actions { return p.assigner.HandleWorkerFailed(now, w.shard, conn.id) })
}

// serveNext carries out the next task of a connection: it releases the connection, delivers one chunk, or closes the
// connection.
func (p *decoderPool) serveNext(w *worker, conn *shardConn) {
	w.current.Store(conn)
	task, ok := conn.nextTask(w.shard)
	if !ok {
		return
	}
	if task.release {
		p.notifyAssigner(func(now time.Duration) sharding.Actions {
			return p.assigner.HandleConnDrained(now, conn.id, task.epoch)
		})
		return
	}
	if !task.acquired {
		p.notifyAssigner(func(now time.Duration) sharding.Actions {
			return p.assigner.HandleConnAcquired(now, conn.id, task.epoch)
		})
	}
	if task.last {
		p.finishConn(conn, task.partial)
	}
	if task.chunk == nil {
		return
	}
	startedAt := p.now()
	w.busySince.Store(int64(startedAt))
	chunk := p.decodeChunk(task)
	wake := p.deliver(w, conn, chunk)
	w.busySince.Store(0)
	conn.workNanos.Add(int64(p.now() - startedAt))
	if wake {
		p.wake(conn)
	}
}

// decodedChunk is a decoded chunk, with the epoch of the owner that decoded it.
type decodedChunk struct {
	epoch   sharding.Epoch
	lines   []decodedLine
	partial []byte // the incomplete line at the end
}

// decodeChunk decodes the lines of a chunk. If a worker panicked on the connection before, a line on which the decoder
// panics is skipped and the others are still decoded.
func (p *decoderPool) decodeChunk(task shardTask) decodedChunk {
	chunk := decodedChunk{epoch: task.epoch}
	chunk.partial, _ = cutLines(task.partial, task.chunk, func(line []byte) error {
		text := string(line)
		if !task.isolateLines {
			chunk.lines = append(chunk.lines, p.decode(text))
		} else if decoded, ok := p.decodeIsolated(text); ok {
			chunk.lines = append(chunk.lines, decoded)
		}
		return nil
	})
	return chunk
}

// decodeIsolated decodes a line. It returns false if the decoder panics.
func (p *decoderPool) decodeIsolated(text string) (line decodedLine, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			p.receiver.metrics.add(decoderPanics, 1)
			p.receiver.metrics.logLimited("decoder_panic", "line", excerpt(text), "cause", fmt.Sprint(cause))
		}
	}()
	return p.decode(text), true
}

// deliver commits a decoded chunk, unless the connection has another owner by now. While the sample queue is full, it
// waits until there is room, the worker is replaced or the receiver stops. It reports whether the connection must be
// scheduled again.
func (p *decoderPool) deliver(w *worker, conn *shardConn, chunk decodedChunk) (wake bool) {
	for {
		outcome := p.commit(conn, chunk)
		if outcome.stale {
			return false
		}
		if outcome.full == nil {
			p.finish(conn, outcome)
			return true
		}
		w.busySince.Store(0) // waiting for the router does not count as stalled
		select {
		case <-outcome.full:
		case <-w.replaced:
			return false
		case <-p.receiver.stop:
			return false
		}
		w.busySince.Store(int64(p.now()))
	}
}

// finish answers the pings of a committed chunk. It ends the connection if one of the lines requires it or a pong can't
// be sent.
func (p *decoderPool) finish(conn *shardConn, outcome commitResult) {
	end := outcome.end
	if outcome.pings > 0 { // even if the connection must end, so that pongs are sent as without a decoder pool
		if err := p.receiver.sendPongs(conn.collector, outcome.pings); end == nil {
			end = err
		}
	}
	if end != nil {
		conn.abort(end)
	}
	notify(conn.chunkDone)
}

// commitResult is the result of committing a decoded chunk.
type commitResult struct {
	stale bool            // the chunk is dropped: the connection has a new owner or was aborted
	full  <-chan struct{} // not nil: the sample queue is full until this channel is closed
	pings int             // number of pings to answer
	end   error           // why the connection must end; nil: it continues
}

// commit puts the lines of a decoded chunk into effect, under the connection's lock and only if the chunk was decoded by
// the current owner. With a decoder pool, lines take effect nowhere else.
func (p *decoderPool) commit(conn *shardConn, chunk decodedChunk) commitResult {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.owner.Epoch != chunk.epoch || len(conn.chunks) == 0 {
		return commitResult{stale: true}
	}
	if full := p.samples.full(); full != nil {
		return commitResult{full: full}
	}
	batch := sampleBatch{samples: make([]sharding.Sample, 0, len(chunk.lines))}
	outcome := p.handleLines(conn.collector, chunk, &batch)
	batch.counts.addTo(p.receiver.metrics)
	if len(batch.samples) > 0 {
		p.samples.push(batch.samples)
	}
	conn.chunks = conn.chunks[1:]
	conn.partial = chunk.partial
	return outcome
}

// handleLines handles the lines of a chunk in order, up to the first one that must end the connection.
func (p *decoderPool) handleLines(conn *collectorConn, chunk decodedChunk, batch *sampleBatch) (outcome commitResult) {
	now := time.Now()
	for _, line := range chunk.lines {
		if len(line.text) > p.receiver.maxLineLength(conn) {
			outcome.end = errLineTooLong
			return outcome
		}
		reported, pinged, err := p.receiver.handleLine(conn, now, line)
		if err != nil {
			outcome.end = err
			return outcome
		}
		if pinged {
			outcome.pings++
		}
		if reported != nil {
			batch.add(reported)
		}
	}
	if len(chunk.partial) > p.receiver.maxLineLength(conn) {
		outcome.end = errLineTooLong
	}
	return outcome
}

// sampleBatch holds the samples of one chunk, and counts them: updating a shared counter for each line would make the cores
// contend for it.
type sampleBatch struct {
	samples []sharding.Sample
	counts  sampleCounts
}

func (b *sampleBatch) add(reported sample) {
	b.samples = append(b.samples, reported.shardingSample())
	b.counts.add(reported.counts())
}

// finishConn closes a connection after all its chunks are delivered. Its phase is connClosed, so conn.err no longer
// changes.
func (p *decoderPool) finishConn(conn *shardConn, partial []byte) {
	err := conn.err
	if err == io.EOF && len(partial) > 0 {
		err = io.ErrUnexpectedEOF
	}
	p.receiver.closeConn(conn.collector, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn.id)
	p.apply(func(now time.Duration) sharding.Actions { return p.assigner.HandleConnClosed(now, conn.id) })
}
