// Command standins-2 plays the cases 4 to 6 of the review: it starts a manager by the deploy file's command beside small
// stand-ins of discovery, the relay with its proxies, servers and collectors, causes the case's disruption, and checks what
// the proxies can see against the rules. It exits with 1 if the case's rule was broken, 0 if it held, and 2 if it couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// scenario is a case: its deployment, the rule that it judges, and what happens.
type scenario struct {
	site site
	feed bool // the manager serves replicas of its tables
	rule string
	play func(w *world, trouble troubles) error
}

// troubles says which of a case's disruptions happen.
type troubles struct{ first, second bool }

func main() { os.Exit(run()) }

func run() int {
	number := flag.Int("case", 0, "number of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and seen")
	which := flag.String("trouble", "1", "0: no disruption, 1: all, 2: only the second one, where a case has two")
	replica := flag.String("replica", "", "run as a replica that follows the tables at this address")
	flag.Parse()
	if *replica != "" {
		return runReplica(*replica)
	}
	s, known := scenarios[*number]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %d\n", *number)
		return 2
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	w, err := newWorld(rec, root, s.site, s.feed)
	defer w.close()
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		return 2
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	var helpers sync.WaitGroup
	helpers.Go(func() { w.watch(stop) })
	for _, zone := range s.site.zones {
		helpers.Go(func() { w.report(zone.name, stop) })
	}
	w.joinProxies()
	done := make(chan error, 1)
	go func() { done <- s.play(w, troubles{first: *which == "1", second: *which != "0"}) }()
	code := 0
	select {
	case err := <-done:
		if err != nil {
			rec.say("the case couldn't run: %v", err)
			code = 2
		}
	case err := <-w.crashed:
		rec.say("the manager ended by itself: %v", err)
		code = 1
	case <-ended:
		code = 2
	case <-time.After(115 * time.Second):
		rec.say("the case took too long")
		code = 2
	}
	close(stop)
	helpers.Wait()
	for _, rule := range []string{ruleEmpty, ruleDrain, ruleQueue, ruleRedial} {
		rec.say("rule %q: worst %.2f, checks over the limit: %d", rule, w.worst[rule], w.broken[rule])
	}
	if code == 0 && w.broken[s.rule] > 0 {
		code = 1
	}
	rec.say("exit %d", code)
	return code
}
