package fakes

import (
	"strconv"
	"strings"
)

func (r *Relay) table(n int) *table {
	if r.tables[n] == nil {
		r.tables[n] = &table{lines: map[string]float64{}, levels: map[string]level{}, users: map[int]*proxy{}}
	}
	return r.tables[n]
}

// fields are the words of one order.
type fields []string

// number is a whole number from 0 up, -1 where a word is none.
func (f fields) number(i int) int {
	n, err := strconv.Atoi(f[i])
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// figure is a number from 0 up, -1 where a word is none.
func (f fields) figure(i int) float64 {
	x, err := strconv.ParseFloat(f[i], 64)
	if err != nil || !(x >= 0) {
		return -1
	}
	return x
}

// orderKind is how many words an order of a kind has, and what carries it out: it gives what the order is about, and
// false where it can't be used.
type orderKind struct {
	words int
	carry func(r *Relay, f fields, m *sending) (about string, ok bool)
}

var orderKinds = map[string]orderKind{
	"share":    {4, (*Relay).orderShare},
	"clear":    {2, (*Relay).orderClear},
	"bind":     {4, (*Relay).orderBind},
	"withdraw": {2, (*Relay).orderWithdraw},
	"restore":  {2, (*Relay).orderWithdraw},
	"admit":    {5, (*Relay).orderAdmit},
	"mark":     {3, (*Relay).orderMark},
}

// order carries out one order; false where it can't be read or used.
func (r *Relay) order(text string, m *sending) (kind, about string, ok bool) {
	f := fields(strings.Split(text, ","))
	kind = f[0]
	known, found := orderKinds[kind]
	if !found || len(f) != known.words {
		return kind, "", false
	}
	about, ok = known.carry(r, f, m)
	return kind, about, ok
}

// orderShare sets a line: share,TABLE,SERVER,WEIGHT.
func (r *Relay) orderShare(f fields, m *sending) (about string, ok bool) {
	number, server, weight := f.number(1), f[2], f.figure(3)
	if number < 0 || weight < 0 || !r.listed[server] {
		return "", false
	}
	one := r.table(number)
	if one.lines[server] != weight {
		r.effects++
	}
	one.lines[server] = weight
	if weight == 0 {
		delete(one.lines, server)
	}
	for _, p := range one.users {
		m.line(p, 1)
	}
	r.lookForBare(number)
	return server, true
}

// orderClear empties a table: clear,TABLE.
func (r *Relay) orderClear(f fields, m *sending) (about string, ok bool) {
	number := f.number(1)
	if number < 0 {
		return "", false
	}
	r.effects++
	one := r.table(number)
	clear(one.lines)
	clear(one.levels)
	for _, p := range one.users {
		m.line(p, 1)
	}
	r.lookForBare(number)
	return f[1], true
}

// orderBind puts a proxy on a table, all of which it is sent: bind,PROXY,TABLE,*.
func (r *Relay) orderBind(f fields, m *sending) (about string, ok bool) {
	p, number := r.proxies[f.number(1)], f.number(2)
	if p == nil || number < 0 {
		return "", false
	}
	if p.table != number {
		r.effects++
	}
	if old := r.tables[p.table]; old != nil {
		delete(old.users, p.id)
	}
	one := r.table(number)
	p.table = number
	one.users[p.id] = p
	lines := 1 + len(one.lines) + len(one.levels)
	for server := range one.lines {
		if r.pulled[server] {
			lines++
		}
	}
	m.line(p, float64(lines)).binds = true
	return f[1], true
}

// orderWithdraw takes a server out of all tables, or lets it in again: withdraw,SERVER and restore,SERVER.
func (r *Relay) orderWithdraw(f fields, m *sending) (about string, ok bool) {
	withdraws, server := f[0] == "withdraw", f[1]
	if !r.listed[server] {
		return "", false
	}
	if r.pulled[server] != withdraws {
		r.effects++
		r.pulled[server] = withdraws
	}
	holders := 0
	for number, t := range r.tables {
		if t.lines[server] == 0 {
			continue
		}
		for _, p := range t.users {
			one := m.line(p, 1)
			if withdraws {
				one.pulls = append(one.pulls, server)
				holders++
			}
		}
		r.lookForBare(number)
	}
	r.Rules.pulled(m.at, server, withdraws, holders)
	return server, true
}

// allTables stands in the place of a table's number.
const allTables = "*"

// orderAdmit sets what a table, or each, lets in of a group, and its tries: admit,TABLE,GROUP,AMOUNT,TRIES.
func (r *Relay) orderAdmit(f fields, m *sending) (about string, ok bool) {
	group, amount, tries := f[2], f.figure(3), f.number(4)
	if amount < 0 || tries < 0 || f[1] != allTables && f.number(1) < 0 {
		return "", false
	}
	wanted := level{amount, tries}
	for number, t := range r.tables {
		if f[1] != allTables && f.number(1) != number {
			continue
		}
		if t.levels[group] != wanted {
			r.effects++
		}
		t.levels[group] = wanted
		for _, p := range t.users {
			m.line(p, 1)
		}
	}
	r.Rules.admits(m.at, group, tries)
	return group, true
}

// orderMark has the proxies that the call reaches, or all, answer a mark: mark,MARK,0 and mark,MARK,1.
func (r *Relay) orderMark(f fields, m *sending) (about string, ok bool) {
	mark := f.number(1)
	for _, one := range m.of {
		one.marks = append(one.marks, mark)
		one.lines++
	}
	if f[2] == "1" {
		for _, p := range r.proxies {
			one := m.line(p, 1)
			one.marks = append(one.marks, mark)
		}
	}
	return f[1], mark >= 0
}
