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

// testReceiver returns a receiver that stops at the end of the test.
func testReceiver(t testing.TB, limits config.Limits) *receiver {
	return &receiver{
		limits:  limits,
		decoder: testDecoder(),
		inputs:  make(chan input, 64),
		stop:    t.Context().Done(),
		metrics: newMetrics(time.Hour, zerolog.Nop()),
		isReady: func() bool { return true },
		jitter:  rand.New(rand.NewPCG(1, 1)),
	}
}

// testReceiverWithInputs returns a receiver and the channel to which it sends inputs.
func testReceiverWithInputs(t testing.TB, limits config.Limits, capacity int) (*receiver, chan input) {
	r := testReceiver(t, limits)
	inputs := make(chan input, capacity)
	r.inputs = inputs
	return r, inputs
}

func testUpstream(t testing.TB, address string) *upstream { return newUpstream(t.Context(), address) }

// startReceiver starts a receiver that accepts connections; it returns the receiver's address and the channel of its
// inputs.
func startReceiver(t *testing.T, limits config.Limits, ready bool) (r *receiver, address string, inputs chan input) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started, inputs := testReceiverWithInputs(t, limits, 64)
	started.isReady = func() bool { return ready }
	go started.acceptLoop(listener)
	t.Cleanup(func() { listener.Close() })
	return started, listener.Addr().String(), inputs
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

// readToEnd returns what the manager sends until it closes the connection, or "still open" if it does not close it in time.
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

// ifElse returns yes if condition is true, otherwise no.
func ifElse[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}
