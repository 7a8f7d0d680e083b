package simprotocol

import (
	"errors"
	"fmt"
)

// Errors in the input; Serve returns them wrapped in a LineError.
var (
	ErrTruncatedBatch   = errors.New("the input ended inside a batch")
	ErrTruncatedList    = errors.New("the input ended inside a list")
	ErrUnknownInstance  = errors.New("is not known")
	ErrUnknownMessage   = errors.New("unknown message")
	ErrTooFewValues     = errors.New("too few values")
	ErrTooManyValues    = errors.New("unexpected values at the end of the line")
	ErrEndpointExpected = errors.New("expected an M line")
)

// LineError is an error in the input, with its line number.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError describes an invalid value in a message.
type FieldError struct {
	Field   string // name in the simulator's protocol
	Value   string
	Problem string // what is wrong or was expected
}

// Error returns the field, its value and the problem.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %q %s", e.Field, e.Value, e.Problem) }
