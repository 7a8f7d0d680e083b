package loadtest

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarindshore/internal/fakes"
)

// Result holds the results of the load test of one manager.
type Result struct {
	Cores             int                `json:"cores"`
	MachineCores      int                `json:"real_cores"`          // cores of the machine, which the manager shares with the load test
	MaxRate           float64            `json:"top_per_s,omitempty"` // messages per second; 0 if the plan sets the rate
	HeldRate          float64            `json:"rate_per_s"`          // messages per second
	Sent              int64              `json:"sent"`                // messages sent while the rate was held and the manager caught up
	Accepted          int64              `json:"taken"`               // messages accepted in that time, according to the manager's counters
	AcceptLatency     LatencySummary     `json:"take_in"`             // from the due time of a ping until all messages before it are accepted
	SendDelay         LatencySummary     `json:"late"`                // from the due time of a message until it is written
	AssignLatency     LatencySummary     `json:"bind"`                // from the connection of a proxy to the command that assigns it
	WithdrawLatency   LatencySummary     `json:"drain"`               // from the drain of a server on the endpoint list to its withdrawal command
	AllAssignedAfter  time.Duration      `json:"all_bound_ns"`        // from the connection of all proxies until each is assigned
	CPU               float64            `json:"cpu_s_per_s"`         // CPU seconds of the manager per second
	MemoryMB          float64            `json:"memory_mb"`           // peak resident memory of the manager
	Rules             []fakes.RuleResult `json:"rules"`
	Relay             fakes.Counts       `json:"relay"`
	BrokenConnections int64              `json:"connections_broken"`
	Counters          map[string]int64   `json:"counters"`
	Steps             []StepResult       `json:"steps,omitempty"`
	MergedFraction    float64            `json:"folded_part"` // samples merged by the manager, as a fraction of the accepted messages
}

// StepResult is the result of one step of the search for the maximum rate.
type StepResult struct {
	AcceptedFraction float64       `json:"accepted"` // accepted messages as a fraction of those that were due
	AcceptLatency    time.Duration `json:"p99_ns"`   // 99th percentile
	Rate             float64       `json:"rate"`     // messages per second
}

// OK reports whether no rule was violated, no connection broke and each message was accepted.
func (r Result) OK() bool {
	for _, rule := range r.Rules {
		if !rule.OK() {
			return false
		}
	}
	return r.BrokenConnections == 0 && r.Accepted >= r.Sent
}

// LatencySummary summarizes recorded latencies. All fields are zero if none were recorded.
type LatencySummary struct {
	Count int64         `json:"n"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"most_ns"`
}

// String returns the 50th, 99th and 99.9th percentile in milliseconds, or "-" if there are no latencies.
func (s LatencySummary) String() string {
	if s.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f ms", milliseconds(s.P50), milliseconds(s.P99), milliseconds(s.P999))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	maxRecordedLatency = time.Minute // longer latencies are recorded as one minute
	histogramDigits    = 3           // number of significant decimal digits
)

// latencyRecorder is a histogram of latencies. It is safe for concurrent use.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // in microseconds
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), histogramDigits)}
}

// record adds a latency for a number of messages.
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
