// Package node is the real manager round the decision module: it receives and decodes messages, hands them to the
// module, encodes its orders and sends them to the relay. It carries and never decides. This file owns the start, the
// end and how the stages are joined; it must never do a stage's work.
package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
	"tamarindshore/internal/config"
	"tamarindshore/internal/logging"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// Node is one manager; it serves once it is run.
type Node struct {
	start             config.Config
	operatorListeners []io.Closer // listeners of the operator's
	store             *store.Store
	initialList       endpointList
	startedAt         time.Time
	decoderPool       *decoderPool
	decoder           *decoder
	metrics           *metrics
	logWriter         *logging.AsyncWriter
	router            *router
	relay             *relayClient
	lifetime          context.Context
	cancelLifetime    context.CancelFunc
	watchState        *watchState
	proxyEvents       *upstream
	endpointWatch     *upstream

	readiness readiness
}

// New checks what is left to check and makes the manager, which logs to a writer; nothing listens yet.
func New(start config.Config, log io.Writer) (*Node, error) {
	limits, born := start.Limits, time.Now()
	n := &Node{start: start, startedAt: born}
	n.logWriter = logging.NewAsyncWriter(logging.NewFormatWriter(start.LogFormat, log), limits.MaxQueuedLogLines, func() { n.metrics.add(logDropped, 1) })
	n.metrics = newMetrics(limits.LogInterval, logging.New(n.logWriter, start.LogLevel))
	n.lifetime, n.cancelLifetime = context.WithCancel(context.Background())
	n.readiness.startedAt, n.readiness.timeout = born, limits.MaxReadyDelay
	n.decoder = newDecoder(start.Balancer, start.ClassNames, born, limits)
	known, _, err := n.decoder.parseList(start.CachedEndpointList)
	if err != nil {
		return nil, fmt.Errorf("known: %v", err)
	}
	n.initialList = known
	n.router = newRouter(start, born, n.metrics)
	if start.Spill > 0 {
		n.router.subsetFilter = newSubsetFilter(start)
	}
	if err := n.openStore(); err != nil {
		return nil, err
	}
	n.watchState = newWatchState(n.initialList.generation, born)
	if start.TablesAddress != "" {
		keys, err := readKeys(start.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("keys: %v", err)
		}
		n.router.feed = newFeed(keys, max(minReplicas, limits.Sockets/2), n.metrics)
	}
	return n, nil
}

// minReplicas is how many holders of tables a manager serves at least.
const minReplicas = 16

func newRouter(start config.Config, born time.Time, m *metrics) *router {
	return &router{
		limits:        start.Limits,
		startedAt:     born,
		manager:       balancer.New(start.Seed, start.Balancer),
		inputs:        make(chan input, start.Limits.MaxQueuedInputs),
		backlog:       newBacklog(start.Limits.MaxQueuedCalls, m),
		healthChecks:  make(chan healthCheckTarget, start.Limits.MaxQueuedHealthChecks),
		listRequested: make(chan struct{}, 1),
		metrics:       m,
		proxies:       map[balancer.ProxyID]bool{},
		unconfirmed:   map[balancer.ProxyID]bool{},
		addresses:     map[balancer.ServerID]string{},
	}
}

// openStore opens the store, if the settings name one, and continues the chain of versions from what it kept.
func (n *Node) openStore() error {
	epoch, kept := uint64(n.startedAt.UnixMilli()), store.Contents{}
	if path := n.start.StorePath; path != "" {
		var err error
		if n.store, kept, err = store.Open(path, epoch, store.DefaultLimits(), nil); err != nil {
			return fmt.Errorf("store: %s: %v", path, err)
		}
		epoch = n.store.Epoch()
		n.router.storeWriter = newStoreWriter(n.store, kept, n.metrics, n.lifetime.Done())
		n.useStoredList(kept.ServerList)
	}
	terms := versions.DefaultSettings(epoch)
	terms.StartedAt = n.startedAt
	terms.MaxCommands = max(1, int(n.start.Balancer.QueueCapacity))
	n.router.chain = versions.New(terms)
	n.router.chain.Recover(recoverVersions(kept))
	n.initialList.entries = versions.ApplyStoredDrains(n.initialList.entries, kept.Drains, n.startedAt)
	return nil
}

