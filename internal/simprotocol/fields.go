package simprotocol

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// absent marks a value that the simulator leaves out.
const absent = "-"

// maxMicroseconds is the longest duration, in microseconds, that a time.Duration can hold.
const maxMicroseconds = math.MaxInt64 / 1000

// fieldReader reads the tab-separated values of a line in order. err keeps the first error; values read after it are
// meaningless.
type fieldReader struct {
	values []string
	next   int
	err    error
}

func splitFields(line string) *fieldReader {
	f := &fieldReader{}
	f.reset(line)
	return f
}

// reset starts reading another line and reuses the memory of the previous one.
func (f *fieldReader) reset(line string) {
	f.values = f.values[:0]
	for value := range strings.SplitSeq(line, "\t") {
		f.values = append(f.values, value)
	}
	f.next = 0
	f.err = nil
}

func (f *fieldReader) fail(field, value, problem string) {
	if f.err == nil {
		f.err = &FieldError{Field: field, Value: value, Problem: problem}
	}
}

// text returns the next value unchanged.
func (f *fieldReader) text(field string) string {
	if f.next >= len(f.values) {
		if f.err == nil {
			f.err = fmt.Errorf("%w: %s is missing", ErrTooFewValues, field)
		}
		return ""
	}
	f.next++
	return f.values[f.next-1]
}

// skipAbsent reports whether the next value is absent, and skips it if so.
func (f *fieldReader) skipAbsent() bool {
	if f.next >= len(f.values) || f.values[f.next] != absent {
		return false
	}
	f.next++
	return true
}

// id reads a name, which must not be empty or absent.
func (f *fieldReader) id(field string) string {
	value := f.text(field)
	if value == "" || value == absent {
		f.fail(field, value, "is not a name")
	}
	return value
}

// integer reads a whole number between minimum and maximum, inclusive.
func (f *fieldReader) integer(field string, minimum, maximum int64) int64 {
	value := f.text(field)
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.fail(field, value, "is not a whole number")
	} else if n < minimum || n > maximum {
		f.fail(field, value, fmt.Sprintf("is not between %d and %d", minimum, maximum))
	}
	return n
}

// seed reads an unsigned 64-bit integer.
func (f *fieldReader) seed(field string) uint64 {
	value := f.text(field)
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.fail(field, value, "is not a whole number")
	}
	return n
}

// count reads a number of requests or attempts.
func (f *fieldReader) count(field string) int { return int(f.integer(field, 0, math.MaxInt32)) }

// optionalInteger reads a whole number, and returns 0 for an absent value.
func (f *fieldReader) optionalInteger(field string) int64 {
	if f.skipAbsent() {
		return 0
	}
	return f.integer(field, 0, maxMicroseconds)
}

// float reads a finite number that is not negative.
func (f *fieldReader) float(field string) float64 {
	value := f.text(field)
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !isFinite(x) || x < 0 {
		f.fail(field, value, "is not a finite, non-negative number")
	}
	return x
}

// boolean reads 0 or 1.
func (f *fieldReader) boolean(field string) bool { return f.integer(field, 0, 1) == 1 }

// duration reads a time in microseconds, and returns 0 for an absent value.
func (f *fieldReader) duration(field string) time.Duration {
	return time.Duration(f.optionalInteger(field)) * time.Microsecond
}

// oneOf reads a value that must be one of words.
func (f *fieldReader) oneOf(field string, words []string) string {
	value := f.text(field)
	if !slices.Contains(words, value) {
		f.failOneOf(field, value, words)
	}
	return value
}

func (f *fieldReader) failOneOf(field, value string, words []string) {
	f.fail(field, value, "is not one of "+strings.Join(words, ", "))
}

// readNamed reads a word and returns the value that known maps it to.
func readNamed[T any](f *fieldReader, field string, known []wireName[T]) (value T) {
	word := f.text(field)
	for _, candidate := range known {
		if candidate.name == word {
			return candidate.value
		}
	}
	var words []string
	for _, candidate := range known {
		words = append(words, candidate.name)
	}
	f.failOneOf(field, word, words)
	return value
}

// load parses the name:number pairs of a load report and returns the requests in flight, or -1 if they are not reported.
func (f *fieldReader) load(field string) float64 {
	value := f.text(field)
	inFlight := -1.0
	if value == absent || value == "" {
		return inFlight
	}
	for _, pair := range strings.Split(value, ",") {
		name, number, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || !isFinite(x) {
			f.fail(field, pair, "is not a name:number pair")
		} else if name == loadOutstanding {
			inFlight = max(0, x)
		}
	}
	return inFlight
}

// end returns the first error of the line. Values that were not read are an error too.
func (f *fieldReader) end() error {
	if f.err == nil && f.next < len(f.values) {
		return fmt.Errorf("%d %w", len(f.values)-f.next, ErrTooManyValues)
	}
	return f.err
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
