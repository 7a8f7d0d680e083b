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

// What can be wrong with a report's file, beside syntax, types and values out of range.
var (
	ErrTruncated  = errors.New("the file is cut short")
	ErrMissing    = errors.New("is missing")
	ErrOutOfRange = errors.New("is out of range")
)

// ReportError says what is wrong with a report's file, and where.
type ReportError struct {
	File string
	Line int    // counted from 1; 0: not known
	Key  string // empty: not known
	Err  error
}

// Error names the file, and the line and the key where they are known.
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

// Unwrap returns what is wrong.
func (e *ReportError) Unwrap() error { return e.Err }

// ReadReport reads a report's file and checks it. What is wrong with its content is a ReportError.
func ReadReport(path string) (Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	return ParseReport(filepath.Base(path), text)
}

// WriteReport writes a report's file.
func WriteReport(path string, report Report) error {
	report.Version = ReportVersion
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ParseReport reads and checks the text of a report's file; errors call the file by name.
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
	if key, problem := report.problem(); problem != nil {
		return report, &ReportError{File: name, Line: file.lineOfField(key), Key: key, Err: problem}
	}
	return report, nil
}

// reportFile is the text of a report's file, for the places of errors.
type reportFile struct {
	name string
	text []byte
}

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
		err := fmt.Errorf("%d is not %d, which this program reads", *head.Version, ReportVersion)
		return &ReportError{File: f.name, Line: f.lineOfKey(key, 0), Key: key, Err: err}
	}
	return nil
}

// decodingError adds the line, and the key where it is known, to an error of the decoder.
func (f reportFile) decodingError(err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case f.isTruncated(err):
		return &ReportError{File: f.name, Line: f.lineAt(int64(len(f.text))), Key: f.lastKey(), Err: ErrTruncated}
	case errors.As(err, &syntax):
		return &ReportError{File: f.name, Line: f.lineAt(syntax.Offset), Err: err}
	case errors.As(err, &wrongType):
		problem := fmt.Errorf("a %s stands where %s is due", wrongType.Value, wrongType.Type)
		return &ReportError{File: f.name, Line: f.lineAt(wrongType.Offset), Key: wrongType.Field, Err: problem}
	}
	return &ReportError{File: f.name, Err: err}
}

// isTruncated reports whether an error of the decoder says that the text ends too early.
func (f reportFile) isTruncated(err error) bool {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
	}
	atEnd := int(syntax.Offset) >= len(f.text) && !json.Valid(f.text)
	return atEnd && strings.Contains(syntax.Error(), "unexpected end")
}

var jsonKey = regexp.MustCompile(`"([A-Za-z]+)"\s*:`)

// lastKey is the last key of a text that is cut short.
func (f reportFile) lastKey() string {
	keys := jsonKey.FindAllSubmatch(f.text, -1)
	if len(keys) == 0 {
		return "version"
	}
	return string(keys[len(keys)-1][1])
}

func (f reportFile) lineAt(offset int64) int {
	return 1 + bytes.Count(f.text[:min(int(offset), len(f.text))], []byte("\n"))
}

// lineOfField is the line of a field of the report. One of a slope has the line of that slope's cost.
func (f reportFile) lineOfField(field string) int {
	slope := -1
	if _, err := fmt.Sscanf(field, "slopes[%d]", &slope); err == nil {
		return f.lineOfKey("cost", slope)
	}
	return f.lineOfKey(field, 0)
}

// lineOfKey is the line of the n-th occurrence of a key, counted from 0; the first line where there is none.
func (f reportFile) lineOfKey(key string, n int) int {
	found := regexp.MustCompile(`"`+regexp.QuoteMeta(key)+`"\s*:`).FindAllIndex(f.text, -1)
	if n >= len(found) {
		return 1
	}
	return f.lineAt(int64(found[n][0]))
}

// problem returns the first field of a report that is invalid, and what is wrong with it.
func (r Report) problem() (field string, err error) {
	if len(r.Reference) == 0 {
		return "reference", ErrMissing
	}
	if len(r.Slopes) == 0 {
		return "slopes", fmt.Errorf("%w or empty", ErrMissing)
	}
	for i, s := range r.Slopes {
		if field, err := s.problem(); err != nil {
			return fmt.Sprintf("slopes[%d].%s", i, field), err
		}
		if _, known := r.Reference[s.Axis]; !known {
			return "reference", fmt.Errorf("%s %w, along which slopes[%d] was measured", s.Axis, ErrMissing, i)
		}
	}
	return "", nil
}

// problem returns the first field of a slope that is invalid, and what is wrong with it.
func (s Slope) problem() (field string, err error) {
	switch {
	case s.Cost == "":
		return "cost", ErrMissing
	case s.Axis == "":
		return "axis", ErrMissing
	case !slices.Contains(shapes, s.Shape):
		return "shape", fmt.Errorf("%q is none of %v", s.Shape, shapes)
	case !inRange(s.Base):
		return "base", ErrOutOfRange
	case !inRange(math.Abs(s.PerUnit)):
		return "perUnit", ErrOutOfRange
	case len(s.Points) == 0:
		return "points", ErrMissing
	}
	for i, p := range s.Points {
		if !inRange(p.Size) {
			return fmt.Sprintf("points[%d].size", i), errors.New("is no number from 0 up")
		}
		if len(p.Runs) == 0 {
			return fmt.Sprintf("points[%d].runs", i), ErrMissing
		}
	}
	return "", nil
}

// maxFigure is larger than any size or cost that is possible.
const maxFigure = 1e18

// inRange reports whether a figure is a number from 0 to maxFigure.
func inRange(x float64) bool { return x >= 0 && x <= maxFigure }
