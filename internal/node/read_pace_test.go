package node

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// bufferedConn is a fake connection whose reads return what is in the buffer arrived.
type bufferedConn struct {
	net.Conn
	arrived bytes.Buffer
	reads   int
}

func (c *bufferedConn) Read(into []byte) (int, error) {
	c.reads++
	return c.arrived.Read(into)
}

func (c *bufferedConn) SetReadDeadline(time.Time) error { return nil }

// pacedConn returns a connection whose read pace has a clock that is stopped at a time. Instead of sleeping, the pace calls
// arrives with the duration that it would sleep for.
func pacedConn(interval time.Duration, at time.Time, arrives func(conn *bufferedConn, waited time.Duration)) (*deadlineConn, *bufferedConn) {
	peer := &bufferedConn{}
	pace := newReadPace(interval)
	pace.now = func() time.Time { return at }
	pace.sleep = func(waited time.Duration) { arrives(peer, waited) }
	return &deadlineConn{Conn: peer, pace: pace, idleTimeout: time.Minute, deadline: at.Add(time.Hour)}, peer
}

func TestMessagesOfOneIntervalAreReadTogether(t *testing.T) {
	waits := 0
	conn, peer := pacedConn(50*time.Millisecond, time.Unix(0, 0), func(peer *bufferedConn, _ time.Duration) {
		waits++
		if waits == 1 {
			peer.arrived.WriteString("second\nthird\n")
		}
	})
	peer.arrived.WriteString("first\n")
	var lines []string
	readsAt := map[string]int{}
	err := readLines(conn, func() int { return 100 }, func(line []byte) error {
		lines = append(lines, string(line))
		readsAt[string(line)] = peer.reads
		return nil
	})
	if err != io.EOF || strings.Join(lines, " ") != "first second third" {
		t.Fatalf("read lines %v, error %v", lines, err)
	}
	if readsAt["first"] != 1 || readsAt["second"] != 2 || readsAt["third"] != 2 || waits < 1 {
		t.Errorf("the read that returned each line: %v, after %d waits; expected first in read 1, second and third in read 2", readsAt, waits)
	}
}

func TestAReadWaitsForTheNextMultipleOfTheInterval(t *testing.T) {
	var waited []time.Duration
	record := func(_ *bufferedConn, wait time.Duration) { waited = append(waited, wait) }
	for _, passed := range []time.Duration{0, 10 * time.Millisecond, 49 * time.Millisecond} {
		conn, peer := pacedConn(50*time.Millisecond, time.Unix(1000, 0).Add(passed), record)
		peer.arrived.WriteString("line\n")
		buffer := make([]byte, 100)
		conn.Read(buffer)
		conn.Read(buffer)
	}
	want := []time.Duration{50 * time.Millisecond, 40 * time.Millisecond, time.Millisecond}
	if len(waited) != len(want) || waited[0] != want[0] || waited[1] != want[1] || waited[2] != want[2] {
		t.Errorf("waited %v, expected %v", waited, want)
	}
}

// When a read fills its buffer, more data may be available; reading it must not be delayed.
func TestAReadAfterAFilledBufferIsNotDelayed(t *testing.T) {
	waits := 0
	conn, peer := pacedConn(50*time.Millisecond, time.Unix(0, 0), func(*bufferedConn, time.Duration) { waits++ })
	peer.arrived.WriteString(strings.Repeat("x", 30))
	buffer := make([]byte, 10)
	for range 3 {
		if n, err := conn.Read(buffer); n != 10 || err != nil {
			t.Fatal(n, err)
		}
	}
	if waits != 0 {
		t.Errorf("%d waits, expected none", waits)
	}
}

func TestReadsAreNotDelayedWithoutAnInterval(t *testing.T) {
	conn, peer := pacedConn(0, time.Unix(0, 0), func(*bufferedConn, time.Duration) { t.Error("a read was delayed") })
	peer.arrived.WriteString("line\n")
	buffer := make([]byte, 100)
	for range 3 {
		conn.Read(buffer)
	}
}

func TestSpacedReadsLoseNothingAndTimeOutSilentPeers(t *testing.T) {
	limits := testLimits
	limits.ReadInterval = 20 * time.Millisecond
	limits.CollectorIdleTimeout = 100 * time.Millisecond
	_, address, inputs := startReceiver(t, limits, true)
	c := dialManager(t, address, "collector site=a\r\n")
	for range 5 {
		for _, part := range []string{usageLine[:7], usageLine[7:], usageLine} {
			io.WriteString(c, part)
		}
		for range 2 {
			if report := (<-inputs).(usageReport); report.Proxy != 17 || report.Requests != 19 {
				t.Errorf("received %+v, expected proxy 17 with 19 requests", report)
			}
		}
	}
	if got := readToEnd(c); got != "" {
		t.Errorf("a silent collector received %q, expected only a close", got)
	}
}

func TestSpacedReadsDeliverEverythingSentBeforeTheClose(t *testing.T) {
	limits := testLimits
	limits.ReadInterval = 20 * time.Millisecond
	_, address, inputs := startReceiver(t, limits, true)
	c := dialManager(t, address, "collector site=a\r\n")
	const reports = 5000 // more than the buffers hold
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, strings.Repeat(usageLine, reports))
		sent <- errors.Join(err, c.Close())
	}()
	for n := range reports {
		select {
		case in := <-inputs:
			if report := in.(usageReport); report.Proxy != 17 {
				t.Fatalf("received %+v, expected a report of proxy 17", report)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("received %d of %d reports within 10 s", n, reports)
		}
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}
