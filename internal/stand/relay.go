package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what becomes of a call.
type Fault int

const (
	// None: the call is carried out and answered.
	None     Fault = iota
	Lost           // carried out, and the connection breaks before the answer
	Undone         // the connection breaks, and nothing was carried out
	Mute           // carried out, and no answer ever comes
	Garbled        // carried out, and the answer can't be read
	Busy           // nothing was carried out, and the answer says so
	Slow           // carried out, and the answer comes late
	faultsOf       // how many there are
)

var faultNames = []string{"none", "lost", "undone", "mute", "garbled", "busy", "slow"}

// String is the name of a fault.
func (f Fault) String() string { return faultNames[f] }

// level is what a table lets in of some groups, and its tries.
type level struct {
	amount float64
	tries  int
}

type table struct {
	lines  map[string]float64
	levels map[string]level
	users  map[int]*proxy
}

type proxy struct {
	id      int
	zone    string
	rate    float64
	table   int // -1: none
	bareAt  time.Time
	sent    []time.Time // messages
	joined  time.Time
	applied int // calls
}

// message is what one call sends one proxy: it leaves the channel in its turn.
type message struct {
	to    *proxy
	lines float64
	marks []int
	binds bool
	pulls []string // servers that it withdraws
	at    time.Time
}

// Relay carries orders to the proxies that are joined, at the pace of its channel, and keeps what they hold.
type Relay struct {
	Address string
	Fault   func(call int) Fault // what becomes of the n-th call
	SlowFor time.Duration
	Ordered func(at time.Time, kind, about string) // each order taken, by its kind and the proxy or server that it is about
	Rules   *Rules

	site    Site
	mu      sync.Mutex
	proxies map[int]*proxy
	tables  map[int]*table
	pulled  map[string]bool
	listed  map[string]bool // servers that discovery has ever told
	news    map[chan string]bool
	queue   []message
	waiting float64
	credit  float64
	pace    float64 // of the channel, 1: as stated
	calls   int
	faults  [faultsOf]int
	taken   int
	effects int // orders that changed what stands
	refused int
	repeats map[string]bool // orders that were carried out without an answer
	server  *http.Server
	over    chan struct{}
	once    sync.Once
	away    bool
}

// NewRelay listens at an address and sends by the site's pace.
func NewRelay(address string, site Site) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), site: site, Fault: func(int) Fault { return None }, SlowFor: 100 * time.Millisecond,
		Ordered: func(time.Time, string, string) {}, Rules: NewRules(site), proxies: map[int]*proxy{}, tables: map[int]*table{},
		pulled: map[string]bool{}, listed: map[string]bool{}, news: map[chan string]bool{}, repeats: map[string]bool{}, pace: 1,
		over: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/", r.call)
	mux.HandleFunc("GET /v3/kv/stream", r.stream)
	r.server = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	go r.server.Serve(l)
	go r.channel()
	return r, nil
}

// Close ends it, and all connections to it.
func (r *Relay) Close() {
	r.once.Do(func() { close(r.over) })
	r.server.Close()
}

// Set changes what it does, or tells, while calls may be under way.
func (r *Relay) Set(change func(r *Relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// Knows names servers that discovery told.
func (r *Relay) Knows(entries ...Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.listed[e.ID] = true
	}
}

// Pace makes the channel so many times as quick as stated.
func (r *Relay) Pace(by float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = by
}

// Away makes it end all connections and take none, or come back.
func (r *Relay) Away(on bool) {
	r.mu.Lock()
	r.away = on
	for n := range r.news {
		delete(r.news, n)
		close(n)
	}
	r.mu.Unlock()
}

// Join joins proxies, and tells the news.
func (r *Relay) Join(ids ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		if old := r.proxies[id]; old != nil {
			r.drop(old)
		}
		p := &proxy{id: id, zone: r.site.Zone(id), rate: r.site.Rate, table: -1, joined: now, bareAt: now}
		r.proxies[id] = p
		r.tell(joinedEvent(p))
	}
}

func joinedEvent(p *proxy) string {
	return fmt.Sprintf("event: joined\ndata: id=%d&site=%s&rps=%g&new=1\n\n", p.id, p.zone, p.rate)
}

