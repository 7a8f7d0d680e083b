package node

// Send holds the orders that wait for the relay and encodes them once. It owns their order: what
// waits is bounded and folded to its latest state. It must never change an order's content.

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"tamarindshore/choice"
)

// backlog is what the module ordered and the relay stage has not taken.
type backlog struct {
	mu     sync.Mutex
	waits  []choice.Orders
	most   int
	filled chan struct{}
	book   *book
}

func newBacklog(most int, b *book) *backlog {
	return &backlog{most: most, filled: make(chan struct{}, 1), book: b}
}

func (b *backlog) push(o choice.Orders) {
	b.mu.Lock()
	b.waits = append(b.waits, o)
	if len(b.waits) > b.most {
		b.book.add(callsFolded, int64(len(b.waits)-1))
		b.waits = []choice.Orders{fold(b.waits...)}
	}
	b.mu.Unlock()
	select {
	case b.filled <- struct{}{}:
	default:
	}
}

// next takes the oldest; false without any.
func (b *backlog) next() (o choice.Orders, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waits) == 0 {
		return o, false
	}
	o = b.waits[0]
	b.waits = b.waits[1:]
	return o, true
}

func (b *backlog) all() []choice.Orders {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.waits
	b.waits = nil
	return all
}

func empty(o choice.Orders) bool { return o.Count() == 0 && o.Mark == 0 }

// fold gives the latest state that orders, one after another, come to: by table and server, table
// and groups, proxy and server. Drains stay first and the last mark last. It keeps what the order
// guards: a server is let back in and a proxy bound only after the lines that they are to find.
func fold(all ...choice.Orders) choice.Orders {
	if len(all) == 1 {
		return all[0]
	}
	type place struct {
		table  choice.TableID
		server choice.ServerID
		groups uint
	}
	var f choice.Orders
	out, proxies, seen := map[choice.ServerID]bool{}, map[choice.ProxyID]bool{}, map[place]bool{}
	// from the last back, the first that names a thing is its latest state; turned round at the end
	for i := len(all) - 1; i >= 0; i-- {
		o := all[i]
		if f.Mark == 0 {
			f.Mark = o.Mark
		}
		for j := len(o.Bind) - 1; j >= 0; j-- {
			if b := o.Bind[j]; !proxies[b.Proxy] {
				proxies[b.Proxy], f.Bind = true, append(f.Bind, b)
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

// skip drops the first n orders, in the order in which they are encoded.
func skip(o choice.Orders, n int) choice.Orders {
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

// first keeps the first n orders, under a mark of their own.
func first(o choice.Orders, n int, mark choice.MarkID) choice.Orders {
	rest := skip(o, n)
	return choice.Orders{
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

// encode writes orders in the relay's words, as many as fit; escaped is how long they are in a form.
func encode(o choice.Orders, groups []string, most int) (text []string) {
	escaped := 0
	put := func(parts ...string) bool {
		one := strings.Join(parts, ",")
		escaped += len(url.QueryEscape(one)) + len("%3B")
		if escaped > most {
			return false
		}
		text = append(text, one)
		return true
	}
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	for _, s := range o.Withdraw {
		if !put("withdraw", string(s)) {
			return text
		}
	}
	for _, l := range o.Lines {
		if !put("share", strconv.Itoa(int(l.Table)), string(l.Server), number(l.Weight)) {
			return text
		}
	}
	for _, l := range o.Levels {
		if !put("admit", strconv.Itoa(int(l.Table)), masked(l.Groups, groups), number(l.Amount), strconv.Itoa(int(l.Tries))) {
			return text
		}
	}
	for _, s := range o.Readmit {
		if !put("restore", string(s)) {
			return text
		}
	}
	for _, b := range o.Bind {
		if !put("bind", strconv.Itoa(int(b.Proxy)), strconv.Itoa(int(b.Table)), "*") {
			return text
		}
	}
	if o.Mark > 0 {
		put("mark", strconv.Itoa(int(o.Mark)), "0")
	}
	return text
}

// masked names the traffic groups of a mask.
func masked(mask uint, groups []string) string {
	var names []string
	for g, name := range groups {
		if mask&(1<<g) != 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 || len(names) == len(groups) {
		return "*"
	}
	return strings.Join(names, "+")
}
