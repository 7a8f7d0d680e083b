// Package node is the real manager round the decision module: its stages take in, admit, route,
// send, relay and book messages. It carries and never decides. This file owns the start, the end
// and how the stages are joined; it must never do a stage's work.
package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"tamarindshore/choice"
	"tamarindshore/client/tables"
	"tamarindshore/internal/config"
	"tamarindshore/internal/logs"
	"tamarindshore/internal/store"
	"tamarindshore/internal/versions"
)

// Node is one manager; it serves once it is run.
type Node struct {
	start  config.Start
	closes []io.Closer // listeners of the operator's
	store  *store.Store
	known  listed
	born   time.Time
	hub    *hub
	words  *words
	book   *book
	out    *logs.Outlet
	router *router
	relay  *relay
	life   context.Context
	end    context.CancelFunc
	held   *lists
	news   *way
	watch  *way
}

// New checks what is left to check and makes the manager, which logs to a writer; nothing listens yet.
func New(s config.Start, log io.Writer) (*Node, error) {
	n := &Node{start: s}
	n.out = logs.NewOutlet(logs.Written(s.LogForm, log), s.Limits.LogWaits, func() { n.book.add(logDropped, 1) })
	n.book = newBook(s.Limits.LogEvery, logs.New(n.out, s.LogLevel))
	n.life, n.end = context.WithCancel(context.Background())
	born := time.Now()
	n.words = newWords(s.Terms, s.Groups, born, s.Limits)
	known, _, err := n.words.list(s.Known)
	if err != nil {
		return nil, fmt.Errorf("known: %v", err)
	}
	n.born, n.known, n.held = born, known, &lists{held: known.version, lowest: -1}
	n.router = &router{
		limits: s.Limits, born: born, manager: choice.New(s.Seed, s.Terms), inputs: make(chan any, s.Limits.Inputs),
		backlog: newBacklog(s.Limits.CallsWait, n.book), probes: make(chan probe, s.Limits.ProbesWait),
		listen: make(chan struct{}, 1), book: n.book, proxies: map[choice.ProxyID]bool{},
		unseen: map[choice.ProxyID]bool{}, servers: map[choice.ServerID]string{},
	}
	epoch, kept := uint64(born.UnixMilli()), store.Kept{}
	if s.Store != "" {
		var err error
		if n.store, kept, err = store.Open(s.Store, epoch, store.Usual(), nil); err != nil {
			return nil, fmt.Errorf("store: %s: %v", s.Store, err)
		}
		epoch = n.store.Epoch()
		n.router.vault = newVault(n.store, kept, n.book, n.life.Done())
	}
	terms := versions.Usual(epoch)
	terms.Began, terms.LinesMost = born, max(1, int(s.Terms.QueueLines))
	n.router.chain = versions.New(terms)
	n.router.chain.Recover(recovered(kept))
	if s.Tables != "" {
		keys, err := readKeys(s.Keys)
		if err != nil {
			return nil, fmt.Errorf("keys: %v", err)
		}
		n.router.feed = newFeed(keys, max(16, s.Limits.Sockets/2), n.book)
	}
	n.known.entries = versions.StillDraining(n.known.entries, kept.Drains, born)
	return n, nil
}

// recovered are the versions and commands of a store, as the chain takes them.
func recovered(kept store.Kept) (old []*versions.Version, done []versions.Done) {
	state := tables.Empty()
	for _, v := range kept.Versions {
		if v.Whole {
			state = tables.Empty()
		}
		next, err := state.Apply(v.Ops)
		if err != nil {
			return nil, nil // the store has looked at it; nothing is better than a part
		}
		state = next
		old = append(old, &versions.Version{ID: v.ID, Parent: v.Parent, Digest: v.Digest, At: v.At, Cause: v.Cause, Layout: v.Layout,
			Key: v.Key, Ops: v.Ops, State: next})
	}
	for _, d := range kept.Done {
		done = append(done, versions.Done(d))
	}
	slices.SortFunc(done, func(a, b versions.Done) int { return a.At.Compare(b.At) })
	return old, done
}

