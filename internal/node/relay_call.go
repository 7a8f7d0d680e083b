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

	"github.com/valyala/fasthttp"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

// callOutcome is the outcome of a call. It is written to the log.
type callOutcome string

const (
	callDone           callOutcome = "done"
	callBusy           callOutcome = "busy"    // the relay executed nothing
	callNotSent        callOutcome = "unsent"  // no connection was established
	callOutcomeUnknown callOutcome = "unknown" // the relay may have executed the call
)

var (
	errBusy             = errors.New("the relay is busy")
	errSyntax           = errors.New("the relay reports a syntax error in the call")
	errUnreadableAnswer = errors.New("malformed answer from the relay")
)

// Error codes and elements in the relay's answers.
const (
	answerBusy    = "BUSY"
	answerSyntax  = "SYNTAX"
	answerElement = "taken" // contains the number of accepted commands
)

// callPath is the path at which the relay accepts calls.
const callPath = "/v3/kv/"

// send sends as many commands as fit into one call. It returns how many are settled, that is accepted or rejected.
func (r *relayClient) send(batch balancer.Commands) (settled int, outcome callOutcome) {
	if commands.IsEmpty(batch) {
		return 0, callDone
	}
	text := encodeCommands(batch, r.classes, r.limits.MaxCallBytes)
	r.metrics.add(callsSent, 1)
	accepted := 0
	err := recoverPanic(r.metrics, "relay", func() (err error) {
		accepted, err = r.call(strings.Join(text, ";"), len(text))
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
		accepted = 0 // treat the first command as rejected, else the same call would be retried forever
	case err != nil:
		r.metrics.add(callsUnknown, 1)
		r.metrics.logLimited("call_failed", "error", err)
		return 0, callOutcomeUnknown
	}
	return r.settle(batch, text, accepted), callDone
}

// settle counts the commands of a call that the relay accepted, reports the call's barrier to the router, and returns how
// many commands of the batch are settled.
func (r *relayClient) settle(batch balancer.Commands, text []string, accepted int) (settled int) {
	r.metrics.add(callsAnswered, 1)
	r.metrics.add(commandsSent, int64(min(accepted, len(text))))
	if accepted < len(text) {
		r.metrics.logLimited("command_rejected", "command", text[accepted])
		r.metrics.add(commandsRejected, 1)
		// The barrier was not accepted, so no proxy acknowledges it. Without this report, the balancer would continue to
		// count the accepted commands as queued.
		r.receiver.enqueue(callCompleted{barrier: batch.Barrier, complete: false})
		return accepted + 1
	}
	if batch.Barrier <= 0 {
		return accepted
	}
	r.metrics.add(barriersSent, 1)
	if len(text) > batch.Count() {
		r.receiver.enqueue(callCompleted{barrier: batch.Barrier, complete: true})
	}
	return accepted - 1 // without the barrier
}

// call makes one call with count encoded commands and returns how many of them were accepted. Each call has a connection
// of its own: the relay might close an idle connection at the moment of a call, and the answer to a previous call might
// arrive on a shared one.
func (r *relayClient) call(encoded string, count int) (accepted int, err error) {
	if address := r.nextAddress.Swap(nil); address != nil {
		r.address = *address
	}
	conn, err := dial(context.Background(), r.limits, r.address, r.limits.RelayTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	prepareCall(request, r.address, encoded)
	if err := newClient(r.limits, r.address, conn, false).Do(request, response); err != nil {
		return 0, err
	}
	accepted, err = parseAnswer(response.Body(), count)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		return 0, fmt.Errorf("%w: HTTP status %d", errUnreadableAnswer, response.StatusCode())
	}
	return accepted, err
}

// prepareCall fills in the HTTP request of a call to the relay.
func prepareCall(request *fasthttp.Request, address, encoded string) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + callPath)
	request.Header.SetContentType("application/x-www-form-urlencoded")
	form := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(form)
	form.Set("Action", "CommitChanges")
	form.Set("orders", encoded)
	request.SetBody(form.QueryString())
	request.SetConnectionClose()
}

// parseAnswer parses the relay's answer to a call with limit commands, and returns how many of them it accepted. An error
// is errBusy, errSyntax or wraps errUnreadableAnswer. A count that is malformed, repeated or out of range is an error, so
// that it is not mistaken for success.
func parseAnswer(body []byte, limit int) (accepted int, err error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	element := ""
	found := false
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			break
		} else if err != nil {
			return 0, fmt.Errorf("%w: %w", errUnreadableAnswer, err)
		}
		switch token := token.(type) {
		case xml.StartElement:
			element = token.Name.Local
		case xml.EndElement:
			element = ""
		case xml.CharData:
			text := strings.TrimSpace(string(token))
			switch {
			case text == answerBusy:
				return 0, errBusy
			case text == answerSyntax:
				return 0, errSyntax
			case element != answerElement:
				continue
			}
			accepted, err = strconv.Atoi(text)
			if err != nil || found || accepted < 0 || accepted > limit {
				return 0, fmt.Errorf("%w: element <taken> has %.20q, want one number from 0 to %d", errUnreadableAnswer, text, limit)
			}
			found = true
		}
	}
	if !found {
		return 0, fmt.Errorf("%w: no element <taken> in %.80q", errUnreadableAnswer, body)
	}
	return accepted, nil
}
