package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// shardedBalancer is a prototype for using several cores: it runs one balancer for each shard of the proxies or of the
// zones. No two shards share a table number. A server is restored once no shard withdraws it.
type shardedBalancer struct {
	shards       []*balancer.Manager
	byZone       bool
	zones        map[balancer.ZoneID]int
	withdrawnBy  map[balancer.ServerID]map[int]bool // shards that withdraw a server
	slowestTotal time.Duration                      // the time of the slowest shard, summed over all inputs
}

const (
	tablesPerShard   = 4096
	proxyShardStride = 4 // consecutive proxies, one of each zone, that share a shard
)

// newShardedBalancer returns shards that each have an equal part of the channel's capacity.
func newShardedBalancer(s Scenario, shards int, byZone bool) *shardedBalancer {
	b := &shardedBalancer{byZone: byZone, zones: map[balancer.ZoneID]int{}, withdrawnBy: map[balancer.ServerID]map[int]bool{}}
	settings := s.Settings()
	settings.Managers = shards
	settings.QueueCapacity /= float64(shards)
	settings.CommandsPerSecond /= float64(shards)
	for z := range s.Zones {
		b.zones[ZoneID(z)] = z
	}
	for i := range shards {
		b.shards = append(b.shards, balancer.New(uint64(i), settings))
	}
	return b
}

// deliver passes an input to the selected shards, and joins their commands.
func (b *shardedBalancer) deliver(selected func(shard int) bool, input func(m *balancer.Manager) balancer.Commands) balancer.Commands {
	var all balancer.Commands
	slowest := time.Duration(0)
	for shard, manager := range b.shards {
		if !selected(shard) {
			continue
		}
		began := time.Now()
		commands := input(manager)
		slowest = max(slowest, time.Since(began))
		renumbered := b.renumbered(shard, commands)
		all = joinCommands(all, renumbered)
		if renumbered.Barrier > 0 {
			all.Barrier = renumbered.Barrier // if several shards set a barrier, only the last is acknowledged
		}
	}
	b.slowestTotal += slowest
	return all
}

// renumbered returns a shard's commands with table and barrier numbers that no other shard uses.
func (b *shardedBalancer) renumbered(shard int, commands balancer.Commands) balancer.Commands {
	offset := balancer.TableID(shard * tablesPerShard)
	result := balancer.Commands{
		Withdraw:    b.withdraw(shard, commands.Withdraw),
		Restore:     b.restore(shard, commands.Restore),
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
		result.Barrier = commands.Barrier*balancer.BarrierID(len(b.shards)) + balancer.BarrierID(shard)
	}
	return result
}

// withdraw records a shard's withdrawals, and returns the servers that no other shard had withdrawn.
func (b *shardedBalancer) withdraw(shard int, servers []balancer.ServerID) (first []balancer.ServerID) {
	for _, s := range servers {
		if b.withdrawnBy[s] == nil {
			b.withdrawnBy[s] = map[int]bool{}
		}
		b.withdrawnBy[s][shard] = true
		if len(b.withdrawnBy[s]) == 1 {
			first = append(first, s)
		}
	}
	return first
}

// restore removes a shard's withdrawals, and returns the servers that no shard withdraws any more.
func (b *shardedBalancer) restore(shard int, servers []balancer.ServerID) (last []balancer.ServerID) {
	for _, s := range servers {
		delete(b.withdrawnBy[s], shard)
		if len(b.withdrawnBy[s]) == 0 {
			last = append(last, s)
		}
	}
	return last
}

// allShards selects all shards.
func allShards(int) bool { return true }

// onlyShard returns a function that selects one shard.
func onlyShard(shard int) func(int) bool { return func(i int) bool { return i == shard } }

// shardOfProxy returns a function that selects the shard of a proxy.
func (b *shardedBalancer) shardOfProxy(p balancer.ProxyID) func(int) bool {
	if b.byZone {
		return onlyShard(int(p) % len(b.zones) % len(b.shards))
	}
	return onlyShard(int(p) / proxyShardStride % len(b.shards))
}

func (b *shardedBalancer) HandleEndpointList(now time.Duration, complete bool, e []balancer.Endpoint) balancer.Commands {
	return b.deliver(allShards, func(m *balancer.Manager) balancer.Commands { return m.HandleEndpointList(now, complete, e) })
}

