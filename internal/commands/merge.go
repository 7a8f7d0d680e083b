// Package commands merges and splits the balancer's commands for all that carry them: the latest state of what waits, and
// the part after so many. It changes no command, nor the order that guards something: a server is restored and a table
// assigned only after the weights and levels that the proxies are to find. All functions are pure; the results share
// memory with the arguments.
package commands

import (
	"slices"

	"tamarindshore/balancer"
)

// IsEmpty tells whether commands hold nothing for the relay.
func IsEmpty(commands balancer.Commands) bool { return commands.Count() == 0 && commands.Barrier == 0 }

// What a command sets: of two that set the same, the later one counts.
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

// Merge gives the latest state that commands, one after another, come to: by table and server, table and classes, proxy
// and classes, and server. The last barrier counts. Only commands for proxies are merged; of several, the checks,
// timers and log records are dropped.
func Merge(all ...balancer.Commands) balancer.Commands {
	if len(all) == 1 {
		return all[0]
	}
	weights := map[weightKey]bool{}
	levels := map[levelKey]bool{}
	assignments := map[assignmentKey]bool{}
	servers := map[balancer.ServerID]bool{} // a withdrawal and its end set the same
	var merged balancer.Commands
	// From the last back, the first that sets a thing is its latest state; turned round at the end.
	for _, one := range slices.Backward(all) {
		if merged.Barrier == 0 {
			merged.Barrier = one.Barrier
		}
		merged.Assign = appendUnset(merged.Assign, one.Assign, assignments, assignmentKeyOf)
		merged.Restore = appendUnset(merged.Restore, one.Restore, servers, serverKeyOf)
		merged.AdmissionLevels = appendUnset(merged.AdmissionLevels, one.AdmissionLevels, levels, levelKeyOf)
		merged.Weights = appendUnset(merged.Weights, one.Weights, weights, weightKeyOf)
		merged.Withdraw = appendUnset(merged.Withdraw, one.Withdraw, servers, serverKeyOf)
	}
	slices.Reverse(merged.Assign)
	slices.Reverse(merged.Restore)
	slices.Reverse(merged.AdmissionLevels)
	slices.Reverse(merged.Weights)
	slices.Reverse(merged.Withdraw)
	return merged
}

// appendUnset appends, from the last back, the commands that set what is not set yet.
func appendUnset[Command any, Key comparable](to, commands []Command, isSet map[Key]bool, keyOf func(Command) Key) []Command {
	for _, command := range slices.Backward(commands) {
		key := keyOf(command)
		if !isSet[key] {
			isSet[key] = true
			to = append(to, command)
		}
	}
	return to
}
