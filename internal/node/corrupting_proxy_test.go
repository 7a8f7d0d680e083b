package node

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"

	"tamarindshore/client/follow"
	"tamarindshore/client/tables"
)

// corruptingProxy forwards bytes between the feed and its replicas; while corrupt is set, it damages half of the deltas.
type corruptingProxy struct {
	feed    string // the feed's address
	corrupt *atomic.Bool
}

// startCorruptingProxy starts a corruptingProxy in front of a feed, and returns the proxy's address. The proxy stops when
// the test ends.
func startCorruptingProxy(t *testing.T, feed string, corrupt *atomic.Bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	proxy := corruptingProxy{feed: feed, corrupt: corrupt}
	go proxy.acceptLoop(listener)
	return listener.Addr().String()
}

func (p corruptingProxy) acceptLoop(listener net.Listener) {
	for number := uint64(0); ; number++ {
		replica, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(replica, rand.New(rand.NewPCG(number, 5)))
	}
}

func (p corruptingProxy) serve(replica net.Conn, random *rand.Rand) {
	defer replica.Close()
	feed, err := net.Dial("tcp", p.feed)
	if err != nil {
		return
	}
	defer feed.Close()
	go func() {
		io.Copy(feed, replica)
		feed.Close()
	}()
	frames := bufio.NewReader(feed)
	for {
		kind, body, err := follow.ReadFrame(frames, tables.MaxDeltaBytes)
		if err != nil {
			return
		}
		if kind == follow.FrameDelta && p.corrupt.Load() && random.IntN(2) == 0 {
			var cut bool
			if body, cut = corruptFrame(body, random); cut {
				return
			}
		}
		if follow.WriteFrame(replica, kind, body) != nil {
			return
		}
	}
}

// corruptFrame flips a bit of a frame's body, truncates the body, or returns cut: the proxy must then close the connection
// instead of forwarding the frame.
func corruptFrame(body []byte, random *rand.Rand) (corrupted []byte, cut bool) {
	switch random.IntN(3) {
	case 0:
		body[random.IntN(len(body))] ^= 1 << random.IntN(8)
	case 1:
		body = body[:random.IntN(len(body))]
	case 2:
		return nil, true
	}
	return body, false
}
