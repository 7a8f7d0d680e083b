package node

// These tests cover relay calls; interleaving_test.go describes how they pause the code at a chosen point.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"tamarindshore/internal/config"
)

// startAnsweringRelay starts a fake relay that answers each call, and returns a client of it. The commands of each call are
// sent to the calls channel. After the first answer, the relay waits for a value on proceed, calls afterAnswer with the
// connection, and sends on done.
func startAnsweringRelay(
	t *testing.T, limits config.Limits, afterAnswer func(c net.Conn),
) (client *relayClient, calls chan string, proceed, done chan struct{}) {
	calls = make(chan string, 8)
	proceed = make(chan struct{})
	done = make(chan struct{})
	address := startServer(t, func(c net.Conn) {
		for reader, first := bufio.NewReader(c), true; ; first = false {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			req.ParseForm()
			commands := req.PostForm.Get("orders")
			calls <- commands
			body := acceptedAnswer(strings.Count(commands, ";") + 1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if first {
				select {
				case <-proceed:
					afterAnswer(c)
					done <- struct{}{}
				case <-t.Context().Done():
				}
			}
		}
	})
	receiver := testReceiver(t, limits)
	return newRelayClient(limits, address, testClasses, nil, receiver), calls, proceed, done
}

// What happens on the connection of one call must not affect the next call. If calls reused a connection, a call sent just
// as the relay closes the idle connection would have an unknown outcome, and a second answer to one call would be taken for
// the answer to the next.
func TestACallIsIndependentOfThePreviousConnection(t *testing.T) {
	for name, afterAnswer := range map[string]func(c net.Conn){
		"idle close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"second answer": func(c net.Conn) {
			body := acceptedAnswer(0)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
	} {
		client, calls, proceed, done := startAnsweringRelay(t, testLimits, afterAnswer)
		if n, outcome := client.send(testWeights(1)); n != 1 || outcome != "done" {
			t.Errorf("%s: first call: %d commands accepted, outcome %q; want 1, \"done\"", name, n, outcome)
		}
		<-calls
		proceed <- struct{}{}
		<-done
		if n, outcome := client.send(testWeights(2, 3)); n != 2 || outcome != "done" {
			t.Errorf("%s: second call: %d commands accepted, outcome %q; want 2, \"done\"", name, n, outcome)
		}
		<-calls
	}
}

// A call whose connection breaks within the answer has an unknown outcome, whichever byte of the answer is the last.
func TestACallCutAtEachByteOfItsAnswer(t *testing.T) {
	body := acceptedAnswer(2)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for cut := 0; cut <= len(response); cut++ {
		address := startServer(t, func(c net.Conn) {
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(c, response[:cut])
			}
		})
		r := newRelayClient(testLimits, address, testClasses, nil, testReceiver(t, testLimits))
		n, outcome := r.send(testWeights(1, 2))
		if known := cut == len(response); known != (outcome == callDone) || known != (n == 2) {
			t.Errorf("%d of %d bytes of the answer: %d commands accepted, outcome %q", cut, len(response), n, outcome)
		}
	}
}

// A call whose connection breaks within its request has an unknown outcome. If the relay read none of it, the call may also
// count as not sent.
func TestACallCutWithinItsRequest(t *testing.T) {
	for _, cut := range []int{0, 1, 30, 150} {
		address := startServer(t, func(c net.Conn) {
			io.ReadFull(c, make([]byte, cut))
			c.(*net.TCPConn).SetLinger(0)
		})
		r := newRelayClient(testLimits, address, testClasses, nil, testReceiver(t, testLimits))
		if n, outcome := r.send(testWeights(1, 2)); n != 0 || outcome != callOutcomeUnknown && !(cut == 0 && outcome == callNotSent) {
			t.Errorf("%d bytes of the request: %d commands accepted, outcome %q", cut, n, outcome)
		}
	}
}

// The relay's address may change while a call is in flight. The outcome of that call must be settled first, and the commands
// that may be missing must be sent to the new address rather than be lost.
func TestARelayAddressChangedDuringACall(t *testing.T) {
	inFlight := make(chan struct{}, 8)
	cut := make(chan struct{})
	oldAddress := startServer(t, func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		inFlight <- struct{}{}
		<-cut
	})
	client, calls := startTestRelay(t, testLimits)
	newAddress := client.address
	client.address = oldAddress
	settled := make(chan bool)
	go func() { settled <- client.deliver(testWeights(1, 2)) }()
	<-inFlight
	client.setAddress(newAddress)
	close(cut)
	if !<-settled {
		t.Error("the outcome of the call was not settled")
	}
	expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2;mark,2,0")
}