// useStoredList takes the list that the store kept in place of the one told at the start, where it is the later
// one.
func (n *Node) useStoredList(kept store.ServerList) {
	if versions.StoredListIsNewer(n.initialList.generation, kept.Generation, len(kept.Entries)) {
		stored, _, err := n.decoder.checkList(kept.Generation, true, instancesOf(kept.Entries))
		if err == nil {
			n.initialList = stored
			n.initialList.stored = true
			return
		}
		n.metrics.logEvent("stored_list_left_out", "version", kept.Generation, "error", err)
	}
}

// recoverVersions are the versions and commands of a store, as the chain takes them.
func recoverVersions(kept store.Contents) (old []*versions.Version, done []versions.CompletedCommand) {
	state := tables.EmptyState()
	for _, v := range kept.Versions {
		if v.Snapshot {
			state = tables.EmptyState()
		}
		next, err := state.Apply(v.Ops)
		if err != nil {
			return nil, nil // the store has looked at it; nothing is better than a part
		}
		state = next
		old = append(old, &versions.Version{ID: v.ID, Parent: v.Parent, Digest: v.Digest, CreatedAt: v.CreatedAt, Cause: v.Cause, Layout: v.Layout,
			CommandKey: v.CommandKey, Ops: v.Ops, State: next})
	}
	for _, d := range kept.CompletedCommands {
		done = append(done, versions.CompletedCommand(d))
	}
	slices.SortFunc(done, func(a, b versions.CompletedCommand) int { return a.CompletedAt.Compare(b.CompletedAt) })
	return old, done
}

// Signals ask a running manager for something. Each kind has a channel of its own: guards against one that finds no
// room behind others.
type Signals struct {
	Reload      <-chan os.Signal // to take the file anew
	LogCounters <-chan os.Signal // to log the counters
}

// Run listens and serves until ctx ends.
func (n *Node) Run(ctx context.Context, signals Signals, reread func() (config.Config, error)) error {
	limits := n.start.Limits
	runtime.GOMAXPROCS(limits.Cores)
	n.router.flushLog = func() { n.logWriter.Shutdown(limits.LogFlushTimeout) }
	defer n.router.flushLog()
	debug.SetMemoryLimit(limits.Memory / 2) // the runtime goes over it by what it collects late
	listener, err := listen(ctx, n.start.Listen, limits)
	if ctx.Err() != nil { // asked to end during its start
		if err == nil {
			listener.Close()
		}
		return nil
	}
	if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	defer listener.Close()
	defer n.cancelLifetime()
	r := n.newReceiver()
	n.startStages(r, listener)
	if err := n.startOperatorListeners(); err != nil {
		return err
	}
	n.metrics.logEvent("start", "name", n.start.Name, "listen", n.start.Listen, "version", n.initialList.generation,
		"servers", len(n.initialList.entries), "lanes", limits.Shards)
	n.serve(ctx, r, signals, reread)
	n.cancelLifetime()
	listener.Close()
	r.closeConns()
	n.closeOperatorListeners()
	n.awaitStore()
	n.metrics.logCounters("end")
	return nil
}

// newReceiver makes the receiver, and its hub where several cores are to decode.
func (n *Node) newReceiver() *receiver {
	limits := n.start.Limits
	r := &receiver{
		limits:  limits,
		decoder: n.decoder,
		inputs:  n.router.inputs,
		stop:    n.lifetime.Done(),
		metrics: n.metrics,
		isReady: n.readiness.ready,
		jitter:  rand.New(rand.NewPCG(n.start.Seed, uint64(len(n.start.Name)))),
	}
	if limits.Shards > 1 {
		n.router.sampleQueue = newSampleQueue(limits.MaxQueuedInputs, n.metrics)
		n.decoderPool = newDecoderPool(r, n.router.sampleQueue, limits.Sharding)
		r.decoderPool = n.decoderPool
	}
	return r
}

// Where servers answer a probe.
const (
	alivePath = "/alive"
	loadPath  = "/metrics/load"
)

