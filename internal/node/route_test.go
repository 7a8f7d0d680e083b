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

var limits = config.Limits{
	MaxQueuedInputs: 64, MaxInputBatch: 64, MaxQueuedCalls: 8, MaxCallBytes: 60000, MaxQueuedHealthChecks: 4, MaxOpenHealthChecks: 2, MaxUnidentifiedConns: 3, MaxCollectorConns: 2,
	MaxLineFields: 64, MaxUnidentifiedLineBytes: 64, MaxCollectorLineBytes: 1 << 10, MaxWatchEventBytes: 1 << 10, MaxEndpointListBytes: 1 << 12, MaxResponseBytes: 1 << 10,
	MaxEmptyMessages: 3, MaxRequestsPerSecond: 10000, MaxReportInterval: time.Minute, IdentifyTimeout: time.Minute, CollectorIdleTimeout: time.Minute, ProxyWatchIdleTimeout: time.Minute, EndpointWatchIdleTimeout: time.Minute,
	StreamOpenTimeout: time.Minute, ConnectTimeout: time.Second, WriteTimeout: time.Second, RelayTimeout: time.Minute, HealthCheckTimeout: time.Minute,
	ProcessStallGrace: time.Millisecond, MaxReadyDelay: time.Minute, MaxWatchGap: time.Minute, MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond, LogInterval: time.Hour, MaxQueuedLogLines: 64, LogFlushTimeout: time.Minute,
}

var terms = balancer.Settings{
	Zones:        []balancer.ZoneID{"a", "b"},
	Classes:      []balancer.TrafficClass{{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent}},
	HealthChecks: true, AdmissionUnit: balancer.AdmitShare, DefaultRetryPolicy: balancer.RetryIfNotExecuted, ColdCapacity: 0.15, WarmUpDuration: 16 * time.Second,
	QueueCapacity: 1000, CommandsPerSecond: 1000, MessageOverhead: 4, Proxies: 2, IdleTimeout: 15 * time.Second,
}

