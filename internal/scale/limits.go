package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	mib       = 1 << 20
	maxMemory = 12 << 10 * mib // bytes that a run may use; half of the machine's memory if that is less
	// MaxReaders is the largest number of connections that a run opens at once: somewhat more than a control machine of
	// the capacity plan serves while two of seven are lost.
	MaxReaders   = 1200
	gcHeapFactor = 2 // the heap grows to this multiple of the live bytes between two garbage collections
)

// Memory is the limit on the memory that a run may use.
type Memory struct{ Bytes float64 }

// ErrNoMemTotal reports that /proc/meminfo doesn't give the machine's memory.
var ErrNoMemTotal = errors.New("/proc/meminfo: no MemTotal line")

// MemoryLimit returns the memory limit of a run on this machine, computed from /proc/meminfo.
func MemoryLimit() (Memory, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Memory{}, err
	}
	total, err := totalMemory(text)
	return Memory{min(maxMemory, total/2)}, err
}

// totalMemory returns the machine's memory in bytes from the text of /proc/meminfo.
func totalMemory(meminfo []byte) (float64, error) {
	for line := range strings.Lines(string(meminfo)) {
		value, found := strings.CutPrefix(line, "MemTotal:")
		if !found {
			continue
		}
		value = strings.TrimSuffix(strings.TrimSpace(value), "kB")
		kib, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		return kib * 1024, err
	}
	return 0, ErrNoMemTotal
}

// LimitError reports that a size exceeds one of the tool's limits.
type LimitError struct {
	Size     string // what is measured and its size, for example "managers 5600"
	Required string // what the size requires
	Limit    string
	Fits     string // the largest size within the limit, for example "300 fit"
}

// Error returns a message with the size, what it requires, the limit, and the largest size that fits.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: needs %s, the limit is %s; at most %s", e.Size, e.Required, e.Limit, e.Fits)
}

// newCountLimitError returns the LimitError for a count that exceeds a limit.
func newCountLimitError(size, unit string, count, limit int) *LimitError {
	return &LimitError{
		Size:     size,
		Required: fmt.Sprintf("%d %s", count, unit),
		Limit:    fmt.Sprint(limit),
		Fits:     fmt.Sprintf("%d fit", limit),
	}
}

// checkFits returns a LimitError, which states how many would fit, if count things of bytesEach bytes don't fit into
// memory.
func (m Memory) checkFits(size string, bytesEach float64, count int) error {
	required := gcHeapFactor * bytesEach * float64(count)
	if required <= m.Bytes {
		return nil
	}
	fitting := int(m.Bytes / (gcHeapFactor * bytesEach))
	return &LimitError{
		Size:     size,
		Required: formatMegabytes(required),
		Limit:    formatMegabytes(m.Bytes),
		Fits:     fmt.Sprintf("%d fit", fitting),
	}
}

// formatMegabytes formats a number of bytes as megabytes of memory.
func formatMegabytes(n float64) string { return fmt.Sprintf("%.0f MB of memory", n/mib) }

// Upper bounds of the memory used by one scenario, including its script. A test compares them with the memory in use.
const (
	bytesOfScenario = 16 * mib
	bytesOfServer   = 4 << 10
	bytesOfProxy    = 8 << 10
	bytesOfReport   = 512
	bytesOfChange   = 2 << 10
	bytesOfHollow   = 512 << 10 // a manager of the propagation scenario; the real memory is checked after the first openings
)

// estimate returns an upper bound of the bytes in use while a scenario is measured.
func (s Scenario) estimate() float64 {
	spans := (warmupSpan + busySpan).Seconds()
	// each change is acknowledged by the proxies whose tables it changes
	changes := spans * s.ListChanges * (bytesOfChange + float64(s.Proxies)*bytesOfAck)
	return bytesOfScenario + float64(s.Servers)*bytesOfServer + float64(s.Proxies)*bytesOfProxy + spans*s.Reports*bytesOfReport + changes
}

const bytesOfAck = 128 // of one barrier acknowledgement

// checkScenarioFits returns a LimitError, which states the size along the axis that would fit, if a scenario doesn't fit
// into memory.
func (m Memory) checkScenarioFits(axis Axis, size float64, scenario Scenario) error {
	required := gcHeapFactor * scenario.estimate()
	if required <= m.Bytes {
		return nil
	}
	base := gcHeapFactor * scenario.With(axis, 0).estimate()
	fitting := int(size * max(0, m.Bytes-base) / (required - base))
	return &LimitError{
		Size:     fmt.Sprintf("%s %g", axis, size),
		Required: formatMegabytes(required),
		Limit:    formatMegabytes(m.Bytes),
		Fits:     fmt.Sprintf("%d fit", fitting),
	}
}
