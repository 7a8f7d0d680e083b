package node

// These tests are of calls; interleaving_test.go says how they stop the code between two lines.

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

// startAnsweringRelay is a relay that answers each call and then does with the connection what the test asks; it is notified once
// that is done. The calls' commands come out of the channel.
func startAnsweringRelay(t *testing.T, l config.Limits, then func(c net.Conn)) (r *relayClient, calls chan string, do, done chan struct{}) {
	calls = make(chan string, 8)
	do = make(chan struct{})
	done = make(chan struct{})
	address := startServer(t, func(c net.Conn) {
		for in, first := bufio.NewReader(c), true; ; first = false {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			req.ParseForm()
			orders := req.PostForm.Get("orders")
			calls <- orders
			body := takenAnswer(strings.Count(orders, ";") + 1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if first {
				select {
				case <-do:
					then(c)
					done <- struct{}{}
				case <-t.Context().Done():
				}
			}
		}
	})
	in := testReceiver(t, l)
	return newRelayClient(l, address, testClasses, nil, in), calls, do, done
}

// Guards against a call that leaves in the instant in which the relay closes an idle connection, whose outcome would
// be unknown, and against a second answer on a connection that passes for that of the next call.
func TestACallIsIndependentOfThePreviousConnection(t *testing.T) {
	for what, then := range map[string]func(c net.Conn){
		"idle close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"second answer": func(c net.Conn) {
			body := takenAnswer(0)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
	} {
		r, calls, do, done := startAnsweringRelay(t, testLimits, then)
		if n, end := r.send(testWeights(1)); n != 1 || end != "done" {
			t.Errorf("%s: the call before: %d %s", what, n, end)
		}
		<-calls
		do <- struct{}{}
		<-done
		if n, end := r.send(testWeights(2, 3)); n != 2 || end != "done" {
			t.Errorf("%s: %d commands, %s", what, n, end)
		}
		<-calls
	}
}

// Guards against an outcome taken for known where a call is cut, at each byte of its answer.
func TestACallCutAtEachByteOfItsAnswer(t *testing.T) {
	body := takenAnswer(2)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for cut := 0; cut <= len(whole); cut++ {
		address := startServer(t, func(c net.Conn) {
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(c, whole[:cut])
			}
		})
		r := newRelayClient(testLimits, address, testClasses, nil, testReceiver(t, testLimits))
		n, end := r.send(testWeights(1, 2))
		if known := cut == len(whole); known != (end == callDone) || known != (n == 2) {
			t.Errorf("%d of %d bytes: %d commands, %s", cut, len(whole), n, end)
		}
	}
}

// Guards against an outcome taken for known where a call is cut before or within its bytes.
func TestACallCutWithinItself(t *testing.T) {
	for _, cut := range []int{0, 1, 30, 150} {
		address := startServer(t, func(c net.Conn) {
			io.ReadFull(c, make([]byte, cut))
			c.(*net.TCPConn).SetLinger(0)
		})
		r := newRelayClient(testLimits, address, testClasses, nil, testReceiver(t, testLimits))
		if n, end := r.send(testWeights(1, 2)); n != 0 || end != callOutcomeUnknown && !(cut == 0 && end == callNotSent) {
			t.Errorf("%d bytes: %d commands, %s", cut, n, end)
		}
	}
}

// Guards against commands lost where the relay moves while a call is in flight: its outcome is settled first, and what
// may be missing goes to the new address.
func TestARelayAddressChangedDuringACall(t *testing.T) {
	inFlight := make(chan struct{}, 8)
	cut := make(chan struct{})
	before := startServer(t, func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		inFlight <- struct{}{}
		<-cut
	})
	r, calls := startTestRelay(t, testLimits)
	after := r.address
	r.address = before
	settled := make(chan bool)
	go func() { settled <- r.deliver(testWeights(1, 2)) }()
	<-inFlight
	r.setAddress(after)
	close(cut)
	if !<-settled {
		t.Error("not settled")
	}
	expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2;mark,2,0")
}
