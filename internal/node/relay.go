package node

// Relay carries the calls to the relay, one at a time and in order. It owns what became of each:
// taken, refused, not sent, or unknown; then what may be missing is sent again before anything
// else. It must never drop an order that was not refused, nor send a later one before it.

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

	"tamarindshore/choice"
	"tamarindshore/internal/config"
	"tamarindshore/internal/orders"
)

type relay struct {
	limits  config.Limits
	address string
	groups  []string
	backlog *backlog
	intake  *intake
	book    *book
	next    atomic.Pointer[string] // the address that a reload named
}

func newRelay(l config.Limits, address string, groups []string, b *backlog, t *intake) *relay {
	return &relay{limits: l, address: address, groups: groups, backlog: b, intake: t, book: t.book}
}

// moveTo names the address of all calls after the one under way.
func (r *relay) moveTo(address string) { r.next.Store(&address) }

func (r *relay) run() {
	for {
		o, ok := r.backlog.next()
		if !ok {
			select {
			case <-r.intake.stop:
				return
			case <-r.backlog.filled:
			}
			continue
		}
		if !r.settle(o) {
			return
		}
	}
}

// settle carries orders until nothing of them is missing; false once the manager ends. What is to go out once
// more, or late, is asked of the module together with all that waits by then: nothing stale goes out in a burst
// once the relay is back, and repeats count against its limits. What is too long for one call is late too: each
// call makes messages of its own.
func (r *relay) settle(o choice.Orders) bool {
	var wait choice.Orders
	for tries := 0; ; tries++ {
		n, end := r.carry(o)
		rest := orders.Skip(o, n)
		if end == done && rest.Count() == 0 && wait.Count() == 0 {
			return true
		}
		if end != done {
			r.book.say("relay", "outcome", string(end), "orders", rest.Count())
		}
		if n == 0 && (end != unknown || tries > 0) && !r.intake.backoff(r.intake.stop) {
			return false
		}
		reply := make(chan later, 1)
		if !r.intake.give(again{orders.Fold(rest, wait), o.Mark, end == unknown || n > 0, reply}) {
			return false
		}
		select {
		case next := <-reply:
			o, wait = next.now, next.rest
			r.book.add(callsAgain, 1)
		case <-r.intake.stop:
			return false
		}
	}
}

type outcome string

const (
	done    outcome = "done"
	busy    outcome = "busy"   // nothing was carried out
	unsent  outcome = "unsent" // no connection came up
	unknown outcome = "unknown"
)

// carry sends as many orders as a call holds, and gives how many are done with.
func (r *relay) carry(o choice.Orders) (n int, end outcome) {
	if orders.Empty(o) {
		return 0, done
	}
	text := encode(o, r.groups, r.limits.CallBytes)
	r.book.add(callsSent, 1)
	taken := 0
	err := safely(r.book, "relay", func() (err error) {
		taken, err = r.call(strings.Join(text, ";"), len(text))
		return err
	})
	switch {
	case errors.Is(err, errUnreached):
		r.book.add(callsUnsent, 1)
		return 0, unsent
	case errors.Is(err, errBusy):
		r.book.add(callsBusy, 1)
		return 0, busy
	case errors.Is(err, errSyntax):
		// guards against asking for ever for what is never taken
		taken = 0
	case err != nil:
		r.book.add(callsUnknown, 1)
		r.book.say("call", "error", err)
		return 0, unknown
	}
	r.book.add(callsAnswered, 1)
	r.book.add(ordersSent, int64(min(taken, len(text))))
	if taken < len(text) {
		r.book.say("refused", "order", text[taken])
		r.book.add(ordersRefused, 1)
		r.intake.give(settled{o.Mark, false}) // guards against a queue that is full of what no mark will show to have left
		return taken + 1, done
	}
	if o.Mark > 0 {
		r.book.add(marksSent, 1)
		if len(text) > o.Count() {
			r.intake.give(settled{o.Mark, true})
		}
		taken--
	}
	return taken, done
}

var errBusy, errSyntax = errors.New("the relay is busy"), errors.New("the relay can't read the call")

// call makes one call of n orders and gives how many of them were taken. Each has a connection of its own: guards
// against one that the relay closes as idle in the instant of a call, and against an answer that belongs to the call
// before.
func (r *relay) call(orders string, n int) (int, error) {
	if address := r.next.Swap(nil); address != nil {
		r.address = *address
	}
	conn, err := dial(context.Background(), r.limits, r.address, r.limits.RelayAnswer)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.address + "/v3/kv/")
	req.Header.SetContentType("application/x-www-form-urlencoded")
	form := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(form)
	form.Set("Action", "CommitChanges")
	form.Set("orders", orders)
	req.SetBody(form.QueryString())
	req.SetConnectionClose()
	if err := client(r.limits, r.address, conn, false).Do(req, resp); err != nil {
		return 0, err
	}
	taken, err := answer(resp.Body(), n)
	if err == nil && resp.StatusCode() != fasthttp.StatusOK {
		return 0, fmt.Errorf("unreadable answer: status %d", resp.StatusCode())
	}
	return taken, err
}

// answer reads what the relay says of a call of n orders: how many it took, or an error word. Guards against
// a spoilt count that passes for done.
func answer(body []byte, n int) (taken int, err error) {
	taken = -1
	in := xml.NewDecoder(bytes.NewReader(body))
	element := ""
	for {
		token, err := in.Token()
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
			switch text := strings.TrimSpace(string(one)); {
			case text == "BUSY":
				return 0, errBusy
			case text == "SYNTAX":
				return 0, errSyntax
			case element == "taken":
				again := taken >= 0
				if taken, err = strconv.Atoi(text); err != nil || again || taken < 0 || taken > n {
					return 0, fmt.Errorf("unreadable answer: taken %.20q of %d", text, n)
				}
			}
		}
	}
	if taken < 0 {
		return 0, fmt.Errorf("unreadable answer: %.80q", body)
	}
	return taken, nil
}
