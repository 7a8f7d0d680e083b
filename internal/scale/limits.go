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
	maxMemory = 12 << 10 * mib // bytes that a run may hold, or half of the machine's memory where that is less
	// MaxReaders is the largest number of connections that a run opens at once: what a control machine of the plan
	// serves while two of seven are lost, and some more.
	MaxReaders    = 1200
	garbageFactor = 2 // times what is held: the heap between two collections
)

// Memory is the limit on the memory that a run may hold.
type Memory struct{ Bytes float64 }

// ErrNoMemTotal says that the machine doesn't tell its memory.
var ErrNoMemTotal = errors.New("/proc/meminfo: MemTotal: is missing")

// MemoryLimit returns the limit on this machine, from /proc/meminfo.
func MemoryLimit() (Memory, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Memory{}, err
	}
	total, err := totalMemory(text)
	return Memory{min(maxMemory, total/2)}, err
}

// totalMemory reads the machine's memory, in bytes, from the text of /proc/meminfo.
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

// LimitError says that a size doesn't fit the tool's limits.
type LimitError struct {
	What  string // the size
	Needs string
	Limit string
	Fits  string
}

// Error says which size passes the limit, and what fits.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: needs %s, the limit is %s; %s", e.What, e.Needs, e.Limit, e.Fits)
}

// countLimitError is the LimitError of a count over a limit.
func countLimitError(what, unit string, count, limit int) *LimitError {
	return &LimitError{
		What:  what,
		Needs: fmt.Sprintf("%d %s", count, unit),
		Limit: fmt.Sprint(limit),
		Fits:  fmt.Sprintf("%d fit", limit),
	}
}

// checkFits checks that so many things of so many bytes each fit. A LimitError says how many would.
func (m Memory) checkFits(what string, bytesEach float64, things int) error {
	needs := garbageFactor * bytesEach * float64(things)
	if needs <= m.Bytes {
		return nil
	}
	fit := int(m.Bytes / (garbageFactor * bytesEach))
	return &LimitError{What: what, Needs: megabytes(needs), Limit: megabytes(m.Bytes), Fits: fmt.Sprintf("%d fit", fit)}
}

func megabytes(n float64) string { return fmt.Sprintf("%.0f MB of memory", n/mib) }

// Estimates of what one scenario holds at most, its script included; a test compares them with what is held.
const (
	bytesOfScenario = 16 * mib
	bytesOfServer   = 4 << 10
	bytesOfProxy    = 8 << 10
	bytesOfReport   = 512
	bytesOfChange   = 2 << 10
	bytesOfHollow   = 512 << 10 // a manager in the smallest state; what it really holds is looked at once some are open
)

// estimate is an upper bound of the bytes that are held while a scenario is measured.
func (s Scenario) estimate() float64 {
	spans := (warmSpan + busySpan).Seconds()
	// each change is acknowledged by the proxies whose tables it alters
	changes := spans * s.ListChanges * (bytesOfChange + float64(s.Proxies)*bytesOfAck)
	return bytesOfScenario + float64(s.Servers)*bytesOfServer + float64(s.Proxies)*bytesOfProxy + spans*s.Reports*bytesOfReport + changes
}

const bytesOfAck = 128 // of a barrier

// checkScenarioFits checks that a scenario fits. A LimitError says which size along an axis would.
func (m Memory) checkScenarioFits(axis Axis, size float64, scenario Scenario) error {
	needs := garbageFactor * scenario.estimate()
	if needs <= m.Bytes {
		return nil
	}
	base := garbageFactor * scenario.With(axis, 0).estimate()
	fits := int(size * max(0, m.Bytes-base) / (needs - base))
	return &LimitError{What: fmt.Sprintf("%s %g", axis, size), Needs: megabytes(needs), Limit: megabytes(m.Bytes), Fits: fmt.Sprintf("%d fit", fits)}
}
