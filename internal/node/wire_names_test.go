package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/follow"
	"tamarindshore/internal/logging"
)

// These tests pin the names on the wire, which the protocol's documentation and the operators' tools use, so that renaming
// a Go identifier can't change them.

func TestAdminRequestKeepsItsNamesOnTheWire(t *testing.T) {
	request := AdminRequest{Command: "rollback", Version: "7.1", OtherVersion: "7.2", Key: "k", Duration: 3}
	assertJSON(t, request, `{"do":"rollback","version":"7.1","other":"7.2","key":"k","for_ns":3}`)
	assertJSON(t, AdminRequest{Command: "log"}, `{"do":"log"}`)
}

func TestAdminResponseKeepsItsNamesOnTheWire(t *testing.T) {
	assertJSON(t, AdminResponse{Lines: []string{"a"}, Error: "b"}, `{"lines":["a"],"error":"b"}`)
	assertJSON(t, AdminResponse{}, `{}`)
}

func TestStatusKeepsItsNamesOnTheWire(t *testing.T) {
	status := Status{
		Name:           "n1",
		UptimeSeconds:  1.5,
		Ready:          true,
		Shards:         []ShardStatus{{Cores: 0.5, Connections: 2, BusySeconds: 0.25}},
		SamplesWaiting: 3,
		List:           ListStatus{Version: 41, AgeSeconds: 2.5, Confirmed: true},
		Counters:       map[string]int64{"pings": 4},
	}
	assertJSON(t, status, `{"name":"n1","uptime_s":1.5,"ready":true,"lanes":[{"cores":0.5,"connections":2,"busy_s":0.25}],`+
		`"samples_waiting":3,"list":{"version":41,"age_s":2.5,"confirmed":true},"counters":{"pings":4}}`)
}

func assertJSON(t *testing.T, value any, want string) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != want {
		t.Errorf("encoded as\n%s\nexpected\n%s", text, want)
	}
}

func TestEndpointListKeepsItsNamesOnTheWire(t *testing.T) {
	weight := 1.5
	server := instance{InstanceID: "s-1", HostPort: "10.0.0.1:80", Zone: "a", Lifecycle: "up", Weight: &weight, StartedAtMs: 1_002_500}
	assertJSON(t, server, `{"instanceId":"s-1","hostPort":"10.0.0.1:80","zone":"a","lifecycle":"up","weight":1.5,"startedAtMs":1002500}`)
	text := `{"generation":43,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.0.0.1:80","zone":"a",` +
		`"lifecycle":"up","weight":1.5,"startedAtMs":1002500}]}`
	list, unknown, err := testDecoder().parseList([]byte(text))
	want := balancer.Endpoint{Server: "s-1", Zone: "a", Weight: 1.5, Started: 2500 * time.Millisecond, RecentlyStarted: true}
	if err != nil || unknown != 0 || list.version != 43 || !list.snapshot || !slices.Equal(list.entries, []balancer.Endpoint{want}) {
		t.Errorf("decoded to %+v with %d unknown zones, %v", list, unknown, err)
	}
	if list.addresses["s-1"] != "10.0.0.1:80" {
		t.Errorf("addresses %v, expected s-1 at 10.0.0.1:80", list.addresses)
	}
}

func TestCollectorLinesKeepTheirNamesOnTheWire(t *testing.T) {
	for text, want := range map[string]collectorMessage{
		"ping":             ping{},
		"collector site=b": collectorIdentity{"b"},
		"heard site=a target=s-1 count=4 fail=1 mean=41.5 over=1000 util=inflight:7": loadReport{balancer.LoadReport{
			Server: "s-1", Zone: "a", Attempts: 4, Failed: 1, Latency: 41500 * time.Microsecond, Interval: time.Second, InFlight: 7}},
		"heard site=a target=s-1 count=4 fail=1 mean=41.5 over=1000 util=outstanding:6": loadReport{balancer.LoadReport{
			Server: "s-1", Zone: "a", Attempts: 4, Failed: 1, Latency: 41500 * time.Microsecond, Interval: time.Second, InFlight: 6}},
		"usage id=17 lane=book count=19 fail=2 over=500": usageReport{balancer.UsageReport{
			Proxy: 17, Class: 1, Requests: 19, Dropped: 2, Interval: 500 * time.Millisecond}},
	} {
		if got, err := testDecoder().parseLine(text); err != nil || got != want {
			t.Errorf("%q: decoded to %T %+v, %v; expected %T %+v", text, got, got, err, want, want)
		}
	}
}

