//go:build review

// Command standins plays the parties around one real manager on loopback: discovery, the relay with its proxies, the
// collectors and the workers. It follows the users' pages, starts the manager by the run line of the deploy file, and
// judges the rules by what proxies and workers see.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// site holds the figures of a deployment, under the users' names.
type site struct {
	Zones         []string
	Servers       int
	Proxies       int
	Cores         float64 // 0: one
	Extra         int     // further proxies, joined to other managers at first
	Total         int     // proxies of all managers; 0: those of this one
	Managers      int
	ProxyRate     float64 // requests a second at each proxy, on average
	Skew          float64 // how much more of the traffic the first zone has than its part
	Capacity      float64 // requests a second that a warm worker can do
	Egress        float64 // lines a second
	QueueCap      float64
	Envelope      float64
	MessagesMost  int
	ReloadSpan    time.Duration
	EmptyFor      time.Duration
	Grace         time.Duration
	WarmAfter     time.Duration
	ColdFrom      float64
	Overload      float64
	OverloadFor   time.Duration
	Standing      int
	Late          time.Duration // way of a message after it has left the channel
	HeardLate     time.Duration
	Period        time.Duration
	Admit         string
	UsualHow      int
	Dropped       bool // rules.droppedStayOpen
	HomeOnly      []bool
	Operator      string // the operators' settings, as text
	TablesAddress string
	ProxyZones    []string // zones of the proxies, if not all
	Mode          string
	Report        string
}

const slack = 300 * time.Millisecond // what the protocol page adds to time limits on sockets

var classNames = []string{"route-plan", "price-quote", "job-booking"}
var classShare = []float64{0.5, 0.3, 0.2}

// line is a weighted line of a table.
type lines map[string]float64

func (l lines) clone() lines {
	c := lines{}
	for k, v := range l {
		c[k] = v
	}
	return c
}

type level struct {
	amount float64
	how    int
}

// proxy is a joined or unjoined proxy with what it holds.
type proxy struct {
	id        int
	zone      string
	joined    bool
	joinedAt  time.Time
	standing  lines
	bound     map[string]int // class to table, as applied
	tables    map[int]lines  // content of bound tables, as applied
	levels    map[int]map[string]level
	withdrawn map[string]bool
	relayBind map[string]int // class to table, as ordered
	sent      []time.Time    // messages since its joining
	bareSince map[string]time.Time
	carry     float64
	usage     map[string]int
}

func (p *proxy) lines(class string) lines {
	if t, ok := p.bound[class]; ok {
		return p.tables[t]
	}
	return p.standing
}

// worker is a stand-in of a worker as the platform knows it.
type worker struct {
	id        string
	zone      string
	addr      string
	state     string // up, draining, removed
	startedMs int64
	started   time.Time
	listed    bool
	toldAt    time.Time // when the manager was told that it drains or is gone
	startTold time.Time
	dead      bool
	silent    bool
	probes    int
	sends     []time.Time
	sentTotal int
	late      int // sends after the grace
	lateLast  time.Time
}

type op struct {
	kind   string
	table  int
	server string
	weight float64
	class  string
	level  level
	full   lines
	levels map[string]level
	withdr map[string]bool
}

type message struct {
	p     *proxy
	joinA time.Time
	size  float64
	ops   []op
	marks []int
	at    time.Time
}

type violation struct {
	rule string
	text string
}

type world struct {
	mu        sync.Mutex
	s         site
	rng       *rand.Rand
	start     time.Time
	ready     time.Time // when the manager first answered
	record    *os.File
	proxies   []*proxy
	workers   map[string]*worker
	order     []string
	gen       int64
	changes   []string // JSON lines by generation
	firstList map[string]any
	firstGen  int64
	watchers  map[chan string]bool
	tables    map[int]lines
	levels    map[int]map[string]level
	pulled    map[string]bool
	queue     []message
	queued    float64
	credit    float64
	speed     float64
	news      map[chan string]bool
	calls     int
	fault     func(n int) string
	bad       []violation
	badSeen   map[string]bool
	heard     map[string]map[string]*tally // zone, worker
	worstQ    float64
	worstMsg  int
	exempt    time.Time // time limits wait until then
	sentSec   map[string]int
	newsDown  bool
	discDown  bool
}

type tally struct{ count, fail int }

