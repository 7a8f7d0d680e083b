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

// quickSettings returns settings for n shards, with times so short that tests need not wait long.
func quickSettings(n int) sharding.Settings {
	settings := sharding.DefaultSettings(n)
	settings.CheckInterval = 5 * time.Millisecond
	settings.StallTimeout = 40 * time.Millisecond
	settings.DrainTimeout = 50 * time.Millisecond
	settings.RebalanceInterval = time.Hour
	settings.MoveCooldown = 0
	settings.MoveWindow = time.Millisecond
	settings.MaxMoves = 1000
	settings.QuarantineDuration = 100 * time.Millisecond
	return settings
}

// startDecoderPool starts a receiver that decodes on several shards. It returns the receiver's decoder pool, whose sample
// queue receives the decoded samples, and its address.
func startDecoderPool(t *testing.T, limits config.Limits, settings sharding.Settings) (pool *decoderPool, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if limits.MaxQueuedInputs == testLimits.MaxQueuedInputs {
		limits.MaxQueuedInputs = 1 << 16 // large enough that nothing is merged; a test may set another limit
	}
	limits.ReadChunkBytes = 256
	limits.MaxQueuedChunks = 4
	limits.MaxCollectorConns = 64
	limits.MaxUnidentifiedConns = 300
	limits.MaxMessagesWithoutReport = 64
	r := testReceiver(t, limits)
	r.decoder.maxProxyID = maxProxyNumber
	r.decoderPool = newDecoderPool(r, newSampleQueue(limits.MaxQueuedInputs, r.metrics), settings)
	go r.decoderPool.runAssignerClock()
	go r.acceptLoop(listener)
	return r.decoderPool, listener.Addr().String()
}

// rebalanceFrom makes the assigner move connections away from a shard, by reporting a high load on each connection of it.
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

// collectRequests takes count samples from the queue and returns their numbers of requests, in order, by proxy.
func collectRequests(t *testing.T, queue *sampleQueue, count int) map[balancer.ProxyID][]int {
	t.Helper()
	got := map[balancer.ProxyID][]int{}
	n := 0
	timeout := time.After(5 * time.Second)
	for n < count {
		select {
		case <-queue.filled:
		case <-timeout:
			t.Fatalf("received %d of %d samples within 5 s", n, count)
		}
		for _, one := range queue.next(512, nil) {
			usage := one.(sharding.UsageSample)
			got[usage.Proxy] = append(got[usage.Proxy], usage.Requests)
			n++
		}
	}
	return got
}

// dialAndSendSamples opens a connection and sends n samples of a proxy, with 0 to n-1 requests.
func dialAndSendSamples(t *testing.T, address string, proxy, n int) {
	if c, err := net.Dial("tcp", address); err != nil {
		t.Error(err)
	} else {
		t.Cleanup(func() { c.Close() })
		sendSamples(c, "collector site=a\r\n", proxy, 0, n)
	}
}

// sendSamples sends text, then one sample of a proxy for each number of requests in [from, to). It writes pieces of 97
// bytes, so that most lines are split between two writes.
func sendSamples(c net.Conn, text string, proxy, from, to int) {
	for i := from; i < to; i++ {
		text += fmt.Sprintf("usage id=%d lane=book count=%d fail=0 over=60000\r\n", proxy, i)
	}
	for at := 0; at < len(text); at += 97 {
		io.WriteString(c, text[at:min(at+97, len(text))])
	}
}

// assertInOrder checks that each proxy's samples have 0 to n-1 requests, in this order and without the numbers in missing.
func assertInOrder(t *testing.T, got map[balancer.ProxyID][]int, n int, missing map[int]bool) {
	t.Helper()
	for proxy, requests := range got {
		want := 0
		for _, number := range requests {
			for missing[want] {
				want++
			}
			if number != want {
				t.Fatalf("proxy %d: received sample %d, expected sample %d", proxy, number, want)
			}
			want++
		}
		for missing[want] {
			want++
		}
		if want != n {
			t.Errorf("proxy %d: received %d of %d samples", proxy, want, n)
		}
	}
}

