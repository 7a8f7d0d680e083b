package node

import (
	"errors"
	"sync"
	"time"

	"tamarindshore/internal/sharding"
)

// decoderPool decodes the connections of collectors on several cores: each connection's bytes are read by a goroutine of its
// own, its lines are decoded by the worker of the lane that owns it, and the samples wait in one queue for the router.
// Package lanes decides who owns what. The hub owns the workers, the pieces that were read and not yet delivered, and
// the keeper's clock; it must never deliver a piece twice, out of order, or under an epoch that is over, nor delay the
// decisions.
type decoderPool struct {
	receiver  *receiver
	samples   *sampleQueue
	startedAt time.Time
	decode    func(line string) decodedLine

	mu         sync.Mutex // of all below; taken before that of a laneConn
	assigner   *sharding.Assigner
	settings   sharding.Settings
	conns      map[sharding.ConnID]*shardConn
	workers    []*worker
	lastConnID sharding.ConnID
}

func newDecoderPool(r *receiver, samples *sampleQueue, terms sharding.Settings) *decoderPool {
	h := &decoderPool{
		receiver:  r,
		samples:   samples,
		startedAt: time.Now(),
		settings:  terms,
		assigner:  sharding.NewAssigner(terms),
		conns:     map[sharding.ConnID]*shardConn{},
		decode:    r.decodeLine,
	}
	for lane := range terms.Shards {
		h.workers = append(h.workers, h.startWorker(sharding.ShardID(lane)))
	}
	return h
}

func (h *decoderPool) startWorker(lane sharding.ShardID) *worker {
	w := newWorker(lane)
	go h.runWorker(w)
	return w
}

func (h *decoderPool) now() time.Duration { return time.Since(h.startedAt) }

// notifyAssigner gives the keeper one input and carries out what it decides.
func (h *decoderPool) notifyAssigner(input func(now time.Duration) sharding.Actions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(input)
}

// apply carries out what the keeper decides on one input. mu is held.
func (h *decoderPool) apply(input func(now time.Duration) sharding.Actions) {
	acts := input(h.now())
	for _, place := range acts.Drain {
		h.schedule(place, true)
	}
	for _, lane := range acts.RestartWorkers {
		close(h.workers[lane].replaced)
		h.workers[lane] = h.startWorker(lane)
		h.receiver.metrics.add(shardRestarts, 1)
	}
	for _, place := range acts.Assign {
		h.assign(place)
	}
	for _, id := range acts.Close {
		if conn := h.conns[id]; conn != nil {
			conn.collector.Close()
			go h.endConn(conn, errors.Join(errUnreadable, errors.New("lanes failed over it")))
		}
	}
	for _, note := range acts.LogTexts {
		h.receiver.metrics.logEvent("shard", "note", note)
	}
}

// assign gives a connection to the owner named. mu is held.
func (h *decoderPool) assign(place sharding.Assignment) {
	if place.Owner.Epoch > 1 {
		h.receiver.metrics.add(shardMoves, 1)
	}
	if conn := h.conns[place.Conn]; conn != nil {
		conn.assign(place.Owner)
		h.schedule(place, false)
	}
}

// schedule queues a connection for its owner's worker, if that is still the owner named. mu is held.
func (h *decoderPool) schedule(place sharding.Assignment, hold bool) {
	conn := h.conns[place.Conn]
	if conn == nil {
		return
	}
	if conn.queueFor(place.Owner, hold) {
		h.workers[place.Owner.Shard].enqueue(conn)
	}
}

// wake queues a connection for its owner, whoever that is by now.
func (h *decoderPool) wake(conn *shardConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.schedule(sharding.Assignment{Conn: conn.id, Owner: conn.currentOwner()}, false)
}

// serveConn reads a connection's bytes until it ends; the owner of its laneConn does the rest.
func (h *decoderPool) serveConn(collector *collectorConn) {
	conn := h.register(collector)
	size := h.receiver.limits.ReadChunkBytes / 4
	for {
		piece := make([]byte, size)
		n, err := collector.Read(piece)
		if n > 0 && !h.pushPiece(conn, piece[:n]) {
			err = errStopped
		}
		if n == size {
			size = h.receiver.limits.ReadChunkBytes
		}
		if err != nil {
			h.endConn(conn, err)
			return
		}
	}
}

// register gives a connection its number and an owner.
func (h *decoderPool) register(collector *collectorConn) *shardConn {
	conn := &shardConn{collector: collector, pieceDone: make(chan struct{}, 1)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastConnID++
	conn.id = h.lastConnID
	h.conns[conn.id] = conn
	h.apply(func(now time.Duration) sharding.Actions { return h.assigner.HandleConnOpened(now, conn.id) })
	return conn
}

// pushPiece appends a piece that was read; it waits while there are too many. False once nothing more is wanted.
func (h *decoderPool) pushPiece(conn *shardConn, piece []byte) bool {
	for {
		switch conn.tryPush(piece, h.receiver.limits.MaxQueuedChunks) {
		case pushEnded:
			return false
		case pushWake:
			h.wake(conn)
			return true
		case pushQueued:
			return true
		case pushFull:
		}
		select {
		case <-conn.pieceDone:
		case <-h.receiver.stop:
			return false
		}
	}
}

// endConn notes that nothing more is read of a connection; its owner closes it.
func (h *decoderPool) endConn(conn *shardConn, err error) {
	conn.markEnded(err)
	h.wake(conn)
}

// runAssignerClock is the keeper's clock: it checks the workers, and once in a window tells the work that each connection
// took.
func (h *decoderPool) runAssignerClock() {
	ticker := time.NewTicker(h.settings.CheckInterval)
	defer ticker.Stop()
	windowBegan := h.now()
	for {
		select {
		case <-h.receiver.stop:
			return
		case <-ticker.C:
		}
		h.checkWorkers()
		if now := h.now(); now-windowBegan >= h.settings.RebalanceInterval {
			h.reportWork(now - windowBegan)
			windowBegan = now
		}
	}
}

// idleWorker is what the keeper is told of a worker that waits.
const idleWorker = time.Duration(-1)

func (h *decoderPool) checkWorkers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var busyFor []time.Duration
	for _, w := range h.workers {
		busy, working := w.busyFor(h.now())
		if !working {
			busy = idleWorker
		}
		busyFor = append(busyFor, busy)
	}
	h.apply(func(now time.Duration) sharding.Actions { return h.assigner.HandleWorkerCheck(now, busyFor) })
}

func (h *decoderPool) reportWork(window time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cores := map[sharding.ConnID]float64{}
	for id, conn := range h.conns {
		if work := conn.workNanos.Swap(0); work > 0 {
			cores[id] = float64(work) / float64(window)
		}
	}
	h.apply(func(now time.Duration) sharding.Actions { return h.assigner.HandleLoad(now, cores) })
}