// Leave lets proxies leave, and tells the news.
func (r *Relay) Leave(ids ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if p := r.proxies[id]; p != nil {
			r.drop(p)
			r.tell(fmt.Sprintf("event: left\ndata: id=%d\n\n", id))
		}
	}
}

func (r *Relay) drop(p *proxy) {
	delete(r.proxies, p.id)
	if t := r.tables[p.table]; t != nil {
		delete(t.users, p.id)
	}
	r.queue = slices.DeleteFunc(r.queue, func(m message) bool {
		if m.to == p {
			r.waiting -= m.lines
			r.Rules.applied(time.Now(), p.id, m.pulls)
		}
		return m.to == p
	})
}

func (r *Relay) tell(event string) {
	for n := range r.news {
		select {
		case n <- event:
		default: // it fell too far behind
			delete(r.news, n)
			close(n)
		}
	}
}

func (r *Relay) stream(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	if r.away {
		r.mu.Unlock()
		cutOff(w)
		return
	}
	events := make(chan string, 1<<16)
	var standing []string
	for _, p := range r.proxies {
		standing = append(standing, joinedEvent(p))
	}
	slices.Sort(standing)
	r.news[events] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.news, events)
		r.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher)
	io.WriteString(w, strings.Join(standing, ""))
	flush.Flush()
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	for {
		select {
		case e, ok := <-events:
			io.WriteString(w, e)
			for n := len(events); ok && n > 0; n-- { // each that is taken is written
				if e, ok = <-events; ok {
					io.WriteString(w, e)
				}
			}
			if !ok {
				cutOff(w)
				return
			}
		case <-alive.C:
			io.WriteString(w, ":\n\n")
		case <-r.over:
			cutOff(w)
			return
		}
		flush.Flush()
	}
}

// cutOff breaks a connection without an end of its answer.
func cutOff(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			c.Close()
		}
	}
}

func (r *Relay) call(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	form, bad := url.ParseQuery(string(body))
	if err != nil || bad != nil || form.Get("Action") != "CommitChanges" || len(form.Get("orders")) > 60000 {
		fmt.Fprint(w, `<?xml version="1.0"?><Response><error>SYNTAX</error></Response>`)
		return
	}
	orders := strings.Split(form.Get("orders"), ";")
	r.mu.Lock()
	r.calls++
	fault := r.Fault(r.calls)
	if r.away {
		fault = Undone
	}
	r.faults[fault]++
	taken := 0
	if fault != Undone && fault != Busy {
		taken = r.carryOut(orders, fault == Lost || fault == Mute || fault == Garbled)
	}
	r.mu.Unlock()
	answer := fmt.Sprintf(`<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`, taken)
	switch fault {
	case Lost, Undone:
		cutOff(w)
		return
	case Mute:
		select {
		case <-req.Context().Done():
		case <-r.over:
		}
		return
	case Garbled:
		answer = answer[:len(answer)/2] + "\x00\x01"
	case Busy:
		answer = `<?xml version="1.0"?><Response><error>BUSY</error></Response>`
	case Slow:
		time.Sleep(r.SlowFor)
	}
	io.WriteString(w, answer)
}

// carryOut takes orders one after another, up to the first that it can't use, and puts what they cost each proxy into
// the channel as one message. An order that is carried out again after a call without an answer must change nothing.
func (r *Relay) carryOut(orders []string, unanswered bool) (taken int) {
	now := time.Now()
	m := &sending{at: now, of: map[int]*message{}}
	for _, o := range orders {
		before := r.effects
		kind, about, ok := r.order(o, m)
		if !ok {
			r.refused++
			break
		}
		if r.repeats[o] && kind != "mark" {
			r.Rules.repeated(now, o, r.effects != before)
		}
		taken++
		r.Ordered(now, kind, about)
	}
	r.taken += taken
	clear(r.repeats)
	if unanswered {
		for _, o := range orders[:taken] {
			r.repeats[o] = true
		}
	}
	var ids []int
	for id := range m.of {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		one := m.of[id]
		one.lines += r.site.HeadLines
		r.waiting += one.lines
		r.queue = append(r.queue, *one)
		one.to.sent = append(one.to.sent, now)
		one.to.sent = slices.DeleteFunc(one.to.sent, func(at time.Time) bool { return now.Sub(at) > r.site.MessagesOver })
		r.Rules.messages(now, id, len(one.to.sent))
	}
	r.Rules.waits(now, r.waiting)
	return taken
}

