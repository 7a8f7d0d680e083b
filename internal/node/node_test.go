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

// occupyAddress listens at an address until the test ends.
func occupyAddress(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func TestRunLogsItsCountersAtShutdown(t *testing.T) {
	var text bytes.Buffer
	cfg := testConfig(t)
	cfg.Limits.Memory = 192 << 20
	cfg.Limits.Cores = 1
	n, err := New(cfg, &text)
	if err != nil {
		t.Fatal(err)
	}
	logCounters := make(chan os.Signal)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		logCounters <- syscall.SIGUSR1
		cancel()
	}()
	if err := n.Run(ctx, Signals{LogCounters: logCounters}, nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"event=counters ", "event=end ", " reports_in=0 "} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the log has no %q:\n%s", want, text.String())
		}
	}
}

func TestRunReportsAnAddressInUse(t *testing.T) {
	cfg := testConfig(t)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	n, err := New(cfg, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Run(t.Context(), Signals{}, nil); err == nil || !strings.HasPrefix(err.Error(), "listen: ") {
		t.Errorf("error %v, want one that begins with \"listen: \"", err)
	}
}

// A start must not fail because the previous process has not released the address yet.
func TestListenWaitsForAnAddressInUse(t *testing.T) {
	cfg := testConfig(t)
	cfg.Limits.ListenTimeout = time.Minute
	previous := occupyAddress(t, cfg.Listen)
	release := time.AfterFunc(20*time.Millisecond, func() { previous.Close() })
	defer release.Stop()
	listener, err := listen(t.Context(), cfg.Listen, cfg.Limits)
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
}

// A shutdown during the start must not wait until the address becomes free.
func TestListenStopsWaitingAtShutdown(t *testing.T) {
	cfg := testConfig(t)
	cfg.Limits.ListenTimeout = time.Hour
	occupyAddress(t, cfg.Listen)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if listener, err := listen(ctx, cfg.Listen, cfg.Limits); err == nil {
		listener.Close()
		t.Error("listen succeeded at an address in use")
	}
}

// A manager that restarts while the relay is unreachable must become ready after the timeout.
func TestReadyAfterATimeoutWithoutTheRelay(t *testing.T) {
	r := readiness{startedAt: time.Now(), timeout: time.Hour}
	if r.ready() {
		t.Error("ready before the relay's event stream opened and before the timeout")
	}
	if r.noteRelayOpened(); !r.ready() {
		t.Error("not ready after the relay's event stream opened")
	}
	if r := (readiness{startedAt: time.Now().Add(-time.Second), timeout: time.Second}); !r.ready() {
		t.Error("not ready after the timeout")
	}
}

func TestNewReportsAnInvalidEndpointList(t *testing.T) {
	cfg := testConfig(t)
	cfg.CachedEndpointList = json.RawMessage(`{"instances":[]}`)
	if _, err := New(cfg, io.Discard); err == nil || err.Error() != "known: generation: is missing" {
		t.Errorf("error %v, want \"known: generation: is missing\"", err)
	}
}

func TestLogLineHasEveryCounter(t *testing.T) {
	var text bytes.Buffer
	m := newMetrics(0, logging.New(logging.NewFormatWriter(logging.Text, &text), "info"))
	m.add(reloadsFailed, 3)
	m.logCounters("counters")
	if line := strings.TrimSpace(text.String()); strings.Count(line, "=") != int(counterCount)+1 ||
		!strings.Contains(line, " reloads_failed=3 ") {
		t.Errorf("log line %q, want %d counters and reloads_failed=3", line, counterCount)
	}
}