func TestConnectionsMoveBetweenShardsWhileSending(t *testing.T) {
	pool, address := startDecoderPool(t, testLimits, quickSettings(4))
	const connCount, rounds, n = 12, 10, 40
	var conns []net.Conn
	for range connCount {
		conns = append(conns, dialManager(t, address, "collector site=a\r\n"))
	}
	got := map[balancer.ProxyID][]int{}
	for round := range rounds {
		for proxy, c := range conns {
			go sendSamples(c, "", proxy, round*n, (round+1)*n)
		}
		for i := range 4 {
			pool.rebalanceFrom(sharding.ShardID((round + i) % 4))
			time.Sleep(time.Millisecond)
		}
		for proxy, requests := range collectRequests(t, pool.samples, connCount*n) {
			got[proxy] = append(got[proxy], requests...)
		}
	}
	assertInOrder(t, got, rounds*n, nil)
	if moved := pool.receiver.metrics.counts[shardMoves].Load(); moved < 10 {
		t.Errorf("counted %d moves, expected at least 10", moved)
	}
}

func TestAStalledShardLosesNothing(t *testing.T) {
	pool, address := startDecoderPool(t, testLimits, quickSettings(3))
	unblock := make(chan struct{})
	decode := pool.decode
	var stalled atomic.Bool
	pool.decode = func(line string) decodedLine {
		if strings.Contains(line, "count=150 ") && strings.Contains(line, "id=2 ") {
			if stalled.CompareAndSwap(false, true) {
				<-unblock
			}
		}
		return decode(line)
	}
	for proxy := range 6 {
		go dialAndSendSamples(t, address, proxy, 300)
	}
	got := collectRequests(t, pool.samples, 6*300)
	close(unblock) // the stalled worker goes on with a chunk that another shard has delivered in the meantime
	assertInOrder(t, got, 300, nil)
	time.Sleep(20 * time.Millisecond) // there is no signal that the worker has discarded its chunk
	if repeated := pool.samples.next(9, nil); len(repeated) > 0 {
		t.Errorf("delivered twice: %v", repeated)
	}
	if n := pool.receiver.metrics.counts[shardRestarts].Load(); n < 1 {
		t.Errorf("%d shards restarted, expected at least 1", n)
	}
}

func TestOnlyTheLineThatPanicsAWorkerIsLost(t *testing.T) {
	pool, address := startDecoderPool(t, testLimits, quickSettings(3))
	decode := pool.decode
	pool.decode = func(line string) decodedLine {
		if strings.Contains(line, "id=1 ") && strings.Contains(line, "count=77 ") {
			panic("a decoder fault")
		}
		return decode(line)
	}
	for proxy := range 4 {
		go dialAndSendSamples(t, address, proxy, 200)
	}
	got := collectRequests(t, pool.samples, 4*200-1)
	assertInOrder(t, map[balancer.ProxyID][]int{1: got[1]}, 200, map[int]bool{77: true})
	delete(got, 1)
	assertInOrder(t, got, 200, nil)
	if n := pool.receiver.metrics.counts[decoderPanics].Load(); n != 1 {
		t.Errorf("%d decoder panics counted, expected 1", n)
	}
}

func TestAFullSampleQueueMergesAndThenAppliesBackpressure(t *testing.T) {
	limits := testLimits
	limits.MaxQueuedInputs = 8
	pool, address := startDecoderPool(t, limits, quickSettings(2))
	for proxy := range 4 {
		go dialAndSendSamples(t, address, proxy, 500)
	}
	time.Sleep(50 * time.Millisecond)
	waiting := pool.samples.len()
	if waiting > 8+2*8 {
		t.Errorf("%d samples are queued, expected at most %d", waiting, 8+2*8)
	}
	const want = 4 * 500 * 499 / 2 // sum of the requests in all samples
	sum := 0
	timeout := time.After(5 * time.Second)
	for sum < want {
		select {
		case <-pool.samples.filled:
		case <-timeout:
			t.Fatalf("received %d of %d requests within 5 s", sum, want)
		}
		for _, one := range pool.samples.next(512, nil) {
			sum += one.(sharding.UsageSample).Requests
		}
	}
	if sum != want {
		t.Errorf("received %d requests, expected %d", sum, want)
	}
	if pool.receiver.metrics.counts[samplesMerged].Load() == 0 {
		t.Error("no samples were merged")
	}
}

