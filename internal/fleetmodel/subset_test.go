package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/subset"
)

// subsetBalancer hands the decision module a subset of the endpoint list, as the real manager does. It overrides some of the
// embedded manager's methods: whoever renames those renames them here.
type subsetBalancer struct {
	*balancer.Manager
	subset   *subset.Subset
	zones    map[balancer.ProxyID]balancer.ZoneID
	nextTick time.Duration
}

func newSubsetBalancer(s Scenario, seed uint64, spill int) *subsetBalancer {
	settings := s.Settings()
	subsetSettings := subset.Settings{ManagerName: fmt.Sprint("n", seed), Spill: spill, WarmUpDuration: settings.WarmUpDuration}
	return &subsetBalancer{Manager: balancer.New(seed, settings), subset: subset.New(subsetSettings), zones: map[balancer.ProxyID]balancer.ZoneID{}}
}

func (d *subsetBalancer) HandleEndpointList(now time.Duration, whole bool, entries []balancer.Endpoint) balancer.Commands {
	var servers []subset.Server
	for _, e := range entries {
		servers = append(servers, subset.Server{Endpoint: e})
	}
	return d.update(now, d.subset.HandleEndpointList(now, whole, servers))
}

func (d *subsetBalancer) HandleProxyConnected(now time.Duration, id balancer.ProxyID, zone balancer.ZoneID, rate float64) balancer.Commands {
	var first balancer.Commands
	if _, known := d.zones[id]; !known {
		d.zones[id] = zone
		first = d.update(now, d.subset.HandleProxyConnected(now, zone))
	}
	return joinCommands(first, d.Manager.HandleProxyConnected(now, id, zone, rate))
}

func (d *subsetBalancer) HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands {
	if zone, known := d.zones[id]; known {
		delete(d.zones, id)
		d.subset.HandleProxyDisconnected(now, zone)
	}
	return d.Manager.HandleProxyDisconnected(now, id)
}

func (d *subsetBalancer) HandleTimer(now time.Duration) balancer.Commands {
	first := d.Manager.HandleTimer(now)
	if now < d.nextTick {
		return first
	}
	d.nextTick = now + time.Second
	return joinCommands(first, d.update(now, d.subset.HandleTick(now, d.Manager)))
}

func (d *subsetBalancer) update(now time.Duration, u subset.Update) (o balancer.Commands) {
	if u.IsEmpty() {
		return o
	}
	var entries []balancer.Endpoint
	for _, one := range u.Servers {
		entries = append(entries, one.Endpoint)
	}
	if u.Complete || len(entries) > 0 {
		o = d.Manager.HandleEndpointList(now, u.Complete, entries)
	}
	o.Restore = append(u.Restore, o.Restore...)
	return o
}

// joinCommands puts the commands of one input behind those of another of the same time.
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
	qualitySeconds = 60
	qualitySeeds   = 20
	zoneStopsAt, zoneRestartsAt = 15, 30 // seconds, of a home zone
)

// workload is a scenario, how many zones have proxies, and whether a home zone is lost for a while.
type workload struct {
	Scenario
	proxyZones int
	losesZone  bool
}

var workloads = []workload{
	{Scenario: Scenario{Name: "calm", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 2, ServerCapacity: 16}, proxyZones: 1},
	{Scenario: Scenario{Name: "home overloaded", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 6, ServerCapacity: 16}, proxyZones: 1},
	{Scenario: Scenario{Name: "two homes", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 4, ServerCapacity: 12}, proxyZones: 2},
	{Scenario: Scenario{Name: "rolling restart", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 2, ServerCapacity: 16, DrainFraction: 0.1}, proxyZones: 1},
	{Scenario: Scenario{Name: "slow servers", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 3, ServerCapacity: 16, SlowFraction: 0.25}, proxyZones: 1},
	{Scenario: Scenario{Name: "home lost and back", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 2, ServerCapacity: 16}, proxyZones: 1, losesZone: true},
}

// play runs a day; spill 0 uses the whole list.
func (d workload) play(seed uint64, spill int) Tally {
	f := New(d.Scenario, seed)
	for i, p := range f.proxies {
		p.zone = i % d.proxyZones
	}
	if spill > 0 {
		f.Manager = newSubsetBalancer(d.Scenario, seed, spill)
	}
	f.Start()
	for n := range qualitySeconds {
		if d.losesZone && n == zoneStopsAt {
			f.stopZone(0)
		}
		if d.losesZone && n == zoneRestartsAt {
			f.restartZone(0)
		}
		f.PlaySecond(n, qualitySeconds)
	}
	return f.Tally
}

// stopZone stops a zone's servers without a word of the list.
func (f *Fleet) stopZone(zone int) {
	for _, s := range f.servers {
		if s.zone == zone {
			s.state = balancer.Removed
		}
	}
}

// restartZone starts them again, with entries of the endpoint list.
func (f *Fleet) restartZone(zone int) {
	for _, s := range f.servers {
		if s.zone == zone {
			f.setState(s, balancer.Ready)
		}
	}
}

// quality is what became of the requests, as parts of those offered; inZone of those admitted.
type quality struct{ failed, shed, inZone float64 }

func (d workload) quality(seeds, spill int) (mean quality) {
	var sum Tally
	for seed := range seeds {
		t := d.play(uint64(seed+1), spill)
		sum.Offered += t.Offered
		sum.Failed += t.Failed
		sum.Shed += t.Shed
		sum.CrossZone += t.CrossZone
	}
	return quality{sum.Failed / sum.Offered, sum.Shed / sum.Offered, 1 - sum.CrossZone/(sum.Offered-sum.Shed)}
}

// BenchmarkSubsetQuality weighs the whole list against subsets, over seeds: what is dropped, what is not let in, and
// what stays in its zone.
func BenchmarkSubsetQuality(b *testing.B) {
	for _, d := range workloads {
		for _, spill := range []int{0, 20, 40, 100} {
			b.Run(fmt.Sprintf("%s/%d", d.Name, spill), func(b *testing.B) {
				for b.Loop() {
					q := d.quality(qualitySeeds, spill)
					b.ReportMetric(100*q.failed, "%dropped")
					b.ReportMetric(100*q.shed, "%blocked")
					b.ReportMetric(100*q.inZone, "%in-zone")
				}
			})
		}
	}
}

// A subset drops hardly more than the whole list does, and keeps more in its zone; where a home zone is lost, the
// servers that are left are few until the subset is widened.
func TestSubsetQualityIsCloseToCompleteList(t *testing.T) {
	const seeds, spill = 2, 20
	for _, d := range workloads {
		more := 0.01
		if d.losesZone {
			more = 0.10
		}
		whole := d.quality(seeds, 0)
		some := d.quality(seeds, spill)
		if some.failed+some.shed > whole.failed+whole.shed+more || some.inZone < whole.inZone {
			t.Errorf("%s: %+v with the whole list, %+v with a subset", d.Name, whole, some)
		}
	}
}

// The same seed gives the same run, with a subset as without.
func TestRunWithSubsetIsDeterministic(t *testing.T) {
	d := workloads[len(workloads)-1]
	if a, b := d.play(3, 20), d.play(3, 20); a != b {
		t.Errorf("%+v and %+v", a, b)
	}
}
