package logging

import (
	"bytes"
	"testing"
	"time"
)

// stalledWriter is a reader of the log that takes nothing until it is freed.
type stalledWriter struct{ freed chan struct{} }

func (w stalledWriter) Write(line []byte) (int, error) {
	<-w.freed
	return len(line), nil
}

func TestAsyncWriterNeverWaitsForItsReader(t *testing.T) {
	stalled := stalledWriter{make(chan struct{})}
	dropped := 0
	w := NewAsyncWriter(stalled, 4, func() { dropped++ })
	t.Cleanup(func() { close(stalled.freed) })
	for range 100 {
		w.Write([]byte("line\n"))
	}
	w.Shutdown(time.Millisecond)
	if dropped < 95 || dropped > 96 {
		t.Errorf("%d dropped", dropped)
	}
}

// The caller may use its memory again at once, and what waits is written before the end.
func TestShutdownWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out, 16, func() { t.Error("a line was dropped") })
	line := []byte("0\n")
	for n := range 10 {
		line[0] = byte('0' + n)
		if written, err := w.Write(line); written != len(line) || err != nil {
			t.Errorf("%d %v", written, err)
		}
	}
	w.Shutdown(time.Minute)
	if out.String() != "0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n" {
		t.Errorf("%q", out.String())
	}
}

func TestShutdownGivesUpOnAStalledReader(t *testing.T) {
	stalled := stalledWriter{make(chan struct{})}
	w := NewAsyncWriter(stalled, 4, func() {})
	w.Write([]byte("line\n"))
	w.Shutdown(time.Millisecond) // waits for the line that is being written
	select {
	case <-w.ended:
		t.Error("the writing ended")
	default:
	}
	close(stalled.freed)
	<-w.ended
}
