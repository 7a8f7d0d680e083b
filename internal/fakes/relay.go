package fakes

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

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
	Address     string
	InjectFault func(call int) Fault // what becomes of the n-th call
	AnswerDelay time.Duration
	OnCommand   func(at time.Time, kind, about string) // each order taken, by its kind and the proxy or server that it is about
	Rules       *RuleChecker

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
	// unanswered holds the commands of the last call that was executed without an answer. A command that assigns a
	// proxy has the incarnation of the proxy that it reached, each other command nil.
	unanswered map[string]*proxy
	server     *http.Server
	over       chan struct{}
	once       sync.Once
	away       bool
}

// NewRelay listens at an address and sends by the site's pace.
func NewRelay(address string, site Site) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), site: site, InjectFault: func(int) Fault { return NoFault }, AnswerDelay: 100 * time.Millisecond,
		OnCommand: func(time.Time, string, string) {}, Rules: NewRuleChecker(site), proxies: map[int]*proxy{}, tables: map[int]*table{},
		pulled: map[string]bool{}, listed: map[string]bool{}, news: map[chan string]bool{}, unanswered: map[string]*proxy{}, pace: 1,
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
func (r *Relay) Configure(change func(r *Relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// Knows names servers that discovery told.
func (r *Relay) RegisterServers(entries ...Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.listed[e.ID] = true
	}
}

// Pace makes the channel so many times as quick as stated.
func (r *Relay) SetChannelSpeed(by float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = by
}

// Away makes it end all connections and take none, or come back.
func (r *Relay) SetUnavailable(on bool) {
	r.mu.Lock()
	r.away = on
	for n := range r.news {
		delete(r.news, n)
		close(n)
	}
	r.mu.Unlock()
}

// Join joins proxies, and tells the news.
func (r *Relay) ConnectProxies(ids ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		if old := r.proxies[id]; old != nil {
			r.drop(old)
		}
		p := &proxy{id: id, zone: r.site.Zone(id), rate: r.site.RequestRate, table: -1, joined: now, bareAt: now}
		r.proxies[id] = p
		r.tell(joinedEvent(p))
	}
}

// Leave lets proxies leave, and tells the news.
func (r *Relay) DisconnectProxies(ids ...int) {
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
