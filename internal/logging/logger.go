// Package logging provides the log of a process, with one line for each event, as key=value text for people or as JSON
// for machines, with the same field names. Output can go through an AsyncWriter, which never blocks: while the reader of
// the log stalls, lines that exceed the queue are dropped and reported to a callback.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Line formats, by their names in the operator's settings.
const (
	Text = "text"
	JSON = "json"
)

// Levels lists the log levels by their names in the operator's settings, from the most verbose to the least.
var Levels = []string{"debug", "info", "warn", "error"}

// Time formats of JSON and text lines.
const (
	jsonTimeFormat = "2006-01-02T15:04:05.000000Z07:00"
	textTimeFormat = "2006/01/02 15:04:05.000000" // local time
)

// firstFields lists the fields that come first in a text line, in this order.
var firstFields = []string{"event", "stage", "at", "name", "note"}

// The time format is a global setting of zerolog, so it is set before the first logger is created.
func init() { zerolog.TimeFieldFormat = jsonTimeFormat }

// New returns a logger that writes JSON lines of the given level and above to out; an empty or unknown level means info.
// It may be used from several goroutines if out may.
func New(out io.Writer, level string) zerolog.Logger {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		minLevel = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(minLevel).With().Timestamp().Logger()
}

// NewFormatWriter returns a writer that converts JSON lines to the given format and writes them to out.
func NewFormatWriter(format string, out io.Writer) io.Writer {
	if format == JSON {
		return out
	}
	return zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		TimeFormat:      textTimeFormat,
		TimeLocation:    time.Local,
		PartsOrder:      []string{zerolog.TimestampFieldName},
		FieldsOrder:     firstFields,
		FieldsExclude:   []string{zerolog.LevelFieldName},
		FormatFieldName: func(name any) string { return fmt.Sprintf("%s=", name) },
	}
}
