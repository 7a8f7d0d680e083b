package simprotocol

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// absent stands for a value that is not told.
const absent = "-"

// maxMicroseconds is the longest time that a time.Duration holds.
const maxMicroseconds = math.MaxInt64 / 1000

// fieldReader reads the values of one line, one after another. The first error stays in err; what is read after it is
// of no meaning.
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

// reset begins another line, in the memory of the one before.
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

// text reads a value as it stands.
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

// skipAbsent passes over a value that is not told, and tells whether it was so.
func (f *fieldReader) skipAbsent() bool {
	if f.next >= len(f.values) || f.values[f.next] != absent {
		return false
	}
	f.next++
	return true
}

// id reads a name that must not be empty.
func (f *fieldReader) id(field string) string {
	value := f.text(field)
	if value == "" || value == absent {
		f.fail(field, value, "is no name")
	}
	return value
}

// integer reads a whole number within bounds.
func (f *fieldReader) integer(field string, least, most int64) int64 {
	value := f.text(field)
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.fail(field, value, "is not a whole number")
	} else if n < least || n > most {
		f.fail(field, value, fmt.Sprintf("is not from %d to %d", least, most))
	}
	return n
}

// seed reads a whole number of 64 bits.
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

// optionalInteger reads a whole number; 0 where it is not told.
func (f *fieldReader) optionalInteger(field string) int64 {
	if f.skipAbsent() {
		return 0
	}
	return f.integer(field, 0, maxMicroseconds)
}

// float reads a finite number from 0 up.
func (f *fieldReader) float(field string) float64 {
	value := f.text(field)
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !isFinite(x) || x < 0 {
		f.fail(field, value, "is not a number from 0 up")
	}
	return x
}

// boolean reads 0 or 1.
func (f *fieldReader) boolean(field string) bool { return f.integer(field, 0, 1) == 1 }

// duration reads a time in microseconds; 0 where it is not told.
func (f *fieldReader) duration(field string) time.Duration {
	return time.Duration(f.optionalInteger(field)) * time.Microsecond
}

// oneOf reads one of some words.
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

// readNamed reads a word that stands for a value.
func readNamed[T any](f *fieldReader, field string, known []wireName[T]) (value T) {
	word := f.text(field)
	for _, one := range known {
		if one.name == word {
			return one.value
		}
	}
	var words []string
	for _, one := range known {
		words = append(words, one.name)
	}
	f.failOneOf(field, word, words)
	return value
}

// load reads a load report and gives the requests in flight, or -1 where they are not told.
func (f *fieldReader) load(field string) float64 {
	value := f.text(field)
	inFlight := -1.0
	if value == absent || value == "" {
		return inFlight
	}
	for _, pair := range strings.Split(value, ",") {
		name, figure, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || !isFinite(x) {
			f.fail(field, pair, "is not name:value")
		} else if name == loadOutstanding {
			inFlight = max(0, x)
		}
	}
	return inFlight
}

// end gives the first error of the line; values that nobody read are one.
func (f *fieldReader) end() error {
	if f.err == nil && f.next < len(f.values) {
		return fmt.Errorf("%d %w", len(f.values)-f.next, ErrTooManyValues)
	}
	return f.err
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
