package commands

import "tamarindshore/balancer"

// SkipFirst returns commands without the first n, counted in the order in which they are encoded. The barrier follows the
// last command, so it is dropped only if n exceeds the number of commands.
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

// skip drops up to n values, and returns the others and how many of the n are left to drop.
func skip[T any](values []T, n int) (rest []T, left int) {
	dropped := min(n, len(values))
	return values[dropped:], n - dropped
}

// KeepFirst returns the first n commands, followed by the given barrier.
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

// keep returns values without the given number of values at the end.
func keep[T any](values []T, dropped int) []T { return values[:len(values)-dropped] }
