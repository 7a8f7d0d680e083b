package fakes

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// admissionLevel is the admission limit of some traffic classes in a table, and their retry policy.
type admissionLevel struct {
	amount      float64
	retryPolicy int // 0: no retry, 1: retry if not executed, 2 or 3: maximum number of attempts
}

// table is a weighted server table and the proxies that are assigned to it.
type table struct {
	weights map[string]float64        // by server ID
	levels  map[string]admissionLevel // by list of classes, as sent
	proxies map[int]*proxy
}

// hasUsableServer reports whether the table contains a server that is not withdrawn.
func (t *table) hasUsableServer(withdrawn map[string]bool) bool {
	for server := range t.weights {
		if !withdrawn[server] {
			return true
		}
	}
	return false
}

// noTable is the table number of a proxy that is not assigned to a table.
const noTable = -1

// proxy is one incarnation of a connected proxy. A proxy that reconnects is a new incarnation.
type proxy struct {
	id              int
	zone            string
	requestRate     float64     // per second
	table           int         // number of its table, or noTable
	emptySince      time.Time   // since when it has had no usable server; zero if it has one
	messageTimes    []time.Time // send times of the messages within the site's MessageWindow
	messagesApplied int
}

// message is the data that one call sends to one proxy. Messages leave the channel in the order of their calls.
type message struct {
	to        *proxy
	size      float64  // in commands, including the site's MessageOverhead
	barriers  []int    // barrier numbers to acknowledge
	assigns   bool     // whether it assigns the proxy to a table
	withdrawn []string // servers that it withdraws
	sentAt    time.Time
}

const (
	defaultAnswerDelay = 100 * time.Millisecond
	relayIdleTimeout   = 10 * time.Second
)

// Relay executes commands for the connected proxies at the rate of its channel and keeps the state of the proxies. The
// exported function fields are called with its lock held; set them before the first call or with Configure. Its methods
// are safe for concurrent use.
type Relay struct {
	Address     string
	InjectFault func(call int) Fault // chooses the fault of the n-th call
	AnswerDelay time.Duration        // delay of the answer to a call with the fault AnswerDelayed
	OnCommand   func(at time.Time, kind, subject string)
	Rules       *RuleChecker

	site Site

	mu          sync.Mutex
	proxies     map[int]*proxy
	tables      map[int]*table
	withdrawn   map[string]bool
	registered  map[string]bool // IDs of all servers that discovery has ever listed
	watchers    map[chan event]bool
	unavailable bool

	// The channel sends queued messages at a limited rate.
	queue          []message
	queuedCommands float64 // total size of the queued messages, in commands
	credit         float64 // commands that may be sent now
	speed          float64 // multiple of the site's CommandsPerSecond

	calls        int
	faults       [faultCount]int
	accepted     int
	rejected     int
	stateChanges int
	// unanswered holds the commands of the last executed call if the caller got no answer to it, else nothing.
	// The value of an assignment is the proxy incarnation that it assigned, that of any other command is nil.
	unanswered map[string]*proxy

	server    *http.Server
	closed    chan struct{}
	closeOnce sync.Once
}

// NewRelay starts a relay that listens on an address and sends at the rate of the site's channel.
func NewRelay(address string, site Site) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start the relay on %s: %w", address, err)
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

// Close stops the relay and closes all connections to it.
func (r *Relay) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
	r.server.Close()
}

// Configure changes the exported fields with the lock held, so that it is safe while calls are in progress.
func (r *Relay) Configure(change func(r *Relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// RegisterServers registers servers that discovery has listed. The relay rejects commands about unregistered servers.
func (r *Relay) RegisterServers(endpoints ...Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, endpoint := range endpoints {
		r.registered[endpoint.ID] = true
	}
}

// SetChannelSpeed sets the speed of the channel as a multiple of the site's CommandsPerSecond.
func (r *Relay) SetChannelSpeed(multiple float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed = multiple
}

// SetUnavailable makes the relay refuse calls and event streams, or accept them again. It closes all open event streams.
func (r *Relay) SetUnavailable(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = on
	for watcher := range r.watchers {
		delete(r.watchers, watcher)
		close(watcher)
	}
}

// ConnectProxies connects proxies without a table and publishes the events. A proxy that is already connected is replaced
// by a new incarnation.
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

// DisconnectProxies disconnects proxies and publishes the events.
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

// remove removes a proxy and the messages that are queued for it. The caller holds the lock.
func (r *Relay) remove(p *proxy) {
	delete(r.proxies, p.id)
	if t := r.tables[p.table]; t != nil {
		delete(t.proxies, p.id)
	}
	r.queue = slices.DeleteFunc(r.queue, func(m message) bool {
		if m.to != p {
			return false
		}
		r.queuedCommands -= m.size
		r.Rules.withdrawalsApplied(time.Now(), m.withdrawn)
		return true
	})
}
