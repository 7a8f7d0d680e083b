package node

// Each test here holds the code between two lines, by a channel or a stand-in that stops at a named byte, and lets a
// message, an answer, a signal or a close come just there.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tamarindshore/choice"
	"tamarindshore/internal/config"
	"tamarindshore/internal/stand"
)

// Guards against a drain that is lost for good: a reload lets the old watch go while a change of its waits for the
// owner of the module, and the new watch's copy of it counts as old.
func TestAChangeNotHandedOnIsNotHeld(t *testing.T) {
	address, _ := streaming(t, entry(42, false, "s-1")+"...", entry(42, false, "s-1")+"...")
	in, inputs := testReceiver(make(chan struct{}), limits), make(chan any)
	in.inputs = inputs
	held, w := &watchState{version: 41, lowestReset: -1}, testUpstream(t, address)
	over := make(chan struct{})
	go func() {
		defer close(over)
		in.readWatch(w, held)
	}()
	soon(t, "a list waits to be handed on", func() bool { return in.metrics.counts[listsIn].Load() == 1 })
	w.cancel()
	<-over
	if got := held.heldVersion(); got != 41 {
		t.Fatalf("version %d is held, and was not handed on", got)
	}
	go in.readWatch(testUpstream(t, address), held)
	if got := (<-inputs).(listed); got.generation != 42 {
		t.Errorf("%+v", got)
	}
}

// blackHole is an address at which connections neither come up nor are refused.
func blackHole(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until nothing more comes up
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
}

