package node

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"tamarindshore/balancer"
)

// Bounds of the numbers in a message.
const (
	maxNumber = 1e12
	maxCount  = 1 << 40
)

// fieldError is the error of a message with a field that is missing or invalid.
type fieldError struct {
	field   string // name on the wire
	problem string // what was found or expected
}

func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// field is one name=value pair of a message.
type field struct {
	name  string
	value string
}

// fields holds the fields of one message and converts their values. The first error is kept in err. It is not safe for
// concurrent use.
type fields struct {
	all []field
	err error
}

// reset removes all fields and the error, and keeps the allocated memory.
func (f *fields) reset() {
	f.all = f.all[:0]
	f.err = nil
}

func (f *fields) value(name string) (string, bool) {
	for i := range f.all {
		if f.all[i].name == name {
			return f.all[i].value, true
		}
	}
	return "", false
}

// split parses words of the form name=value, at most limit of them. If a word is malformed or one too many, it returns
// that word and false.
func (f *fields) split(text string, limit int) (word string, ok bool) {
	start, equals := 0, -1
	for i := 0; i <= len(text); i++ {
		switch {
		case i < len(text) && text[i] == '=':
			if equals < 0 {
				equals = i
			}
		case i < len(text) && text[i] != ' ' && text[i] != '\t':
			// inside a word
		case i > start:
			if equals < 0 || len(f.all) == limit {
				return text[start:i], false
			}
			f.all = append(f.all, field{name: text[start:equals], value: text[equals+1 : i]})
			start, equals = i+1, -1
		default:
			start = i + 1
		}
	}
	return "", true
}

// fail records that a field is invalid, unless an error was recorded before.
func (f *fields) fail(name, problem string) {
	if f.err == nil {
		f.err = &fieldError{field: name, problem: problem}
	}
}

// text returns the value of a field that must not be missing or empty.
func (f *fields) text(name string) string {
	value, ok := f.value(name)
	if !ok || value == "" {
		f.fail(name, "is missing")
	}
	return value
}

func (f *fields) number(name string) float64 {
	number, err := strconv.ParseFloat(f.text(name), 64)
	if err != nil || math.IsNaN(number) || number < 0 || number > maxNumber {
		f.fail(name, fmt.Sprintf("is not a number from 0 to %g", float64(maxNumber)))
		return 0
	}
	return number
}

func (f *fields) integer(name string, limit int) int {
	number, err := strconv.Atoi(f.text(name))
	if err != nil || number < 0 || number > limit {
		f.fail(name, fmt.Sprintf("is not an integer from 0 to %d", limit))
		return 0
	}
	return number
}

func (f *fields) millis(name string) time.Duration {
	return time.Duration(f.number(name) * float64(time.Millisecond))
}

// reportCounts returns the number of requests in a report, how many failed, and the interval that the report covers. A
// failed request may have started in an earlier interval. Counts too high for the interval are rejected: they would
// distort rates for seconds.
func (f *fields) reportCounts(d *decoder) (count, failed int, interval time.Duration) {
	count = f.integer("count", maxCount)
	failed = f.integer("fail", maxCount)
	interval = f.millis("over")
	switch {
	case interval <= 0 || interval > d.maxInterval:
		f.fail("over", fmt.Sprintf("%v is not an interval above 0 and up to %v", interval, d.maxInterval))
	case float64(max(count, failed)) > d.maxRequests*max(1, interval.Seconds()):
		f.fail("count", fmt.Sprintf("%d requests in %v are more than %v per second", max(count, failed), interval, d.maxRequests))
	}
	return count, failed, interval
}

func (f *fields) zone(d *decoder, name string) balancer.ZoneID {
	zone, ok := d.zones[f.text(name)]
	if !ok && f.err == nil {
		f.err = errUnknownName
	}
	return zone
}

func (f *fields) class(d *decoder, name string) balancer.ClassID {
	class, ok := d.classes[f.text(name)]
	if !ok && f.err == nil {
		f.err = errUnknownName
	}
	return class
}