// testRouter knows proxies 1 and 2 and the servers s-1 and s-2; its clock stands at 10 s.
func testRouter(t *testing.T) *router {
	r := &router{limits: limits, born: time.Now(), manager: balancer.New(1, terms), inputs: make(chan any, limits.MaxQueuedInputs),
		probes: make(chan probeTarget, limits.MaxQueuedHealthChecks), listen: make(chan struct{}, 1), opened: func() {}, metrics: newMetrics(time.Hour, zerolog.Nop()),
		proxies: map[balancer.ProxyID]bool{}, unseen: map[balancer.ProxyID]bool{}, servers: map[balancer.ServerID]string{}}
	r.backlog = newBacklog(limits.MaxQueuedCalls, r.metrics)
	r.take(serverList{generation: 1, snapshot: true, entries: []balancer.Endpoint{{Server: "s-1", Zone: "a", Weight: 1}, {Server: "s-2", Zone: "b", Weight: 1}},
		addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:1", "s-2": "127.0.0.1:2"}})
	for p := range balancer.ProxyID(2) {
		r.take(proxyJoined{p + 1, "a", 5})
	}
	for range 10 {
		r.now += time.Second
		r.decided(r.manager.HandleTimer(r.now))
	}
	r.carry()
	return r
}

// ordered is all that waits for the relay.
func (r *router) ordered() balancer.Commands {
	r.carry()
	return commands.Merge(append([]balancer.Commands{{}}, r.backlog.all()...)...)
}

func bound(o balancer.Commands) (ids []balancer.ProxyID) {
	for _, b := range o.Assign {
		ids = append(ids, b.Proxy)
	}
	slices.Sort(ids)
	return ids
}

func TestRouterBindsWhoJoins(t *testing.T) {
	o := testRouter(t).ordered()
	if got := bound(o); !slices.Equal(got, []balancer.ProxyID{1, 2}) || len(o.Weights) == 0 || o.Barrier == 0 {
		t.Errorf("%+v", o)
	}
}

// Guards against proxies that left while the news was broken and are kept for ever.
func TestNewsAfterAGapTellsWhoLeft(t *testing.T) {
	r := testRouter(t)
	r.take(newsOpened{})
	r.take(proxyJoined{2, "a", 5})
	if !r.proxies[1] {
		t.Fatal("left before all that stands was told")
	}
	r.take(newsComplete{})
	if r.proxies[1] || !r.proxies[2] || len(r.unseen) > 0 {
		t.Errorf("%v, unseen %v", r.proxies, r.unseen)
	}
}

// Guards against proxies that left and came back in a gap and follow no table.
func TestNewsAfterAGapBindsAgain(t *testing.T) {
	r := testRouter(t)
	r.ordered()
	r.take(newsOpened{})
	r.take(proxyJoined{1, "a", 5})
	r.take(proxyJoined{2, "a", 5})
	r.take(newsComplete{})
	r.now += time.Second
	r.decided(r.manager.HandleTimer(r.now))
	if got := bound(r.ordered()); !slices.Equal(got, []balancer.ProxyID{1, 2}) {
		t.Errorf("bound %v", got)
	}
}

func TestUnknownNamesAreDropped(t *testing.T) {
	r := testRouter(t)
	before := r.metrics.counts[unknownNames].Load()
	r.take(serverReport{balancer.LoadReport{Server: "none", Zone: "a", Attempts: 1}})
	r.take(usageReport{balancer.UsageReport{Proxy: 9, Interval: time.Second}})
	r.take(proxyLeft{9})
	if n := r.metrics.counts[unknownNames].Load() - before; n != 2 {
		t.Errorf("%d counted", n)
	}
}

// Guards against a whole list without a server that still stands in tables.
func TestWholeListDrainsWhoIsAbsent(t *testing.T) {
	r := testRouter(t)
	r.ordered()
	r.now += time.Second
	r.take(serverList{generation: 2, snapshot: true, entries: []balancer.Endpoint{{Server: "s-2", Zone: "b", Weight: 1}}})
	if o := r.ordered(); !slices.Equal(o.Withdraw, []balancer.ServerID{"s-1"}) {
		t.Errorf("%+v", o)
	}
}

func TestAgainLeavesOutProxiesThatLeft(t *testing.T) {
	r := testRouter(t)
	o := r.ordered()
	r.take(proxyLeft{1})
	reply := make(chan resendReply, 1)
	r.take(resendRequest{o, o.Barrier, true, reply})
	got := <-reply
	if ids := bound(got.now); !slices.Equal(ids, []balancer.ProxyID{2}) || got.rest.Count() > 0 {
		t.Errorf("%v, rest %+v", ids, got.rest)
	}
	if got.now.Barrier == 0 || got.now.Barrier == o.Barrier || len(got.now.Weights) != len(o.Weights) {
		t.Errorf("mark %d after %d", got.now.Barrier, o.Barrier)
	}
}

func TestProbesGoToTheNewestAddress(t *testing.T) {
	r := testRouter(t)
	for len(r.probes) > 0 {
		<-r.probes
	}
	r.take(serverList{generation: 2, addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:9"}})
	r.decided(balancer.Commands{HealthCheck: []balancer.ServerID{"s-1"}})
	if p := <-r.probes; p.address != "127.0.0.1:9" {
		t.Errorf("%+v", p)
	}
	r.decided(balancer.Commands{HealthCheck: make([]balancer.ServerID, limits.MaxQueuedHealthChecks+3)})
	if n := r.metrics.counts[probesDropped].Load(); n < 3 {
		t.Errorf("%d dropped: probes must not hold up the module", n)
	}
}

// Guards against addresses that pile up as servers are replaced, and answers for proxies that are not joined.
func TestAddressesFollowTheModule(t *testing.T) {
	r := testRouter(t)
	r.servers["s-gone"] = "127.0.0.1:3"
	r.take(serverList{generation: 2, addresses: map[balancer.ServerID]string{}})
	if len(r.servers) != 2 {
		t.Errorf("%v", r.servers)
	}
	before := r.metrics.counts[unknownNames].Load()
	if r.take(markApplied{9, 1}); r.metrics.counts[unknownNames].Load() != before+1 {
		t.Error("an answer of a proxy that is not joined is taken")
	}
}

func TestTheEarliestWakeIsKept(t *testing.T) {
	r := testRouter(t)
	r.wake = 0
	r.decided(balancer.Commands{NextTimer: 5 * time.Second})
	r.decided(balancer.Commands{NextTimer: 7 * time.Second})
	r.decided(balancer.Commands{NextTimer: 4 * time.Second})
	if r.wake != 4*time.Second {
		t.Error(r.wake)
	}
}

// Guards against an answer of what was at an address before: it says nothing of the server that has the name now.
func TestAProbeOfAnOldAddressSaysNothing(t *testing.T) {
	r := testRouter(t)
	r.take(serverList{generation: 2, entries: []balancer.Endpoint{{Server: "s-1", Zone: "a", Weight: 1}},
		addresses: map[balancer.ServerID]string{"s-1": "127.0.0.1:9"}})
	before := r.metrics.counts[probesDropped].Load()
	r.take(probeResult{server: "s-1", address: "127.0.0.1:1", answer: balancer.HealthCheckUnreachable})
	if n := r.metrics.counts[probesDropped].Load() - before; n != 1 {
		t.Errorf("%d dropped", n)
	}
	r.take(probeResult{server: "s-1", address: "127.0.0.1:9", answer: balancer.HealthCheckPassed})
	if n := r.metrics.counts[probesDropped].Load() - before; n != 1 {
		t.Errorf("%d dropped with that of its address", n)
	}
}

// A proxy that leaves and joins within one batch is bound anew; one whose number comes back in another zone is put on
// that zone's table; one that joins and leaves is not bound.
func TestGenerationsOfAProxyWithinOneBatch(t *testing.T) {
	r := testRouter(t)
	r.ordered()
	r.tick()
	for _, in := range []any{proxyLeft{1}, proxyJoined{1, "a", 5}, proxyLeft{2}, proxyJoined{2, "b", 5}, proxyJoined{3, "a", 5}, proxyLeft{3}} {
		r.take(in)
	}
	for range 3 {
		r.now += time.Second
		r.decided(r.manager.HandleTimer(r.now))
	}
	o := r.ordered()
	tables := map[balancer.ProxyID]balancer.TableID{}
	for _, b := range o.Assign {
		tables[b.Proxy] = b.Table
	}
	if len(tables) != 2 || tables[1] == tables[2] {
		t.Errorf("%+v", o.Assign)
	}
}

// Guards against an answer to a mark by who left and came back meanwhile, or was never there, that takes orders off the
// books that have not left.
func TestAMarkOfWhoIsNotJoinedSettlesNothing(t *testing.T) {
	r := testRouter(t)
	r.take(proxyLeft{1})
	r.take(markApplied{1, 1})
	r.take(markApplied{7, 1})
	if n := r.metrics.counts[unknownNames].Load(); n != 2 {
		t.Errorf("%d unknown", n)
	}
}
