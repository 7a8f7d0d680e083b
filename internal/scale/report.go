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

// ReadReport reads a report's file and checks it. An error is one line that names the file, the line and the key.
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

// ParseReport reads and checks the report of a measurement.
func ParseReport(name string, text []byte) (report Report, err error) {
	var head struct{ Version *int }
	if err := json.Unmarshal(text, &head); err != nil {
		return report, jsonError(name, text, err)
	}
	switch {
	case head.Version == nil:
		return report, errorAtKey(name, text, "version", "version", "is missing")
	case *head.Version != ReportVersion:
		return report, errorAtKey(name, text, "version", "version", fmt.Sprintf("%d is not %d, which this program reads", *head.Version, ReportVersion))
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&report); err != nil {
		return report, jsonError(name, text, err)
	}
	if field, what := report.invalidField(); field != "" {
		return report, fmt.Errorf("%s:%d: %s: %s", name, lineOfField(text, field), field, what)
	}
	return report, nil
}

// faultAt is an error at the first place of a key.
func errorAtKey(name string, text []byte, key, field, what string) error {
	return fmt.Errorf("%s:%d: %s: %s", name, lineOfKey(text, key, 0), field, what)
}

// faultOfJSON adds the line, and the key where it is known, to an error of the decoder.
func jsonError(name string, text []byte, err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	atEnd := func() error {
		return fmt.Errorf("%s:%d: %s: the file is cut short", name, lineAt(text, int64(len(text))), lastKey(text))
	}
	switch {
	case errors.As(err, &syntax):
		if int(syntax.Offset) >= len(text) && !json.Valid(text) && strings.Contains(syntax.Error(), "unexpected end") {
			return atEnd()
		}
		return fmt.Errorf("%s:%d: %v", name, lineAt(text, syntax.Offset), err)
	case errors.As(err, &wrongType):
		return fmt.Errorf("%s:%d: %s: a %s stands where %s is due", name, lineAt(text, wrongType.Offset), wrongType.Field, wrongType.Value, wrongType.Type)
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return atEnd()
	}
	return fmt.Errorf("%s: %w", name, err)
}

var jsonKey = regexp.MustCompile(`"([A-Za-z]+)"\s*:`)

// lastKey is the last key of a text that is cut short.
func lastKey(text []byte) string {
	if all := jsonKey.FindAllSubmatch(text, -1); len(all) > 0 {
		return string(all[len(all)-1][1])
	}
	return "version"
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}

// lineOfField is the line of a field of the report. One of a slope has the line at which that slope's cost stands.
func lineOfField(text []byte, field string) int {
	slope := -1
	if _, err := fmt.Sscanf(field, "slopes[%d]", &slope); err == nil {
		return lineOfKey(text, "cost", slope)
	}
	return lineOfKey(text, field, 0)
}

// lineOfKey is the line on which a key stands for the n-th time, counted from 0; the first line where it doesn't.
func lineOfKey(text []byte, key string, n int) int {
	found := regexp.MustCompile(`"`+regexp.QuoteMeta(key)+`"\s*:`).FindAllIndex(text, -1)
	if n >= len(found) {
		return 1
	}
	return lineAt(text, int64(found[n][0]))
}

// fault names the field of a report that can't be, and what is wrong with it.
func (r Report) invalidField() (field, what string) {
	if len(r.Reference) == 0 {
		return "reference", "is missing"
	}
	if len(r.Slopes) == 0 {
		return "slopes", "is missing or empty"
	}
	for i, s := range r.Slopes {
		if field, what := s.invalidField(); field != "" {
			return fmt.Sprintf("slopes[%d].%s", i, field), what
		}
		if _, told := r.Reference[s.Axis]; !told {
			return "reference", fmt.Sprintf("%s is missing, along which slopes[%d] was measured", s.Axis, i)
		}
	}
	return "", ""
}

// fault names the field of a slope that can't be, and what is wrong with it.
func (s Slope) invalidField() (field, what string) {
	switch {
	case s.Cost == "":
		return "cost", "is missing"
	case s.Axis == "":
		return "axis", "is missing"
	case !s.Shape.known():
		return "shape", fmt.Sprintf("%q is none of %v", s.Shape, shapes)
	case !inRange(s.Base):
		return "base", "is out of range"
	case !inRange(math.Abs(s.PerUnit)):
		return "perUnit", "is out of range"
	case len(s.Points) == 0:
		return "points", "is missing"
	}
	for i, p := range s.Points {
		if !inRange(p.Size) {
			return fmt.Sprintf("points[%d].size", i), "is no number from 0 up"
		}
		if len(p.Runs) == 0 {
			return fmt.Sprintf("points[%d].runs", i), "is missing"
		}
	}
	return "", ""
}

// figureMost is larger than any size or cost that can be.
const maxFigure = 1e18

func inRange(x float64) bool { return x >= 0 && x <= maxFigure }

func (s Shape) known() bool { return slices.Contains(shapes, s) }
