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

// worker decodes the lines of a shard's connections in a goroutine of its own. A shard whose worker stalls or panics
// gets another one.
type worker struct {
	shard     sharding.ShardID
	busySince atomic.Int64 // start of the chunk in work, nanoseconds since the pool's start; 0: none
	current   atomic.Pointer[shardConn]
	filled    chan struct{}
	replaced  chan struct{} // closed once another worker has the shard

	mu    sync.Mutex // of queue
	queue []*shardConn
}

func newWorker(shard sharding.ShardID) *worker {
	return &worker{shard: shard, filled: make(chan struct{}, 1), replaced: make(chan struct{})}
}

// enqueue puts a connection behind those that are queued for the worker.
func (w *worker) enqueue(conn *shardConn) {
	w.mu.Lock()
	w.queue = append(w.queue, conn)
	w.mu.Unlock()
	notify(w.filled)
}

// next takes the connection that was queued first; nil without one.
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

// busyFor tells how long the worker has been busy with one chunk; false where it waits.
func (w *worker) busyFor(now time.Duration) (time.Duration, bool) {
	since := w.busySince.Load()
	if since <= 0 {
		return 0, false
	}
	return now - time.Duration(since), true
}

// runWorker works for a shard until the worker is replaced or the receiver stops. A panic ends it; the assigner is notified.
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

// handlePanic has the assigner replace a worker that panicked, unless that has been done.
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

// serveNext does the next thing that is due for a connection: it releases it, delivers one chunk, or closes it.
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
	began := p.now()
	w.busySince.Store(int64(began))
	batch := p.decodeChunk(task)
	wake := p.deliver(w, conn, batch)
	w.busySince.Store(0)
	conn.workNanos.Add(int64(p.now() - began))
	if wake {
		p.wake(conn)
	}
}

// decodedChunk is what a chunk was decoded to, under the epoch of the owner that did.
type decodedChunk struct {
	epoch   sharding.Epoch
	lines   []decodedLine
	partial []byte // the partial line behind them
}

// decodeChunk decodes the lines of a chunk. Where a worker panicked on the connection, a line that makes the decoder
// panic is skipped alone.
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

// decodeIsolated decodes a line; false where the decoder panics.
func (p *decoderPool) decodeIsolated(text string) (line decodedLine, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			p.receiver.metrics.add(decoderPanics, 1)
			p.receiver.metrics.logLimited("decoder_panic", "line", excerpt(text), "cause", fmt.Sprint(cause))
		}
	}()
	return p.decode(text), true
}

// deliver hands on what a chunk was decoded to, once and completely. It waits while the sample queue is full. It tells
// whether more is to be done for the connection.
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
		w.busySince.Store(0) // it waits for the router, it is not stalled
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

// finish answers the pings of a committed chunk and ends the connection where that is due.
func (p *decoderPool) finish(conn *shardConn, outcome commitResult) {
	end := outcome.end
	if outcome.pings > 0 { // also before a close, as where one core decodes
		if err := p.receiver.sendPongs(conn.collector, outcome.pings); end == nil {
			end = err
		}
	}
	if end != nil {
		conn.abort(end)
	}
	notify(conn.chunkDone)
}

// commitResult is what became of a decoded chunk.
type commitResult struct {
	stale bool            // the connection has another owner
	full  <-chan struct{} // not nil: there is no room, until it is closed
	pings int             // to be answered
	end   error           // why the connection is to end
}

// commit is the one place where what a connection sent takes effect: under its lock, by the owner in force.
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

// handleLines handles the lines of a chunk in order, up to the first that ends the connection.
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

// sampleBatch is the samples of one chunk, with their counts: cores that write a counter for each line contend for it.
type sampleBatch struct {
	samples []sharding.Sample
	counts  sampleCounts
}

func (b *sampleBatch) add(one sample) {
	b.samples = append(b.samples, one.queued())
	b.counts.add(one.counts())
}

// finishConn closes a connection of which all is delivered. Its phase is connClosed, so that err no longer changes.
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
