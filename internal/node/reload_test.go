package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
)

// A reload on SIGHUP must not end the manager, interrupt its service or dial the old addresses again, and an invalid file
// must change nothing.
func TestReloadSwitchesToTheNewAddresses(t *testing.T) {
	cfg := testConfig(t)
	n, err := New(cfg, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	next := cfg
	var relayRequests, discoveryRequests <-chan string
	next.Relay, relayRequests = startStreamServer(t, "event: joined\ndata: id=18&site=a&rps=21.5&new=1\n\n...")
	next.Discovery, discoveryRequests = startStreamServer(t, watchLine(43, false, "s-2")+"...")
	next.Name = "n9"
	readErrors := make(chan error, 2)
	readErrors <- errors.New("store.address: is missing")
	readErrors <- nil
	reload := make(chan os.Signal, 4)
	ended := make(chan error)
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		ended <- n.Run(ctx, Signals{Reload: reload}, func() (config.Config, error) { return next, <-readErrors })
	}()
	if got := <-relayRequests; got != "GET /v3/kv/stream HTTP/1.1" {
		t.Errorf("request to the new relay: %s", got)
	}
	if got := <-discoveryRequests; !strings.HasPrefix(got, "GET /discovery/hosts?watch=1&after=4") {
		t.Errorf("request to the new discovery: %s", got)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if valid, invalid := n.metrics.counts[reloads].Load(), n.metrics.counts[reloadsFailed].Load(); valid != 1 || invalid != 1 {
		t.Errorf("%d reloads and %d failed reloads counted, want 1 and 1", valid, invalid)
	}
}

// The old upstream is read until the new one has opened; after that, no input of the old one may follow.
func TestAnUpstreamServesUntilItsSuccessorHasOpened(t *testing.T) {
	before, _ := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	mayOpen := make(chan bool)
	after := startServer(t, func(c net.Conn) {
		<-mayOpen
		body := "event: joined\ndata: id=18&site=a&rps=21.5&new=1\n\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		io.ReadAll(c)
	})
	in, inputs := testReceiverWithInputs(t, testLimits, 0)
	old := testUpstream(t, before)
	go in.runProxyEvents(old)
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(proxyEventsOpened{}, proxyConnected{17, "a", 21.5}) {
		t.Fatal(got)
	}
	next := old.successor(t.Context(), after)
	go in.runProxyEvents(next)
	if old.ctx.Err() != nil {
		t.Error("the old upstream was canceled before the new one opened")
	}
	close(mayOpen)
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(proxyEventsOpened{}, proxyConnected{18, "a", 21.5}) {
		t.Error(got)
	}
	if old.ctx.Err() == nil {
		t.Error("the old upstream was not canceled after the new one opened")
	}
	<-old.done
}

// The stream of an upstream that has a successor must not be reopened at the old address.
func TestAReplacedUpstreamIsNotReopened(t *testing.T) {
	n := 0
	w := testUpstream(t, "")
	testReceiver(t, testLimits).runStream(w, "proxy_stream", proxyStreamBreaks, func() (bool, error) {
		n++
		w.successor(w.ctx, "")
		return true, errors.New("broken")
	})
	if n != 1 {
		t.Errorf("the stream was opened %d times, want 1", n)
	}
}

// After a reload, calls go to the new address, and none is lost.
func TestCallsUseTheAddressOfTheLastReload(t *testing.T) {
	r, calls := startTestRelay(t, testLimits)
	r.deliver(testWeights(1))
	other, otherCalls := startTestRelay(t, testLimits)
	r.setAddress(other.address)
	r.deliver(testWeights(2))
	expectCalls(t, calls, "share,0,s-1,1")
	expectCalls(t, otherCalls, "share,0,s-1,2")
}

// A watch that is reopened at a new address must continue from the version that the manager has.
func TestAWatchKeepsItsVersionAcrossAReload(t *testing.T) {
	state := &watchState{version: 41, unconfirmedVersion: -1}
	ids, _ := readWatchText(t, testLimits, state, watchLine(42, false, "s-1"))
	address, requests := startStreamServer(t, "")
	testReceiver(t, testLimits).readWatch(testUpstream(t, address), state)
	if got := <-requests; !strings.Contains(got, "after=42 ") || !slices.Equal(ids, []balancer.ServerID{"s-1"}) {
		t.Errorf("request %s with servers %v, want after=42 and s-1", got, ids)
	}
}

// Several reloads in quick succession, one of them with an unreachable address, must not leave old upstreams open or
// waiting for each other.
func TestSuccessiveUpstreamsAreAllReleased(t *testing.T) {
	first := testUpstream(t, "")
	close(first.done)
	second := first.successor(t.Context(), "127.0.0.1:1")
	in, inputs := testReceiverWithInputs(t, testLimits, 64)
	go in.runProxyEvents(second) // its stream never opens
	address, _ := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	third := second.successor(t.Context(), address)
	go in.runProxyEvents(third)
	<-inputs
	for i, w := range []*upstream{first, second} {
		if <-w.done; w.ctx.Err() == nil {
			t.Errorf("upstream %d is still open", i+1)
		}
	}
	if third.previous != nil {
		t.Error("the newest upstream still refers to its predecessors")
	}
}
