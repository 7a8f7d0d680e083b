package fakes

import (
	"strconv"
	"strings"
)

// command is one command of a call.
type command interface {
	// execute changes what the relay and its proxies hold, and adds to the messages of the call. It returns false,
	// and changes nothing, where the relay can't use the command. The caller holds the relay's lock.
	execute(r *Relay, messages *callMessages) bool
	// subject is what the command is about: a proxy, a server, a table, a list of classes or a barrier.
	subject() string
}

// words are the words of one command.
type words []string

// integer reads a whole number from 0 up.
func (w words) integer(i int) (int, bool) {
	number, err := strconv.Atoi(w[i])
	return number, err == nil && number >= 0
}

// figure reads a number from 0 up.
func (w words) figure(i int) (float64, bool) {
	figure, err := strconv.ParseFloat(w[i], 64)
	return figure, err == nil && figure >= 0
}

// tableOrAny reads a table's number, or the word for all tables.
func (w words) tableOrAny(i int) (number int, isAny, ok bool) {
	if w[i] == anyTable {
		return 0, true, true
	}
	number, ok = w.integer(i)
	return number, false, ok
}

// commandSyntax is how many words a command has, and how they are read.
type commandSyntax struct {
	words int
	parse func(w words) (command, bool)
}

var commandSyntaxes = map[string]commandSyntax{
	wordSetWeight:  {4, parseSetWeight},
	wordResetTable: {2, parseResetTable},
	wordAssign:     {4, parseAssignTable},
	wordWithdraw:   {2, parseWithdrawServer},
	wordRestore:    {2, parseRestoreServer},
	wordAdmit:      {5, parseSetAdmission},
	wordBarrier:    {3, parseSetBarrier},
}

// commandWord is the first word of a command.
func commandWord(text string) string {
	word, _, _ := strings.Cut(text, wordSeparator)
	return word
}

// parseCommand reads one command; false where it can't be read.
func parseCommand(text string) (command, bool) {
	w := words(strings.Split(text, wordSeparator))
	syntax, known := commandSyntaxes[w[0]]
	if !known || len(w) != syntax.words {
		return nil, false
	}
	return syntax.parse(w)
}

// setWeight sets a server's weight in a table, 0 removes the server: share,TABLE,SERVER,WEIGHT.
type setWeight struct {
	table  int
	server string
	weight float64
}

func parseSetWeight(w words) (command, bool) {
	number, numberOK := w.integer(1)
	weight, weightOK := w.figure(3)
	return setWeight{number, w[2], weight}, numberOK && weightOK
}

func (c setWeight) subject() string { return c.server }

func (c setWeight) execute(r *Relay, messages *callMessages) bool {
	if !r.registered[c.server] {
		return false
	}
	t := r.tableOf(c.table)
	if t.weights[c.server] != c.weight {
		r.stateChanges++
	}
	t.weights[c.server] = c.weight
	if c.weight == 0 {
		delete(t.weights, c.server)
	}
	for _, p := range t.users {
		messages.add(p, 1)
	}
	r.checkEmptyTable(t)
	return true
}

// resetTable empties a table: clear,TABLE.
type resetTable struct{ table int }

func parseResetTable(w words) (command, bool) {
	number, ok := w.integer(1)
	return resetTable{number}, ok
}

func (c resetTable) subject() string { return strconv.Itoa(c.table) }

func (c resetTable) execute(r *Relay, messages *callMessages) bool {
	r.stateChanges++
	t := r.tableOf(c.table)
	clear(t.weights)
	clear(t.levels)
	for _, p := range t.users {
		messages.add(p, 1)
	}
	r.checkEmptyTable(t)
	return true
}

// assignTable has a proxy use a table, all of which it is sent: bind,PROXY,TABLE,CLASSES.
type assignTable struct{ proxy, table int }

func parseAssignTable(w words) (command, bool) {
	proxy, proxyOK := w.integer(1)
	number, numberOK := w.integer(2)
	return assignTable{proxy, number}, proxyOK && numberOK
}

func (c assignTable) subject() string { return strconv.Itoa(c.proxy) }