// startStages starts all that carries messages, with the list that the manager was given as the first input.
func (n *Node) startStages(r *receiver, listener net.Listener) {
	limits := n.start.Limits
	n.router.onProxyEventsOpened = n.readiness.noteRelayOpened
	if n.decoderPool != nil {
		go n.decoderPool.runAssignerClock()
	}
	n.initialList.snapshot = true
	n.initialList.complete = true
	n.router.inputs <- n.initialList
	n.initialList.instances = nil // they are the store's by now, and many
	go n.router.run(n.lifetime.Done())
	n.relay = newRelayClient(limits, n.start.Relay, n.start.ClassNames, n.router.backlog, r)
	go n.relay.run()
	n.proxyEvents = newUpstream(n.lifetime, n.start.Relay)
	n.endpointWatch = newUpstream(n.lifetime, n.start.Discovery)
	go r.runProxyEvents(n.proxyEvents)
	go n.runWatch(r, n.endpointWatch, false)
	path := alivePath
	if n.start.ServersReportLoad {
		path = loadPath
	}
	for range limits.MaxOpenHealthChecks {
		go r.runHealthChecks(n.router.healthChecks, path)
	}
	go r.acceptLoop(listener)
}

// startOperatorListeners starts what the operator's settings name.
func (n *Node) startOperatorListeners() error {
	if address := n.start.TablesAddress; address != "" {
		listener, err := n.router.feed.listen(address, n.lifetime.Done())
		if err != nil {
			return fmt.Errorf("tables: %v", err)
		}
		n.operatorListeners = append(n.operatorListeners, listener)
	}
	if path := n.start.AdminSocket; path != "" {
		if err := n.startAdmin(path); err != nil {
			return fmt.Errorf("admin: %v", err)
		}
	}
	if address := n.start.StatusAddress; address != "" {
		if err := n.startStatus(address); err != nil {
			return fmt.Errorf("status: %v", err)
		}
	}
	return nil
}

// closeOperatorListeners closes them before the end, so that the next process can listen there at once.
func (n *Node) closeOperatorListeners() {
	for _, listener := range n.operatorListeners {
		listener.Close()
	}
}

// awaitStore waits for a short time until what waits for the store is saved.
func (n *Node) awaitStore() {
	if n.router.storeWriter == nil {
		return
	}
	select {
	case <-n.router.storeWriter.done:
	case <-time.After(n.start.Limits.LogFlushTimeout):
	}
}

// readFile is the configuration as it was read anew.
type readFile struct {
	start config.Config
	err   error
}

// serve takes signals until ctx ends. The file is read in a goroutine of its own: guards against an end that waits for
// a file that does not come. A signal meanwhile has it read once more, and a faulty one is read again a few times:
// guards against a signal that comes while the file is being written, after which no other comes.
func (n *Node) serve(ctx context.Context, r *receiver, signals Signals, reread func() (config.Config, error)) {
	files := make(chan readFile, 1)
	reading, readAgain, retriesLeft := false, false, 0
	read := func() {
		readAgain = reading
		if reading {
			return
		}
		reading = true
		go func() {
			start, err := reread()
			files <- readFile{start, err}
		}()
	}
	var retry <-chan time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-signals.LogCounters:
			n.metrics.logCounters("counters")
		case <-signals.Reload:
			retriesLeft = n.start.Limits.ReloadRetries
			read()
		case <-retry:
			read()
		case file := <-files:
			reading = false
			retry = nil
			good := n.reload(r, file.start, file.err)
			switch {
			case readAgain:
				read()
			case !good && retriesLeft > 0:
				retriesLeft--
				retry = time.After(n.start.Limits.ReloadRetryInterval)
			}
		}
	}
}

// readiness tells whether a manager may be used: once the relay's news has opened, or after a while without. Guards
// against a restart that is never done because the relay is out of reach: what is known serves until it is back.
type readiness struct {
	relayOpened atomic.Bool
	startedAt   time.Time
	timeout     time.Duration
}

func (r *readiness) noteRelayOpened() { r.relayOpened.Store(true) }
func (r *readiness) ready() bool      { return r.relayOpened.Load() || time.Since(r.startedAt) >= r.timeout }
