package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/sexp"
)

// Bounds of the plan's figures.
const (
	mostCount  = 10_000_000
	mostRate   = 1e12
	mostBytes  = 1e9
	mostCores  = 1024
	mostTime   = 24 * time.Hour
	shortest   = time.Microsecond
	formOfPlan = "capacity"
)

// ReadPlan reads and checks a whole plan. An error names the file, the line and the key.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(filepath.Base(path), text)
}

// ParsePlan reads a plan of the form (capacity (fleet (managers 5600) ...) ...). Each key has to be there.
func ParsePlan(name string, text []byte) (Plan, error) {
	var p Plan
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return p, err
	}
	if len(nodes) != 1 || nodes[0].Head() != formOfPlan {
		return p, fmt.Errorf("%s:1: one form (%s ...) is due", name, formOfPlan)
	}
	if err := sexp.Read(nodes[0], nodes[0].Args(), p.sections()...); err != nil {
		return p, err
	}
	return p, p.consistent(nodes[0])
}

func (p *Plan) sections() []sexp.Key {
	return []sexp.Key{
		section("fleet", p.Fleet.keys()...),
		section("budgets", p.Budgets.keys()...),
		section("day", p.Day.keys()...),
		section("events", span("region-cut", &p.Events.RegionCut)),
		section("control-machines", p.Control.keys()...),
		section("managers", p.Managers.keys()...),
		section("subset",
			whole("home-zones", &p.Subset.HomeZones, 1, mostCount),
			whole("others", &p.Subset.Others, 0, mostCount),
			number("widen-below", &p.Subset.WidenBelow, 0, 1)),
		section("message-bytes", p.Messages.keys()...),
		{Name: "judged", Required: true, Read: p.readJudged},
	}
}

func (f *Fleet) keys() []sexp.Key {
	return []sexp.Key{
		whole("managers", &f.Managers, 1, mostCount),
		whole("servers", &f.Servers, 1, mostCount),
		whole("services", &f.Services, 1, mostCount),
		number("requests-per-second", &f.RequestsPerSecond, 0, mostRate),
		whole("routes", &f.Routes, 0, mostCount),
		whole("tenants", &f.Tenants, 0, mostCount),
		whole("regions", &f.Regions, 1, mostCount),
		whole("zones", &f.Zones, 1, mostCount),
	}
}

func (b *Budgets) keys() []sexp.Key {
	return []sexp.Key{
		span("request-tail", &b.RequestTail),
		span("change-in-force", &b.ChangeInForce),
		number("core", &b.Core, 1e-6, mostCores),
		number("memory-mb", &b.MemoryMB, 1, mostBytes),
		number("bytes-per-second", &b.BytesPerSecond, 1, mostRate),
	}
}

func (d *Day) keys() []sexp.Key {
	return []sexp.Key{
		whole("failures", &d.Failures, 0, mostCount),
		whole("restarts", &d.Restarts, 0, mostCount),
		whole("changes", &d.Changes, 0, mostCount),
		number("entries-per-failure", &d.EntriesPerFailure, 0, 100),
		number("entries-per-restart", &d.EntriesPerRestart, 0, 100),
		number("entries-per-change", &d.EntriesPerChange, 0, mostCount),
		number("busy-hour", &d.BusyHour, 1.0/24, 1),
		whole("batch", &d.Batch, 1, mostCount),
	}
}

func (c *ControlMachines) keys() []sexp.Key {
	return []sexp.Key{
		whole("count", &c.Count, 3, 1000), // two of them are lost in one of the situations
		whole("cores", &c.Cores, 1, mostCores),
		number("memory-mb", &c.MemoryMB, 1, mostBytes),
		number("bytes-per-second", &c.BytesPerSecond, 1, mostRate),
	}
}

func (m *Managers) keys() []sexp.Key {
	return []sexp.Key{
		whole("proxies", &m.Proxies, 1, mostCount),
		whole("proxy-zones", &m.ProxyZones, 1, mostCount),
		whole("traffic-groups", &m.TrafficGroups, 1, 64),
		number("tries-per-request", &m.TriesPerRequest, 1, 10),
		span("report-interval", &m.ReportInterval),
		spanOrNone("read-interval", &m.ReadInterval),
		yesOrNo("list-stored", &m.ListStored),
		whole("collectors-per-zone", &m.CollectorsPerZone, 1, 1000),
		whole("relays-per-zone", &m.RelaysPerZone, 1, 1000),
		whole("queue-lines", &m.QueueLines, 1, mostCount),
		span("probe-interval", &m.ProbeInterval),
		span("probe-timeout", &m.ProbeTimeout),
		whole("probes-open", &m.ProbesOpen, 1, mostCount),
	}
}

func (m *MessageBytes) keys() []sexp.Key {
	return []sexp.Key{
		number("report", &m.Report, 1, mostBytes),
		number("usage", &m.Usage, 1, mostBytes),
		number("news", &m.News, 1, mostBytes),
		number("list-entry", &m.ListEntry, 1, mostBytes),
		number("probe", &m.Probe, 1, mostBytes),
		number("unanswered-probe", &m.UnansweredProbe, 1, mostBytes),
		number("heartbeat", &m.Heartbeat, 0, mostBytes),
		number("calls", &m.Calls, 0, mostBytes),
		number("order", &m.Order, 1, mostBytes),
	}
}

func (p *Plan) readJudged(n *sexp.Node) error {
	var word string
	if err := n.OneOf(&word, string(WholeList), string(Subset), string(CachedSubset)); err != nil {
		return err
	}
	p.Judged = Scope(word)
	return nil
}

// consistent checks what several keys say together; the error stands at the key that is too large.
func (p *Plan) consistent(root *sexp.Node) error {
	f := p.Fleet
	for _, one := range []struct {
		section, key string
		value, most  int
		of           string
	}{
		{"fleet", "services", f.Services, f.Servers, "servers"},
		{"fleet", "zones", f.Zones, f.Servers, "servers"},
		{"fleet", "regions", f.Regions, f.Zones, "zones"},
		{"managers", "proxy-zones", p.Managers.ProxyZones, f.Zones, "zones"},
		{"subset", "home-zones", p.Subset.HomeZones, f.Zones, "zones"},
		{"subset", "others", p.Subset.Others, f.Servers, "servers"},
	} {
		if one.value > one.most {
			at := child(child(root, one.section), one.key)
			return at.Errorf("%s: %d is more than the %d %s", one.key, one.value, one.most, one.of)
		}
	}
	return nil
}

func child(n *sexp.Node, head string) *sexp.Node {
	for _, one := range n.Args() {
		if one.Head() == head {
			return one
		}
	}
	return n
}

func section(name string, keys ...sexp.Key) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return sexp.Read(n, n.Args(), keys...) }}
}

func whole(name string, to *int, least, most int) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Int(to, least, most) }}
}

func number(name string, to *float64, least, most float64) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Float(to, least, most) }}
}

func yesOrNo(name string, to *bool) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error {
		var word string
		err := n.OneOf(&word, "yes", "no")
		*to = word == "yes"
		return err
	}}
}

// spanOrNone is a time that may be 0s.
func spanOrNone(name string, to *time.Duration) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Duration(to, 0, mostTime) }}
}

func span(name string, to *time.Duration) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Duration(to, shortest, mostTime) }}
}
