package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarindshore/internal/config"
	"tamarindshore/internal/logging"
)

func testConfig(t *testing.T) config.Config {
	discovery, _ := startStreamServer(t, watchLine(42, false, "s-1")+"...")
	relay, _ := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	return config.Config{Name: "n1", Listen: freeAddress(t), Discovery: discovery, Relay: relay, Seed: 1, Limits: testLimits,
		Balancer: testSettings, ClassNames: []string{"lookup"}, CachedEndpointList: json.RawMessage(`{"generation":41,"instances":[]}`)}
}

// occupyAddress has something listen at an address until the test ends.
func occupyAddress(t *testing.T, address string) net.Listener {
	t.Helper()
	at, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { at.Close() })
	return at
}

func TestRunEndsOnSIGTERMWithItsCounters(t *testing.T) {
	var text bytes.Buffer
	s := testConfig(t)
	s.Limits.Memory = 192 << 20
	s.Limits.Cores = 1
	n, err := New(s, &text)
	if err != nil {
		t.Fatal(err)
	}
	count := make(chan os.Signal)
	ctx, end := context.WithCancel(t.Context())
	go func() {
		count <- syscall.SIGUSR1
		end()
	}()
	if err := n.Run(ctx, Signals{LogCounters: count}, nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"event=counters ", "event=end ", " reports_in=0 "} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in %s", want, text.String())
		}
	}
}

func TestRunNamesAnAddressThatIsTaken(t *testing.T) {
	s := testConfig(t)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n, err := New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Run(t.Context(), Signals{}, nil); err == nil || !strings.HasPrefix(err.Error(), "listen: ") {
		t.Error(err)
	}
}

// Guards against a start that fails because the process before it has not ended yet.
func TestRunWaitsForItsAddress(t *testing.T) {
	s := testConfig(t)
	s.Limits.ListenTimeout = time.Minute
	before := occupyAddress(t, s.Listen)
	tried := time.AfterFunc(20*time.Millisecond, func() { before.Close() })
	defer tried.Stop()
	at, err := listen(t.Context(), s.Listen, s.Limits)
	if err != nil {
		t.Fatal(err)
	}
	at.Close()
}

// Guards against an end that waits for an address in use.
func TestAnEndReachesAStartThatWaitsForItsAddress(t *testing.T) {
	s := testConfig(t)
	s.Limits.ListenTimeout = time.Hour
	occupyAddress(t, s.Listen)
	ctx, end := context.WithCancel(t.Context())
	end()
	if at, err := listen(ctx, s.Listen, s.Limits); err == nil {
		at.Close()
		t.Error("it listens at an address in use")
	}
}

// Guards against a restart that is never ready because the relay is out of reach.
func TestReadyAfterAWhileWithoutTheRelay(t *testing.T) {
	r := readiness{startedAt: time.Now(), timeout: time.Hour}
	if r.ready() {
		t.Error("ready before the relay's event stream and its timeout")
	}
	if r.noteRelayOpened(); !r.ready() {
		t.Error("not ready with the relay's event stream")
	}
	if r := (readiness{startedAt: time.Now().Add(-time.Second), timeout: time.Second}); !r.ready() {
		t.Error("not ready after its time")
	}
}

func TestNewNamesAnInvalidInitialList(t *testing.T) {
	s := testConfig(t)
	s.CachedEndpointList = json.RawMessage(`{"instances":[]}`)
	if _, err := New(s, io.Discard); err == nil || err.Error() != "known: generation: is missing" {
		t.Error(err)
	}
}

func TestLogLineHasEveryCounter(t *testing.T) {
	var text bytes.Buffer
	b := newMetrics(0, logging.New(logging.NewFormatWriter(logging.Text, &text), "info"))
	b.add(reloadsFailed, 3)
	b.logCounters("counters")
	if line := strings.TrimSpace(text.String()); strings.Count(line, "=") != int(counterCount)+1 || !strings.Contains(line, " reloads_failed=3 ") {
		t.Error(line)
	}
}
