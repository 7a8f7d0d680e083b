package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

// feed serves the replicas of the versioned tables on a listener of its own. The operator's settings name its address;
// without that setting there is no feed. The feed owns the connections; versions.Peer decides what to send to a replica,
// based on the view published last. The feed must not delay the router, and must not send tables to a replica that has
// not proved that it has a key. Its methods are safe for concurrent use.
type feed struct {
	metrics     *metrics
	startedAt   time.Time
	maxReplicas int
	retry       versions.RetrySettings

	heartbeatInterval time.Duration

	keys     atomic.Pointer[tables.Keys] // a reload replaces them
	replicas atomic.Int64                // number of open connections

	mu      sync.Mutex // guards the fields below
	view    versions.View
	changed chan struct{}       // closed when the next view is published
	encoded map[deltaKey][]byte // deltas to the newest version; most replicas have the same base
}

// deltaKey identifies an encoded delta in the cache.
type deltaKey struct {
	head       tables.ID
	base       tables.ID
	baseDigest tables.Digest
}

// maxEncodedDeltas is the maximum number of cached encoded deltas.
const maxEncodedDeltas = 64

func newFeed(keys tables.Keys, maxReplicas int, m *metrics) *feed {
	f := &feed{
		metrics:     m,
		startedAt:   time.Now(),
		maxReplicas: maxReplicas,
		retry:       versions.DefaultRetrySettings(),

		heartbeatInterval: follow.HeartbeatInterval,

		changed: make(chan struct{}),
		encoded: map[deltaKey][]byte{},
	}
	f.keys.Store(&keys)
	return f
}

// publish replaces the view from which replicas are updated, and wakes the goroutines that wait for a new one.
func (f *feed) publish(view versions.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
	clear(f.encoded)
	close(f.changed)
	f.changed = make(chan struct{})
}

// current returns the view, and a channel that is closed when the next one is published.
func (f *feed) current() (versions.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.changed
}

// encode encodes a delta. It caches the result for other replicas with the same base.
func (f *feed) encode(delta *tables.Delta) ([]byte, error) {
	key := deltaKey{head: delta.ID, base: delta.Base, baseDigest: delta.BaseDigest}
	f.mu.Lock()
	defer f.mu.Unlock()
	if encoded, ok := f.encoded[key]; ok {
		return encoded, nil
	}
	encoded, err := delta.Encode(*f.keys.Load())
	if err == nil && len(f.encoded) < maxEncodedDeltas {
		f.encoded[key] = encoded
	}
	return encoded, err
}

// listen accepts replicas until the returned listener is closed. Closing stop ends their connections.
func (f *feed) listen(address string, stop <-chan struct{}) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go f.acceptLoop(listener, stop)
	return listener, nil
}

func (f *feed) acceptLoop(listener net.Listener, stop <-chan struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if f.replicas.Load() >= int64(f.maxReplicas) {
			conn.Close()
			f.metrics.add(replicasRejected, 1)
			continue
		}
		f.replicas.Add(1)
		go func() {
			defer f.replicas.Add(-1)
			defer conn.Close()
			f.serve(conn, stop)
		}()
	}
}
