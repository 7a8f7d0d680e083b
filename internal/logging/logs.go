// Package logging writes one line for each event: key=value for people, JSON for machines, under the same names. It owns
// the form of the lines and the way out, which never waits: what a reader that stands still leaves no room for is
// dropped and counted. It must never hold up who logs.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Forms of a line, as the operator's settings name them.
const (
	Text = "text"
	JSON = "json"
)

// Levels are the log levels as the operator's settings name them, from the most told to the least.
var Levels = []string{"debug", "info", "warn", "error"}

const stamp = "2006-01-02T15:04:05.000000Z07:00"

// All loggers of a process share this; it is settled before the first begins.
func init() { zerolog.TimeFieldFormat = stamp }

// New is a logger that writes JSON lines to out, from a level on; an unknown level is info.
func New(out io.Writer, level string) zerolog.Logger {
	at, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		at = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(at).With().Timestamp().Logger()
}

// Written turns JSON lines into a form and writes them to out.
func NewFormatWriter(form string, out io.Writer) io.Writer {
	if form == JSON {
		return out
	}
	return zerolog.ConsoleWriter{
		Out: out, NoColor: true, TimeFormat: "2006/01/02 15:04:05.000000", TimeLocation: time.Local,
		PartsOrder:      []string{zerolog.TimestampFieldName},
		FieldsOrder:     []string{"event", "stage", "at", "name", "note"},
		FieldsExclude:   []string{zerolog.LevelFieldName},
		FormatFieldName: func(name any) string { return fmt.Sprintf("%s=", name) },
	}
}

// Outlet writes the log without holding up who logs: guards against a reader of the log that stands
// still, which would otherwise stop the module. What finds no room is dropped and counted.
type AsyncWriter struct {
	waits   chan []byte
	ended   chan struct{}
	dropped func()
}

// NewOutlet holds up to so many lines for a writer; dropped is called for each line beyond.
func NewAsyncWriter(to io.Writer, most int, dropped func()) *AsyncWriter {
	o := &AsyncWriter{waits: make(chan []byte, most), ended: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(o.ended)
		for line := range o.waits {
			if line == nil {
				return
			}
			to.Write(line)
		}
	}()
	return o
}

// Write hands a line on without waiting; where too many wait it is dropped.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case o.waits <- append([]byte{}, line...):
	default:
		o.dropped()
	}
	return len(line), nil
}

// End writes what waits, for a limited time.
func (o *AsyncWriter) Shutdown(within time.Duration) {
	late := time.After(within)
	select {
	case o.waits <- nil:
	case <-late:
		return
	}
	select {
	case <-o.ended:
	case <-late:
	}
}
