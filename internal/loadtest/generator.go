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
	maxPingsPending = 4096 // of one connection
	writeTimeout    = 10 * time.Second
	reconnectDelay  = 50 * time.Millisecond
)

// loadGenerator sends messages to one manager, on one connection for each collector, from newLoadGenerator until stop.
// Its rate can change meanwhile. Its methods are safe for concurrent use.
type loadGenerator struct {
	address           string
	loops             []*messageLoop
	rate              atomic.Int64 // messages a second, of all collectors
	sent              atomic.Int64 // messages
	brokenConnections atomic.Int64
	sendDelay         atomic.Pointer[latencyRecorder]
	acceptLatency     atomic.Pointer[latencyRecorder]
	cancel            context.CancelFunc
	workers           sync.WaitGroup
}

// newLoadGenerator connects the collectors of a site. They send nothing until there is a rate.
func newLoadGenerator(address string, site fakes.Site, collectorsPerZone int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	g := &loadGenerator{address: address, loops: newMessageLoops(site, collectorsPerZone), cancel: cancel}
	g.resetRecorders()
	for i, loop := range g.loops {
		g.workers.Go(func() { g.runCollector(ctx, loop, i) })
	}
	return g
}

// resetRecorders begins new measurements.
func (g *loadGenerator) resetRecorders() {
	g.sendDelay.Store(newLatencyRecorder())
	g.acceptLatency.Store(newLatencyRecorder())
}

// stop ends all connections.
func (g *loadGenerator) stop() {
	g.cancel()
	g.workers.Wait()
}

// runCollector keeps one collector connected.
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

// connect opens a collector's connection and sends on it. It returns nil once the context ends, or why the connection
// broke.
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
		generator:  g,
		connection: connection,
		loop:       loop,
		rate:       -1,
		started:    time.Now(),
		pinged:     time.Duration(index) * time.Millisecond,
		pings:      make(chan time.Time, maxPingsPending),
	}
	reader.Go(c.readAnswers)
	return c.send(ctx)
}

// collector is one collector's open connection.
type collector struct {
	generator  *loadGenerator
	connection net.Conn
	loop       *messageLoop
	schedule   Schedule
	rate       int64          // that the schedule was made for; -1: none was
	started    time.Time      // of the schedule
	pinged     time.Duration  // since then
	pings      chan time.Time // when those were due that have no answer yet
}

// readAnswers measures the answers to pings until the connection ends. A ping is answered once all before it is accepted.
func (c *collector) readAnswers() {
	answers := bufio.NewReader(c.connection)
	for {
		if _, err := answers.ReadString('\n'); err != nil {
			return
		}
		select {
		case due := <-c.pings:
			c.generator.acceptLatency.Load().record(time.Since(due), 1)
		default:
		}
	}
}

// send sends what is due until the context ends.
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
		sinceStart := time.Since(c.started)
		count, lastDue := c.schedule.Due(sinceStart)
		if err := c.sendMessages(count, lastDue); err != nil {
			return err
		}
		if err := c.ping(sinceStart); err != nil {
			return err
		}
	}
}

// updateRate begins a new schedule where the generator's rate has changed.
func (c *collector) updateRate() {
	rate := c.generator.rate.Load()
	if rate == c.rate {
		return
	}
	c.rate = rate
	c.started = time.Now()
	c.schedule = Schedule{Rate: float64(rate) / float64(len(c.generator.loops))}
	c.pinged = 0
}

// sendMessages writes so many messages, the last of which was due at a time since the start of the schedule.
func (c *collector) sendMessages(count int, lastDue time.Duration) error {
	for count > 0 {
		text, taken := c.loop.take(count)
		c.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.connection.Write(text); err != nil {
			return err
		}
		count -= taken
		c.generator.sent.Add(int64(taken))
		c.generator.sendDelay.Load().record(time.Since(c.started)-lastDue, taken)
	}
	return nil
}

// ping sends a ping where one is due, unless as many are pending as can be remembered.
func (c *collector) ping(sinceStart time.Duration) error {
	if sinceStart-c.pinged < pingInterval {
		return nil
	}
	due := c.started.Add(c.pinged + pingInterval)
	c.pinged = sinceStart
	select {
	case c.pings <- due:
		_, err := c.connection.Write([]byte("ping\r\n"))
		return err
	default:
		return nil
	}
}