// Guards against a new stream that is not read because the old one is inside a dial.
func TestTakingOverReachesADial(t *testing.T) {
	l := limits
	l.Connect = time.Hour
	in, inputs := testReceiver(make(chan struct{}), l), make(chan any, 64)
	in.inputs = inputs
	old := testUpstream(t, blackHole(t))
	go in.runNews(old)
	address, _ := streaming(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	next := old.successor(t.Context(), address)
	go in.runNews(next)
	defer next.cancel()
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(newsOpened{}, joined{17, "a", 21.5}) {
		t.Error(got)
	}
	<-old.done
}

// Guards against giving up the old upstream for one that opens and then brings nothing.
func TestAnUpstreamThatBringsNothingTakesNothingOver(t *testing.T) {
	before, _ := streaming(t, "...")
	after, asked := streaming(t, "", "")
	in, inputs := testReceiver(make(chan struct{}), limits), make(chan any, 64)
	in.inputs = inputs
	old := testUpstream(t, before)
	go in.runNews(old)
	defer old.cancel()
	<-inputs // newsOpened
	next := old.successor(t.Context(), after)
	if opened, err := in.readNews(next); !opened || err == nil {
		t.Errorf("%v %v", opened, err)
	}
	<-asked
	held := &watchState{version: 41, lowestReset: -1}
	if opened, err := in.readWatch(next, held); !opened || err == nil {
		t.Errorf("%v %v", opened, err)
	}
	if old.ctx.Err() != nil || len(inputs) > 0 {
		t.Errorf("the old upstream is given up, or %d inputs came", len(inputs))
	}
}

// Guards against one spoilt list at each opening that keeps all later ones out for ever, and against a version held
// that passes over what is missing.
func TestASpoiltListAtEachOpeningKeepsNothingElseOut(t *testing.T) {
	spoiltOne := strings.Replace(entry(42, false, "s-1"), `"up"`, `"?"`, 1)
	address, asked := streaming(t, spoiltOne+entry(43, false, "s-2"), spoiltOne+entry(43, false, "s-2")+entry(44, false, "s-3"),
		spoiltOne+entry(45, false, "s-4"), entry(45, true, "s-5")+entry(46, false, "s-6"))
	in, inputs := testReceiver(make(chan struct{}), limits), make(chan any, 64)
	in.inputs = inputs
	held, w := &watchState{version: 41, lowestReset: -1}, testUpstream(t, address)
	want := []string{"[]", "[s-2 s-3]", "[s-4]", "[s-5 s-6]"}
	for i, at := range []int64{41, 41, 41, 46} {
		in.readWatch(w, held)
		var got []choice.ServerID
		for _, one := range drained(inputs) {
			got = append(got, one.(listed).entries[0].Server)
		}
		if fmt.Sprint(got) != want[i] || held.heldVersion() != at || !strings.Contains(<-asked, "after=41") {
			t.Errorf("watch %d: %v, version %d held", i+1, got, held.heldVersion())
		}
	}
	if n := in.metrics.counts[spoilt].Load(); n != 3 {
		t.Errorf("%d spoilt", n)
	}
}

// What was spoilt is asked for again after a while, not only when the stream ends.
func TestAGapIsAskedForAgain(t *testing.T) {
	l := limits
	l.GapMost = 0
	w := testUpstream(t, "")
	w.noteDecodeError()
	address, _ := streaming(t, "{]\n"+entry(43, false, "s-2")+"...")
	w.address = address
	if _, err := testReceiver(make(chan struct{}), l).readWatch(w, &watchState{version: 41, lowestReset: -1}); err != errResync {
		t.Error(err)
	}
}

// Guards against whole lists of a discovery that began anew and moves on, which are each refused as the first.
func TestOlderWholeListsThatMoveOnAreTaken(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	watched(t, limits, held, entry(3, true, "s-1"))
	if ids, _ := watched(t, limits, held, entry(5, true, "s-2")+entry(6, false, "s-3")); fmt.Sprint(ids) != "[s-2 s-3]" || held.version != 6 {
		t.Errorf("%v %d", ids, held.version)
	}
}

// Guards against a spoilt join that comes at each opening and keeps out all events behind it, and against taking for
// left the proxies told in what could not be read.
func TestASpoiltJoinAtEachOpeningKeepsNothingElseOut(t *testing.T) {
	text := "event: joined\ndata: id=x&site=a&rps=1&new=1\n\nevent: joined\ndata: id=18&site=a&rps=21.5&new=1\n\n:\nevent: left\ndata: id=18\n\n"
	address, _ := streaming(t, text, text)
	in, inputs := testReceiver(make(chan struct{}), limits), make(chan any, 64)
	in.inputs = inputs
	w := testUpstream(t, address)
	for _, want := range [][]any{{newsOpened{}}, {newsOpened{}, joined{18, "a", 21.5}, left{18}}} {
		in.readNews(w)
		if got := drained(inputs); !slices.Equal(got, want) {
			t.Errorf("%v, not %v", got, want)
		}
	}
}

// answering is a relay that answers each call and then does with the connection what the test asks; it is told once
// that is done. Calls' orders come out of the channel.
func answering(t *testing.T, l config.Limits, then func(c net.Conn)) (r *relay, calls chan string, do, done chan struct{}) {
	calls, do, done = make(chan string, 8), make(chan struct{}), make(chan struct{})
	address := server(t, func(c net.Conn) {
		for in, first := bufio.NewReader(c), true; ; first = false {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			req.ParseForm()
			orders := req.PostForm.Get("orders")
			calls <- orders
			body := taken(strings.Count(orders, ";") + 1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if first {
				select {
				case <-do:
					then(c)
					done <- struct{}{}
				case <-t.Context().Done():
				}
			}
		}
	})
	in := testReceiver(make(chan struct{}), l)
	return newRelay(l, address, groups, nil, in), calls, do, done
}

// Guards against a call that leaves in the instant in which the relay closes an idle connection, whose outcome would
// be unknown, and against a second answer on a connection that passes for that of the next call.
func TestACallTakesNothingFromTheConnectionBefore(t *testing.T) {
	for what, then := range map[string]func(c net.Conn){
		"idle close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"reset":      func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"second answer": func(c net.Conn) {
			body := taken(0)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
	} {
		r, calls, do, done := answering(t, limits, then)
		if n, end := r.send(lines2(1)); n != 1 || end != "done" {
			t.Errorf("%s: the call before: %d %s", what, n, end)
		}
		<-calls
		do <- struct{}{}
		<-done
		if n, end := r.send(lines2(2, 3)); n != 2 || end != "done" {
			t.Errorf("%s: %d orders, %s", what, n, end)
		}
		<-calls
	}
}

// Guards against an outcome taken for known where a call is cut, at each byte of its answer.
func TestACallCutAtEachByteOfItsAnswer(t *testing.T) {
	body := taken(2)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for cut := 0; cut <= len(whole); cut++ {
		address := server(t, func(c net.Conn) {
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(c, whole[:cut])
			}
		})
		r := newRelay(limits, address, groups, nil, testReceiver(make(chan struct{}), limits))
		n, end := r.send(lines2(1, 2))
		if known := cut == len(whole); known != (end == done) || known != (n == 2) {
			t.Errorf("%d of %d bytes: %d orders, %s", cut, len(whole), n, end)
		}
	}
}

// Guards against a SIGHUP that comes while the file is half written, with none after it.
func TestAFaultyFileIsLookedAtAgain(t *testing.T) {
	s := testStart(t)
	s.Limits.Rereads, s.Limits.RereadEvery = 2, time.Millisecond
	n, err := New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error)
	d := begun(n, func() (config.Start, error) { return s, <-read })
	defer d.Stop(false)
	half := errors.New("unexpected end of JSON input")
	d.reload <- syscall.SIGHUP
	read <- half
	read <- nil
	soon(t, "reloaded", func() bool { return n.metrics.counts[reloads].Load() == 1 })
	d.reload <- syscall.SIGHUP
	for range 3 {
		read <- half
	}
	d.reload <- syscall.SIGHUP // it has given up, and takes the next
	read <- nil
	soon(t, "reloaded again", func() bool { return n.metrics.counts[reloads].Load() == 2 })
	if n := n.metrics.counts[reloadsFaulty].Load(); n != 4 {
		t.Errorf("%d faulty", n)
	}
}

