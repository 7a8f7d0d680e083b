package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/subset"
)

// subsetted is a decider that hands the decision module a subset, as the real manager does.
type subsetted struct {
	*balancer.Manager
	subset *subset.Subset
	zones  map[balancer.ProxyID]balancer.ZoneID
	lookAt time.Duration
}

func newSubsetted(s Scenario, seed uint64, spill int) *subsetted {
	terms := s.Settings()
	settings := subset.Settings{ManagerName: fmt.Sprint("n", seed), Spill: spill, WarmUpDuration: terms.WarmUpDuration}
	return &subsetted{Manager: balancer.New(seed, terms), subset: subset.New(settings), zones: map[balancer.ProxyID]balancer.ZoneID{}}
}

func (d *subsetted) HandleEndpointList(now time.Duration, whole bool, entries []balancer.Endpoint) balancer.Commands {
	var servers []subset.Server
	for _, e := range entries {
		servers = append(servers, subset.Server{Endpoint: e})
	}
	return d.handOn(now, d.subset.HandleEndpointList(now, whole, servers))
}

func (d *subsetted) HandleProxyConnected(now time.Duration, id balancer.ProxyID, zone balancer.ZoneID, rate float64) balancer.Commands {
	var first balancer.Commands
	if _, known := d.zones[id]; !known {
		d.zones[id] = zone
		first = d.handOn(now, d.subset.HandleProxyConnected(now, zone))
	}
	return join(first, d.Manager.HandleProxyConnected(now, id, zone, rate))
}

func (d *subsetted) HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands {
	if zone, known := d.zones[id]; known {
		delete(d.zones, id)
		d.subset.HandleProxyDisconnected(now, zone)
	}
	return d.Manager.HandleProxyDisconnected(now, id)
}

func (d *subsetted) HandleTimer(now time.Duration) balancer.Commands {
	first := d.Manager.HandleTimer(now)
	if now < d.lookAt {
		return first
	}
	d.lookAt = now + time.Second
	return join(first, d.handOn(now, d.subset.HandleTick(now, d.Manager)))
}

func (d *subsetted) handOn(now time.Duration, u subset.Update) (o balancer.Commands) {
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

// join puts the orders of one input behind those of another of the same time.
func join(a, b balancer.Commands) balancer.Commands {
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
	lostAt, backAt = 15, 30 // seconds, of a home zone
)

// day is a shape, how many zones have proxies, and whether a home zone is lost for a while.
type day struct {
	Scenario
	homes int
	lost  bool
}

var days = []day{
	{Scenario: Scenario{Name: "calm", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 2, ServerCapacity: 16}, homes: 1},
	{Scenario: Scenario{Name: "home overloaded", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 6, ServerCapacity: 16}, homes: 1},
	{Scenario: Scenario{Name: "two homes", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 4, ServerCapacity: 12}, homes: 2},
	{Scenario: Scenario{Name: "rolling restart", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 2, ServerCapacity: 16, DrainFraction: 0.1}, homes: 1},
	{Scenario: Scenario{Name: "slow servers", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 3, ServerCapacity: 16, SlowFraction: 0.25}, homes: 1},
	{Scenario: Scenario{Name: "home lost and back", Zones: 8, Servers: 320, Proxies: 160, RequestRate: 2, ServerCapacity: 16}, homes: 1, lost: true},
}

// play runs a day; spill 0 uses the whole list.
func (d day) play(seed uint64, spill int) Tally {
	f := New(d.Scenario, seed)
	for i, p := range f.proxies {
		p.zone = i % d.homes
	}
	if spill > 0 {
		f.Manager = newSubsetted(d.Scenario, seed, spill)
	}
	f.Start()
	for n := range qualitySeconds {
		if d.lost && n == lostAt {
			f.loseZone(0)
		}
		if d.lost && n == backAt {
			f.returnZone(0)
		}
		f.PlaySecond(n, qualitySeconds)
	}
	return f.Tally
}

// loseZone stops a zone's servers without a word of the list.
func (f *Fleet) loseZone(zone int) {
	for _, s := range f.servers {
		if s.zone == zone {
			s.state = balancer.Removed
		}
	}
}

// returnZone starts them again, and the list tells it.
func (f *Fleet) returnZone(zone int) {
	for _, s := range f.servers {
		if s.zone == zone {
			f.setState(s, balancer.Ready)
		}
	}
}

// quality is what became of the flows that were asked.
type quality struct{ dropped, blocked, inZone float64 }

func (d day) quality(seeds, spill int) (mean quality) {
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
	for _, d := range days {
		for _, spill := range []int{0, 20, 40, 100} {
			b.Run(fmt.Sprintf("%s/%d", d.Name, spill), func(b *testing.B) {
				for b.Loop() {
					q := d.quality(qualitySeeds, spill)
					b.ReportMetric(100*q.dropped, "%dropped")
					b.ReportMetric(100*q.blocked, "%blocked")
					b.ReportMetric(100*q.inZone, "%in-zone")
				}
			})
		}
	}
}

// A subset drops hardly more than the whole list does, and keeps more in its zone; where a home zone is lost, the
// servers that are left are few until the subset is widened.
func TestASubsetLosesLittleQuality(t *testing.T) {
	const seeds, spill = 2, 20
	for _, d := range days {
		more := 0.01
		if d.lost {
			more = 0.10
		}
		whole, some := d.quality(seeds, 0), d.quality(seeds, spill)
		if some.dropped+some.blocked > whole.dropped+whole.blocked+more || some.inZone < whole.inZone {
			t.Errorf("%s: %+v with the whole list, %+v with a subset", d.Name, whole, some)
		}
	}
}

// The same seed gives the same run, with a subset as without.
func TestARunWithASubsetIsRepeatable(t *testing.T) {
	d := days[len(days)-1]
	if a, b := d.play(3, 20), d.play(3, 20); a != b {
		t.Errorf("%+v and %+v", a, b)
	}
}
