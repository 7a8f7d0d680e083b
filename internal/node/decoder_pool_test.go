package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
	"tamarindshore/internal/sharding"
)

// quickSettings are settings under which a test need not wait for long.
func quickSettings(n int) sharding.Settings {
	t := sharding.DefaultSettings(n)
	t.CheckInterval = 5 * time.Millisecond
	t.StallTimeout = 40 * time.Millisecond
	t.DrainTimeout = 50 * time.Millisecond
	t.RebalanceInterval = time.Hour
	t.MoveCooldown = 0
	t.MoveWindow = time.Millisecond
	t.MaxMoves = 1000
	t.QuarantineDuration = 100 * time.Millisecond
	return t
}

// startDecoderPool starts a receiver of several shards that accepts connections at an address; what it decodes waits in the
// pool's sample queue.
func startDecoderPool(t *testing.T, l config.Limits, settings sharding.Settings) (pool *decoderPool, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if l.MaxQueuedInputs == testLimits.MaxQueuedInputs {
		l.MaxQueuedInputs = 1 << 16 // so that nothing is merged, unless the test asks for it
	}
	l.ReadChunkBytes = 256
	l.MaxQueuedChunks = 4
	l.MaxCollectorConns = 64
	l.MaxUnidentifiedConns = 300
	l.MaxEmptyMessages = 64
	in := testReceiver(t, l)
	in.decoder.maxProxyID = maxProxyNumber
	in.decoderPool = newDecoderPool(in, newSampleQueue(l.MaxQueuedInputs, in.metrics), settings)
	go in.decoderPool.runAssignerClock()
	go in.acceptLoop(listener)
	return in.decoderPool, listener.Addr().String()
}

// rebalanceFrom makes the assigner spread work as if one shard's connections took all their time.
func (p *decoderPool) rebalanceFrom(heavy sharding.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cores := map[sharding.ConnID]float64{}
	for id := range p.conns {
		if owner, _ := p.assigner.Owner(id); owner.Shard == heavy {
			cores[id] = 0.3
		}
	}
	p.apply(func(now time.Duration) sharding.Actions { return p.assigner.HandleLoad(now, cores) })
}

// collectRequests takes samples from the queue until so many have come, and gives their requests by proxy in order.
func collectRequests(t *testing.T, p *sampleQueue, count int) map[balancer.ProxyID][]int {
	t.Helper()
	got := map[balancer.ProxyID][]int{}
	n := 0
	late := time.After(5 * time.Second)
	for n < count {
		select {
		case <-p.filled:
		case <-late:
			t.Fatalf("%d of %d samples came", n, count)
		}
		for _, s := range p.next(512, nil) {
			u := s.(sharding.UsageSample)
			got[u.Proxy] = append(got[u.Proxy], u.Requests)
			n++
		}
	}
	return got
}

// dialAndSendSamples sends a connection's numbered samples, cut anywhere.
func dialAndSendSamples(t *testing.T, address string, proxy, n int) {
	if c, err := net.Dial("tcp", address); err != nil {
		t.Error(err)
	} else {
		t.Cleanup(func() { c.Close() })
		sendSamples(c, "collector site=a\r\n", proxy, 0, n)
	}
}

func sendSamples(c net.Conn, text string, proxy, from, to int) {
	for i := from; i < to; i++ {
		text += fmt.Sprintf("usage id=%d lane=book count=%d fail=0 over=60000\r\n", proxy, i)
	}
	for at := 0; at < len(text); at += 97 {
		io.WriteString(c, text[at:min(at+97, len(text))])
	}
}

func assertInOrder(t *testing.T, got map[balancer.ProxyID][]int, n int, missing map[int]bool) {
	t.Helper()
	for p, requests := range got {
		want := 0
		for _, f := range requests {
			for missing[want] {
				want++
			}
			if f != want {
				t.Fatalf("proxy %d: sample %d where %d is due", p, f, want)
			}
			want++
		}
		for missing[want] {
			want++
		}
		if want != n {
			t.Errorf("proxy %d: %d of %d samples", p, want, n)
		}
	}
}

