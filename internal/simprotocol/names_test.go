package simprotocol

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
)

// serveEvents runs a host with a single instance, number 3, which started at 1 ms and uses recorder as its manager. lines
// are the events of a batch at 2 ms, so that the instance's own time is 1 ms.
func serveEvents(t *testing.T, recorder *recordingManager, lines ...string) (reply []string) {
	t.Helper()
	var out strings.Builder
	h := newHost(strings.NewReader("BATCH\t2000\n"+strings.Join(lines, "\n")+"\nEOF_BATCH\n"), &out)
	h.instances[3] = &managerInstance{manager: recorder, startedAt: time.Millisecond, classNames: []string{"quote", "book"}}
	if err := h.serve(); err != nil {
		t.Fatalf("%q: %v", lines, err)
	}
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

// Tests each event and each of its values against the names and the order of the protocol's documentation.
func TestEventsAreReadByWireName(t *testing.T) {
	const now = time.Millisecond
	for _, event := range []struct {
		lines string
		want  any // nil if the event must not cause a call
	}{
		{"TOPOLOGY\t3\tPartial\t41\t3\nM\t0\teast\t-\tw1\t1.5\tready\tfast\nM\t1\twest\t6100000\tw2\t-\tdraining\tbase\nM\t2\twest\t0\tw3\t0\tgone\tbase",
			endpointListCall{now, false, []balancer.Endpoint{
				{Server: "w1", Zone: "east", Weight: 1.5, State: balancer.Ready},
				{Server: "w2", Zone: "west", Weight: 1, State: balancer.Draining, RecentlyStarted: true, Started: 6099 * time.Millisecond},
				{Server: "w3", Zone: "west", Weight: 0, State: balancer.Removed},
			}}},
		{"TOPOLOGY\t3\tComplete\t41\t0", endpointListCall{now, true, []balancer.Endpoint{}}},
		{"TOPOLOGY\t3\tPersisted\t41\t0", endpointListCall{now, true, []balancer.Endpoint{}}},
		{"TOPOLOGY\t3\tError\t41\t0", endpointListErrorCall{now}},
		{"REMINDER\t3\t77", timerCall{now}},
		{"HEALTH_RESULT\t3\tw1\tdelivered\t1400\toutstanding:7", healthCheckCall{now, "w1", balancer.HealthCheckPassed, 1400 * time.Microsecond, 7}},
		{"HEALTH_RESULT\t3\tw1\tapp_error\t1400\t-", healthCheckCall{now, "w1", balancer.HealthCheckInvalid, 1400 * time.Microsecond, -1}},
		{"HEALTH_RESULT\t3\tw1\tshed\t0\t-", healthCheckCall{now, "w1", balancer.HealthCheckRejected, 0, -1}},
		{"HEALTH_RESULT\t3\tw1\texpired\t0\t-", healthCheckCall{now, "w1", balancer.HealthCheckTimedOut, 0, -1}},
		{"HEALTH_RESULT\t3\tw1\tdial_failed\t0\t-", healthCheckCall{now, "w1", balancer.HealthCheckUnreachable, 0, -1}},
		{"HEALTH_RESULT\t3\tw1\tdropped\t0\t-", healthCheckCall{now, "w1", balancer.HealthCheckTimedOut, 0, -1}},
		{"HEALTH_RESULT\t3\tw1\trevoked\t0\t-", healthCheckCall{now, "w1", balancer.HealthCheckTimedOut, 0, -1}},
		{"HEALTH_RESULT\t3\tw1\tunused\t0\t-", healthCheckCall{now, "w1", balancer.HealthCheckTimedOut, 0, -1}},
		{"DIALLED_IN\t3\t6.5\t1\t41\teast", proxyConnectedCall{now, 41, "east", 6.5}},
		{"STREAM_DOWN\t3\t41", proxyDisconnectedCall{now, 41}},
		{"OBSERVED\t3\tw1\t1\t14\t48250\t1000000\teast\toutstanding:7,other:2", loadReportCall{now, balancer.LoadReport{
			Server: "w1", Zone: "east", Failed: 1, Attempts: 14, Latency: 48250 * time.Microsecond, Interval: time.Second, InFlight: 7}}},
		{"OFFERED_LOAD\t3\t41\tbook\t9\t2\t2000000", usageReportCall{now, balancer.UsageReport{
			Proxy: 41, Class: 1, Requests: 9, Dropped: 2, Interval: 2 * time.Second}}},
		{"INSTALLED\t3\t41\t12\t412500", barrierAckCall{now, 41, 12}},
		{"FROM_PEER\t3\t2\t68692037", nil},
		{"HEAT\t3\t23\t2\t117\tbook\t1000000", nil},
		{"LEASED\t3\t1\t117", nil},
		{"RECORDED\t3\tw1\t1\t117", nil},
	} {
		recorder := &recordingManager{}
		serveEvents(t, recorder, event.lines)
		var want []any
		if event.want != nil {
			want = []any{event.want}
		}
		if !reflect.DeepEqual(recorder.calls, want) {
			t.Errorf("%q: got calls %+v, want %+v", event.lines, recorder.calls, want)
		}
	}
}

// Tests each action and each of its values. The actions must be in the order in which a reply takes effect.
func TestActionsAreWrittenByWireName(t *testing.T) {
	recorder := &recordingManager{commands: balancer.Commands{
		Withdraw:        []balancer.ServerID{"w1"},
		Weights:         []balancer.EndpointWeight{{Table: 117, Server: "w2", Weight: 0.75}},
		AdmissionLevels: []balancer.AdmissionLevel{{Table: 118, Classes: 2, Amount: 0.5, Retry: balancer.RetryIfNotExecuted}},
		Restore:         []balancer.ServerID{"w3"},
		Assign:          []balancer.TableAssignment{{Proxy: 41, Classes: 3, Table: 119}},
		Barrier:         12,
		HealthCheck:     []balancer.ServerID{"w4"},
		Subscribe:       true,
		NextTimer:       8_910_250*time.Microsecond + 1,
	}}
	reply := serveEvents(t, recorder, "REMINDER\t3\t1")
	want := []string{
		"PULL\t3\tw1\t1",
		"SET_WEIGHT\t3\t0.75\tw2\t117",
		"RATION\t3\t118\t2\t0.5\t1",
		"PULL\t3\tw3\t0",
		"SUBSCRIBE_TO\t3\t3\t41\t119",
		"CHECKPOINT\t3\t12\t0",
		"PING\t3\tw4",
		"LISTEN\t3\t1",
		"SLEEP\t3\t1\t8911251",
		"FINISHED",
	}
	if !slices.Equal(reply, want) {
		t.Errorf("got %q, want %q", reply, want)
	}
	if calls := []any{timerCall{time.Millisecond}, commandsSentCall{time.Millisecond, 12}}; !reflect.DeepEqual(recorder.calls, calls) {
		t.Errorf("got calls %+v, want %+v", recorder.calls, calls)
	}
}

// Tests the number of each retry policy in the protocol.
func TestRetryPolicyWireNumbers(t *testing.T) {
	for policy, want := range map[balancer.RetryPolicy]string{
		balancer.NoRetry: "0", balancer.RetryIfNotExecuted: "1", balancer.MaxTwoAttempts: "2", balancer.MaxThreeAttempts: "3",
	} {
		level := balancer.AdmissionLevel{Table: 1, Classes: 2, Amount: 3, Retry: policy}
		reply := serveEvents(t, &recordingManager{commands: balancer.Commands{AdmissionLevels: []balancer.AdmissionLevel{level}}},
			"REMINDER\t3\t1")
		if reply[0] != "RATION\t3\t1\t2\t3\t"+want {
			t.Errorf("%v: got %q, want number %s", policy, reply[0], want)
		}
	}
}

// An instance is created with its seed and settings, and removed when it stops. Its time counts from its start.
func TestInstanceStartsAndStops(t *testing.T) {
	var out strings.Builder
	h := newHost(strings.NewReader("BATCH\t1000\nNEW_INSTANCE\t3\t99\t"+settingsJSON+"\nEOF_BATCH\nBATCH\t1500\nREMINDER\t3\t1\nDOWN\t3\nEOF_BATCH\n"), &out)
	recorder := &recordingManager{}
	h.newManager = func(seed uint64, settings balancer.Settings) manager {
		if seed != 99 || settings.QueueCapacity != 8600 || len(settings.Classes) != 1 {
			t.Errorf("got seed %d, settings %+v", seed, settings)
		}
		return recorder
	}
	if err := h.serve(); err != nil {
		t.Fatal(err)
	}
	if want := []any{timerCall{500 * time.Microsecond}}; !reflect.DeepEqual(recorder.calls, want) {
		t.Errorf("got calls %+v, want %+v", recorder.calls, want)
	}
	if len(h.instances) != 0 || out.String() != "FINISHED\nFINISHED\n" {
		t.Errorf("got %d instances and reply %q", len(h.instances), out.String())
	}
}

// testdata/day.out holds the replies of version 0.9 to testdata/day.in, a short simulated day with every event and every
// action. The comparison ignores the texts of log lines, which are not part of the protocol.
func TestRecordedDayGetsTheSameReplies(t *testing.T) {
	events, err := os.ReadFile("testdata/day.in")
	if err != nil {
		t.Fatal(err)
	}
	recorded, err := os.ReadFile("testdata/day.out")
	if err != nil {
		t.Fatal(err)
	}
	replies, err := serve(string(events))
	if err != nil {
		t.Fatal(err)
	}
	got, want := withoutLogTexts(replies), withoutLogTexts(string(recorded))
	seen := map[string]bool{}
	for i, line := range want {
		if i >= len(got) || got[i] != line {
			t.Fatalf("line %d: got %q, want %q", i+1, append(got, "")[min(i, len(got))], line)
		}
		name, _, _ := strings.Cut(line, "\t")
		seen[name] = true
	}
	if len(got) != len(want) {
		t.Errorf("got %d lines, want %d", len(got), len(want))
	}
	for _, name := range []string{"PULL", "SET_WEIGHT", "RATION", "SUBSCRIBE_TO", "CHECKPOINT", "PING", "LISTEN", "SLEEP", "JOURNAL_LINE", "FINISHED"} {
		if !seen[name] {
			t.Errorf("the recorded day has no action %s", name)
		}
	}
}

func withoutLogTexts(replies string) []string {
	lines := strings.Split(strings.TrimSuffix(replies, "\n"), "\n")
	for i, line := range lines {
		if parts := strings.SplitN(line, "\t", 3); parts[0] == "JOURNAL_LINE" {
			lines[i] = parts[0] + "\t" + parts[1]
		}
	}
	return lines
}
