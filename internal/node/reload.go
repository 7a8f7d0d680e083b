package node

// Reload moves a running manager to another configuration, make before break. It owns the ways of the
// two streams: a new way opens at once, the old one serves until the new has opened, is never dialled
// again and is let go then. It must never touch what the module learnt, nor apply half of a file.

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"tamarindshore/internal/config"
)

// way is where a stream goes until a reload names another address.
type way struct {
	address string
	open    context.Context // until it is let go
	renew   context.Context // until a newer way is there: what ends before is opened again
	letGo   context.CancelFunc
	retire  context.CancelFunc
	over    chan struct{} // closed once it hands on nothing more
	old     *way
	broken  bool // it ended for what could not be read, and was not sound since
}

// spoilt notes that something could not be read, and tells whether to ask for it again at once. Guards against a fault
// that comes back at each opening and would keep out for ever all that is sound behind it.
func (w *way) spoilt() (again bool) {
	again = !w.broken
	w.broken = true
	return again
}

// sound notes that all was read that was due.
func (w *way) sound() { w.broken = false }

func newWay(life context.Context, address string) *way {
	w := &way{address: address, over: make(chan struct{})}
	w.open, w.letGo = context.WithCancel(life)
	w.renew, w.retire = context.WithCancel(w.open)
	return w
}

// next is the way to another address.
func (w *way) next(life context.Context, address string) *way {
	n := newWay(life, address)
	n.old = w
	w.retire()
	return n
}

// takeOver lets the older ways go; once it returns they hand on nothing more, so that nothing stale
// follows what the new one opens with. They end at once, also in a dial.
func (w *way) takeOver() {
	for o := w.old; o != nil; o = o.old {
		o.letGo()
		<-o.over
	}
	w.old = nil
}

// reload takes the file as it was read anew; false where it is faulty, which changes nothing. Keys that only count at
// the start are named.
func (n *Node) reload(t *intake, next config.Start, err error) bool {
	if err == nil {
		_, _, err = n.words.list(next.Known)
		if err != nil {
			err = fmt.Errorf("known: %v", err)
		}
	}
	if err != nil {
		n.book.add(reloadsFaulty, 1)
		n.book.tell("reload_faulty", "error", err)
		return false
	}
	if f := n.router.feed; f != nil {
		if keys, err := readKeys(n.start.Keys); err != nil {
			n.book.tell("keys_faulty", "error", err)
		} else {
			f.keys.Store(&keys)
		}
	}
	n.book.add(reloads, 1)
	s := n.start
	var left []string
	for _, one := range []struct {
		key  string
		same bool
	}{
		{"name", s.Name == next.Name}, {"listen", s.Listen == next.Listen}, {"limits", s.Limits == next.Limits},
		{"settings", reflect.DeepEqual(s.Terms, next.Terms) && reflect.DeepEqual(s.Groups, next.Groups) && s.Loads == next.Loads},
	} {
		if !one.same {
			left = append(left, one.key)
		}
	}
	n.book.tell("reload", "discovery", next.Discovery, "relay", next.Relay, "left_out", strings.Join(left, ","))
	if next.Relay != s.Relay {
		n.relay.moveTo(next.Relay)
		n.news = n.news.next(n.life, next.Relay)
		go t.news(n.news)
	}
	if next.Discovery != s.Discovery {
		n.watch = n.watch.next(n.life, next.Discovery)
		go n.follow(t, n.watch, true)
	}
	n.start.Relay, n.start.Discovery = next.Relay, next.Discovery
	return true
}
