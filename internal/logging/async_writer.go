package logging

import (
	"io"
	"time"
)

// AsyncWriter writes log lines from a goroutine of its own, so that a caller never blocks: a stalled reader of the log
// would otherwise stop the balancer's decisions. A line that finds the queue full is dropped and reported to a callback.
// It may be used from several goroutines.
type AsyncWriter struct {
	lines  chan []byte // a nil line ends the writing goroutine
	done   chan struct{}
	onDrop func()
}

// NewAsyncWriter starts a writer that queues up to maxLines lines for out. It calls onDrop for each dropped line, in the
// goroutine that called Write. Shutdown ends it. Write errors of out are ignored: there is no other log to report them to.
func NewAsyncWriter(out io.Writer, maxLines int, onDrop func()) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxLines), done: make(chan struct{}), onDrop: onDrop}
	go w.run(out)
	return w
}

// run writes queued lines until it receives a nil line.
func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		out.Write(line)
	}
}

// Write queues a copy of the line without blocking. It never fails: a dropped line counts as written.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.onDrop()
	}
	return len(line), nil
}

// Shutdown writes the queued lines and ends the writing goroutine. It gives up after the timeout.
func (w *AsyncWriter) Shutdown(timeout time.Duration) {
	expired := time.After(timeout)
	select {
	case w.lines <- nil:
	case <-expired:
		return
	}
	select {
	case <-w.done:
	case <-expired:
	}
}