// Guards against an end that fails, or waits, because it is asked for before the start is done.
func TestAnEndBeforeTheStartIsDone(t *testing.T) {
	s := testStart(t)
	s.Limits.ListenMost = time.Hour
	occupied(t, s.Listen)
	n, err := New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	if err := n.Run(ctx, Signals{}, nil); err != nil {
		t.Error(err)
	}
}

func descriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Guards against goroutines and descriptors that outlive a manager that ended amid streams, calls, probes and collectors.
func TestNothingIsLeftAfterAnEnd(t *testing.T) {
	before, open := 0, 0
	for round := range 4 {
		if round == 1 { // libraries start a few goroutines once in a process
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			before, open = runtime.NumGoroutine(), descriptors(t)
		}
		v := raise(t, stand.Usual(6, 20))
		v.Relay.Join(0, 1, 2, 3)
		soon(t, "bound", func() bool { return v.Relay.Counts().Bound == 4 })
		var collectors []net.Conn
		for _, text := range []string{"", "ping\r\n", "collector site=" + v.Site.Zone(0) + "\r\n", "usage id=1"} {
			c, err := net.Dial("tcp", v.Manager)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, text)
			collectors = append(collectors, c)
		}
		v.Rig.Daemon.Stop(false)
		for _, c := range collectors {
			if got := ended(c); got == "still open" {
				t.Errorf("%q", got)
			}
			c.Close()
		}
		v.Rig.Close()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	// the HTTP library lets a server's cleaner sleep for 10 s more
	within(t, 20*time.Second, "no goroutine and no descriptor is left", func() bool {
		return runtime.NumGoroutine() <= before && descriptors(t) <= open
	})
	if t.Failed() {
		t.Logf("%d goroutines, %d before; %d descriptors, %d before", runtime.NumGoroutine(), before, descriptors(t), open)
		pprof.Lookup("goroutine").WriteTo(os.Stderr, 1)
	}
}

