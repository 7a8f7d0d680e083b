package sharding

import (
	"time"

	"tamarindshore/balancer"
)

// Mail is what waits for the one core that decides: samples in the order in which they were brought. Where more wait
// than a bound, samples of the same pair of server and zone, or of the same proxy and traffic group, become one over
// the sum of their spans, so that what waits is bounded by what exists and rates stay as they are. Where even that is
// too much, Room is false and those who bring wait: the senders' buffers fill, and they decide.
type Mailbox struct {
	most    int
	waits   []any // balancer.Report or balancer.Usage
	folded  bool  // no two that wait are of the same
	reports map[pair]int
	usages  map[part]int
	Merged  int // samples that became part of another
}

type pair struct {
	server balancer.ServerID
	zone   balancer.ZoneID
}

type part struct {
	proxy balancer.ProxyID
	group balancer.ClassID
}

// NewMail holds about so many samples.
func NewMailbox(most int) *Mailbox { return &Mailbox{most: most} }

// Room tells whether more may be brought. It folds what waits if that may help.
func (m *Mailbox) HasRoom() bool {
	if len(m.waits) >= m.most && !m.folded {
		m.fold()
	}
	return len(m.waits) < m.most
}

// Put adds samples behind those that wait.
func (m *Mailbox) Put(samples []any) {
	if m.folded {
		for _, s := range samples {
			m.merge(s)
		}
		return
	}
	m.waits = append(m.waits, samples...)
}

// Next takes up to so many of the oldest, into the room of those taken before.
func (m *Mailbox) Take(n int, into []any) []any {
	n = min(n, len(m.waits))
	into = append(into[:0], m.waits[:n]...)
	if m.waits = m.waits[n:]; len(m.waits) == 0 {
		m.waits = nil
	}
	if n > 0 && m.folded {
		m.folded, m.reports, m.usages = false, nil, nil // places have shifted
	}
	return into
}

// Len is how many samples wait.
func (m *Mailbox) Len() int { return len(m.waits) }

func (m *Mailbox) fold() {
	all := m.waits
	m.waits, m.folded = make([]any, 0, len(all)), true
	m.reports, m.usages = map[pair]int{}, map[part]int{}
	for _, s := range all {
		m.merge(s)
	}
}

func (m *Mailbox) merge(sample any) {
	switch s := sample.(type) {
	case balancer.LoadReport:
		at, same := m.reports[pair{s.Server, s.Zone}]
		if !same {
			m.reports[pair{s.Server, s.Zone}] = len(m.waits)
			break
		}
		m.waits[at] = MergeReports(m.waits[at].(balancer.LoadReport), s)
		m.Merged++
		return
	case balancer.UsageReport:
		at, same := m.usages[part{s.Proxy, s.Class}]
		if !same {
			m.usages[part{s.Proxy, s.Class}] = len(m.waits)
			break
		}
		u := m.waits[at].(balancer.UsageReport)
		u.Requests, u.Dropped, u.Interval = u.Requests+s.Requests, u.Dropped+s.Dropped, u.Interval+s.Interval
		m.waits[at] = u
		m.Merged++
		return
	}
	m.waits = append(m.waits, sample)
}

// Sum is what two reports of the same pair say together; the later one's load counts, if it tells any.
func MergeReports(a, b balancer.LoadReport) balancer.LoadReport {
	good := float64(a.Attempts-a.Failed)*float64(a.Latency) + float64(b.Attempts-b.Failed)*float64(b.Latency)
	sum := balancer.LoadReport{Server: a.Server, Zone: a.Zone, Attempts: a.Attempts + b.Attempts, Failed: a.Failed + b.Failed,
		Interval: a.Interval + b.Interval, InFlight: b.InFlight}
	if n := sum.Attempts - sum.Failed; n > 0 {
		sum.Latency = time.Duration(good / float64(n))
	}
	if b.InFlight < 0 {
		sum.InFlight = a.InFlight
	}
	return sum
}
