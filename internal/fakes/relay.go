package fakes

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// admissionLevel is what a table admits of some classes, and their attempts.
type admissionLevel struct {
	amount   float64
	attempts int
}

// table is a weighted table that proxies use.
type table struct {
	weights map[string]float64 // by server
	levels  map[string]admissionLevel
	users   map[int]*proxy
}

// hasUsableServer tells whether a table names a server that is not withdrawn.
func (t *table) hasUsableServer(withdrawn map[string]bool) bool {
	for server := range t.weights {
		if !withdrawn[server] {
			return true
		}
	}
	return false
}

// noTable stands in the place of a table's number.
const noTable = -1

// proxy is one incarnation of a connected proxy.
type proxy struct {
	id              int
	zone            string
	requestRate     float64 // per second
	table           int     // noTable until it is assigned
	emptySince      time.Time
	messageTimes    []time.Time // within the site's MessageWindow
	messagesApplied int
}

// message is what one call sends one proxy. It leaves the channel in its turn.
type message struct {
	to        *proxy
	lines     float64
	barriers  []int
	assigns   bool
	withdrawn []string // servers
	sentAt    time.Time
}

const (
	defaultAnswerDelay = 100 * time.Millisecond
	relayIdleTimeout   = 10 * time.Second
)

// Relay executes commands for the proxies that are connected, at the pace of its channel, and keeps what they hold.
// The exported function fields are called under its lock; set them before calls come, or by Configure. All its methods
// may be called at any time.
type Relay struct {
	Address     string
	InjectFault func(call int) Fault // what becomes of the n-th call
	AnswerDelay time.Duration        // of a call with the fault AnswerDelayed
	OnCommand   func(at time.Time, kind, subject string)
	Rules       *RuleChecker

	site Site

	mu          sync.Mutex
	proxies     map[int]*proxy
	tables      map[int]*table
	withdrawn   map[string]bool
	registered  map[string]bool // servers that discovery has ever listed
	watchers    map[chan event]bool
	unavailable bool

	// The channel: messages that wait, their lines, the lines that may be sent now, and its speed (1: as stated).
	queue       []message
	queuedLines float64
	credit      float64
	speed       float64

	calls        int
	faults       [faultCount]int
	accepted     int
	rejected     int
	stateChanges int
	// unanswered holds the commands of the last call that was executed without an answer. A command that assigns a
	// proxy has the incarnation of the proxy that it reached, each other command nil.
	unanswered map[string]*proxy

	server *http.Server
	closed chan struct{}
	once   sync.Once
}

// NewRelay listens at an address and sends at the site's pace.
func NewRelay(address string, site Site) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start the relay: %w", err)
	}
	r := &Relay{
		Address:     listener.Addr().String(),
		InjectFault: func(int) Fault { return NoFault },
		AnswerDelay: defaultAnswerDelay,
		OnCommand:   func(time.Time, string, string) {},
		Rules:       NewRuleChecker(site),
		site:        site,
		proxies:     map[int]*proxy{},
		tables:      map[int]*table{},
		withdrawn:   map[string]bool{},
		registered:  map[string]bool{},
		watchers:    map[chan event]bool{},
		unanswered:  map[string]*proxy{},
		speed:       1,
		closed:      make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+callPath, r.serveCall)
	mux.HandleFunc("GET "+eventsPath, r.serveEvents)
	r.server = &http.Server{Handler: mux, IdleTimeout: relayIdleTimeout}
	go r.server.Serve(listener)
	go r.runChannel()
	return r, nil
}

// Close ends the relay and all connections to it.
func (r *Relay) Close() {
	r.once.Do(func() { close(r.closed) })
	r.server.Close()
}

// Configure changes the exported fields while calls may be under way.
func (r *Relay) Configure(change func(r *Relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// RegisterServers names servers that discovery has listed; commands about others are rejected.
func (r *Relay) RegisterServers(endpoints ...Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, endpoint := range endpoints {
		r.registered[endpoint.ID] = true
	}
}

// SetChannelSpeed sets the speed of the channel as a multiple of the one stated.
func (r *Relay) SetChannelSpeed(multiple float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed = multiple
}

// SetUnavailable breaks all connections and takes none, or has the relay come back.
func (r *Relay) SetUnavailable(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = on
	for watcher := range r.watchers {
		delete(r.watchers, watcher)
		close(watcher)
	}
}

// ConnectProxies connects proxies, each on no table, and sends the events. One that is connected is replaced by a new
// incarnation.
func (r *Relay) ConnectProxies(ids ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		if old := r.proxies[id]; old != nil {
			r.remove(old)
		}
		p := &proxy{id: id, zone: r.site.Zone(id), requestRate: r.site.RequestRate, table: noTable, emptySince: now}
		r.proxies[id] = p
		r.publish(connected(p))
	}
}

// DisconnectProxies disconnects proxies and sends the events.
func (r *Relay) DisconnectProxies(ids ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if p := r.proxies[id]; p != nil {
			r.remove(p)
			r.publish(disconnected(id))
		}
	}
}

// remove forgets a proxy and the messages that wait for it.
func (r *Relay) remove(p *proxy) {
	delete(r.proxies, p.id)
	if t := r.tables[p.table]; t != nil {
		delete(t.users, p.id)
	}
	r.queue = slices.DeleteFunc(r.queue, func(m message) bool {
		if m.to != p {
			return false
		}
		r.queuedLines -= m.lines
		r.Rules.withdrawalsApplied(time.Now(), m.withdrawn)
		return true
	})
}