// sending is what one call sends, by proxy.
type sending struct {
	at time.Time
	of map[int]*message
}

func (m *sending) line(p *proxy, lines float64) *message {
	one := m.of[p.id]
	if one == nil {
		one = &message{to: p, at: m.at}
		m.of[p.id] = one
	}
	one.lines += lines
	return one
}

func (r *Relay) table(n int) *table {
	if r.tables[n] == nil {
		r.tables[n] = &table{lines: map[string]float64{}, levels: map[string]level{}, users: map[int]*proxy{}}
	}
	return r.tables[n]
}

// order carries out one order; false where it can't be read or used.
func (r *Relay) order(text string, m *sending) (kind, about string, ok bool) {
	f := strings.Split(text, ",")
	number := func(i int) int {
		n, err := strconv.Atoi(f[i])
		if err != nil || n < 0 {
			return -1
		}
		return n
	}
	figure := func(i int) float64 {
		x, err := strconv.ParseFloat(f[i], 64)
		if err != nil || !(x >= 0) {
			return -1
		}
		return x
	}
	switch kind = f[0]; {
	case kind == "share" && len(f) == 4:
		t, w := number(1), figure(3)
		if t < 0 || w < 0 || !r.listed[f[2]] {
			return kind, "", false
		}
		one := r.table(t)
		if one.lines[f[2]] != w {
			r.effects++
		}
		if one.lines[f[2]] = w; w == 0 {
			delete(one.lines, f[2])
		}
		for _, p := range one.users {
			m.line(p, 1)
		}
		r.lookForBare(t)
		return kind, f[2], true
	case kind == "clear" && len(f) == 2:
		t := number(1)
		if t < 0 {
			return kind, "", false
		}
		r.effects++
		clear(r.table(t).lines)
		clear(r.table(t).levels)
		for _, p := range r.table(t).users {
			m.line(p, 1)
		}
		r.lookForBare(t)
		return kind, f[1], true
	case kind == "bind" && len(f) == 4:
		p, t := r.proxies[number(1)], number(2)
		if p == nil || t < 0 {
			return kind, "", false
		}
		if p.table != t {
			r.effects++
		}
		if old := r.tables[p.table]; old != nil {
			delete(old.users, p.id)
		}
		one := r.table(t)
		p.table, one.users[p.id] = t, p
		lines := 1 + len(one.lines) + len(one.levels)
		for s := range one.lines {
			if r.pulled[s] {
				lines++
			}
		}
		m.line(p, float64(lines)).binds = true
		return kind, f[1], true
	case (kind == "withdraw" || kind == "restore") && len(f) == 2:
		if !r.listed[f[1]] {
			return kind, "", false
		}
		if on := kind == "withdraw"; r.pulled[f[1]] != on {
			r.effects++
			r.pulled[f[1]] = on
		}
		holders := 0
		for n, t := range r.tables {
			if t.lines[f[1]] == 0 {
				continue
			}
			for _, p := range t.users {
				one := m.line(p, 1)
				if kind == "withdraw" {
					one.pulls = append(one.pulls, f[1])
					holders++
				}
			}
			r.lookForBare(n)
		}
		r.Rules.pulled(m.at, f[1], kind == "withdraw", holders)
		return kind, f[1], true
	case kind == "admit" && len(f) == 5:
		x, tries := figure(3), number(4)
		if x < 0 || tries < 0 || f[1] != "*" && number(1) < 0 {
			return kind, "", false
		}
		for n, t := range r.tables {
			if f[1] != "*" && number(1) != n {
				continue
			}
			if t.levels[f[2]] != (level{x, tries}) {
				r.effects++
			}
			t.levels[f[2]] = level{x, tries}
			for _, p := range t.users {
				m.line(p, 1)
			}
		}
		r.Rules.admits(m.at, f[2], tries)
		return kind, f[2], true
	case kind == "mark" && len(f) == 3:
		for _, one := range m.of {
			one.marks = append(one.marks, number(1))
			one.lines++
		}
		if f[2] == "1" {
			for _, p := range r.proxies {
				one := m.line(p, 1)
				one.marks = append(one.marks, number(1))
			}
		}
		return kind, f[1], number(1) >= 0
	}
	return kind, "", false
}

