package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"tamarindshore/internal/config"
)

// Signals are the operating system signals that a running manager handles. Each kind has a channel of its own, so that a
// pending signal of one kind does not displace another kind.
type Signals struct {
	Reload      <-chan os.Signal // requests to reread the configuration
	LogCounters <-chan os.Signal // requests to log the counters
}

// Run listens and serves until ctx ends, and then returns nil. At each Reload signal it calls reread for the current
// configuration. It returns an error if it cannot listen; the error names the setting or the address.
func (n *Node) Run(ctx context.Context, signals Signals, reread func() (config.Config, error)) error {
	limits := n.config.Limits
	runtime.GOMAXPROCS(limits.Cores)
	n.router.flushLog = func() { n.logWriter.Shutdown(limits.LogFlushTimeout) }
	defer n.router.flushLog()
	debug.SetMemoryLimit(limits.Memory / 2) // half, because the heap exceeds the limit while the garbage collector lags
	listener, err := listen(ctx, n.config.Listen, limits)
	if ctx.Err() != nil { // asked to stop during the start
		if err == nil {
			listener.Close()
		}
		return nil
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()
	defer n.cancelLifetime()
	r := n.newReceiver()
	n.startGoroutines(r, listener)
	if err := n.startOperatorListeners(); err != nil {
		return err
	}
	n.metrics.logEvent("start", "name", n.config.Name, "listen", n.config.Listen, "version", n.initialList.version,
		"servers", len(n.initialList.entries), "shards", limits.Shards)
	n.serveSignals(ctx, r, signals, reread)
	n.shutDown(r, listener)
	return nil
}

// serveSignals handles signals until ctx ends.
func (n *Node) serveSignals(ctx context.Context, r *receiver, signals Signals, reread func() (config.Config, error)) {
	reader := newConfigReader(reread, n.config.Limits)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-signals.LogCounters:
			n.metrics.logCounters("counters")
		case <-signals.Reload:
			reader.reload()
		case <-reader.retry:
			reader.request()
		case read := <-reader.results:
			valid := n.reload(r, read.config, read.err)
			reader.finish(valid)
		}
	}
}

// shutDown stops all goroutines, and waits for a limited time until all queued data is stored.
func (n *Node) shutDown(r *receiver, listener net.Listener) {
	n.cancelLifetime()
	listener.Close()
	r.closeConns()
	n.closeOperatorListeners()
	n.awaitStore()
	n.metrics.logCounters("end")
}

// newReceiver creates the receiver, with a decoder pool if the configuration has several shards.
func (n *Node) newReceiver() *receiver {
	limits := n.config.Limits
	r := &receiver{
		limits:  limits,
		decoder: n.decoder,
		inputs:  n.router.inputs,
		stop:    n.lifetime.Done(),
		metrics: n.metrics,
		isReady: n.readiness.ready,
		jitter:  rand.New(rand.NewPCG(n.config.Seed, uint64(len(n.config.Name)))),
	}
	if limits.Shards > 1 {
		n.router.sampleQueue = newSampleQueue(limits.MaxQueuedInputs, n.metrics)
		n.decoderPool = newDecoderPool(r, n.router.sampleQueue, limits.Sharding)
		r.decoderPool = n.decoderPool
	}
	return r
}

// Paths at which servers answer health checks.
const (
	alivePath = "/alive"
	loadPath  = "/metrics/load"
)

// startGoroutines starts the goroutines that receive, process and send messages. The router's first input is the initial endpoint list.
func (n *Node) startGoroutines(r *receiver, listener net.Listener) {
	limits := n.config.Limits
	n.router.onProxyEventsOpened = n.readiness.noteRelayOpened
	if n.decoderPool != nil {
		go n.decoderPool.runAssignerClock()
	}
	n.initialList.snapshot = true
	n.initialList.complete = true
	n.router.inputs <- n.initialList
	n.initialList.instances = nil // the router has them; a second reference would keep this large list in memory
	go n.router.run(n.lifetime.Done())
	n.relay = newRelayClient(limits, n.config.Relay, n.config.ClassNames, n.router.backlog, r)
	go n.relay.run()
	n.proxyEvents = newUpstream(n.lifetime, n.config.Relay)
	n.endpointWatch = newUpstream(n.lifetime, n.config.Discovery)
	go r.runProxyEvents(n.proxyEvents)
	go n.runWatch(r, n.endpointWatch, false)
	path := alivePath
	if n.config.ServersReportLoad {
		path = loadPath
	}
	for range limits.MaxOpenHealthChecks {
		go r.runHealthChecks(n.router.healthChecks, path)
	}
	go r.acceptLoop(listener)
}

// startOperatorListeners starts the listeners that the operator's settings configure. An error names the setting's key.
func (n *Node) startOperatorListeners() error {
	if address := n.config.TablesAddress; address != "" {
		listener, err := n.router.feed.listen(address, n.lifetime.Done())
		if err != nil {
			return fmt.Errorf("tables: %w", err)
		}
		n.operatorListeners = append(n.operatorListeners, listener)
	}
	if path := n.config.AdminSocket; path != "" {
		if err := n.startAdmin(path); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	if address := n.config.StatusAddress; address != "" {
		if err := n.startStatus(address); err != nil {
			return fmt.Errorf("status: %w", err)
		}
	}
	return nil
}

// closeOperatorListeners closes the operator's listeners, so that a new process can listen at the addresses at once.
func (n *Node) closeOperatorListeners() {
	for _, listener := range n.operatorListeners {
		listener.Close()
	}
}

// awaitStore waits, up to LogFlushTimeout, until all data that is queued for the store is saved.
func (n *Node) awaitStore() {
	if n.router.storeWriter == nil {
		return
	}
	select {
	case <-n.router.storeWriter.done:
	case <-time.After(n.config.Limits.LogFlushTimeout):
	}
}
