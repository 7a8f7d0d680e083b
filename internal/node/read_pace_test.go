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

// bufferedConn is a connection whose peer has written what the buffer holds.
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

// pacedConn is a connection with a pace whose clock is the test's; arrives is called in place of each wait.
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
		t.Fatalf("%v, %v", lines, err)
	}
	if readsAt["first"] != 1 || readsAt["second"] != 2 || readsAt["third"] != 2 || waits < 1 {
		t.Errorf("reads %v, %d waits", readsAt, waits)
	}
}

func TestAReadWaitsForTheNextCommonInstant(t *testing.T) {
	var waited []time.Duration
	note := func(_ *bufferedConn, span time.Duration) { waited = append(waited, span) }
	for _, passed := range []time.Duration{0, 10 * time.Millisecond, 49 * time.Millisecond} {
		conn, peer := pacedConn(50*time.Millisecond, time.Unix(1000, 0).Add(passed), note)
		peer.arrived.WriteString("line\n")
		buffer := make([]byte, 100)
		conn.Read(buffer)
		conn.Read(buffer)
	}
	want := []time.Duration{50 * time.Millisecond, 40 * time.Millisecond, time.Millisecond}
	if len(waited) != len(want) || waited[0] != want[0] || waited[1] != want[1] || waited[2] != want[2] {
		t.Errorf("%v, not %v", waited, want)
	}
}

// More may wait behind a buffer that was filled; it must not wait for its share of reads.
func TestAFilledBufferIsReadOnAtOnce(t *testing.T) {
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
		t.Errorf("%d waits", waits)
	}
}

func TestReadsAreNotSpacedUnlessItIsAskedFor(t *testing.T) {
	conn, peer := pacedConn(0, time.Unix(0, 0), func(*bufferedConn, time.Duration) { t.Error("waited") })
	peer.arrived.WriteString("line\n")
	buffer := make([]byte, 100)
	for range 3 {
		conn.Read(buffer)
	}
}

func TestSpacedReadsLoseNothingAndTimeOutSilentPeers(t *testing.T) {
	l := testLimits
	l.ReadInterval = 20 * time.Millisecond
	l.CollectorIdleTimeout = 100 * time.Millisecond
	_, address, inputs := startReceiver(t, l, true)
	c := dialManager(t, address, "collector site=a\r\n")
	for range 5 {
		for _, part := range []string{usageLine[:7], usageLine[7:], usageLine} {
			io.WriteString(c, part)
		}
		for range 2 {
			if in := (<-inputs).(usageReport); in.Proxy != 17 || in.Requests != 19 {
				t.Errorf("%+v", in)
			}
		}
	}
	if got := readToEnd(c); got != "" {
		t.Errorf("a collector that fell silent: %q", got)
	}
}

func TestSpacedReadsTakeAllThatCameBeforeAnEnd(t *testing.T) {
	l := testLimits
	l.ReadInterval = 20 * time.Millisecond
	_, address, inputs := startReceiver(t, l, true)
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
			if used := in.(usageReport); used.Proxy != 17 {
				t.Fatalf("%+v", used)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d reports within 10 s", n, reports)
		}
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}
