package capacity

import (
	"math"
	"strconv"
	"strings"
)

// unmeasured takes the place of a figure without a slope.
const unmeasured = "not measured"

// tooSmall takes the place of a number that three places don't show.
const tooSmall = "under 0.001"

func formatFigure(f Figure, how func(float64) string) string {
	switch {
	case f.Known:
		return how(f.Value)
	case f.Value <= 0:
		return unmeasured
	}
	least := how(f.Value)
	if strings.HasPrefix(least, tooSmall) {
		return "over 0"
	}
	return "at least " + least
}

func stateOf(n float64, what string) string { return formatNumber(n) + " " + what }

// formatNumber is a number to three places, with thousands apart.
func formatNumber(x float64) string {
	switch size := math.Abs(x); {
	case size == 0:
		return "0"
	case size < 0.001:
		return tooSmall
	case size < 10:
		return strconv.FormatFloat(x, 'g', 3, 64)
	case size < 100:
		return strconv.FormatFloat(math.Round(x*10)/10, 'f', -1, 64)
	}
	return thousands(int64(math.Round(x)))
}

func thousands(n int64) string {
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
