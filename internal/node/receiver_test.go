package node

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/internal/config"
)

func testReceiver(stop chan struct{}, l config.Limits) *receiver {
	return &receiver{limits: l, decoder: testDecoder(), inputs: make(chan input, 64), stop: stop, metrics: newMetrics(time.Hour, zerolog.Nop()),
		isReady: func() bool { return true }, jitter: rand.New(rand.NewPCG(1, 1))}
}

func testUpstream(t testing.TB, address string) *upstream { return newUpstream(t.Context(), address) }

// startReceiver is a receiver that accepts; what it hands on comes out of the channel.
func startReceiver(t *testing.T, l config.Limits, ready bool) (*receiver, string, chan input) {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop, inputs := make(chan struct{}), make(chan input, 64)
	in := testReceiver(stop, l)
	in.inputs, in.isReady = inputs, func() bool { return ready }
	go in.acceptLoop(at)
	t.Cleanup(func() { close(stop); at.Close() })
	return in, at.Addr().String(), inputs
}

func dialManager(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	return c
}

// readToEnd reads to the end of a connection that the manager closes.
func readToEnd(c net.Conn) string {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := io.ReadAll(c)
	if errors.Is(err, net.ErrClosed) || err != nil && strings.Contains(err.Error(), "timeout") {
		return "still open"
	}
	return string(text)
}

const usageLine = "usage id=17 lane=book count=19 fail=1 over=1000.0\r\n"

func receivedInputs(inputs chan input) (all []input) {
	for len(inputs) > 0 {
		all = append(all, <-inputs)
	}
	return all
}

// ifElse is one of two values by a condition.
func ifElse[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}