func TestRelayEventsKeepTheirNamesOnTheWire(t *testing.T) {
	for _, event := range []struct {
		kind, data string
		want       proxyEvent
	}{
		{"joined", "id=17&site=b&rps=21.5&new=1", proxyConnected{17, "b", 21.5}},
		{"left", "id=17", proxyDisconnected{17}},
		{"applied", "id=17&seq=905&ms=310.4", barrierAck{17, 905}},
	} {
		got, err := testDecoder().parseEvent(event.kind, event.data)
		if err != nil || got != event.want {
			t.Errorf("%s %s: decoded to %+v, %v; expected %+v", event.kind, event.data, got, err, event.want)
		}
	}
}

func TestPathsKeepTheirNamesOnTheWire(t *testing.T) {
	got := []string{alivePath, loadPath, proxyEventsPath, watchPath, callPath}
	want := []string{"/alive", "/metrics/load", "/v3/kv/stream", "/discovery/hosts?watch=1&after=", "/v3/kv/"}
	if !slices.Equal(got, want) {
		t.Errorf("paths %q, expected %q", got, want)
	}
}

// The fake relay in relay_test.go also pins how a call is sent, with its path and form fields.
func TestRelayCommandsKeepTheirNamesOnTheWire(t *testing.T) {
	all := balancer.Commands{
		Withdraw:        []balancer.ServerID{"s-1"},
		Weights:         []balancer.EndpointWeight{{Table: 4, Server: "s-2", Weight: 1.5}},
		AdmissionLevels: []balancer.AdmissionLevel{{Table: 4, Classes: 3, Amount: 0.9, Retry: balancer.RetryIfNotExecuted}},
		Restore:         []balancer.ServerID{"s-2"},
		Assign:          []balancer.TableAssignment{{Proxy: 17, Table: 4, Classes: 2}},
		Barrier:         905,
	}
	want := "withdraw,s-1;share,4,s-2,1.5;admit,4,lookup+book,0.9,1;restore,s-2;bind,17,4,book;mark,905,0"
	if got := strings.Join(encodeCommands(all, []string{"lookup", "book", "write"}, 60000), ";"); got != want {
		t.Errorf("encoded as %s, expected %s", got, want)
	}
}

func TestRelayAnswersKeepTheirNamesOnTheWire(t *testing.T) {
	if n, err := parseAnswer([]byte(`<?xml version="1.0"?><Response><items><item><taken>3</taken></item></items></Response>`), 3); n != 3 || err != nil {
		t.Errorf("%d commands accepted, error %v; expected 3", n, err)
	}
	for code, want := range map[string]error{"BUSY": errBusy, "SYNTAX": errSyntax} {
		body := fmt.Sprintf("<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>", code)
		if _, err := parseAnswer([]byte(body), 3); err != want {
			t.Errorf("answer %s: error %v, expected %v", code, err, want)
		}
	}
}

// The contents of frames are pinned in client/follow and client/tables; this test pins the kinds that the feed sends and
// reads.
func TestFeedFramesKeepTheirKindsOnTheWire(t *testing.T) {
	var got bytes.Buffer
	for _, kind := range []byte{follow.FrameNonce, follow.FrameHello, follow.FrameDelta, follow.FrameAck, follow.FrameRejection, follow.FrameSnapshotRequest} {
		got.WriteByte(kind)
	}
	if want := "NHDARW"; got.String() != want {
		t.Errorf("frame kinds %q, expected %q", got.String(), want)
	}
}

// Operators' tools and tools in this repository read these counters by name; docs/on-call.md lists the other counters.
func TestCountersThatToolsReadKeepTheirNames(t *testing.T) {
	var text bytes.Buffer
	m := newMetrics(0, logging.New(logging.NewFormatWriter(logging.JSON, &text), "info"))
	for c := range counterCount {
		m.add(c, int64(c)+1)
	}
	m.logCounters("counters")
	var line map[string]any
	if err := json.Unmarshal(text.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]counter{
		"reports_in": reportsIn, "usages_in": usagesIn, "samples_folded": samplesMerged, "probes_sent": healthChecksSent,
	} {
		if line[name] != float64(c)+1 {
			t.Errorf("%s is %v, expected %d", name, line[name], c+1)
		}
	}
	if line["event"] != "counters" {
		t.Errorf("event %v, expected counters", line["event"])
	}
}
