package node

// Send holds the orders that wait for the relay and encodes them once. It owns their order: what
// waits is bounded and folded to its latest state. It must never change an order's content.

import (
	"net/url"
	"strconv"
	"strings"
	"sync"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

// backlog is what the module ordered and the relay stage has not taken.
type backlog struct {
	mu      sync.Mutex
	queue   []balancer.Commands
	limit   int
	filled  chan struct{}
	metrics *metrics
}

func newBacklog(most int, m *metrics) *backlog {
	return &backlog{limit: most, filled: make(chan struct{}, 1), metrics: m}
}

func (b *backlog) push(o balancer.Commands) {
	b.mu.Lock()
	b.queue = append(b.queue, o)
	if len(b.queue) > b.limit {
		b.metrics.add(callsMerged, int64(len(b.queue)-1))
		b.queue = []balancer.Commands{commands.Merge(b.queue...)}
	}
	b.mu.Unlock()
	notify(b.filled)
}

// next takes the oldest; false without any.
func (b *backlog) next() (o balancer.Commands, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return o, false
	}
	o = b.queue[0]
	b.queue = b.queue[1:]
	return o, true
}

func (b *backlog) takeAll() []balancer.Commands {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.queue
	b.queue = nil
	return all
}

// encodeCommands writes orders in the relay's words, as many as fit, and behind them the mark that shows when their messages
// have left; escaped is how long they are in a form.
func encodeCommands(o balancer.Commands, groups []string, most int) (text []string) {
	escaped := 0
	put := func(parts ...string) bool {
		one := strings.Join(parts, ",")
		if escaped += len(url.QueryEscape(one)) + len("%3B"); escaped > most && len(text) > 0 {
			return false // the first always goes: guards against an order that waits for ever for a call that holds it
		}
		text = append(text, one)
		return true
	}
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	if o.Barrier > 0 {
		mark := strings.Join([]string{"mark", strconv.Itoa(int(o.Barrier)), "0"}, ",")
		escaped += len(url.QueryEscape(mark)) + len("%3B")
		defer func() { text = append(text, mark) }()
	}
	for _, s := range o.Withdraw {
		if !put("withdraw", string(s)) {
			return text
		}
	}
	for _, l := range o.Weights {
		if !put("share", strconv.Itoa(int(l.Table)), string(l.Server), number(l.Weight)) {
			return text
		}
	}
	for _, l := range o.AdmissionLevels {
		if !put("admit", strconv.Itoa(int(l.Table)), classNames(l.Classes, groups), number(l.Amount), strconv.Itoa(int(l.Retry))) {
			return text
		}
	}
	for _, s := range o.Restore {
		if !put("restore", string(s)) {
			return text
		}
	}
	for _, b := range o.Assign {
		if !put("bind", strconv.Itoa(int(b.Proxy)), strconv.Itoa(int(b.Table)), classNames(b.Classes, groups)) {
			return text
		}
	}
	return text
}

// classNames names the traffic groups of a mask.
func classNames(mask uint, groups []string) string {
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
