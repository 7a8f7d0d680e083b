// Package commands folds and cuts what the module ordered, for all that carry it: the latest state of what waits, the rest
// after so many. It must never change an order's content, nor the order that guards something.
package commands

import (
	"slices"

	"tamarindshore/balancer"
)

// Empty tells whether orders hold nothing for the relay.
func IsEmpty(o balancer.Commands) bool { return o.Count() == 0 && o.Barrier == 0 }

// Fold gives the latest state that orders, one after another, come to: by table and server, table
// and groups, proxy and groups, and server. Drains stay first and the last mark last. It keeps what the order
// guards: a server is let back in and a proxy bound only after the lines that they are to find.
func Merge(all ...balancer.Commands) balancer.Commands {
	if len(all) == 1 {
		return all[0]
	}
	type place struct {
		table  balancer.TableID
		server balancer.ServerID
		groups uint
	}
	var f balancer.Commands
	type bound struct {
		proxy  balancer.ProxyID
		groups uint
	}
	out, proxies, seen := map[balancer.ServerID]bool{}, map[bound]bool{}, map[place]bool{}
	// from the last back, the first that names a thing is its latest state; turned round at the end
	for i := len(all) - 1; i >= 0; i-- {
		o := all[i]
		if f.Barrier == 0 {
			f.Barrier = o.Barrier
		}
		for j := len(o.Assign) - 1; j >= 0; j-- {
			if b := o.Assign[j]; !proxies[bound{b.Proxy, b.Classes}] {
				proxies[bound{b.Proxy, b.Classes}], f.Assign = true, append(f.Assign, b)
			}
		}
		for j := len(o.Restore) - 1; j >= 0; j-- {
			if s := o.Restore[j]; !out[s] {
				out[s], f.Restore = true, append(f.Restore, s)
			}
		}
		for j := len(o.AdmissionLevels) - 1; j >= 0; j-- {
			l := o.AdmissionLevels[j]
			if p := (place{table: l.Table, groups: l.Classes}); !seen[p] {
				seen[p], f.AdmissionLevels = true, append(f.AdmissionLevels, l)
			}
		}
		for j := len(o.Weights) - 1; j >= 0; j-- {
			l := o.Weights[j]
			if p := (place{table: l.Table, server: l.Server}); !seen[p] {
				seen[p], f.Weights = true, append(f.Weights, l)
			}
		}
		for j := len(o.Withdraw) - 1; j >= 0; j-- {
			if s := o.Withdraw[j]; !out[s] {
				out[s], f.Withdraw = true, append(f.Withdraw, s)
			}
		}
	}
	slices.Reverse(f.Assign)
	slices.Reverse(f.Restore)
	slices.Reverse(f.AdmissionLevels)
	slices.Reverse(f.Weights)
	slices.Reverse(f.Withdraw)
	return f
}

// Skip drops the first n orders, in the order in which they are encoded.
func SkipFirst(o balancer.Commands, n int) balancer.Commands {
	o.Withdraw, n = cut(o.Withdraw, n)
	o.Weights, n = cut(o.Weights, n)
	o.AdmissionLevels, n = cut(o.AdmissionLevels, n)
	o.Restore, n = cut(o.Restore, n)
	o.Assign, n = cut(o.Assign, n)
	if n > 0 {
		o.Barrier = 0
	}
	return o
}

// First keeps the first n orders, under a mark of their own.
func KeepFirst(o balancer.Commands, n int, mark balancer.BarrierID) balancer.Commands {
	rest := SkipFirst(o, n)
	return balancer.Commands{
		Withdraw:        o.Withdraw[:len(o.Withdraw)-len(rest.Withdraw)],
		Weights:         o.Weights[:len(o.Weights)-len(rest.Weights)],
		AdmissionLevels: o.AdmissionLevels[:len(o.AdmissionLevels)-len(rest.AdmissionLevels)],
		Restore:         o.Restore[:len(o.Restore)-len(rest.Restore)],
		Assign:          o.Assign[:len(o.Assign)-len(rest.Assign)],
		Barrier:         mark,
	}
}

func cut[T any](x []T, n int) ([]T, int) {
	by := min(n, len(x))
	return x[by:], n - by
}
