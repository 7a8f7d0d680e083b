package node

import (
	"errors"
	"sync"
	"time"

	"tamarindshore/internal/sharding"
)

// decoderPool decodes the lines of collectors on several cores. Each connection is read by a goroutine of its own and
// decoded by the worker of the shard that owns it; the samples wait in one queue for the router. Package sharding decides
// which shard owns a connection. The pool owns the workers, the chunks that were read and not yet delivered, and the
// assigner's clock. It must never deliver a chunk twice, out of order or under an outdated epoch, nor delay the router's
// decisions. Its goroutines end when the receiver stops.
type decoderPool struct {
	receiver  *receiver
	samples   *sampleQueue
	startedAt time.Time
	decode    func(line string) decodedLine

	mu         sync.Mutex // guards the fields below; locked before a shardConn's mu
	assigner   *sharding.Assigner
	settings   sharding.Settings
	conns      map[sharding.ConnID]*shardConn
	workers    []*worker
	lastConnID sharding.ConnID
}

func newDecoderPool(r *receiver, samples *sampleQueue, settings sharding.Settings) *decoderPool {
	p := &decoderPool{
		receiver:  r,
		samples:   samples,
		startedAt: time.Now(),
		settings:  settings,
		assigner:  sharding.NewAssigner(settings),
		conns:     map[sharding.ConnID]*shardConn{},
		decode:    r.decodeLine,
	}
	for shard := range settings.Shards {
		p.workers = append(p.workers, p.startWorker(sharding.ShardID(shard)))
	}
	return p
}

func (p *decoderPool) startWorker(shard sharding.ShardID) *worker {
	w := newWorker(shard)
	go p.runWorker(w)
	return w
}

func (p *decoderPool) now() time.Duration { return time.Since(p.startedAt) }

// notifyAssigner calls handle, which passes an event to the assigner, and applies the resulting actions.
func (p *decoderPool) notifyAssigner(handle func(now time.Duration) sharding.Actions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(handle)
}

// apply does the work of notifyAssigner. The caller holds mu.
func (p *decoderPool) apply(handle func(now time.Duration) sharding.Actions) {
	actions := handle(p.now())
	for _, assignment := range actions.Drain {
		p.schedule(assignment, true)
	}
	for _, shard := range actions.RestartWorkers {
		close(p.workers[shard].replaced)
		p.workers[shard] = p.startWorker(shard)
		p.receiver.metrics.add(shardRestarts, 1)
	}
	for _, assignment := range actions.Assign {
		p.assign(assignment)
	}
	for _, id := range actions.Close {
		if conn := p.conns[id]; conn != nil {
			conn.collector.Close()
			go p.endConn(conn, errors.Join(errUnreadable, errWorkersPanicked)) // in a goroutine, because endConn locks mu
		}
	}
	for _, record := range actions.LogRecords {
		p.receiver.metrics.logRecord(record)
	}
}

// errWorkersPanicked ends a connection whose lines repeatedly made the workers of shards panic.
var errWorkersPanicked = errors.New("the connection's lines repeatedly made the workers of shards panic")

// assign makes an owner responsible for a connection. The caller holds mu.
func (p *decoderPool) assign(assignment sharding.Assignment) {
	if assignment.Owner.Epoch > 1 {
		p.receiver.metrics.add(shardMoves, 1)
	}
	if conn := p.conns[assignment.Conn]; conn != nil {
		conn.assign(assignment.Owner)
		p.schedule(assignment, false)
	}
}

// schedule queues a connection for the worker of the assignment's owner, unless the connection has another owner by now.
// If release is set, the owner must release the connection. The caller holds mu.
func (p *decoderPool) schedule(assignment sharding.Assignment, release bool) {
	conn := p.conns[assignment.Conn]
	if conn == nil {
		return
	}
	if conn.markQueued(assignment.Owner, release) {
		p.workers[assignment.Owner.Shard].enqueue(conn)
	}
}

// wake queues a connection for the worker of its current owner.
func (p *decoderPool) wake(conn *shardConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule(sharding.Assignment{Conn: conn.id, Owner: conn.currentOwner()}, false)
}

// readConn reads a connection's bytes until it ends; the shard that owns the connection decodes and closes it.
func (p *decoderPool) readConn(collector *collectorConn) {
	conn := p.register(collector)
	size := p.receiver.limits.ReadChunkBytes / 4 // the full size is used once a read has filled a chunk
	for {
		chunk := make([]byte, size)
		n, err := collector.Read(chunk)
		if n > 0 && !p.pushChunk(conn, chunk[:n]) {
			err = errStopped
		}
		if n == size {
			size = p.receiver.limits.ReadChunkBytes
		}
		if err != nil {
			p.endConn(conn, err)
			return
		}
	}
}

// register gives a connection its ID and has the assigner choose its first owner.
func (p *decoderPool) register(collector *collectorConn) *shardConn {
	conn := &shardConn{collector: collector, chunkDone: make(chan struct{}, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastConnID++
	conn.id = p.lastConnID
	p.conns[conn.id] = conn
	p.apply(func(now time.Duration) sharding.Actions { return p.assigner.HandleConnOpened(now, conn.id) })
	return conn
}

// pushChunk queues a chunk that was read, after waiting until fewer than MaxQueuedChunks are queued. It returns false once
// the connection has ended or the receiver stops.
func (p *decoderPool) pushChunk(conn *shardConn, chunk []byte) bool {
	for {
		switch conn.tryPush(chunk, p.receiver.limits.MaxQueuedChunks) {
		case pushEnded:
			return false
		case pushWake:
			p.wake(conn)
			return true
		case pushAccepted:
			return true
		case pushFull:
		}
		select {
		case <-conn.chunkDone:
		case <-p.receiver.stop:
			return false
		}
	}
}

// endConn records that reading from a connection has ended, and why; the connection's owner closes it.
func (p *decoderPool) endConn(conn *shardConn, err error) {
	conn.markEnded(err)
	p.wake(conn)
}

// runAssignerClock checks the workers at each CheckInterval, and at each RebalanceInterval reports the load of every
// connection to the assigner. It returns when the receiver stops.
func (p *decoderPool) runAssignerClock() {
	ticker := time.NewTicker(p.settings.CheckInterval)
	defer ticker.Stop()
	windowStart := p.now()
	for {
		select {
		case <-p.receiver.stop:
			return
		case <-ticker.C:
		}
		p.checkWorkers()
		if now := p.now(); now-windowStart >= p.settings.RebalanceInterval {
			p.reportLoad(now - windowStart)
			windowStart = now
		}
	}
}

// workerIdle is reported to the assigner as the busy time of a worker that is idle.
const workerIdle = time.Duration(-1)

// checkWorkers reports to the assigner how long each worker has been busy with its current chunk.
func (p *decoderPool) checkWorkers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var busyFor []time.Duration
	for _, w := range p.workers {
		busy, working := w.busyFor(p.now())
		if !working {
			busy = workerIdle
		}
		busyFor = append(busyFor, busy)
	}
	p.apply(func(now time.Duration) sharding.Actions { return p.assigner.HandleWorkerCheck(now, busyFor) })
}

// reportLoad reports to the assigner how many cores each connection used during a window.
func (p *decoderPool) reportLoad(window time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cores := map[sharding.ConnID]float64{}
	for id, conn := range p.conns {
		if work := conn.workNanos.Swap(0); work > 0 {
			cores[id] = float64(work) / float64(window)
		}
	}
	p.apply(func(now time.Duration) sharding.Actions { return p.assigner.HandleLoad(now, cores) })
}
