package sharding

import (
	"time"

	"tamarindshore/balancer"
)

// Sample is a collector's report that waits in a Mailbox. The set is closed: LoadSample and UsageSample.
type Sample interface {
	// mergeIn adds the sample to the one of the same key that waits; false where none does.
	mergeIn(m *Mailbox) bool
}

// LoadSample is a load report that waits.
type LoadSample struct{ balancer.LoadReport }

// UsageSample is a usage report that waits.
type UsageSample struct{ balancer.UsageReport }

// Mailbox holds the samples that wait for the one core that decides, in the order in which they were brought. Where more
// wait than a bound, samples of the same pair of server and zone, or of the same proxy and traffic class, become one
// over the sum of their intervals, so that what waits is bounded by what exists and rates stay as they are. Where even
// that is too much, HasRoom is false and those who bring wait: the senders' buffers fill, and they decide.
type Mailbox struct {
	limit   int
	samples []Sample
	Merged  int // samples that became part of another

	// Where each sample waits, while no two of the same wait; else nil.
	reports map[reportKey]int
	usages  map[usageKey]int
}

type reportKey struct {
	server balancer.ServerID
	zone   balancer.ZoneID
}

type usageKey struct {
	proxy balancer.ProxyID
	class balancer.ClassID
}

// NewMailbox holds about so many samples.
func NewMailbox(limit int) *Mailbox { return &Mailbox{limit: limit} }

// HasRoom tells whether more may be brought. It merges what waits if that may help.
func (m *Mailbox) HasRoom() bool {
	if len(m.samples) >= m.limit && !m.isMerged() {
		m.mergeAll()
	}
	return len(m.samples) < m.limit
}

// Put adds samples behind those that wait.
func (m *Mailbox) Put(samples []Sample) {
	if !m.isMerged() {
		m.samples = append(m.samples, samples...)
		return
	}
	for _, sample := range samples {
		m.merge(sample)
	}
}

// Take gives up to so many of the oldest, in the memory of those taken before.
func (m *Mailbox) Take(limit int, into []Sample) []Sample {
	n := min(limit, len(m.samples))
	into = append(into[:0], m.samples[:n]...)
	m.samples = m.samples[n:]
	if len(m.samples) == 0 {
		m.samples = nil
	}
	if n > 0 { // places have shifted
		m.reports = nil
		m.usages = nil
	}
	return into
}

// Len is how many samples wait.
func (m *Mailbox) Len() int { return len(m.samples) }

// isMerged tells whether no two samples that wait are of the same.
func (m *Mailbox) isMerged() bool { return m.reports != nil }

func (m *Mailbox) mergeAll() {
	all := m.samples
	m.samples = make([]Sample, 0, len(all))
	m.reports = map[reportKey]int{}
	m.usages = map[usageKey]int{}
	for _, sample := range all {
		m.merge(sample)
	}
}

// merge adds a sample to the one of the same that waits, or behind all.
func (m *Mailbox) merge(sample Sample) {
	if sample.mergeIn(m) {
		m.Merged++
		return
	}
	m.samples = append(m.samples, sample)
}

func (s LoadSample) mergeIn(m *Mailbox) bool {
	key := reportKey{s.Server, s.Zone}
	at, waits := m.reports[key]
	if !waits {
		m.reports[key] = len(m.samples)
		return false
	}
	waiting := m.samples[at].(LoadSample)
	m.samples[at] = LoadSample{MergeReports(waiting.LoadReport, s.LoadReport)}
	return true
}

func (s UsageSample) mergeIn(m *Mailbox) bool {
	key := usageKey{s.Proxy, s.Class}
	at, waits := m.usages[key]
	if !waits {
		m.usages[key] = len(m.samples)
		return false
	}
	sum := m.samples[at].(UsageSample)
	sum.Requests += s.Requests
	sum.Dropped += s.Dropped
	sum.Interval += s.Interval
	m.samples[at] = sum
	return true
}

// MergeReports is what two reports of the same pair say together. The latency is the mean of the successful attempts of
// both; the later one's requests in flight count, if it tells any.
func MergeReports(first, second balancer.LoadReport) balancer.LoadReport {
	sum := balancer.LoadReport{
		Server:   first.Server,
		Zone:     first.Zone,
		Attempts: first.Attempts + second.Attempts,
		Failed:   first.Failed + second.Failed,
		Interval: first.Interval + second.Interval,
		InFlight: second.InFlight,
	}
	if second.InFlight < 0 {
		sum.InFlight = first.InFlight
	}
	if succeeded := sum.Attempts - sum.Failed; succeeded > 0 {
		sum.Latency = time.Duration((totalLatency(first) + totalLatency(second)) / float64(succeeded))
	}
	return sum
}

// totalLatency is the time that the successful attempts took, in nanoseconds.
func totalLatency(report balancer.LoadReport) float64 {
	return float64(report.Attempts-report.Failed) * float64(report.Latency)
}
