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

// errUnknownName is the error of a message that names an unknown zone or traffic class. The message is dropped like a
// malformed one, and the connection goes on. errUnreadable is the error of what is no message, which ends the connection.
var (
	errUnknownName = errors.New("names what the site does not")
	errUnreadable  = errors.New("unreadable")
)

// Kinds of lines that collectors send.
const (
	kindPing        = "ping"
	kindCollector   = "collector"
	kindLoadReport  = "heard"
	kindUsageReport = "usage"
)

// Names of the requests in flight in a load report.
const (
	loadInFlight    = "inflight"
	loadOutstanding = "outstanding"
)

// Kinds of events that the relay's stream tells.
const (
	eventJoined  = "joined"
	eventLeft    = "left"
	eventApplied = "applied"
)

// Bounds by the protocol.
const (
	maxProxyNumber = 65535
	maxBarrier     = 65535
)

// decoder decodes and checks each message once. It owns the names on the wire and the names of the site's zones and
// traffic classes; what it returns has none of them. It must never keep a message, call the balancer or guess a value
// that was not sent. It is safe for concurrent use.
type decoder struct {
	zones       map[string]balancer.ZoneID
	classes     map[string]balancer.ClassID
	startedAt   time.Time     // of the router's clock
	maxFields   int           // of a line
	maxProxyID  int           // highest number of a proxy
	maxLatency  time.Duration // highest mean of a report
	maxInterval time.Duration // of a report
	maxRequests float64       // a second, and in flight
	fields      sync.Pool     // of *fields, so that decoding a line allocates none
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
		d.maxLatency = max(d.maxLatency, 2*settings.Classes[class].Deadline) // means come with noise
	}
	return d
}

// decodedLine is what a line was decoded to.
type decodedLine struct {
	text    string
	message collectorMessage // nil where err says that there is none
	err     error
}

// parseLine decodes a line that came to the manager's address: a kind and fields of the form name=value. With an error of
// the fields it gives the message too, where its kind is known.
func (d *decoder) parseLine(text string) (message collectorMessage, err error) {
	kind, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch kind {
	case kindPing:
		message = ping{}
	case kindCollector, kindLoadReport, kindUsageReport:
	default:
		return nil, errors.Join(errUnreadable, fmt.Errorf("%.40q is no kind of message", kind))
	}
	f := d.fields.Get().(*fields)
	defer func() {
		f.reset()
		d.fields.Put(f)
	}()
	if word, ok := f.split(rest, d.maxFields); !ok {
		return message, fmt.Errorf("%.40q: up to %d words name=value are due", word, d.maxFields)
	}
	switch kind {
	case kindCollector:
		message = collectorName{f.zone(d, "site")}
	case kindLoadReport:
		message = loadReport{d.parseLoadReport(f)}
	case kindUsageReport:
		message = usageReport{d.parseUsageReport(f)}
	}
	return message, f.err
}

// parseLoadReport takes a collector's report on a server.
func (d *decoder) parseLoadReport(f *fields) balancer.LoadReport {
	report := balancer.LoadReport{Server: balancer.ServerID(f.text("target")), Zone: f.zone(d, "site"), InFlight: -1}
	report.Attempts, report.Failed, report.Interval = f.reportCounts(d)
	if report.Failed > report.Attempts {
		f.fail("fail", "is more than count")
	}
	if _, hasMean := f.value("mean"); hasMean || report.Failed < report.Attempts { // where none succeeded it may be missing
		report.Latency = f.millis("mean")
	}
	if report.Latency > d.maxLatency || report.Failed < report.Attempts && report.Latency == 0 {
		f.fail("mean", "is no time of an answer")
	}
	if text, hasLoad := f.value("util"); hasLoad && text != "" {
		load, ok := parseLoad(text, ",", ":", d.maxRequests)
		if !ok {
			f.fail("util", "is no load report")
		}
		report.InFlight = load
	}
	return report
}

// parseUsageReport takes a collector's report on a proxy's usage.
func (d *decoder) parseUsageReport(f *fields) balancer.UsageReport {
	usage := balancer.UsageReport{Proxy: balancer.ProxyID(f.integer("id", d.maxProxyID))}
	usage.Requests, usage.Dropped, usage.Interval = f.reportCounts(d)
	usage.Class = f.class(d, "lane")
	return usage
}

// parseEvent decodes an event of the relay's stream; an event of another kind is an unknown name. With an error of the
// event's fields it gives the event too, so that its type is known.
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

// parseLoad gives the requests in flight that a load report tells, -1 where it tells none; false where a figure is
// malformed. Its pairs are split by pairSeparator, a pair by valueSeparator. The requests in flight come under the
// protocol's name or under that of the settings.
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
