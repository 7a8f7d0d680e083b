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

// testHollow is a hollow manager that knows so many servers and has so many proxies; its clock stands at 3 s.
func testHollow(t *testing.T, servers, proxies int, l config.Limits) (*HollowManager, []balancer.Commands) {
	t.Helper()
	ofMany := testSettings
	ofMany.Proxies = proxies + 1
	ofMany.QueueCapacity = 1e6
	ofMany.CommandsPerSecond = 1e6
	h, err := NewHollowManager(config.Config{Relay: "127.0.0.1:1", Limits: l, Balancer: ofMany, ClassNames: []string{"g"},
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
	step(time.Millisecond, Message{Kind: EndpointListMessage, Text: testList(1, true, servers, "up")})
	opening := []Message{{Kind: ProxyEventsOpened}}
	for p := range proxies {
		opening = append(opening, Message{Kind: ProxyEventMessage, Event: "joined", Text: fmt.Sprintf("id=%d&site=a&rps=5", p+1)})
	}
	step(2*time.Millisecond, append(opening, Message{Kind: ProxySnapshotComplete})...)
	for next := h.NextWake(); next > 0 && next < 3*time.Second; next = h.NextWake() {
		step(next)
	}
	return h, calls
}

func testList(generation int, whole bool, servers int, lifecycle string) string {
	var entries []string
	for s := range servers {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%03d","hostPort":"127.0.0.1:%d","zone":"%s","lifecycle":"%s"}`,
			s, 1000+s, []string{"a", "b"}[s%2], lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(entries, ","))
}

func TestAHollowManagerAssignsAndWithdraws(t *testing.T) {
	h, calls := testHollow(t, 4, 2, hollowLimits())
	var proxies []balancer.ProxyID
	for _, call := range calls {
		proxies = append(proxies, assignedProxies(call)...)
	}
	if !slices.Equal(proxies, []balancer.ProxyID{1, 2}) {
		t.Errorf("assigned %v", proxies)
	}
	result, err := h.Step(3*time.Second, Message{Kind: EndpointListMessage, Text: testList(2, false, 1, "draining")})
	if err != nil || len(result.RelayCalls) != 1 || !slices.Equal(result.RelayCalls[0].Withdraw, []balancer.ServerID{"s-000"}) {
		t.Errorf("%+v, %v", result, err)
	}
}

// hollowLimits are those of the tests with room for a whole opening.
func hollowLimits() config.Limits {
	l := testLimits
	l.LogInterval = time.Second
	l.MaxQueuedHealthChecks = 64
	return l
}

// Guards against a rest that is lost where a call is full.
func TestAHollowManagerSendsInPiecesWhatOneCallCannotHold(t *testing.T) {
	count := func(callBytes int) (calls int, lines map[balancer.EndpointWeight]bool) {
		l := hollowLimits()
		l.MaxCallBytes = callBytes
		_, all := testHollow(t, 60, 2, l)
		lines = map[balancer.EndpointWeight]bool{}
		for _, call := range all {
			for _, line := range call.Weights {
				lines[line] = true
			}
		}
		return len(all), lines
	}
	whole, all := count(60000)
	pieces, same := count(600)
	if pieces <= whole || len(all) == 0 || len(all) != len(same) {
		t.Errorf("%d calls with %d lines, %d calls of pieces with %d", whole, len(all), pieces, len(same))
	}
}

func TestAHollowManagerCountsBytesByKind(t *testing.T) {
	h, _ := testHollow(t, 4, 2, hollowLimits())
	line := "heard site=a target=s-001 count=3 fail=0 mean=100.0 over=1000.0"
	for _, one := range []struct {
		message Message
		in      int
	}{
		{Message{Kind: LoadReportMessage, Text: line}, len(line) + 2},
		{Message{Kind: ProxyEventMessage, Event: "left", Text: "id=2"}, len("19\r\n") + len("event: left\ndata: id=2\n\n") + 2},
		{Message{Kind: HeartbeatMessage, Text: ":\n\n"}, len("3\r\n:\n\n\r\n")},
		{Message{Kind: HealthCheckMessage, Server: "s-001"}, len(probeAnswer)},
	} {
		before := h.Traffic(one.message.Kind)
		if _, err := h.Step(3*time.Second, one.message); err != nil {
			t.Fatal(err)
		}
		after := h.Traffic(one.message.Kind)
		if got := int(after.In - before.In); got != one.in || after.Messages != before.Messages+1 {
			t.Errorf("kind %d: %d bytes, %d are due", one.message.Kind, got, one.in)
		}
	}
	if calls := h.Traffic(RelayCallMessage); calls.Messages == 0 || calls.Out < calls.Messages*100 {
		t.Errorf("calls: %+v", calls)
	}
}

func TestAHollowManagerNamesWhatItCannotRead(t *testing.T) {
	h, _ := testHollow(t, 4, 2, hollowLimits())
	for _, message := range []Message{{Kind: EndpointListMessage, Text: "{"}, {Kind: LoadReportMessage, Text: "heard site=nowhere"},
		{Kind: ProxyEventMessage, Event: "joined", Text: "id=x"}, {Kind: RelayCallMessage, Text: "mark"}} {
		if _, err := h.Step(3*time.Second, message); err == nil || !strings.Contains(err.Error(), message.Text) {
			t.Errorf("%+v: %v", message, err)
		}
	}
}

// The clock of a hollow manager is the caller's alone: a run takes the same decisions however long it takes.
func TestAHollowManagerTakesTheSameDecisionsEachTime(t *testing.T) {
	_, first := testHollow(t, 60, 2, hollowLimits())
	time.Sleep(20 * time.Millisecond)
	_, second := testHollow(t, 60, 2, hollowLimits())
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Errorf("%v\n%v", first, second)
	}
}
