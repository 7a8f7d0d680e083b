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
	requestLines := make(chan string, 64)
	next := make(chan string, 64)
	for _, body := range bodies {
		next <- body
	}
	return startServer(t, func(conn net.Conn) {
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			return
		}
		requestLines <- strings.TrimSpace(line)
		text, silent := strings.CutSuffix(<-next, "...")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(text) > 0 {
			n := min(7, len(text))
			fmt.Fprintf(conn, "%x\r\n%s\r\n", n, text[:n])
			text = text[n:]
		}
		if silent {
			io.ReadAll(conn)
		}
	}), requestLines
}

func TestAnOpenedStreamIsReopenedAtOnce(t *testing.T) {
	limits := testLimits
	limits.MinBackoff = time.Hour
	limits.MaxBackoff = time.Hour
	opens := 0
	up := testUpstream(t, "")
	testReceiver(t, limits).runStream(up, "proxy_stream", proxyStreamBreaks, func() (bool, error) {
		if opens++; opens == 2 {
			up.cancel()
		}
		return true, io.EOF
	})
	if opens != 2 {
		t.Errorf("opened %d times, want twice", opens)
	}
}

func TestAStreamWithoutAResponseTimesOut(t *testing.T) {
	limits := testLimits
	limits.StreamOpenTimeout = 30 * time.Millisecond
	address := startServer(t, func(conn net.Conn) { io.ReadAll(conn) })
	if opened, err := testReceiver(t, limits).readProxyEvents(testUpstream(t, address)); opened || err == nil {
		t.Errorf("opened %v, error %v; want an error before it opened", opened, err)
	}
}
