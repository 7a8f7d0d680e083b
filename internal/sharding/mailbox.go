package sharding

import (
	"time"

	"tamarindshore/balancer"
)

// Sample is a collector's report that waits in a Mailbox. The only implementations are LoadSample and UsageSample.
type Sample interface {
	// mergeInto merges the sample into the waiting sample with the same key. It reports whether there was one; if not,
	// it records the sample's key for the index behind the last sample, where the caller must append it.
	mergeInto(m *Mailbox) bool
}

// LoadSample is a waiting load report.
type LoadSample struct{ balancer.LoadReport }

// UsageSample is a waiting usage report.
type UsageSample struct{ balancer.UsageReport }

// Mailbox queues samples, in the order of their arrival, for the single core that makes the balancing decisions. When it
// reaches its limit, samples with the same key (server and zone, or proxy and traffic class) are merged into one that
// covers the sum of their intervals. The queue is then bounded by the number of keys, and rates are preserved. If it is
// still at the limit, HasRoom returns false and the producers wait: the buffers of the senders fill, and the senders
// decide what to do.
type Mailbox struct {
	limit   int
	samples []Sample
	Merged  int // number of samples that were merged into another

	// Indexes of the waiting samples by key. Set only while the waiting samples are merged, else nil.
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

// NewMailbox returns an empty mailbox. Its limit is soft, since Put always adds all samples.
func NewMailbox(limit int) *Mailbox { return &Mailbox{limit: limit} }

// HasRoom reports whether more samples may be put. At the limit, it first merges the waiting samples unless they are merged
// already.
func (m *Mailbox) HasRoom() bool {
	if len(m.samples) >= m.limit && !m.isMerged() {
		m.mergeAll()
	}
	return len(m.samples) < m.limit
}

// Put adds samples behind the waiting ones. While the waiting samples are merged, it merges the new ones too.
func (m *Mailbox) Put(samples []Sample) {
	if !m.isMerged() {
		m.samples = append(m.samples, samples...)
		return
	}
	for _, sample := range samples {
		m.merge(sample)
	}
}

// Take removes up to limit of the oldest samples and returns them. It reuses the memory of buffer.
func (m *Mailbox) Take(limit int, buffer []Sample) []Sample {
	n := min(limit, len(m.samples))
	buffer = append(buffer[:0], m.samples[:n]...)
	m.samples = m.samples[n:]
	if len(m.samples) == 0 {
		m.samples = nil
	}
	if n > 0 { // the indexes have shifted
		m.reports = nil
		m.usages = nil
	}
	return buffer
}

// Len returns the number of waiting samples.
func (m *Mailbox) Len() int { return len(m.samples) }

// isMerged reports whether the waiting samples are merged, so that no two of them have the same key.
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

// merge merges a sample into the waiting one with the same key, or appends it if there is none.
func (m *Mailbox) merge(sample Sample) {
	if sample.mergeInto(m) {
		m.Merged++
		return
	}
	m.samples = append(m.samples, sample)
}

func (s LoadSample) mergeInto(m *Mailbox) bool {
	key := reportKey{s.Server, s.Zone}
	index, isWaiting := m.reports[key]
	if !isWaiting {
		m.reports[key] = len(m.samples)
		return false
	}
	waiting := m.samples[index].(LoadSample)
	m.samples[index] = LoadSample{MergeReports(waiting.LoadReport, s.LoadReport)}
	return true
}

func (s UsageSample) mergeInto(m *Mailbox) bool {
	key := usageKey{s.Proxy, s.Class}
	index, isWaiting := m.usages[key]
	if !isWaiting {
		m.usages[key] = len(m.samples)
		return false
	}
	sum := m.samples[index].(UsageSample)
	sum.Requests += s.Requests
	sum.Dropped += s.Dropped
	sum.Interval += s.Interval
	m.samples[index] = sum
	return true
}

// MergeReports combines two reports of the same server and zone. The latency is the mean over the successful attempts of
// both. The requests in flight are those of the second report, or of the first if the second has none.
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

// totalLatency returns the summed latency of the successful attempts, in nanoseconds.
func totalLatency(report balancer.LoadReport) float64 {
	return float64(report.Attempts-report.Failed) * float64(report.Latency)
}
