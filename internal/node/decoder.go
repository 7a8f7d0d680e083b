package node

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
)

var (
	// errUnknownName is the error of a message that names an unknown zone or traffic class, or of an event of an unknown
	// kind. The message is dropped like a malformed one, which by itself does not end a connection.
	errUnknownName = errors.New("unknown zone, traffic class or event kind")
	// errUnreadable is the error of input that is not a message at all; it ends the connection.
	errUnreadable = errors.New("unreadable input")
)

// Kinds of lines that collectors send.
const (
	kindPing        = "ping"
	kindCollector   = "collector"
	kindLoadReport  = "heard"
	kindUsageReport = "usage"
)

// Keys under which a load report may state the requests in flight.
const (
	loadInFlight    = "inflight"
	loadOutstanding = "outstanding"
)

// Kinds of events on the relay's stream.
const (
	eventJoined  = "joined"
	eventLeft    = "left"
	eventApplied = "applied"
)

// Bounds set by the protocol.
const (
	maxProxyNumber = 65535
	maxBarrier     = 65535
)

// decoder decodes and validates each message once. It translates names on the wire, and the site's names of zones and
// traffic classes, into typed fields and IDs. The decoder must never keep a message, call the balancer or guess a value
// that was not sent. It is safe for concurrent use.
type decoder struct {
	zones       map[string]balancer.ZoneID
	classes     map[string]balancer.ClassID
	startedAt   time.Time // when the router's clock starts at zero
	maxFields   int       // per line
	maxProxyID  int
	maxLatency  time.Duration // highest mean latency in a report
	maxInterval time.Duration // longest interval that a report covers
	maxRequests float64       // highest number of requests per second, and of requests in flight
	fields      sync.Pool     // reuses *fields, to avoid an allocation per line
}

func newDecoder(settings balancer.Settings, classNames []string, startedAt time.Time, limits config.Limits) *decoder {
	d := &decoder{
		zones:       map[string]balancer.ZoneID{},
		classes:     map[string]balancer.ClassID{},
		startedAt:   startedAt,
		maxFields:   limits.MaxLineFields,
		maxProxyID:  maxProxyNumber,
		maxInterval: limits.MaxReportInterval,
		maxRequests: limits.MaxRequestsPerSecond,
	}
	d.fields.New = func() any { return &fields{} }
	if settings.Proxies > 0 {
		d.maxProxyID = settings.Proxies - 1
	}
	for _, zone := range settings.Zones {
		d.zones[string(zone)] = zone
	}
	for class, name := range classNames {
		d.classes[name] = balancer.ClassID(class)
		d.maxLatency = max(d.maxLatency, 2*settings.Classes[class].Deadline) // twice the deadline, since reported means are noisy
	}
	return d
}

// decodedLine is a line with the message it was decoded into, or the error.
type decodedLine struct {
	text    string
	message collectorMessage // nil if the line could not be decoded
	err     error
}

// parseLine decodes a line that was sent to the manager's address: a kind, then fields of the form name=value. If only a
// field is invalid, it returns the message along with the error, so that its type is known.
func (d *decoder) parseLine(text string) (message collectorMessage, err error) {
	kind, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch kind {
	case kindPing:
		message = ping{}
	case kindCollector, kindLoadReport, kindUsageReport:
	default:
		return nil, errors.Join(errUnreadable, fmt.Errorf("unknown message kind %.40q", kind))
	}
	f := d.fields.Get().(*fields)
	defer func() {
		f.reset()
		d.fields.Put(f)
	}()
	if word, ok := f.split(rest, d.maxFields); !ok {
		return message, fmt.Errorf("unexpected word %.40q: expected at most %d fields of the form name=value", word, d.maxFields)
	}
	switch kind {
	case kindCollector:
		message = collectorIdentity{f.zone(d, "site")}
	case kindLoadReport:
		message = loadReport{d.parseLoadReport(f)}
	case kindUsageReport:
		message = usageReport{d.parseUsageReport(f)}
	}
	return message, f.err
}

// parseLoadReport reads the fields of a load report.
func (d *decoder) parseLoadReport(f *fields) balancer.LoadReport {
	report := balancer.LoadReport{Server: balancer.ServerID(f.text("target")), Zone: f.zone(d, "site"), InFlight: -1}
	report.Attempts, report.Failed, report.Interval = f.reportCounts(d)
	if report.Failed > report.Attempts {
		f.fail("fail", fmt.Sprintf("%d is more than the count of %d", report.Failed, report.Attempts))
	}
	if _, hasMean := f.value("mean"); hasMean || report.Failed < report.Attempts { // if no attempt succeeded, the mean may be missing
		report.Latency = f.millis("mean")
	}
	if report.Latency > d.maxLatency || report.Failed < report.Attempts && report.Latency == 0 {
		f.fail("mean", fmt.Sprintf("%v is not a latency above 0 and up to %v", report.Latency, d.maxLatency))
	}
	if text, hasLoad := f.value("util"); hasLoad && text != "" {
		load, ok := parseLoad(text, ",", ":", d.maxRequests)
		if !ok {
			f.fail("util", fmt.Sprintf("%.40q is not a list of name:number pairs with at most %v requests in flight", text, d.maxRequests))
		}
		report.InFlight = load
	}
	return report
}

// parseUsageReport reads the fields of a usage report.
func (d *decoder) parseUsageReport(f *fields) balancer.UsageReport {
	usage := balancer.UsageReport{Proxy: balancer.ProxyID(f.integer("id", d.maxProxyID))}
	usage.Requests, usage.Dropped, usage.Interval = f.reportCounts(d)
	usage.Class = f.class(d, "lane")
	return usage
}

// parseEvent decodes an event of the relay's stream; for an unknown kind the error is errUnknownName. If only a field is
// invalid, it returns the event along with the error, so that its type is known.
func (d *decoder) parseEvent(kind, data string) (event proxyEvent, err error) {
	if kind != eventJoined && kind != eventLeft && kind != eventApplied {
		return nil, errUnknownName
	}
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, err
	}
	f := fields{}
	for name, value := range values {
		f.all = append(f.all, field{name: name, value: value[0]})
	}
	proxy := balancer.ProxyID(f.integer("id", d.maxProxyID))
	switch kind {
	case eventJoined:
		event = proxyConnected{proxy, f.zone(d, "site"), f.number("rps")}
	case eventLeft:
		event = proxyDisconnected{proxy}
	case eventApplied:
		event = barrierAck{proxy, balancer.BarrierID(f.integer("seq", maxBarrier))}
	}
	return event, f.err
}

// parseLoad returns the requests in flight stated in a list of load figures, or -1 if the list does not state them; ok is
// false if a figure is malformed or out of range. Pairs are separated by pairSeparator, key and figure by valueSeparator.
// The key of the requests in flight is loadInFlight or loadOutstanding.
func parseLoad(text, pairSeparator, valueSeparator string, limit float64) (inFlight float64, ok bool) {
	inFlight = -1
	for _, pair := range strings.Split(text, pairSeparator) {
		key, figure, _ := strings.Cut(strings.TrimSpace(pair), valueSeparator)
		number, err := strconv.ParseFloat(figure, 64)
		if err != nil || !(number >= 0 && number <= maxNumber) {
			return -1, false
		}
		if key != loadInFlight && key != loadOutstanding {
			continue
		}
		if number > limit {
			return -1, false
		}
		inFlight = number
	}
	return inFlight, true
}
