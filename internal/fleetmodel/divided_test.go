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

func divide(s Shape, n int, byZone bool) *divided {
	d := &divided{byZone: byZone, zones: map[balancer.ZoneID]int{}, pulled: map[balancer.ServerID]map[int]bool{}}
	t := s.Terms()
	t.Managers, t.QueueLines, t.LinesPerS = n, t.QueueLines/float64(n), t.LinesPerS/float64(n)
	for z := range s.Zones {
		d.zones[zone(z)] = z
	}
	for i := range n {
		d.lanes = append(d.lanes, balancer.New(uint64(i), t))
	}
	return d
}

func (d *divided) ask(of func(i int) bool, input func(m *balancer.Manager) balancer.Orders) (all balancer.Orders) {
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
		for _, s := range o.Readmit {
			if delete(d.pulled[s], i); len(d.pulled[s]) == 0 {
				all.Readmit = append(all.Readmit, s)
			}
		}
		for _, l := range o.Lines {
			l.Table += balancer.TableID(i * 4096)
			all.Lines = append(all.Lines, l)
		}
		for _, l := range o.Levels {
			l.Table += balancer.TableID(i * 4096)
			all.Levels = append(all.Levels, l)
		}
		for _, b := range o.Bind {
			b.Table += balancer.TableID(i * 4096)
			all.Bind = append(all.Bind, b)
		}
		if o.Mark > 0 {
			all.Mark = o.Mark*balancer.MarkID(len(d.lanes)) + balancer.MarkID(i)
		}
		if all.Probe = append(all.Probe, o.Probe...); o.Wake > 0 && (all.Wake == 0 || o.Wake < all.Wake) {
			all.Wake = o.Wake
		}
	}
	d.slowest += slowest
	return all
}

func (d *divided) Entered(now time.Duration, mark balancer.MarkID) {
	if n := balancer.MarkID(len(d.lanes)); mark > 0 {
		d.lanes[mark%n].Entered(now, mark/n)
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

func (d *divided) Listed(now time.Duration, whole bool, e []balancer.Entry) balancer.Orders {
	return d.ask(every, func(m *balancer.Manager) balancer.Orders { return m.Listed(now, whole, e) })
}
func (d *divided) Joined(now time.Duration, id balancer.ProxyID, z balancer.ZoneID, rate float64) balancer.Orders {
	return d.ask(d.owner(id), func(m *balancer.Manager) balancer.Orders { return m.Joined(now, id, z, rate) })
}
func (d *divided) Left(now time.Duration, id balancer.ProxyID) balancer.Orders {
	return d.ask(d.owner(id), func(m *balancer.Manager) balancer.Orders { return m.Left(now, id) })
}
func (d *divided) Heard(now time.Duration, r balancer.Report) balancer.Orders {
	of := every
	if d.byZone {
		of = func(i int) bool { return i == d.zones[r.Zone]%len(d.lanes) }
	}
	return d.ask(of, func(m *balancer.Manager) balancer.Orders { return m.Heard(now, r) })
}
func (d *divided) Used(now time.Duration, u balancer.Usage) balancer.Orders {
	return d.ask(d.owner(u.Proxy), func(m *balancer.Manager) balancer.Orders { return m.Used(now, u) })
}
func (d *divided) Probed(now time.Duration, id balancer.ServerID, a balancer.Answer, took time.Duration, load float64) balancer.Orders {
	return d.ask(every, func(m *balancer.Manager) balancer.Orders { return m.Probed(now, id, a, took, load) })
}
func (d *divided) Applied(now time.Duration, id balancer.ProxyID, mark balancer.MarkID) balancer.Orders {
	n := balancer.MarkID(len(d.lanes))
	return d.ask(func(i int) bool { return i == int(mark%n) }, func(m *balancer.Manager) balancer.Orders { return m.Applied(now, id, mark/n) })
}
func (d *divided) Woke(now time.Duration) balancer.Orders {
	return d.ask(every, func(m *balancer.Manager) balancer.Orders { return m.Woke(now) })
}

// BenchmarkDivided weighs one module for all against one for each lane: the module's time that can't be divided
// further (the slowest lane of each input), the time of all lanes, and what the decisions are worth.
func BenchmarkDivided(b *testing.B) {
	for _, s := range []Shape{
		{Name: "even", Zones: 4, Servers: 400, Proxies: 2000, Rate: 2, Capacity: 16},
		{Name: "uneven", Zones: 4, Servers: 60, Proxies: 120, Rate: 4, Capacity: 12, Slow: 0.25, Draining: 0.2},
	} {
		for _, how := range []string{"one", "zones", "proxies"} {
			b.Run(fmt.Sprint(s.Name, "/", how), func(b *testing.B) {
				for b.Loop() {
					f, d := New(s, 1), (*divided)(nil)
					if how != "one" {
						d = divide(s, 4, how == "zones")
						f.Manager = d
					}
					f.Open()
					for n := range 30 {
						f.Second(n, 30)
					}
					alone := f.Spent
					if d != nil {
						alone = d.slowest
					}
					t := f.Tally
					b.ReportMetric(float64(alone)/30e6, "slowest-ms/s")
					b.ReportMetric(float64(f.Spent)/30e6, "all-ms/s")
					b.ReportMetric(100*t.Crossed/t.Asked, "%crossed")
					b.ReportMetric(100*t.Dropped/t.Asked, "%dropped")
					b.ReportMetric(100*t.Blocked/t.Asked, "%blocked")
				}
			})
		}
	}
}