func TestMalformedLinesOnOneShardDoNotAffectOthers(t *testing.T) {
	pool, address := startDecoderPool(t, testLimits, quickSettings(4))
	malformedConn := dialManager(t, address, "collector site=a\r\n"+usageLine)
	for proxy := range 3 {
		go dialAndSendSamples(t, address, 100+proxy, 200)
	}
	go func() {
		for range 60 {
			io.WriteString(malformedConn, "usage id=-4 lane=book count=x\r\n")
		}
		io.WriteString(malformedConn, usageLine+"sing\r\n")
	}()
	got := collectRequests(t, pool.samples, 2+3*200)
	if len(got[17]) != 2 {
		t.Errorf("samples %v of the connection with malformed lines, expected two", got[17])
	}
	delete(got, 17)
	assertInOrder(t, got, 200, nil)
	if got := readToEnd(malformedConn); got != "" {
		t.Errorf("answered %q, expected only a close", got)
	}
}

func TestUnidentifiedConnectionsOnEachShardAreClosedInTime(t *testing.T) {
	limits := testLimits
	limits.IdentifyTimeout = 100 * time.Millisecond
	pool, address := startDecoderPool(t, limits, quickSettings(4))
	var unidentified []net.Conn
	for i := range 200 {
		unidentified = append(unidentified, dialManager(t, address, []string{"", "GET / HTTP/1.1\r\n", "ping\r\n", "half"}[i%4]))
	}
	go dialAndSendSamples(t, address, 1, 100)
	assertInOrder(t, collectRequests(t, pool.samples, 100), 100, nil)
	for i, c := range unidentified {
		if got := readToEnd(c); got != map[bool]string{true: "pong\r\n", false: ""}[i%4 == 2] {
			t.Fatalf("unidentified connection %d: answered %q", i, got)
		}
	}
	mustEventually(t, 500*time.Millisecond, "the pool keeps at most one connection", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.conns) <= 1
	})
}

// BenchmarkIntake measures the cost of a line from the connection to the sample queue, by the number of shards.
func BenchmarkIntake(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("shards=", n), func(b *testing.B) {
			limits := testLimits
			limits.MaxQueuedInputs = 1 << 16
			limits.ReadChunkBytes = 16 << 10
			limits.MaxQueuedChunks = 4
			limits.MaxMessagesWithoutReport = 1 << 30
			r := testReceiver(b, limits)
			r.decoderPool = newDecoderPool(r, newSampleQueue(limits.MaxQueuedInputs, r.metrics), sharding.DefaultSettings(n))
			defer func() { r.decoderPool = nil }()
			text := []byte(strings.Repeat(usageLine, 300))
			var all sync.WaitGroup
			for i := range 16 {
				ours, theirs := net.Pipe()
				conn := &collectorConn{state: collectorReporting, zone: "a"}
				conn.Conn = ours
				conn.deadline = time.Now().Add(time.Hour)
				conn.lastReport = time.Now()
				r.conns = append(r.conns, conn)
				go r.decoderPool.readConn(conn)
				all.Go(func() {
					for at := i; at < b.N; at += 16 * 300 {
						theirs.Write(text)
					}
					theirs.Close()
				})
			}
			b.ResetTimer()
			for got := 0; got < b.N; {
				<-r.decoderPool.samples.filled
				for batch := r.decoderPool.samples.next(512, nil); len(batch) > 0; batch = r.decoderPool.samples.next(512, batch) {
					got += len(batch)
				}
			}
			all.Wait()
		})
	}
}

// A pong must not be lost when another line in the same chunk ends the connection.
func TestAPongIsSentBeforeACloseOnOneOfSeveralShards(t *testing.T) {
	_, address := startDecoderPool(t, testLimits, quickSettings(2))
	if got := readToEnd(dialManager(t, address, "ping\r\nsing\r\n")); got != "pong\r\n" {
		t.Errorf("answered %q, expected a pong", got)
	}
}
