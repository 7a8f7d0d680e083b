package sharding

import (
	"time"

	"tamarindshore/balancer"
)

// Mailbox holds the samples that wait for the one core that decides, in the order in which they were brought. Where more
// wait than a bound, samples of the same pair of server and zone, or of the same proxy and traffic class, become one
// over the sum of their intervals, so that what waits is bounded by what exists and rates stay as they are. Where even
// that is too much, HasRoom is false and those who bring wait: the senders' buffers fill, and they decide.
type Mailbox struct {
	limit   int
	samples []any // balancer.LoadReport or balancer.UsageReport
	Merged  int   // samples that became part of another

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
func (m *Mailbox) Put(samples []any) {
	if !m.isMerged() {
		m.samples = append(m.samples, samples...)
		return
	}
	for _, sample := range samples {
		m.merge(sample)
	}
}

// Take gives up to so many of the oldest, in the memory of those taken before.
func (m *Mailbox) Take(limit int, into []any) []any {
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
	m.samples = make([]any, 0, len(all))
	m.reports = map[reportKey]int{}
	m.usages = map[usageKey]int{}
	for _, sample := range all {
		m.merge(sample)
	}
}

// merge adds a sample to the one of the same that waits, or behind all.
func (m *Mailbox) merge(sample any) {
	isMerged := false
	switch sample := sample.(type) {
	case balancer.LoadReport:
		isMerged = m.mergeReport(sample)
	case balancer.UsageReport:
		isMerged = m.mergeUsage(sample)
	}
	if isMerged {
		m.Merged++
		return
	}
	m.samples = append(m.samples, sample)
}

func (m *Mailbox) mergeReport(report balancer.LoadReport) bool {
	key := reportKey{report.Server, report.Zone}
	at, waits := m.reports[key]
	if !waits {
		m.reports[key] = len(m.samples)
		return false
	}
	m.samples[at] = MergeReports(m.samples[at].(balancer.LoadReport), report)
	return true
}

func (m *Mailbox) mergeUsage(usage balancer.UsageReport) bool {
	key := usageKey{usage.Proxy, usage.Class}
	at, waits := m.usages[key]
	if !waits {
		m.usages[key] = len(m.samples)
		return false
	}
	sum := m.samples[at].(balancer.UsageReport)
	sum.Requests += usage.Requests
	sum.Dropped += usage.Dropped
	sum.Interval += usage.Interval
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
