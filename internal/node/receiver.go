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
// the relay's event stream (proxy_events.go), discovery's watch (watch.go) and health checks (health_check.go). It passes
// decoded inputs on in the order in which each connection delivered them, and replaces connections that are broken or
// silent. It must never send a collector anything but pongs, call the balancer or fill a gap in the inputs with a guess.
// Its methods are safe for concurrent use.
type receiver struct {
	limits      config.Limits
	decoder     *decoder
	inputs      chan<- input
	stop        <-chan struct{} // closed when the manager stops; ends all goroutines of the receiver
	metrics     *metrics
	isReady     func() bool  // reports whether the manager is ready; until then pings are not answered
	decoderPool *decoderPool // decodes on several cores; if nil, each connection's goroutine decodes its lines

	mu     sync.Mutex       // guards the fields below
	jitter *rand.Rand       // for backoff
	conns  []*collectorConn // to the manager's address; mu also guards their state, zone and lastReport
}

var errStopped = errors.New("the manager is stopping")

// enqueue passes an input to the router; it returns false once the manager is stopping.
func (r *receiver) enqueue(in input) bool { return enqueue(in, r.inputs, r.stop) }

// enqueue passes an input to the router through inputs; it returns false if stop is closed first.
func enqueue(in input, inputs chan<- input, stop <-chan struct{}) bool {
	select {
	case inputs <- in:
		return true
	case <-stop:
		return false
	}
}

// isLocalFailure reports whether a connection failed for lack of a local resource, which says nothing about the peer. When
// this process runs out of descriptors, zones must not be taken for unreachable or servers for failed.
func isLocalFailure(err error) bool {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// recoverPanic runs a reader of external input and turns a panic into an error that ends only the reader's connection, so
// that no message can crash the process. The router must not run under it: a panic could leave its state half changed.
func recoverPanic(m *metrics, reader string, read func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			m.add(readerPanics, 1)
			m.logLimited("reader_panic", "reader", reader, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = errors.Join(errUnreadable, fmt.Errorf("panic in reader %q: %v", reader, cause))
		}
	}()
	return read()
}