// Run listens and serves until a signal comes that asks for the end: SIGUSR1 asks for the counters, SIGHUP to
// take the file anew.
func (n *Node) Run(signals <-chan os.Signal, reread func() (config.Start, error)) error {
	l := n.start.Limits
	runtime.GOMAXPROCS(l.Cores)
	n.router.last = func() { n.out.End(l.LogEnd) }
	defer n.router.last()
	debug.SetMemoryLimit(l.Memory / 2) // the runtime goes over it by what it collects late
	at, err := net.Listen("tcp", n.start.Listen)
	if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	var fit atomic.Bool
	n.router.opened = func() { fit.Store(true) }
	t := &intake{limits: l, words: n.words, inputs: n.router.inputs, stop: n.life.Done(), book: n.book, fit: fit.Load,
		chance: rand.New(rand.NewPCG(n.start.Seed, uint64(len(n.start.Name))))}
	if l.Lanes > 1 {
		n.router.post = newPost(l.Inputs, n.book)
		t.hub = newHub(t, n.router.post, l.Keeper)
		n.hub = t.hub
		go t.hub.oversee()
	}
	n.known.whole = true
	n.router.inputs <- n.known
	go n.router.run(n.life.Done())
	n.relay = newRelay(l, n.start.Relay, n.start.Groups, n.router.backlog, t)
	go n.relay.run()
	n.news, n.watch = newWay(n.life, n.start.Relay), newWay(n.life, n.start.Discovery)
	go t.news(n.news)
	go n.follow(t, n.watch, false)
	path := "/alive"
	if n.start.Loads {
		path = "/metrics/load"
	}
	for range l.ProbesOpen {
		go t.prober(n.router.probes, path)
	}
	go t.accept(at)
	if n.start.Tables != "" {
		l, err := n.router.feed.listen(n.start.Tables, n.life.Done())
		if err != nil {
			return fmt.Errorf("tables: %v", err)
		}
		n.closes = append(n.closes, l)
	}
	if n.start.Admin != "" {
		if err := n.admin(n.start.Admin); err != nil {
			return fmt.Errorf("admin: %v", err)
		}
	}
	if n.start.Status != "" {
		if err := n.status(n.start.Status); err != nil {
			return fmt.Errorf("status: %v", err)
		}
	}
	n.book.tell("start", "name", n.start.Name, "listen", n.start.Listen, "version", n.known.version,
		"servers", len(n.known.entries), "lanes", l.Lanes)
	for s := range signals {
		if s == syscall.SIGHUP {
			n.reload(t, reread)
			continue
		} else if s != syscall.SIGUSR1 {
			break
		}
		n.book.count("counters")
	}
	n.end()
	at.Close()
	for _, l := range n.closes { // before the end, so that the next one can listen there at once
		l.Close()
	}
	if v := n.router.vault; v != nil {
		select {
		case <-v.ended:
		case <-time.After(l.LogEnd):
		}
	}
	n.book.count("end")
	return nil
}

// follow keeps discovery's watch: unasked where the site pushes changes, else as the module orders,
// with one failure told for each watch that ends. A way that replaces another is asked for already.
func (n *Node) follow(t *intake, w *way, asked bool) {
	watch := func() (bool, error) { return t.watch(w, n.held) }
	if !n.start.Terms.AsksList {
		t.keep(w, "watch", watchBreaks, watch)
		return
	}
	defer close(w.over)
	for w.renew.Err() == nil {
		if !asked {
			select {
			case <-w.renew.Done():
				return
			case <-n.router.listen:
			}
		}
		asked = false
		_, err := watch()
		if w.open.Err() != nil {
			return
		}
		t.book.add(watchBreaks, 1)
		t.book.say("watch", "error=%q", err)
		give(listFailed{}, t.inputs, w.open.Done())
	}
}
