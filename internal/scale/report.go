package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// Errors in the content of a report file, wrapped by ReportError. Errors of syntax and of types have no variable.
var (
	ErrTruncated  = errors.New("unexpected end of file")
	ErrMissing    = errors.New("required value is missing")
	ErrOutOfRange = errors.New("value is out of range")
)

// ReportError is an error in the content of a report file, with its position.
type ReportError struct {
	File string // base name
	Line int    // counted from 1; 0 if unknown
	Key  string // path of the field; empty if unknown
	Err  error
}

// Error returns the file, the line and the key, as far as they are known, and the cause.
func (e *ReportError) Error() string {
	place := e.File
	if e.Line > 0 {
		place += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		place += ": " + e.Key
	}
	return fmt.Sprintf("%s: %v", place, e.Err)
}

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Err }

// ReadReport reads a report file and validates it. It returns a ReportError if the content is invalid.
func ReadReport(path string) (Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	return ParseReport(filepath.Base(path), text)
}

// WriteReport writes a report file in the current format version.
func WriteReport(path string, report Report) error {
	report.Version = ReportVersion
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ParseReport decodes and validates the text of a report file. The name is used in errors.
func ParseReport(name string, text []byte) (Report, error) {
	file := reportFile{name: name, text: text}
	if err := file.checkVersion(); err != nil {
		return Report{}, err
	}
	var report Report
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&report); err != nil {
		return report, file.decodingError(err)
	}
	if key, err := report.firstInvalidField(); err != nil {
		return report, &ReportError{File: name, Line: file.lineOfField(key), Key: key, Err: err}
	}
	return report, nil
}

// reportFile holds the text of a report file, in which the positions of errors are looked up.
type reportFile struct {
	name string
	text []byte
}

// checkVersion checks the file's format version before the rest is decoded: another version may have other fields.
func (f reportFile) checkVersion() error {
	const key = "version"
	var head struct{ Version *int }
	if err := json.Unmarshal(f.text, &head); err != nil {
		return f.decodingError(err)
	}
	if head.Version == nil {
		return &ReportError{File: f.name, Line: f.lineOfKey(key, 0), Key: key, Err: ErrMissing}
	}
	if *head.Version != ReportVersion {
		err := fmt.Errorf("%d is not supported, expected %d", *head.Version, ReportVersion)
		return &ReportError{File: f.name, Line: f.lineOfKey(key, 0), Key: key, Err: err}
	}
	return nil
}

// decodingError wraps an error of the JSON decoder in a ReportError with the line and the key, as far as they are known.
func (f reportFile) decodingError(err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case f.isTruncated(err):
		return &ReportError{File: f.name, Line: f.lineAt(int64(len(f.text))), Key: f.lastKey(), Err: ErrTruncated}
	case errors.As(err, &syntax):
		return &ReportError{File: f.name, Line: f.lineAt(syntax.Offset), Err: err}
	case errors.As(err, &wrongType):
		mismatch := fmt.Errorf("found a JSON %s, expected a value of type %s", wrongType.Value, wrongType.Type)
		return &ReportError{File: f.name, Line: f.lineAt(wrongType.Offset), Key: wrongType.Field, Err: mismatch}
	}
	return &ReportError{File: f.name, Err: err}
}

// isTruncated reports whether the JSON decoder failed because the text ends too early.
func (f reportFile) isTruncated(err error) bool {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
	}
	atEnd := int(syntax.Offset) >= len(f.text) && !json.Valid(f.text)
	return atEnd && strings.Contains(syntax.Error(), "unexpected end")
}

var jsonKey = regexp.MustCompile(`"([A-Za-z]+)"\s*:`)

// lastKey returns the last key in a truncated text.
func (f reportFile) lastKey() string {
	keys := jsonKey.FindAllSubmatch(f.text, -1)
	if len(keys) == 0 {
		return "version"
	}
	return string(keys[len(keys)-1][1])
}

// lineAt returns the line of a byte offset, counted from 1.
func (f reportFile) lineAt(offset int64) int {
	return 1 + bytes.Count(f.text[:min(int(offset), len(f.text))], []byte("\n"))
}

// lineOfField returns the line of a field of the report. For a field of a slope it is the line of that slope's cost.
func (f reportFile) lineOfField(field string) int {
	slope := -1
	if _, err := fmt.Sscanf(field, "slopes[%d]", &slope); err == nil {
		return f.lineOfKey("cost", slope)
	}
	return f.lineOfKey(field, 0)
}

// lineOfKey returns the line of the n-th occurrence of a key, counted from 0, or line 1 if there is none.
func (f reportFile) lineOfKey(key string, n int) int {
	found := regexp.MustCompile(`"`+regexp.QuoteMeta(key)+`"\s*:`).FindAllIndex(f.text, -1)
	if n >= len(found) {
		return 1
	}
	return f.lineAt(int64(found[n][0]))
}

// firstInvalidField returns the path of the first invalid field of a report, and why it is invalid.
func (r Report) firstInvalidField() (field string, err error) {
	if len(r.Reference) == 0 {
		return "reference", ErrMissing
	}
	if len(r.Slopes) == 0 {
		return "slopes", fmt.Errorf("%w or empty", ErrMissing)
	}
	for i, s := range r.Slopes {
		if field, err := s.firstInvalidField(); err != nil {
			return fmt.Sprintf("slopes[%d].%s", i, field), err
		}
		if _, known := r.Reference[s.Axis]; !known {
			return "reference", fmt.Errorf("%w: no size for axis %q, along which slopes[%d] was measured", ErrMissing, s.Axis, i)
		}
	}
	return "", nil
}

// firstInvalidField returns the path of the first invalid field of a slope, and why it is invalid.
func (s Slope) firstInvalidField() (field string, err error) {
	switch {
	case s.Cost == "":
		return "cost", ErrMissing
	case s.Axis == "":
		return "axis", ErrMissing
	case !slices.Contains(shapes, s.Shape):
		return "shape", fmt.Errorf("unknown shape %q, expected one of %v", s.Shape, shapes)
	case !inRange(s.Base):
		return "base", fmt.Errorf("%w: %g is not between 0 and %g", ErrOutOfRange, s.Base, maxReportValue)
	case !inRange(math.Abs(s.PerUnit)):
		return "perUnit", fmt.Errorf("%w: %g is not between %g and %g", ErrOutOfRange, s.PerUnit, -maxReportValue, maxReportValue)
	case len(s.Points) == 0:
		return "points", ErrMissing
	}
	for i, p := range s.Points {
		if !inRange(p.Size) {
			return fmt.Sprintf("points[%d].size", i), fmt.Errorf("%g is not between 0 and %g", p.Size, maxReportValue)
		}
		if len(p.Runs) == 0 {
			return fmt.Sprintf("points[%d].runs", i), ErrMissing
		}
	}
	return "", nil
}

// maxReportValue is larger than any size or cost that can occur.
const maxReportValue = 1e18

// inRange reports whether a value is a number from 0 to maxReportValue.
func inRange(x float64) bool { return x >= 0 && x <= maxReportValue }
