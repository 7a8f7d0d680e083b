// Package node is the real manager round the decision module: its stages take in, admit, route,
// send, relay and book messages. It carries and never decides. This file owns the start, the end
// and how the stages are joined; it must never do a stage's work.
package node

import (
	"context"
	"errors"
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

	readiness readiness
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
	n.readiness.born, n.readiness.most = born, s.Limits.ReadyMost
	n.born, n.known, n.held = born, known, &lists{held: known.generation, lowest: -1}
	n.router = &router{
		limits: s.Limits, born: born, manager: choice.New(s.Seed, s.Terms), inputs: make(chan any, s.Limits.Inputs),
		backlog: newBacklog(s.Limits.CallsWait, n.book), probes: make(chan probe, s.Limits.ProbesWait),
		listen: make(chan struct{}, 1), book: n.book, proxies: map[choice.ProxyID]bool{},
		unseen: map[choice.ProxyID]bool{}, servers: map[choice.ServerID]string{},
	}
	if s.Spill > 0 {
		n.router.filter = newSubsetFilter(s)
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

// Signals ask a running manager for something. Each kind has a channel of its own: guards against one that finds no
// room behind others.
type Signals struct {
	Reload <-chan os.Signal // to take the file anew
	Count  <-chan os.Signal // to log the counters
}

// Run listens and serves until ctx ends.
func (n *Node) Run(ctx context.Context, signals Signals, reread func() (config.Start, error)) error {
	l := n.start.Limits
	runtime.GOMAXPROCS(l.Cores)
	n.router.last = func() { n.out.End(l.LogEnd) }
	defer n.router.last()
	debug.SetMemoryLimit(l.Memory / 2) // the runtime goes over it by what it collects late
	at, err := listen(ctx, n.start.Listen, l)
	if ctx.Err() != nil { // asked to end during its start
		if err == nil {
			at.Close()
		}
		return nil
	} else if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	defer at.Close()
	defer n.end()
	n.router.opened = n.readiness.open
	t := &intake{limits: l, words: n.words, inputs: n.router.inputs, stop: n.life.Done(), book: n.book, ready: n.readiness.ready,
		chance: rand.New(rand.NewPCG(n.start.Seed, uint64(len(n.start.Name))))}
	if l.Lanes > 1 {
		n.router.post = newPost(l.Inputs, n.book)
		t.hub = newHub(t, n.router.post, l.Keeper)
		n.hub = t.hub
		go t.hub.oversee()
	}
	n.known.snapshot = true
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
	n.book.tell("start", "name", n.start.Name, "listen", n.start.Listen, "version", n.known.generation,
		"servers", len(n.known.entries), "lanes", l.Lanes)
	n.serve(ctx, t, signals, reread)
	n.end()
	at.Close()
	t.closeGuests()
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

// serve takes signals until ctx ends. The file is read beside it: guards against an end that waits for a file that does
// not come. A signal meanwhile has it read once more, and a faulty one is looked at again a few times: guards against
// a signal that comes while the file is being written, after which no other comes.
func (n *Node) serve(ctx context.Context, t *intake, signals Signals, reread func() (config.Start, error)) {
	type file struct {
		next config.Start
		err  error
	}
	read := make(chan file, 1)
	reading, anew, left := false, false, 0
	look := func() {
		if anew = reading; !reading {
			reading = true
			go func() {
				next, err := reread()
				read <- file{next, err}
			}()
		}
	}
	var again <-chan time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-signals.Count:
			n.book.count("counters")
		case <-signals.Reload:
			left = n.start.Limits.Rereads
			look()
		case <-again:
			look()
		case f := <-read:
			reading, again = false, nil
			if good := n.reload(t, f.next, f.err); anew {
				look()
			} else if !good && left > 0 {
				left--
				again = time.After(n.start.Limits.RereadEvery)
			}
		}
	}
}

// listen waits a while for an address that is still in use: guards against a start that fails because the process
// before it has not ended yet.
func listen(ctx context.Context, address string, l config.Limits) (at net.Listener, err error) {
	late := time.Now().Add(l.ListenMost)
	for {
		at, err = new(net.ListenConfig).Listen(ctx, "tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(late) {
			return at, err
		}
		select {
		case <-time.After(l.BackoffLeast):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// readiness tells whether a manager may be used: once the relay's news has opened, or after a while without. Guards
// against a restart that is never done because the relay is out of reach: what is known serves until it is back.
type readiness struct {
	opened atomic.Bool
	born   time.Time
	most   time.Duration
}

func (r *readiness) open()       { r.opened.Store(true) }
func (r *readiness) ready() bool { return r.opened.Load() || time.Since(r.born) >= r.most }

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
		err := safely(t.book, "watch", func() error {
			_, err := watch()
			return err
		})
		if w.open.Err() != nil {
			return
		}
		t.book.add(watchBreaks, 1)
		t.book.say("watch", "error=%q", err)
		give(listFailed{}, t.inputs, w.open.Done())
	}
}
