package capacity

import (
	"math"
	"strconv"
	"strings"
)

// unmeasured is shown in place of a figure that has no slope.
const unmeasured = "not measured"

// belowPrecision is shown in place of a number too small for three decimal places.
const belowPrecision = "under 0.001"

// formatFigure formats a figure. A figure with unmeasured parts is shown as a lower bound.
func formatFigure(f Figure, format func(float64) string) string {
	switch {
	case f.Known:
		return format(f.Value)
	case f.Value <= 0:
		return unmeasured
	}
	lowerBound := format(f.Value)
	if strings.HasPrefix(lowerBound, belowPrecision) {
		return "over 0"
	}
	return "at least " + lowerBound
}

func formatCount(n float64, unit string) string { return formatNumber(n) + " " + unit }

// formatNumber formats a number with three significant digits below 100, and otherwise as an integer with thousands
// separators.
func formatNumber(x float64) string {
	switch size := math.Abs(x); {
	case size == 0:
		return "0"
	case size < 0.001:
		return belowPrecision
	case size < 10:
		return strconv.FormatFloat(x, 'g', 3, 64)
	case size < 100:
		return strconv.FormatFloat(math.Round(x*10)/10, 'f', -1, 64)
	}
	return groupThousands(int64(math.Round(x)))
}

// groupThousands formats an integer with thousands separators.
func groupThousands(n int64) string {
	digits := strconv.FormatInt(n, 10)
	var parts []string
	for len(digits) > 3 {
		parts = append([]string{digits[len(digits)-3:]}, parts...)
		digits = digits[:len(digits)-3]
	}
	return strings.Join(append([]string{digits}, parts...), ",")
}

func formatBytes(x float64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
		if x >= unit.size {
			return formatNumber(x/unit.size) + " " + unit.name
		}
	}
	return formatNumber(x) + " B"
}

func formatPercent(x float64) string { return formatNumber(100*x) + "%" }

func formatSeconds(x float64) string {
	switch {
	case x >= 1:
		return formatNumber(x) + " s"
	case x >= 1e-3:
		return formatNumber(1e3*x) + " ms"
	}
	return formatNumber(1e6*x) + " µs"
}
