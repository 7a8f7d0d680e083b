// Package logging writes one line for each event: key=value for people, JSON for machines, under the same names. It has
// the form of the lines and the way out, which never waits: what a stalled reader leaves no room for is dropped and
// counted.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Formats of a line, as the operator's settings name them.
const (
	Text = "text"
	JSON = "json"
)

// Levels are the log levels as the operator's settings name them, from the most verbose to the least.
var Levels = []string{"debug", "info", "warn", "error"}

// Times in the two formats.
const (
	jsonTimeFormat = "2006-01-02T15:04:05.000000Z07:00"
	textTimeFormat = "2006/01/02 15:04:05.000000" // local time
)

// firstFields are the fields that come first in a text line, in their order.
var firstFields = []string{"event", "stage", "at", "name", "note"}

// All loggers of a process share this setting of zerolog; it is made before the first begins.
func init() { zerolog.TimeFieldFormat = jsonTimeFormat }

// New is a logger that writes JSON lines to out, from a level up; an unknown level is info. It may be used from several
// goroutines where out may.
func New(out io.Writer, level string) zerolog.Logger {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		minLevel = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(minLevel).With().Timestamp().Logger()
}

// NewFormatWriter turns JSON lines into a format and writes them to out.
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
