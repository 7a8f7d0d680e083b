package node

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/config"
)

var testLimits = config.Limits{
	MaxQueuedInputs: 64, MaxInputBatch: 64, MaxQueuedCalls: 8, MaxCallBytes: 60000, MaxQueuedHealthChecks: 4, MaxOpenHealthChecks: 2, MaxUnidentifiedConns: 3, MaxCollectorConns: 2,
	MaxLineFields: 64, MaxUnidentifiedLineBytes: 64, MaxCollectorLineBytes: 1 << 10, MaxWatchEventBytes: 1 << 10, MaxEndpointListBytes: 1 << 12, MaxResponseBytes: 1 << 10,
	MaxEmptyMessages: 3, MaxRequestsPerSecond: 10000, MaxReportInterval: time.Minute, IdentifyTimeout: time.Minute, CollectorIdleTimeout: time.Minute, ProxyWatchIdleTimeout: time.Minute, EndpointWatchIdleTimeout: time.Minute,
	StreamOpenTimeout: time.Minute, ConnectTimeout: time.Second, WriteTimeout: time.Second, RelayTimeout: time.Minute, HealthCheckTimeout: time.Minute,
	ProcessStallGrace: time.Millisecond, MaxReadyDelay: time.Minute, MaxWatchGap: time.Minute, MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond, LogInterval: time.Hour, MaxQueuedLogLines: 64, LogFlushTimeout: time.Minute,
}

var testSettings = balancer.Settings{
	Zones:        []balancer.ZoneID{"a", "b"},
	Classes:      []balancer.TrafficClass{{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent}},
	HealthChecks: true, AdmissionUnit: balancer.AdmitShare, DefaultRetryPolicy: balancer.RetryIfNotExecuted, ColdCapacity: 0.15, WarmUpDuration: 16 * time.Second,
	QueueCapacity: 1000, CommandsPerSecond: 1000, MessageOverhead: 4, Proxies: 2, IdleTimeout: 15 * time.Second,
}

