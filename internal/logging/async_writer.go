package logging

import (
	"io"
	"time"
)

// AsyncWriter writes the log without holding up who logs: guards against a stalled reader of the log, which would
// otherwise stop the decisions. A line that finds no room is dropped and counted. It may be used from several
// goroutines.
type AsyncWriter struct {
	lines  chan []byte // nil ends the writing
	ended  chan struct{}
	onDrop func()
}

// NewAsyncWriter holds up to so many lines for a writer; onDrop is called for each line beyond, by who wrote it. The
// writing ends with Shutdown. Errors of the writer are ignored: there is nobody left to tell.
func NewAsyncWriter(to io.Writer, maxLines int, onDrop func()) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxLines), ended: make(chan struct{}), onDrop: onDrop}
	go w.run(to)
	return w
}

func (w *AsyncWriter) run(to io.Writer) {
	defer close(w.ended)
	for line := range w.lines {
		if line == nil {
			return
		}
		to.Write(line)
	}
}

// Write hands a line on without waiting. It never fails: a line that finds no room counts as written.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.onDrop()
	}
	return len(line), nil
}

// Shutdown writes the lines that wait, and ends the writing. It gives up after the timeout.
func (w *AsyncWriter) Shutdown(timeout time.Duration) {
	expired := time.After(timeout)
	select {
	case w.lines <- nil:
	case <-expired:
		return
	}
	select {
	case <-w.ended:
	case <-expired:
	}
}
