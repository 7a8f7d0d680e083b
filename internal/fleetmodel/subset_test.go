package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/subset"
)

// subsetBalancer passes a subset of the endpoint list to the balancer, as the real manager does. It overrides methods of
// the embedded balancer.Manager by name: if one of these is renamed there, it must be renamed here too.
type subsetBalancer struct {
	*balancer.Manager
	subset   *subset.Subset
	zones    map[balancer.ProxyID]balancer.ZoneID
	nextTick time.Duration
}

func newSubsetBalancer(s Scenario, seed uint64, spill int) *subsetBalancer {
	settings := s.Settings()
	subsetSettings := subset.Settings{ManagerName: fmt.Sprint("n", seed), Spill: spill, WarmUpDuration: settings.WarmUpDuration}
	return &subsetBalancer{
		Manager: balancer.New(seed, settings),
		subset:  subset.New(subsetSettings),
		zones:   map[balancer.ProxyID]balancer.ZoneID{},
	}
}

func (b *subsetBalancer) HandleEndpointList(now time.Duration, complete bool, entries []balancer.Endpoint) balancer.Commands {
	var servers []subset.Server
	for _, e := range entries {
		servers = append(servers, subset.Server{Endpoint: e})
	}
	return b.update(now, b.subset.HandleEndpointList(now, complete, servers))
}

func (b *subsetBalancer) HandleProxyConnected(
	now time.Duration, id balancer.ProxyID, zone balancer.ZoneID, rate float64,
) balancer.Commands {
	var first balancer.Commands
	if _, known := b.zones[id]; !known {
		b.zones[id] = zone
		first = b.update(now, b.subset.HandleProxyConnected(now, zone))
	}
	return joinCommands(first, b.Manager.HandleProxyConnected(now, id, zone, rate))
}

func (b *subsetBalancer) HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands {
	if zone, known := b.zones[id]; known {
		delete(b.zones, id)
		b.subset.HandleProxyDisconnected(now, zone)
	}
	return b.Manager.HandleProxyDisconnected(now, id)
}

func (b *subsetBalancer) HandleTimer(now time.Duration) balancer.Commands {
	first := b.Manager.HandleTimer(now)
	if now < b.nextTick {
		return first
	}
	b.nextTick = now + time.Second
	return joinCommands(first, b.update(now, b.subset.HandleTick(now, b.Manager)))
}

// update passes the changes of the subset to the balancer, as changes of the endpoint list.
func (b *subsetBalancer) update(now time.Duration, changes subset.Update) (commands balancer.Commands) {
	if changes.IsEmpty() {
		return commands
	}
	var entries []balancer.Endpoint
	for _, server := range changes.Servers {
		entries = append(entries, server.Endpoint)
	}
	if changes.Complete || len(entries) > 0 {
		commands = b.Manager.HandleEndpointList(now, changes.Complete, entries)
	}
	commands.Restore = append(changes.Restore, commands.Restore...)
	return commands
}

// joinCommands appends the commands b to the commands a of the same time, and keeps the higher barrier and the earlier
// timer.
func joinCommands(a, b balancer.Commands) balancer.Commands {
	a.Withdraw = append(a.Withdraw, b.Withdraw...)
	a.Weights = append(a.Weights, b.Weights...)
	a.AdmissionLevels = append(a.AdmissionLevels, b.AdmissionLevels...)
	a.Restore = append(a.Restore, b.Restore...)
	a.Assign = append(a.Assign, b.Assign...)
	a.HealthCheck = append(a.HealthCheck, b.HealthCheck...)
	a.Barrier = max(a.Barrier, b.Barrier)
	if a.NextTimer == 0 || b.NextTimer > 0 && b.NextTimer < a.NextTimer {
		a.NextTimer = b.NextTimer
	}
	return a
}

const (
	qualitySeconds              = 60
	qualitySeeds                = 20
	zoneStopsAt, zoneRestartsAt = 15, 30 // seconds of the run at which zone 0 stops and restarts
)

// workload is a scenario with the number of zones that have proxies, and whether the first of these zones loses its servers
// for a time.
type workload struct {
	Scenario
	proxyZones int
	losesZone  bool
}

