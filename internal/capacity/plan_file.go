package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/sexp"
)

// Bounds of the plan's values.
const (
	maxCount    = 10_000_000
	maxRate     = 1e12
	maxBytes    = 1e9
	maxCores    = 1024
	maxDuration = 24 * time.Hour
	minDuration = time.Microsecond
	planForm    = "capacity"
)

// ReadPlan reads and checks the file of a plan. What is wrong with its content is a sexp.Error, which names the file, the
// line and the key.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(filepath.Base(path), text)
}

// ParsePlan reads a plan of the form (capacity (fleet (managers 5600) ...) ...). All keys are required; errors call the
// file by name.
func ParsePlan(name string, text []byte) (Plan, error) {
	var p Plan
	nodes, err := sexp.Parse(name, text)
	if err != nil {
		return p, err
	}
	if len(nodes) != 1 || nodes[0].Head() != planForm {
		return p, &sexp.Error{File: name, Line: 1, Problem: fmt.Sprintf("one form (%s ...) is due", planForm)}
	}
	form := nodes[0]
	if err := sexp.Read(form, form.Args(), p.sections()...); err != nil {
		return p, err
	}
	return p, p.checkConsistent(form)
}

func (p *Plan) sections() []sexp.Key {
	return []sexp.Key{
		sectionKey("fleet", p.Fleet.keys()...),
		sectionKey("budgets", p.Budgets.keys()...),
		sectionKey("day", p.Day.keys()...),
		sectionKey("events", durationKey("region-cut", &p.Events.RegionCut)),
		sectionKey("control-machines", p.Control.keys()...),
		sectionKey("managers", p.Managers.keys()...),
		sectionKey("subset",
			integerKey("home-zones", &p.Subset.HomeZones, 1, maxCount),
			integerKey("others", &p.Subset.Others, 0, maxCount),
			numberKey("widen-below", &p.Subset.WidenBelow, 0, 1)),
		sectionKey("message-bytes", p.Messages.keys()...),
		{Name: "judged", Required: true, Read: p.readJudged},
	}
}

func (f *Fleet) keys() []sexp.Key {
	return []sexp.Key{
		integerKey("managers", &f.Managers, 1, maxCount),
		integerKey("servers", &f.Servers, 1, maxCount),
		integerKey("services", &f.Services, 1, maxCount),
		numberKey("requests-per-second", &f.RequestsPerSecond, 0, maxRate),
		integerKey("routes", &f.Routes, 0, maxCount),
		integerKey("tenants", &f.Tenants, 0, maxCount),
		integerKey("regions", &f.Regions, 1, maxCount),
		integerKey("zones", &f.Zones, 1, maxCount),
	}
}

func (b *Budgets) keys() []sexp.Key {
	return []sexp.Key{
		durationKey("request-tail", &b.RequestTail),
		durationKey("change-in-force", &b.MaxPropagation),
		numberKey("core", &b.Core, 1e-6, maxCores),
		numberKey("memory-mb", &b.MemoryMB, 1, maxBytes),
		numberKey("bytes-per-second", &b.BytesPerSecond, 1, maxRate),
	}
}

func (d *Day) keys() []sexp.Key {
	return []sexp.Key{
		integerKey("failures", &d.Failures, 0, maxCount),
		integerKey("restarts", &d.Restarts, 0, maxCount),
		integerKey("changes", &d.Changes, 0, maxCount),
		numberKey("entries-per-failure", &d.EntriesPerFailure, 0, 100),
		numberKey("entries-per-restart", &d.EntriesPerRestart, 0, 100),
		numberKey("entries-per-change", &d.EntriesPerChange, 0, maxCount),
		numberKey("busy-hour", &d.BusyHour, 1.0/24, 1),
		integerKey("batch", &d.Batch, 1, maxCount),
	}
}

func (c *ControlMachines) keys() []sexp.Key {
	return []sexp.Key{
		integerKey("count", &c.Count, 3, 1000), // two of them are lost in one of the situations
		integerKey("cores", &c.Cores, 1, maxCores),
		numberKey("memory-mb", &c.MemoryMB, 1, maxBytes),
		numberKey("bytes-per-second", &c.BytesPerSecond, 1, maxRate),
	}
}

