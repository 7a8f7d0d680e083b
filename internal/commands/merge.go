// Package commands merges and splits sets of the balancer's commands for the components that queue and forward them. It
// changes no command and keeps the order of execution: a server is restored and a table assigned only after the weights
// and admission levels that the proxies need by then. All functions are pure, and the results share memory with the
// arguments.
package commands

import (
	"slices"

	"tamarindshore/balancer"
)

// IsEmpty reports whether commands contain nothing for the relay: no command for proxies and no barrier.
func IsEmpty(commands balancer.Commands) bool { return commands.Count() == 0 && commands.Barrier == 0 }

// Keys of the values that commands set: a later command with the same key overrides an earlier one.
type (
	weightKey struct {
		table  balancer.TableID
		server balancer.ServerID
	}
	levelKey struct {
		table   balancer.TableID
		classes uint
	}
	assignmentKey struct {
		proxy   balancer.ProxyID
		classes uint
	}
)

func weightKeyOf(weight balancer.EndpointWeight) weightKey {
	return weightKey{weight.Table, weight.Server}
}

func levelKeyOf(level balancer.AdmissionLevel) levelKey { return levelKey{level.Table, level.Classes} }

func assignmentKeyOf(assignment balancer.TableAssignment) assignmentKey {
	return assignmentKey{assignment.Proxy, assignment.Classes}
}

func serverKeyOf(server balancer.ServerID) balancer.ServerID { return server }

// Merge combines sets of commands, oldest first, into one set with the same effect. It keeps the latest weight per table
// and server, the latest admission level per table and classes, the latest assignment per proxy and classes, the latest
// withdrawal or restoration per server, and the last barrier. A single set is returned unchanged. Of several sets only
// the commands for proxies and the barrier are merged: health checks, timers and log records are dropped.
func Merge(all ...balancer.Commands) balancer.Commands {
	if len(all) == 1 {
		return all[0]
	}
	weights := map[weightKey]bool{}
	levels := map[levelKey]bool{}
	assignments := map[assignmentKey]bool{}
	servers := map[balancer.ServerID]bool{} // shared by Withdraw and Restore, which override each other
	var merged balancer.Commands
	// Walks backwards, so that the first command found for a key is the latest; the results are reversed at the end.
	for _, set := range slices.Backward(all) {
		if merged.Barrier == 0 {
			merged.Barrier = set.Barrier
		}
		merged.Assign = appendUnseen(merged.Assign, set.Assign, assignments, assignmentKeyOf)
		merged.Restore = appendUnseen(merged.Restore, set.Restore, servers, serverKeyOf)
		merged.AdmissionLevels = appendUnseen(merged.AdmissionLevels, set.AdmissionLevels, levels, levelKeyOf)
		merged.Weights = appendUnseen(merged.Weights, set.Weights, weights, weightKeyOf)
		merged.Withdraw = appendUnseen(merged.Withdraw, set.Withdraw, servers, serverKeyOf)
	}
	slices.Reverse(merged.Assign)
	slices.Reverse(merged.Restore)
	slices.Reverse(merged.AdmissionLevels)
	slices.Reverse(merged.Weights)
	slices.Reverse(merged.Withdraw)
	return merged
}

// appendUnseen appends the commands whose key was not seen yet, in reverse order, and marks their keys as seen.
func appendUnseen[Command any, Key comparable](to, commands []Command, seen map[Key]bool, keyOf func(Command) Key) []Command {
	for _, command := range slices.Backward(commands) {
		key := keyOf(command)
		if !seen[key] {
			seen[key] = true
			to = append(to, command)
		}
	}
	return to
}
