package simprotocol

import (
	"errors"
	"fmt"
)

// Faults of the input, wrapped in a LineError.
var (
	ErrTruncatedBatch   = errors.New("the input ended inside a batch")
	ErrTruncatedList    = errors.New("the input ended inside a list")
	ErrUnknownInstance  = errors.New("is not known")
	ErrUnknownMessage   = errors.New("no such message")
	ErrTooFewValues     = errors.New("too few values")
	ErrTooManyValues    = errors.New("values too many")
	ErrEndpointExpected = errors.New("an M line is due")
)

// LineError says on which line of the input an error stands.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error gives the line and what is wrong there.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap gives the cause.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError says which value of a message is wrong.
type FieldError struct {
	Field   string // its name on the wire
	Value   string
	Problem string // what was expected
}

// Error gives the field, its value and what was expected.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %q %s", e.Field, e.Value, e.Problem) }