func (m *Managers) keys() []sexp.Key {
	return []sexp.Key{
		integerKey("proxies", &m.Proxies, 1, maxCount),
		integerKey("proxy-zones", &m.ProxyZones, 1, maxCount),
		integerKey("traffic-groups", &m.TrafficClasses, 1, 64),
		numberKey("tries-per-request", &m.AttemptsPerRequest, 1, 10),
		durationKey("report-interval", &m.ReportInterval),
		durationOrZeroKey("read-interval", &m.ReadInterval),
		boolKey("list-stored", &m.ListStored),
		integerKey("collectors-per-zone", &m.CollectorsPerZone, 1, 1000),
		integerKey("relays-per-zone", &m.RelaysPerZone, 1, 1000),
		integerKey("queue-lines", &m.QueueCapacity, 1, maxCount),
		durationKey("probe-interval", &m.HealthCheckInterval),
		durationKey("probe-timeout", &m.HealthCheckTimeout),
		integerKey("probes-open", &m.MaxHealthChecks, 1, maxCount),
	}
}

func (m *MessageBytes) keys() []sexp.Key {
	return []sexp.Key{
		numberKey("report", &m.Report, 1, maxBytes),
		numberKey("usage", &m.Usage, 1, maxBytes),
		numberKey("news", &m.RelayEvent, 1, maxBytes),
		numberKey("list-entry", &m.ListEntry, 1, maxBytes),
		numberKey("probe", &m.HealthCheck, 1, maxBytes),
		numberKey("unanswered-probe", &m.UnansweredHealthCheck, 1, maxBytes),
		numberKey("heartbeat", &m.Heartbeat, 0, maxBytes),
		numberKey("calls", &m.Calls, 0, maxBytes),
		numberKey("order", &m.Command, 1, maxBytes),
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

// checkConsistent checks keys against one another; the error is at the key that is too large.
func (p *Plan) checkConsistent(root *sexp.Node) error {
	f := p.Fleet
	for _, c := range []struct {
		section string
		key     string
		value   int
		limit   int
		of      string // what the limit counts
	}{
		{"fleet", "services", f.Services, f.Servers, "servers"},
		{"fleet", "zones", f.Zones, f.Servers, "servers"},
		{"fleet", "regions", f.Regions, f.Zones, "zones"},
		{"managers", "proxy-zones", p.Managers.ProxyZones, f.Zones, "zones"},
		{"subset", "home-zones", p.Subset.HomeZones, f.Zones, "zones"},
		{"subset", "others", p.Subset.Others, f.Servers, "servers"},
	} {
		if c.value > c.limit {
			node := childNode(childNode(root, c.section), c.key)
			return node.Errorf("%s: %d is more than the %d %s", c.key, c.value, c.limit, c.of)
		}
	}
	return nil
}

// childNode is the list with a head within another; that one where there is none.
func childNode(n *sexp.Node, head string) *sexp.Node {
	for _, child := range n.Args() {
		if child.Head() == head {
			return child
		}
	}
	return n
}

func sectionKey(name string, keys ...sexp.Key) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return sexp.Read(n, n.Args(), keys...) }}
}

func integerKey(name string, to *int, least, most int) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Int(to, least, most) }}
}

func numberKey(name string, to *float64, least, most float64) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Float(to, least, most) }}
}

func boolKey(name string, to *bool) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error {
		var word string
		err := n.OneOf(&word, "yes", "no")
		*to = word == "yes"
		return err
	}}
}

// durationOrZeroKey is a duration that may be 0s.
func durationOrZeroKey(name string, to *time.Duration) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Duration(to, 0, maxDuration) }}
}

func durationKey(name string, to *time.Duration) sexp.Key {
	return sexp.Key{Name: name, Required: true, Read: func(n *sexp.Node) error { return n.Duration(to, minDuration, maxDuration) }}
}
