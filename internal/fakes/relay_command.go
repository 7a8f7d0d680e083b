package fakes

import (
	"strconv"
	"strings"
)

// command is one command of a call.
type command interface {
	// execute applies the command to the state of the relay and its proxies, and adds to the messages of the call. If
	// the command is invalid, it returns false and changes nothing. The caller holds the relay's lock.
	execute(r *Relay, messages *callMessages) bool
	// subject returns the ID of the proxy, server, table or barrier, or the list of classes, that the command refers to.
	subject() string
}

// commandWords are the words of one command, starting with its name.
type commandWords []string

// integer parses word i as a non-negative integer.
func (w commandWords) integer(i int) (int, bool) {
	number, err := strconv.Atoi(w[i])
	return number, err == nil && number >= 0
}

// number parses word i as a non-negative number.
func (w commandWords) number(i int) (float64, bool) {
	number, err := strconv.ParseFloat(w[i], 64)
	return number, err == nil && number >= 0
}

// tableOrAny parses word i as a table number or as anyTable.
func (w commandWords) tableOrAny(i int) (number int, isAny, ok bool) {
	if w[i] == anyTable {
		return 0, true, true
	}
	number, ok = w.integer(i)
	return number, false, ok
}

// commandSyntax is the number of words of a command, including its name, and its parser.
type commandSyntax struct {
	wordCount int
	parse     func(w commandWords) (command, bool)
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

// commandWord returns the first word of a command.
func commandWord(text string) string {
	word, _, _ := strings.Cut(text, wordSeparator)
	return word
}

// parseCommand parses one command. It returns false if the command is malformed.
func parseCommand(text string) (command, bool) {
	w := commandWords(strings.Split(text, wordSeparator))
	syntax, known := commandSyntaxes[w[0]]
	if !known || len(w) != syntax.wordCount {
		return nil, false
	}
	return syntax.parse(w)
}

// setWeight sets the weight of a server in a table; weight 0 removes the server. Syntax: share,TABLE,SERVER,WEIGHT.
type setWeight struct {
	table  int
	server string
	weight float64
}

func parseSetWeight(w commandWords) (command, bool) {
	number, numberOK := w.integer(1)
	weight, weightOK := w.number(3)
	return setWeight{number, w[2], weight}, numberOK && weightOK
}

func (c setWeight) subject() string { return c.server }

func (c setWeight) execute(r *Relay, messages *callMessages) bool {
	if !r.registered[c.server] {
		return false
	}
	t := r.tableByNumber(c.table)
	if t.weights[c.server] != c.weight {
		r.stateChanges++
	}
	t.weights[c.server] = c.weight
	if c.weight == 0 {
		delete(t.weights, c.server)
	}
	for _, p := range t.proxies {
		messages.add(p, 1)
	}
	r.checkEmptyTable(t)
	return true
}

// resetTable removes all weights and admission levels of a table. Syntax: clear,TABLE.
type resetTable struct{ table int }

func parseResetTable(w commandWords) (command, bool) {
	number, ok := w.integer(1)
	return resetTable{number}, ok
}

func (c resetTable) subject() string { return strconv.Itoa(c.table) }

func (c resetTable) execute(r *Relay, messages *callMessages) bool {
	r.stateChanges++
	t := r.tableByNumber(c.table)
	clear(t.weights)
	clear(t.levels)
	for _, p := range t.proxies {
		messages.add(p, 1)
	}
	r.checkEmptyTable(t)
	return true
}

// assignTable assigns a proxy to a table and sends the whole table to it. Syntax: bind,PROXY,TABLE,CLASSES. CLASSES is
// ignored.
type assignTable struct{ proxy, table int }

func parseAssignTable(w commandWords) (command, bool) {
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
		delete(old.proxies, p.id)
	}
	t := r.tableByNumber(c.table)
	p.table = c.table
	t.proxies[p.id] = p
	size := 1 + len(t.weights) + len(t.levels)
	for server := range t.weights {
		if r.withdrawn[server] {
			size++
		}
	}
	messages.add(p, size).assigns = true
	return true
}

// withdrawServer stops all proxies from sending to a server, or lets them send to it again. Syntax: withdraw,SERVER and
// restore,SERVER.
type withdrawServer struct {
	server  string
	restore bool
}

func parseWithdrawServer(w commandWords) (command, bool) { return withdrawServer{server: w[1]}, true }

func parseRestoreServer(w commandWords) (command, bool) {
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
	affected := 0
	for _, t := range r.tables {
		if t.weights[c.server] == 0 {
			continue
		}
		for _, p := range t.proxies {
			m := messages.add(p, 1)
			if !c.restore {
				m.withdrawn = append(m.withdrawn, c.server)
				affected++
			}
		}
		r.checkEmptyTable(t)
	}
	if c.restore {
		r.Rules.serverRestored(messages.at, c.server)
	} else {
		r.Rules.serverWithdrawn(messages.at, c.server, affected)
	}
	return true
}

// setAdmission sets the admission level of some classes in one table or in all tables. Syntax:
// admit,TABLE,CLASSES,AMOUNT,RETRY_POLICY.
type setAdmission struct {
	table    int
	anyTable bool
	classes  string
	level    admissionLevel
}

func parseSetAdmission(w commandWords) (command, bool) {
	number, isAny, tableOK := w.tableOrAny(1)
	amount, amountOK := w.number(3)
	retryPolicy, retryPolicyOK := w.integer(4)
	c := setAdmission{table: number, anyTable: isAny, classes: w[2], level: admissionLevel{amount, retryPolicy}}
	return c, tableOK && amountOK && retryPolicyOK
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
		for _, p := range t.proxies {
			messages.add(p, 1)
		}
	}
	r.Rules.checkRetryPolicy(messages.at, c.classes, c.level.retryPolicy)
	return true
}

// setBarrier makes the proxies that the call already has messages for (mark,NUMBER,0) or all proxies (mark,NUMBER,1)
// acknowledge a barrier number.
type setBarrier struct {
	number     int
	allProxies bool
}

func parseSetBarrier(w commandWords) (command, bool) {
	number, ok := w.integer(1)
	return setBarrier{number: number, allProxies: w[2] == "1"}, ok
}

func (c setBarrier) subject() string { return strconv.Itoa(c.number) }

func (c setBarrier) execute(r *Relay, messages *callMessages) bool {
	for _, m := range messages.byProxy {
		m.barriers = append(m.barriers, c.number)
		m.size++
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

// tableByNumber returns the table with a number, which it creates if necessary.
func (r *Relay) tableByNumber(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = &table{weights: map[string]float64{}, levels: map[string]admissionLevel{}, proxies: map[int]*proxy{}}
	}
	return r.tables[number]
}