func TestConnectionsMoveBetweenShardsWhileSending(t *testing.T) {
	h, address := startDecoderPool(t, testLimits, quickSettings(4))
	const conns, rounds, n = 12, 10, 40
	var all []net.Conn
	for range conns {
		all = append(all, dialManager(t, address, "collector site=a\r\n"))
	}
	got := map[balancer.ProxyID][]int{}
	for round := range rounds {
		for p, c := range all {
			go sendSamples(c, "", p, round*n, (round+1)*n)
		}
		for i := range 4 {
			h.rebalanceFrom(sharding.ShardID((round + i) % 4))
			time.Sleep(time.Millisecond)
		}
		for p, requests := range collectRequests(t, h.samples, conns*n) {
			got[p] = append(got[p], requests...)
		}
	}
	assertInOrder(t, got, rounds*n, nil)
	if moved := h.receiver.metrics.counts[shardMoves].Load(); moved < 10 {
		t.Errorf("%d moves only", moved)
	}
}

func TestAStalledShardLosesNothing(t *testing.T) {
	h, address := startDecoderPool(t, testLimits, quickSettings(3))
	free := make(chan struct{})
	decode := h.decode
	var stuck atomic.Bool
	h.decode = func(line string) decodedLine {
		if strings.Contains(line, "count=150 ") && strings.Contains(line, "id=2 ") {
			if stuck.CompareAndSwap(false, true) {
				<-free
			}
		}
		return decode(line)
	}
	for p := range 6 {
		go dialAndSendSamples(t, address, p, 300)
	}
	got := collectRequests(t, h.samples, 6*300)
	close(free) // the stalled worker goes on, late, with what another shard has delivered meanwhile
	assertInOrder(t, got, 300, nil)
	time.Sleep(20 * time.Millisecond) // nothing shows that the worker has given its chunk up
	if late := h.samples.next(9, nil); len(late) > 0 {
		t.Errorf("delivered twice: %v", late)
	}
	if n := h.receiver.metrics.counts[shardRestarts].Load(); n < 1 {
		t.Errorf("%d shards restarted", n)
	}
}

func TestALineThatPanicsAWorkerIsLostAlone(t *testing.T) {
	h, address := startDecoderPool(t, testLimits, quickSettings(3))
	decode := h.decode
	h.decode = func(line string) decodedLine {
		if strings.Contains(line, "id=1 ") && strings.Contains(line, "count=77 ") {
			panic("a fault")
		}
		return decode(line)
	}
	for p := range 4 {
		go dialAndSendSamples(t, address, p, 200)
	}
	got := collectRequests(t, h.samples, 4*200-1)
	assertInOrder(t, map[balancer.ProxyID][]int{1: got[1]}, 200, map[int]bool{77: true})
	delete(got, 1)
	assertInOrder(t, got, 200, nil)
	if n := h.receiver.metrics.counts[decoderPanics].Load(); n != 1 {
		t.Errorf("%d decoder panics counted", n)
	}
}

func TestAFullSampleQueueMergesAndThenAppliesBackpressure(t *testing.T) {
	l := testLimits
	l.MaxQueuedInputs = 8
	h, address := startDecoderPool(t, l, quickSettings(2))
	for p := range 4 {
		go dialAndSendSamples(t, address, p, 500)
	}
	time.Sleep(50 * time.Millisecond)
	waits := h.samples.len()
	if waits > 8+2*8 {
		t.Errorf("%d samples wait", waits)
	}
	const want = 4 * 500 * 499 / 2 // all requests that the samples count
	sum := 0
	timeout := time.After(5 * time.Second)
	for sum < want {
		select {
		case <-h.samples.filled:
		case <-timeout:
			t.Fatalf("%d requests of %d", sum, want)
		}
		for _, one := range h.samples.next(512, nil) {
			sum += one.(sharding.UsageSample).Requests
		}
	}
	if sum != want {
		t.Errorf("%d requests of %d", sum, want)
	}
	if h.receiver.metrics.counts[samplesMerged].Load() == 0 {
		t.Error("nothing was merged")
	}
}