var workloads = []workload{
	{
		Scenario: Scenario{Name: "calm", Zones: 8, Servers: 320, Proxies: 160,
			RequestRate: 2, ServerCapacity: 16},
		proxyZones: 1,
	},
	{
		Scenario: Scenario{Name: "home overloaded", Zones: 8, Servers: 320, Proxies: 160,
			RequestRate: 6, ServerCapacity: 16},
		proxyZones: 1,
	},
	{
		Scenario: Scenario{Name: "two homes", Zones: 8, Servers: 320, Proxies: 160,
			RequestRate: 4, ServerCapacity: 12},
		proxyZones: 2,
	},
	{
		Scenario: Scenario{Name: "rolling restart", Zones: 8, Servers: 320, Proxies: 160,
			RequestRate: 2, ServerCapacity: 16, DrainFraction: 0.1},
		proxyZones: 1,
	},
	{
		Scenario: Scenario{Name: "slow servers", Zones: 8, Servers: 320, Proxies: 160,
			RequestRate: 3, ServerCapacity: 16, SlowFraction: 0.25},
		proxyZones: 1,
	},
	{
		Scenario: Scenario{Name: "home lost and back", Zones: 8, Servers: 320, Proxies: 160,
			RequestRate: 2, ServerCapacity: 16},
		proxyZones: 1,
		losesZone:  true,
	},
}

// play runs the workload. A spill of 0 means that the balancer gets the complete endpoint list.
func (w workload) play(seed uint64, spill int) Tally {
	f := New(w.Scenario, seed)
	for i, p := range f.proxies {
		p.zone = i % w.proxyZones
	}
	if spill > 0 {
		f.Manager = newSubsetBalancer(w.Scenario, seed, spill)
	}
	f.Start()
	for n := range qualitySeconds {
		if w.losesZone && n == zoneStopsAt {
			f.stopZone(0)
		}
		if w.losesZone && n == zoneRestartsAt {
			f.restartZone(0)
		}
		f.PlaySecond(n, qualitySeconds)
	}
	return f.Tally
}

// stopZone stops a zone's servers without updating the endpoint list.
func (f *Fleet) stopZone(zone int) {
	for _, s := range f.servers {
		if s.zone == zone {
			s.state = balancer.Removed
		}
	}
}

// restartZone starts a zone's servers again and updates the endpoint list.
func (f *Fleet) restartZone(zone int) {
	for _, s := range f.servers {
		if s.zone == zone {
			f.setState(s, balancer.Ready)
		}
	}
}

// quality holds fractions of requests: failed and shed are fractions of the offered requests, inZone of the admitted ones.
type quality struct{ failed, shed, inZone float64 }

// quality plays the workload with several seeds, and returns the fractions over all of them.
func (w workload) quality(seeds, spill int) (mean quality) {
	var sum Tally
	for seed := range seeds {
		t := w.play(uint64(seed+1), spill)
		sum.Offered += t.Offered
		sum.Failed += t.Failed
		sum.Shed += t.Shed
		sum.CrossZone += t.CrossZone
	}
	return quality{sum.Failed / sum.Offered, sum.Shed / sum.Offered, 1 - sum.CrossZone/(sum.Offered-sum.Shed)}
}

// BenchmarkSubsetQuality compares the complete endpoint list with subsets over several seeds. It reports the fractions of
// requests that fail, are shed, or stay in their zone.
func BenchmarkSubsetQuality(b *testing.B) {
	for _, w := range workloads {
		for _, spill := range []int{0, 20, 40, 100} {
			b.Run(fmt.Sprintf("%s/%d", w.Name, spill), func(b *testing.B) {
				for b.Loop() {
					q := w.quality(qualitySeeds, spill)
					b.ReportMetric(100*q.failed, "%dropped")
					b.ReportMetric(100*q.shed, "%blocked")
					b.ReportMetric(100*q.inZone, "%in-zone")
				}
			})
		}
	}
}

// With a subset, hardly more requests may fail or be shed than with the complete list, and at least as many must stay in
// their zone. The limit is higher if a zone with proxies loses its servers: few servers are left until the subset is
// enlarged.
func TestSubsetQualityIsCloseToCompleteList(t *testing.T) {
	const seeds, spill = 2, 20
	for _, w := range workloads {
		tolerance := 0.01
		if w.losesZone {
			tolerance = 0.10
		}
		complete := w.quality(seeds, 0)
		partial := w.quality(seeds, spill)
		if partial.failed+partial.shed > complete.failed+complete.shed+tolerance || partial.inZone < complete.inZone {
			t.Errorf("%s: %+v with the complete list, %+v with a subset", w.Name, complete, partial)
		}
	}
}

// A run with a subset must be deterministic: the same seed gives the same tally.
func TestRunWithSubsetIsDeterministic(t *testing.T) {
	w := workloads[len(workloads)-1]
	if a, b := w.play(3, 20), w.play(3, 20); a != b {
		t.Errorf("two runs of one seed differ: %+v and %+v", a, b)
	}
}
