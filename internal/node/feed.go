package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

// feed serves replicas of versioned tables at a listener of its own, which the operator's settings name; without them
// there is none. It owns the connections; what a replica is sent is decided by versions.Peer from the view that was
// published last. It must never hold up the decisions, nor send anything to a replica that cannot prove that it has a
// key. Its methods are safe for concurrent use.
type feed struct {
	metrics     *metrics
	startedAt   time.Time
	maxReplicas int
	retry       versions.RetrySettings
	keys        atomic.Pointer[tables.Keys] // replaced by a reload
	replicas    atomic.Int64                // connected

	mu      sync.Mutex // of all below
	view    versions.View
	changed chan struct{}       // closed once another view is published
	encoded map[deltaKey][]byte // deltas to the newest version: most replicas run the same one
}

// deltaKey identifies a delta among those to the newest version.
type deltaKey struct {
	head       tables.ID
	base       tables.ID
	baseDigest tables.Digest
}

// maxEncodedDeltas is how many encoded deltas are cached.
const maxEncodedDeltas = 64

func newFeed(keys tables.Keys, maxReplicas int, m *metrics) *feed {
	f := &feed{
		metrics:     m,
		startedAt:   time.Now(),
		maxReplicas: maxReplicas,
		retry:       versions.DefaultRetrySettings(),
		changed:     make(chan struct{}),
		encoded:     map[deltaKey][]byte{},
	}
	f.keys.Store(&keys)
	return f
}

// publish replaces the view that replicas are sent.
func (f *feed) publish(view versions.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
	clear(f.encoded)
	close(f.changed)
	f.changed = make(chan struct{})
}

// current gives the view, and a channel that is closed once there is another one.
func (f *feed) current() (versions.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.changed
}

// encode encodes a delta, once for all replicas that run its base.
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

// listen accepts replicas until the listener that it returns is closed; their connections end once stop is closed.
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
