package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"syscall"

	"tamarindshore/internal/config"
)

// receiver owns the connections that inputs come from: the listener and its collectors (listener.go, collector_conn.go),
// the relay's event stream (proxy_events.go), discovery's watch (watch.go) and health checks (health_check.go). It hands
// on decoded inputs in the order in which each connection delivered them, and replaces connections that are broken or
// silent. It must never write to a collector but pongs, call the balancer or fill a gap by a guess. Its methods are safe
// for concurrent use.
type receiver struct {
	limits      config.Limits
	decoder     *decoder
	inputs      chan<- input
	stop        <-chan struct{} // closed once the manager ends; all goroutines of the receiver end with it
	metrics     *metrics
	isReady     func() bool  // whether pings are answered
	decoderPool *decoderPool // decodes on several cores; nil: each connection decodes its own lines

	mu     sync.Mutex       // of all below
	jitter *rand.Rand       // of backoff
	conns  []*collectorConn // to the manager's address; mu also guards their named, zone, reported and lastReport
}

var errStopped = errors.New("the manager ends")

// enqueue hands an input to the router; false once the manager ends.
func (r *receiver) enqueue(in input) bool { return enqueue(in, r.inputs, r.stop) }

func enqueue(in input, inputs chan<- input, stop <-chan struct{}) bool {
	select {
	case inputs <- in:
		return true
	case <-stop:
		return false
	}
}

// isLocalFailure tells whether a connection failed for want of a local resource, which says nothing of the peer. Guards
// against a zone that is taken for lost, or servers for silent, when this process has no descriptors left.
func isLocalFailure(err error) bool {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// recoverPanic runs a reader of outside input and turns a panic of it into an error that ends its connection alone.
// Guards against a message that ends the process. The router is not run by it: its state may be half changed.
func recoverPanic(m *metrics, reader string, read func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			m.add(readerPanics, 1)
			m.logLimited("reader_panic", "reader", reader, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = errors.Join(errUnreadable, fmt.Errorf("the reader failed: %v", cause))
		}
	}()
	return read()
}
