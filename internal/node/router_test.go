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
	MaxQueuedInputs: 64, MaxInputBatch: 64, MaxQueuedCalls: 8, MaxCallBytes: 60000, MaxQueuedHealthChecks: 4,
	MaxOpenHealthChecks: 2, MaxUnidentifiedConns: 3, MaxCollectorConns: 2,
	MaxLineFields: 64, MaxUnidentifiedLineBytes: 64, MaxCollectorLineBytes: 1 << 10, MaxWatchEventBytes: 1 << 10,
	MaxEndpointListBytes: 1 << 12, MaxResponseBytes: 1 << 10,
	MaxMessagesWithoutReport: 3, MaxRequestsPerSecond: 10000, MaxReportInterval: time.Minute, IdentifyTimeout: time.Minute,
	CollectorIdleTimeout: time.Minute, ProxyWatchIdleTimeout: time.Minute, EndpointWatchIdleTimeout: time.Minute,
	StreamOpenTimeout: time.Minute, ConnectTimeout: time.Second, WriteTimeout: time.Second, RelayTimeout: time.Minute,
	HealthCheckTimeout: time.Minute,
	ProcessStallGrace:  time.Millisecond, MaxReadyDelay: time.Minute, MaxWatchGap: time.Minute, MinBackoff: time.Millisecond,
	MaxBackoff: 2 * time.Millisecond, LogInterval: time.Hour, MaxQueuedLogLines: 64, LogFlushTimeout: time.Minute,
}

var testSettings = balancer.Settings{
	Zones: []balancer.ZoneID{"a", "b"},
	Classes: []balancer.TrafficClass{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent},
	},
	HealthChecks: true, AdmissionUnit: balancer.AdmitShare, DefaultRetryPolicy: balancer.RetryIfNotExecuted,
	ColdCapacity: 0.15, WarmUpDuration: 16 * time.Second,
	QueueCapacity: 1000, CommandsPerSecond: 1000, MessageOverhead: 4, Proxies: 2, IdleTimeout: 15 * time.Second,
}

// testRouter returns a router that knows the proxies 1 and 2 and the servers s-1 and s-2, and whose clock has advanced by
// 10 s.
func testRouter(t *testing.T) *router {
	t.Helper()
	cfg := config.Config{Limits: testLimits, Seed: 1, Balancer: testSettings}
	r := newRouter(cfg, time.Now(), newMetrics(time.Hour, zerolog.Nop()))
	r.onProxyEventsOpened = func() {}
	r.handle(endpointList{
		version:   1,
		snapshot:  true,
		entries:   []balancer.Endpoint{{Server: "s-1", Zone: "a", Weight: 1}, {Server: "s-2", Zone: "b", Weight: 1}},
		addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:1", "s-2": "127.0.0.1:2"},
	})
	for i := range balancer.ProxyID(2) {
		r.handle(proxyConnected{i + 1, "a", 5})
	}
	for range 10 {
		r.now += time.Second
		r.apply(r.manager.HandleTimer(r.now))
	}
	r.flush()
	return r
}

// pendingCommands flushes the router and returns all commands that are queued for the relay.
func (r *router) pendingCommands() balancer.Commands {
	r.flush()
	return commands.Merge(append([]balancer.Commands{{}}, r.backlog.takeAll()...)...)
}

func assignedProxies(cmds balancer.Commands) (ids []balancer.ProxyID) {
	for _, assignment := range cmds.Assign {
		ids = append(ids, assignment.Proxy)
	}
	slices.Sort(ids)
	return ids
}

func TestRouterAssignsConnectedProxies(t *testing.T) {
	cmds := testRouter(t).pendingCommands()
	if got := assignedProxies(cmds); !slices.Equal(got, []balancer.ProxyID{1, 2}) || len(cmds.Weights) == 0 || cmds.Barrier == 0 {
		t.Errorf("commands %+v, want assignments of proxies 1 and 2, weights and a barrier", cmds)
	}
}

