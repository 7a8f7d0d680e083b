package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// noTable is the number of the table of a proxy that is not bound.
const noTable = -1

// table is one table of the manager, as its orders left it.
type table struct {
	lines  map[string]float64
	levels map[string]string
}

// proxy is one proxy. What the manager has ordered for it stands at once in bound; what it holds changes only when a
// message arrives.
type proxy struct {
	id       int
	zone     string
	joinedAt time.Time

	bound map[string]int // table by class, as ordered

	holds     map[string]map[string]float64 // lines by class; before it is bound, the standing table
	holdsFrom map[string]int                // number of the table whose lines it holds, by class
	withdrawn map[string]bool

	lastArrival time.Time // messages arrive in order
	rejoined    bool
	emptySince  map[string]time.Time
}

// canSend reports whether the proxy has a line for a class that leads to a server.
func (p *proxy) canSend(c class, server, zone string) bool {
	return p.holds[c.name][server] > 0 && !p.withdrawn[server] && (!c.homeOnly || zone == p.zone)
}

// message is what one call sends to one proxy.
type message struct {
	to      *proxy
	size    float64
	apply   []func(p *proxy)
	mark    int
	sentAt  time.Time
	arrives time.Time
}

// relay executes the manager's orders as the protocol page says.
type relay struct {
	address string
	rec     *record
	site    site

	mu        sync.Mutex
	proxies   map[int]*proxy
	tables    map[int]*table
	withdrawn map[string]bool
	listed    map[string]bool
	queue     []*message
	queued    float64
	credit    float64
	traveling []*message
	watchers  map[chan string]bool
	mostQueue float64
	calls     int
}

func newRelay(rec *record, s site) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{address: listener.Addr().String(), rec: rec, site: s, proxies: map[int]*proxy{}, tables: map[int]*table{},
		withdrawn: map[string]bool{}, listed: map[string]bool{}, watchers: map[chan string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/", r.serveCall)
	mux.HandleFunc("GET /v3/kv/stream", r.serveStream)
	go (&http.Server{Handler: mux, IdleTimeout: 10 * time.Second}).Serve(listener)
	go r.runChannel()
	return r, nil
}

// join joins a proxy that holds a standing table.
func (r *relay) join(id int, zone string, standing []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &proxy{id: id, zone: zone, joinedAt: time.Now(), bound: map[string]int{}, holds: map[string]map[string]float64{},
		holdsFrom: map[string]int{}, withdrawn: map[string]bool{}, emptySince: map[string]time.Time{}}
	for _, c := range r.site.classes {
		p.bound[c.name] = noTable
		p.holdsFrom[c.name] = noTable
		p.holds[c.name] = map[string]float64{}
		for _, server := range standing {
			p.holds[c.name][server] = 1
		}
	}
	r.proxies[id] = p
	r.publish(joined(p))
}

func joined(p *proxy) string {
	fresh := 1
	if p.rejoined {
		fresh = 0
	}
	return fmt.Sprintf("event: joined\ndata: id=%d&site=%s&rps=%.1f&new=%d\n\n", p.id, p.zone, requestsPerProxy, fresh)
}

// publish sends news to all that have asked for it. The caller holds the lock.
func (r *relay) publish(news string) {
	for w := range r.watchers {
		select {
		case w <- news:
		default:
		}
	}
}

func (r *relay) serveStream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	news := make(chan string, 65536)
	r.mu.Lock()
	opening := ""
	for _, p := range r.proxies {
		opening += joined(p)
	}
	r.watchers[news] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, news)
	}()
	io.WriteString(w, opening)
	flusher.Flush()
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		text := ":\n"
		select {
		case <-request.Context().Done():
			return
		case text = <-news:
		case <-heartbeat.C:
		}
		if _, err := io.WriteString(w, text); err != nil || flusher.Flush() != nil {
			return
		}
	}
}

