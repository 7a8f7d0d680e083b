package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// divided is a prototype that was weighed for several cores: one module for each lane, of the proxies or of the zones.
// Tables of a lane have numbers of their own; a server is let back in once no lane withdraws it.
type divided struct {
	lanes   []*balancer.Manager
	byZone  bool
	zones   map[balancer.ZoneID]int
	pulled  map[balancer.ServerID]map[int]bool
	slowest time.Duration // sum of what the slowest lane of each input took
}

func divide(s Scenario, n int, byZone bool) *divided {
	d := &divided{byZone: byZone, zones: map[balancer.ZoneID]int{}, pulled: map[balancer.ServerID]map[int]bool{}}
	t := s.Settings()
	t.Managers, t.QueueCapacity, t.CommandsPerSecond = n, t.QueueCapacity/float64(n), t.CommandsPerSecond/float64(n)
	for z := range s.Zones {
		d.zones[zoneID(z)] = z
	}
	for i := range n {
		d.lanes = append(d.lanes, balancer.New(uint64(i), t))
	}
	return d
}

func (d *divided) ask(of func(i int) bool, input func(m *balancer.Manager) balancer.Commands) (all balancer.Commands) {
	slowest := time.Duration(0)
	for i, m := range d.lanes {
		if !of(i) {
			continue
		}
		began := time.Now()
		o := input(m)
		slowest = max(slowest, time.Since(began))
		for _, s := range o.Withdraw {
			if d.pulled[s] == nil {
				d.pulled[s] = map[int]bool{}
			}
			if d.pulled[s][i] = true; len(d.pulled[s]) == 1 {
				all.Withdraw = append(all.Withdraw, s)
			}
		}
		for _, s := range o.Restore {
			if delete(d.pulled[s], i); len(d.pulled[s]) == 0 {
				all.Restore = append(all.Restore, s)
			}
		}
		for _, l := range o.Weights {
			l.Table += balancer.TableID(i * 4096)
			all.Weights = append(all.Weights, l)
		}
		for _, l := range o.AdmissionLevels {
			l.Table += balancer.TableID(i * 4096)
			all.AdmissionLevels = append(all.AdmissionLevels, l)
		}
		for _, b := range o.Assign {
			b.Table += balancer.TableID(i * 4096)
			all.Assign = append(all.Assign, b)
		}
		if o.Barrier > 0 {
			all.Barrier = o.Barrier*balancer.BarrierID(len(d.lanes)) + balancer.BarrierID(i)
		}
		if all.HealthCheck = append(all.HealthCheck, o.HealthCheck...); o.NextTimer > 0 && (all.NextTimer == 0 || o.NextTimer < all.NextTimer) {
			all.NextTimer = o.NextTimer
		}
	}
	d.slowest += slowest
	return all
}

func (d *divided) HandleCommandsSent(now time.Duration, mark balancer.BarrierID) {
	if n := balancer.BarrierID(len(d.lanes)); mark > 0 {
		d.lanes[mark%n].HandleCommandsSent(now, mark/n)
	}
}

func every(int) bool { return true }

func (d *divided) owner(p balancer.ProxyID) func(int) bool {
	n := int(p)
	if d.byZone {
		n %= len(d.zones)
	}
	return func(i int) bool { return i == n/either(d.byZone, 1, 4)%len(d.lanes) }
}

func either(first bool, a, b int) int {
	if first {
		return a
	}
	return b
}

func (d *divided) HandleEndpointList(now time.Duration, whole bool, e []balancer.Endpoint) balancer.Commands {
	return d.ask(every, func(m *balancer.Manager) balancer.Commands { return m.HandleEndpointList(now, whole, e) })
}
func (d *divided) HandleProxyConnected(now time.Duration, id balancer.ProxyID, z balancer.ZoneID, rate float64) balancer.Commands {
	return d.ask(d.owner(id), func(m *balancer.Manager) balancer.Commands { return m.HandleProxyConnected(now, id, z, rate) })
}
func (d *divided) HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands {
	return d.ask(d.owner(id), func(m *balancer.Manager) balancer.Commands { return m.HandleProxyDisconnected(now, id) })
}
func (d *divided) HandleLoadReport(now time.Duration, r balancer.LoadReport) balancer.Commands {
	of := every
	if d.byZone {
		of = func(i int) bool { return i == d.zones[r.Zone]%len(d.lanes) }
	}
	return d.ask(of, func(m *balancer.Manager) balancer.Commands { return m.HandleLoadReport(now, r) })
}
func (d *divided) HandleUsageReport(now time.Duration, u balancer.UsageReport) balancer.Commands {
	return d.ask(d.owner(u.Proxy), func(m *balancer.Manager) balancer.Commands { return m.HandleUsageReport(now, u) })
}
func (d *divided) HandleHealthCheck(now time.Duration, id balancer.ServerID, a balancer.HealthCheckResult, took time.Duration, load float64) balancer.Commands {
	return d.ask(every, func(m *balancer.Manager) balancer.Commands { return m.HandleHealthCheck(now, id, a, took, load) })
}
func (d *divided) HandleBarrierAck(now time.Duration, id balancer.ProxyID, mark balancer.BarrierID) balancer.Commands {
	n := balancer.BarrierID(len(d.lanes))
	return d.ask(func(i int) bool { return i == int(mark%n) }, func(m *balancer.Manager) balancer.Commands { return m.HandleBarrierAck(now, id, mark/n) })
}
func (d *divided) HandleTimer(now time.Duration) balancer.Commands {
	return d.ask(every, func(m *balancer.Manager) balancer.Commands { return m.HandleTimer(now) })
}

// BenchmarkDivided weighs one module for all against one for each lane: the module's time that can't be divided
// further (the slowest lane of each input), the time of all lanes, and what the decisions are worth.
func BenchmarkDivided(b *testing.B) {
	for _, s := range []Scenario{
		{Name: "even", Zones: 4, Servers: 400, Proxies: 2000, RequestRate: 2, ServerCapacity: 16},
		{Name: "uneven", Zones: 4, Servers: 60, Proxies: 120, RequestRate: 4, ServerCapacity: 12, SlowFraction: 0.25, DrainFraction: 0.2},
	} {
		for _, how := range []string{"one", "zones", "proxies"} {
			b.Run(fmt.Sprint(s.Name, "/", how), func(b *testing.B) {
				for b.Loop() {
					f, d := New(s, 1), (*divided)(nil)
					if how != "one" {
						d = divide(s, 4, how == "zones")
						f.Manager = d
					}
					f.Start()
					for n := range 30 {
						f.PlaySecond(n, 30)
					}
					alone := f.ManagerTime
					if d != nil {
						alone = d.slowest
					}
					t := f.Tally
					b.ReportMetric(float64(alone)/30e6, "slowest-ms/s")
					b.ReportMetric(float64(f.ManagerTime)/30e6, "all-ms/s")
					b.ReportMetric(100*t.CrossZone/t.Offered, "%crossed")
					b.ReportMetric(100*t.Failed/t.Offered, "%dropped")
					b.ReportMetric(100*t.Shed/t.Offered, "%blocked")
				}
			})
		}
	}
}
