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

// Guards against an end, a gap or a dial of the old addresses at SIGHUP, and against half a reload by a
// faulty file.
func TestReloadMovesToTheFilesAddresses(t *testing.T) {
	s := testConfig(t)
	n, err := New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	next := s
	var relayAsked, discoveryAsked <-chan string
	next.Relay, relayAsked = startStreamServer(t, "event: joined\ndata: id=18&site=a&rps=21.5&new=1\n\n...")
	next.Discovery, discoveryAsked = startStreamServer(t, watchLine(43, false, "s-2")+"...")
	next.Name = "n9"
	files := make(chan error, 2)
	files <- errors.New("store.address: is missing")
	files <- nil
	reload := make(chan os.Signal, 4)
	ended := make(chan error)
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
	ctx, end := context.WithCancel(t.Context())
	go func() {
		ended <- n.Run(ctx, Signals{Reload: reload}, func() (config.Config, error) { return next, <-files })
	}()
	if got := <-relayAsked; got != "GET /v3/kv/stream HTTP/1.1" {
		t.Errorf("relay: %s", got)
	}
	if got := <-discoveryAsked; !strings.HasPrefix(got, "GET /discovery/hosts?watch=1&after=4") {
		t.Errorf("discovery: %s", got)
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if good, faulty := n.metrics.counts[reloads].Load(), n.metrics.counts[reloadsFailed].Load(); good != 1 || faulty != 1 {
		t.Errorf("%d reloads, %d faulty", good, faulty)
	}
}

// The old upstream serves until the new one has opened; what it held back by then no longer counts.
func TestAnUpstreamServesUntilItsSuccessorHasOpened(t *testing.T) {
	before, _ := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	late := make(chan bool)
	after := startServer(t, func(c net.Conn) {
		<-late
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
		t.Error("given up before the next has opened")
	}
	close(late)
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(proxyEventsOpened{}, proxyConnected{18, "a", 21.5}) {
		t.Error(got)
	}
	if old.ctx.Err() == nil {
		t.Error("kept after the next has opened")
	}
	<-old.done
}

// Guards against dialling an old address again.
func TestAReplacedUpstreamIsNotReopened(t *testing.T) {
	n := 0
	w := testUpstream(t, "")
	testReceiver(t, testLimits).runStream(w, "proxy_stream", proxyStreamBreaks, func() (bool, error) {
		n++
		w.successor(w.ctx, "")
		return true, errors.New("broken")
	})
	if n != 1 {
		t.Errorf("opened %d times", n)
	}
}

// Guards against calls to the old address, and against a call lost by the move.
func TestCallsFollowAReload(t *testing.T) {
	r, calls := startTestRelay(t, testLimits)
	r.deliver(testWeights(1))
	other, elsewhere := startTestRelay(t, testLimits)
	r.setAddress(other.address)
	r.deliver(testWeights(2))
	expectCalls(t, calls, "share,0,s-1,1")
	expectCalls(t, elsewhere, "share,0,s-1,2")
}

// Guards against a watch that loses the version held when it moves.
func TestAWatchKeepsItsVersionAcrossAReload(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	ids, _ := readWatchText(t, testLimits, held, watchLine(42, false, "s-1"))
	address, asked := startStreamServer(t, "")
	testReceiver(t, testLimits).readWatch(testUpstream(t, address), held)
	if got := <-asked; !strings.Contains(got, "after=42 ") || !slices.Equal(ids, []balancer.ServerID{"s-1"}) {
		t.Errorf("%s %v", got, ids)
	}
}

// Guards against old upstreams that are left open, or wait for one another, when reloads follow quickly or one
// names an address that is out of reach.
func TestSuccessiveUpstreamsAreAllReleased(t *testing.T) {
	first := testUpstream(t, "")
	close(first.done)
	second := first.successor(t.Context(), "127.0.0.1:1")
	in, inputs := testReceiverWithInputs(t, testLimits, 64)
	go in.runProxyEvents(second) // it never opens
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
		t.Error("old upstreams are remembered")
	}
}
