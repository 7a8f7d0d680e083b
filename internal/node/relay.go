package node

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/config"
)

// relay makes the calls to the relay, one at a time and in order. It owns the outcome of each: taken, refused, not sent,
// or unknown; then what may be missing is sent again before anything else. It must never drop an order that was not
// refused, nor send a later one before it.
type relayClient struct {
	limits      config.Limits
	address     string
	classes     []string
	backlog     *backlog
	receiver    *receiver
	metrics     *metrics
	nextAddress atomic.Pointer[string] // the address that a reload named
}

func newRelayClient(limits config.Limits, address string, groups []string, backlog *backlog, r *receiver) *relayClient {
	return &relayClient{limits: limits, address: address, classes: groups, backlog: backlog, receiver: r, metrics: r.metrics}
}

// setAddress names the address of all calls after the one in progress.
func (r *relayClient) setAddress(address string) { r.nextAddress.Store(&address) }

// run delivers what comes to the backlog until the manager ends.
func (r *relayClient) run() {
	for {
		batch, ok := r.backlog.next()
		if !ok {
			select {
			case <-r.receiver.stop:
				return
			case <-r.backlog.filled:
			}
			continue
		}
		if !r.deliver(batch) {
			return
		}
	}
}

// deliver carries orders until nothing of them is missing; false once the manager ends. What is to go out once
// more, or late, is asked of the module together with all that waits by then: nothing stale goes out in a burst
// once the relay is back, and repeats count against its limits. What is too long for one call is late too: each
// call makes messages of its own.
func (r *relayClient) deliver(batch balancer.Commands) bool {
	var deferred balancer.Commands
	for tries := 0; ; tries++ {
		sent, end := r.send(batch)
		rest := commands.SkipFirst(batch, sent)
		if end == callDone && rest.Count() == 0 && deferred.Count() == 0 {
			return true
		}
		if end != callDone {
			r.metrics.logLimited("call_not_completed", "outcome", string(end), "commands", rest.Count())
		}
		if sent == 0 && (end != callOutcomeUnknown || tries > 0) && !r.receiver.waitBackoff(r.receiver.stop) {
			return false
		}
		reply := make(chan resendReply, 1)
		retry := resendRequest{
			commands:        commands.Merge(rest, deferred),
			barrier:         batch.Barrier,
			mayHaveExecuted: end == callOutcomeUnknown || sent > 0,
			reply:           reply,
		}
		if !r.receiver.enqueue(retry) {
			return false
		}
		select {
		case next := <-reply:
			batch, deferred = next.allowed, next.deferred
			r.metrics.add(callsRetried, 1)
		case <-r.receiver.stop:
			return false
		}
	}
}

// callOutcome is what became of a call; the log shows it.
type callOutcome string

const (
	callDone           callOutcome = "done"
	callBusy           callOutcome = "busy"   // nothing was carried out
	callNotSent        callOutcome = "unsent" // no connection came up
	callOutcomeUnknown callOutcome = "unknown"
)

// send sends as many orders as a call holds, and gives how many are done with.
func (r *relayClient) send(batch balancer.Commands) (sent int, end callOutcome) {
	if commands.IsEmpty(batch) {
		return 0, callDone
	}
	text := encodeCommands(batch, r.classes, r.limits.MaxCallBytes)
	r.metrics.add(callsSent, 1)
	taken := 0
	err := recoverPanic(r.metrics, "relay", func() (err error) {
		taken, err = r.call(strings.Join(text, ";"), len(text))
		return err
	})
	switch {
	case errors.Is(err, errNotConnected):
		r.metrics.add(callsUnsent, 1)
		return 0, callNotSent
	case errors.Is(err, errBusy):
		r.metrics.add(callsBusy, 1)
		return 0, callBusy
	case errors.Is(err, errSyntax):
		// guards against repeating for ever what is never taken
		taken = 0
	case err != nil:
		r.metrics.add(callsUnknown, 1)
		r.metrics.logLimited("call_failed", "error", err)
		return 0, callOutcomeUnknown
	}
	return r.countAnswer(batch, text, taken), callDone
}

// countAnswer notes how many of a call's orders the relay took, and gives how many of the batch are done with.
func (r *relayClient) countAnswer(batch balancer.Commands, text []string, taken int) (sent int) {
	r.metrics.add(callsAnswered, 1)
	r.metrics.add(commandsSent, int64(min(taken, len(text))))
	if taken < len(text) {
		r.metrics.logLimited("command_rejected", "command", text[taken])
		r.metrics.add(commandsRejected, 1)
		// guards against a queue that is full of what no mark will show to have left
		r.receiver.enqueue(callCompleted{barrier: batch.Barrier, complete: false})
		return taken + 1
	}
	if batch.Barrier <= 0 {
		return taken
	}
	r.metrics.add(barriersSent, 1)
	if len(text) > batch.Count() {
		r.receiver.enqueue(callCompleted{barrier: batch.Barrier, complete: true})
	}
	return taken - 1
}

var (
	errBusy   = errors.New("the relay is busy")
	errSyntax = errors.New("the relay can't read the call")
)

// callPath is where the relay takes calls.
const callPath = "/v3/kv/"

// call makes one call of n orders and gives how many of them were taken. Each has a connection of its own: guards
// against one that the relay closes as idle in the instant of a call, and against an answer that belongs to the call
// before.
func (r *relayClient) call(orders string, n int) (int, error) {
	if address := r.nextAddress.Swap(nil); address != nil {
		r.address = *address
	}
	conn, err := dial(context.Background(), r.limits, r.address, r.limits.RelayTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + r.address + callPath)
	request.Header.SetContentType("application/x-www-form-urlencoded")
	form := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(form)
	form.Set("Action", "CommitChanges")
	form.Set("orders", orders)
	request.SetBody(form.QueryString())
	request.SetConnectionClose()
	if err := newClient(r.limits, r.address, conn, false).Do(request, response); err != nil {
		return 0, err
	}
	taken, err := parseAnswer(response.Body(), n)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		return 0, fmt.Errorf("unreadable answer: status %d", response.StatusCode())
	}
	return taken, err
}

// answer reads what the relay says of a call of a number of orders: how many it took, or an error word. Guards against
// a malformed count that passes for done.
func parseAnswer(body []byte, limit int) (taken int, err error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	element := ""
	found := false
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			break
		} else if err != nil {
			return 0, fmt.Errorf("unreadable answer: %w", err)
		}
		switch one := token.(type) {
		case xml.StartElement:
			element = one.Name.Local
		case xml.EndElement:
			element = ""
		case xml.CharData:
			text := strings.TrimSpace(string(one))
			switch {
			case text == "BUSY":
				return 0, errBusy
			case text == "SYNTAX":
				return 0, errSyntax
			case element != "taken":
				continue
			}
			taken, err = strconv.Atoi(text)
			if err != nil || found || taken < 0 || taken > limit {
				return 0, fmt.Errorf("unreadable answer: taken %.20q of %d", text, limit)
			}
			found = true
		}
	}
	if !found {
		return 0, fmt.Errorf("unreadable answer: %.80q", body)
	}
	return taken, nil
}
