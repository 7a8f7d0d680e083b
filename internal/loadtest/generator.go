package loadtest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tamarindshore/internal/fakes"
)

const (
	sendInterval    = 2 * time.Millisecond
	pingInterval    = 20 * time.Millisecond
	maxPendingPings = 4096 // unanswered pings per connection
	writeTimeout    = 10 * time.Second
	reconnectDelay  = 50 * time.Millisecond
)

// loadGenerator sends messages to one manager on one connection per collector until stop is called. Its rate can be
// changed at any time. Its methods are safe for concurrent use.
type loadGenerator struct {
	address           string
	loops             []*messageLoop
	rate              atomic.Int64 // messages per second, of all collectors together
	sent              atomic.Int64 // number of messages
	brokenConnections atomic.Int64
	sendDelay         atomic.Pointer[latencyRecorder]
	acceptLatency     atomic.Pointer[latencyRecorder]
	cancel            context.CancelFunc
	workers           sync.WaitGroup
}

// newLoadGenerator connects the collectors of a site. They send only pings until a rate is set.
func newLoadGenerator(address string, site fakes.Site, collectorsPerZone int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	g := &loadGenerator{address: address, loops: newMessageLoops(site, collectorsPerZone), cancel: cancel}
	g.resetRecorders()
	for i, loop := range g.loops {
		g.workers.Go(func() { g.runCollector(ctx, loop, i) })
	}
	return g
}

// resetRecorders discards the latencies recorded so far.
func (g *loadGenerator) resetRecorders() {
	g.sendDelay.Store(newLatencyRecorder())
	g.acceptLatency.Store(newLatencyRecorder())
}

// stop closes all connections and waits for the collectors to end.
func (g *loadGenerator) stop() {
	g.cancel()
	g.workers.Wait()
}

// runCollector keeps one collector connected until the context ends. It reconnects after a broken connection.
func (g *loadGenerator) runCollector(ctx context.Context, loop *messageLoop, index int) {
	for {
		if err := g.connect(ctx, loop, index); err == nil {
			return
		}
		g.brokenConnections.Add(1)
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// connect opens a collector's connection and sends on it. It returns nil if the context ended, otherwise the error that
// broke the connection.
func (g *loadGenerator) connect(ctx context.Context, loop *messageLoop, index int) error {
	connection, err := net.Dial("tcp", g.address)
	if err != nil {
		return err
	}
	var reader sync.WaitGroup
	defer reader.Wait()
	defer connection.Close()
	if _, err := fmt.Fprintf(connection, "collector site=%s\r\n", loop.zone); err != nil {
		return err
	}
	c := &collector{
		generator:     g,
		connection:    connection,
		loop:          loop,
		rate:          -1,
		scheduleStart: time.Now(),
		lastPing:      time.Duration(index) * time.Millisecond,
		pendingPings:  make(chan time.Time, maxPendingPings),
	}
	reader.Go(c.readAnswers)
	return c.send(ctx)
}

// collector is the open connection of one collector.
type collector struct {
	generator     *loadGenerator
	connection    net.Conn
	loop          *messageLoop
	schedule      Schedule
	rate          int64          // generator rate that the schedule is based on; -1 before there is a schedule
	scheduleStart time.Time      // start of the schedule
	lastPing      time.Duration  // time of the last ping, relative to scheduleStart
	pendingPings  chan time.Time // due times of the unanswered pings
}

// readAnswers records the latency of each answer to a ping until the connection ends. The manager answers a ping once it
// has accepted all earlier messages on the connection.
func (c *collector) readAnswers() {
	answers := bufio.NewReader(c.connection)
	for {
		if _, err := answers.ReadString('\n'); err != nil {
			return
		}
		select {
		case due := <-c.pendingPings:
			c.generator.acceptLatency.Load().record(time.Since(due), 1)
		default:
		}
	}
}

// send sends the messages and pings that are due until the context ends or a write fails.
func (c *collector) send(ctx context.Context) error {
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c.updateRate()
		sinceStart := time.Since(c.scheduleStart)
		count, lastDue := c.schedule.TakeDue(sinceStart)
		if err := c.sendMessages(count, lastDue); err != nil {
			return err
		}
		if err := c.ping(sinceStart); err != nil {
			return err
		}
	}
}

// updateRate starts a new schedule if the generator's rate has changed.
func (c *collector) updateRate() {
	rate := c.generator.rate.Load()
	if rate == c.rate {
		return
	}
	c.rate = rate
	c.scheduleStart = time.Now()
	c.schedule = Schedule{Rate: float64(rate) / float64(len(c.generator.loops))}
	c.lastPing = 0
}

// sendMessages writes count messages. lastDue is when the last of them was due, relative to the start of the schedule.
func (c *collector) sendMessages(count int, lastDue time.Duration) error {
	for count > 0 {
		data, messages := c.loop.nextMessages(count)
		c.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.connection.Write(data); err != nil {
			return err
		}
		count -= messages
		c.generator.sent.Add(int64(messages))
		c.generator.sendDelay.Load().record(time.Since(c.scheduleStart)-lastDue, messages)
	}
	return nil
}

// ping sends a ping if one is due, unless maxPendingPings are unanswered.
func (c *collector) ping(sinceStart time.Duration) error {
	if sinceStart-c.lastPing < pingInterval {
		return nil
	}
	due := c.scheduleStart.Add(c.lastPing + pingInterval)
	c.lastPing = sinceStart
	select {
	case c.pendingPings <- due:
		_, err := c.connection.Write([]byte("ping\r\n"))
		return err
	default:
		return nil
	}
}
