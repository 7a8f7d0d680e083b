package node

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
)

func TestConnTakesLinesInPieces(t *testing.T) {
	_, address, inputs := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "")
	for _, b := range []byte("collector site=a\r\n" + usageLine) {
		c.Write([]byte{b})
	}
	if in := (<-inputs).(usageReport); in.Proxy != 17 || in.Requests != 19 {
		t.Errorf("%+v", in)
	}
}

func TestConnAnswersPingOnceReady(t *testing.T) {
	for _, ready := range []bool{true, false} {
		_, address, _ := startReceiver(t, testLimits, ready)
		c := dialManager(t, address, "ping\r\nsing\r\n")
		if got, want := readToEnd(c), map[bool]string{true: "pong\r\n", false: ""}[ready]; got != want {
			t.Errorf("ready %v: %q", ready, got)
		}
	}
}

// Guards against unidentified connections that are kept open: noise, commands, HTTP, what names no zone of the site.
func TestConnClosesWhatItCantRead(t *testing.T) {
	for _, text := range []string{"sing\r\n", usageLine, strings.Repeat("x", 6000), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "\r\n",
		"share,4,s-1,1.5\r\n", "joined id=99999 site=a rps=1 new=1\r\n", "collector site=z\r\n", "collector\r\n",
		"collector site=a\r\n\x02\xff\r\n", "collector site=a\r\n" + strings.Repeat("x", 8000)} {
		_, address, inputs := startReceiver(t, testLimits, true)
		if got := readToEnd(dialManager(t, address, text)); got != "" {
			t.Errorf("%.20q: %q", text, got)
		}
		if len(inputs) > 0 {
			t.Errorf("%.20q: %+v", text, <-inputs)
		}
	}
}

// Guards against good reports that are lost with a malformed one, and against a connection that brings nothing else.
func TestConnDropsAMalformedMessageAlone(t *testing.T) {
	in, address, inputs := startReceiver(t, testLimits, true)
	malformedOne := "usage id=x lane=book count=19 fail=1 over=1000.0\r\n"
	c := dialManager(t, address, "collector site=a\r\n"+usageLine+malformedOne+malformedOne+malformedOne+usageLine+malformedOne)
	<-inputs
	if got := (<-inputs).(usageReport); got.Proxy != 17 {
		t.Errorf("%+v", got)
	}
	io.WriteString(c, malformedOne+malformedOne+malformedOne+usageLine)
	if got := readToEnd(c); got != "" || len(inputs) > 0 || in.metrics.counts[malformedMessages].Load() != 6 {
		t.Errorf("%q, %d inputs, %d malformed", got, len(inputs), in.metrics.counts[malformedMessages].Load())
	}
}

// Guards against an unidentified connection that restarts its deadline with each line, and one that knows a zone's name.
func TestUnidentifiedConnectionsHaveOneFixedDeadline(t *testing.T) {
	l := testLimits
	l.IdentifyTimeout = 150 * time.Millisecond
	l.CollectorIdleTimeout = 50 * time.Millisecond
	l.MaxEmptyMessages = 1000
	for _, start := range []string{"", "ping\r\n", "collector site=a\r\n"} {
		_, address, _ := startReceiver(t, l, true)
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
			t.Errorf("%q: closed after %v", start, time.Since(began))
		}
	}
}

// Guards against one that asks for signs of life as fast as it can.
func TestPingsAreBounded(t *testing.T) {
	_, address, _ := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "")
	for range testLimits.MaxEmptyMessages {
		io.WriteString(c, "ping\r\n")
		if n, err := c.Read(make([]byte, 6)); n != 6 || err != nil {
			t.Fatalf("no pong: %v", err)
		}
	}
	io.WriteString(c, "ping\r\n")
	if got := readToEnd(c); got != "" {
		t.Errorf("%q", got)
	}
}

func TestNamingAZoneExtendsTheDeadlineOnlyWhereNobodyReports(t *testing.T) {
	in := testReceiver(t, testLimits)
	now := time.Now()
	good := &collectorConn{state: collectorReporting, zone: "a", lastReport: now}
	in.conns = []*collectorConn{good}
	for zone, more := range map[balancer.ZoneID]bool{"a": false, "b": true} {
		g := &collectorConn{}
		g.deadline = now
		if in.registerCollector(g, zone); !g.named() || g.deadline.After(now) != more {
			t.Errorf("%s: until %v later", zone, g.deadline.Sub(now))
		}
	}
}

func TestConnDropsAPartialLine(t *testing.T) {
	in, address, inputs := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "collector site=a\r\n"+usageLine+usageLine[:20])
	c.(*net.TCPConn).CloseWrite()
	readToEnd(c)
	if len(inputs) != 1 || in.metrics.counts[partialLines].Load() != 1 {
		t.Errorf("%d inputs, %d halves", len(inputs), in.metrics.counts[partialLines].Load())
	}
}

func TestSilentUnidentifiedConnectionsAreClosed(t *testing.T) {
	l := testLimits
	l.IdentifyTimeout = 5 * time.Millisecond
	_, address, _ := startReceiver(t, l, true)
	if got := readToEnd(dialManager(t, address, "")); got != "" {
		t.Errorf("%q", got)
	}
}
