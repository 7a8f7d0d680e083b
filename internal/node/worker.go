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

// worker decodes the lines of a lane's connections; a lane whose worker is lost gets another.
type worker struct {
	shard     sharding.ShardID
	busySince atomic.Int64 // of the piece in hand, nanoseconds since the hub's start; 0: none
	current   atomic.Pointer[shardConn]
	filled    chan struct{}
	replaced  chan struct{} // closed once another worker has the lane
	mu        sync.Mutex
	queue     []*shardConn
}

func newWorker(lane sharding.ShardID) *worker {
	return &worker{shard: lane, filled: make(chan struct{}, 1), replaced: make(chan struct{})}
}

// enqueue puts a connection behind those that wait for the worker.
func (w *worker) enqueue(conn *shardConn) {
	w.mu.Lock()
	w.queue = append(w.queue, conn)
	w.mu.Unlock()
	notify(w.filled)
}

// next takes the connection that has waited longest; nil without one.
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

// busyFor is how long the worker has been at the piece in hand; false where it waits.
func (w *worker) busyFor(now time.Duration) (time.Duration, bool) {
	since := w.busySince.Load()
	if since <= 0 {
		return 0, false
	}
	return now - time.Duration(since), true
}

// runWorker works for a lane until the worker is replaced. A panic ends it; the keeper hears of it.
func (h *decoderPool) runWorker(w *worker) {
	defer func() {
		if cause := recover(); cause != nil {
			h.handlePanic(w, cause)
		}
	}()
	for {
		if conn := w.next(); conn != nil {
			h.serveNext(w, conn)
			continue
		}
		select {
		case <-w.filled:
		case <-w.replaced:
			return
		case <-h.receiver.stop:
			return
		}
	}
}

func (h *decoderPool) handlePanic(w *worker, cause any) {
	conn := w.current.Load()
	h.receiver.metrics.logEvent("shard_worker_panic", "shard", int(w.shard), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-w.replaced:
		return
	default:
	}
	conn.isolate()
	h.apply(func(now time.Duration) sharding.Actions { return h.assigner.HandleWorkerFailed(now, w.shard, conn.id) })
}

// serveNext does the next thing that is due for a connection: it holds it, delivers one piece, or closes it.
func (h *decoderPool) serveNext(w *worker, conn *shardConn) {
	w.current.Store(conn)
	task, ok := conn.nextTask(w.shard)
	if !ok {
		return
	}
	if task.release {
		h.notifyAssigner(func(now time.Duration) sharding.Actions {
			return h.assigner.HandleConnDrained(now, conn.id, task.epoch)
		})
		return
	}
	if !task.acquired {
		h.notifyAssigner(func(now time.Duration) sharding.Actions {
			return h.assigner.HandleConnAcquired(now, conn.id, task.epoch)
		})
	}
	if task.last {
		h.closeConn(conn, task.partial)
	}
	if task.piece == nil {
		return
	}
	began := h.now()
	w.busySince.Store(int64(began))
	batch := h.decodePiece(task)
	wake := h.deliver(w, conn, batch)
	w.busySince.Store(0)
	conn.workNanos.Add(int64(h.now() - began))
	if wake {
		h.wake(conn)
	}
}

// decodedPiece is what a piece was decoded to, under the epoch of the owner that did.
type decodedPiece struct {
	epoch   sharding.Epoch
	lines   []decodedLine
	partial []byte // the half line behind them
}

// decodePiece decodes the lines of a piece. Where a worker failed over the connection, a line that makes the decoder
// panic is left out alone.
func (h *decoderPool) decodePiece(task shardTask) decodedPiece {
	piece := decodedPiece{epoch: task.epoch}
	piece.partial, _ = cutLines(task.partial, task.piece, func(line []byte) error {
		text := string(line)
		if !task.isolateLines {
			piece.lines = append(piece.lines, h.decode(text))
		} else if decoded, ok := h.decodeIsolated(text); ok {
			piece.lines = append(piece.lines, decoded)
		}
		return nil
	})
	return piece
}

