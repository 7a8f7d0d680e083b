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

const (
	// None: the call is carried out and answered.
	NoFault       Fault = iota
	AnswerLost          // carried out, and the connection breaks before the answer
	NotExecuted         // the connection breaks, and nothing was carried out
	NoAnswer            // carried out, and no answer ever comes
	AnswerGarbled       // carried out, and the answer can't be read
	AnswerBusy          // nothing was carried out, and the answer says so
	AnswerDelayed       // carried out, and the answer comes late
	faultsOf            // how many there are
)

var faultNames = []string{"none", "lost", "undone", "mute", "garbled", "busy", "slow"}

// String is the name of a fault.
func (f Fault) String() string { return faultNames[f] }

func (r *Relay) call(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	form, bad := url.ParseQuery(string(body))
	if err != nil || bad != nil || form.Get("Action") != "CommitChanges" || len(form.Get("orders")) > 60000 {
		fmt.Fprint(w, `<?xml version="1.0"?><Response><error>SYNTAX</error></Response>`)
		return
	}
	orders := strings.Split(form.Get("orders"), ";")
	r.mu.Lock()
	r.calls++
	fault := r.InjectFault(r.calls)
	if r.away {
		fault = NotExecuted
	}
	r.faults[fault]++
	taken := 0
	if fault != NotExecuted && fault != AnswerBusy {
		taken = r.carryOut(orders, fault == AnswerLost || fault == NoAnswer || fault == AnswerGarbled)
	}
	r.mu.Unlock()
	answer := fmt.Sprintf(`<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`, taken)
	switch fault {
	case AnswerLost, NotExecuted:
		cutOff(w)
		return
	case NoAnswer:
		select {
		case <-req.Context().Done():
		case <-r.over:
		}
		return
	case AnswerGarbled:
		answer = answer[:len(answer)/2] + "\x00\x01"
	case AnswerBusy:
		answer = `<?xml version="1.0"?><Response><error>BUSY</error></Response>`
	case AnswerDelayed:
		time.Sleep(r.AnswerDelay)
	}
	io.WriteString(w, answer)
}

// carryOut takes orders one after another, up to the first that it can't use, and puts what they cost each proxy into
// the channel as one message. An order that is carried out again after a call without an answer must change nothing.
func (r *Relay) carryOut(orders []string, unanswered bool) (taken int) {
	now := time.Now()
	m := &sending{at: now, of: map[int]*message{}}
	for _, o := range orders {
		before := r.effects
		kind, about, ok := r.order(o, m)
		if !ok {
			r.refused++
			break
		}
		if kind != "mark" && r.isRepeat(o) {
			r.Rules.repeated(now, o, r.effects != before)
		}
		taken++
		r.OnCommand(now, kind, about)
	}
	r.taken += taken
	clear(r.unanswered)
	if unanswered {
		for _, o := range orders[:taken] {
			r.unanswered[o] = r.assignedProxy(o)
		}
	}
	var ids []int
	for id := range m.of {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		one := m.of[id]
		one.lines += r.site.MessageHeaderLines
		r.waiting += one.lines
		r.queue = append(r.queue, *one)
		one.to.sent = append(one.to.sent, now)
		one.to.sent = slices.DeleteFunc(one.to.sent, func(at time.Time) bool { return now.Sub(at) > r.site.MessageWindow })
		r.Rules.messages(now, id, len(one.to.sent))
	}
	r.Rules.waits(now, r.waiting)
	return taken
}

// isRepeat tells whether a command was already executed by the last call, which was not answered. A proxy that has
// disconnected and connected again since is on no table and has received no earlier command, so its assignment is
// not a repeat: the earlier one took effect on another incarnation, which is gone.
func (r *Relay) isRepeat(command string) bool {
	reached, executed := r.unanswered[command]
	return executed && reached == r.assignedProxy(command)
}

// assignedProxy is the connected proxy that an assignment is about; nil for any other command.
func (r *Relay) assignedProxy(command string) *proxy {
	words := fields(strings.Split(command, ","))
	if words[0] != "bind" || len(words) != orderKinds["bind"].words {
		return nil
	}
	return r.proxies[words.number(1)]
}

// sending is what one call sends, by proxy.
type sending struct {
	at time.Time
	of map[int]*message
}

func (m *sending) line(p *proxy, lines float64) *message {
	one := m.of[p.id]
	if one == nil {
		one = &message{to: p, at: m.at}
		m.of[p.id] = one
	}
	one.lines += lines
	return one
}
