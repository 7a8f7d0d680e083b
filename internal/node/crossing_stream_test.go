package node

// These tests are of the two streams; crossing_test.go says how they hold the code between two lines.

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarindshore/balancer"
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
	if got := (<-inputs).(serverList); got.generation != 42 {
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
	l.ConnectTimeout = time.Hour
	in, inputs := testReceiver(make(chan struct{}), l), make(chan any, 64)
	in.inputs = inputs
	old := testUpstream(t, blackHole(t))
	go in.runNews(old)
	address, _ := streaming(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	next := old.successor(t.Context(), address)
	go in.runNews(next)
	defer next.cancel()
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(newsOpened{}, proxyJoined{17, "a", 21.5}) {
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
		var got []balancer.ServerID
		for _, one := range drained(inputs) {
			got = append(got, one.(serverList).entries[0].Server)
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
	l.MaxWatchGap = 0
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
	for _, want := range [][]any{{newsOpened{}}, {newsOpened{}, proxyJoined{18, "a", 21.5}, proxyLeft{18}}} {
		in.readNews(w)
		if got := drained(inputs); !slices.Equal(got, want) {
			t.Errorf("%v, not %v", got, want)
		}
	}
}

// Guards against a generation that was never true, as in a spoilt line that can be read, past which all that follows
// counts as old for as long as the stream lasts.
func TestAGenerationThatWasNeverTrue(t *testing.T) {
	l := limits
	l.MaxWatchGap = 0
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
	l.MaxWatchGap = 0
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
	var ids []balancer.ServerID
	for _, one := range drained(inputs) {
		ids = append(ids, one.(serverList).entries[0].Server)
	}
	if fmt.Sprint(ids) != "[s-4 s-5]" {
		t.Errorf("%v", ids)
	}
}
