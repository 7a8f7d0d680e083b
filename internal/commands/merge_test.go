package commands

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

func TestMergeReturnsASingleSetUnchanged(t *testing.T) {
	commands := balancer.Commands{Withdraw: []balancer.ServerID{"a", "a"}, Barrier: 3, Subscribe: true, NextTimer: time.Second}
	if got := Merge(commands); !reflect.DeepEqual(got, commands) {
		t.Errorf("Merge(%+v) = %+v", commands, got)
	}
	if got := Merge(); !IsEmpty(got) {
		t.Errorf("Merge() = %+v, want no commands", got)
	}
}

func TestMergeKeepsTheLatestCommandPerKey(t *testing.T) {
	for _, test := range []struct {
		name string
		sets []balancer.Commands
		want balancer.Commands
	}{
		{"weights by table and server",
			[]balancer.Commands{
				{Weights: []balancer.EndpointWeight{
					{Table: 1, Server: "a", Weight: 1}, {Table: 2, Server: "a", Weight: 2}, {Table: 1, Server: "b", Weight: 3},
				}},
				{Weights: []balancer.EndpointWeight{{Table: 1, Server: "a", Weight: 4}}},
			},
			balancer.Commands{Weights: []balancer.EndpointWeight{
				{Table: 2, Server: "a", Weight: 2}, {Table: 1, Server: "b", Weight: 3}, {Table: 1, Server: "a", Weight: 4},
			}}},
		{"levels by table and classes",
			[]balancer.Commands{
				{AdmissionLevels: []balancer.AdmissionLevel{{Table: 1, Classes: 1, Amount: 1}, {Table: 1, Classes: 2, Amount: 2}}},
				{AdmissionLevels: []balancer.AdmissionLevel{{Table: 1, Classes: 1, Amount: 3}}},
			},
			balancer.Commands{AdmissionLevels: []balancer.AdmissionLevel{{Table: 1, Classes: 2, Amount: 2}, {Table: 1, Classes: 1, Amount: 3}}}},
		{"assignments by proxy and classes",
			[]balancer.Commands{
				{Assign: []balancer.TableAssignment{{Proxy: 1, Table: 1}, {Proxy: 1, Classes: 1, Table: 2}, {Proxy: 2, Table: 1}}},
				{Assign: []balancer.TableAssignment{{Proxy: 1, Table: 3}}},
			},
			balancer.Commands{Assign: []balancer.TableAssignment{{Proxy: 1, Classes: 1, Table: 2}, {Proxy: 2, Table: 1}, {Proxy: 1, Table: 3}}}},
		{"a server that is restored after its withdrawal",
			[]balancer.Commands{{Withdraw: []balancer.ServerID{"a", "b"}}, {Restore: []balancer.ServerID{"a"}}},
			balancer.Commands{Withdraw: []balancer.ServerID{"b"}, Restore: []balancer.ServerID{"a"}}},
		{"a server that is withdrawn after its restoration",
			[]balancer.Commands{{Restore: []balancer.ServerID{"a", "b"}}, {Withdraw: []balancer.ServerID{"a"}}},
			balancer.Commands{Withdraw: []balancer.ServerID{"a"}, Restore: []balancer.ServerID{"b"}}},
		{"the last barrier",
			[]balancer.Commands{{Barrier: 1}, {Barrier: 2}, {Withdraw: []balancer.ServerID{"a"}}},
			balancer.Commands{Withdraw: []balancer.ServerID{"a"}, Barrier: 2}},
	} {
		if got := Merge(test.sets...); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: merged into %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestIsEmptyCountsOnlyProxyCommandsAndBarriers(t *testing.T) {
	for _, commands := range []balancer.Commands{
		{},
		{HealthCheck: []balancer.ServerID{"a"}, Subscribe: true, NextTimer: time.Second, LogRecords: []balancer.LogRecord{{}}},
	} {
		if !IsEmpty(commands) {
			t.Errorf("IsEmpty(%+v) is false, want true", commands)
		}
	}
	for _, commands := range []balancer.Commands{{Barrier: 1}, {Restore: []balancer.ServerID{"a"}}} {
		if IsEmpty(commands) {
			t.Errorf("IsEmpty(%+v) is true, want false", commands)
		}
	}
}

// proxyState is the state that results from executing commands in order.
type proxyState struct {
	weights     map[weightKey]float64
	levels      map[levelKey]balancer.AdmissionLevel
	withdrawn   map[balancer.ServerID]bool
	assignments map[assignmentKey]balancer.TableID
}

func applyCommands(sets ...balancer.Commands) proxyState {
	state := proxyState{
		map[weightKey]float64{}, map[levelKey]balancer.AdmissionLevel{}, map[balancer.ServerID]bool{}, map[assignmentKey]balancer.TableID{},
	}
	for _, commands := range sets {
		for _, server := range commands.Withdraw {
			state.withdrawn[server] = true
		}
		for _, weight := range commands.Weights {
			state.weights[weightKeyOf(weight)] = weight.Weight
		}
		for _, level := range commands.AdmissionLevels {
			state.levels[levelKeyOf(level)] = level
		}
		for _, server := range commands.Restore {
			state.withdrawn[server] = false
		}
		for _, assignment := range commands.Assign {
			state.assignments[assignmentKeyOf(assignment)] = assignment.Table
		}
	}
	return state
}

func drawCommands(t *rapid.T) balancer.Commands {
	servers := rapid.SliceOfNDistinct(rapid.SampledFrom([]balancer.ServerID{"a", "b", "c", "d"}), 0, 4, rapid.ID[balancer.ServerID]).
		Draw(t, "servers")
	split := rapid.IntRange(0, len(servers)).Draw(t, "split")
	commands := balancer.Commands{
		Withdraw: servers[:split], Restore: servers[split:], Barrier: balancer.BarrierID(rapid.IntRange(0, 9).Draw(t, "barrier")),
	}
	small := rapid.IntRange(0, 2)
	for range rapid.IntRange(0, 5).Draw(t, "count") {
		table := balancer.TableID(small.Draw(t, "table"))
		server := rapid.SampledFrom([]balancer.ServerID{"a", "b"}).Draw(t, "server")
		classes := uint(small.Draw(t, "classes"))
		number := small.Draw(t, "number")
		commands.Weights = append(commands.Weights, balancer.EndpointWeight{Table: table, Server: server, Weight: float64(number)})
		commands.AdmissionLevels = append(commands.AdmissionLevels,
			balancer.AdmissionLevel{Table: table, Classes: classes, Amount: float64(number)})
		commands.Assign = append(commands.Assign, balancer.TableAssignment{Proxy: balancer.ProxyID(number), Table: table, Classes: classes})
	}
	return commands
}

// Merged commands must have the same effect as the separate sets in order, and must contain one command per key.
func TestMergeHasTheEffectOfTheSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := rapid.SliceOfN(rapid.Custom(drawCommands), 2, 5).Draw(t, "commands")
		merged := Merge(sets...)
		if got, want := applyCommands(merged), applyCommands(sets...); !reflect.DeepEqual(got, want) {
			t.Fatalf("merged commands result in %+v, separate ones in %+v", got, want)
		}
		state := applyCommands(merged)
		keys := len(state.weights) + len(state.levels) + len(state.withdrawn) + len(state.assignments)
		if merged.Count() != keys {
			t.Fatalf("%d merged commands for %d keys, want one for each key", merged.Count(), keys)
		}
	})
}