func TestMalformedLinesOnOneShardLeaveOthersAlone(t *testing.T) {
	h, address := startDecoderPool(t, testLimits, quickSettings(4))
	bad := dialManager(t, address, "collector site=a\r\n"+usageLine)
	for p := range 3 {
		go dialAndSendSamples(t, address, 100+p, 200)
	}
	go func() {
		for range 60 {
			io.WriteString(bad, "usage id=-4 lane=book count=x\r\n")
		}
		io.WriteString(bad, usageLine+"sing\r\n")
	}()
	got := collectRequests(t, h.samples, 2+3*200)
	if len(got[17]) != 2 {
		t.Errorf("%v of the malformed connection", got[17])
	}
	delete(got, 17)
	assertInOrder(t, got, 200, nil)
	if got := readToEnd(bad); got != "" {
		t.Errorf("%q", got)
	}
}

func TestUnidentifiedConnectionsOnEachShardAreClosedInTime(t *testing.T) {
	l := testLimits
	l.IdentifyTimeout = 100 * time.Millisecond
	h, address := startDecoderPool(t, l, quickSettings(4))
	var unidentified []net.Conn
	for i := range 200 {
		unidentified = append(unidentified, dialManager(t, address, []string{"", "GET / HTTP/1.1\r\n", "ping\r\n", "half"}[i%4]))
	}
	go dialAndSendSamples(t, address, 1, 100)
	assertInOrder(t, collectRequests(t, h.samples, 100), 100, nil)
	for i, c := range unidentified {
		if got := readToEnd(c); got != map[bool]string{true: "pong\r\n", false: ""}[i%4 == 2] {
			t.Fatalf("unidentified connection %d: %q", i, got)
		}
	}
	mustEventually(t, 500*time.Millisecond, "at most one connection known", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.conns) <= 1
	})
}

// BenchmarkIntake is what a line costs from the connection to the sample queue, by the number of shards.
func BenchmarkIntake(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("shards=", n), func(b *testing.B) {
			l := testLimits
			l.MaxQueuedInputs = 1 << 16
			l.ReadChunkBytes = 16 << 10
			l.MaxQueuedChunks = 4
			l.MaxEmptyMessages = 1 << 30
			in := testReceiver(b, l)
			in.decoderPool = newDecoderPool(in, newSampleQueue(l.MaxQueuedInputs, in.metrics), sharding.DefaultSettings(n))
			defer func() { in.decoderPool = nil }()
			text := []byte(strings.Repeat(usageLine, 300))
			var all sync.WaitGroup
			for i := range 16 {
				ours, theirs := net.Pipe()
				g := &collectorConn{state: collectorReporting, zone: "a"}
				g.Conn = ours
				g.deadline = time.Now().Add(time.Hour)
				g.lastReport = time.Now()
				in.conns = append(in.conns, g)
				go in.decoderPool.readConn(g)
				all.Go(func() {
					for at := i; at < b.N; at += 16 * 300 {
						theirs.Write(text)
					}
					theirs.Close()
				})
			}
			b.ResetTimer()
			for got := 0; got < b.N; {
				<-in.decoderPool.samples.filled
				for s := in.decoderPool.samples.next(512, nil); len(s) > 0; s = in.decoderPool.samples.next(512, s) {
					got += len(s)
				}
			}
			all.Wait()
		})
	}
}

// Guards against an answer that is lost by a close in the same piece.
func TestAPongIsSentBeforeACloseOnOneOfSeveralShards(t *testing.T) {
	_, address := startDecoderPool(t, testLimits, quickSettings(2))
	if got := readToEnd(dialManager(t, address, "ping\r\nsing\r\n")); got != "pong\r\n" {
		t.Errorf("%q", got)
	}
}