func (c assignTable) execute(r *Relay, messages *callMessages) bool {
	p := r.proxies[c.proxy]
	if p == nil {
		return false
	}
	if p.table != c.table {
		r.stateChanges++
	}
	if old := r.tables[p.table]; old != nil {
		delete(old.users, p.id)
	}
	t := r.tableOf(c.table)
	p.table = c.table
	t.users[p.id] = p
	lines := 1 + len(t.weights) + len(t.levels)
	for server := range t.weights {
		if r.withdrawn[server] {
			lines++
		}
	}
	messages.add(p, lines).assigns = true
	return true
}

// withdrawServer has no proxy send to a server, or lets them again: withdraw,SERVER and restore,SERVER.
type withdrawServer struct {
	server  string
	restore bool
}

func parseWithdrawServer(w words) (command, bool) { return withdrawServer{server: w[1]}, true }

func parseRestoreServer(w words) (command, bool) {
	return withdrawServer{server: w[1], restore: true}, true
}

func (c withdrawServer) subject() string { return c.server }

func (c withdrawServer) execute(r *Relay, messages *callMessages) bool {
	if !r.registered[c.server] {
		return false
	}
	if r.withdrawn[c.server] == c.restore {
		r.stateChanges++
		r.withdrawn[c.server] = !c.restore
	}
	users := 0
	for _, t := range r.tables {
		if t.weights[c.server] == 0 {
			continue
		}
		for _, p := range t.users {
			m := messages.add(p, 1)
			if !c.restore {
				m.withdrawn = append(m.withdrawn, c.server)
				users++
			}
		}
		r.checkEmptyTable(t)
	}
	if c.restore {
		r.Rules.serverRestored(messages.at, c.server)
	} else {
		r.Rules.serverWithdrawn(messages.at, c.server, users)
	}
	return true
}

// setAdmission sets what a table, or each, admits of some classes, and their attempts: admit,TABLE,CLASSES,AMOUNT,TRIES.
type setAdmission struct {
	table    int
	anyTable bool
	classes  string
	level    admissionLevel
}

func parseSetAdmission(w words) (command, bool) {
	number, isAny, tableOK := w.tableOrAny(1)
	amount, amountOK := w.figure(3)
	attempts, attemptsOK := w.integer(4)
	c := setAdmission{table: number, anyTable: isAny, classes: w[2], level: admissionLevel{amount, attempts}}
	return c, tableOK && amountOK && attemptsOK
}

func (c setAdmission) subject() string { return c.classes }

func (c setAdmission) execute(r *Relay, messages *callMessages) bool {
	for number, t := range r.tables {
		if !c.anyTable && number != c.table {
			continue
		}
		if t.levels[c.classes] != c.level {
			r.stateChanges++
		}
		t.levels[c.classes] = c.level
		for _, p := range t.users {
			messages.add(p, 1)
		}
	}
	r.Rules.checkAttempts(messages.at, c.classes, c.level.attempts)
	return true
}

// setBarrier has the proxies that the call reaches, or all, acknowledge a number: mark,NUMBER,0 and mark,NUMBER,1.
type setBarrier struct {
	number     int
	allProxies bool
}

func parseSetBarrier(w words) (command, bool) {
	number, ok := w.integer(1)
	return setBarrier{number: number, allProxies: w[2] == "1"}, ok
}

func (c setBarrier) subject() string { return strconv.Itoa(c.number) }

func (c setBarrier) execute(r *Relay, messages *callMessages) bool {
	for _, m := range messages.byProxy {
		m.barriers = append(m.barriers, c.number)
		m.lines++
	}
	if !c.allProxies {
		return true
	}
	for _, p := range r.proxies {
		m := messages.add(p, 1)
		m.barriers = append(m.barriers, c.number)
	}
	return true
}

// tableOf gives a table by its number, an empty one where there was none.
func (r *Relay) tableOf(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = &table{weights: map[string]float64{}, levels: map[string]admissionLevel{}, users: map[int]*proxy{}}
	}
	return r.tables[number]
}
