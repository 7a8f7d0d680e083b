package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/internal/config"
)

// startServer listens on loopback and calls serve for each connection, in a goroutine of its own. It returns the address.
func startServer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// startTestRelay returns a client of a fake relay that answers each call with the next of bodies. Instead of an answer,
// "" closes the connection after the last byte of the call, "silent" sends nothing, and "-", as the first body, closes the
// connection before reading the call. The channel receives the commands of each call.
func startTestRelay(t *testing.T, limits config.Limits, bodies ...string) (*relayClient, <-chan string) {
	calls := make(chan string, 64)
	next := make(chan string, 64)
	for _, b := range bodies {
		next <- b
	}
	address := startServer(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if len(next) > 0 && len(bodies) > 0 && bodies[0] == "-" {
				<-next
				bodies[0] = ""
				return
			}
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			req.ParseForm()
			if req.Method != "POST" || req.URL.Path != "/v3/kv/" || req.PostForm.Get("Action") != "CommitChanges" {
				calls <- "not a call: " + req.URL.Path
			}
			calls <- req.PostForm.Get("orders")
			body := acceptedAnswer(strings.Count(req.PostForm.Get("orders"), ";") + 1)
			select {
			case body = <-next:
			default:
			}
			if body == "" {
				return
			} else if body == "silent" {
				io.ReadAll(c)
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	r := testRouter(t)
	r.pendingCommands()
	in := testReceiver(t, limits)
	in.inputs = r.inputs
	in.metrics = r.metrics
	go r.run(t.Context().Done())
	return newRelayClient(limits, address, testClasses, r.backlog, in), calls
}

func acceptedAnswer(n int) string {
	return fmt.Sprintf(`<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`, n)
}

func testWeights(weights ...float64) (cmds balancer.Commands) {
	for i, weight := range weights {
		cmds.Weights = append(cmds.Weights,
			balancer.EndpointWeight{Table: 0, Server: balancer.ServerID(fmt.Sprint("s-", i+1)), Weight: weight})
	}
	return cmds
}

func expectCalls(t *testing.T, calls <-chan string, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := <-calls; got != w {
			t.Errorf("call %q, want %q", got, w)
		}
	}
	select {
	case got := <-calls:
		t.Errorf("unexpected call %q", got)
	default:
	}
}

func TestDeliverSendsOneCall(t *testing.T) {
	r, calls := startTestRelay(t, testLimits)
	r.deliver(testWeights(1, 2))
	expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2")
}

func TestDeliverSplitsAtTheLimit(t *testing.T) {
	limits := testLimits
	limits.MaxCallBytes = 30
	r, calls := startTestRelay(t, limits)
	r.deliver(testWeights(1, 2))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-2,2;mark,2,0") // the rest is sent as a resend, with a barrier of its own
}

// An answer that does not show whether the call was executed must count as an unknown outcome: the call is sent again
// before any others.
func TestDeliverRetriesAnUnknownOutcome(t *testing.T) {
	for _, answer := range []string{
		"", "<Response><items>", "<Response/>", "nonsense", acceptedAnswer(-1), acceptedAnswer(3),
		"<Response><taken>1</taken><taken>2</taken></Response>",
	} {
		r, calls := startTestRelay(t, testLimits, answer)
		r.deliver(testWeights(1, 2))
		expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2", "share,0,s-1,1;share,0,s-2,2;mark,2,0")
		if n := r.metrics.counts[callsUnknown].Load(); n != 1 {
			t.Errorf("answer %q: %d unknown outcomes counted, want 1", answer, n)
		}
	}
}

func TestDeliverRetriesACallBrokenBeforeItsEnd(t *testing.T) {
	r, calls := startTestRelay(t, testLimits, "-")
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1;mark,2,0")
}

func TestDeliverRetriesACallWithoutAnAnswer(t *testing.T) {
	limits := testLimits
	limits.RelayTimeout = 200 * time.Millisecond
	r, calls := startTestRelay(t, limits, "silent")
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-1,1;mark,2,0")
}

// A command that the relay rejects must not block the commands behind it.
func TestDeliverSkipsTheRejectedCommand(t *testing.T) {
	r, calls := startTestRelay(t, testLimits, acceptedAnswer(1))
	r.deliver(testWeights(1, 2, 3))
	expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2;share,0,s-3,3", "share,0,s-3,3;mark,2,0")
	if n := r.metrics.counts[commandsRejected].Load(); n != 1 {
		t.Errorf("%d rejected commands counted, want 1", n)
	}
}

// If the relay accepts only a part of a call, the balancer must learn that the accepted commands were sent even if the
// relay is busy when the rest is resent.
func TestDeliverReportsAPartlyAcceptedCall(t *testing.T) {
	r, _ := startTestRelay(t, testLimits, acceptedAnswer(1))
	inputs := make(chan input, 8)
	r.receiver.inputs = inputs
	cmds := testWeights(1, 2, 3)
	cmds.Barrier = 7
	go r.deliver(cmds)
	if in := (<-inputs).(callCompleted); in.barrier != 7 || in.complete {
		t.Errorf("%+v, want barrier 7, not complete", in)
	}
	if in := (<-inputs).(resendRequest); in.barrier != 7 || !in.mayHaveExecuted || in.commands.Count() != 1 {
		t.Errorf("%+v, want one command under barrier 7 that may have been executed", in)
	}
}

func TestDeliverRetriesABusyRelay(t *testing.T) {
	busy := `<?xml version="1.0"?><Response><Errors><Error><Code>BUSY</Code></Error></Errors></Response>`
	r, calls := startTestRelay(t, testLimits, busy, busy)
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-1,1;mark,2,0", "share,0,s-1,1;mark,3,0")
	if n := r.metrics.counts[callsBusy].Load(); n != 2 {
		t.Errorf("%d busy answers counted, want 2", n)
	}
}

// After an interruption, outdated commands must not be sent in a burst: all queued commands are merged into the resent
// call.
func TestDeliverMergesQueuedCommands(t *testing.T) {
	r, calls := startTestRelay(t, testLimits, "")
	r.backlog.push(testWeights(5))
	r.backlog.push(testWeights(6, 7))
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-1,6;share,0,s-2,7;mark,2,0")
}

func TestCallReportsThatNothingWasSent(t *testing.T) {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	listener.Close()
	r := &relayClient{limits: testLimits, address: listener.Addr().String()}
	if _, err := r.call("mark,1,0", 1); !errors.Is(err, errNotConnected) {
		t.Errorf("error %v, want %v", err, errNotConnected)
	}
}

func TestParseAnswerReturnsErrorCodes(t *testing.T) {
	for body, want := range map[string]error{
		"<Response><Error><Code>BUSY</Code></Error></Response>":   errBusy,
		"<Response><Error><Code>SYNTAX</Code></Error></Response>": errSyntax,
		acceptedAnswer(7): nil,
	} {
		if n, err := parseAnswer([]byte(body), 7); err != want || want == nil && n != 7 {
			t.Errorf("answer %s: %d accepted, error %v, want error %v", body, n, err, want)
		}
	}
}