func newWorld(s site, record *os.File, seed int64) *world {
	w := &world{s: s, rng: rand.New(rand.NewSource(seed)), start: time.Now(), record: record, workers: map[string]*worker{},
		gen: 41, firstGen: 41, watchers: map[chan string]bool{}, speed: 1, news: map[chan string]bool{}, badSeen: map[string]bool{},
		heard: map[string]map[string]*tally{}, sentSec: map[string]int{}, fault: func(int) string { return "" }}
	w.resetManagerState()
	return w
}

func (w *world) resetManagerState() {
	w.tables = map[int]lines{}
	w.levels = map[int]map[string]level{}
	w.pulled = map[string]bool{}
	w.queue = nil
	w.queued = 0
}

func (w *world) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(w.start).Seconds()) }

// logf writes a line of the record; the caller holds the lock or is alone.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%s %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
}

func (w *world) violate(rule, key, format string, args ...any) {
	if w.badSeen[rule+key] {
		return
	}
	w.badSeen[rule+key] = true
	text := fmt.Sprintf(format, args...)
	w.bad = append(w.bad, violation{rule, text})
	w.logf("BROKEN %s: %s", rule, text)
}

// limitsRun reports whether time limits run at a time that began at since.
func (w *world) since(t time.Time) time.Time {
	begin := w.ready.Add(time.Second)
	if w.ready.IsZero() {
		return time.Now().Add(time.Hour)
	}
	if t.Before(begin) {
		t = begin
	}
	if t.Before(w.exempt) {
		t = w.exempt
	}
	return t
}

func (w *world) drawStanding(zone string) lines {
	var local, all []string
	for _, id := range w.order {
		k := w.workers[id]
		if k.state != "up" || !k.listed {
			continue
		}
		all = append(all, id)
		if k.zone == zone {
			local = append(local, id)
		}
	}
	from := all
	if len(local) >= 3 {
		from = local
	}
	w.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	l := lines{}
	for i, id := range from {
		if i < w.s.Standing {
			l[id] = 1
		}
	}
	return l
}

func (w *world) newProxy(id int) *proxy {
	zones := w.s.Zones
	if len(w.s.ProxyZones) > 0 {
		zones = w.s.ProxyZones
	}
	zone := zones[id%len(zones)]
	return &proxy{id: id, zone: zone, standing: w.drawStanding(zone), bound: map[string]int{}, tables: map[int]lines{},
		levels: map[int]map[string]level{}, withdrawn: map[string]bool{}, relayBind: map[string]int{},
		bareSince: map[string]time.Time{}, usage: map[string]int{}}
}

// join joins a proxy; the caller holds the lock.
func (w *world) join(p *proxy) {
	if p.joined {
		return
	}
	p.joined = true
	p.joinedAt = time.Now()
	p.relayBind = map[string]int{}
	p.sent = nil
	fresh := 0
	if len(p.bound) == 0 {
		fresh = 1
	}
	w.logf("proxy %d joins from %s", p.id, p.zone)
	w.newsEvent(fmt.Sprintf("event: joined\ndata: id=%d&site=%s&rps=%.1f&new=%d\n\n", p.id, p.zone, w.rate(p), fresh))
}

func (w *world) leave(p *proxy) {
	if !p.joined {
		return
	}
	p.joined = false
	p.relayBind = map[string]int{}
	kept := w.queue[:0:0]
	for _, m := range w.queue {
		if m.p == p {
			w.queued -= m.size
			continue
		}
		kept = append(kept, m)
	}
	w.queue = kept
	w.logf("proxy %d leaves", p.id)
	w.newsEvent(fmt.Sprintf("event: left\ndata: id=%d\n\n", p.id))
}

func (w *world) newsEvent(text string) {
	for c := range w.news {
		select {
		case c <- text:
		default:
		}
	}
}

