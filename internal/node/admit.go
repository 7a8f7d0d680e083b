package node

// Admit decodes each message once into a small typed value and checks it. It owns the wire's words
// and what the site names (zones, traffic groups); past it no wire name is left. It must never keep
// a message, call the module or guess a value that was not told.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
)

// The inputs of the module's owner, in the form that it takes them.
type (
	collector  struct{ zone choice.ZoneID }
	heard      struct{ choice.Report }
	used       struct{ choice.Usage }
	newsOpened struct{} // all proxies that are joined follow
	newsStands struct{} // they have been told
	joined     struct {
		proxy choice.ProxyID
		zone  choice.ZoneID
		rate  float64
	}
	left    struct{ proxy choice.ProxyID }
	applied struct {
		proxy choice.ProxyID
		mark  choice.MarkID
	}
	listed struct {
		generation int64
		snapshot   bool // the whole list, not changes of it
		entries    []choice.Entry
		addresses  map[choice.ServerID]string
	}
	listFailed struct{}
	probed     struct {
		server  choice.ServerID
		address string
		answer  choice.Answer
		took    time.Duration
		load    float64
	}
	again struct {
		orders  choice.Orders
		from    choice.MarkID
		carried bool // the first of it may have been carried out
		reply   chan<- later
	}
	later   struct{ now, rest choice.Orders }
	settled struct {
		mark choice.MarkID // what was ordered up to it is in the channel
		all  bool          // and nothing of it was refused
	}
	command func(r *router) // of staff, done by the owner of the module
)

// errUnknown is what a message that names an unknown zone or traffic group gives. It is dropped like
// one that is spoilt, and the connection goes on; errUnread is no message at all, which ends it.
var (
	errUnknown = errors.New("names what the site does not")
	errUnread  = errors.New("unreadable")
)

// words are what the wire may name, and the bounds of its figures.
type words struct {
	zones     map[string]choice.ZoneID
	groups    map[string]choice.GroupID
	born      time.Time
	most      int // of a line
	proxies   int // the highest number of one
	latest    time.Duration
	longest   time.Duration // span of a report
	flowsMost float64       // a second, and held
	fields    sync.Pool     // so that a line's words take no memory of their own
}

func newWords(t choice.Terms, groups []string, born time.Time, l config.Limits) *words {
	w := &words{zones: map[string]choice.ZoneID{}, groups: map[string]choice.GroupID{}, born: born, most: l.Words,
		proxies: mostProxies, longest: l.SpanMost, flowsMost: l.FlowsMost}
	w.fields.New = func() any { return &fields{} }
	if t.Proxies > 0 {
		w.proxies = t.Proxies - 1
	}
	for _, z := range t.Zones {
		w.zones[string(z)] = z
	}
	for g, name := range groups {
		w.groups[name] = choice.GroupID(g)
		w.latest = max(w.latest, 2*t.Groups[g].Expiry) // means come with noise
	}
	return w
}

// fields takes the values of one message; the first thing wrong with them stays in err.
type fields struct {
	named [][2]string
	err   error
}

func (f *fields) value(name string) (string, bool) {
	for i := range f.named {
		if f.named[i][0] == name {
			return f.named[i][1], true
		}
	}
	return "", false
}

// split takes words name=value apart, up to so many; it gives the one at fault.
func (f *fields) split(rest string, most int) (word string, ok bool) {
	from, equals := 0, -1
	for i := 0; i <= len(rest); i++ {
		switch {
		case i < len(rest) && rest[i] == '=':
			if equals < 0 {
				equals = i
			}
		case i < len(rest) && rest[i] != ' ' && rest[i] != '\t':
		case i > from:
			if equals < 0 || len(f.named) == most {
				return rest[from:i], false
			}
			f.named = append(f.named, [2]string{rest[from:equals], rest[equals+1 : i]})
			from, equals = i+1, -1
		default:
			from = i + 1
		}
	}
	return "", true
}

func (f *fields) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, what)
	}
}

func (f *fields) text(name string) string {
	v, ok := f.value(name)
	if !ok || v == "" {
		f.fail(name, "is missing")
	}
	return v
}

