//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// cleanUp removes the temporary folder.
var cleanUp = func() {}

// fail ends a case that cannot run; a manager that was started ends with this process.
func fail(format string, args ...any) {
	cleanUp()
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	os.Exit(2)
}

// chc is the deployment chc-riccarton as its later page gives it: 22 to 30 workers, 75 to 101 proxies.
func chc() site {
	return site{Zones: []string{"addington", "sockburn", "hornby"}, Servers: 30, Proxies: 24, ProxyRate: 8, Capacity: 13,
		Egress: 7000, QueueCap: 10500, Envelope: 10, MessagesMost: 20, ReloadSpan: 10 * time.Second, EmptyFor: 2100 * time.Millisecond,
		Grace: 2 * time.Second, WarmAfter: 14 * time.Second, ColdFrom: 0.25, Overload: 4, OverloadFor: 2 * time.Second, Standing: 6,
		Late: 200 * time.Millisecond, HeardLate: time.Second, Period: 500 * time.Millisecond, Admit: "rate", UsualHow: 1, Mode: "push", Report: "silent"}
}

// akl is the deployment akl-dispatch.
func akl() site {
	s := chc()
	s.Zones = []string{"akl-east", "akl-south", "akl-west"}
	s.Servers, s.Proxies, s.ProxyRate, s.Capacity = 18, 12, 11, 14
	s.Egress, s.QueueCap, s.Envelope, s.MessagesMost = 7000, 7000, 4, 0
	s.WarmAfter, s.ColdFrom, s.Overload, s.Standing = 16*time.Second, 0.15, 2.5, 12
	s.Late, s.Period, s.Admit, s.Report = 300*time.Millisecond, time.Second, "share", "piggyback"
	return s
}

// wlg is the deployment wlg-dispatch.
func wlg() site {
	s := akl()
	s.Zones = []string{"wlg-thorndon", "wlg-petone"}
	s.Servers, s.Proxies, s.ProxyRate, s.Capacity = 12, 12, 11, 22
	s.Egress, s.QueueCap, s.Envelope = 1200, 2400, 6
	s.Grace, s.ColdFrom, s.Overload, s.Standing = 1500*time.Millisecond, 0.21, 3, 5
	s.Late, s.Report = 200*time.Millisecond, "pull"
	return s
}

// dropped is akl-dispatch with a list that may call running workers gone.
func dropped() site {
	s := akl()
	s.Servers, s.Proxies, s.Capacity, s.Dropped = 30, 20, 13, true
	return s
}

type scenario struct {
	site site
	play func(w *world, m *manager, trouble bool)
}

func main() {
	if len(os.Args) < 4 {
		fail("usage: standins SCENARIO ROOT RECORD")
	}
	sc, ok := scenarios()[os.Args[1]]
	if !ok {
		fail("no scenario %s", os.Args[1])
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fail("%v", err)
	}
	root, _ := filepath.Abs(os.Args[2])
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	cleanUp = func() { os.RemoveAll(dir) }
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(sc.site, record, time.Now().UnixNano())
	w.logf("scenario %s trouble=%v", os.Args[1], trouble)
	for i := 0; i < sc.site.Servers; i++ {
		k := w.addWorker(sc.site.Zones[i%len(sc.site.Zones)], false)
		k.listed = true
	}
	for i := 0; i < sc.site.Proxies+sc.site.Extra; i++ {
		w.proxies = append(w.proxies, w.newProxy(i))
	}
	m := &manager{w: w, root: root, dir: dir, listen: freeAddress()}
	m.disc, m.discServer = serve(http.HandlerFunc(w.serveList))
	m.relay, m.relayServer = serve(w.relayHandler())
	m.logFile, err = os.Create(filepath.Join(dir, "manager.log"))
	if err != nil {
		fail("%v", err)
	}
	time.AfterFunc(110*time.Second, func() {
		if m.cmd != nil {
			m.cmd.Process.Kill()
		}
		fail("the case takes over 110 s")
	})
	w.firstList = w.fullList()
	m.start(w.firstList)
	if !m.awaitReady(10 * time.Second) {
		m.end(syscall.SIGKILL)
		fail("the manager is not ready")
	}
	go w.runChannel()
	go w.runTraffic()
	for _, z := range sc.site.Zones {
		go w.runCollector(z, m.listen)
	}
	w.mu.Lock()
	for _, p := range w.proxies[:sc.site.Proxies] {
		w.join(p)
	}
	w.mu.Unlock()
	if sc.site.Extra > 0 {
		go w.runOthers()
	}
	sc.play(w, m, trouble)
	if !m.crashed() && !m.awaitReady(3*time.Second) {
		w.with(func() { w.violate("no hang", "", "the manager does not answer ping within 3 s") })
	}
	w.mu.Lock()
	if m.crashed() {
		w.violate("no crash", "", "the manager ended by itself")
	}
	w.mu.Unlock()
	m.end(syscall.SIGTERM)
	log, _ := os.ReadFile(filepath.Join(dir, "manager.log"))
	w.mu.Lock()
	for _, k := range w.workers {
		if k.late > 0 {
			w.logf("%s (%s): %d requests after the grace, the last %.2f s after the manager was told", k.id, k.state, k.late, k.lateLast.Sub(k.toldAt).Seconds())
		}
	}
	w.logf("most lines in the channel %.0f of %.0f, most messages to a proxy within %v: %d of %d", w.worstQ, w.s.QueueCap, w.s.ReloadSpan, w.worstMsg, w.s.MessagesMost)
	fmt.Fprintf(record, "\nlog of the manager:\n%s", log)
	code := 0
	for _, v := range w.bad {
		fmt.Printf("broken: %s: %s\n", v.rule, v.text)
		code = 1
	}
	if code == 0 {
		fmt.Printf("the rules held; most messages %d, most lines %.0f\n", w.worstMsg, w.worstQ)
	}
	record.Close()
	cleanUp()
	os.Exit(code)
}

func (w *world) relayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/", w.serveCall)
	mux.HandleFunc("GET /v3/kv/stream", w.serveNews)
	return mux
}

func serve(h http.Handler) (string, *http.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return l.Addr().String(), s
}

// sleep lets the day go on; it returns at once when the manager has crashed.
func (m *manager) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-m.done:
		if m.ended {
			time.Sleep(d)
		}
	}
}