// orders executes a call and returns how many orders were taken; the caller holds the lock.
func (w *world) orders(list []string) (taken int) {
	now := time.Now()
	msgs := map[int]*message{}
	var ids []int
	add := func(p *proxy, cost float64, o op) {
		m := msgs[p.id]
		if m == nil {
			m = &message{p: p, joinA: p.joinedAt, size: w.s.Envelope, at: now}
			msgs[p.id] = m
			ids = append(ids, p.id)
		}
		m.size += cost
		if o.kind != "" {
			m.ops = append(m.ops, o)
		}
	}
	uses := func(p *proxy, t int) bool {
		for _, b := range p.relayBind {
			if b == t {
				return true
			}
		}
		return false
	}
	for _, text := range list {
		f := strings.Split(text, ",")
		ok := true
		switch {
		case f[0] == "share" && len(f) == 4:
			var t int
			var wt float64
			_, e1 := fmt.Sscan(f[1], &t)
			_, e2 := fmt.Sscan(f[3], &wt)
			if e1 != nil || e2 != nil || wt < 0 || w.workers[f[2]] == nil {
				ok = false
				break
			}
			if w.tables[t] == nil {
				w.tables[t] = lines{}
			}
			w.tables[t][f[2]] = wt
			if wt == 0 {
				delete(w.tables[t], f[2])
			}
			for _, p := range w.proxies {
				if p.joined && uses(p, t) {
					add(p, 1, op{kind: "share", table: t, server: f[2], weight: wt})
				}
			}
		case f[0] == "clear" && len(f) == 2:
			var t int
			fmt.Sscan(f[1], &t)
			w.tables[t] = lines{}
			for _, p := range w.proxies {
				if p.joined && uses(p, t) {
					add(p, 1, op{kind: "clear", table: t})
				}
			}
		case f[0] == "bind" && len(f) == 4:
			var id, t int
			fmt.Sscan(f[1], &id)
			fmt.Sscan(f[2], &t)
			if id < 0 || id >= len(w.proxies) || !w.proxies[id].joined {
				ok = false
				break
			}
			p := w.proxies[id]
			wd := map[string]bool{}
			cost := 1 + len(w.tables[t]) + len(w.levels[t])
			for s := range w.pulled {
				wd[s] = true
				if _, in := w.tables[t][s]; in {
					cost++
				}
			}
			lv := map[string]level{}
			for k, v := range w.levels[t] {
				lv[k] = v
			}
			for _, c := range classList(f[3]) {
				p.relayBind[c] = t
			}
			add(p, float64(cost), op{kind: "bind", table: t, class: f[3], full: w.tables[t].clone(), levels: lv, withdr: wd})
		case (f[0] == "withdraw" || f[0] == "restore") && len(f) == 2:
			if w.workers[f[1]] == nil {
				ok = false
				break
			}
			if f[0] == "withdraw" {
				w.pulled[f[1]] = true
			} else {
				delete(w.pulled, f[1])
			}
			for _, p := range w.proxies {
				if !p.joined {
					continue
				}
				holds := false
				if len(p.relayBind) == 0 {
					for _, c := range classNames {
						if _, in := p.lines(c)[f[1]]; in {
							holds = true
						}
					}
				}
				for _, t := range p.relayBind {
					if _, in := w.tables[t][f[1]]; in {
						holds = true
					}
				}
				if holds {
					add(p, 1, op{kind: f[0], server: f[1]})
				}
			}
		case f[0] == "admit" && len(f) == 5:
			var t, how int
			var amount float64
			fmt.Sscan(f[1], &t)
			fmt.Sscan(f[3], &amount)
			fmt.Sscan(f[4], &how)
			if amount < 0 {
				ok = false
				break
			}
			if w.levels[t] == nil {
				w.levels[t] = map[string]level{}
			}
			for _, c := range classList(f[2]) {
				if c == "job-booking" && how > 1 {
					w.violate("no effect twice", c, "%s may be repeated after a try that may have run: %s", c, text)
				}
				w.levels[t][c] = level{amount, how}
			}
			for _, p := range w.proxies {
				if p.joined && uses(p, t) {
					add(p, 1, op{kind: "admit", table: t, class: f[2], level: level{amount, how}})
				}
			}
		case f[0] == "mark" && len(f) == 3:
			var n int
			fmt.Sscan(f[1], &n)
			if f[2] == "1" {
				for _, p := range w.proxies {
					if p.joined {
						add(p, 0, op{})
					}
				}
			}
			for _, id := range ids {
				msgs[id].size++
				msgs[id].marks = append(msgs[id].marks, n)
			}
		default:
			ok = false
		}
		if !ok {
			w.logf("order refused: %s", text)
			break
		}
		taken++
	}
	sort.Ints(ids)
	for _, id := range ids {
		m := msgs[id]
		w.queue = append(w.queue, *m)
		w.queued += m.size
		p := m.p
		p.sent = append(p.sent, now)
		n := 0
		for _, t := range p.sent {
			if now.Sub(t) <= w.s.ReloadSpan {
				n++
			}
		}
		if n > w.worstMsg {
			w.worstMsg = n
		}
		if w.s.MessagesMost > 0 && n > w.s.MessagesMost {
			w.violate("a short queue", "messages", "%d messages to proxy %d within %v, %d are allowed", n, id, w.s.ReloadSpan, w.s.MessagesMost)
		}
	}
	if w.queued > w.worstQ {
		w.worstQ = w.queued
	}
	if w.queued > w.s.QueueCap {
		w.violate("a short queue", "lines", "%.0f lines wait in the channel, %.0f are allowed", w.queued, w.s.QueueCap)
	}
	return taken
}