func (f *fields) number(name string) float64 {
	x, err := strconv.ParseFloat(f.text(name), 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > 1e12 {
		f.fail(name, "is not a number from 0 up")
		return 0
	}
	return x
}

func (f *fields) whole(name string, most int) int {
	n, err := strconv.Atoi(f.text(name))
	if err != nil || n < 0 || n > most {
		f.fail(name, fmt.Sprintf("is not a whole number from 0 to %d", most))
		return 0
	}
	return n
}

func (f *fields) millis(name string) time.Duration {
	return time.Duration(f.number(name) * float64(time.Millisecond))
}

// over is the span of a report, with the count of what it saw and how many of those it could not serve, which
// may have come in the span before. Guards against figures that no span makes possible, which would stand for
// seconds in what is worked out of samples.
func (f *fields) over(w *words) (count, failed int, span time.Duration) {
	count, failed, span = f.whole("count", 1<<40), f.whole("fail", 1<<40), f.millis("over")
	switch {
	case span <= 0 || span > w.longest:
		f.fail("over", "is no span of a report")
	case float64(max(count, failed)) > w.flowsMost*max(1, span.Seconds()):
		f.fail("count", "is more than the span makes possible")
	}
	return count, failed, span
}

func (f *fields) zone(w *words, name string) choice.ZoneID {
	z, ok := w.zones[f.text(name)]
	if !ok && f.err == nil {
		f.err = errUnknown
	}
	return z
}

// load gives the flows held that a load report tells, -1 without one; false where a figure is none. Its pairs
// are split by `between`, a pair by `within`. Guards against a report that is taken for none: the flows held
// come under the protocol's word or under that of the settings.
func load(text, between, within string, most float64) (held float64, ok bool) {
	held = -1
	for _, pair := range strings.Split(text, between) {
		key, figure, _ := strings.Cut(strings.TrimSpace(pair), within)
		x, err := strconv.ParseFloat(figure, 64)
		if err != nil || !(x >= 0 && x <= 1e12) {
			return -1, false
		}
		if key != "inflight" && key != "outstanding" {
			continue
		}
		if held = x; x > most {
			return -1, false
		}
	}
	return held, true
}

const mostProxies, mostMarks = 65535, 65535 // by the protocol

// line decodes a line that came to the manager's address: a kind and words of the form name=value.
func (w *words) line(text string) (kind string, in any, err error) {
	kind, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	if kind != "ping" && kind != "collector" && kind != "heard" && kind != "usage" {
		return "", nil, errors.Join(errUnread, fmt.Errorf("%.40q is no kind of message", kind))
	}
	f := w.fields.Get().(*fields)
	defer func() {
		f.named, f.err = f.named[:0], nil
		w.fields.Put(f)
	}()
	if word, ok := f.split(rest, w.most); !ok {
		return kind, nil, fmt.Errorf("%.40q: up to %d words name=value are due", word, w.most)
	}
	switch kind {
	case "collector":
		in = collector{f.zone(w, "site")}
	case "heard":
		r := choice.Report{Server: choice.ServerID(f.text("target")), Zone: f.zone(w, "site"), Load: -1}
		r.Tries, r.Failed, r.Span = f.over(w)
		if r.Failed > r.Tries {
			f.fail("fail", "is more than count")
		}
		if _, told := f.value("mean"); told || r.Failed < r.Tries { // where none was good it may be left out
			r.Latency = f.millis("mean")
		}
		if r.Latency > w.latest || r.Failed < r.Tries && r.Latency == 0 {
			f.fail("mean", "is no time of an answer")
		}
		if util, told := f.value("util"); told && util != "" {
			if r.Load, told = load(util, ",", ":", w.flowsMost); !told {
				f.fail("util", "is no load report")
			}
		}
		in = heard{r}
	case "usage":
		u := choice.Usage{Proxy: choice.ProxyID(f.whole("id", w.proxies))}
		u.Flows, u.Dropped, u.Span = f.over(w)
		g, ok := w.groups[f.text("lane")]
		if u.Group = g; !ok && f.err == nil {
			f.err = errUnknown
		}
		in = used{u}
	}
	return kind, in, f.err
}

// event decodes an event of the relay's news; it gives nil for an event of another kind.
func (w *words) event(kind, data string) (in any, err error) {
	if kind != "joined" && kind != "left" && kind != "applied" {
		return nil, errUnknown
	}
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, err
	}
	f := fields{}
	for name, v := range values {
		f.named = append(f.named, [2]string{name, v[0]})
	}
	proxy := choice.ProxyID(f.whole("id", w.proxies))
	switch kind {
	case "joined":
		in = joined{proxy, f.zone(w, "site"), f.number("rps")}
	case "left":
		in = left{proxy}
	case "applied":
		in = applied{proxy, choice.MarkID(f.whole("seq", mostMarks))}
	}
	return in, f.err
}

// list decodes the whole list or changes of it. Entries of unknown zones are left out and counted.
func (w *words) list(text []byte) (in listed, unknown int, err error) {
	var told struct {
		Generation *int64
		Reset      bool
		Instances  []struct {
			InstanceID  string   `json:"instanceId"`
			HostPort    string   `json:"hostPort"`
			Zone        string   `json:"zone"`
			Lifecycle   string   `json:"lifecycle"`
			Weight      *float64 `json:"weight"`
			StartedAtMs int64    `json:"startedAtMs"`
		}
	}
	if err := json.Unmarshal(text, &told); err != nil {
		return in, 0, err
	}
	if told.Generation == nil {
		return in, 0, errors.New("generation: is missing")
	}
	in = listed{generation: *told.Generation, snapshot: told.Reset, addresses: map[choice.ServerID]string{}}
	for i, t := range told.Instances {
		e := choice.Entry{Server: choice.ServerID(t.InstanceID), Weight: 1}
		switch t.Lifecycle {
		case "up":
		case "draining":
			e.State = choice.Draining
		case "removed":
			e.State = choice.Gone
		default:
			return in, 0, fmt.Errorf("instances[%d].lifecycle: %q is not up, draining or removed", i, t.Lifecycle)
		}
		if t.InstanceID == "" || strings.ContainsAny(t.InstanceID, ",; \t\r\n") {
			return in, 0, fmt.Errorf("instances[%d].instanceId: %q is no name", i, t.InstanceID)
		}
		if t.Weight != nil {
			e.Weight = *t.Weight
		}
		if e.Weight < 0 || e.Weight > 1e9 {
			return in, 0, fmt.Errorf("instances[%d].weight: %v is not from 0 to 1e9", i, e.Weight)
		}
		zone, ok := w.zones[t.Zone]
		if !ok {
			unknown++
			continue
		}
		if e.Zone = zone; t.StartedAtMs > 0 {
			e.Started, e.Fresh = time.UnixMilli(t.StartedAtMs).Sub(w.born.Round(0)), true
		}
		in.entries = append(in.entries, e)
		if t.HostPort != "" { // a removed one may come without; it may still be probed
			in.addresses[e.Server] = t.HostPort
		}
	}
	return in, unknown, nil
}
