package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Fault is a fault that the relay injects into a call.
type Fault int

// The faults of a call. Only a call with NoFault is answered with success and without delay.
const (
	NoFault       Fault = iota // executed and answered
	AnswerLost                 // executed, but the connection breaks before the answer
	NotExecuted                // not executed, and the connection breaks
	NoAnswer                   // executed, but never answered
	AnswerGarbled              // executed, but the answer is unreadable
	AnswerBusy                 // not executed, and the answer is a busy error
	AnswerDelayed              // executed, and answered after Relay.AnswerDelay
	faultCount
)

var faultNames = [faultCount]string{"none", "lost", "undone", "mute", "garbled", "busy", "slow"}

// String returns the name of the fault in reports.
func (f Fault) String() string { return faultNames[f] }

// executed reports whether a call with this fault is executed.
func (f Fault) executed() bool { return f != NotExecuted && f != AnswerBusy }

// unanswered reports whether a call with this fault is executed without a readable answer to the caller.
func (f Fault) unanswered() bool { return f == AnswerLost || f == NoAnswer || f == AnswerGarbled }

// serveCall executes the commands of a call and answers it, subject to the injected fault.
func (r *Relay) serveCall(w http.ResponseWriter, request *http.Request) {
	commands, ok := readCommands(request)
	if !ok {
		fmt.Fprintf(w, answerError, errorSyntax)
		return
	}
	fault, accepted := r.executeCall(commands)
	answer := fmt.Sprintf(answerAccepted, accepted)
	switch fault {
	case AnswerLost, NotExecuted:
		breakConnection(w)
		return
	case NoAnswer:
		select {
		case <-request.Context().Done():
		case <-r.closed:
		}
		return
	case AnswerGarbled:
		answer = answer[:len(answer)/2] + "\x00\x01"
	case AnswerBusy:
		answer = fmt.Sprintf(answerError, errorBusy)
	case AnswerDelayed:
		time.Sleep(r.AnswerDelay)
	}
	io.WriteString(w, answer)
}

// readCommands reads the commands of a call. It returns false if the call is malformed, not a commit or too long.
func readCommands(request *http.Request) (commands []string, ok bool) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxCallBytes))
	if err != nil {
		return nil, false
	}
	form, err := url.ParseQuery(string(body))
	if err != nil || form.Get(actionField) != commitAction || len(form.Get(commandsField)) > maxCommandsBytes {
		return nil, false
	}
	return strings.Split(form.Get(commandsField), commandSeparator), true
}

// executeCall executes a call unless its fault prevents that, and returns the number of accepted commands.
func (r *Relay) executeCall(commands []string) (fault Fault, accepted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	fault = r.InjectFault(r.calls)
	if r.unavailable {
		fault = NotExecuted
	}
	r.faults[fault]++
	if !fault.executed() {
		return fault, 0
	}
	return fault, r.executeAll(commands, fault.unanswered())
}

// executeAll executes commands in order, up to the first invalid one, and queues one message to each affected proxy. If
// the caller got no answer to the last executed call, a command that repeats one of that call's commands must not change
// any state; executeAll reports each repeat to the rule checker. The caller holds the lock.
func (r *Relay) executeAll(commands []string, unanswered bool) (accepted int) {
	now := time.Now()
	messages := &callMessages{at: now, byProxy: map[int]*message{}}
	executed := map[string]*proxy{}
	for _, text := range commands {
		changesBefore := r.stateChanges
		command, ok := parseCommand(text)
		if !ok || !command.execute(r, messages) {
			r.rejected++
			break
		}
		accepted++
		executed[text] = r.assignedProxy(command)
		if r.isRepeat(text, command) {
			r.Rules.commandRepeated(now, text, r.stateChanges != changesBefore)
		}
		r.OnCommand(now, commandWord(text), command.subject())
	}
	r.accepted += accepted
	clear(r.unanswered)
	if unanswered {
		r.unanswered = executed
	}
	r.enqueue(messages)
	return accepted
}

// isRepeat reports whether the last executed call had the same command and the caller got no answer to it. An assignment
// of a proxy that has reconnected since is not a repeat: the earlier assignment affected an incarnation that is gone, and
// the new one has no table yet. A barrier is never a repeat, because it changes no state.
func (r *Relay) isRepeat(text string, command command) bool {
	if _, isBarrier := command.(setBarrier); isBarrier {
		return false
	}
	reached, executed := r.unanswered[text]
	return executed && reached == r.assignedProxy(command)
}

// assignedProxy returns the connected proxy that an assignment refers to, or nil for any other command.
func (r *Relay) assignedProxy(command command) *proxy {
	if assignment, ok := command.(assignTable); ok {
		return r.proxies[assignment.proxy]
	}
	return nil
}

// enqueue queues the messages of a call in the order of their proxies' IDs.
func (r *Relay) enqueue(messages *callMessages) {
	ids := make([]int, 0, len(messages.byProxy))
	for id := range messages.byProxy {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := messages.byProxy[id]
		m.size += r.site.MessageOverhead
		r.queuedCommands += m.size
		r.queue = append(r.queue, *m)
		r.countMessage(m.to, messages.at)
	}
	r.Rules.checkQueue(messages.at, r.queuedCommands)
}

// countMessage counts a message to a proxy and checks the number of messages within the site's window.
func (r *Relay) countMessage(p *proxy, now time.Time) {
	p.messageTimes = append(p.messageTimes, now)
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Time) bool {
		return now.Sub(at) > r.site.MessageWindow
	})
	r.Rules.checkMessageCount(now, p.id, len(p.messageTimes))
}

// callMessages collects the messages of one call by proxy ID.
type callMessages struct {
	at      time.Time
	byProxy map[int]*message
}

// add adds to the size of the message to a proxy, which it creates if necessary, and returns the message. size is in
// commands.
func (c *callMessages) add(p *proxy, size int) *message {
	m := c.byProxy[p.id]
	if m == nil {
		m = &message{to: p, sentAt: c.at}
		c.byProxy[p.id] = m
	}
	m.size += float64(size)
	return m
}
