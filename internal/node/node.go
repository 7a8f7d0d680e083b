// Package node is the manager around the balancer: it receives and decodes messages, hands them to the balancer, and
// encodes the balancer's commands and sends them to the relay. It carries and never decides.
//
// Goroutines: the router owns the balancer and handles all inputs; the relay client makes the calls; the receiver's
// goroutines read collectors, the relay's events, discovery's watch and health checks; a decoder pool decodes
// collectors' lines on several cores; a store writer saves versions and the endpoint list. All of them end with the
// context of the Node's lifetime.
package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/logging"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// Node is one manager. It serves while Run runs; its fields belong to the goroutine that calls Run, and each part says
// what others may call.
type Node struct {
	config            config.Config
	startedAt         time.Time
	initialList       endpointList
	metrics           *metrics
	logWriter         *logging.AsyncWriter
	decoder           *decoder
	decoderPool       *decoderPool // nil: each connection decodes its own lines
	router            *router
	relay             *relayClient
	store             *store.Store // nil: the settings name none
	watchState        *watchState
	proxyEvents       *upstream      // the relay's event stream; replaced by a reload
	endpointWatch     *upstream      // discovery's watch; replaced by a reload
	operatorListeners []net.Listener // closed at the end
	readiness         readiness
	lifetime          context.Context // of all goroutines of the manager
	cancelLifetime    context.CancelFunc
}

// New makes a manager from a checked configuration. It logs to a writer. It opens the store, and listens nowhere: Run
// does. An error names the key of the configuration that is at fault.
func New(start config.Config, log io.Writer) (*Node, error) {
	n := &Node{config: start, startedAt: time.Now()}
	limits := start.Limits
	logFormatter := logging.NewFormatWriter(start.LogFormat, log)
	n.logWriter = logging.NewAsyncWriter(logFormatter, limits.MaxQueuedLogLines, func() { n.metrics.add(logDropped, 1) })
	n.metrics = newMetrics(limits.LogInterval, logging.New(n.logWriter, start.LogLevel))
	n.lifetime, n.cancelLifetime = context.WithCancel(context.Background())
	n.readiness.startedAt = n.startedAt
	n.readiness.timeout = limits.MaxReadyDelay
	n.decoder = newDecoder(start.Balancer, start.ClassNames, n.startedAt, limits)
	list, _, err := n.decoder.parseList(start.CachedEndpointList)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	n.initialList = list
	n.router = newRouter(start, n.startedAt, n.metrics)
	if start.Spill > 0 {
		n.router.subsetFilter = newSubsetFilter(start)
	}
	if err := n.openStore(); err != nil {
		return nil, err
	}
	n.watchState = newWatchState(n.initialList.generation, n.startedAt)
	if start.TablesAddress != "" {
		keys, err := readKeys(start.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		n.router.feed = newFeed(keys, max(minReplicas, limits.Sockets/2), n.metrics)
	}
	return n, nil
}

// minReplicas is how many replicas of tables a manager serves at least.
const minReplicas = 16

func newRouter(start config.Config, startedAt time.Time, m *metrics) *router {
	return &router{
		limits:        start.Limits,
		startedAt:     startedAt,
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

// openStore opens the store, if the settings name one, and continues the chain of versions from its contents.
func (n *Node) openStore() error {
	epoch := uint64(n.startedAt.UnixMilli())
	stored := store.Contents{}
	if path := n.config.StorePath; path != "" {
		var err error
		n.store, stored, err = store.Open(path, epoch, store.DefaultLimits(), nil)
		if err != nil {
			return fmt.Errorf("store: %s: %w", path, err)
		}
		epoch = n.store.Epoch()
		n.router.storeWriter = newStoreWriter(n.store, stored, n.metrics, n.lifetime.Done())
		n.useStoredList(stored.ServerList)
	}
	settings := versions.DefaultSettings(epoch)
	settings.StartedAt = n.startedAt
	settings.MaxCommands = max(1, int(n.config.Balancer.QueueCapacity))
	n.router.chain = versions.New(settings)
	n.router.chain.Recover(recoverVersions(stored))
	n.initialList.entries = versions.ApplyStoredDrains(n.initialList.entries, stored.Drains, n.startedAt)
	return nil
}

// useStoredList begins with the stored endpoint list in place of the configured one, where it is the later one. An
// invalid stored list is ignored.
func (n *Node) useStoredList(kept store.ServerList) {
	if versions.StoredListIsNewer(n.initialList.generation, kept.Generation, len(kept.Entries)) {
		stored, _, err := n.decoder.checkList(kept.Generation, true, instancesOf(kept.Entries))
		if err == nil {
			n.initialList = stored
			n.initialList.stored = true
			return
		}
		n.metrics.logEvent("stored_list_ignored", "version", kept.Generation, "error", err)
	}
}

// readiness tells whether a manager may be used: once the relay's event stream has opened, or after a timeout without.
// Guards against a restart that is never ready because the relay is out of reach: what is known serves until it is back.
// It is safe for concurrent use.
type readiness struct {
	relayOpened atomic.Bool
	startedAt   time.Time
	timeout     time.Duration
}

func (r *readiness) noteRelayOpened() { r.relayOpened.Store(true) }

func (r *readiness) ready() bool {
	return r.relayOpened.Load() || time.Since(r.startedAt) >= r.timeout
}