func classList(text string) []string {
	if text == "*" {
		return classNames
	}
	return strings.Split(text, "+")
}

// runChannel sends what waits, at the pace of the channel.
func (w *world) runChannel() {
	last := time.Now()
	for {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		w.credit += w.s.Egress * w.speed * now.Sub(last).Seconds()
		last = now
		for len(w.queue) > 0 && w.credit >= w.queue[0].size {
			m := w.queue[0]
			w.queue = w.queue[1:]
			w.credit -= m.size
			w.queued -= m.size
			time.AfterFunc(w.s.Late, func() { w.apply(m) })
		}
		if len(w.queue) == 0 {
			w.credit = 0
		}
		w.mu.Unlock()
	}
}

func (w *world) apply(m message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := m.p
	if !p.joined || !p.joinedAt.Equal(m.joinA) {
		return
	}
	for _, o := range m.ops {
		switch o.kind {
		case "share":
			if p.tables[o.table] == nil {
				continue
			}
			p.tables[o.table][o.server] = o.weight
			if o.weight == 0 {
				delete(p.tables[o.table], o.server)
			}
		case "clear":
			p.tables[o.table] = lines{}
		case "bind":
			p.tables[o.table] = o.full
			p.levels[o.table] = o.levels
			for _, c := range classList(o.class) {
				p.bound[c] = o.table
			}
			p.withdrawn = o.withdr
		case "withdraw":
			p.withdrawn[o.server] = true
		case "restore":
			delete(p.withdrawn, o.server)
		case "admit":
			if p.levels[o.table] == nil {
				p.levels[o.table] = map[string]level{}
			}
			for _, c := range classList(o.class) {
				p.levels[o.table][c] = o.level
			}
		}
	}
	for _, n := range m.marks {
		w.newsEvent(fmt.Sprintf("event: applied\ndata: id=%d&seq=%d&ms=%.1f\n\n", p.id, n, float64(time.Since(m.at).Microseconds())/1000))
	}
}

// rate returns the requests a second of a proxy; the first zone has more than its part.
func (w *world) rate(p *proxy) float64 {
	if p.zone == w.s.Zones[0] {
		return w.s.ProxyRate * (1 + w.s.Skew)
	}
	return w.s.ProxyRate * (1 - w.s.Skew/float64(len(w.s.Zones)-1))
}

// open reports whether a class of a proxy may go to a worker.
func (w *world) open(p *proxy, class, server string) bool {
	for i, c := range classNames {
		if c == class && i < len(w.s.HomeOnly) && w.s.HomeOnly[i] {
			return w.workers[server].zone == p.zone
		}
	}
	return true
}

// warmListed reports whether the list shows a worker that is ready, warm and open to a class of a proxy.
func (w *world) warmListed(p *proxy, class string, now time.Time) bool {
	for id, k := range w.workers {
		if k.listed && k.state == "up" && now.Sub(k.started) >= w.s.WarmAfter && w.open(p, class, id) {
			return true
		}
	}
	return false
}

// runOthers plays the other managers: each 2 s they have given the proxies that are not joined here a table of all workers
// that the list shows as ready, the cold ones with a tenth of the weight.
func (w *world) runOthers() {
	for {
		w.with(func() {
			for _, p := range w.proxies[w.s.Proxies:] {
				if p.joined {
					continue
				}
				l := lines{}
				for id, k := range w.workers {
					if k.listed && k.state == "up" && !k.dead {
						l[id] = 10
						if time.Since(k.started) < w.s.WarmAfter {
							l[id] = 1
						}
					}
				}
				p.tables = map[int]lines{5000: l}
				p.withdrawn = map[string]bool{}
				p.levels = map[int]map[string]level{}
				for _, c := range classNames {
					p.bound[c] = 5000
				}
			}
		})
		time.Sleep(2 * time.Second)
	}
}