// KeepFirst and SkipFirst with the same n must divide the commands without loss or duplication, for every n.
func TestKeepFirstAndSkipFirstLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commands := drawCommands(t)
		n := rapid.IntRange(0, commands.Count()+2).Draw(t, "n")
		first := KeepFirst(commands, n, 7)
		rest := SkipFirst(commands, n)
		if first.Count() != min(n, commands.Count()) || first.Count()+rest.Count() != commands.Count() || first.Barrier != 7 {
			t.Fatalf("KeepFirst(%d) returned %+v and SkipFirst %+v of %+v", n, first, rest, commands)
		}
		wantBarrier := commands.Barrier
		if n > commands.Count() {
			wantBarrier = 0
		}
		if rest.Barrier != wantBarrier {
			t.Fatalf("barrier %d after skipping %d of %d commands, want %d", rest.Barrier, n, commands.Count(), wantBarrier)
		}
		if got, want := applyCommands(first, rest), applyCommands(commands); !reflect.DeepEqual(got, want) {
			t.Fatalf("both parts result in %+v, all commands in %+v", got, want)
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	var large balancer.Commands
	for i := range 50 {
		large.Weights = append(large.Weights,
			balancer.EndpointWeight{Table: balancer.TableID(i % 5), Server: balancer.ServerID(rune('a' + i%20)), Weight: 1})
		large.AdmissionLevels = append(large.AdmissionLevels, balancer.AdmissionLevel{Table: balancer.TableID(i % 5), Classes: uint(i % 3)})
		large.Assign = append(large.Assign, balancer.TableAssignment{Proxy: balancer.ProxyID(i), Table: 1})
	}
	large.Withdraw = []balancer.ServerID{"a"}
	small := balancer.Commands{Withdraw: []balancer.ServerID{"b"}}
	b.ReportAllocs()
	for b.Loop() {
		Merge(large, small, large)
		Merge(small, small)
	}
}