// Guards against one customer's words, limits or figures that show in another's manager in the same process.
func TestTwoManagersOfUnlikeSettingsShareNothing(t *testing.T) {
	line := "usage id=1 lane=book count=1 fail=0 over=1000.0"
	other := newDecoder(choice.Terms{Zones: []choice.ZoneID{"hall"}, Proxies: 1,
		Groups: []choice.Group{{Expiry: time.Second}, {Expiry: time.Second}}}, []string{"read", "write"}, time.Now(), limits)
	ours := testDecoder()
	for range 3 {
		if _, in, err := ours.line(line); err != nil || in.(used).Flows != 1 {
			t.Errorf("ours: %+v %v", in, err)
		}
		if _, _, err := other.line(line); err == nil {
			t.Error("the other takes a traffic group that it does not have")
		}
		if _, _, err := other.line("collector site=a"); !errors.Is(err, errUnknownName) {
			t.Errorf("the other takes a zone that it does not have: %v", err)
		}
	}
	a, b := newMetrics(time.Hour, zerolog.Nop()), newMetrics(time.Hour, zerolog.Nop())
	if a.add(pings, 3); b.counts[pings].Load() != 0 {
		t.Error("counters are shared")
	}
}

// Guards against an end that waits for a file that does not come.
func TestAnEndWhileTheFileIsRead(t *testing.T) {
	n, err := New(testStart(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	reading, never := make(chan struct{}), make(chan struct{})
	defer close(never)
	d := begun(n, func() (config.Start, error) {
		close(reading)
		<-never
		return config.Start{}, nil
	})
	d.reload <- syscall.SIGHUP
	<-reading
	d.end()
	select {
	case <-d.ended:
	case <-time.After(5 * time.Second):
		t.Error("no end within 5 s")
	}
}

// Guards against an outcome taken for known where a call is cut before or within its bytes.
func TestACallCutWithinItself(t *testing.T) {
	for _, cut := range []int{0, 1, 30, 150} {
		address := server(t, func(c net.Conn) {
			io.ReadFull(c, make([]byte, cut))
			c.(*net.TCPConn).SetLinger(0)
		})
		r := newRelay(limits, address, groups, nil, testReceiver(make(chan struct{}), limits))
		if n, end := r.send(lines2(1, 2)); n != 0 || end != unknown && !(cut == 0 && end == unsent) {
			t.Errorf("%d bytes: %d orders, %s", cut, n, end)
		}
	}
}

// Guards against orders lost where the relay moves while a call is in flight: its outcome is settled first, and what
// may be missing goes to the new address.
func TestARelayThatMovesUnderACall(t *testing.T) {
	inFlight, cut := make(chan struct{}, 8), make(chan struct{})
	before := server(t, func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		inFlight <- struct{}{}
		<-cut
	})
	r, calls := testRelay(t, limits)
	after := r.address
	r.address = before
	settled := make(chan bool)
	go func() { settled <- r.deliver(lines2(1, 2)) }()
	<-inFlight
	r.moveTo(after)
	close(cut)
	if !<-settled {
		t.Error("not settled")
	}
	expect(t, calls, "share,0,s-1,1;share,0,s-2,2;mark,2,0")
}

// Guards against an answer lost because the manager closes with bytes unread, which resets the connection.
func TestAPongBeforeAClose(t *testing.T) {
	_, address, _ := listening(t, limits, true)
	for range 20 {
		c := dialled(t, address, "ping\r\n"+strings.Repeat("x", 1<<18)+"\r\n")
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); line != "pong\r\n" {
			t.Fatalf("%q %v", line, err)
		}
	}
}

// Guards against a collector that sends as fast as it can and keeps others, the list and the end from being heard.
func TestAFloodKeepsNobodyOut(t *testing.T) {
	site := stand.Usual(6, 20)
	v := raise(t, site)
	v.Relay.Join(0, 1, 2, 3)
	soon(t, "bound", func() bool { return v.Relay.Counts().Bound == 4 })
	flood, err := net.Dial("tcp", v.Manager)
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	over := make(chan struct{})
	go func() {
		defer close(over)
		fmt.Fprintf(flood, "collector site=%s\r\n", site.Zone(0))
		all := []byte(strings.Repeat("usage id=1 lane=quote count=4 fail=0 over=1000\r\n", 1000))
		for {
			if _, err := flood.Write(all); err != nil {
				return
			}
		}
	}()
	soon(t, "flooded", func() bool { return v.now.metrics.counts[usagesIn].Load() > 50_000 })
	c := dialled(t, v.Manager, "ping\r\n")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "pong\r\n" {
		t.Errorf("%q %v", line, err)
	}
	s := v.Servers[0]
	v.Discovery.Change(s.Entry("draining"))
	soon(t, "withdrawn", func() bool { return v.Relay.Flows(s.ID) == 0 })
	v.now.Stop(false)
	flood.Close()
	<-over
	allRules(t, v.Rig)
}