func (b *shardedBalancer) HandleProxyConnected(now time.Duration, id balancer.ProxyID, z balancer.ZoneID, rate float64) balancer.Commands {
	return b.deliver(b.shardOfProxy(id), func(m *balancer.Manager) balancer.Commands { return m.HandleProxyConnected(now, id, z, rate) })
}

func (b *shardedBalancer) HandleProxyDisconnected(now time.Duration, id balancer.ProxyID) balancer.Commands {
	return b.deliver(b.shardOfProxy(id), func(m *balancer.Manager) balancer.Commands { return m.HandleProxyDisconnected(now, id) })
}

func (b *shardedBalancer) HandleLoadReport(now time.Duration, r balancer.LoadReport) balancer.Commands {
	selected := allShards
	if b.byZone {
		selected = onlyShard(b.zones[r.Zone] % len(b.shards))
	}
	return b.deliver(selected, func(m *balancer.Manager) balancer.Commands { return m.HandleLoadReport(now, r) })
}

func (b *shardedBalancer) HandleUsageReport(now time.Duration, u balancer.UsageReport) balancer.Commands {
	return b.deliver(b.shardOfProxy(u.Proxy), func(m *balancer.Manager) balancer.Commands { return m.HandleUsageReport(now, u) })
}

func (b *shardedBalancer) HandleHealthCheck(
	now time.Duration, id balancer.ServerID, result balancer.HealthCheckResult, latency time.Duration, load float64,
) balancer.Commands {
	return b.deliver(allShards, func(m *balancer.Manager) balancer.Commands {
		return m.HandleHealthCheck(now, id, result, latency, load)
	})
}

func (b *shardedBalancer) HandleBarrierAck(now time.Duration, id balancer.ProxyID, barrier balancer.BarrierID) balancer.Commands {
	shards := balancer.BarrierID(len(b.shards))
	return b.deliver(onlyShard(int(barrier%shards)), func(m *balancer.Manager) balancer.Commands {
		return m.HandleBarrierAck(now, id, barrier/shards)
	})
}

func (b *shardedBalancer) HandleCommandsSent(now time.Duration, barrier balancer.BarrierID) {
	if shards := balancer.BarrierID(len(b.shards)); barrier > 0 {
		b.shards[barrier%shards].HandleCommandsSent(now, barrier/shards)
	}
}

func (b *shardedBalancer) HandleTimer(now time.Duration) balancer.Commands {
	return b.deliver(allShards, func(m *balancer.Manager) balancer.Commands { return m.HandleTimer(now) })
}

// BenchmarkShardedBalancer compares a single balancer with one for each shard. It reports the time that would remain with
// all shards in parallel (the slowest shard of each input), the time of all shards together, and the quality of the
// decisions.
func BenchmarkShardedBalancer(b *testing.B) {
	for _, s := range []Scenario{
		{Name: "even", Zones: 4, Servers: 400, Proxies: 2000, RequestRate: 2, ServerCapacity: 16},
		{Name: "uneven", Zones: 4, Servers: 60, Proxies: 120, RequestRate: 4, ServerCapacity: 12, SlowFraction: 0.25, DrainFraction: 0.2},
	} {
		for _, how := range []string{"one", "zones", "proxies"} {
			b.Run(fmt.Sprint(s.Name, "/", how), func(b *testing.B) {
				for b.Loop() {
					f := New(s, 1)
					var sharded *shardedBalancer
					if how != "one" {
						sharded = newShardedBalancer(s, 4, how == "zones")
						f.Manager = sharded
					}
					f.Start()
					for n := range 30 {
						f.PlaySecond(n, 30)
					}
					criticalPath := f.ManagerTime
					if sharded != nil {
						criticalPath = sharded.slowestTotal
					}
					t := f.Tally
					b.ReportMetric(float64(criticalPath)/30e6, "slowest-ms/s")
					b.ReportMetric(float64(f.ManagerTime)/30e6, "all-ms/s")
					b.ReportMetric(100*t.CrossZone/t.Offered, "%crossed")
					b.ReportMetric(100*t.Failed/t.Offered, "%dropped")
					b.ReportMetric(100*t.Shed/t.Offered, "%blocked")
				}
			})
		}
	}
}
