package commands

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarindshore/balancer"
)

func TestMergeOfOneIsItself(t *testing.T) {
	one := balancer.Commands{Withdraw: []balancer.ServerID{"a", "a"}, Barrier: 3, Subscribe: true, NextTimer: time.Second}
	if got := Merge(one); !reflect.DeepEqual(got, one) {
		t.Errorf("%+v", got)
	}
	if got := Merge(); !IsEmpty(got) {
		t.Errorf("%+v", got)
	}
}

func TestMergeKeepsTheLatestOfEach(t *testing.T) {
	for _, one := range []struct {
		what string
		all  []balancer.Commands
		want balancer.Commands
	}{
		{"weights by table and server",
			[]balancer.Commands{
				{Weights: []balancer.EndpointWeight{{Table: 1, Server: "a", Weight: 1}, {Table: 2, Server: "a", Weight: 2}, {Table: 1, Server: "b", Weight: 3}}},
				{Weights: []balancer.EndpointWeight{{Table: 1, Server: "a", Weight: 4}}},
			},
			balancer.Commands{Weights: []balancer.EndpointWeight{{Table: 2, Server: "a", Weight: 2}, {Table: 1, Server: "b", Weight: 3}, {Table: 1, Server: "a", Weight: 4}}}},
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
		{"a withdrawal that was lifted",
			[]balancer.Commands{{Withdraw: []balancer.ServerID{"a", "b"}}, {Restore: []balancer.ServerID{"a"}}},
			balancer.Commands{Withdraw: []balancer.ServerID{"b"}, Restore: []balancer.ServerID{"a"}}},
		{"a server that is withdrawn again",
			[]balancer.Commands{{Restore: []balancer.ServerID{"a", "b"}}, {Withdraw: []balancer.ServerID{"a"}}},
			balancer.Commands{Withdraw: []balancer.ServerID{"a"}, Restore: []balancer.ServerID{"b"}}},
		{"the last barrier",
			[]balancer.Commands{{Barrier: 1}, {Barrier: 2}, {Withdraw: []balancer.ServerID{"a"}}},
			balancer.Commands{Withdraw: []balancer.ServerID{"a"}, Barrier: 2}},
	} {
		if got := Merge(one.all...); !reflect.DeepEqual(got, one.want) {
			t.Errorf("%s: %+v, not %+v", one.what, got, one.want)
		}
	}
}

func TestOnlyCommandsForProxiesAndABarrierAreForTheRelay(t *testing.T) {
	for _, one := range []balancer.Commands{
		{},
		{HealthCheck: []balancer.ServerID{"a"}, Subscribe: true, NextTimer: time.Second, LogRecords: []balancer.LogRecord{{}}},
	} {
		if !IsEmpty(one) {
			t.Errorf("%+v is not empty", one)
		}
	}
	for _, one := range []balancer.Commands{{Barrier: 1}, {Restore: []balancer.ServerID{"a"}}} {
		if IsEmpty(one) {
			t.Errorf("%+v is empty", one)
		}
	}
}

// proxyState is what commands, carried out one after another, come to.
type proxyState struct {
	weights     map[weightKey]float64
	levels      map[levelKey]balancer.AdmissionLevel
	withdrawn   map[balancer.ServerID]bool
	assignments map[assignmentKey]balancer.TableID
}

func carriedOut(all ...balancer.Commands) proxyState {
	state := proxyState{map[weightKey]float64{}, map[levelKey]balancer.AdmissionLevel{}, map[balancer.ServerID]bool{}, map[assignmentKey]balancer.TableID{}}
	for _, one := range all {
		for _, server := range one.Withdraw {
			state.withdrawn[server] = true
		}
		for _, weight := range one.Weights {
			state.weights[weightKeyOf(weight)] = weight.Weight
		}
		for _, level := range one.AdmissionLevels {
			state.levels[levelKeyOf(level)] = level
		}
		for _, server := range one.Restore {
			state.withdrawn[server] = false
		}
		for _, assignment := range one.Assign {
			state.assignments[assignmentKeyOf(assignment)] = assignment.Table
		}
	}
	return state
}

func drawCommands(t *rapid.T) balancer.Commands {
	servers := rapid.SliceOfNDistinct(rapid.SampledFrom([]balancer.ServerID{"a", "b", "c", "d"}), 0, 4, rapid.ID[balancer.ServerID]).Draw(t, "servers")
	split := rapid.IntRange(0, len(servers)).Draw(t, "split")
	one := balancer.Commands{Withdraw: servers[:split], Restore: servers[split:], Barrier: balancer.BarrierID(rapid.IntRange(0, 9).Draw(t, "barrier"))}
	small := rapid.IntRange(0, 2)
	for range rapid.IntRange(0, 5).Draw(t, "count") {
		table := balancer.TableID(small.Draw(t, "table"))
		server := rapid.SampledFrom([]balancer.ServerID{"a", "b"}).Draw(t, "server")
		classes := uint(small.Draw(t, "classes"))
		number := small.Draw(t, "number")
		one.Weights = append(one.Weights, balancer.EndpointWeight{Table: table, Server: server, Weight: float64(number)})
		one.AdmissionLevels = append(one.AdmissionLevels, balancer.AdmissionLevel{Table: table, Classes: classes, Amount: float64(number)})
		one.Assign = append(one.Assign, balancer.TableAssignment{Proxy: balancer.ProxyID(number), Table: table, Classes: classes})
	}
	return one
}

// Merged commands come to what they come to one after another, and set nothing twice.
func TestMergedCommandsComeToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawCommands), 2, 5).Draw(t, "commands")
		merged := Merge(all...)
		if got, want := carriedOut(merged), carriedOut(all...); !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, not %+v", got, want)
		}
		state := carriedOut(merged)
		things := len(state.weights) + len(state.levels) + len(state.withdrawn) + len(state.assignments)
		if merged.Count() != things {
			t.Fatalf("%d commands set %d things", merged.Count(), things)
		}
	})
}

// What is kept and what is skipped are the whole, at each place.
func TestKeptAndSkippedAreTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := drawCommands(t)
		n := rapid.IntRange(0, one.Count()+2).Draw(t, "n")
		first := KeepFirst(one, n, 7)
		rest := SkipFirst(one, n)
		if first.Count() != min(n, one.Count()) || first.Count()+rest.Count() != one.Count() || first.Barrier != 7 {
			t.Fatalf("%+v and %+v of %+v", first, rest, one)
		}
		wantBarrier := one.Barrier
		if n > one.Count() {
			wantBarrier = 0
		}
		if rest.Barrier != wantBarrier {
			t.Fatalf("barrier %d of %d after %d of %d", rest.Barrier, one.Barrier, n, one.Count())
		}
		if got, want := carriedOut(first, rest), carriedOut(one); !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, not %+v", got, want)
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	var one balancer.Commands
	for i := range 50 {
		one.Weights = append(one.Weights, balancer.EndpointWeight{Table: balancer.TableID(i % 5), Server: balancer.ServerID(rune('a' + i%20)), Weight: 1})
		one.AdmissionLevels = append(one.AdmissionLevels, balancer.AdmissionLevel{Table: balancer.TableID(i % 5), Classes: uint(i % 3)})
		one.Assign = append(one.Assign, balancer.TableAssignment{Proxy: balancer.ProxyID(i), Table: 1})
	}
	one.Withdraw = []balancer.ServerID{"a"}
	small := balancer.Commands{Withdraw: []balancer.ServerID{"b"}}
	b.ReportAllocs()
	for b.Loop() {
		Merge(one, small, one)
		Merge(small, small)
	}
}
