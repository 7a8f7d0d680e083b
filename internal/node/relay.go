package node

import (
	"sync/atomic"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
	"tamarindshore/internal/config"
)

// relayClient makes the calls to the relay, one at a time and in order. It handles the outcome of each call: if commands
// were not sent, or it is unknown whether they were executed, it sends them again before any others. It must never drop a
// command that was not rejected, nor send a command ahead of an earlier one. Its fields belong to the goroutine that calls
// run.
type relayClient struct {
	limits      config.Limits
	address     string
	classes     []string // names of the traffic classes, by ID
	backlog     *backlog
	receiver    *receiver
	metrics     *metrics
	nextAddress atomic.Pointer[string] // set by a reload; nil: address is current
}

func newRelayClient(limits config.Limits, address string, classes []string, backlog *backlog, r *receiver) *relayClient {
	return &relayClient{limits: limits, address: address, classes: classes, backlog: backlog, receiver: r, metrics: r.metrics}
}

// setAddress sets the address for all calls after the one in progress. It is safe for concurrent use.
func (r *relayClient) setAddress(address string) { r.nextAddress.Store(&address) }

// run delivers the commands of the backlog until the receiver stops.
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

// deliver sends commands until all are accepted or rejected. It returns false once the receiver stops.
//
// Before it resends commands, deliver asks the router which ones to send. The router merges them with all commands queued
// by then, so that outdated commands are not sent in a burst once the relay is back, and the balancer counts the retries
// against its limits. Commands that did not fit into the call take the same path, because each call results in messages
// of its own.
func (r *relayClient) deliver(batch balancer.Commands) bool {
	var deferred balancer.Commands
	for attempts := 0; ; attempts++ {
		sent, outcome := r.send(batch)
		rest := commands.SkipFirst(batch, sent)
		if outcome == callDone && rest.Count() == 0 && deferred.Count() == 0 {
			return true
		}
		if outcome != callDone {
			r.metrics.logLimited("call_not_completed", "outcome", string(outcome), "commands", rest.Count())
		}
		retryAtOnce := sent > 0 || outcome == callOutcomeUnknown && attempts == 0
		if !retryAtOnce && !r.receiver.waitBackoff(r.receiver.stop) {
			return false
		}
		reply, ok := r.requestResend(resendRequest{
			commands:        commands.Merge(rest, deferred),
			barrier:         batch.Barrier,
			mayHaveExecuted: outcome == callOutcomeUnknown || sent > 0,
		})
		if !ok {
			return false
		}
		batch = reply.allowed
		deferred = reply.deferred
		r.metrics.add(callsRetried, 1)
	}
}

// requestResend asks the router which commands may be sent now. It returns false once the receiver stops.
func (r *relayClient) requestResend(request resendRequest) (resendReply, bool) {
	replies := make(chan resendReply, 1)
	request.reply = replies
	if !r.receiver.enqueue(request) {
		return resendReply{}, false
	}
	select {
	case reply := <-replies:
		return reply, true
	case <-r.receiver.stop:
		return resendReply{}, false
	}
}
