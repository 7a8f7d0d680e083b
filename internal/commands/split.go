package commands

import "tamarindshore/balancer"

// SkipFirst drops the first n commands, in the order in which they are encoded. The barrier stands after the last one.
func SkipFirst(commands balancer.Commands, n int) balancer.Commands {
	rest := commands
	left := n
	rest.Withdraw, left = skip(commands.Withdraw, left)
	rest.Weights, left = skip(commands.Weights, left)
	rest.AdmissionLevels, left = skip(commands.AdmissionLevels, left)
	rest.Restore, left = skip(commands.Restore, left)
	rest.Assign, left = skip(commands.Assign, left)
	if left > 0 {
		rest.Barrier = 0
	}
	return rest
}

// skip drops up to n values, and tells how many of the n are left.
func skip[T any](values []T, n int) (rest []T, left int) {
	dropped := min(n, len(values))
	return values[dropped:], n - dropped
}

// KeepFirst keeps the first n commands, under a barrier of their own.
func KeepFirst(commands balancer.Commands, n int, barrier balancer.BarrierID) balancer.Commands {
	rest := SkipFirst(commands, n)
	return balancer.Commands{
		Withdraw:        keep(commands.Withdraw, len(rest.Withdraw)),
		Weights:         keep(commands.Weights, len(rest.Weights)),
		AdmissionLevels: keep(commands.AdmissionLevels, len(rest.AdmissionLevels)),
		Restore:         keep(commands.Restore, len(rest.Restore)),
		Assign:          keep(commands.Assign, len(rest.Assign)),
		Barrier:         barrier,
	}
}

// keep drops so many values at the end.
func keep[T any](values []T, dropped int) []T { return values[:len(values)-dropped] }
