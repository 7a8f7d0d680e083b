package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
)

// newTestHollowManager creates a hollow manager, passes it some servers and proxies, and advances its clock to just before
// 3 s. It also returns the relay calls made so far.
func newTestHollowManager(t *testing.T, servers, proxies int, limits config.Limits) (*HollowManager, []balancer.Commands) {
	t.Helper()
	settings := testSettings
	settings.Proxies = proxies + 1
	settings.QueueCapacity = 1e6
	settings.CommandsPerSecond = 1e6
	h, err := NewHollowManager(config.Config{Relay: "127.0.0.1:1", Limits: limits, Balancer: settings, ClassNames: []string{"g"},
		CachedEndpointList: json.RawMessage(`{"generation":0,"reset":true,"instances":[]}`)}, time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	calls := []balancer.Commands{}
	step := func(at time.Duration, messages ...Message) {
		result, err := h.Step(at, messages...)
		if err != nil {
			t.Fatal(err)
		}
		calls = append(calls, result.RelayCalls...)
	}
	step(time.Millisecond, Message{Kind: EndpointListMessage, Text: testEndpointList(1, true, servers, "up")})
	proxySnapshot := []Message{{Kind: ProxyEventsOpened}}
	for p := range proxies {
		proxySnapshot = append(proxySnapshot, Message{Kind: ProxyEventMessage, Event: "joined", Text: fmt.Sprintf("id=%d&site=a&rps=5", p+1)})
	}
	step(2*time.Millisecond, append(proxySnapshot, Message{Kind: ProxySnapshotComplete})...)
	for next := h.NextWake(); next > 0 && next < 3*time.Second; next = h.NextWake() {
		step(next)
	}
	return h, calls
}

func testEndpointList(version int, snapshot bool, servers int, lifecycle string) string {
	var entries []string
	for s := range servers {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%03d","hostPort":"127.0.0.1:%d","zone":"%s","lifecycle":"%s"}`,
			s, 1000+s, []string{"a", "b"}[s%2], lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, snapshot, strings.Join(entries, ","))
}

func TestAHollowManagerAssignsAndWithdraws(t *testing.T) {
	h, calls := newTestHollowManager(t, 4, 2, hollowLimits())
	var proxies []balancer.ProxyID
	for _, call := range calls {
		proxies = append(proxies, assignedProxies(call)...)
	}
	if !slices.Equal(proxies, []balancer.ProxyID{1, 2}) {
		t.Errorf("assigned proxies %v, want [1 2]", proxies)
	}
	result, err := h.Step(3*time.Second, Message{Kind: EndpointListMessage, Text: testEndpointList(2, false, 1, "draining")})
	if err != nil || len(result.RelayCalls) != 1 || !slices.Equal(result.RelayCalls[0].Withdraw, []balancer.ServerID{"s-000"}) {
		t.Errorf("after a drain of s-000: %+v, error %v; want one call that withdraws s-000", result, err)
	}
}

// hollowLimits returns testLimits with room for the health checks of all servers of a first list.
func hollowLimits() config.Limits {
	l := testLimits
	l.LogInterval = time.Second
	l.MaxQueuedHealthChecks = 64
	return l
}

// Commands that do not fit into a full call must be sent in further calls.
func TestAHollowManagerSplitsCommandsOverSeveralCalls(t *testing.T) {
	run := func(maxCallBytes int) (calls int, weights map[balancer.EndpointWeight]bool) {
		limits := hollowLimits()
		limits.MaxCallBytes = maxCallBytes
		_, all := newTestHollowManager(t, 60, 2, limits)
		weights = map[balancer.EndpointWeight]bool{}
		for _, call := range all {
			for _, weight := range call.Weights {
				weights[weight] = true
			}
		}
		return len(all), weights
	}
	largeCalls, weightsInLarge := run(60000)
	smallCalls, weightsInSmall := run(600)
	if smallCalls <= largeCalls || len(weightsInLarge) == 0 || len(weightsInLarge) != len(weightsInSmall) {
		t.Errorf("%d large calls with %d weights, %d small calls with %d weights; want more small calls with as many weights",
			largeCalls, len(weightsInLarge), smallCalls, len(weightsInSmall))
	}
}

func TestAHollowManagerCountsBytesByKind(t *testing.T) {
	h, _ := newTestHollowManager(t, 4, 2, hollowLimits())
	line := "heard site=a target=s-001 count=3 fail=0 mean=100.0 over=1000.0"
	for _, test := range []struct {
		message Message
		in      int
	}{
		{Message{Kind: LoadReportMessage, Text: line}, len(line) + 2},
		{Message{Kind: ProxyEventMessage, Event: "left", Text: "id=2"}, len("19\r\n") + len("event: left\ndata: id=2\n\n") + 2},
		{Message{Kind: HeartbeatMessage, Text: ":\n\n"}, len("3\r\n:\n\n\r\n")},
		{Message{Kind: HealthCheckMessage, Server: "s-001"}, len(healthCheckResponse)},
	} {
		before := h.Traffic(test.message.Kind)
		if _, err := h.Step(3*time.Second, test.message); err != nil {
			t.Fatal(err)
		}
		after := h.Traffic(test.message.Kind)
		if got := int(after.In - before.In); got != test.in || after.Messages != before.Messages+1 {
			t.Errorf("kind %d: %d messages with %d received bytes, want 1 with %d", test.message.Kind, after.Messages-before.Messages, got, test.in)
		}
	}
	if calls := h.Traffic(RelayCallMessage); calls.Messages == 0 || calls.Out < calls.Messages*100 {
		t.Errorf("traffic of relay calls: %+v, want at least 100 bytes sent per call", calls)
	}
}

func TestAHollowManagerReportsMessagesThatItCannotDecode(t *testing.T) {
	h, _ := newTestHollowManager(t, 4, 2, hollowLimits())
	for _, message := range []Message{{Kind: EndpointListMessage, Text: "{"}, {Kind: LoadReportMessage, Text: "heard site=nowhere"},
		{Kind: ProxyEventMessage, Event: "joined", Text: "id=x"}, {Kind: RelayCallMessage, Text: "mark"}} {
		if _, err := h.Step(3*time.Second, message); err == nil || !strings.Contains(err.Error(), message.Text) {
			t.Errorf("%+v: error %v, want one that quotes the text", message, err)
		}
	}
}

// A hollow manager uses only its caller's clock: it makes the same decisions however long a run takes.
func TestAHollowManagerIsDeterministic(t *testing.T) {
	_, first := newTestHollowManager(t, 60, 2, hollowLimits())
	time.Sleep(20 * time.Millisecond)
	_, second := newTestHollowManager(t, 60, 2, hollowLimits())
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Errorf("calls of the first run:\n%v\nof the second:\n%v", first, second)
	}
}
