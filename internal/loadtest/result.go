package loadtest

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarindshore/internal/fakes"
)

// Result is what one manager came to.
type Result struct {
	Cores             int                `json:"cores"`
	MachineCores      int                `json:"real_cores"` // which the load test shares
	MaxRate           float64            `json:"top_per_s,omitempty"`
	HeldRate          float64            `json:"rate_per_s"`
	Sent              int64              `json:"sent"`    // messages
	Accepted          int64              `json:"taken"`   // of them, by the manager's counters
	AcceptLatency     LatencySummary     `json:"take_in"` // from when a message is due until all before it are accepted
	SendDelay         LatencySummary     `json:"late"`    // from when a message is due until it is written
	AssignLatency     LatencySummary     `json:"bind"`    // from a proxy's connection to the command that assigns it
	WithdrawLatency   LatencySummary     `json:"drain"`   // from a drain on the endpoint list to the command that withdraws
	AllAssignedAfter  time.Duration      `json:"all_bound_ns"`
	CPU               float64            `json:"cpu_s_per_s"`
	MemoryMB          float64            `json:"memory_mb"`
	Rules             []fakes.RuleResult `json:"rules"`
	Relay             fakes.Counts       `json:"relay"`
	BrokenConnections int64              `json:"connections_broken"`
	Counters          map[string]int64   `json:"counters"`
	Steps             []StepResult       `json:"steps,omitempty"`
	MergedFraction    float64            `json:"folded_part"` // of the samples that the manager took
}

// StepResult is one step of the search for the highest rate.
type StepResult struct {
	AcceptedFraction float64       `json:"accepted"` // of the messages that were due
	AcceptLatency    time.Duration `json:"p99_ns"`   // 99th percentile
	Rate             float64       `json:"rate"`     // messages a second
}

// OK reports whether each rule was kept and each message was accepted.
func (r Result) OK() bool {
	for _, rule := range r.Rules {
		if !rule.OK() {
			return false
		}
	}
	return r.BrokenConnections == 0 && r.Accepted >= r.Sent
}

// LatencySummary sums up what a latencyRecorder saw. All are zero where it saw nothing.
type LatencySummary struct {
	Count int64         `json:"n"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"most_ns"`
}

// String gives the 50th, 99th and 99.9th percentile in milliseconds.
func (s LatencySummary) String() string {
	if s.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f ms", milliseconds(s.P50), milliseconds(s.P99), milliseconds(s.P999))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	maxRecordedLatency = time.Minute // longer ones count as this
	histogramDigits    = 3           // significant figures that are kept
)

// latencyRecorder is a histogram of latencies. It is safe for concurrent use.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // in microseconds
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), histogramDigits)}
}

// record adds a latency that so many messages had.
func (r *latencyRecorder) record(latency time.Duration, messages int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histogram.RecordValues(max(1, min(latency, maxRecordedLatency).Microseconds()), int64(messages))
}

func (r *latencyRecorder) summary() LatencySummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histogram.TotalCount() == 0 {
		return LatencySummary{}
	}
	return LatencySummary{
		Count: r.histogram.TotalCount(),
		P50:   r.percentile(50),
		P99:   r.percentile(99),
		P999:  r.percentile(99.9),
		Max:   time.Duration(r.histogram.Max()) * time.Microsecond,
	}
}

func (r *latencyRecorder) percentile(percent float64) time.Duration {
	return time.Duration(r.histogram.ValueAtQuantile(percent)) * time.Microsecond
}