func (r *relay) serveCall(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, 1<<20))
	form, formErr := url.ParseQuery(string(body))
	if err != nil || formErr != nil || form.Get("Action") != "CommitChanges" {
		fmt.Fprint(w, `<?xml version="1.0"?><Response><error>SYNTAX</error></Response>`)
		return
	}
	orders := strings.Split(form.Get("orders"), ";")
	taken := r.execute(orders)
	fmt.Fprintf(w, "<?xml version=\"1.0\"?>\n<Response><items><item><taken>%d</taken></item></items></Response>\n", taken)
}

// execute executes the orders of a call up to the first that it can't use, and returns how many it took.
func (r *relay) execute(orders []string) (taken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	messages := map[int]*message{}
	for _, order := range orders {
		if !r.executeOne(strings.Split(order, ","), messages) {
			break
		}
		taken++
	}
	r.rec.write("call %d: taken %d of %d: %s", r.calls, taken, len(orders), strings.Join(orders, ";"))
	now := time.Now()
	for id := range r.site.proxies() {
		m := messages[id]
		if m == nil {
			continue
		}
		m.size += messageOverhead
		m.sentAt = now
		r.queued += m.size
		r.queue = append(r.queue, m)
	}
	r.mostQueue = max(r.mostQueue, r.queued)
	return taken
}

func (r *relay) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = &table{lines: map[string]float64{}, levels: map[string]string{}}
	}
	return r.tables[number]
}

// add adds an order to the message to a proxy.
func add(messages map[int]*message, p *proxy, lines int, apply func(p *proxy)) {
	m := messages[p.id]
	if m == nil {
		m = &message{to: p, mark: -1}
		messages[p.id] = m
	}
	m.size += float64(lines)
	m.apply = append(m.apply, apply)
}

// usersOf returns the proxies that are bound to a table for some class.
func (r *relay) usersOf(number int) (users []*proxy) {
	for _, p := range r.proxies {
		for _, bound := range p.bound {
			if bound == number {
				users = append(users, p)
				break
			}
		}
	}
	return users
}

// mayHold reports whether a proxy holds, or will hold, a line for a server.
func (r *relay) mayHold(p *proxy, server string) bool {
	for name, bound := range p.bound {
		if p.holds[name][server] > 0 || bound != noTable && r.table(bound).lines[server] > 0 {
			return true
		}
	}
	return false
}

func (r *relay) executeOne(words []string, messages map[int]*message) bool {
	number := func(i int) int {
		if i >= len(words) {
			return -1
		}
		n, err := strconv.Atoi(words[i])
		if err != nil {
			return -1
		}
		return n
	}
	switch words[0] {
	case "share":
		weight, err := strconv.ParseFloat(words[3], 64)
		id, server := number(1), words[2]
		if err != nil || weight < 0 || id < 0 || !r.listed[server] {
			return false
		}
		t := r.table(id)
		t.lines[server] = weight
		if weight == 0 {
			delete(t.lines, server)
		}
		for _, p := range r.usersOf(id) {
			add(messages, p, 1, func(p *proxy) { p.setLine(id, server, weight) })
		}
	case "admit":
		r.table(number(1)).levels[words[2]] = words[3] + "," + words[4]
		for _, p := range r.usersOf(number(1)) {
			add(messages, p, 1, func(*proxy) {})
		}
	case "bind":
		p, id := r.proxies[number(1)], number(2)
		if p == nil || id < 0 {
			return false
		}
		t := r.table(id)
		lines := maps.Clone(t.lines)
		withdrawn := maps.Clone(r.withdrawn)
		size := 1 + len(lines) + len(t.levels)
		for server := range lines {
			if withdrawn[server] {
				size++
			}
		}
		classes := strings.Split(words[3], "+")
		for _, c := range r.site.classes {
			if words[3] == "*" || contains(classes, c.name) {
				p.bound[c.name] = id
			}
		}
		add(messages, p, size, func(p *proxy) {
			p.withdrawn = maps.Clone(withdrawn)
			for _, c := range r.site.classes {
				if words[3] == "*" || contains(classes, c.name) {
					p.holds[c.name] = maps.Clone(lines)
					p.holdsFrom[c.name] = id
				}
			}
		})
	case "withdraw", "restore":
		server, out := words[1], words[0] == "withdraw"
		if !r.listed[server] {
			return false
		}
		delete(r.withdrawn, server)
		if out {
			r.withdrawn[server] = true
		}
		for _, p := range r.proxies {
			if r.mayHold(p, server) {
				add(messages, p, 1, func(p *proxy) {
					delete(p.withdrawn, server)
					if out {
						p.withdrawn[server] = true
					}
				})
			}
		}
	case "mark":
		if number(2) == 1 {
			for _, p := range r.proxies {
				add(messages, p, 0, func(*proxy) {})
			}
		}
		for _, m := range messages {
			m.mark = number(1)
			m.size++
		}
	default:
		return false
	}
	return true
}