// testRouter knows proxies 1 and 2 and the servers s-1 and s-2; its clock stands at 10 s.
func testRouter(t *testing.T) *router {
	t.Helper()
	start := config.Config{Limits: testLimits, Seed: 1, Balancer: testSettings}
	r := newRouter(start, time.Now(), newMetrics(time.Hour, zerolog.Nop()))
	r.onProxyEventsOpened = func() {}
	r.handle(endpointList{generation: 1, snapshot: true, entries: []balancer.Endpoint{{Server: "s-1", Zone: "a", Weight: 1}, {Server: "s-2", Zone: "b", Weight: 1}},
		addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:1", "s-2": "127.0.0.1:2"}})
	for p := range balancer.ProxyID(2) {
		r.handle(proxyConnected{p + 1, "a", 5})
	}
	for range 10 {
		r.now += time.Second
		r.apply(r.manager.HandleTimer(r.now))
	}
	r.flush()
	return r
}

// pendingCommands is all that waits for the relay.
func (r *router) pendingCommands() balancer.Commands {
	r.flush()
	return commands.Merge(append([]balancer.Commands{{}}, r.backlog.takeAll()...)...)
}

func assignedProxies(o balancer.Commands) (ids []balancer.ProxyID) {
	for _, b := range o.Assign {
		ids = append(ids, b.Proxy)
	}
	slices.Sort(ids)
	return ids
}

func TestRouterAssignsConnectedProxies(t *testing.T) {
	o := testRouter(t).pendingCommands()
	if got := assignedProxies(o); !slices.Equal(got, []balancer.ProxyID{1, 2}) || len(o.Weights) == 0 || o.Barrier == 0 {
		t.Errorf("%+v", o)
	}
}

// Guards against proxies that left while the event stream was broken and are kept for ever.
func TestProxiesMissingAfterAStreamGapAreDisconnected(t *testing.T) {
	r := testRouter(t)
	r.handle(proxyEventsOpened{})
	r.handle(proxyConnected{2, "a", 5})
	if !r.proxies[1] {
		t.Fatal("disconnected before the snapshot is complete")
	}
	r.handle(proxySnapshotComplete{})
	if r.proxies[1] || !r.proxies[2] || len(r.unconfirmed) > 0 {
		t.Errorf("%v, unseen %v", r.proxies, r.unconfirmed)
	}
}

// Guards against proxies that left and came back in a gap and follow no table.
func TestProxiesPresentAfterAStreamGapAreAssignedAgain(t *testing.T) {
	r := testRouter(t)
	r.pendingCommands()
	r.handle(proxyEventsOpened{})
	r.handle(proxyConnected{1, "a", 5})
	r.handle(proxyConnected{2, "a", 5})
	r.handle(proxySnapshotComplete{})
	r.now += time.Second
	r.apply(r.manager.HandleTimer(r.now))
	if got := assignedProxies(r.pendingCommands()); !slices.Equal(got, []balancer.ProxyID{1, 2}) {
		t.Errorf("assigned %v", got)
	}
}

func TestUnknownNamesAreDropped(t *testing.T) {
	r := testRouter(t)
	before := r.metrics.counts[unknownNames].Load()
	r.handle(loadReport{balancer.LoadReport{Server: "none", Zone: "a", Attempts: 1}})
	r.handle(usageReport{balancer.UsageReport{Proxy: 9, Interval: time.Second}})
	r.handle(proxyDisconnected{9})
	if n := r.metrics.counts[unknownNames].Load() - before; n != 2 {
		t.Errorf("%d counted", n)
	}
}

// Guards against a snapshot without a server that still stands in tables.
func TestSnapshotWithdrawsAbsentServers(t *testing.T) {
	r := testRouter(t)
	r.pendingCommands()
	r.now += time.Second
	r.handle(endpointList{generation: 2, snapshot: true, entries: []balancer.Endpoint{{Server: "s-2", Zone: "b", Weight: 1}}})
	if o := r.pendingCommands(); !slices.Equal(o.Withdraw, []balancer.ServerID{"s-1"}) {
		t.Errorf("%+v", o)
	}
}

func TestResendSkipsDisconnectedProxies(t *testing.T) {
	r := testRouter(t)
	o := r.pendingCommands()
	r.handle(proxyDisconnected{1})
	reply := make(chan resendReply, 1)
	r.handle(resendRequest{o, o.Barrier, true, reply})
	got := <-reply
	if ids := assignedProxies(got.allowed); !slices.Equal(ids, []balancer.ProxyID{2}) || got.deferred.Count() > 0 {
		t.Errorf("%v, rest %+v", ids, got.deferred)
	}
	if got.allowed.Barrier == 0 || got.allowed.Barrier == o.Barrier || len(got.allowed.Weights) != len(o.Weights) {
		t.Errorf("barrier %d after %d", got.allowed.Barrier, o.Barrier)
	}
}

func TestHealthChecksGoToTheNewestAddress(t *testing.T) {
	r := testRouter(t)
	for len(r.healthChecks) > 0 {
		<-r.healthChecks
	}
	r.handle(endpointList{generation: 2, addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:9"}})
	r.apply(balancer.Commands{HealthCheck: []balancer.ServerID{"s-1"}})
	if p := <-r.healthChecks; p.address != "127.0.0.1:9" {
		t.Errorf("%+v", p)
	}
	r.apply(balancer.Commands{HealthCheck: make([]balancer.ServerID, testLimits.MaxQueuedHealthChecks+3)})
	if n := r.metrics.counts[healthChecksDropped].Load(); n < 3 {
		t.Errorf("%d dropped: health checks must not hold up the balancer", n)
	}
}

// Guards against addresses that pile up as servers are replaced, and answers for proxies that are not joined.
func TestAddressesFollowTheBalancer(t *testing.T) {
	r := testRouter(t)
	r.addresses["s-gone"] = "127.0.0.1:3"
	r.handle(endpointList{generation: 2, addresses: map[balancer.ServerID]string{}})
	if len(r.addresses) != 2 {
		t.Errorf("%v", r.addresses)
	}
	before := r.metrics.counts[unknownNames].Load()
	if r.handle(barrierAck{9, 1}); r.metrics.counts[unknownNames].Load() != before+1 {
		t.Error("an answer of a proxy that is not joined is taken")
	}
}

func TestTheEarliestTimerIsKept(t *testing.T) {
	r := testRouter(t)
	r.nextTimer = 0
	r.apply(balancer.Commands{NextTimer: 5 * time.Second})
	r.apply(balancer.Commands{NextTimer: 7 * time.Second})
	r.apply(balancer.Commands{NextTimer: 4 * time.Second})
	if r.nextTimer != 4*time.Second {
		t.Error(r.nextTimer)
	}
}

// Guards against an answer of what was at an address before: it says nothing of the server that has the name now.
func TestAHealthCheckOfAnOldAddressIsIgnored(t *testing.T) {
	r := testRouter(t)
	r.handle(endpointList{generation: 2, entries: []balancer.Endpoint{{Server: "s-1", Zone: "a", Weight: 1}},
		addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:9"}})
	before := r.metrics.counts[healthChecksDropped].Load()
	r.handle(healthCheckResult{server: "s-1", address: "127.0.0.1:1", outcome: balancer.HealthCheckUnreachable})
	if n := r.metrics.counts[healthChecksDropped].Load() - before; n != 1 {
		t.Errorf("%d dropped", n)
	}
	r.handle(healthCheckResult{server: "s-1", address: "127.0.0.1:9", outcome: balancer.HealthCheckPassed})
	if n := r.metrics.counts[healthChecksDropped].Load() - before; n != 1 {
		t.Errorf("%d dropped with that of its address", n)
	}
}

// A proxy that leaves and joins within one batch is assigned again; one whose number comes back in another zone is put on
// that zone's table; one that joins and leaves is not assigned.
func TestIncarnationsOfAProxyWithinOneBatch(t *testing.T) {
	r := testRouter(t)
	r.pendingCommands()
	r.advanceClock()
	for _, in := range []input{proxyDisconnected{1}, proxyConnected{1, "a", 5}, proxyDisconnected{2}, proxyConnected{2, "b", 5}, proxyConnected{3, "a", 5}, proxyDisconnected{3}} {
		r.handle(in)
	}
	for range 3 {
		r.now += time.Second
		r.apply(r.manager.HandleTimer(r.now))
	}
	o := r.pendingCommands()
	tables := map[balancer.ProxyID]balancer.TableID{}
	for _, b := range o.Assign {
		tables[b.Proxy] = b.Table
	}
	if len(tables) != 2 || tables[1] == tables[2] {
		t.Errorf("%+v", o.Assign)
	}
}

// Guards against an acknowledgement of a barrier by who left and came back meanwhile, or was never there, that takes commands off the
// books that have not left.
func TestABarrierAckOfADisconnectedProxyIsIgnored(t *testing.T) {
	r := testRouter(t)
	r.handle(proxyDisconnected{1})
	r.handle(barrierAck{1, 1})
	r.handle(barrierAck{7, 1})
	if n := r.metrics.counts[unknownNames].Load(); n != 2 {
		t.Errorf("%d unknown", n)
	}
}