// Guards against a command of staff that an end reaches while it is at work: who asked reads nothing that is still
// written. The command and the end go on side by side, which the race detector sees.
func TestAnEndDuringACommand(t *testing.T) {
	for range 20 {
		n, err := New(testStart(t), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		d := begun(n, nil)
		working, goOn, answered := make(chan struct{}), make(chan struct{}), make(chan string, 1)
		go func() {
			lines, err := n.owner(func(*router) ([]string, error) {
				close(working)
				<-goOn
				return []string{"done"}, nil
			})
			answered <- fmt.Sprint(lines, err)
		}()
		<-working
		d.end()
		close(goOn)
		if got := <-answered; got != "[done] <nil>" && got != fmt.Sprint([]string(nil), errStopped) {
			t.Error(got)
		}
		<-d.ended
	}
}

// Guards against a message that ends the process: whatever a reader fails over, its connection ends alone.
func TestAReaderThatFailsEndsItsConnectionAlone(t *testing.T) {
	in, address, _ := listening(t, limits, true)
	in.decoder = nil // so that each decoder fails
	for range 2 {
		if got := ended(dialled(t, address, report)); got != "" {
			t.Errorf("%q", got)
		}
	}
	stream, _ := streaming(t, "event: left\ndata: id=17\n\n")
	w := testUpstream(t, stream)
	in.runStream(w, "news", newsBreaks, func() (bool, error) {
		defer w.cancel()
		return in.readNews(w)
	})
	if n := in.metrics.counts[readersFailed].Load(); n != 3 {
		t.Errorf("%d failed readers", n)
	}
	r := newRelay(limits, stream, groups, nil, in)
	r.next.Store(nil)
	r.address = "\x00"
	if n, end := r.send(lines2(1)); n != 0 || end == done {
		t.Errorf("%d %s", n, end)
	}
}

// Guards against a generation that was never true, as in a spoilt line that can be read, past which all that follows
// counts as old for as long as the stream lasts.
func TestAGenerationThatWasNeverTrue(t *testing.T) {
	l := limits
	l.GapMost = 0
	held, all := &watchState{version: 41, lowestReset: -1}, ""
	for _, text := range []string{entry(93, false, "s-1") + entry(44, false, "s-2") + entry(45, false, "s-3") + "...",
		entry(45, true, "s-4") + "...", entry(45, true, "s-5") + entry(46, false, "s-6")} {
		ids, _ := watched(t, l, held, text)
		all += fmt.Sprint(ids)
	}
	if all != "[s-1][][s-5 s-6]" || held.version != 46 {
		t.Errorf("%s, %d held", all, held.version)
	}
}

// Guards against a discovery that takes a generation that was never true for one to come: asked from it, it tells only
// changes below it, for ever.
func TestADiscoveryThatStaysBehindIsAskedFromTheBeginning(t *testing.T) {
	l := limits
	l.GapMost = 0
	behind := `{"generation":45,"reset":false,"instances":[]}` + "\n" + entry(46, false, "s-2") + "..."
	address, asked := streaming(t, behind, behind, entry(46, true, "s-3")+"...", entry(46, true, "s-4")+entry(47, false, "s-5"), "")
	in, inputs := testReceiver(make(chan struct{}), l), make(chan any, 64)
	in.inputs = inputs
	held, w := &watchState{version: 93, lowestReset: -1}, testUpstream(t, address)
	for _, from := range []string{"=93 ", "=93 ", "=0 ", "=0 ", "=47 "} {
		in.readWatch(w, held)
		if got := <-asked; !strings.Contains(got, "after"+from) {
			t.Errorf("%s, not after%s", got, from)
		}
	}
	var ids []choice.ServerID
	for _, one := range drained(inputs) {
		ids = append(ids, one.(listed).entries[0].Server)
	}
	if fmt.Sprint(ids) != "[s-4 s-5]" {
		t.Errorf("%v", ids)
	}
}
