// Package node is the real manager round the decision module: its stages take in, admit, route,
// send, relay and book messages. It carries and never decides. This file owns the start, the end
// and how the stages are joined; it must never do a stage's work.
package node

import (
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
)

// Node is one manager; it serves once it is run.
type Node struct {
	start  config.Start
	known  listed
	words  *words
	book   *book
	router *router
	stop   chan struct{}
}

// New checks what is left to check and makes the manager; nothing listens yet.
func New(s config.Start) (*Node, error) {
	n := &Node{start: s, book: newBook(s.Limits.LogEvery), stop: make(chan struct{})}
	born := time.Now()
	n.words = newWords(s.Terms.Zones, s.Groups, born, s.Limits.Words)
	known, _, err := n.words.list(s.Known)
	if err != nil {
		return nil, fmt.Errorf("known: %v", err)
	}
	n.known = known
	n.router = &router{
		limits: s.Limits, born: born, manager: choice.New(s.Seed, s.Terms), inputs: make(chan any, s.Limits.Inputs),
		backlog: newBacklog(s.Limits.CallsWait, n.book), probes: make(chan probe, s.Limits.ProbesWait),
		listen: make(chan struct{}, 1), book: n.book, proxies: map[choice.ProxyID]bool{},
		unseen: map[choice.ProxyID]bool{}, servers: map[choice.ServerID]string{},
	}
	return n, nil
}

// Run listens and serves until a signal comes that is not SIGUSR1, which asks for the counters.
func (n *Node) Run(signals <-chan os.Signal) error {
	l := n.start.Limits
	runtime.GOMAXPROCS(l.Cores)
	to := log.Writer()
	out := newOutlet(to, l.LogWaits, n.book)
	log.SetOutput(out)
	n.router.last = func() {
		out.end(l.LogEnd)
		log.SetOutput(to)
	}
	defer n.router.last()
	debug.SetMemoryLimit(l.Memory / 2) // the runtime goes over it by what it collects late
	at, err := net.Listen("tcp", n.start.Listen)
	if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	var fit atomic.Bool
	n.router.opened = func() { fit.Store(true) }
	t := &intake{limits: l, words: n.words, inputs: n.router.inputs, stop: n.stop, book: n.book, fit: fit.Load,
		chance: rand.New(rand.NewPCG(n.start.Seed, uint64(len(n.start.Name))))}
	n.known.whole = true
	n.router.inputs <- n.known
	go n.router.run(n.stop)
	go newRelay(l, n.start.Relay, n.start.Groups, n.router.backlog, t).run()
	go t.keep("news", newsBreaks, func() (bool, error) { return t.news(n.start.Relay) })
	go n.follow(t)
	path := "/alive"
	if n.start.Loads {
		path = "/metrics/load"
	}
	for range l.ProbesOpen {
		go t.prober(n.router.probes, path)
	}
	go t.accept(at)
	log.Printf("event=start name=%s listen=%s version=%d servers=%d", n.start.Name, n.start.Listen,
		n.known.version, len(n.known.entries))
	for s := range signals {
		if s != syscall.SIGUSR1 {
			break
		}
		log.Print("event=counters ", n.book.line())
	}
	close(n.stop)
	at.Close()
	log.Print("event=end ", n.book.line())
	return nil
}

// follow keeps discovery's watch: unasked where the site pushes changes, else as the module orders,
// with one failure told for each watch that ends.
func (n *Node) follow(t *intake) {
	held := &lists{held: n.known.version, lowest: -1}
	watch := func() (bool, error) { return t.watch(n.start.Discovery, held) }
	if !n.start.Terms.AsksList {
		t.keep("watch", watchBreaks, watch)
		return
	}
	for {
		select {
		case <-n.stop:
			return
		case <-n.router.listen:
		}
		_, err := watch()
		t.book.add(watchBreaks, 1)
		t.book.say("watch", "error=%q", err)
		t.give(listFailed{})
	}
}