// A proxy that disconnects while the event stream is interrupted must not be kept forever.
func TestProxiesMissingAfterAStreamGapAreDisconnected(t *testing.T) {
	r := testRouter(t)
	r.handle(proxyEventsOpened{})
	r.handle(proxyConnected{2, "a", 5})
	if !r.proxies[1] {
		t.Fatal("proxy 1 was disconnected before the snapshot was complete")
	}
	r.handle(proxySnapshotComplete{})
	if r.proxies[1] || !r.proxies[2] || len(r.unconfirmed) > 0 {
		t.Errorf("proxies %v, unconfirmed %v, want only proxy 2, confirmed", r.proxies, r.unconfirmed)
	}
}

// A proxy that disconnects and reconnects while the event stream is interrupted has lost its table. It must be assigned to
// one again.
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
		t.Errorf("assigned proxies %v, want 1 and 2", got)
	}
}

func TestReportsOnUnknownServersAndProxiesAreDropped(t *testing.T) {
	r := testRouter(t)
	before := r.metrics.counts[unknownNames].Load()
	r.handle(loadReport{balancer.LoadReport{Server: "none", Zone: "a", Attempts: 1}})
	r.handle(usageReport{balancer.UsageReport{Proxy: 9, Interval: time.Second}})
	r.handle(proxyDisconnected{9})
	if n := r.metrics.counts[unknownNames].Load() - before; n != 2 {
		t.Errorf("%d unknown names counted, want 2", n)
	}
}

// A server that is in a table but missing from a snapshot must be withdrawn.
func TestSnapshotWithdrawsAbsentServers(t *testing.T) {
	r := testRouter(t)
	r.pendingCommands()
	r.now += time.Second
	r.handle(endpointList{version: 2, snapshot: true, entries: []balancer.Endpoint{{Server: "s-2", Zone: "b", Weight: 1}}})
	if cmds := r.pendingCommands(); !slices.Equal(cmds.Withdraw, []balancer.ServerID{"s-1"}) {
		t.Errorf("commands %+v, want a withdrawal of s-1", cmds)
	}
}

func TestResendSkipsDisconnectedProxies(t *testing.T) {
	r := testRouter(t)
	cmds := r.pendingCommands()
	r.handle(proxyDisconnected{1})
	reply := make(chan resendReply, 1)
	r.handle(resendRequest{cmds, cmds.Barrier, true, reply})
	got := <-reply
	if ids := assignedProxies(got.allowed); !slices.Equal(ids, []balancer.ProxyID{2}) || got.deferred.Count() > 0 {
		t.Errorf("assigned proxies %v, deferred %+v, want proxy 2 and nothing deferred", ids, got.deferred)
	}
	if got.allowed.Barrier == 0 || got.allowed.Barrier == cmds.Barrier || len(got.allowed.Weights) != len(cmds.Weights) {
		t.Errorf("barrier %d with %d weights, want a new barrier after %d and %d weights",
			got.allowed.Barrier, len(got.allowed.Weights), cmds.Barrier, len(cmds.Weights))
	}
}

