// Package node implements the manager process around the balancer. It receives and decodes messages, passes them to the
// balancer, and encodes the balancer's commands and sends them to the relay. It makes no load balancing decisions.
//
// Goroutines: the router owns the balancer and handles all inputs; the relay client makes the calls to the relay; the
// receiver's goroutines read from the collectors, the relay's event stream and discovery's watch, and make the health
// checks; the decoder pool decodes the collectors' lines on several cores; the store writer saves versions and the
// endpoint list. All of them end with the context of the Node's lifetime.
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

// Node is a manager. It serves during Run. Its fields belong to the goroutine that calls Run; the types of the fields
// document what other goroutines may call.
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
	store             *store.Store // nil: not configured
	watchState        *watchState
	proxyEvents       *upstream      // the relay's event stream; replaced by a reload
	endpointWatch     *upstream      // discovery's watch; replaced by a reload
	operatorListeners []net.Listener // closed at shutdown
	readiness         readiness
	lifetime          context.Context // for all goroutines of the manager
	cancelLifetime    context.CancelFunc
}

// New creates a manager from a valid configuration. The manager writes its log to log. New opens the store; Run opens the
// listeners. An error names the configuration key that caused it.
func New(cfg config.Config, log io.Writer) (*Node, error) {
	n := &Node{config: cfg, startedAt: time.Now()}
	limits := cfg.Limits
	logFormatter := logging.NewFormatWriter(cfg.LogFormat, log)
	n.logWriter = logging.NewAsyncWriter(logFormatter, limits.MaxQueuedLogLines, func() { n.metrics.add(logDropped, 1) })
	n.metrics = newMetrics(limits.LogInterval, logging.New(n.logWriter, cfg.LogLevel))
	n.lifetime, n.cancelLifetime = context.WithCancel(context.Background())
	n.readiness.startedAt = n.startedAt
	n.readiness.timeout = limits.MaxReadyDelay
	n.decoder = newDecoder(cfg.Balancer, cfg.ClassNames, n.startedAt, limits)
	list, _, err := n.decoder.parseList(cfg.CachedEndpointList)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	n.initialList = list
	n.router = newRouter(cfg, n.startedAt, n.metrics)
	if cfg.Spill > 0 {
		n.router.subsetFilter = newSubsetFilter(cfg)
	}
	if err := n.openStore(); err != nil {
		return nil, err
	}
	n.watchState = newWatchState(n.initialList.version, n.startedAt)
	if cfg.TablesAddress != "" {
		keys, err := readKeys(cfg.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		n.router.feed = newFeed(keys, max(minReplicas, limits.Sockets/2), n.metrics)
	}
	return n, nil
}

// minReplicas is the minimum number of replicas that a manager accepts, however few sockets it may open.
const minReplicas = 16

func newRouter(cfg config.Config, startedAt time.Time, m *metrics) *router {
	return &router{
		limits:        cfg.Limits,
		startedAt:     startedAt,
		manager:       balancer.New(cfg.Seed, cfg.Balancer),
		inputs:        make(chan input, cfg.Limits.MaxQueuedInputs),
		backlog:       newBacklog(cfg.Limits.MaxQueuedCalls, m),
		healthChecks:  make(chan healthCheckTarget, cfg.Limits.MaxQueuedHealthChecks),
		listRequested: make(chan struct{}, 1),
		metrics:       m,
		proxies:       map[balancer.ProxyID]bool{},
		unconfirmed:   map[balancer.ProxyID]bool{},
		addresses:     map[balancer.ServerID]string{},
	}
}

// openStore opens the store, if one is configured, and creates the chain of versions from its contents. Without a store
// the chain starts empty.
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

// useStoredList replaces the configured endpoint list by the stored one if that is newer. An invalid stored list is
// ignored.
func (n *Node) useStoredList(list store.ServerList) {
	if versions.StoredListIsNewer(n.initialList.version, list.Generation, len(list.Entries)) {
		stored, _, err := n.decoder.checkList(list.Generation, true, fromStoreEntries(list.Entries))
		if err == nil {
			n.initialList = stored
			n.initialList.stored = true
			return
		}
		n.metrics.logEvent("stored_list_ignored", "version", list.Generation, "error", err)
	}
}

// readiness tracks whether a manager is ready: once the relay's event stream has opened, or after a timeout. Without the
// timeout, a manager that restarts while the relay is unreachable would never become ready, although it can serve with
// the state that it has. It is safe for concurrent use.
type readiness struct {
	relayOpened atomic.Bool
	startedAt   time.Time
	timeout     time.Duration
}

func (r *readiness) noteRelayOpened() { r.relayOpened.Store(true) }

func (r *readiness) ready() bool {
	return r.relayOpened.Load() || time.Since(r.startedAt) >= r.timeout
}
