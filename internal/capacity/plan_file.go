package capacity

import (
	"os"
	"path/filepath"
	"time"

	"tamarindshore/internal/sexp"
)

// Bounds of the values in a plan file, and the name of its form.
const (
	maxCount    = 10_000_000
	maxRate     = 1e12
	maxBytes    = 1e9
	maxCores    = 1024
	maxDuration = 24 * time.Hour
	minDuration = time.Microsecond
	planForm    = "capacity"
)

// ReadPlan reads and checks a plan file. Invalid content is reported as a sexp.Error with the file, line and key.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(filepath.Base(path), text)
}

// ParsePlan parses a plan of the form (capacity (fleet (managers 5600) ...) ...). All keys are required. Errors refer
// to the file by the given name.
func ParsePlan(name string, text []byte) (Plan, error) {
	var p Plan
	form, err := sexp.ReadForm(name, text, planForm, p.sections()...)
	if err != nil {
		return p, err
	}
	return p, p.checkConsistent(form)
}

// sections returns the sections of a plan with their keys and bounds.
func (p *Plan) sections() []sexp.Key {
	return sexp.Required(
		sectionKey("fleet", p.Fleet.keys()...),
		sectionKey("budgets", p.Budgets.keys()...),
		sectionKey("day", p.Day.keys()...),
		sectionKey("events", durationKey("region-cut", &p.Events.RegionCut)),
		sectionKey("control-machines", p.Control.keys()...),
		sectionKey("managers", p.Managers.keys()...),
		sectionKey("subset",
			sexp.IntKey("home-zones", &p.Subset.HomeZones, 1, maxCount),
			sexp.IntKey("others", &p.Subset.OtherServers, 0, maxCount),
			sexp.FloatKey("widen-below", &p.Subset.WidenBelow, 0, 1)),
		sectionKey("message-bytes", p.Messages.keys()...),
		sexp.Key{Name: "judged", Read: p.readVerdictScope})
}

func (f *Fleet) keys() []sexp.Key {
	return []sexp.Key{
		sexp.IntKey("managers", &f.Managers, 1, maxCount),
		sexp.IntKey("servers", &f.Servers, 1, maxCount),
		sexp.IntKey("services", &f.Services, 1, maxCount),
		sexp.FloatKey("requests-per-second", &f.RequestsPerSecond, 0, maxRate),
		sexp.IntKey("routes", &f.Routes, 0, maxCount),
		sexp.IntKey("tenants", &f.Tenants, 0, maxCount),
		sexp.IntKey("regions", &f.Regions, 1, maxCount),
		sexp.IntKey("zones", &f.Zones, 1, maxCount),
	}
}

func (b *Budgets) keys() []sexp.Key {
	return []sexp.Key{
		durationKey("request-tail", &b.RequestTail),
		durationKey("change-in-force", &b.MaxPropagation),
		sexp.FloatKey("core", &b.Core, 1e-6, maxCores),
		sexp.FloatKey("memory-mb", &b.MemoryMB, 1, maxBytes),
		sexp.FloatKey("bytes-per-second", &b.BytesPerSecond, 1, maxRate),
	}
}

func (d *Day) keys() []sexp.Key {
	return []sexp.Key{
		sexp.IntKey("failures", &d.Failures, 0, maxCount),
		sexp.IntKey("restarts", &d.Restarts, 0, maxCount),
		sexp.IntKey("changes", &d.Changes, 0, maxCount),
		sexp.FloatKey("entries-per-failure", &d.EntriesPerFailure, 0, 100),
		sexp.FloatKey("entries-per-restart", &d.EntriesPerRestart, 0, 100),
		sexp.FloatKey("entries-per-change", &d.EntriesPerChange, 0, maxCount),
		sexp.FloatKey("busy-hour", &d.BusyHour, 1.0/24, 1),
		sexp.IntKey("batch", &d.Batch, 1, maxCount),
	}
}

func (c *ControlMachines) keys() []sexp.Key {
	return []sexp.Key{
		sexp.IntKey("count", &c.Count, 3, 1000), // one of the situations loses two of them
		sexp.IntKey("cores", &c.Cores, 1, maxCores),
		sexp.FloatKey("memory-mb", &c.MemoryMB, 1, maxBytes),
		sexp.FloatKey("bytes-per-second", &c.BytesPerSecond, 1, maxRate),
	}
}