// lookForBare notes since when the proxies of a table have no server to pick, and that they have one again.
func (r *Relay) lookForBare(n int) {
	t, now := r.tables[n], time.Now()
	bare := true
	for s := range t.lines {
		bare = bare && r.pulled[s]
	}
	for _, p := range t.users {
		switch {
		case bare && p.bareAt.IsZero():
			p.bareAt = now
		case !bare && !p.bareAt.IsZero() && p.applied > 0:
			r.Rules.bare(now, p.id, now.Sub(p.bareAt))
			p.bareAt = time.Time{}
		}
	}
}

// channel sends what waits, at the site's pace.
func (r *Relay) channel() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-r.over:
			return
		case <-tick.C:
		}
		now := time.Now()
		r.mu.Lock()
		r.credit = min(r.credit+r.site.LinesPerS*r.pace*now.Sub(last).Seconds(), r.site.LinesPerS/20)
		last = now
		for len(r.queue) > 0 && r.credit >= r.queue[0].lines {
			m := r.queue[0]
			r.queue = r.queue[1:]
			r.credit -= m.lines
			r.waiting -= m.lines
			r.apply(now, m)
		}
		if len(r.queue) == 0 {
			r.queue, r.waiting = nil, 0
		}
		r.mu.Unlock()
	}
}

// apply is a proxy's taking over of a message.
func (r *Relay) apply(now time.Time, m message) {
	p := m.to
	p.applied++
	if t := r.tables[p.table]; m.binds && t != nil && !p.bareAt.IsZero() {
		bare := true
		for s := range t.lines {
			bare = bare && r.pulled[s]
		}
		if !bare {
			r.Rules.bare(now, p.id, now.Sub(p.bareAt))
			p.bareAt = time.Time{}
		}
	}
	r.Rules.applied(now, p.id, m.pulls)
	for _, mark := range m.marks {
		r.tell(fmt.Sprintf("event: applied\ndata: id=%d&seq=%d&ms=%.1f\n\n", p.id, mark, float64(now.Sub(m.at).Microseconds())/1000))
	}
}

// Flows is what the joined proxies send a server a second, by the tables that they are bound to.
func (r *Relay) Flows(server string) (flows float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows(server)
}

func (r *Relay) flows(server string) (flows float64) {
	if r.pulled[server] {
		return 0
	}
	for _, t := range r.tables {
		w := t.lines[server]
		if w == 0 {
			continue
		}
		sum, rate := 0.0, 0.0
		for s, x := range t.lines {
			if !r.pulled[s] {
				sum += x
			}
		}
		for _, p := range t.users {
			rate += p.rate
		}
		flows += rate * w / sum
	}
	return flows
}

// Look judges what stands at this time: proxies without a server, and what cold servers get.
func (r *Relay) Look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, p := range r.proxies {
		if !p.bareAt.IsZero() {
			r.Rules.bare(now, p.id, now.Sub(p.bareAt))
		}
	}
	r.Rules.cold(now, r.flows)
}

// Counts are what came to a relay.
type Counts struct {
	Calls   int            `json:"calls"`
	Taken   int            `json:"orders_taken"`
	Refused int            `json:"orders_refused"`
	Effects int            `json:"effects"`
	Joined  int            `json:"proxies"`
	Bound   int            `json:"bound"`
	Tables  int            `json:"tables"`
	Lines   int            `json:"lines"`
	Pulled  int            `json:"withdrawn"`
	Faults  map[string]int `json:"faults,omitempty"`
}

// Counts tells what came so far and what stands.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{Calls: r.calls, Taken: r.taken, Refused: r.refused, Effects: r.effects, Joined: len(r.proxies), Tables: len(r.tables),
		Faults: map[string]int{}}
	for _, p := range r.proxies {
		if p.table >= 0 && p.applied > 0 {
			c.Bound++
		}
	}
	for _, t := range r.tables {
		c.Lines += len(t.lines)
	}
	for _, on := range r.pulled {
		if on {
			c.Pulled++
		}
	}
	for f, n := range r.faults {
		if n > 0 && Fault(f) != None {
			c.Faults[Fault(f).String()] = n
		}
	}
	return c
}

// Pulled tells whether a server is withdrawn.
func (r *Relay) Pulled(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pulled[server]
}
