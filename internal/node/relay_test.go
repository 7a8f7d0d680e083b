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

// startServer answers each connection on loopback with serve, one after another.
func startServer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// startTestRelay calls a fake that answers each call with the next of bodies; "" breaks the
// connection after the call's last byte, "-" before it. The calls' commands come out of the channel.
func startTestRelay(t *testing.T, l config.Limits, bodies ...string) (*relayClient, <-chan string) {
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
				calls <- "no call: " + req.URL.Path
			}
			calls <- req.PostForm.Get("orders")
			body := takenAnswer(strings.Count(req.PostForm.Get("orders"), ";") + 1)
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
	in := testReceiver(t, l)
	in.inputs = r.inputs
	in.metrics = r.metrics
	go r.run(t.Context().Done())
	return newRelayClient(l, address, testClasses, r.backlog, in), calls
}

func takenAnswer(n int) string {
	return fmt.Sprintf(`<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`, n)
}

func testWeights(weights ...float64) (o balancer.Commands) {
	for i, w := range weights {
		o.Weights = append(o.Weights, balancer.EndpointWeight{Table: 0, Server: balancer.ServerID(fmt.Sprint("s-", i+1)), Weight: w})
	}
	return o
}

func expectCalls(t *testing.T, calls <-chan string, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := <-calls; got != w {
			t.Errorf("call %q, not %q", got, w)
		}
	}
	select {
	case got := <-calls:
		t.Errorf("one call too many: %q", got)
	default:
	}
}

func TestDeliverSendsOneCall(t *testing.T) {
	r, calls := startTestRelay(t, testLimits)
	r.deliver(testWeights(1, 2))
	expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2")
}

func TestDeliverSplitsAtTheLimit(t *testing.T) {
	l := testLimits
	l.MaxCallBytes = 30
	r, calls := startTestRelay(t, l)
	r.deliver(testWeights(1, 2))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-2,2;mark,2,0") // as late as what goes out once more, under a mark of its own
}

// Guards against an unknown outcome that is taken for a known one: the call goes out again, before others.
func TestDeliverRetriesAnUnknownOutcome(t *testing.T) {
	for _, answer := range []string{"", "<Response><items>", "<Response/>", "nonsense", takenAnswer(-1), takenAnswer(3), "<Response><taken>1</taken><taken>2</taken></Response>"} {
		r, calls := startTestRelay(t, testLimits, answer)
		r.deliver(testWeights(1, 2))
		expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2", "share,0,s-1,1;share,0,s-2,2;mark,2,0")
		if n := r.metrics.counts[callsUnknown].Load(); n != 1 {
			t.Errorf("%q: %d unknown", answer, n)
		}
	}
}

func TestDeliverRetriesACallBrokenBeforeItsEnd(t *testing.T) {
	r, calls := startTestRelay(t, testLimits, "-")
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1;mark,2,0")
}

func TestDeliverRetriesACallWithoutAnAnswer(t *testing.T) {
	l := testLimits
	l.RelayTimeout = 200 * time.Millisecond
	r, calls := startTestRelay(t, l, "silent")
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-1,1;mark,2,0")
}

// Guards against one bad order that holds up all behind it.
func TestDeliverSkipsTheRejectedCommand(t *testing.T) {
	r, calls := startTestRelay(t, testLimits, takenAnswer(1))
	r.deliver(testWeights(1, 2, 3))
	expectCalls(t, calls, "share,0,s-1,1;share,0,s-2,2;share,0,s-3,3", "share,0,s-3,3;mark,2,0")
	if n := r.metrics.counts[commandsRejected].Load(); n != 1 {
		t.Errorf("%d refused", n)
	}
}

// Guards against commands that the relay accepted and the balancer does not account for, when the rest of them finds it busy.
func TestDeliverReportsAPartlyAcceptedCall(t *testing.T) {
	r, _ := startTestRelay(t, testLimits, takenAnswer(1))
	inputs := make(chan input, 8)
	r.receiver.inputs = inputs
	o := testWeights(1, 2, 3)
	o.Barrier = 7
	go r.deliver(o)
	if in := (<-inputs).(callCompleted); in.barrier != 7 || in.complete {
		t.Errorf("%+v", in)
	}
	if in := (<-inputs).(resendRequest); in.barrier != 7 || !in.mayHaveExecuted || in.commands.Count() != 1 {
		t.Errorf("%+v", in)
	}
}

func TestDeliverRetriesABusyRelay(t *testing.T) {
	busy := `<?xml version="1.0"?><Response><Errors><Error><Code>BUSY</Code></Error></Errors></Response>`
	r, calls := startTestRelay(t, testLimits, busy, busy)
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-1,1;mark,2,0", "share,0,s-1,1;mark,3,0")
	if n := r.metrics.counts[callsBusy].Load(); n != 2 {
		t.Errorf("%d busy", n)
	}
}

// Guards against stale states that go out in a burst: what waits by then is folded into the call.
func TestDeliverMergesQueuedCommands(t *testing.T) {
	r, calls := startTestRelay(t, testLimits, "")
	r.backlog.push(testWeights(5))
	r.backlog.push(testWeights(6, 7))
	r.deliver(testWeights(1))
	expectCalls(t, calls, "share,0,s-1,1", "share,0,s-1,6;share,0,s-2,7;mark,2,0")
}

func TestCallReportsThatNothingWasSent(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	l.Close()
	r := &relayClient{limits: testLimits, address: l.Addr().String()}
	if _, err := r.call("mark,1,0", 1); !errors.Is(err, errNotConnected) {
		t.Error(err)
	}
}

func TestAnswerReadsErrorWords(t *testing.T) {
	for body, want := range map[string]error{
		"<Response><Error><Code>BUSY</Code></Error></Response>":   errBusy,
		"<Response><Error><Code>SYNTAX</Code></Error></Response>": errSyntax,
		takenAnswer(7): nil,
	} {
		if n, err := parseAnswer([]byte(body), 7); err != want || want == nil && n != 7 {
			t.Errorf("%s: %d %v", body, n, err)
		}
	}
}
