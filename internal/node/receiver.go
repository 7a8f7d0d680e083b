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

// receiver owns the connections that tell the manager something: the listener and its collectors (listener.go,
// collector_conn.go), the relay's news (news.go), discovery's watch (watch.go) and the probes that the module ordered
// (probe.go). It hands on decoded inputs in the order in which each connection delivered them, and replaces what is
// broken or silent. It must never write to a collector, call the module or fill a gap by a guess.
type receiver struct {
	limits      config.Limits
	decoder     *decoder
	inputs      chan<- input
	stop        <-chan struct{}
	metrics     *metrics
	isReady     func() bool // whether pings are answered
	mu          sync.Mutex
	jitter      *rand.Rand       // of backoff; used under mu
	conns       []*collectorConn // connections to the manager's address; used under mu
	decoderPool *decoderPool     // decodes on several cores; nil: each connection decodes its own lines
}

var errStopped = errors.New("the manager ends")

// enqueue hands an input to the module's owner; false once the manager ends.
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
// Guards against a message that ends the process. The owner of the module is not run by it: its state may be half
// changed.
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
