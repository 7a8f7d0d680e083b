package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startStreamServer starts a fake that answers each request for a stream with the next of the bodies, in small chunks. If a
// body ends in "...", the stream stays open and silent after it. It returns the address and the received request lines.
func startStreamServer(t *testing.T, bodies ...string) (string, <-chan string) {
	asked := make(chan string, 64)
	next := make(chan string, 64)
	for _, body := range bodies {
		next <- body
	}
	return startServer(t, func(c net.Conn) {
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			return
		}
		asked <- strings.TrimSpace(line)
		text, silent := strings.CutSuffix(<-next, "...")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(text) > 0 {
			n := min(7, len(text))
			fmt.Fprintf(c, "%x\r\n%s\r\n", n, text[:n])
			text = text[n:]
		}
		if silent {
			io.ReadAll(c)
		}
	}), asked
}

func TestAnOpenedStreamIsReopenedAtOnce(t *testing.T) {
	l := testLimits
	l.MinBackoff = time.Hour
	l.MaxBackoff = time.Hour
	n := 0
	w := testUpstream(t, "")
	testReceiver(t, l).runStream(w, "proxy_stream", proxyStreamBreaks, func() (bool, error) {
		if n++; n == 2 {
			w.cancel()
		}
		return true, io.EOF
	})
	if n != 2 {
		t.Errorf("opened %d times, want twice", n)
	}
}

func TestAStreamWithoutAResponseTimesOut(t *testing.T) {
	l := testLimits
	l.StreamOpenTimeout = 30 * time.Millisecond
	address := startServer(t, func(c net.Conn) { io.ReadAll(c) })
	if opened, err := testReceiver(t, l).readProxyEvents(testUpstream(t, address)); opened || err == nil {
		t.Errorf("opened %v, error %v; want an error before it opened", opened, err)
	}
}