// setLine sets a line of a table that the proxy holds.
func (p *proxy) setLine(id int, server string, weight float64) {
	for name, from := range p.holdsFrom {
		if from != id {
			continue
		}
		p.holds[name][server] = weight
		if weight == 0 {
			delete(p.holds[name], server)
		}
	}
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

// runChannel sends the messages that wait at the channel's pace, and delivers those that travel, in order for each proxy.
func (r *relay) runChannel() {
	random := rand.New(rand.NewPCG(52, 2))
	last := time.Now()
	for range time.Tick(2 * time.Millisecond) {
		r.mu.Lock()
		now := time.Now()
		r.credit = min(r.credit+commandsPerSecond*now.Sub(last).Seconds(), commandsPerSecond/20)
		last = now
		for len(r.queue) > 0 && r.credit >= min(r.queue[0].size, commandsPerSecond/20) {
			m := r.queue[0]
			r.queue = r.queue[1:]
			r.credit -= m.size
			r.queued -= m.size
			transit := 100*time.Millisecond + time.Duration(random.Float64()*236)*time.Millisecond // 218 ms on average
			m.arrives = now.Add(transit)
			if m.arrives.Before(m.to.lastArrival) {
				m.arrives = m.to.lastArrival
			}
			m.to.lastArrival = m.arrives
			r.traveling = append(r.traveling, m)
		}
		kept := r.traveling[:0]
		for _, m := range r.traveling {
			if r.proxies[m.to.id] != m.to {
				continue // its stream has broken
			}
			if m.arrives.After(now) {
				kept = append(kept, m)
				continue
			}
			for _, apply := range m.apply {
				apply(m.to)
			}
			if m.mark >= 0 {
				r.publish(fmt.Sprintf("event: applied\ndata: id=%d&seq=%d&ms=%.1f\n\n", m.to.id, m.mark,
					float64(now.Sub(m.sentAt).Microseconds())/1000))
			}
		}
		r.traveling = kept
		r.mu.Unlock()
	}
}

// managerDied forgets what the manager has ordered. The proxies keep what they hold, and are no longer joined.
func (r *relay) managerDied() (left []*proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables = map[int]*table{}
	r.withdrawn = map[string]bool{}
	r.queue = nil
	r.queued = 0
	for id := range r.site.proxies() {
		if p := r.proxies[id]; p != nil {
			left = append(left, p)
			delete(r.proxies, id)
		}
	}
	return left
}

// rejoin joins a proxy that has dialled again, with what it holds.
func (r *relay) rejoin(old *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &proxy{id: old.id, zone: old.zone, joinedAt: time.Now(), rejoined: true, bound: map[string]int{}, holds: old.holds,
		holdsFrom: map[string]int{}, withdrawn: old.withdrawn, emptySince: map[string]time.Time{}}
	for _, c := range r.site.classes {
		p.bound[c.name] = noTable
		p.holdsFrom[c.name] = noTable
	}
	r.proxies[p.id] = p
	r.publish(joined(p))
}
