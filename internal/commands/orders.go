// Package commands folds and cuts what the module ordered, for all that carry it: the latest state of what waits, the rest
// after so many. It must never change an order's content, nor the order that guards something.
package commands

import (
	"slices"

	"tamarindshore/balancer"
)

// Empty tells whether orders hold nothing for the relay.
func Empty(o balancer.Orders) bool { return o.Count() == 0 && o.Mark == 0 }

// Fold gives the latest state that orders, one after another, come to: by table and server, table
// and groups, proxy and groups, and server. Drains stay first and the last mark last. It keeps what the order
// guards: a server is let back in and a proxy bound only after the lines that they are to find.
func Fold(all ...balancer.Orders) balancer.Orders {
	if len(all) == 1 {
		return all[0]
	}
	type place struct {
		table  balancer.TableID
		server balancer.ServerID
		groups uint
	}
	var f balancer.Orders
	type bound struct {
		proxy  balancer.ProxyID
		groups uint
	}
	out, proxies, seen := map[balancer.ServerID]bool{}, map[bound]bool{}, map[place]bool{}
	// from the last back, the first that names a thing is its latest state; turned round at the end
	for i := len(all) - 1; i >= 0; i-- {
		o := all[i]
		if f.Mark == 0 {
			f.Mark = o.Mark
		}
		for j := len(o.Bind) - 1; j >= 0; j-- {
			if b := o.Bind[j]; !proxies[bound{b.Proxy, b.Groups}] {
				proxies[bound{b.Proxy, b.Groups}], f.Bind = true, append(f.Bind, b)
			}
		}
		for j := len(o.Readmit) - 1; j >= 0; j-- {
			if s := o.Readmit[j]; !out[s] {
				out[s], f.Readmit = true, append(f.Readmit, s)
			}
		}
		for j := len(o.Levels) - 1; j >= 0; j-- {
			l := o.Levels[j]
			if p := (place{table: l.Table, groups: l.Groups}); !seen[p] {
				seen[p], f.Levels = true, append(f.Levels, l)
			}
		}
		for j := len(o.Lines) - 1; j >= 0; j-- {
			l := o.Lines[j]
			if p := (place{table: l.Table, server: l.Server}); !seen[p] {
				seen[p], f.Lines = true, append(f.Lines, l)
			}
		}
		for j := len(o.Withdraw) - 1; j >= 0; j-- {
			if s := o.Withdraw[j]; !out[s] {
				out[s], f.Withdraw = true, append(f.Withdraw, s)
			}
		}
	}
	slices.Reverse(f.Bind)
	slices.Reverse(f.Readmit)
	slices.Reverse(f.Levels)
	slices.Reverse(f.Lines)
	slices.Reverse(f.Withdraw)
	return f
}

// Skip drops the first n orders, in the order in which they are encoded.
func Skip(o balancer.Orders, n int) balancer.Orders {
	o.Withdraw, n = cut(o.Withdraw, n)
	o.Lines, n = cut(o.Lines, n)
	o.Levels, n = cut(o.Levels, n)
	o.Readmit, n = cut(o.Readmit, n)
	o.Bind, n = cut(o.Bind, n)
	if n > 0 {
		o.Mark = 0
	}
	return o
}

// First keeps the first n orders, under a mark of their own.
func First(o balancer.Orders, n int, mark balancer.MarkID) balancer.Orders {
	rest := Skip(o, n)
	return balancer.Orders{
		Withdraw: o.Withdraw[:len(o.Withdraw)-len(rest.Withdraw)],
		Lines:    o.Lines[:len(o.Lines)-len(rest.Lines)],
		Levels:   o.Levels[:len(o.Levels)-len(rest.Levels)],
		Readmit:  o.Readmit[:len(o.Readmit)-len(rest.Readmit)],
		Bind:     o.Bind[:len(o.Bind)-len(rest.Bind)],
		Mark:     mark,
	}
}

func cut[T any](x []T, n int) ([]T, int) {
	by := min(n, len(x))
	return x[by:], n - by
}
