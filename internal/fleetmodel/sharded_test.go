package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// shardedBalancer is a prototype that was weighed for several cores: one decision module for each shard of the proxies, or of
// the zones. The tables of a shard have numbers of their own; a server is restored once no shard withdraws it.
type shardedBalancer struct {
	shards      []*balancer.Manager
	byZone      bool
	zones       map[balancer.ZoneID]int
	withdrawnBy map[balancer.ServerID]map[int]bool // shards that withdraw a server
	slowestTotal     time.Duration                      // sum of what the slowest shard of each input took
}

const (
	tablesPerShard   = 4096
	proxyShardStride = 4 // neighbouring proxies, one of each zone, share a shard
)

func newShardedBalancer(s Scenario, shards int, byZone bool) *shardedBalancer {
	d := &shardedBalancer{byZone: byZone, zones: map[balancer.ZoneID]int{}, withdrawnBy: map[balancer.ServerID]map[int]bool{}}
	settings := s.Settings()
	settings.Managers = shards
	settings.QueueCapacity /= float64(shards)
	settings.CommandsPerSecond /= float64(shards)
	for z := range s.Zones {
		d.zones[ZoneID(z)] = z
	}
	for i := range shards {
		d.shards = append(d.shards, balancer.New(uint64(i), settings))
	}
	return d
}

// deliver gives an input to the shards that it concerns, and joins their commands.
func (d *shardedBalancer) deliver(concerned func(shard int) bool, input func(m *balancer.Manager) balancer.Commands) balancer.Commands {
	var all balancer.Commands
	slowest := time.Duration(0)
	for shard, manager := range d.shards {
		if !concerned(shard) {
			continue
		}
		began := time.Now()
		commands := input(manager)
		slowest = max(slowest, time.Since(began))
		renumbered := d.renumbered(shard, commands)
		all = joinCommands(all, renumbered)
		if renumbered.Barrier > 0 {
			all.Barrier = renumbered.Barrier // of several barriers only the last is acknowledged
		}
	}
	d.slowestTotal += slowest
	return all
}

// renumbered are a shard's commands with table and barrier numbers that no other shard uses.
func (d *shardedBalancer) renumbered(shard int, commands balancer.Commands) balancer.Commands {
	offset := balancer.TableID(shard * tablesPerShard)
	result := balancer.Commands{
		Withdraw:    d.withdraw(shard, commands.Withdraw),
		Restore:     d.restore(shard, commands.Restore),
		HealthCheck: commands.HealthCheck,
		NextTimer:   commands.NextTimer,
	}
	for _, w := range commands.Weights {
		w.Table += offset
		result.Weights = append(result.Weights, w)
	}
	for _, level := range commands.AdmissionLevels {
		level.Table += offset
		result.AdmissionLevels = append(result.AdmissionLevels, level)
	}
	for _, a := range commands.Assign {
		a.Table += offset
		result.Assign = append(result.Assign, a)
	}
	if commands.Barrier > 0 {
		result.Barrier = commands.Barrier*balancer.BarrierID(len(d.shards)) + balancer.BarrierID(shard)
	}
	return result
}

// withdraw gives the servers that no other shard had withdrawn.
func (d *shardedBalancer) withdraw(shard int, servers []balancer.ServerID) (first []balancer.ServerID) {
	for _, s := range servers {
		if d.withdrawnBy[s] == nil {
			d.withdrawnBy[s] = map[int]bool{}
		}
		d.withdrawnBy[s][shard] = true
		if len(d.withdrawnBy[s]) == 1 {
			first = append(first, s)
		}
	}
	return first
}

// restore gives the servers that no shard withdraws any more.
func (d *shardedBalancer) restore(shard int, servers []balancer.ServerID) (last []balancer.ServerID) {
	for _, s := range servers {
		delete(d.withdrawnBy[s], shard)
		if len(d.withdrawnBy[s]) == 0 {
			last = append(last, s)
		}
	}
	return last
}

func anyShard(int) bool { return true }

func onlyShard(shard int) func(int) bool { return func(i int) bool { return i == shard } }

