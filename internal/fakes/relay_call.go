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

// Fault is what becomes of a call.
type Fault int

// The faults of a call. Only the first answers in time and readably.
const (
	NoFault       Fault = iota // executed and answered
	AnswerLost                 // executed, and the connection breaks before the answer
	NotExecuted                // the connection breaks, and nothing was executed
	NoAnswer                   // executed, and no answer ever comes
	AnswerGarbled              // executed, and the answer can't be read
	AnswerBusy                 // nothing was executed, and the answer says so
	AnswerDelayed              // executed, and the answer comes late
	faultCount
)

var faultNames = [faultCount]string{"none", "lost", "undone", "mute", "garbled", "busy", "slow"}

// String is the name of a fault in reports.
func (f Fault) String() string { return faultNames[f] }

// executed tells whether a call with this fault is executed.
func (f Fault) executed() bool { return f != NotExecuted && f != AnswerBusy }

// unanswered tells whether a call with this fault is executed without the caller learning of it.
func (f Fault) unanswered() bool { return f == AnswerLost || f == NoAnswer || f == AnswerGarbled }

// serveCall takes a call with commands, executes it and answers, as its fault has it.
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

// readCommands reads the commands of a call; false where the call can't be read or is too long.
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

// executeCall executes a call unless its fault prevents that, and returns how many of its commands were accepted.
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

// executeAll executes commands one after another, up to the first that it can't use, and queues what they cost each
// proxy as one message. A command that is executed again after a call without an answer must change nothing. The
// caller holds the lock.
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

// isRepeat tells whether a command was already executed by the last call, which was not answered. A proxy that has
// disconnected and connected again since is on no table and has received no earlier command, so its assignment is
// not a repeat: the earlier one took effect on another incarnation, which is gone. A barrier has no effect to repeat.
func (r *Relay) isRepeat(text string, command command) bool {
	if _, isBarrier := command.(setBarrier); isBarrier {
		return false
	}
	reached, executed := r.unanswered[text]
	return executed && reached == r.assignedProxy(command)
}

// assignedProxy is the connected proxy that an assignment is about; nil for any other command.
func (r *Relay) assignedProxy(command command) *proxy {
	if assignment, ok := command.(assignTable); ok {
		return r.proxies[assignment.proxy]
	}
	return nil
}

// enqueue puts the messages of a call into the channel, by the number of their proxy.
func (r *Relay) enqueue(messages *callMessages) {
	ids := make([]int, 0, len(messages.byProxy))
	for id := range messages.byProxy {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := messages.byProxy[id]
		m.lines += r.site.MessageHeaderLines
		r.queuedLines += m.lines
		r.queue = append(r.queue, *m)
		r.countMessage(m.to, messages.at)
	}
	r.Rules.checkQueue(messages.at, r.queuedLines)
}

// countMessage counts a message to a proxy within the site's window.
func (r *Relay) countMessage(p *proxy, now time.Time) {
	p.messageTimes = append(p.messageTimes, now)
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at time.Time) bool {
		return now.Sub(at) > r.site.MessageWindow
	})
	r.Rules.checkMessageCount(now, p.id, len(p.messageTimes))
}

// callMessages is what one call sends, by proxy.
type callMessages struct {
	at      time.Time
	byProxy map[int]*message
}

// add adds lines to the message to a proxy, and returns that message.
func (c *callMessages) add(p *proxy, lines int) *message {
	m := c.byProxy[p.id]
	if m == nil {
		m = &message{to: p, sentAt: c.at}
		c.byProxy[p.id] = m
	}
	m.lines += float64(lines)
	return m
}