func (m *Managers) keys() []sexp.Key {
	return []sexp.Key{
		sexp.IntKey("proxies", &m.Proxies, 1, maxCount),
		sexp.IntKey("proxy-zones", &m.ProxyZones, 1, maxCount),
		sexp.IntKey("traffic-groups", &m.TrafficClasses, 1, 64),
		sexp.FloatKey("tries-per-request", &m.AttemptsPerRequest, 1, 10),
		durationKey("report-interval", &m.ReportInterval),
		durationOrZeroKey("read-interval", &m.ReadInterval),
		sexp.BoolKey("list-stored", &m.ListStored),
		sexp.IntKey("collectors-per-zone", &m.CollectorsPerZone, 1, 1000),
		sexp.IntKey("relays-per-zone", &m.RelaysPerZone, 1, 1000),
		sexp.IntKey("queue-lines", &m.QueueCapacity, 1, maxCount),
		durationKey("probe-interval", &m.HealthCheckInterval),
		durationKey("probe-timeout", &m.HealthCheckTimeout),
		sexp.IntKey("probes-open", &m.MaxHealthChecks, 1, maxCount),
	}
}

func (m *MessageBytes) keys() []sexp.Key {
	return []sexp.Key{
		sexp.FloatKey("report", &m.Report, 1, maxBytes),
		sexp.FloatKey("usage", &m.Usage, 1, maxBytes),
		sexp.FloatKey("news", &m.RelayEvent, 1, maxBytes),
		sexp.FloatKey("list-entry", &m.ListEntry, 1, maxBytes),
		sexp.FloatKey("probe", &m.HealthCheck, 1, maxBytes),
		sexp.FloatKey("unanswered-probe", &m.UnansweredHealthCheck, 1, maxBytes),
		sexp.FloatKey("heartbeat", &m.Heartbeat, 0, maxBytes),
		sexp.FloatKey("calls", &m.Calls, 0, maxBytes),
		sexp.FloatKey("order", &m.Command, 1, maxBytes),
	}
}

// readVerdictScope reads the scope whose exceeded budgets decide the verdict.
func (p *Plan) readVerdictScope(n *sexp.Node) error {
	var scope string
	if err := n.OneOf(&scope, string(WholeList), string(Subset), string(CachedSubset)); err != nil {
		return err
	}
	p.VerdictScope = Scope(scope)
	return nil
}

// checkConsistent compares values of different keys. The error points to the key whose value is too large.
func (p *Plan) checkConsistent(root *sexp.Node) error {
	f := p.Fleet
	for _, c := range []struct {
		section string
		key     string
		value   int
		limit   int
		unit    string // what the limit counts
	}{
		{"fleet", "services", f.Services, f.Servers, "servers"},
		{"fleet", "zones", f.Zones, f.Servers, "servers"},
		{"fleet", "regions", f.Regions, f.Zones, "zones"},
		{"managers", "proxy-zones", p.Managers.ProxyZones, f.Zones, "zones"},
		{"subset", "home-zones", p.Subset.HomeZones, f.Zones, "zones"},
		{"subset", "others", p.Subset.OtherServers, f.Servers, "servers"},
	} {
		if c.value > c.limit {
			node := root.Child(c.section).Child(c.key)
			return node.Errorf("%s: %d is more than the %d %s", c.key, c.value, c.limit, c.unit)
		}
	}
	return nil
}

// sectionKey returns a required section in which every key is required.
func sectionKey(name string, keys ...sexp.Key) sexp.Key {
	return sexp.Section(name, sexp.Required(keys...)...)
}

// durationKey returns a key for a positive duration.
func durationKey(name string, to *time.Duration) sexp.Key {
	return sexp.DurationKey(name, to, minDuration, maxDuration)
}

// durationOrZeroKey returns a key for a duration that may be 0s.
func durationOrZeroKey(name string, to *time.Duration) sexp.Key {
	return sexp.DurationKey(name, to, 0, maxDuration)
}