// ownsProxy is the shard of a proxy.
func (d *shardedBalancer) ownsProxy(p balancer.ProxyID) func(int) bool {
	if d.byZone {
		return onlyShard(int(p) % len(d.zones) % len(d.shards))
	}
	return onlyShard(int(p) / proxyShardStride % len(d.shards))
}

func (d *shardedBalancer) HandleEndpointList(now time.Duration, whole bool, e []balancer.Endpoint) balancer.Commands {
	return d.deliver(anyShard, func(m *balancer.Manager) balancer.Commands { return m.HandleEndpointList(now, whole, e) })
}

func (d *shardedBalancer) HandleProxyConnected(now time.Duration, id balancer.ProxyID, z balancer.ZoneID, rate float64) balancer.Commands {
	return d.deliver(d.ownsProxy(id), func(m *balancer.Manager) balancer.Commands { return m.HandleProxyConnected(now, id, z, rate) })
}

func (d *shardedBalancer) HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands {
	return d.deliver(d.ownsProxy(id), func(m *balancer.Manager) balancer.Commands { return m.HandleProxyDisconnected(now, id) })
}

func (d *shardedBalancer) HandleLoadReport(now time.Duration, r balancer.LoadReport) balancer.Commands {
	concerned := anyShard
	if d.byZone {
		concerned = onlyShard(d.zones[r.Zone] % len(d.shards))
	}
	return d.deliver(concerned, func(m *balancer.Manager) balancer.Commands { return m.HandleLoadReport(now, r) })
}

func (d *shardedBalancer) HandleUsageReport(now time.Duration, u balancer.UsageReport) balancer.Commands {
	return d.deliver(d.ownsProxy(u.Proxy), func(m *balancer.Manager) balancer.Commands { return m.HandleUsageReport(now, u) })
}

func (d *shardedBalancer) HandleHealthCheck(now time.Duration, id balancer.ServerID, a balancer.HealthCheckResult, took time.Duration, load float64) balancer.Commands {
	return d.deliver(anyShard, func(m *balancer.Manager) balancer.Commands { return m.HandleHealthCheck(now, id, a, took, load) })
}

func (d *shardedBalancer) HandleBarrierAck(now time.Duration, id balancer.ProxyID, mark balancer.BarrierID) balancer.Commands {
	shards := balancer.BarrierID(len(d.shards))
	return d.deliver(onlyShard(int(mark%shards)), func(m *balancer.Manager) balancer.Commands {
		return m.HandleBarrierAck(now, id, mark/shards)
	})
}

func (d *shardedBalancer) HandleCommandsSent(now time.Duration, mark balancer.BarrierID) {
	if shards := balancer.BarrierID(len(d.shards)); mark > 0 {
		d.shards[mark%shards].HandleCommandsSent(now, mark/shards)
	}
}

func (d *shardedBalancer) HandleTimer(now time.Duration) balancer.Commands {
	return d.deliver(anyShard, func(m *balancer.Manager) balancer.Commands { return m.HandleTimer(now) })
}

// BenchmarkShardedBalancer weighs one module for all against one for each shard: the module's time that can't be divided
// further (the slowest shard of each input), the time of all shards, and what the decisions are worth.
func BenchmarkShardedBalancer(b *testing.B) {
	for _, s := range []Scenario{
		{Name: "even", Zones: 4, Servers: 400, Proxies: 2000, RequestRate: 2, ServerCapacity: 16},
		{Name: "uneven", Zones: 4, Servers: 60, Proxies: 120, RequestRate: 4, ServerCapacity: 12, SlowFraction: 0.25, DrainFraction: 0.2},
	} {
		for _, how := range []string{"one", "zones", "proxies"} {
			b.Run(fmt.Sprint(s.Name, "/", how), func(b *testing.B) {
				for b.Loop() {
					f := New(s, 1)
					var d *shardedBalancer
					if how != "one" {
						d = newShardedBalancer(s, 4, how == "zones")
						f.Manager = d
					}
					f.Start()
					for n := range 30 {
						f.PlaySecond(n, 30)
					}
					alone := f.ManagerTime
					if d != nil {
						alone = d.slowestTotal
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
