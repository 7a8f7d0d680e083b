package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
)

// ReadReport reads a report's file and checks it. An error is one line that names the file, and the line or field at
// fault.
func ReadReport(path string) (Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	report, err := parseReport(text)
	if err != nil {
		return Report{}, fmt.Errorf("%s: %w", path, err)
	}
	return report, nil
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

func parseReport(text []byte) (report Report, err error) {
	var head struct{ Version *int }
	if err := json.Unmarshal(text, &head); err != nil {
		return report, located(text, err)
	}
	switch {
	case head.Version == nil:
		return report, errors.New("version: is missing")
	case *head.Version != ReportVersion:
		return report, fmt.Errorf("version: %d is not %d, which this program reads", *head.Version, ReportVersion)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&report); err != nil {
		return report, located(text, err)
	}
	return report, report.check()
}

// located puts the line at which JSON can't be read before an error.
func located(text []byte, err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", lineAt(text, syntax.Offset), err)
	case errors.As(err, &wrongType):
		return fmt.Errorf("line %d: %s: a %s stands where %s is due", lineAt(text, wrongType.Offset), wrongType.Field, wrongType.Value, wrongType.Type)
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return fmt.Errorf("line %d: the file is cut short", lineAt(text, int64(len(text))))
	}
	return err
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}

// check looks for what a whole report must hold.
func (r Report) check() error {
	if len(r.Reference) == 0 {
		return errors.New("reference: is missing")
	}
	if len(r.Slopes) == 0 {
		return errors.New("slopes: is missing")
	}
	for i, s := range r.Slopes {
		if field, what := s.fault(); field != "" {
			return fmt.Errorf("slopes[%d].%s: %s", i, field, what)
		}
	}
	return nil
}

// fault names the field of a slope that can't be, and what is wrong with it.
func (s Slope) fault() (field, what string) {
	switch {
	case s.Cost == "":
		return "cost", "is missing"
	case s.Axis == "":
		return "axis", "is missing"
	case !s.Shape.known():
		return "shape", fmt.Sprintf("%q is none of %v", s.Shape, shapes)
	case !finite(s.Base):
		return "base", "is no number from 0 up"
	case !finite(math.Abs(s.PerUnit)):
		return "perUnit", "is no number"
	case len(s.Points) == 0:
		return "points", "is missing"
	}
	for i, p := range s.Points {
		if !finite(p.Size) {
			return fmt.Sprintf("points[%d].size", i), "is no number from 0 up"
		}
		if len(p.Runs) == 0 {
			return fmt.Sprintf("points[%d].runs", i), "is missing"
		}
	}
	return "", ""
}

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

func (s Shape) known() bool {
	for _, shape := range shapes {
		if s == shape {
			return true
		}
	}
	return false
}