func TestHealthChecksGoToTheNewestAddress(t *testing.T) {
	r := testRouter(t)
	for len(r.healthChecks) > 0 {
		<-r.healthChecks
	}
	r.handle(endpointList{version: 2, addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:9"}})
	r.apply(balancer.Commands{HealthCheck: []balancer.ServerID{"s-1"}})
	if check := <-r.healthChecks; check.address != "127.0.0.1:9" {
		t.Errorf("health check %+v, want address 127.0.0.1:9", check)
	}
	r.apply(balancer.Commands{HealthCheck: make([]balancer.ServerID, testLimits.MaxQueuedHealthChecks+3)})
	if n := r.metrics.counts[healthChecksDropped].Load(); n < 3 {
		t.Errorf("%d health checks dropped, want at least 3: a full queue must not block the balancer", n)
	}
}

// Addresses of replaced servers must not accumulate, and acknowledgements of proxies that are not connected are ignored.
func TestAddressesOfForgottenServersAreDropped(t *testing.T) {
	r := testRouter(t)
	r.addresses["s-gone"] = "127.0.0.1:3"
	r.handle(endpointList{version: 2, addresses: map[balancer.ServerID]string{}})
	if len(r.addresses) != 2 {
		t.Errorf("addresses %v, want those of s-1 and s-2", r.addresses)
	}
	before := r.metrics.counts[unknownNames].Load()
	if r.handle(barrierAck{9, 1}); r.metrics.counts[unknownNames].Load() != before+1 {
		t.Error("an acknowledgement of a proxy that is not connected was accepted")
	}
}

func TestTheEarliestTimerIsKept(t *testing.T) {
	r := testRouter(t)
	r.nextTimer = 0
	r.apply(balancer.Commands{NextTimer: 5 * time.Second})
	r.apply(balancer.Commands{NextTimer: 7 * time.Second})
	r.apply(balancer.Commands{NextTimer: 4 * time.Second})
	if r.nextTimer != 4*time.Second {
		t.Errorf("next timer at %v, want 4s", r.nextTimer)
	}
}

// A health check result for a server's previous address says nothing about the server at its new address, and must be
// dropped.
func TestAHealthCheckOfAnOldAddressIsIgnored(t *testing.T) {
	r := testRouter(t)
	r.handle(endpointList{version: 2, entries: []balancer.Endpoint{{Server: "s-1", Zone: "a", Weight: 1}},
		addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:9"}})
	before := r.metrics.counts[healthChecksDropped].Load()
	r.handle(healthCheckResult{server: "s-1", address: "127.0.0.1:1", outcome: balancer.HealthCheckUnreachable})
	if n := r.metrics.counts[healthChecksDropped].Load() - before; n != 1 {
		t.Errorf("%d health check results dropped, want 1", n)
	}
	r.handle(healthCheckResult{server: "s-1", address: "127.0.0.1:9", outcome: balancer.HealthCheckPassed})
	if n := r.metrics.counts[healthChecksDropped].Load() - before; n != 1 {
		t.Errorf("%d health check results dropped, want 1: the result for the current address must be accepted", n)
	}
}

// Within one batch of inputs, a proxy that disconnects and reconnects is assigned again, a proxy that reconnects in another
// zone is assigned to a table of that zone, and a proxy that connects and disconnects is not assigned.
func TestIncarnationsOfAProxyWithinOneBatch(t *testing.T) {
	r := testRouter(t)
	r.pendingCommands()
	r.advanceClock()
	for _, in := range []input{
		proxyDisconnected{1}, proxyConnected{1, "a", 5},
		proxyDisconnected{2}, proxyConnected{2, "b", 5},
		proxyConnected{3, "a", 5}, proxyDisconnected{3},
	} {
		r.handle(in)
	}
	for range 3 {
		r.now += time.Second
		r.apply(r.manager.HandleTimer(r.now))
	}
	cmds := r.pendingCommands()
	tables := map[balancer.ProxyID]balancer.TableID{}
	for _, assignment := range cmds.Assign {
		tables[assignment.Proxy] = assignment.Table
	}
	if len(tables) != 2 || tables[1] == tables[2] {
		t.Errorf("assignments %+v, want proxies 1 and 2 on different tables", cmds.Assign)
	}
}

// A barrier acknowledgement from a proxy that has disconnected or was never connected must be ignored: it would release
// commands that have not left the channel yet.
func TestABarrierAckOfADisconnectedProxyIsIgnored(t *testing.T) {
	r := testRouter(t)
	r.handle(proxyDisconnected{1})
	r.handle(barrierAck{1, 1})
	r.handle(barrierAck{7, 1})
	if n := r.metrics.counts[unknownNames].Load(); n != 2 {
		t.Errorf("%d unknown names counted, want 2", n)
	}
}
