package logging

import (
	"bytes"
	"testing"
	"time"
)

// stalledWriter is a writer that blocks until its channel is closed.
type stalledWriter struct{ released chan struct{} }

func (w stalledWriter) Write(line []byte) (int, error) {
	<-w.released
	return len(line), nil
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	stalled := stalledWriter{make(chan struct{})}
	dropped := 0
	w := NewAsyncWriter(stalled, 4, func() { dropped++ })
	t.Cleanup(func() { close(stalled.released) })
	for range 100 {
		w.Write([]byte("line\n"))
	}
	w.Shutdown(time.Millisecond)
	if dropped < 95 || dropped > 96 {
		t.Errorf("%d lines were dropped, want 95 or 96", dropped)
	}
}

// Write must copy the line, as callers reuse the buffer, and Shutdown must write all queued lines.
func TestShutdownWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out, 16, func() { t.Error("a line was dropped") })
	line := []byte("0\n")
	for n := range 10 {
		line[0] = byte('0' + n)
		if written, err := w.Write(line); written != len(line) || err != nil {
			t.Errorf("Write returned %d, %v", written, err)
		}
	}
	w.Shutdown(time.Minute)
	if out.String() != "0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n" {
		t.Errorf("wrote %q, want the lines 0 to 9", out.String())
	}
}

func TestShutdownGivesUpOnStalledWriter(t *testing.T) {
	stalled := stalledWriter{make(chan struct{})}
	w := NewAsyncWriter(stalled, 4, func() {})
	w.Write([]byte("line\n"))
	w.Shutdown(time.Millisecond) // times out: the first line is still being written
	select {
	case <-w.done:
		t.Error("the writing goroutine ended before its writer was released")
	default:
	}
	close(stalled.released)
	<-w.done
}
