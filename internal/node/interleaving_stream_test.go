package node

// These tests are of the two streams; interleaving_test.go says how they stop the code between two lines.

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
// owner of the balancer, and the new watch's copy of it counts as old.
func TestAChangeThatWasNotDeliveredIsNotCountedAsHeld(t *testing.T) {
	address, _ := startStreamServer(t, watchLine(42, false, "s-1")+"...", watchLine(42, false, "s-1")+"...")
	in, inputs := testReceiverWithInputs(t, testLimits, 0)
	held := &watchState{version: 41, lowestReset: -1}
	w := testUpstream(t, address)
	over := make(chan struct{})
	go func() {
		defer close(over)
		in.readWatch(w, held)
	}()
	eventually(t, "a list waits to be handed on", func() bool { return in.metrics.counts[endpointLists].Load() == 1 })
	w.cancel()
	<-over
	if got := held.heldVersion(); got != 41 {
		t.Fatalf("version %d is held, and was not delivered", got)
	}
	go in.readWatch(testUpstream(t, address), held)
	if got := (<-inputs).(endpointList); got.generation != 42 {
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
func TestASuccessorInterruptsADial(t *testing.T) {
	l := testLimits
	l.ConnectTimeout = time.Hour
	in, inputs := testReceiverWithInputs(t, l, 64)
	old := testUpstream(t, blackHole(t))
	go in.runProxyEvents(old)
	address, _ := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...")
	next := old.successor(t.Context(), address)
	go in.runProxyEvents(next)
	defer next.cancel()
	if got := fmt.Sprint(<-inputs, <-inputs); got != fmt.Sprint(proxyEventsOpened{}, proxyConnected{17, "a", 21.5}) {
		t.Error(got)
	}
	<-old.done
}

// Guards against giving up the old upstream for one that opens and then brings nothing.
func TestAnUpstreamWithoutMessagesReplacesNothing(t *testing.T) {
	before, _ := startStreamServer(t, "...")
	after, asked := startStreamServer(t, "", "")
	in, inputs := testReceiverWithInputs(t, testLimits, 64)
	old := testUpstream(t, before)
	go in.runProxyEvents(old)
	defer old.cancel()
	<-inputs // newsOpened
	next := old.successor(t.Context(), after)
	if opened, err := in.readProxyEvents(next); !opened || err == nil {
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

// Guards against one malformed list at each opening that blocks all later ones for ever, and against a version held
// that passes over what is missing.
func TestAMalformedListAtEachOpeningBlocksNothingElse(t *testing.T) {
	malformedOne := strings.Replace(watchLine(42, false, "s-1"), `"up"`, `"?"`, 1)
	address, asked := startStreamServer(t, malformedOne+watchLine(43, false, "s-2"), malformedOne+watchLine(43, false, "s-2")+watchLine(44, false, "s-3"),
		malformedOne+watchLine(45, false, "s-4"), watchLine(45, true, "s-5")+watchLine(46, false, "s-6"))
	in, inputs := testReceiverWithInputs(t, testLimits, 64)
	held := &watchState{version: 41, lowestReset: -1}
	w := testUpstream(t, address)
	want := []string{"[]", "[s-2 s-3]", "[s-4]", "[s-5 s-6]"}
	for i, at := range []int64{41, 41, 41, 46} {
		in.readWatch(w, held)
		var got []balancer.ServerID
		for _, one := range receivedInputs(inputs) {
			got = append(got, one.(endpointList).entries[0].Server)
		}
		if fmt.Sprint(got) != want[i] || held.heldVersion() != at || !strings.Contains(<-asked, "after=41") {
			t.Errorf("watch %d: %v, version %d held", i+1, got, held.heldVersion())
		}
	}
	if n := in.metrics.counts[malformedMessages].Load(); n != 3 {
		t.Errorf("%d malformed", n)
	}
}

// What was malformed is asked for again after a while, not only when the stream ends.
func TestAGapIsRequestedAgain(t *testing.T) {
	l := testLimits
	l.MaxWatchGap = 0
	w := testUpstream(t, "")
	w.noteDecodeError()
	address, _ := startStreamServer(t, "{]\n"+watchLine(43, false, "s-2")+"...")
	w.address = address
	if _, err := testReceiver(t, l).readWatch(w, &watchState{version: 41, lowestReset: -1}); err != errResync {
		t.Error(err)
	}
}

// Guards against snapshots of a discovery that restarted and moves on, which are each rejected as the first.
func TestOlderSnapshotsThatAdvanceAreAccepted(t *testing.T) {
	held := &watchState{version: 41, lowestReset: -1}
	readWatchText(t, testLimits, held, watchLine(3, true, "s-1"))
	if ids, _ := readWatchText(t, testLimits, held, watchLine(5, true, "s-2")+watchLine(6, false, "s-3")); fmt.Sprint(ids) != "[s-2 s-3]" || held.version != 6 {
		t.Errorf("%v %d", ids, held.version)
	}
}

// Guards against a malformed join that comes at each opening and blocks all events behind it, and against taking for
// left the proxies told in what could not be read.
func TestAMalformedJoinAtEachOpeningBlocksNothingElse(t *testing.T) {
	text := "event: joined\ndata: id=x&site=a&rps=1&new=1\n\nevent: joined\ndata: id=18&site=a&rps=21.5&new=1\n\n:\nevent: left\ndata: id=18\n\n"
	address, _ := startStreamServer(t, text, text)
	in, inputs := testReceiverWithInputs(t, testLimits, 64)
	w := testUpstream(t, address)
	for _, want := range [][]input{{proxyEventsOpened{}}, {proxyEventsOpened{}, proxyConnected{18, "a", 21.5}, proxyDisconnected{18}}} {
		in.readProxyEvents(w)
		if got := receivedInputs(inputs); !slices.Equal(got, want) {
			t.Errorf("%v, not %v", got, want)
		}
	}
}

// Guards against a generation that was never true, as in a malformed line that can be read, past which all that follows
// counts as old for as long as the stream lasts.
func TestAGenerationThatWasNeverTrue(t *testing.T) {
	l := testLimits
	l.MaxWatchGap = 0
	held := &watchState{version: 41, lowestReset: -1}
	all := ""
	for _, text := range []string{watchLine(93, false, "s-1") + watchLine(44, false, "s-2") + watchLine(45, false, "s-3") + "...",
		watchLine(45, true, "s-4") + "...", watchLine(45, true, "s-5") + watchLine(46, false, "s-6")} {
		ids, _ := readWatchText(t, l, held, text)
		all += fmt.Sprint(ids)
	}
	if all != "[s-1][][s-5 s-6]" || held.version != 46 {
		t.Errorf("%s, %d held", all, held.version)
	}
}

// Guards against a discovery that takes a generation that was never true for one to come: asked from it, it tells only
// changes below it, for ever.
func TestADiscoveryThatStaysBehindIsPolledFromTheBeginning(t *testing.T) {
	l := testLimits
	l.MaxWatchGap = 0
	behind := `{"generation":45,"reset":false,"instances":[]}` + "\n" + watchLine(46, false, "s-2") + "..."
	address, asked := startStreamServer(t, behind, behind, watchLine(46, true, "s-3")+"...", watchLine(46, true, "s-4")+watchLine(47, false, "s-5"), "")
	in, inputs := testReceiverWithInputs(t, l, 64)
	held := &watchState{version: 93, lowestReset: -1}
	w := testUpstream(t, address)
	for _, from := range []string{"=93 ", "=93 ", "=0 ", "=0 ", "=47 "} {
		in.readWatch(w, held)
		if got := <-asked; !strings.Contains(got, "after"+from) {
			t.Errorf("%s, not after%s", got, from)
		}
	}
	var ids []balancer.ServerID
	for _, one := range receivedInputs(inputs) {
		ids = append(ids, one.(endpointList).entries[0].Server)
	}
	if fmt.Sprint(ids) != "[s-4 s-5]" {
		t.Errorf("%v", ids)
	}
}
