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

// callOutcome is the outcome of a call; the log shows it.
type callOutcome string

const (
	callDone           callOutcome = "done"
	callBusy           callOutcome = "busy"    // nothing was executed
	callNotSent        callOutcome = "unsent"  // no connection was established
	callOutcomeUnknown callOutcome = "unknown" // it may have been executed
)

var (
	errBusy             = errors.New("the relay is busy")
	errSyntax           = errors.New("the relay can't read the call")
	errUnreadableAnswer = errors.New("unreadable answer")
)

// Words of the relay's answers.
const (
	answerBusy    = "BUSY"
	answerSyntax  = "SYNTAX"
	answerElement = "taken" // holds how many commands were accepted
)

// callPath is where the relay accepts calls.
const callPath = "/v3/kv/"

// send sends as many commands as a call holds, and gives how many are settled: accepted or rejected.
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
		accepted = 0 // the first command counts as rejected: guards against repeating it for ever
	case err != nil:
		r.metrics.add(callsUnknown, 1)
		r.metrics.logLimited("call_failed", "error", err)
		return 0, callOutcomeUnknown
	}
	return r.settle(batch, text, accepted), callDone
}

// settle counts how many of a call's commands the relay accepted, tells the router that their barrier left, and gives how
// many commands of the batch are settled.
func (r *relayClient) settle(batch balancer.Commands, text []string, accepted int) (settled int) {
	r.metrics.add(callsAnswered, 1)
	r.metrics.add(commandsSent, int64(min(accepted, len(text))))
	if accepted < len(text) {
		r.metrics.logLimited("command_rejected", "command", text[accepted])
		r.metrics.add(commandsRejected, 1)
		// guards against a queue that stays full of commands that no barrier will show to have left
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

// call makes one call of some commands and gives how many of them were accepted. Each call has a connection of its own:
// guards against one that the relay closes as idle in the instant of a call, and against an answer that belongs to the
// call before.
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
		return 0, fmt.Errorf("%w: status %d", errUnreadableAnswer, response.StatusCode())
	}
	return accepted, err
}

// prepareCall makes a request of a call to the relay.
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

// parseAnswer reads the relay's answer to a call of at most limit commands: how many it accepted, or an error word. An
// error is errBusy, errSyntax or wraps errUnreadableAnswer. Guards against a malformed count that passes for success.
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
				return 0, fmt.Errorf("%w: taken %.20q of %d", errUnreadableAnswer, text, limit)
			}
			found = true
		}
	}
	if !found {
		return 0, fmt.Errorf("%w: %.80q", errUnreadableAnswer, body)
	}
	return accepted, nil
}
