package node

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestConnReadsLinesSentByteByByte(t *testing.T) {
	_, address, inputs := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "")
	for _, b := range []byte("collector site=a\r\n" + usageLine) {
		c.Write([]byte{b})
	}
	if report := (<-inputs).(usageReport); report.Proxy != 17 || report.Requests != 19 {
		t.Errorf("received %+v, expected proxy 17 with 19 requests", report)
	}
}

func TestConnAnswersPingOnceReady(t *testing.T) {
	for _, ready := range []bool{true, false} {
		_, address, _ := startReceiver(t, testLimits, ready)
		c := dialManager(t, address, "ping\r\nsing\r\n")
		if got, want := readToEnd(c), map[bool]string{true: "pong\r\n", false: ""}[ready]; got != want {
			t.Errorf("ready %v: answered %q, expected %q", ready, got, want)
		}
	}
}

// A connection must be closed if it sends something that a collector would not: arbitrary bytes, relay commands, HTTP, or
// a zone that the site does not have.
func TestConnClosesOnUnreadableInput(t *testing.T) {
	for _, text := range []string{"sing\r\n", usageLine, strings.Repeat("x", 6000), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "\r\n",
		"share,4,s-1,1.5\r\n", "joined id=99999 site=a rps=1 new=1\r\n", "collector site=z\r\n", "collector\r\n",
		"collector site=a\r\n\x02\xff\r\n", "collector site=a\r\n" + strings.Repeat("x", 8000)} {
		_, address, inputs := startReceiver(t, testLimits, true)
		if got := readToEnd(dialManager(t, address, text)); got != "" {
			t.Errorf("%.20q: answered %q, expected only a close", text, got)
		}
		if len(inputs) > 0 {
			t.Errorf("%.20q: passed on as %+v", text, <-inputs)
		}
	}
}

// A malformed message must not cost the valid reports around it, but a connection that sends only malformed ones must be
// closed.
func TestConnDropsOnlyTheMalformedMessage(t *testing.T) {
	r, address, inputs := startReceiver(t, testLimits, true)
	malformedOne := "usage id=x lane=book count=19 fail=1 over=1000.0\r\n"
	c := dialManager(t, address, "collector site=a\r\n"+usageLine+malformedOne+malformedOne+malformedOne+usageLine+malformedOne)
	<-inputs
	if got := (<-inputs).(usageReport); got.Proxy != 17 {
		t.Errorf("received %+v, expected a report of proxy 17", got)
	}
	io.WriteString(c, malformedOne+malformedOne+malformedOne+usageLine)
	if got := readToEnd(c); got != "" || len(inputs) > 0 || r.metrics.counts[malformedMessages].Load() != 6 {
		t.Errorf("answered %q, passed on %d inputs, counted %d malformed messages; expected none, 0 and 6",
			got, len(inputs), r.metrics.counts[malformedMessages].Load())
	}
}

// A connection that sends no report must not restart its deadline by other lines, even if it knows a zone's name.
func TestUnidentifiedConnectionsHaveOneFixedDeadline(t *testing.T) {
	limits := testLimits
	limits.IdentifyTimeout = 150 * time.Millisecond
	limits.CollectorIdleTimeout = 50 * time.Millisecond
	limits.MaxMessagesWithoutReport = 1000
	for _, start := range []string{"", "ping\r\n", "collector site=a\r\n"} {
		_, address, _ := startReceiver(t, limits, true)
		c := dialManager(t, address, start)
		began := time.Now()
		go func() {
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				if _, err := io.WriteString(c, "ping\r\n"); err != nil {
					return
				}
			}
		}()
		if got := readToEnd(c); got == "still open" || time.Since(began) > time.Second {
			t.Errorf("start %q: read %q after %v, expected a close within 1 s", start, got, time.Since(began))
		}
	}
}

// A connection that sends nothing but pings, as fast as it can, must be closed.
func TestPingsAreBounded(t *testing.T) {
	_, address, _ := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "")
	for range testLimits.MaxMessagesWithoutReport {
		io.WriteString(c, "ping\r\n")
		if n, err := c.Read(make([]byte, 6)); n != 6 || err != nil {
			t.Fatalf("read %d bytes of a pong: %v", n, err)
		}
	}
	io.WriteString(c, "ping\r\n")
	if got := readToEnd(c); got != "" {
		t.Errorf("answered %q, expected only a close", got)
	}
}

func TestNamingAZoneExtendsTheDeadlineOnlyIfNoOtherConnReportsForIt(t *testing.T) {
	r := testReceiver(t, testLimits)
	now := time.Now()
	reporting := &collectorConn{state: collectorReporting, zone: "a", lastReport: now}
	r.conns = []*collectorConn{reporting}
	for zone, extended := range map[balancer.ZoneID]bool{"a": false, "b": true} {
		conn := &collectorConn{}
		conn.deadline = now
		if r.registerCollector(conn, zone); !conn.named() || conn.deadline.After(now) != extended {
			t.Errorf("zone %s: named %v, deadline extended by %v; expected an extension: %v", zone, conn.named(), conn.deadline.Sub(now), extended)
		}
	}
}

func TestConnDropsAPartialLine(t *testing.T) {
	r, address, inputs := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "collector site=a\r\n"+usageLine+usageLine[:20])
	c.(*net.TCPConn).CloseWrite()
	readToEnd(c)
	if len(inputs) != 1 || r.metrics.counts[partialLines].Load() != 1 {
		t.Errorf("passed on %d inputs, counted %d partial lines; expected one of each", len(inputs), r.metrics.counts[partialLines].Load())
	}
}

func TestSilentUnidentifiedConnectionsAreClosed(t *testing.T) {
	limits := testLimits
	limits.IdentifyTimeout = 5 * time.Millisecond
	_, address, _ := startReceiver(t, limits, true)
	if got := readToEnd(dialManager(t, address, "")); got != "" {
		t.Errorf("answered %q, expected only a close", got)
	}
}
