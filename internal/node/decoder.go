package node

import (
	"encoding/json"
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

// errUnknownName is the error of a message that names an unknown zone or traffic group. It is dropped like a malformed
// one, and the connection goes on; errUnreadable is no message at all, which ends it.
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

// maxWeight is the highest weight of a server in a list.
const maxWeight = 1e9

// decoder decodes each message once into a small typed value and checks it. It owns the words of the wire and the names
// of the site (zones, traffic groups); past it no wire name is left. It must never keep a message, call the module or
// guess a value that was not told.
type decoder struct {
	zones       map[string]balancer.ZoneID
	classes     map[string]balancer.ClassID
	startedAt   time.Time     // of the router's clock
	maxFields   int           // of a line
	maxProxyID  int           // the highest number of a proxy
	maxLatency  time.Duration // the highest mean of a report
	maxInterval time.Duration // of a report
	maxRequests float64       // a second, and held
	fields      sync.Pool     // so that decoding a line allocates no fields
}

func newDecoder(terms balancer.Settings, groups []string, born time.Time, limits config.Limits) *decoder {
	d := &decoder{
		zones:       map[string]balancer.ZoneID{},
		classes:     map[string]balancer.ClassID{},
		startedAt:   born,
		maxFields:   limits.MaxLineFields,
		maxProxyID:  maxProxyNumber,
		maxInterval: limits.MaxReportInterval,
		maxRequests: limits.MaxRequestsPerSecond,
	}
	d.fields.New = func() any { return &fields{} }
	if terms.Proxies > 0 {
		d.maxProxyID = terms.Proxies - 1
	}
	for _, zone := range terms.Zones {
		d.zones[string(zone)] = zone
	}
	for group, name := range groups {
		d.classes[name] = balancer.ClassID(group)
		d.maxLatency = max(d.maxLatency, 2*terms.Classes[group].Deadline) // means come with noise
	}
	return d
}

// decodedLine is what a line was decoded to.
type decodedLine struct {
	text    string
	message collectorMessage // nil where err says that there is none
	err     error
}

// parseLine decodes a line that came to the manager's address: a kind and words of the form name=value.
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

// report takes a collector's report of a server.
func (d *decoder) parseLoadReport(f *fields) balancer.LoadReport {
	report := balancer.LoadReport{Server: balancer.ServerID(f.text("target")), Zone: f.zone(d, "site"), InFlight: -1}
	report.Attempts, report.Failed, report.Interval = f.reportCounts(d)
	if report.Failed > report.Attempts {
		f.fail("fail", "is more than count")
	}
	if _, told := f.value("mean"); told || report.Failed < report.Attempts { // where none was good it may be left out
		report.Latency = f.millis("mean")
	}
	if report.Latency > d.maxLatency || report.Failed < report.Attempts && report.Latency == 0 {
		f.fail("mean", "is no time of an answer")
	}
	if text, told := f.value("util"); told && text != "" {
		load, ok := parseLoad(text, ",", ":", d.maxRequests)
		if !ok {
			f.fail("util", "is no load report")
		}
		report.InFlight = load
	}
	return report
}

// parseUsageReport takes a collector's report of a proxy's usage.
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

// instance is a server in discovery's list.
type instance struct {
	InstanceID  string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"`
	StartedAtMs int64    `json:"startedAtMs"`
}

// parseList decodes the whole list or changes of it. Entries of unknown zones are left out and counted.
func (d *decoder) parseList(text []byte) (list endpointList, unknown int, err error) {
	var message struct {
		Generation *int64     `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []instance `json:"instances"`
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return list, 0, err
	}
	if message.Generation == nil {
		return list, 0, errors.New("generation: is missing")
	}
	return d.checkList(*message.Generation, message.Reset, message.Instances)
}

// checkList checks the servers of a list. Entries of unknown zones are left out and counted.
func (d *decoder) checkList(generation int64, snapshot bool, instances []instance) (list endpointList, unknown int, err error) {
	list = endpointList{generation: generation, snapshot: snapshot, addresses: map[balancer.ServerID]string{}, instances: instances}
	for i, server := range instances {
		entry, err := d.checkInstance(server)
		if err == errUnknownName {
			unknown++
			continue
		}
		if err != nil {
			return endpointList{}, 0, fmt.Errorf("instances[%d].%w", i, err)
		}
		list.entries = append(list.entries, entry)
		if server.HostPort != "" { // a removed one may come without; it may still be probed
			list.addresses[entry.Server] = server.HostPort
		}
	}
	return list, unknown, nil
}

// entry checks a server of the list; one of an unknown zone gives errUnknownName.
func (d *decoder) checkInstance(server instance) (entry balancer.Endpoint, err error) {
	entry = balancer.Endpoint{Server: balancer.ServerID(server.InstanceID), Weight: 1}
	switch server.Lifecycle {
	case "up":
	case "draining":
		entry.State = balancer.Draining
	case "removed":
		entry.State = balancer.Removed
	default:
		return entry, fmt.Errorf("lifecycle: %q is not up, draining or removed", server.Lifecycle)
	}
	if server.InstanceID == "" || strings.ContainsAny(server.InstanceID, ",; \t\r\n") {
		return entry, fmt.Errorf("instanceId: %q is no name", server.InstanceID)
	}
	if server.Weight != nil {
		entry.Weight = *server.Weight
	}
	if entry.Weight < 0 || entry.Weight > maxWeight {
		return entry, fmt.Errorf("weight: %v is not from 0 to 1e9", entry.Weight)
	}
	zone, ok := d.zones[server.Zone]
	if !ok {
		return entry, errUnknownName
	}
	entry.Zone = zone
	if server.StartedAtMs > 0 {
		entry.Started = time.UnixMilli(server.StartedAtMs).Sub(d.startedAt.Round(0))
		entry.RecentlyStarted = true
	}
	return entry, nil
}

// parseLoad gives the flows held that a load report tells, -1 without one; false where a figure is malformed. Its pairs
// are split by pairSeparator, a pair by valueSeparator. Guards against a report that is taken for none: the flows held
// come under the protocol's word or under that of the settings.
func parseLoad(text, pairSeparator, valueSeparator string, limit float64) (held float64, ok bool) {
	held = -1
	for _, pair := range strings.Split(text, pairSeparator) {
		key, figure, _ := strings.Cut(strings.TrimSpace(pair), valueSeparator)
		number, err := strconv.ParseFloat(figure, 64)
		if err != nil || !(number >= 0 && number <= maxNumber) {
			return -1, false
		}
		if key != "inflight" && key != "outstanding" {
			continue
		}
		if number > limit {
			return -1, false
		}
		held = number
	}
	return held, true
}