// decodeIsolated decodes a line; false where the decoder panics.
func (h *decoderPool) decodeIsolated(text string) (line decodedLine, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			h.receiver.metrics.add(decoderPanics, 1)
			h.receiver.metrics.logLimited("decoder_panic", "line", excerpt(text), "cause", fmt.Sprint(cause))
		}
	}()
	return h.decode(text), true
}

// deliver hands on what a piece was decoded to, once and whole. It waits while there is no room. It tells whether more
// is to be done for the connection.
func (h *decoderPool) deliver(w *worker, conn *shardConn, piece decodedPiece) (wake bool) {
	for {
		outcome := h.commit(conn, piece)
		if outcome.stale {
			return false
		}
		if outcome.full == nil {
			h.finish(conn, outcome)
			return true
		}
		w.busySince.Store(0) // it waits for the decisions, it does not stand still
		select {
		case <-outcome.full:
		case <-w.replaced:
			return false
		case <-h.receiver.stop:
			return false
		}
		w.busySince.Store(int64(h.now()))
	}
}

// finish answers what was committed and ends the connection where that is due.
func (h *decoderPool) finish(conn *shardConn, outcome commitOutcome) {
	end := outcome.end
	if outcome.pings > 0 { // also before a close, as where one core decodes
		if err := h.receiver.sendPongs(conn.collector, outcome.pings); end == nil {
			end = err
		}
	}
	if end != nil {
		conn.abort(end)
	}
	notify(conn.pieceDone)
}

// commitOutcome is what became of a decoded piece.
type commitOutcome struct {
	stale bool            // the connection has another owner
	full  <-chan struct{} // not nil: there is no room, until it is closed
	pings int             // to be answered
	end   error           // why the connection is to end
}

// commit is the one place where what a connection sent takes effect: under its lock, by the owner in force.
func (h *decoderPool) commit(conn *shardConn, piece decodedPiece) commitOutcome {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.owner.Epoch != piece.epoch || len(conn.pieces) == 0 {
		return commitOutcome{stale: true}
	}
	if full := h.samples.full(); full != nil {
		return commitOutcome{full: full}
	}
	batch := sampleBatch{values: make([]any, 0, len(piece.lines))}
	outcome := h.handleLines(conn.collector, piece, &batch)
	batch.counts.addTo(h.receiver.metrics)
	if len(batch.values) > 0 {
		h.samples.push(batch.values)
	}
	conn.pieces = conn.pieces[1:]
	conn.partial = piece.partial
	return outcome
}

// handleLines takes the lines of a piece in order, up to the first that ends the connection.
func (h *decoderPool) handleLines(conn *collectorConn, piece decodedPiece, batch *sampleBatch) (outcome commitOutcome) {
	now := time.Now()
	for _, line := range piece.lines {
		if len(line.text) > h.receiver.maxLineLength(conn) {
			outcome.end = errLineTooLong
			return outcome
		}
		reported, pinged, err := h.receiver.handleLine(conn, now, line)
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
	if len(piece.partial) > h.receiver.maxLineLength(conn) {
		outcome.end = errLineTooLong
	}
	return outcome
}

// sampleBatch is the samples of one piece, with their counts: cores that write one counter for each line hold one
// another up.
type sampleBatch struct {
	values []any // for the mailbox
	counts sampleCounts
}

func (b *sampleBatch) add(one sample) {
	b.values = append(b.values, one.mailboxValue())
	b.counts.add(one.counts())
}

// closeConn ends a connection of which all is delivered.
func (h *decoderPool) closeConn(conn *shardConn, partial []byte) {
	err := conn.err
	if err == io.EOF && len(partial) > 0 {
		err = io.ErrUnexpectedEOF
	}
	h.receiver.closeConn(conn.collector, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, conn.id)
	h.apply(func(now time.Duration) sharding.Actions { return h.assigner.HandleConnClosed(now, conn.id) })
}
